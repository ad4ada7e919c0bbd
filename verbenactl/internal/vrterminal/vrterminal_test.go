package vrterminal

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrquery"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

var _now = time.Date(2026, 12, 4, 4, 0, 0, 0, time.UTC)

// fakeDaemon answers like a daemon over a small record.
type fakeDaemon struct {
	t       *testing.T
	fleet   *vrconfig.Fleet
	blocks  map[string][]byte
	claims  []vrwire.ClaimEntry
	missing []string
	// fails, when set, is the answer to every command.
	fails *vrquery.Failure
	// slow keeps zone zb from acknowledging.
	slow  bool
	calls int
}

func newFakeDaemon(t *testing.T) *fakeDaemon {
	second := vrid.Duration(time.Second)
	d := &fakeDaemon{t: t, blocks: make(map[string][]byte)}
	d.fleet = &vrconfig.Fleet{
		Version: 4, Deployment: "t",
		Regions:     []vrconfig.Region{{ID: "r", Zones: []vrid.ZoneID{"za", "zb"}}},
		Pools:       []vrconfig.Pool{{ID: "lm", Kind: vrconfig.KindLanguageServer, Memory: vrid.GiB, Slots: 4}},
		Kinds:       []vrconfig.Kind{{ID: "prompt"}},
		Models:      []vrconfig.Model{{ID: "m@1", Memory: vrid.MiB, LoadTime: second, ReplicasPerZone: 1, Kind: "prompt", Pool: "lm"}},
		WeightStore: vrconfig.WeightStore{Slots: 4, AdapterSlots: 32},
		Claims:      vrconfig.Claims{Shards: 2, Retention: second}, Record: vrconfig.Record{Retention: second},
	}
	for _, rank := range vrid.Ranks() {
		d.fleet.Ranks = append(d.fleet.Ranks, vrconfig.RankPolicy{Rank: rank, Target: second, Deadline: 2 * second, Weight: 1, Objective: 0.9, CallerShare: 1})
	}
	d.writeChain()
	return d
}

func entryOf(number uint64) vrrecord.Entry {
	return vrrecord.Entry{
		Kind: vrrecord.EntryAnswered, Number: number, Request: vrid.RequestID(fmt.Sprint("R", number)), Daemon: "d1", Boot: "B1", Zone: "za",
		At: _now.Add(-10*time.Minute + time.Duration(number)*time.Second).UnixMilli(), Model: "m@1", Ran: vrrecord.RanYes, Attempts: 1, Total: 900_000,
	}
}

// writeChain writes two blocks with entries 1 to 6; entry 5 ran with a key.
func (d *fakeDaemon) writeChain() {
	var previous []byte
	for sequence := uint64(1); sequence <= 2; sequence++ {
		block := &vrrecord.Block{Zone: "za", Writer: "d1", Boot: "B1", Sequence: sequence, Previous: previous}
		for number := 3*sequence - 2; number <= 3*sequence; number++ {
			entry := entryOf(number)
			if number == 5 {
				entry.Service, entry.Key = "circles", "k5"
			}
			data, err := vrwire.Marshal(&entry)
			require.NoError(d.t, err)
			block.Entries = append(block.Entries, data)
			block.Until = entry.At
		}
		block.Coverage = []vrrecord.Coverage{{Daemon: "d1", Boot: "B1", First: 3*sequence - 2, Last: 3 * sequence, Opened: 6}}
		data, err := vrrecord.EncodeBlock(block)
		require.NoError(d.t, err)
		d.blocks[block.Key()] = data
		previous = vrrecord.Hash(data)
	}
	d.claims = []vrwire.ClaimEntry{{Service: "circles", Key: "k5", State: vrwire.ClaimDone, Request: "R5", Daemon: "d1", Boot: "B1", At: entryOf(5).At}}
}

// Now implements vrquery.Source.
func (d *fakeDaemon) Now() time.Time { return _now }

// State implements vrquery.Source.
func (d *fakeDaemon) State() *vrquery.State { return &vrquery.State{Fleet: d.fleet} }

// Entries implements vrquery.Source.
func (d *fakeDaemon) Entries(_ vrquery.TimeRange, yield func(*vrrecord.Entry) bool) error {
	for number := uint64(1); number <= 6; number++ {
		entry := entryOf(number)
		if !yield(&entry) {
			break
		}
	}
	return nil
}

func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.calls++
	if r.Header.Get("Authorization") != "Bearer secret" {
		d.fail(w, http.StatusUnauthorized, &vrquery.Failure{Kind: vrquery.FailureRefused, Message: "the token is unknown"})
		return
	}
	switch r.URL.Path {
	case vrquery.PathQuery:
		d.query(w, r)
	case vrquery.PathCommand:
		d.command(w, r)
	case vrquery.PathConfiguration:
		d.answer(w, d.fleet)
	case vrquery.PathBlocks:
		d.record(w, r)
	case vrquery.PathClaims:
		d.answer(w, d.claimsPart(r.URL.Query().Get("shard"), r.URL.Query().Get("after")))
	}
}

