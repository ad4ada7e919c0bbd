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

// TestMain starts the codecs outside of the synctest bubbles: they hold channels for
// the whole run of the process.
func TestMain(m *testing.M) {
	frame := vrcodec.Compress(nil, []byte("x"))
	for _, limit := range []int{vrrecord.MaxDecodedBlock, vrcodec.MaxFleetBytes} {
		if _, err := vrcodec.Decompress(frame, limit); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// site is a fleet of operators' interfaces over one fake platform.
type site struct {
	t       testing.TB
	mu      sync.Mutex
	objects map[string][]byte
	down    bool
	daemons map[vrid.DaemonID]*daemon
	// head is the accepted configuration; race lets proposals wait for each other.
	head *vrconfig.Index
	race *sync.WaitGroup
	// slow zones never acknowledge a version.
	slow map[vrid.ZoneID]bool
	// calls counts the lists of objects.
	calls int
}

type daemon struct {
	*Operator
	site   *site
	id     vrid.DaemonID
	zone   vrid.ZoneID
	tail   []vrrecord.Entry
	silent bool
	drains []vrid.ServerID
}

func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func newSite(t testing.TB) *site {
	s := &site{t: t, objects: make(map[string][]byte), daemons: make(map[vrid.DaemonID]*daemon), slow: make(map[vrid.ZoneID]bool)}
	s.head = vrconfig.NewIndex(fleetOf())
	require.NoError(t, s.head.Fleet.Validate())
	for _, place := range []struct {
		id   vrid.DaemonID
		zone vrid.ZoneID
	}{{"a1", "za"}, {"a2", "za"}, {"b1", "zb"}, {"b2", "zb"}} {
		d := &daemon{site: s, id: place.id, zone: place.zone}
		d.Operator = New(Options{
			Daemon: place.id, Boot: "B", Zone: place.zone,
			Tokens: []vrsettings.OperatorToken{
				{Operator: "mei", TokenHash: hashOf("secret-c"), Role: vrsettings.RoleCommand},
				{Operator: "audit", TokenHash: hashOf("secret-r"), Role: vrsettings.RoleRead},
			},
			Objects: s, Changes: d, Live: d, Sender: d,
		})
		s.daemons[place.id] = d
	}
	return s
}

func fleetOf() *vrconfig.Fleet {
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

// Read implements Objects.
func (s *site) Read(_ context.Context, key string) ([]byte, vrplatform.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, vrplatform.OutcomeUnavailable
	}
	value, found := s.objects[key]
	if !found {
		return nil, vrplatform.OutcomeNotFound
	}
	return value, vrplatform.OutcomeOK
}

// List implements Objects.
func (s *site) List(_ context.Context, prefix string, values bool) ([]vrplatform.Item, vrplatform.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, vrplatform.OutcomeUnavailable
	}
	var items []vrplatform.Item
	for key, value := range s.objects {
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

// Propose implements Changes: the first change from a base wins.
func (d *daemon) Propose(_ context.Context, event vrevent.ConfigProposed) vrevent.ConfigDecided {
	s := d.site
	if s.race != nil {
		s.race.Done()
		s.race.Wait()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return vrevent.ConfigDecided{Decision: vrevent.ConfigUnavailable, Version: s.head.Fleet.Version}
	}
	if s.head.Fleet.Version != event.Base {
		return vrevent.ConfigDecided{Decision: vrevent.ConfigConflict, Version: s.head.Fleet.Version}
	}
	s.head = event.Index
	s.objects[vrplatform.HistoryKey(event.Index.Fleet.Version)] = event.Document
	for _, zone := range event.Index.Fleet.Zones() {
		if !s.slow[zone] {
			s.objects[vrplatform.PrefixConfigAck+string(zone)] = []byte(fmt.Sprintln(event.Index.Fleet.Version))
		}
	}
	return vrevent.ConfigDecided{Decision: vrevent.ConfigAccepted, Version: event.Index.Fleet.Version}
}

// Submit implements Changes.
func (d *daemon) Submit(event vrevent.Event) {
	if drain, ok := event.(vrevent.DrainServer); ok {
		d.drains = append(d.drains, drain.Server)
	}
}

// Configuration implements Live.
func (d *daemon) Configuration() *vrconfig.Index {
	d.site.mu.Lock()
	defer d.site.mu.Unlock()
	return d.site.head
}

// State implements Live.
func (d *daemon) State() *vrquery.State { return &vrquery.State{Fleet: d.Configuration().Fleet} }

// Unwritten implements Live.
func (d *daemon) Unwritten() []vrrecord.Entry { return append([]vrrecord.Entry(nil), d.tail...) }

// Peers implements Live.
func (d *daemon) Peers() []Peer {
	return []Peer{
		{Daemon: "a1", Zone: "za", Owner: true},
		{Daemon: "a2", Zone: "za"},
		{Daemon: "b1", Zone: "zb", Owner: true},
		{Daemon: "b2", Zone: "zb"},
	}
}

// SendPeer implements Sender.
func (d *daemon) SendPeer(peer vrid.DaemonID, _ string, envelope *vrwire.Envelope) {
	target := d.site.daemons[peer]
	d.seesOnlyItsZone(target)
	if d.silent || target.silent {
		return
	}
	data, err := vrwire.Marshal(envelope)
	require.NoError(d.site.t, err)
	go func() {
		received, err := vrwire.Unmarshal[vrwire.Envelope](data)
		require.NoError(d.site.t, err)
		target.HandlePeer(received)
	}()
}

// seesOnlyItsZone checks that other zones are asked through their owners.
func (d *daemon) seesOnlyItsZone(target *daemon) {
	owner := func(x *daemon) bool { return x.id == "a1" || x.id == "b1" }
	require.True(d.site.t, d.zone == target.zone || owner(target) || owner(d), "%s asks %s", d.id, target.id)
}

func entryOf(daemon vrid.DaemonID, number uint64, at time.Time) vrrecord.Entry {
	return vrrecord.Entry{
		Kind: vrrecord.EntryAnswered, Number: number, Daemon: daemon, Boot: "B", At: at.UnixMilli(),
		Request: vrid.RequestID(fmt.Sprintf("%s-%d", daemon, number)), Ran: vrrecord.RanYes, Model: "m@1", Total: 1000,
	}
}

func (s *site) writeBlock(zone vrid.ZoneID, writer vrid.DaemonID, sequence uint64, entries ...vrrecord.Entry) string {
	block := &vrrecord.Block{Zone: zone, Writer: writer, Boot: "B", Sequence: sequence}
	for i := range entries {
		data, err := vrwire.Marshal(&entries[i])
		require.NoError(s.t, err)
		block.Entries = append(block.Entries, data)
		block.Until = max(block.Until, entries[i].At)
		if block.From == 0 || entries[i].At < block.From {
			block.From = entries[i].At
		}
	}
	data, err := vrrecord.EncodeBlock(block)
	require.NoError(s.t, err)
	s.objects[block.Key()] = data
	return block.Key()
}

func body(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

func (d *daemon) show(query string) (*vrquery.Table, error) {
	return d.query(context.Background(), call{caller: caller{name: "audit", role: vrsettings.RoleRead}, body: body(vrquery.QueryRequest{Query: query})})
}

func (d *daemon) do(command string) (*vrquery.CommandResponse, error) {
	return d.command(context.Background(), call{caller: caller{name: "mei", role: vrsettings.RoleCommand}, body: body(vrquery.CommandRequest{Command: command})})
}

func requestsOf(table *vrquery.Table) []string {
	var ids []string
	for _, row := range table.Rows {
		ids = append(ids, row[table.Index("request")].Text)
	}
	sort.Strings(ids)
	return ids
}

// Guards against entries that a query misses or counts twice: those in blocks of other
// zones and hours, those that only a daemon holds, and those that are in both.
func TestQueryWholeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		now := time.Now()
		s.writeBlock("za", "a1", 1, entryOf("a1", 1, now.Add(-50*time.Minute)), entryOf("a2", 1, now.Add(-49*time.Minute)))
		s.writeBlock("za", "a1", 2, entryOf("a1", 2, now.Add(-time.Minute)))
		s.writeBlock("za", "a2", 1, entryOf("a1", 2, now.Add(-time.Minute)))
		s.writeBlock("zb", "b1", 1, entryOf("b1", 1, now.Add(-2*time.Minute)), entryOf("b1", 9, now.Add(-3*time.Hour)))
		s.daemons["a1"].tail = []vrrecord.Entry{entryOf("a1", 2, now.Add(-time.Minute)), entryOf("a1", 3, now.Add(-time.Second))}
		s.daemons["a2"].tail = []vrrecord.Entry{entryOf("a2", 2, now.Add(-time.Second))}
		s.daemons["b2"].tail = []vrrecord.Entry{entryOf("b2", 1, now.Add(-time.Second))}
		for _, id := range []vrid.DaemonID{"a1", "a2", "b2"} {
			table, err := s.daemons[id].show("show requests")
			require.NoError(t, err)
			require.Empty(t, table.Missing)
			require.Equal(t, []string{"a1-1", "a1-2", "a1-3", "a2-1", "a2-2", "b1-1", "b2-1"}, requestsOf(table), id)
		}
	})
}

// Guards against an answer that looks complete although a zone, a block or the
// platform is missing.
func TestQuerySaysWhatIsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		now := time.Now()
		key := s.writeBlock("za", "a1", 1, entryOf("a1", 1, now.Add(-time.Minute)))
		s.objects[key] = s.objects[key][:10]
		s.daemons["b1"].silent = true
		table, err := s.daemons["a1"].show("show requests since 10m")
		require.NoError(t, err)
		missing := strings.Join(table.Missing, "\n")
		require.Contains(t, missing, "zone zb: daemon b1 did not answer")
		require.Contains(t, missing, "block "+key)
		require.Contains(t, missing, "is incomplete")
		s.down = true
		table, err = s.daemons["a1"].show("show requests since 10m")
		require.NoError(t, err)
		require.Contains(t, strings.Join(table.Missing, "\n"), "the platform's list is unavailable")
	})
}

