// Package vrburn makes the report on service levels: one page that says what burned,
// when and why, and what the other ranks kept.
package vrburn

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrquery"
)

// Source answers queries.
type Source interface {
	Query(ctx context.Context, query string) (*vrquery.Table, error)
}

// Options say what to report.
type Options struct {
	From time.Time
	Now  time.Time
}

// Report is everything that the page shows.
type Report struct {
	From   time.Time
	Until  time.Time
	Bucket time.Duration
	Ranks  []Rank
	// Pairs are the burn rates by rank and pair of windows.
	Pairs    []Pair
	Episodes []Episode
	Reasons  []Reason
	Models   []Model
	Burning  []Pair
	Pools    []Pool
	Changes  []Change
	Lost     int
	Missing  []string
}

// Rank is how one rank was served.
type Rank struct {
	Name      string
	Target    float64
	Objective float64
	Floor     float64
	Requests  float64
	Refused   float64
	Bad       float64
	P95       float64
	P99       float64
	Points    []Point
}

// Point is one bucket of time.
type Point struct {
	At       time.Time
	Requests float64
	Bad      float64
	P95      float64
}

// Good is the part of the requests that were served in time.
func (r Rank) Good() float64 {
	if r.Requests == 0 {
		return 1
	}
	return 1 - r.Bad/r.Requests
}

// Burn is the part of the allowed bad requests that was used, 1 for all of them.
func (r Rank) Burn() float64 { return burn(r.Bad, r.Requests, r.Objective) }

func burn(bad, requests, objective float64) float64 {
	if requests == 0 || objective >= 1 {
		return 0
	}
	return bad / requests / (1 - objective)
}

// Pair is one line of the burn table.
type Pair struct {
	Rank      string
	Model     string
	Windows   string
	Short     float64
	Long      float64
	Threshold float64
	Burning   bool
}

// Episode is a time in which a rank burned faster than its objective allows.
type Episode struct {
	Rank  string
	From  time.Time
	Until time.Time
	Bad   float64
	Worst float64
}

// Reason is why requests of a rank were bad.
type Reason struct {
	Rank  string
	Text  string
	Count float64
}

// Model is a model with bad requests.
type Model struct {
	Rank  string
	Name  string
	Count float64
}

// Pool is a pool of servers with its idle time.
type Pool struct {
	Name   string
	Loaded float64
	Busy   float64
	Idle   float64
}

// Change is a change of the configuration in the time of the report.
type Change struct {
	At       time.Time
	Operator string
	Text     string
}

// collector asks the queries one after another: each reads the record of the whole
// time, and a daemon runs only a few at once.
type collector struct {
	ctx    context.Context
	source Source
	report *Report
	within string
	err    error
}

// Collect asks a daemon for everything that the page shows.
func Collect(ctx context.Context, source Source, options Options) (*Report, error) {
	report := &Report{From: options.From, Until: options.Now, Bucket: bucketOf(options.Now.Sub(options.From))}
	c := &collector{ctx: ctx, source: source, report: report}
	c.within = fmt.Sprintf("since %s until %s", options.From.UTC().Format(time.RFC3339), options.Now.UTC().Format(time.RFC3339))
	c.ranks()
	c.points()
	c.pairs()
	c.reasons()
	c.models()
	c.pools()
	c.changes()
	c.lost()
	if c.err != nil {
		return nil, c.err
	}
	report.Episodes = episodes(report)
	slices.Sort(report.Missing)
	report.Missing = slices.Compact(report.Missing)
	return report, nil
}

// bucketOf keeps a curve at no more than about 100 points.
func bucketOf(span time.Duration) time.Duration {
	const most = 100
	for _, bucket := range []time.Duration{time.Minute, 5 * time.Minute, 15 * time.Minute, time.Hour, 6 * time.Hour} {
		if span/bucket <= most {
			return bucket
		}
	}
	return 24 * time.Hour
}

// row is one line of an answer with access by name.
type row struct {
	table *vrquery.Table
	cells []vrquery.Cell
}

func (r row) text(name string) string {
	if at := r.table.Index(name); at >= 0 {
		return r.cells[at].Text
	}
	return ""
}

func (r row) number(name string) float64 {
	if at := r.table.Index(name); at >= 0 {
		return r.cells[at].Number
	}
	return 0
}

func (r row) time(name string) time.Time { return time.UnixMilli(int64(r.number(name) * 1000)).UTC() }

// ask calls take for each row of an answer.
func (c *collector) ask(query string, take func(row)) {
	if c.err != nil {
		return
	}
	table, err := c.source.Query(c.ctx, query)
	if err != nil {
		c.err = fmt.Errorf("%s: %w", query, err)
		return
	}
	c.report.Missing = append(c.report.Missing, table.Missing...)
	for _, cells := range table.Rows {
		take(row{table: table, cells: cells})
	}
}

