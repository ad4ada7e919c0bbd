package vroperator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrcodec"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrquery"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrsettings"
	"verbenaroute.example/verbenacore/vrwire"
)

// TestMain initializes the codecs outside of any synctest bubble, because they keep
// channels until the process ends.
func TestMain(m *testing.M) {
	frame := vrcodec.Compress(nil, []byte("x"))
	for _, limit := range []int{vrrecord.MaxDecodedBlock, vrcodec.MaxFleetBytes} {
		if _, err := vrcodec.Decompress(frame, limit); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fakeFleet is a fleet of operators' APIs that share one fake platform.
type fakeFleet struct {
	t            testing.TB
	mu           sync.Mutex
	objects      map[string][]byte
	platformDown bool
	daemons      map[vrid.DaemonID]*fakeDaemon
	// head is the accepted configuration.
	head *vrconfig.Index
	// proposeBarrier, if set, makes concurrent proposals wait for each other.
	proposeBarrier *sync.WaitGroup
	// neverAcknowledge holds the zones that never acknowledge a version.
	neverAcknowledge map[vrid.ZoneID]bool
	// listCalls counts the calls of List.
	listCalls int
}

// fakeDaemon is an API with fakes for its dependencies.
type fakeDaemon struct {
	*API
	fleet     *fakeFleet
	id        vrid.DaemonID
	zone      vrid.ZoneID
	unwritten []vrrecord.Entry
	// unresponsive makes the messages from and to the daemon get lost.
	unresponsive bool
	// drained holds the servers of the DrainServer events.
	drained []vrid.ServerID
}

func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func newFakeFleet(t testing.TB) *fakeFleet {
	f := &fakeFleet{t: t, objects: make(map[string][]byte), daemons: make(map[vrid.DaemonID]*fakeDaemon), neverAcknowledge: make(map[vrid.ZoneID]bool)}
	f.head = vrconfig.NewIndex(testFleet())
	require.NoError(t, f.head.Fleet.Validate())
	for _, member := range []struct {
		id   vrid.DaemonID
		zone vrid.ZoneID
	}{{"a1", "za"}, {"a2", "za"}, {"b1", "zb"}, {"b2", "zb"}} {
		d := &fakeDaemon{fleet: f, id: member.id, zone: member.zone}
		d.API = New(Options{
			Daemon: member.id, Boot: "B", Zone: member.zone,
			Tokens: []vrsettings.OperatorToken{
				{Operator: "mei", TokenHash: tokenHash("secret-c"), Role: vrsettings.RoleCommand},
				{Operator: "audit", TokenHash: tokenHash("secret-r"), Role: vrsettings.RoleRead},
			},
			Objects: f, Changes: d, Live: d, Sender: d,
		})
		f.daemons[member.id] = d
	}
	return f
}

func testFleet() *vrconfig.Fleet {
	second := vrid.Duration(time.Second)
	fleet := &vrconfig.Fleet{
		Version: 4, Deployment: "t",
		Regions:     []vrconfig.Region{{ID: "r", Zones: []vrid.ZoneID{"za", "zb"}}},
		Pools:       []vrconfig.Pool{{ID: "lm", Kind: vrconfig.KindLanguageServer, Memory: vrid.GiB, Slots: 4}},
		Kinds:       []vrconfig.Kind{{ID: "prompt"}},
		Models:      []vrconfig.Model{{ID: "m@1", Memory: vrid.MiB, LoadTime: second, ReplicasPerZone: 1, Kind: "prompt", Pool: "lm"}},
		WeightStore: vrconfig.WeightStore{Slots: 4, AdapterSlots: 32},
		Claims:      vrconfig.Claims{Shards: 2, Retention: second}, Record: vrconfig.Record{Retention: second},
	}
	for _, rank := range vrid.Ranks() {
		fleet.Ranks = append(fleet.Ranks, vrconfig.RankPolicy{Rank: rank, Target: second, Deadline: 2 * second, Weight: 1, Objective: 0.9, CallerShare: 1})
	}
	return fleet
}

// Read implements ObjectReader.
func (f *fakeFleet) Read(_ context.Context, key string) ([]byte, vrplatform.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.platformDown {
		return nil, vrplatform.OutcomeUnavailable
	}
	value, found := f.objects[key]
	if !found {
		return nil, vrplatform.OutcomeNotFound
	}
	return value, vrplatform.OutcomeOK
}

// List implements ObjectReader.
func (f *fakeFleet) List(_ context.Context, prefix string, values bool) ([]vrplatform.Item, vrplatform.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listCalls++
	if f.platformDown {
		return nil, vrplatform.OutcomeUnavailable
	}
	var items []vrplatform.Item
	for key, value := range f.objects {
		if strings.HasPrefix(key, prefix) {
			item := vrplatform.Item{Key: key}
			if values {
				item.Value = value
			}
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items, vrplatform.OutcomeOK
}

// Propose implements ChangeSubmitter. It accepts the first change of each base version.
func (d *fakeDaemon) Propose(_ context.Context, event vrevent.ConfigProposed) vrevent.ConfigDecided {
	f := d.fleet
	if f.proposeBarrier != nil {
		f.proposeBarrier.Done()
		f.proposeBarrier.Wait()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.platformDown {
		return vrevent.ConfigDecided{Decision: vrevent.ConfigUnavailable, Version: f.head.Fleet.Version}
	}
	if f.head.Fleet.Version != event.Base {
		return vrevent.ConfigDecided{Decision: vrevent.ConfigConflict, Version: f.head.Fleet.Version}
	}
	f.head = event.Index
	f.objects[vrplatform.HistoryKey(event.Index.Fleet.Version)] = event.Document
	for _, zone := range event.Index.Fleet.Zones() {
		if !f.neverAcknowledge[zone] {
			f.objects[vrplatform.PrefixConfigAck+string(zone)] = []byte(fmt.Sprintln(event.Index.Fleet.Version))
		}
	}
	return vrevent.ConfigDecided{Decision: vrevent.ConfigAccepted, Version: event.Index.Fleet.Version}
}

// Submit implements ChangeSubmitter.
func (d *fakeDaemon) Submit(event vrevent.Event) {
	if drain, ok := event.(vrevent.DrainServer); ok {
		d.drained = append(d.drained, drain.Server)
	}
}

// Configuration implements LiveView.
func (d *fakeDaemon) Configuration() *vrconfig.Index {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	return d.fleet.head
}

// State implements LiveView.
func (d *fakeDaemon) State() *vrquery.State { return &vrquery.State{Fleet: d.Configuration().Fleet} }

// Unwritten implements LiveView.
func (d *fakeDaemon) Unwritten() []vrrecord.Entry {
	return append([]vrrecord.Entry(nil), d.unwritten...)
}

// Peers implements LiveView.
func (d *fakeDaemon) Peers() []Peer {
	return []Peer{
		{Daemon: "a1", Zone: "za", Owner: true},
		{Daemon: "a2", Zone: "za"},
		{Daemon: "b1", Zone: "zb", Owner: true},
		{Daemon: "b2", Zone: "zb"},
	}
}

// SendPeer implements Sender.
func (d *fakeDaemon) SendPeer(peer vrid.DaemonID, _ string, envelope *vrwire.Envelope) {
	target := d.fleet.daemons[peer]
	d.requireZoneOwnerRouting(target)
	if d.unresponsive || target.unresponsive {
		return
	}
	data, err := vrwire.Marshal(envelope)
	require.NoError(d.fleet.t, err)
	go func() {
		received, err := vrwire.Unmarshal[vrwire.Envelope](data)
		require.NoError(d.fleet.t, err)
		target.HandlePeerMessage(received)
	}()
}

// requireZoneOwnerRouting requires that messages between zones are from or to a zone owner.
func (d *fakeDaemon) requireZoneOwnerRouting(target *fakeDaemon) {
	isOwner := func(daemon *fakeDaemon) bool { return daemon.id == "a1" || daemon.id == "b1" }
	require.True(d.fleet.t, d.zone == target.zone || isOwner(target) || isOwner(d), "%s sends a message to %s", d.id, target.id)
}

func testEntry(daemon vrid.DaemonID, number uint64, at time.Time) vrrecord.Entry {
	return vrrecord.Entry{
		Kind: vrrecord.EntryAnswered, Number: number, Daemon: daemon, Boot: "B", At: at.UnixMilli(),
		Request: vrid.RequestID(fmt.Sprintf("%s-%d", daemon, number)), Ran: vrrecord.RanYes, Model: "m@1", Total: 1000,
	}
}

// writeBlock stores a block with the given entries on the platform and returns its key.
func (f *fakeFleet) writeBlock(zone vrid.ZoneID, writer vrid.DaemonID, sequence uint64, entries ...vrrecord.Entry) string {
	block := &vrrecord.Block{Zone: zone, Writer: writer, Boot: "B", Sequence: sequence}
	for i := range entries {
		data, err := vrwire.Marshal(&entries[i])
		require.NoError(f.t, err)
		block.Entries = append(block.Entries, data)
		block.Until = max(block.Until, entries[i].At)
		if block.From == 0 || entries[i].At < block.From {
			block.From = entries[i].At
		}
	}
	data, err := vrrecord.EncodeBlock(block)
	require.NoError(f.t, err)
	f.objects[block.Key()] = data
	return block.Key()
}

func marshalJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

func (d *fakeDaemon) queryText(query string) (*vrquery.Table, error) {
	return d.query(context.Background(), authenticatedRequest{principal: principal{name: "audit", role: vrsettings.RoleRead}, body: marshalJSON(vrquery.QueryRequest{Query: query})})
}

func (d *fakeDaemon) commandText(command string) (*vrquery.CommandResponse, error) {
	return d.command(context.Background(), authenticatedRequest{principal: principal{name: "mei", role: vrsettings.RoleCommand}, body: marshalJSON(vrquery.CommandRequest{Command: command})})
}

func requestIDs(table *vrquery.Table) []string {
	var ids []string
	for _, row := range table.Rows {
		ids = append(ids, row[table.ColumnIndex("request")].Text)
	}
	sort.Strings(ids)
	return ids
}

// Guards against entries that a query misses or returns twice: entries in blocks of other
// zones and hours, entries that only a daemon holds, and entries that are in both.
func TestQueryReadsWholeFleetOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t)
		now := time.Now()
		f.writeBlock("za", "a1", 1, testEntry("a1", 1, now.Add(-50*time.Minute)), testEntry("a2", 1, now.Add(-49*time.Minute)))
		f.writeBlock("za", "a1", 2, testEntry("a1", 2, now.Add(-time.Minute)))
		f.writeBlock("za", "a2", 1, testEntry("a1", 2, now.Add(-time.Minute)))
		f.writeBlock("zb", "b1", 1, testEntry("b1", 1, now.Add(-2*time.Minute)), testEntry("b1", 9, now.Add(-3*time.Hour)))
		f.daemons["a1"].unwritten = []vrrecord.Entry{testEntry("a1", 2, now.Add(-time.Minute)), testEntry("a1", 3, now.Add(-time.Second))}
		f.daemons["a2"].unwritten = []vrrecord.Entry{testEntry("a2", 2, now.Add(-time.Second))}
		f.daemons["b2"].unwritten = []vrrecord.Entry{testEntry("b2", 1, now.Add(-time.Second))}
		for _, id := range []vrid.DaemonID{"a1", "a2", "b2"} {
			table, err := f.daemons[id].queryText("show requests")
			require.NoError(t, err)
			require.Empty(t, table.Missing)
			require.Equal(t, []string{"a1-1", "a1-2", "a1-3", "a2-1", "a2-2", "b1-1", "b2-1"}, requestIDs(table), id)
		}
	})
}

// Guards against an answer that looks complete although a zone does not reply, a block
// is malformed or the platform is unavailable.
func TestQueryReportsMissingData(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t)
		now := time.Now()
		key := f.writeBlock("za", "a1", 1, testEntry("a1", 1, now.Add(-time.Minute)))
		f.objects[key] = f.objects[key][:10]
		f.daemons["b1"].unresponsive = true
		table, err := f.daemons["a1"].queryText("show requests since 10m")
		require.NoError(t, err)
		missing := strings.Join(table.Missing, "\n")
		require.Contains(t, missing, "zone zb: daemon b1 did not answer")
		require.Contains(t, missing, "block "+key)
		require.Contains(t, missing, "is incomplete")
		f.platformDown = true
		table, err = f.daemons["a1"].queryText("show requests since 10m")
		require.NoError(t, err)
		require.Contains(t, strings.Join(table.Missing, "\n"), "the platform's list is unavailable")
	})
}

