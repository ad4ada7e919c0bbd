package vrwire_test

import (
	"math/rand"
	"reflect"
	"testing"
	"testing/quick"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrwire"
)

// requireRoundTrip encodes an envelope with one message and requires that it is decoded
// unchanged.
func requireRoundTrip(t *testing.T, envelope vrwire.Envelope) *vrwire.Envelope {
	t.Helper()
	envelope.From, envelope.Boot, envelope.Zone = "daemon-1", "boot-1", "zone-a"
	data, err := vrwire.Marshal(&envelope)
	require.NoError(t, err)
	decoded, err := vrwire.Unmarshal[vrwire.Envelope](data)
	require.NoError(t, err)
	require.Equal(t, &envelope, decoded)
	return decoded
}

// TestEnvelopeRoundTrip guards against fields that the codec loses because of their tags.
func TestEnvelopeRoundTrip(t *testing.T) {
	members := []vrwire.MemberItem{{Daemon: "daemon-1", Boot: "boot-1", Peer: "127.0.0.1:1", State: vrwire.MemberAlive, Incarnation: 1}}
	servers := []vrwire.ServerItem{{
		Server: "server-1", Pool: "lm", Zone: "zone-a", Address: "127.0.0.1:2", State: vrwire.ServerLive, Slots: 8, Sequence: 4,
		Replicas: []vrwire.ReplicaItem{{Model: "summary@1", State: vrwire.ReplicaLoaded}},
	}}
	delta := &vrwire.ViewDelta{Zone: "zone-a", Owner: "daemon-1", Epoch: 2, Sequence: 9, Members: members, Servers: servers}
	for name, envelope := range map[string]vrwire.Envelope{
		"heartbeat": {Heartbeat: &vrwire.Heartbeat{Members: members, ViewEpoch: 2}},
		"reply":     {HeartbeatReply: &vrwire.HeartbeatReply{Config: 1, Delta: delta}},
		"delta":     {ViewDelta: delta},
		"claim": {ClaimRequest: &vrwire.ClaimRequest{Shard: 1, Entry: vrwire.ClaimEntry{
			Service: "circles", Key: "k", State: vrwire.ClaimClaimed, Digest: 1 << 63, At: 5,
		}}},
		"summary": {ZoneSummary: &vrwire.ZoneSummary{Zone: "zone-a", Owner: "daemon-1", Servers: servers, Members: members}},
		"grant":   {SlotGrant: &vrwire.SlotGrant{SentAt: 5}},
		"prompt report": {Notices: &vrwire.Notices{PromptReport: &vrwire.PromptReport{
			Number: 2, Run: 7, Items: []vrwire.PromptReportItem{{Part: "p", Event: vrwire.PromptCrashed, Request: "r", Probe: 3}},
		}}},
		"catalog query": {Notices: &vrwire.Notices{CatalogQuery: &vrwire.CatalogQuery{Version: 3, Era: 1, SentAt: 9}}},
		"catalog reply": {Notices: &vrwire.Notices{CatalogReply: &vrwire.CatalogReply{
			Boot: "b", SentAt: 9, Version: 4, Era: 1, ProofAge: 7, Catalog: []byte{1},
		}}},
		"quarantine": {Notices: &vrwire.Notices{Epoch: 2, Quarantine: &vrwire.Quarantine{
			Epoch: 2, Version: 4, Parts: []vrwire.QuarantinedPart{{Part: "p", Prober: "d1", Probe: 1}},
		}}},
	} {
		t.Run(name, func(t *testing.T) { requireRoundTrip(t, envelope) })
	}
}

// validatedMessage is a pointer to a message type.
type validatedMessage[T any] interface {
	*T
	vrwire.Message
}

// requireRandomRoundTrips encodes randomly filled messages and requires that they are
// decoded unchanged.
func requireRandomRoundTrips[T any, P validatedMessage[T]](t *testing.T, random *rand.Rand) {
	t.Helper()
	const rounds = 100
	for range rounds {
		value, ok := quick.Value(reflect.TypeFor[T](), random)
		require.True(t, ok)
		sent, ok := value.Interface().(T)
		require.True(t, ok)
		data, err := vrwire.Marshal(&sent)
		require.NoError(t, err)
		decoded, err := vrwire.Unmarshal[T, P](data)
		if err != nil {
			// Random values may fail the message's validation, but must be decodable.
			require.NotContains(t, err.Error(), "bytes")
			continue
		}
		nilEmptySlices(reflect.ValueOf(&sent).Elem())
		nilEmptySlices(reflect.ValueOf(decoded).Elem())
		require.Equal(t, &sent, decoded)
	}
}

// nilEmptySlices sets empty slices to nil, because the encoded form does not distinguish
// them.
func nilEmptySlices(value reflect.Value) {
	//nolint:exhaustive // Other kinds hold no slices.
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			nilEmptySlices(value.Field(i))
		}
	case reflect.Pointer:
		if !value.IsNil() {
			nilEmptySlices(value.Elem())
		}
	case reflect.Slice:
		if value.Len() == 0 {
			value.SetZero()
			return
		}
		for i := range value.Len() {
			nilEmptySlices(value.Index(i))
		}
	}
}

