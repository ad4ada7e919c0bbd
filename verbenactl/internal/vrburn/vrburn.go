// Package vrburn creates the service level report: one HTML page that shows which ranks
// used up their error budget, when and why, and how the other ranks were served.
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

// Options selects the time range of a report.
type Options struct {
	From time.Time
	// Until is the end of the time range; it is excluded.
	Until time.Time
}

// Report holds the data of the page.
type Report struct {
	From  time.Time
	Until time.Time
	// Bucket is the length of the time buckets in the plots.
	Bucket time.Duration
	Ranks  []Rank
	// BurnRates are the burn rates by rank and pair of windows.
	BurnRates []BurnRate
	// Episodes are sorted by bad requests, most first.
	Episodes []Episode
	Reasons  []Reason
	Models   []Model
	// BurningModels are the burn rates by rank, model and pair of windows that are above their
	// threshold.
	BurningModels []BurnRate
	Pools         []Pool
	Changes       []Change
	// MaxLostEntries is an upper bound for the number of record entries that daemons lost when they
	// died.
	MaxLostEntries int
	// Missing lists the data that the query results lack.
	Missing []string
}

// Rank holds the service level of one rank in the time range of the report.
type Rank struct {
	Name string
	// Target is the latency target in seconds. A request that is answered later is bad.
	Target float64
	// Objective is the fraction of the requests that must be good.
	Objective float64
	// Floor is the fraction of capacity that the rank keeps under a flood of requests of other
	// ranks.
	Floor    float64
	Requests float64
	Refused  float64
	Bad      float64
	// P95 and P99 are percentiles of the time to the first token, in seconds.
	P95    float64
	P99    float64
	Points []Point
}

// Point holds the requests of one time bucket.
type Point struct {
	// At is the start of the bucket.
	At       time.Time
	Requests float64
	Bad      float64
	// P95 is a percentile of the time to the first token, in seconds.
	P95 float64
}

// GoodFraction returns the fraction of the requests that were served in time.
func (r Rank) GoodFraction() float64 {
	if r.Requests == 0 {
		return 1
	}
	return 1 - r.Bad/r.Requests
}

// BudgetUsed returns the used fraction of the error budget (the allowed bad requests); 1 means
// that all of it is used.
func (r Rank) BudgetUsed() float64 { return burnRate(r.Bad, r.Requests, r.Objective) }

// burnRate returns the fraction of bad requests divided by the fraction that the objective
// allows.
func burnRate(bad, requests, objective float64) float64 {
	if requests == 0 || objective >= 1 {
		return 0
	}
	return bad / requests / (1 - objective)
}

// BurnRate holds the burn rates of a rank, or of a rank and model, over a short and a long window.
// Burning is set when both are above the threshold.
type BurnRate struct {
	Rank  string
	Model string
	// Windows is the name of the pair of windows, such as "5m/1h".
	Windows   string
	Short     float64
	Long      float64
	Threshold float64
	Burning   bool
}

// Episode is a time range in which a rank burned faster than its objective allows.
type Episode struct {
	Rank  string
	From  time.Time
	Until time.Time
	Bad   float64
	// MaxBurnRate is the highest burn rate of a bucket.
	MaxBurnRate float64
}

// Reason counts the bad requests of a rank that have the same cause.
type Reason struct {
	Rank  string
	Text  string
	Count float64
}

// Model counts the bad requests of a rank and model.
type Model struct {
	Rank  string
	Name  string
	Count float64
}

// Pool holds the accelerator hours of a server pool: with a model loaded, and of these the busy
// and the idle ones.
type Pool struct {
	Name   string
	Loaded float64
	Busy   float64
	Idle   float64
}

// Change is a configuration change in the time range of the report.
type Change struct {
	At       time.Time
	Operator string
	Text     string
}

// collector runs the queries sequentially, because each one scans the record of the whole
// time range and a daemon runs only a few at once.
type collector struct {
	ctx    context.Context
	source Source
	report *Report
	// timeClause limits a query to the time range of the report.
	timeClause string
	// err is the first error; later queries are skipped.
	err error
}