// Guards against a dead member of another zone that hides its whole zone: the zone's
// owner must answer in time and say that its answer is partial.
func TestQuerySilentMemberOfOtherZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.daemons["b2"].silent = true
		s.daemons["b1"].tail = []vrrecord.Entry{entryOf("b1", 1, time.Now().Add(-time.Second))}
		table, err := s.daemons["a1"].show("show requests since 10m")
		require.NoError(t, err)
		require.Equal(t, []string{"b1-1"}, requestsOf(table))
		require.Contains(t, strings.Join(table.Missing, "\n"), "zone zb: the last entries of daemon b1 are incomplete")
	})
}

// Guards against a query over many hours that uses up the daemon's calls to the
// platform: its own renewals would wait for them. The fake platform is asked once for
// each zone and day, then once for each writer and hour, at the stated rate.
func TestQueryPacesPlatformCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		now := time.Now()
		const hours = 60
		for i := range uint64(hours) {
			s.writeBlock("za", "a1", i+1, entryOf("a1", i+1, now.Add(-time.Second-time.Duration(i)*time.Hour)))
		}
		table, err := s.daemons["a1"].show("show requests since 3d")
		require.NoError(t, err)
		require.Empty(t, table.Missing)
		require.Len(t, table.Rows, hours)
		require.LessOrEqual(t, s.calls, hours+2*4)
		// The first second's calls may come at once.
		least := time.Duration(s.calls-defaultPlatformCalls) * time.Second / defaultPlatformCalls
		require.GreaterOrEqual(t, time.Since(now), least)
	})
}

