package vrquery

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

var _update = flag.Bool("update", false, "write the golden files")

// compareGolden runs each line of testdata/name.txt and compares the output with
// testdata/name.golden. The flag -update rewrites the golden file.
func compareGolden(t *testing.T, name string, evaluate func(line string) string) {
	input, err := os.ReadFile(filepath.Join("testdata", name+".txt"))
	require.NoError(t, err)
	var out strings.Builder
	for line := range strings.SplitSeq(strings.TrimSpace(string(input)), "\n") {
		fmt.Fprintf(&out, ">> %s\n%s\n", line, strings.TrimRight(evaluate(line), "\n"))
	}
	path := filepath.Join("testdata", name+".golden")
	if *_update {
		require.NoError(t, os.WriteFile(path, []byte(out.String()), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), out.String())
}

func testFleet() *vrconfig.Fleet {
	second := vrid.Duration(time.Second)
	hash := strings.Repeat("ab", 32)
	return &vrconfig.Fleet{
		Version: 7, Deployment: "shuyuan",
		Regions: []vrconfig.Region{{ID: "tw-north", Zones: []vrid.ZoneID{"tw-north-a"}}, {ID: "tw-south", Zones: []vrid.ZoneID{"tw-south-a"}}},
		Pools: []vrconfig.Pool{
			{ID: "lm-serve", Kind: vrconfig.KindLanguageServer, Memory: 80 * vrid.GiB, Accelerators: 8, Slots: 16},
			{ID: "circle-app", Kind: vrconfig.KindApplicationServer, Slots: 32},
		},
		Models: []vrconfig.Model{
			{ID: "summary@3", Memory: 14 * vrid.GiB, LoadTime: second, ReplicasPerZone: 2, Kind: "prompt", Pool: "lm-serve"},
			{ID: "digest@1", Memory: 9 * vrid.GiB, LoadTime: second, ReplicasPerZone: 1, Kind: "nightly", Pool: "lm-serve"},
		},
		Adapters: []vrconfig.Adapter{{ID: "club-7@1", Base: "summary@3", Memory: 200 * vrid.MiB}},
		Services: []vrconfig.Service{{ID: "circles", Pool: "circle-app", Calls: []vrconfig.CallRule{{Method: "POST", Path: "/join", Kind: "join"}}}},
		Kinds:    []vrconfig.Kind{{ID: "prompt", Rank: vrid.RankUrgent}, {ID: "join", Rank: vrid.RankNormal}, {ID: "nightly", Rank: vrid.RankDeferred}},
		Ranks: []vrconfig.RankPolicy{
			{Rank: vrid.RankUrgent, Target: vrid.Duration(1500 * time.Millisecond), Deadline: 4 * second, Weight: 10, Floor: 0.3, Objective: 0.95, CallerShare: 0.5},
			{Rank: vrid.RankNormal, Target: 3 * second, Deadline: 10 * second, Weight: 4, Floor: 0.2, Objective: 0.95, CallerShare: 0.5},
			{Rank: vrid.RankDeferred, Target: 600 * second, Deadline: 3600 * second, Weight: 1, Floor: 0.1, Objective: 0.9, CallerShare: 1},
		},
		Callers:     []vrconfig.Caller{{ID: "school-4", TokenHash: hash}},
		WeightStore: vrconfig.WeightStore{Slots: 4, AdapterSlots: 32},
		CrossRegion: vrconfig.CrossRegion{BytesPerHour: 10 * vrid.GiB, UrgentOverdraft: 0.2},
		Claims:      vrconfig.Claims{Shards: 3, Retention: 3600 * second},
		Record:      vrconfig.Record{Retention: 3600 * second},
		Drained:     []vrid.ServerID{"lm-9"},
	}
}

// Checks that parse errors point to the position of the error and say what is expected
// there.
func TestParseErrors(t *testing.T) {
	compareGolden(t, "errors", func(line string) string {
		statement, err := Parse(strings.ReplaceAll(line, `\n`, "\n"))
		if err == nil {
			return "ok " + fmt.Sprint(statement.IsCommand())
		}
		var syntax *SyntaxError
		if !errors.As(err, &syntax) {
			return "NOT A SYNTAX ERROR " + err.Error()
		}
		return err.Error()
	})
}

// Checks that a command changes exactly what it reports, also in response to explain, that
// it leaves the previous configuration unmodified, and that Diff reports the same changes.
func TestApply(t *testing.T) {
	before, err := json.Marshal(testFleet())
	require.NoError(t, err)
	compareGolden(t, "commands", func(line string) string {
		fleet := testFleet()
		require.NoError(t, fleet.Validate())
		statement, err := Parse(line)
		if err != nil {
			return err.Error()
		}
		next, changes, err := Apply(fleet, statement)
		after, marshalErr := json.Marshal(fleet)
		require.NoError(t, marshalErr)
		require.Equal(t, string(before), string(after), "the command modified the previous configuration")
		if err != nil {
			return err.Error()
		}
		require.ElementsMatch(t, changes, Diff(fleet, next), "Diff, which an operator sees after a conflict, reports other changes")
		lines := []string{fmt.Sprintf("version %d", next.Version)}
		for _, change := range changes {
			lines = append(lines, change.String())
		}
		return strings.Join(lines, "\n")
	})
}

var _now = time.Date(2026, 12, 4, 4, 0, 0, 0, time.UTC)

type fakeSource struct {
	state   *State
	entries func(yield func(*vrrecord.Entry) bool)
}

func (f *fakeSource) Now() time.Time { return _now }

func (f *fakeSource) State() *State { return f.state }

func (f *fakeSource) Entries(timeRange TimeRange, yield func(*vrrecord.Entry) bool) error {
	for entry := range f.entries {
		at := time.UnixMilli(entry.At)
		if at.Before(timeRange.From) || !at.Before(timeRange.Until) {
			continue
		}
		if !yield(entry) {
			return nil
		}
	}
	return nil
}

// makeEntry writes the i-th test entry to entry. Entries are 20 s apart, going back from
// now.
func makeEntry(i int, entry *vrrecord.Entry) {
	ranks := vrid.Ranks()
	*entry = vrrecord.Entry{
		Kind: vrrecord.EntryAnswered, Number: uint64(i + 1), Request: vrid.RequestID(fmt.Sprintf("R%05d", i)),
		Daemon: "vm-1", Boot: "B1", Zone: "tw-north-a", At: _now.Add(-time.Duration(i+1) * 20 * time.Second).UnixMilli(),
		Rank: ranks[i%3], Model: "summary@3", Ran: vrrecord.RanYes, Server: "lm-1", ServerZone: "tw-north-a", Attempts: 1,
		Queued: 2_000, FirstToken: int64(200_000 + i%7*50_000), Total: 3_000_000, Tokens: 40, Cold: i%10 == 0, Config: 7,
	}
	if i%3 == 2 {
		entry.Model = "digest@1"
	}
	switch {
	case i%8 == 3:
		entry.Kind, entry.Ran, entry.Server = vrrecord.EntryRefused, vrrecord.RanNo, ""
		entry.Reason, entry.FirstToken, entry.Total = string(vrwire.ReasonDeadlineUnreachable), 0, 1_000
	case i%25 == 4:
		entry.FirstToken = 2_500_000
	}
}

func newFakeSource(count int) *fakeSource {
	return &fakeSource{
		state: &State{
			Fleet:   testFleet(),
			Zones:   []ZoneState{{Zone: "tw-north-a", Owner: "vm-1", Epoch: 3, Config: 7, InForce: 7, Reachable: true}, {Zone: "tw-south-a", Owner: "vm-9", Epoch: 5, Config: 6, InForce: 6}},
			Daemons: []DaemonState{{Zone: "tw-north-a", Config: 7, Member: vrwire.MemberItem{Daemon: "vm-1", Boot: "B1", State: vrwire.MemberAlive, Opened: 812, Peer: "127.0.0.1:7001"}}},
			Servers: []vrwire.ServerItem{
				{Server: "lm-1", Pool: "lm-serve", Zone: "tw-north-a", Address: "127.0.0.1:8001", State: vrwire.ServerLive, Running: 3, Slots: 16, Replicas: []vrwire.ReplicaItem{{Model: "summary@3", State: vrwire.ReplicaLoaded}}},
				{Server: "lm-2", Pool: "lm-serve", Zone: "tw-south-a", Address: "127.0.0.1:8002", State: vrwire.ServerDrained, Slots: 16},
			},
		},
		entries: func(yield func(*vrrecord.Entry) bool) {
			var entry vrrecord.Entry
			for i := range count {
				makeEntry(i, &entry)
				if !yield(&entry) {
					return
				}
			}
			special := []vrrecord.Entry{
				{Kind: vrrecord.EntryCommand, At: _now.Add(-30 * time.Hour).UnixMilli(), Operator: "mei", FromConfig: 6, Config: 7, Text: "set replicas summary@3 2"},
				{Kind: vrrecord.EntryLoad, At: _now.Add(-40 * time.Minute).UnixMilli(), Zone: "tw-north-a", Server: "lm-1", Model: "summary@3", Total: 900_000, Epoch: 3, Text: "demand"},
				{Kind: vrrecord.EntryGap, At: _now.Add(-5 * time.Hour).UnixMilli(), Zone: "tw-north-a", Daemon: "vm-2", Boot: "B4", GapFirst: 90, GapLast: 93},
			}
			for i := range special {
				if !yield(&special[i]) {
					return
				}
			}
		},
	}
}

// Checks rows, counts, percentiles and output formats of queries.
func TestQueries(t *testing.T) {
	compareGolden(t, "queries", func(line string) string {
		format := FormatTable
		if before, after, found := strings.Cut(line, " | "); found {
			line, format = before, Format(after)
		}
		statement, err := Parse(line)
		if err != nil {
			return err.Error()
		}
		result, err := Run(statement, newFakeSource(1000))
		if err != nil {
			return err.Error()
		}
		var out strings.Builder
		if err := result.Write(&out, format); err != nil {
			return err.Error()
		}
		return out.String()
	})
}

// Checks that the memory use of a query does not grow with the record: an ungrouped, a
// grouped and a burn query read a million entries with less than 64 MB of live heap.
func TestMillionEntries(t *testing.T) {
	const count = 1_000_000
	for _, line := range []string{
		"show requests since 400d where reason = deadlineUnreachable limit 100",
		"show requests since 400d by rank, model per 1d",
		"show burn since 400d by rank",
	} {
		statement, err := Parse(line)
		require.NoError(t, err)
		source := newFakeSource(count)
		inner, seen, peak := source.entries, 0, uint64(0)
		source.entries = func(yield func(*vrrecord.Entry) bool) {
			for entry := range inner {
				if seen++; seen%250_000 == 0 {
					runtime.GC()
					var stats runtime.MemStats
					runtime.ReadMemStats(&stats)
					peak = max(peak, stats.HeapAlloc)
				}
				if !yield(entry) {
					return
				}
			}
		}
		result, err := Run(statement, source)
		require.NoError(t, err)
		require.NotEmpty(t, result.Rows)
		require.GreaterOrEqual(t, seen, count)
		require.Less(t, peak, uint64(64<<20), line)
	}
}

// Checks that a table survives its JSON encoding, in which verbenactl receives it.
func TestTableRoundTrip(t *testing.T) {
	statement, err := Parse("show requests by rank")
	require.NoError(t, err)
	result, err := Run(statement, newFakeSource(300))
	require.NoError(t, err)
	data, err := json.Marshal(result)
	require.NoError(t, err)
	var decoded Table
	require.NoError(t, json.Unmarshal(data, &decoded))
	require.Equal(t, *result, decoded)
}

// Checks that caller-supplied text can't send control sequences to the operator's
// terminal.
func TestControlCharacters(t *testing.T) {
	result := &Table{Columns: []Column{{Name: "caller", Kind: KindText}}, Rows: [][]Cell{{textCell("a\x1b[2Jb")}}}
	var out strings.Builder
	require.NoError(t, result.Write(&out, FormatTable))
	require.Equal(t, "caller\na?[2Jb\n", out.String())
}

// Checks that no input panics the parser, the planner or the execution of commands.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"errors", "commands", "queries"} {
		input, err := os.ReadFile(filepath.Join("testdata", name+".txt"))
		require.NoError(f, err)
		for line := range strings.SplitSeq(string(input), "\n") {
			f.Add(line)
		}
	}
	source := newFakeSource(20)
	f.Fuzz(func(t *testing.T, line string) {
		statement, err := Parse(line)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		if statement.IsCommand() {
			_, _, _ = Apply(source.state.Fleet, statement)
			return
		}
		_, _ = Run(statement, source)
	})
}

// Checks that completion offers exactly the words that are valid at the end of the line.
func TestComplete(t *testing.T) {
	cases := []struct{ line, want string }{
		{"", "declare drain explain retire set show undrain"},
		{"sh", "show"},
		{"show re", "refused replicas requests"},
		{"show requests ", "by columns limit order by per since until where"},
		{"show requests where ra", "ran rank"},
		{"show requests where rank = ", "deferred normal urgent"},
		{"show requests where rank =", "deferred normal urgent"},
		{"show requests where reason = dead", "deadlineExceeded deadlineUnreachable"},
		{"show requests by mod", "model"},
		{"declare mo", "model"},
		{"declare model x ", "kind load memory pool replicas zones"},
		{"set ", "budget claims rank record replicas weightStore"},
		{"set rank u", "urgent"},
		{"set rank urgent t", "target"},
		{"set weightStore ", "adapterSlots slots"},
		{"show requests limit ", ""},
	}
	for _, c := range cases {
		require.Equal(t, c.want, strings.Join(Complete(c.line), " "), c.line)
	}
}