// Collect queries the source for the data of the page.
func Collect(ctx context.Context, source Source, options Options) (*Report, error) {
	report := &Report{From: options.From, Until: options.Until, Bucket: bucketFor(options.Until.Sub(options.From))}
	c := &collector{ctx: ctx, source: source, report: report}
	c.timeClause = fmt.Sprintf("since %s until %s", options.From.UTC().Format(time.RFC3339), options.Until.UTC().Format(time.RFC3339))
	c.ranks()
	c.points()
	c.burnRates()
	c.reasons()
	c.models()
	c.pools()
	c.changes()
	c.lostEntries()
	if c.err != nil {
		return nil, c.err
	}
	report.Episodes = episodes(report)
	slices.Sort(report.Missing)
	report.Missing = slices.Compact(report.Missing)
	return report, nil
}

// bucketFor returns the length of the time buckets for which a plot over span has about
// 100 points at most.
func bucketFor(span time.Duration) time.Duration {
	const maxPoints = 100
	for _, bucket := range []time.Duration{time.Minute, 5 * time.Minute, 15 * time.Minute, time.Hour, 6 * time.Hour} {
		if span/bucket <= maxPoints {
			return bucket
		}
	}
	return 24 * time.Hour
}

// row is one row of a query result, with access to its cells by column name.
type row struct {
	table *vrquery.Table
	cells []vrquery.Cell
}

func (r row) text(name string) string {
	if index := r.table.ColumnIndex(name); index >= 0 {
		return r.cells[index].Text
	}
	return ""
}

func (r row) number(name string) float64 {
	if index := r.table.ColumnIndex(name); index >= 0 {
		return r.cells[index].Number
	}
	return 0
}

func (r row) time(name string) time.Time { return time.UnixMilli(int64(r.number(name) * 1000)).UTC() }

// forEachRow runs a query and calls handle for each row of its result.
func (c *collector) forEachRow(query string, handle func(row)) {
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
		handle(row{table: table, cells: cells})
	}
}

func (c *collector) ranks() {
	c.forEachRow("show ranks", func(r row) {
		c.report.Ranks = append(c.report.Ranks, Rank{
			Name: r.text("rank"), Target: r.number("target"), Objective: r.number("objective"), Floor: r.number("floor"),
		})
	})
	c.forEachRow("show requests "+c.timeClause+" by rank", func(r row) {
		if rank := c.report.findRank(r.text("rank")); rank != nil {
			rank.Requests, rank.Refused, rank.Bad = r.number("count"), r.number("refused"), r.number("bad")
			rank.P95, rank.P99 = r.number("firstToken.p95"), r.number("firstToken.p99")
		}
	})
}

// findRank returns the rank with the given name, or nil if the report has none.
func (r *Report) findRank(name string) *Rank {
	for i := range r.Ranks {
		if r.Ranks[i].Name == name {
			return &r.Ranks[i]
		}
	}
	return nil
}

func (c *collector) points() {
	query := fmt.Sprintf("show requests %s by rank per %s limit 1000", c.timeClause, c.report.Bucket)
	c.forEachRow(query, func(r row) {
		if rank := c.report.findRank(r.text("rank")); rank != nil {
			rank.Points = append(rank.Points, Point{
				At: r.time("time"), Requests: r.number("count"), Bad: r.number("bad"), P95: r.number("firstToken.p95"),
			})
		}
	})
}

func burnRateFromRow(r row) BurnRate {
	return BurnRate{
		Rank: r.text("rank"), Model: r.text("model"), Windows: r.text("windows"),
		Short: r.number("shortBurn"), Long: r.number("longBurn"), Threshold: r.number("threshold"),
		Burning: r.text("burning") == vrquery.Yes,
	}
}