// Guards against losing the entries of another zone because one of its members does not
// answer: the zone's owner must reply in time and mark its reply as partial.
func TestQuerySilentMemberOfOtherZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t)
		f.daemons["b2"].unresponsive = true
		f.daemons["b1"].unwritten = []vrrecord.Entry{testEntry("b1", 1, time.Now().Add(-time.Second))}
		table, err := f.daemons["a1"].queryText("show requests since 10m")
		require.NoError(t, err)
		require.Equal(t, []string{"b1-1"}, requestIDs(table))
		require.Contains(t, strings.Join(table.Missing, "\n"), "zone zb: the last entries of daemon b1 are incomplete")
	})
}

// Guards against a query over many hours that uses up the daemon's rate limit for platform
// calls, so that its lease renewals would have to wait. The query lists once for each zone
// and day, then once for each writer and hour, at no more than
// defaultPlatformCallsPerSecond.
func TestQueryRateLimitsPlatformCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t)
		now := time.Now()
		const hours = 60
		for i := range uint64(hours) {
			f.writeBlock("za", "a1", i+1, testEntry("a1", i+1, now.Add(-time.Second-time.Duration(i)*time.Hour)))
		}
		table, err := f.daemons["a1"].queryText("show requests since 3d")
		require.NoError(t, err)
		require.Empty(t, table.Missing)
		require.Len(t, table.Rows, hours)
		require.LessOrEqual(t, f.listCalls, hours+2*4)
		// The limiter's burst allows the calls of the first second at once.
		minElapsed := time.Duration(f.listCalls-defaultPlatformCallsPerSecond) * time.Second / defaultPlatformCallsPerSecond
		require.GreaterOrEqual(t, time.Since(now), minElapsed)
	})
}