func (d *fakeDaemon) answer(w http.ResponseWriter, value any) {
	require.NoError(d.t, json.NewEncoder(w).Encode(value))
}

func (d *fakeDaemon) fail(w http.ResponseWriter, status int, failure *vrquery.Failure) {
	w.WriteHeader(status)
	d.answer(w, failure)
}

func (d *fakeDaemon) query(w http.ResponseWriter, r *http.Request) {
	var call vrquery.QueryRequest
	require.NoError(d.t, json.NewDecoder(r.Body).Decode(&call))
	statement, err := vrquery.Parse(call.Query)
	require.NoError(d.t, err)
	table, err := vrquery.Run(statement, d)
	require.NoError(d.t, err)
	table.Missing = d.missing
	d.answer(w, table)
}

func (d *fakeDaemon) command(w http.ResponseWriter, r *http.Request) {
	var call vrquery.CommandRequest
	require.NoError(d.t, json.NewDecoder(r.Body).Decode(&call))
	if d.fails != nil {
		d.fail(w, http.StatusConflict, d.fails)
		return
	}
	answer := vrquery.CommandResponse{From: d.fleet.Version, State: vrquery.CommandInForce}
	if call.Document != nil {
		answer.Changes = vrquery.Diff(d.fleet, call.Document)
		d.answer(w, answer)
		return
	}
	statement, err := vrquery.Parse(call.Command)
	require.NoError(d.t, err)
	next, changes, err := vrquery.Apply(d.fleet, statement)
	if err != nil {
		d.fail(w, http.StatusUnprocessableEntity, &vrquery.Failure{Kind: vrquery.FailureRefused, Message: err.Error()})
		return
	}
	answer.To, answer.Changes = next.Version, changes
	answer.Zones = []vrquery.ZoneVersion{{Zone: "za", Version: next.Version, InForce: true}, {Zone: "zb", Version: next.Version, InForce: true}}
	switch {
	case statement.Explain:
		answer.State, answer.Zones = vrquery.CommandExplained, nil
	case len(changes) == 0:
		answer.State = vrquery.CommandUnchanged
	case d.slow:
		answer.State = vrquery.CommandAccepted
		answer.Zones[1] = vrquery.ZoneVersion{Zone: "zb", Version: d.fleet.Version}
		d.fleet = next
	default:
		d.fleet = next
	}
	d.answer(w, answer)
}

// claimsPart gives the claims of shard 1 in its second part.
func (d *fakeDaemon) claimsPart(shard, after string) vrquery.ClaimsResponse {
	switch {
	case shard == "1" && after == "":
		return vrquery.ClaimsResponse{Next: "claims/1/000000000001"}
	case shard == "1":
		return vrquery.ClaimsResponse{Claims: d.claims}
	}
	return vrquery.ClaimsResponse{}
}

func (d *fakeDaemon) record(w http.ResponseWriter, r *http.Request) {
	day, prefix := "record/"+r.URL.Query().Get("zone")+"/"+r.URL.Query().Get("day"), r.URL.Query().Get("prefix")
	answer := vrquery.BlocksResponse{}
	for key, data := range d.blocks {
		switch {
		case prefix != "" && strings.HasPrefix(key, prefix):
			answer.Blocks = append(answer.Blocks, vrquery.RawBlock{Key: key, Data: data})
		case prefix == "" && strings.HasPrefix(key, day):
			answer.Blocks = append(answer.Blocks, vrquery.RawBlock{Key: key})
		}
	}
	d.answer(w, answer)
}

type result struct {
	status int
	out    string
	err    string
}

func (d *fakeDaemon) ctl(input string, args ...string) result {
	server := httptest.NewServer(d)
	defer server.Close()
	return ctl(input, map[string]string{EnvDaemons: server.URL, EnvToken: "secret"}, args...)
}

func ctl(input string, env map[string]string, args ...string) result {
	var out, errs strings.Builder
	status := Main(args, Streams{
		In: strings.NewReader(input), Out: &out, Err: &errs,
		Env: func(name string) string { return env[name] },
		Now: func() time.Time { return _now },
	})
	return result{status: status, out: out.String(), err: errs.String()}
}

