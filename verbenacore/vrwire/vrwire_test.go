package vrwire_test

import (
	"math/rand"
	"reflect"
	"testing"
	"testing/quick"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrwire"
)

// roundTrip encodes and decodes an envelope with one message.
func roundTrip(t *testing.T, envelope vrwire.Envelope) *vrwire.Envelope {
	t.Helper()
	envelope.From, envelope.Boot, envelope.Zone = "daemon-1", "boot-1", "zone-a"
	data, err := vrwire.Marshal(&envelope)
	require.NoError(t, err)
	decoded, err := vrwire.Unmarshal[vrwire.Envelope](data)
	require.NoError(t, err)
	require.Equal(t, &envelope, decoded)
	return decoded
}

// TestRoundTrip guards against fields whose tags the codec does not carry over.
func TestRoundTrip(t *testing.T) {
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
	} {
		t.Run(name, func(t *testing.T) { roundTrip(t, envelope) })
	}
}

// message is a wire type with its check.
type message[T any] interface {
	*T
	vrwire.Message
}

// checkRandom compares messages filled at random with their decoded form.
func checkRandom[T any, P message[T]](t *testing.T, random *rand.Rand) {
	t.Helper()
	const rounds = 100
	for range rounds {
		value, ok := quick.Value(reflect.TypeFor[T](), random)
		require.True(t, ok)
		filled, ok := value.Interface().(T)
		require.True(t, ok)
		data, err := vrwire.Marshal(&filled)
		require.NoError(t, err)
		decoded, err := vrwire.Unmarshal[T, P](data)
		if err != nil {
			// Random values may break the message's own rules, but nothing else.
			require.NotContains(t, err.Error(), "bytes")
			continue
		}
		normalise(reflect.ValueOf(&filled).Elem())
		normalise(reflect.ValueOf(decoded).Elem())
		require.Equal(t, &filled, decoded)
	}
}

// normalise makes empty slices nil: the wire form does not tell them apart.
func normalise(value reflect.Value) {
	//nolint:exhaustive // Other kinds have nothing to normalise.
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			normalise(value.Field(i))
		}
	case reflect.Pointer:
		if !value.IsNil() {
			normalise(value.Elem())
		}
	case reflect.Slice:
		if value.Len() == 0 {
			value.SetZero()
			return
		}
		for i := range value.Len() {
			normalise(value.Index(i))
		}
	}
}

// TestRandomMessages guards against a codec that changes a field's value. An earlier
// codec wrote a false bool in the first place of a struct as true and failed on slices
// that grow while they are decoded.
func TestRandomMessages(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	checkRandom[vrwire.Heartbeat](t, random)
	checkRandom[vrwire.HeartbeatReply](t, random)
	checkRandom[vrwire.ViewDelta](t, random)
	checkRandom[vrwire.ZoneSummary](t, random)
	checkRandom[vrwire.Demand](t, random)
	checkRandom[vrwire.ClaimRequest](t, random)
	checkRandom[vrwire.ClaimReply](t, random)
	checkRandom[vrwire.ClaimSegment](t, random)
	checkRandom[vrwire.OutcomeReport](t, random)
	checkRandom[vrwire.ConfigOffer](t, random)
	checkRandom[vrwire.RecordBatch](t, random)
	checkRandom[vrwire.RecordAck](t, random)
	checkRandom[vrwire.SlotRequest](t, random)
	checkRandom[vrwire.SlotGrant](t, random)
	checkRandom[vrwire.QueryReply](t, random)
}