// Guards against queries that pile up and take the processor from callers.
func TestQueriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		d := s.daemons["a1"]
		for range defaultQueries {
			d.running <- struct{}{}
		}
		_, err := d.show("show ranks")
		var failure *vrquery.Failure
		require.ErrorAs(t, err, &failure)
		require.Equal(t, vrquery.FailureUnavailable, failure.Kind)
	})
}

// Guards against a command that reports success before every zone has it, or that
// hides which zone has not.
func TestCommandWaitsForZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		answer, err := s.daemons["a2"].do("set replicas m@1 3")
		require.NoError(t, err)
		require.Equal(t, vrquery.CommandInForce, answer.State)
		require.Equal(t, []vrquery.Change{{Path: "model m@1 replicas", Before: "1", After: "3"}}, answer.Changes)
		s.slow["zb"] = true
		answer, err = s.daemons["a2"].do("drain server lm-1")
		require.NoError(t, err)
		require.Equal(t, vrquery.CommandAccepted, answer.State)
		require.Equal(t, []vrquery.ZoneVersion{{Zone: "za", Version: 6, InForce: true}, {Zone: "zb", Version: 5}}, answer.Zones)
		require.Equal(t, []vrid.ServerID{"lm-1"}, s.daemons["a2"].drains)
		answer, err = s.daemons["a2"].do("drain server lm-1")
		require.NoError(t, err)
		require.Equal(t, vrquery.CommandUnchanged, answer.State)
	})
}