// Guards against an unlimited number of concurrent queries, which would take CPU time from
// callers' requests.
func TestQueryLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t)
		d := f.daemons["a1"]
		for range defaultMaxQueries {
			d.inFlightQueries <- struct{}{}
		}
		_, err := d.queryText("show ranks")
		var failure *vrquery.Failure
		require.ErrorAs(t, err, &failure)
		require.Equal(t, vrquery.FailureUnavailable, failure.Kind)
	})
}

// Guards against a command that reports success before the change is in force in every
// zone, or that does not report which zone is behind.
func TestCommandWaitsForZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t)
		response, err := f.daemons["a2"].commandText("set replicas m@1 3")
		require.NoError(t, err)
		require.Equal(t, vrquery.CommandInForce, response.State)
		require.Equal(t, []vrquery.Change{{Path: "model m@1 replicas", Before: "1", After: "3"}}, response.Changes)
		f.neverAcknowledge["zb"] = true
		response, err = f.daemons["a2"].commandText("drain server lm-1")
		require.NoError(t, err)
		require.Equal(t, vrquery.CommandAccepted, response.State)
		require.Equal(t, []vrquery.ZoneVersion{{Zone: "za", Version: 6, InForce: true}, {Zone: "zb", Version: 5}}, response.Zones)
		require.Equal(t, []vrid.ServerID{"lm-1"}, f.daemons["a2"].drained)
		response, err = f.daemons["a2"].commandText("drain server lm-1")
		require.NoError(t, err)
		require.Equal(t, vrquery.CommandUnchanged, response.State)
	})
}