// TestRandomMessagesRoundTrip guards against a codec that changes a field's value. An
// earlier codec encoded a false bool in the first field of a struct as true and failed on
// slices that grow while they are decoded.
func TestRandomMessagesRoundTrip(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	requireRandomRoundTrips[vrwire.Heartbeat](t, random)
	requireRandomRoundTrips[vrwire.HeartbeatReply](t, random)
	requireRandomRoundTrips[vrwire.ViewDelta](t, random)
	requireRandomRoundTrips[vrwire.ZoneSummary](t, random)
	requireRandomRoundTrips[vrwire.Demand](t, random)
	requireRandomRoundTrips[vrwire.ClaimRequest](t, random)
	requireRandomRoundTrips[vrwire.ClaimReply](t, random)
	requireRandomRoundTrips[vrwire.ClaimSegment](t, random)
	requireRandomRoundTrips[vrwire.OutcomeReport](t, random)
	requireRandomRoundTrips[vrwire.ConfigOffer](t, random)
	requireRandomRoundTrips[vrwire.RecordBatch](t, random)
	requireRandomRoundTrips[vrwire.RecordAck](t, random)
	requireRandomRoundTrips[vrwire.SlotRequest](t, random)
	requireRandomRoundTrips[vrwire.SlotGrant](t, random)
	requireRandomRoundTrips[vrwire.QueryReply](t, random)
	requireRandomRoundTrips[vrwire.QuotaRequest](t, random)
	requireRandomRoundTrips[vrwire.QuotaReply](t, random)
}

// Guards against amounts and times out of bounds, which would overflow sums, and against a delegation that
// outlives the wait of a restarted daemon.
func TestQuotaMessagesAreBounded(t *testing.T) {
	need := vrwire.QuotaNeed{Tenant: "t", Amount: 20, Urgent: 10, Least: 5}
	request := vrwire.QuotaRequest{Number: 1, EchoBoot: "b", Echo: 7, Term: vrwire.MaxQuotaTerm, Daemons: 65, Registered: 64, Needs: []vrwire.QuotaNeed{need}}
	reply := vrwire.QuotaReply{To: "b", Number: 1, Time: 9, Daemons: 65, Grants: []vrwire.QuotaGrant{{Tenant: "t", Granted: 10, RetryAfter: 5}}}
	requireRoundTrip(t, vrwire.Envelope{Notices: &vrwire.Notices{QuotaRequest: &request}})
	requireRoundTrip(t, vrwire.Envelope{Notices: &vrwire.Notices{QuotaReply: &reply}})
	for name, change := range map[string]func(*vrwire.QuotaRequest){
		"number": func(q *vrwire.QuotaRequest) { q.Number = 0 },
		"echo":   func(q *vrwire.QuotaRequest) { q.Echo = -1 },
		"term":   func(q *vrwire.QuotaRequest) { q.Term++ },
		"boot":   func(q *vrwire.QuotaRequest) { q.EchoBoot = "" },
		"parts":  func(q *vrwire.QuotaRequest) { q.Daemons = 1 << 20 },
		"needs":  func(q *vrwire.QuotaRequest) { q.Needs = make([]vrwire.QuotaNeed, vrwire.MaxQuotaItems+1) },
		"tenant": func(q *vrwire.QuotaRequest) { q.Needs[0].Tenant = "" },
		"amount": func(q *vrwire.QuotaRequest) { q.Needs[0].Amount = vrwire.MaxQuotaAmount + 1 },
		"urgent": func(q *vrwire.QuotaRequest) { q.Needs[0].Urgent = 21 },
		"least":  func(q *vrwire.QuotaRequest) { q.Needs[0].Least = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			changed := request
			changed.Needs = []vrwire.QuotaNeed{need}
			change(&changed)
			require.Error(t, (&vrwire.Notices{QuotaRequest: &changed}).Validate())
		})
	}
	for name, change := range map[string]func(*vrwire.QuotaReply){
		"to":      func(q *vrwire.QuotaReply) { q.To = "" },
		"time":    func(q *vrwire.QuotaReply) { q.Time = -1 },
		"daemons": func(q *vrwire.QuotaReply) { q.Daemons = 1 << 20 },
		"granted": func(q *vrwire.QuotaReply) { q.Grants[0].Granted = -1 },
		"retry":   func(q *vrwire.QuotaReply) { q.Grants[0].RetryAfter = 1 << 40 },
	} {
		t.Run(name, func(t *testing.T) {
			changed := reply
			changed.Grants = []vrwire.QuotaGrant{reply.Grants[0]}
			change(&changed)
			require.Error(t, (&vrwire.Notices{QuotaReply: &changed}).Validate())
		})
	}
}