func (c *collector) ranks() {
	c.ask("show ranks", func(r row) {
		c.report.Ranks = append(c.report.Ranks, Rank{
			Name: r.text("rank"), Target: r.number("target"), Objective: r.number("objective"), Floor: r.number("floor"),
		})
	})
	c.ask("show requests "+c.within+" by rank", func(r row) {
		if rank := c.report.rank(r.text("rank")); rank != nil {
			rank.Requests, rank.Refused, rank.Bad = r.number("count"), r.number("refused"), r.number("bad")
			rank.P95, rank.P99 = r.number("firstToken.p95"), r.number("firstToken.p99")
		}
	})
}

func (r *Report) rank(name string) *Rank {
	for i := range r.Ranks {
		if r.Ranks[i].Name == name {
			return &r.Ranks[i]
		}
	}
	return nil
}

func (c *collector) points() {
	query := fmt.Sprintf("show requests %s by rank per %s limit 1000", c.within, c.report.Bucket)
	c.ask(query, func(r row) {
		if rank := c.report.rank(r.text("rank")); rank != nil {
			rank.Points = append(rank.Points, Point{
				At: r.time("time"), Requests: r.number("count"), Bad: r.number("bad"), P95: r.number("firstToken.p95"),
			})
		}
	})
}

func pairOf(r row) Pair {
	return Pair{
		Rank: r.text("rank"), Model: r.text("model"), Windows: r.text("windows"),
		Short: r.number("shortBurn"), Long: r.number("longBurn"), Threshold: r.number("threshold"),
		Burning: r.text("burning") == vrquery.Yes,
	}
}

func (c *collector) pairs() {
	until := " until " + c.report.Until.UTC().Format(time.RFC3339)
	since := " since " + c.report.Until.Add(-3*24*time.Hour).UTC().Format(time.RFC3339)
	c.ask("show burn"+since+until, func(r row) { c.report.Pairs = append(c.report.Pairs, pairOf(r)) })
	c.ask("show burn where burning = yes"+since+until+" by model", func(r row) { c.report.Burning = append(c.report.Burning, pairOf(r)) })
	byWorth := func(a, b Pair) int { return cmp.Compare(c.report.place(a.Rank), c.report.place(b.Rank)) }
	slices.SortStableFunc(c.report.Pairs, byWorth)
	slices.SortStableFunc(c.report.Burning, byWorth)
}

// place is the place of a rank in the order of worth.
func (r *Report) place(rank string) int {
	return slices.IndexFunc(r.Ranks, func(candidate Rank) bool { return candidate.Name == rank })
}

const lateReason = "answered after the target"

func (c *collector) reasons() {
	c.ask("show refused where bad = yes "+c.within+" by rank, reason order by count desc limit 30", func(r row) {
		c.report.Reasons = append(c.report.Reasons, Reason{Rank: r.text("rank"), Text: r.text("reason"), Count: r.number("count")})
	})
	c.ask("show requests where bad = yes and refused = no "+c.within+" by rank", func(r row) {
		c.report.Reasons = append(c.report.Reasons, Reason{Rank: r.text("rank"), Text: lateReason, Count: r.number("count")})
	})
	slices.SortStableFunc(c.report.Reasons, func(a, b Reason) int {
		return cmp.Or(cmp.Compare(c.report.place(a.Rank), c.report.place(b.Rank)), cmp.Compare(b.Count, a.Count))
	})
}

func (c *collector) models() {
	c.ask("show requests where bad = yes "+c.within+" by rank, model order by count desc limit 15", func(r row) {
		c.report.Models = append(c.report.Models, Model{Rank: r.text("rank"), Name: r.text("model"), Count: r.number("count")})
	})
}

func (c *collector) pools() {
	c.ask("show idle "+c.within+" by pool order by idleHours desc", func(r row) {
		c.report.Pools = append(c.report.Pools, Pool{
			Name: r.text("pool"), Loaded: r.number("loadedHours"), Busy: r.number("busyHours"), Idle: r.number("idleHours"),
		})
	})
}

func (c *collector) changes() {
	c.ask("show history "+c.within+" order by time limit 100", func(r row) {
		c.report.Changes = append(c.report.Changes, Change{At: r.time("time"), Operator: r.text("operator"), Text: r.text("text")})
	})
}

func (c *collector) lost() {
	c.ask("show gaps "+c.within+" limit 1000", func(r row) {
		c.report.Lost += int(r.number("gapLast") - r.number("gapFirst") + 1)
	})
}

// episodes joins the buckets in which a rank burned faster than its objective allows.
func episodes(report *Report) []Episode {
	var found []Episode
	for _, rank := range report.Ranks {
		var open *Episode
		for _, point := range rank.Points {
			rate := burn(point.Bad, point.Requests, rank.Objective)
			switch {
			case rate <= 1:
				open = nil
				continue
			case open == nil || point.At.After(open.Until):
				found = append(found, Episode{Rank: rank.Name, From: point.At})
				open = &found[len(found)-1]
			}
			open.Until = point.At.Add(report.Bucket)
			open.Bad += point.Bad
			open.Worst = max(open.Worst, rate)
		}
	}
	slices.SortStableFunc(found, func(a, b Episode) int { return cmp.Compare(b.Bad, a.Bad) })
	const most = 12
	return found[:min(len(found), most)]
}