// Guards against two conflicting changes that are both accepted, and against a conflict
// error that does not say what the accepted change altered.
func TestConflictingCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t)
		f.proposeBarrier = &sync.WaitGroup{}
		f.proposeBarrier.Add(2)
		commands := []string{"set replicas m@1 2", "set rank urgent worth 7"}
		errs := make([]error, len(commands))
		var running sync.WaitGroup
		for i, id := range []vrid.DaemonID{"a1", "b1"} {
			running.Go(func() { _, errs[i] = f.daemons[id].commandText(commands[i]) })
		}
		running.Wait()
		winner, loser := 0, 1
		if errs[0] != nil {
			winner, loser = 1, 0
		}
		require.NoError(t, errs[winner])
		var failure *vrquery.Failure
		require.ErrorAs(t, errs[loser], &failure)
		require.Equal(t, vrquery.FailureConflict, failure.Kind)
		want := []string{"model m@1 replicas: 1 -> 2", "rank urgent worth: 1 -> 7"}
		require.Len(t, failure.WinningChanges, 1)
		require.Equal(t, want[winner], failure.WinningChanges[0].String())
		require.Contains(t, failure.Message, want[winner])
		require.EqualValues(t, 5, f.head.Fleet.Version)
	})
}

// Guards against a change by an operator with the read role, against a change that looks
// accepted while the platform is down, and against explain that makes a change.
func TestCommandRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t)
		d := f.daemons["a1"]
		reader := principal{name: "audit", role: vrsettings.RoleRead}
		_, err := d.command(context.Background(), authenticatedRequest{principal: reader, body: marshalJSON(vrquery.CommandRequest{Command: "set weightStore slots 2"})})
		var authErr *authError
		require.ErrorAs(t, err, &authErr)
		response, err := d.command(context.Background(), authenticatedRequest{principal: reader, body: marshalJSON(vrquery.CommandRequest{Command: "explain set weightStore slots 2"})})
		require.NoError(t, err)
		require.Equal(t, vrquery.CommandExplained, response.State)
		f.platformDown = true
		_, err = d.commandText("set weightStore slots 2")
		var failure *vrquery.Failure
		require.ErrorAs(t, err, &failure)
		require.Equal(t, vrquery.FailureUnavailable, failure.Kind)
		require.EqualValues(t, 4, f.head.Fleet.Version)
		_, err = d.commandText("retire kind prompt")
		var validationErr *vrconfig.ValidationError
		require.True(t, errors.As(err, &validationErr), err)
	})
}