func (c *collector) burnRates() {
	until := " until " + c.report.Until.UTC().Format(time.RFC3339)
	since := " since " + c.report.Until.Add(-3*24*time.Hour).UTC().Format(time.RFC3339)
	c.forEachRow("show burn"+since+until, func(r row) { c.report.BurnRates = append(c.report.BurnRates, burnRateFromRow(r)) })
	c.forEachRow("show burn where burning = yes"+since+until+" by model", func(r row) { c.report.BurningModels = append(c.report.BurningModels, burnRateFromRow(r)) })
	byRankIndex := func(a, b BurnRate) int { return cmp.Compare(c.report.rankIndex(a.Rank), c.report.rankIndex(b.Rank)) }
	slices.SortStableFunc(c.report.BurnRates, byRankIndex)
	slices.SortStableFunc(c.report.BurningModels, byRankIndex)
}

// rankIndex returns the position of a rank in the report, which lists the ranks by
// descending weight.
func (r *Report) rankIndex(rank string) int {
	return slices.IndexFunc(r.Ranks, func(candidate Rank) bool { return candidate.Name == rank })
}

// lateReason is the text of the reason for requests that were not refused, but missed the
// target.
const lateReason = "answered after the target"

func (c *collector) reasons() {
	c.forEachRow("show refused where bad = yes "+c.timeClause+" by rank, reason order by count desc limit 30", func(r row) {
		c.report.Reasons = append(c.report.Reasons, Reason{Rank: r.text("rank"), Text: r.text("reason"), Count: r.number("count")})
	})
	c.forEachRow("show requests where bad = yes and refused = no "+c.timeClause+" by rank", func(r row) {
		c.report.Reasons = append(c.report.Reasons, Reason{Rank: r.text("rank"), Text: lateReason, Count: r.number("count")})
	})
	slices.SortStableFunc(c.report.Reasons, func(a, b Reason) int {
		return cmp.Or(cmp.Compare(c.report.rankIndex(a.Rank), c.report.rankIndex(b.Rank)), cmp.Compare(b.Count, a.Count))
	})
}

func (c *collector) models() {
	c.forEachRow("show requests where bad = yes "+c.timeClause+" by rank, model order by count desc limit 15", func(r row) {
		c.report.Models = append(c.report.Models, Model{Rank: r.text("rank"), Name: r.text("model"), Count: r.number("count")})
	})
}

func (c *collector) pools() {
	c.forEachRow("show idle "+c.timeClause+" by pool order by idleHours desc", func(r row) {
		c.report.Pools = append(c.report.Pools, Pool{
			Name: r.text("pool"), Loaded: r.number("loadedHours"), Busy: r.number("busyHours"), Idle: r.number("idleHours"),
		})
	})
}

func (c *collector) changes() {
	c.forEachRow("show history "+c.timeClause+" order by time limit 100", func(r row) {
		c.report.Changes = append(c.report.Changes, Change{At: r.time("time"), Operator: r.text("operator"), Text: r.text("text")})
	})
}

// lostEntries adds up the sizes of the declared gaps.
func (c *collector) lostEntries() {
	c.forEachRow("show gaps "+c.timeClause+" limit 1000", func(r row) {
		c.report.MaxLostEntries += int(r.number("gapLast") - r.number("gapFirst") + 1)
	})
}

// episodes merges adjacent buckets in which the burn rate of a rank was above 1, and returns
// the episodes with the most bad requests.
func episodes(report *Report) []Episode {
	var merged []Episode
	for _, rank := range report.Ranks {
		var current *Episode
		for _, point := range rank.Points {
			rate := burnRate(point.Bad, point.Requests, rank.Objective)
			switch {
			case rate <= 1:
				current = nil
				continue
			case current == nil || point.At.After(current.Until):
				merged = append(merged, Episode{Rank: rank.Name, From: point.At})
				current = &merged[len(merged)-1]
			}
			current.Until = point.At.Add(report.Bucket)
			current.Bad += point.Bad
			current.MaxBurnRate = max(current.MaxBurnRate, rate)
		}
	}
	slices.SortStableFunc(merged, func(a, b Episode) int { return cmp.Compare(b.Bad, a.Bad) })
	const maxEpisodes = 12
	return merged[:min(len(merged), maxEpisodes)]
}