// Guards against two winners of a race, and against a loser who isn't told what
// changed.
func TestOperatorsRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.race = &sync.WaitGroup{}
		s.race.Add(2)
		commands := []string{"set replicas m@1 2", "set rank urgent worth 7"}
		errs := make([]error, len(commands))
		var running sync.WaitGroup
		for i, id := range []vrid.DaemonID{"a1", "b1"} {
			running.Go(func() { _, errs[i] = s.daemons[id].do(commands[i]) })
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
		require.EqualValues(t, 5, s.head.Fleet.Version)
	})
}

// Guards against changes by a reader, a change while the platform is down that looks
// accepted, and explain that changes something.
func TestCommandRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		d := s.daemons["a1"]
		reader := caller{name: "audit", role: vrsettings.RoleRead}
		_, err := d.command(context.Background(), call{caller: reader, body: body(vrquery.CommandRequest{Command: "set weightStore slots 2"})})
		var auth *authError
		require.ErrorAs(t, err, &auth)
		answer, err := d.command(context.Background(), call{caller: reader, body: body(vrquery.CommandRequest{Command: "explain set weightStore slots 2"})})
		require.NoError(t, err)
		require.Equal(t, vrquery.CommandExplained, answer.State)
		s.down = true
		_, err = d.do("set weightStore slots 2")
		var failure *vrquery.Failure
		require.ErrorAs(t, err, &failure)
		require.Equal(t, vrquery.FailureUnavailable, failure.Kind)
		require.EqualValues(t, 4, s.head.Fleet.Version)
		_, err = d.do("retire kind prompt")
		var check *vrconfig.CheckError
		require.True(t, errors.As(err, &check), err)
	})
}

// Guards against a first configuration that can't be imported, and against an import
// that changes the number of claim logs.
func TestImport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		document := fleetOf()
		document.Version = 1
		document.Models[0].ReplicasPerZone = 5
		mei := caller{name: "mei", role: vrsettings.RoleCommand}
		answer, err := s.daemons["a1"].command(context.Background(), call{caller: mei, body: body(vrquery.CommandRequest{Document: document})})
		require.NoError(t, err)
		require.EqualValues(t, 5, answer.To)
		require.Equal(t, []vrquery.Change{{Path: "model m@1 replicas", Before: "1", After: "5"}}, answer.Changes)
		document.Claims.Shards = 9
		_, err = s.daemons["a1"].command(context.Background(), call{caller: mei, body: body(vrquery.CommandRequest{Document: document})})
		var failure *vrquery.Failure
		require.ErrorAs(t, err, &failure)
		require.Equal(t, vrquery.FailureRefused, failure.Kind)
	})
}

func (d *daemon) http(t *testing.T, method, path, token string, payload any) (int, string) {
	app := fiber.New()
	d.Mount(app)
	request := httptest.NewRequest(method, path, bytes.NewReader(body(payload)))
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	answer, err := app.Test(request, fiber.TestConfig{Timeout: time.Minute})
	require.NoError(t, err)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	return answer.StatusCode, string(text)
}

// Guards against access without a token, statuses that don't fit the failure, and an
// audit path that gives out other objects than the record.
func TestHTTP(t *testing.T) {
	s := newSite(t)
	d := s.daemons["a1"]
	for _, peer := range []vrid.DaemonID{"a2", "b1", "b2"} {
		s.daemons[peer].silent = true
	}
	key := s.writeBlock("za", "a1", 1, entryOf("a1", 1, time.Now()))
	prefix := key[:strings.LastIndexByte(key, '/')+1]
	claim := vrwire.ClaimSegment{Entries: []vrwire.ClaimEntry{{Service: "s", Key: "k", State: vrwire.ClaimDone, Body: []byte("customer data")}}}
	data, err := vrwire.Marshal(&claim)
	require.NoError(t, err)
	s.objects[vrplatform.ClaimKey(1, 1)] = data
	cases := []struct {
		method, path, token string
		payload             any
		status              int
		says                string
	}{
		{http.MethodPost, vrquery.PathQuery, "", vrquery.QueryRequest{Query: "show ranks"}, 401, "a token is needed"},
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
		status, text := d.http(t, c.method, c.path, c.token, c.payload)
		require.Equal(t, c.status, status, "%s %s: %s", c.method, c.path, text)
		require.Contains(t, text, c.says)
		require.NotContains(t, text, "customer")
		require.NotContains(t, text, "Y3VzdG9tZXI", "a stored answer in base64")
	}
}