// Guards against a document that can't be imported, and against an import that changes
// the number of claim shards.
func TestImport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t)
		document := testFleet()
		document.Version = 1
		document.Models[0].ReplicasPerZone = 5
		mei := principal{name: "mei", role: vrsettings.RoleCommand}
		response, err := f.daemons["a1"].command(context.Background(), authenticatedRequest{principal: mei, body: marshalJSON(vrquery.CommandRequest{Document: document})})
		require.NoError(t, err)
		require.EqualValues(t, 5, response.To)
		require.Equal(t, []vrquery.Change{{Path: "model m@1 replicas", Before: "1", After: "5"}}, response.Changes)
		document.Claims.Shards = 9
		_, err = f.daemons["a1"].command(context.Background(), authenticatedRequest{principal: mei, body: marshalJSON(vrquery.CommandRequest{Document: document})})
		var failure *vrquery.Failure
		require.ErrorAs(t, err, &failure)
		require.Equal(t, vrquery.FailureRefused, failure.Kind)
	})
}

func (d *fakeDaemon) roundTrip(t *testing.T, method, path, token string, payload any) (int, string) {
	app := fiber.New()
	d.Mount(app)
	request := httptest.NewRequest(method, path, bytes.NewReader(marshalJSON(payload)))
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := app.Test(request, fiber.TestConfig{Timeout: time.Minute})
	require.NoError(t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(content)
}

// Guards against access without a token, statuses that don't match the failure, and an
// audit path that exposes objects other than the record.
func TestHTTP(t *testing.T) {
	f := newFakeFleet(t)
	d := f.daemons["a1"]
	for _, peer := range []vrid.DaemonID{"a2", "b1", "b2"} {
		f.daemons[peer].unresponsive = true
	}
	key := f.writeBlock("za", "a1", 1, testEntry("a1", 1, time.Now()))
	prefix := key[:strings.LastIndexByte(key, '/')+1]
	claim := vrwire.ClaimSegment{Entries: []vrwire.ClaimEntry{{Service: "s", Key: "k", State: vrwire.ClaimDone, Body: []byte("customer data")}}}
	data, err := vrwire.Marshal(&claim)
	require.NoError(t, err)
	f.objects[vrplatform.ClaimKey(1, 1)] = data
	cases := []struct {
		method, path, token string
		payload             any
		status              int
		wantText            string
	}{
		{http.MethodPost, vrquery.PathQuery, "", vrquery.QueryRequest{Query: "show ranks"}, 401, "a token is required"},
		{http.MethodPost, vrquery.PathQuery, "wrong", vrquery.QueryRequest{Query: "show ranks"}, 401, "the token is unknown"},
		{http.MethodPost, vrquery.PathQuery, "secret-r", vrquery.QueryRequest{Query: "show ranks"}, 200, `"urgent"`},
		{http.MethodPost, vrquery.PathQuery, "secret-r", vrquery.QueryRequest{Query: "show rnks"}, 400, `"kind":"usage"`},
		{http.MethodPost, vrquery.PathQuery, "secret-r", "text", 400, "malformed"},
		{http.MethodPost, vrquery.PathQuery, "secret-r", vrquery.QueryRequest{Query: "set weightStore slots 3"}, 400, "/v1/command"},
		{http.MethodPost, vrquery.PathCommand, "secret-r", vrquery.CommandRequest{Command: "set weightStore slots 3"}, 403, "needs command"},
		{http.MethodPost, vrquery.PathCommand, "secret-c", vrquery.CommandRequest{Command: "set weightStore slots 0"}, 422, "weightStore.slots"},
		{http.MethodPost, vrquery.PathCommand, "secret-c", vrquery.CommandRequest{Command: "set weightStore slots 3"}, 200, `"state":"inForce"`},
		{http.MethodGet, vrquery.PathConfiguration, "secret-r", nil, 200, `"version":5`},
		{http.MethodGet, vrquery.PathBlocks, "secret-r", nil, 400, "zone and day"},
		{http.MethodGet, vrquery.PathBlocks + "?zone=za&day=" + key[len("record/za/"):][:len(time.DateOnly)], "secret-r", nil, 200, key},
		{http.MethodGet, vrquery.PathBlocks + "?prefix=" + prefix, "secret-r", nil, 200, `"data":"`},
		{http.MethodGet, vrquery.PathBlocks + "?prefix=claims/", "secret-r", nil, 400, "prefix is not"},
		{http.MethodGet, vrquery.PathBlocks + "?prefix=record/", "secret-r", nil, 400, "prefix is not"},
		{http.MethodGet, vrquery.PathClaims + "?shard=1", "secret-r", nil, 200, `"Key":"k"`},
		{http.MethodGet, vrquery.PathClaims + "?shard=2", "secret-r", nil, 400, "0 to 1"},
	}
	for _, c := range cases {
		status, text := d.roundTrip(t, c.method, c.path, c.token, c.payload)
		require.Equal(t, c.status, status, "%s %s: %s", c.method, c.path, text)
		require.Contains(t, text, c.wantText)
		require.NotContains(t, text, "customer")
		require.NotContains(t, text, "Y3VzdG9tZXI", "a stored answer in base64")
	}
}