// Guards against exit statuses that a script can't tell apart.
func TestExitStatus(t *testing.T) {
	cases := []struct {
		name   string
		change func(*fakeDaemon)
		input  string
		args   []string
		status int
		says   string
	}{
		{"query", nil, "", []string{"show requests by model"}, ExitOK, "m@1        6"},
		{"words", nil, "", []string{"show", "ranks"}, ExitOK, "urgent"},
		{"json", nil, "", []string{"--output", "json", "show requests by model"}, ExitOK, `"count": 6`},
		{"csv", nil, "", []string{"--output", "csv", "show requests by model"}, ExitOK, "m@1,6,"},
		{"unknown output", nil, "", []string{"--output", "xml", "show ranks"}, ExitUsage, "allowed are table, json, csv"},
		{"syntax", nil, "", []string{"show rnks"}, ExitUsage, "     ^"},
		{"unknown flag", nil, "", []string{"--foo"}, ExitUsage, "unknown flag"},
		{"command", nil, "", []string{"set replicas m@1 2"}, ExitOK, "version 5 is in force in 2 zones:\n  model m@1 replicas: 1 -> 2"},
		{"unchanged", nil, "", []string{"set replicas m@1 1"}, ExitOK, "nothing to change"},
		{"explain", nil, "", []string{"explain", "set replicas m@1 2"}, ExitOK, "version 4 would become 5"},
		{"refused", nil, "", []string{"set weightStore slots 0"}, ExitRefused, "weightStore.slots"},
		{"wrong token", nil, "", []string{"--token", "x", "show ranks"}, ExitRefused, "the token is unknown"},
		{"conflict", func(d *fakeDaemon) {
			d.fails = &vrquery.Failure{Kind: vrquery.FailureConflict, Message: "another change came first"}
		}, "", []string{"set replicas m@1 2"}, ExitConflict, "another change came first"},
		{"undecided", func(d *fakeDaemon) {
			d.fails = &vrquery.Failure{Kind: vrquery.FailureUndecided, Message: "may still take effect"}
		}, "", []string{"set replicas m@1 2"}, ExitUnavailable, "may still take effect"},
		{"partial query", func(d *fakeDaemon) { d.missing = []string{"zone zb: no answer"} }, "", []string{"show requests"}, ExitPartial, "zone zb: no answer"},
		{"partial command", func(d *fakeDaemon) { d.slow = true }, "", []string{"set replicas m@1 2"}, ExitPartial, "zone zb has version 4, not yet 5"},
		{"no wait", func(d *fakeDaemon) { d.slow = true }, "", []string{"--no-wait", "set replicas m@1 2"}, ExitOK, "version 5 is accepted"},
		{"script", nil, "# night\nset replicas m@1 2\n\nshow models\n", nil, ExitOK, "m@1"},
		{"script stops", nil, "set replicas m@1 2\nset replicas x 2\nset replicas m@1 7\n", nil, ExitRefused, "line:2:"},
		{"audit", nil, "", []string{"audit", "verify"}, ExitOK, "no fault was found"},
		{"export", nil, "", []string{"export"}, ExitOK, `"deployment": "t"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newFakeDaemon(t)
			if c.change != nil {
				c.change(d)
			}
			got := d.ctl(c.input, c.args...)
			require.Equal(t, c.status, got.status, "%s\n%s", got.out, got.err)
			require.Contains(t, got.out+got.err, c.says)
		})
	}
}

// Guards against a missing daemon that is taken for an empty answer, and against a
// malformed line that is sent to a daemon at all.
func TestNoDaemon(t *testing.T) {
	got := ctl("", map[string]string{}, "show ranks")
	require.Equal(t, ExitUsage, got.status)
	require.Contains(t, got.err, "no daemon is named")
	got = ctl("", map[string]string{EnvDaemons: "http://127.0.0.1:1"}, "show ranks")
	require.Equal(t, ExitUnavailable, got.status)
	d := newFakeDaemon(t)
	require.Equal(t, ExitUsage, d.ctl("", "show rnks").status)
	require.Zero(t, d.calls)
}

// Guards against a dead daemon that keeps operators from the fleet, and against a
// command that is given to two daemons.
func TestNextDaemon(t *testing.T) {
	d := newFakeDaemon(t)
	server := httptest.NewServer(d)
	defer server.Close()
	env := map[string]string{EnvDaemons: "http://127.0.0.1:1," + server.URL, EnvToken: "secret"}
	require.Equal(t, ExitOK, ctl("", env, "show ranks").status)
	cut := 0
	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		cut++
		connection, _, err := w.(http.Hijacker).Hijack()
		require.NoError(t, err)
		require.NoError(t, connection.Close())
	}))
	defer broken.Close()
	env[EnvDaemons] = broken.URL + "," + server.URL
	before := d.calls
	got := ctl("", env, "set replicas m@1 2")
	require.NotEqual(t, ExitOK, got.status)
	require.Equal(t, before, d.calls, "the command went to a second daemon after it was sent to the first")
	require.Equal(t, 1, cut)
}

// Guards against an audit over the operators' port that misses an altered, dropped or
// doubled entry, a missing block or a claim that disagrees, or reports no exit status.
func TestAuditTampered(t *testing.T) {
	first := "record/za/2026-12-04T03/d1-B1/000000000001"
	second := "record/za/2026-12-04T03/d1-B1/000000000002"
	rewrite := func(key string, change func(*vrrecord.Block)) func(*fakeDaemon) {
		return func(d *fakeDaemon) {
			block, err := vrrecord.DecodeBlock(d.blocks[key])
			require.NoError(d.t, err)
			change(block)
			d.blocks[key], err = vrrecord.EncodeBlock(block)
			require.NoError(d.t, err)
		}
	}
	cases := []struct {
		name   string
		change func(*fakeDaemon)
		says   string
	}{
		{"alter", rewrite(first, func(b *vrrecord.Block) {
			entry, err := b.Entry(1)
			require.NoError(t, err)
			entry.Total = 1
			b.Entries[1], err = vrwire.Marshal(entry)
			require.NoError(t, err)
		}), "FAULT alteredBlock " + first},
		{"drop", rewrite(first, func(b *vrrecord.Block) { b.Entries = b.Entries[:2] }), "FAULT missingEntry " + first + " d1/B1 number 3"},
		{"double", rewrite(second, func(b *vrrecord.Block) { b.Entries = append(b.Entries, b.Entries[0]) }), "FAULT doubledEntry " + second + " d1/B1 number 4"},
		{"drop block", func(d *fakeDaemon) { delete(d.blocks, first) }, "block 1 before it is missing"},
		{"strange key", func(d *fakeDaemon) { d.blocks["record/za/2026-12-04T03/x"] = nil }, "FAULT unreadableBlock record/za/2026-12-04T03/x"},
		{"unclaimed", func(d *fakeDaemon) { d.claims = nil }, "FAULT unclaimed circles key k5 request R5"},
		{"ran twice", func(d *fakeDaemon) {
			rewrite(second, func(b *vrrecord.Block) {
				entry, err := b.Entry(2)
				require.NoError(t, err)
				entry.Service, entry.Key = "circles", "k5"
				b.Entries[2], err = vrwire.Marshal(entry)
				require.NoError(t, err)
			})(d)
		}, "FAULT ranTwice circles key k5 request R6"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newFakeDaemon(t)
			c.change(d)
			got := d.ctl("", "audit", "verify")
			require.Equal(t, ExitFault, got.status, got.out+got.err)
			require.Contains(t, got.out, c.says)
		})
	}
	d := newFakeDaemon(t)
	got := d.ctl("", "audit", "verify", "--since", "2h", "--output", "json")
	require.Equal(t, ExitOK, got.status, got.err)
	require.Contains(t, got.out, `"terminals": 6`)
}

// Guards against an import that ignores a misspelled field, and an export that can't be
// imported.
func TestImportExport(t *testing.T) {
	d := newFakeDaemon(t)
	path := filepath.Join(t.TempDir(), "fleet.json")
	exported := d.ctl("", "export")
	require.NoError(t, os.WriteFile(path, []byte(exported.out), 0o600))
	require.Equal(t, ExitOK, d.ctl("", "import", path).status)
	require.NoError(t, os.WriteFile(path, []byte(`{"modles": []}`), 0o600))
	got := d.ctl("", "import", path)
	require.Equal(t, ExitUsage, got.status)
	require.Contains(t, got.err, "modles")
}

// Guards against a report that is not written, or that looks complete when it is not.
func TestReportBurn(t *testing.T) {
	d := newFakeDaemon(t)
	path := filepath.Join(t.TempDir(), "burn.html")
	got := d.ctl("", "report", "burn", "--since", "24h", "--out", path)
	require.Equal(t, ExitOK, got.status, got.err)
	page, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Contains(t, string(page), "Every rank kept its objective")
	d.missing = []string{"zone zb: no answer"}
	require.Equal(t, ExitPartial, d.ctl("", "report", "burn", "--out", path).status)
}

// Guards against completion that breaks quoted statements in the shell.
func TestCompletion(t *testing.T) {
	words, _ := completeArgs(nil, nil, "show re")
	require.Equal(t, []string{"show refused", "show replicas", "show requests"}, words)
	words, _ = completeArgs(nil, []string{"show"}, "ref")
	require.Equal(t, []string{"refused"}, words)
	rest, length := completer{}.Do([]rune("show requests where rank = ur"), 29)
	require.Equal(t, 2, length)
	require.Equal(t, "gent ", string(rest[0]))
}
