package vrburn

import (
	"context"
	"encoding/xml"
	"errors"
	"flag"
	"io"
	"os"
	"regexp"
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

var (
	_update   = flag.Bool("update", false, "write the golden files")
	_pagePath = flag.String("page", "", "also write the whole page to this file")
)

var _now = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// fakeSource answers queries over three days of requests. From 20:00 to 21:30 of the last day
// it simulates a flood of requests, during which some are refused and others are late.
type fakeSource struct{}

func (fakeSource) Now() time.Time { return _now }

func (fakeSource) State() *vrquery.State {
	second := vrid.Duration(time.Second)
	return &vrquery.State{
		Fleet: &vrconfig.Fleet{
			Pools: []vrconfig.Pool{{ID: "lm-serve", Kind: vrconfig.KindLanguageServer, Accelerators: 8}},
			Ranks: []vrconfig.RankPolicy{
				{Rank: vrid.RankUrgent, Target: 3 * second / 2, Weight: 10, Floor: 0.3, Objective: 0.95},
				{Rank: vrid.RankNormal, Target: 3 * second, Weight: 4, Floor: 0.2, Objective: 0.95},
				{Rank: vrid.RankDeferred, Target: 600 * second, Weight: 1, Floor: 0.1, Objective: 0.9},
			},
		},
		Servers: []vrwire.ServerItem{{Server: "lm-1", Pool: "lm-serve", Replicas: []vrwire.ReplicaItem{{Model: "summary@3", State: vrwire.ReplicaLoaded}}}},
	}
}

func (fakeSource) Entries(timeRange vrquery.TimeRange, yield func(*vrrecord.Entry) bool) error {
	start := _now.Add(-72 * time.Hour)
	const step = 20 * time.Second
	for i := 0; ; i++ {
		at := start.Add(time.Duration(i) * step)
		if !at.Before(_now) {
			break
		}
		if at.Before(timeRange.From) || !at.Before(timeRange.Until) {
			continue
		}
		entry := fakeEntry(i, at)
		if !yield(&entry) {
			return nil
		}
	}
	command := vrrecord.Entry{Kind: vrrecord.EntryCommand, At: _now.Add(-3 * time.Hour).UnixMilli(), Operator: "mei", Text: `set rank deferred floor 0.05 # <script>alert(1)</script>`}
	gap := vrrecord.Entry{Kind: vrrecord.EntryGap, At: _now.Add(-2 * time.Hour).UnixMilli(), GapFirst: 10, GapLast: 12}
	_ = yield(&command) && yield(&gap)
	return nil
}

// fakeEntry returns the entry of request i, which ends at the given time.
func fakeEntry(i int, at time.Time) vrrecord.Entry {
	entry := vrrecord.Entry{
		Kind: vrrecord.EntryAnswered, Number: uint64(i + 1), At: at.UnixMilli(), Rank: vrid.Ranks()[i%3], Model: "summary@3",
		FirstToken: int64(250_000 + i%11*40_000), Total: 4_000_000, Server: "lm-1", Ran: vrrecord.RanYes,
	}
	flood := at.After(_now.Add(-4*time.Hour)) && at.Before(_now.Add(-150*time.Minute))
	if flood && i%5 == 0 {
		entry.Kind, entry.Reason, entry.Ran = vrrecord.EntryRefused, "deadlineUnreachable", vrrecord.RanNo
	}
	if flood && i%7 == 0 {
		entry.FirstToken = 2_400_000
	}
	return entry
}

// Query implements Source.
func (s fakeSource) Query(_ context.Context, query string) (*vrquery.Table, error) {
	statement, err := vrquery.Parse(query)
	if err != nil {
		return nil, err
	}
	return vrquery.Run(statement, s)
}

var _svg = regexp.MustCompile(`(?s)<svg.*?</svg>`)

// Guards against a page that lacks a section, shows a wrong number, loads an external
// resource or runs a script that an operator put into a command.
func TestPageGolden(t *testing.T) {
	report, err := Collect(context.Background(), fakeSource{}, Options{From: _now.Add(-24 * time.Hour), Until: _now})
	require.NoError(t, err)
	page, err := report.HTML()
	require.NoError(t, err)
	if *_pagePath != "" {
		require.NoError(t, os.WriteFile(*_pagePath, page, 0o644))
	}
	plots := _svg.FindAll(page, -1)
	require.Len(t, plots, 3)
	for _, plot := range plots {
		requireWellFormed(t, string(plot))
	}
	text := _svg.ReplaceAllString(string(page), "<svg/>")
	require.NotContains(t, text, "<script")
	require.NotContains(t, text, "src=")
	if *_update {
		require.NoError(t, os.WriteFile("testdata/burn.golden.html", []byte(text), 0o644))
	}
	want, err := os.ReadFile("testdata/burn.golden.html")
	require.NoError(t, err)
	require.Equal(t, string(want), text)
}

// requireWellFormed requires that text is well-formed XML.
func requireWellFormed(t *testing.T, text string) {
	decoder := xml.NewDecoder(strings.NewReader(text))
	for {
		_, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		require.NoError(t, err)
	}
}

// emptySource answers queries over a fleet with ranks but no entries, one of whose zones can't be
// reached.
type emptySource struct{ fakeSource }

func (emptySource) Query(_ context.Context, query string) (*vrquery.Table, error) {
	if query == "show ranks" {
		return fakeSource{}.Query(context.Background(), query)
	}
	return &vrquery.Table{Missing: []string{"zone tw-south-a: it can't be reached"}}, nil
}

// Guards against a report that can't be created if the record is empty, or that looks complete
// although a zone is missing.
func TestPageWithoutEntries(t *testing.T) {
	report, err := Collect(context.Background(), emptySource{}, Options{From: _now.Add(-time.Hour), Until: _now})
	require.NoError(t, err)
	page, err := report.HTML()
	require.NoError(t, err)
	require.Contains(t, string(page), "Every rank kept its objective")
	require.Contains(t, string(page), "Missing: zone tw-south-a")
}
