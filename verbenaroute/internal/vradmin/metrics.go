package vradmin

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
)

// _microsecond is the unit of the record's lengths of time.
const _microsecond = float64(time.Microsecond) / float64(time.Second)

// rankMetrics are the series of one rank, created once because they are written for
// every request.
type rankMetrics struct {
	answered *metrics.Counter
	refused  *metrics.Counter
	inTarget *metrics.Counter
	missed   *metrics.Counter
	first    *metrics.Histogram
	total    *metrics.Histogram
	tokens   *metrics.Counter
}

// Metrics are the counters of one daemon.
type Metrics struct {
	set     *metrics.Set
	ranks   [vrid.RankCount]rankMetrics
	config  *metrics.Counter
	panics  *metrics.Counter
	entries *metrics.Counter
	status  *Readiness
}

// NewMetrics builds the counters; status takes what is told of readiness.
func NewMetrics(status *Readiness) *Metrics {
	set := metrics.NewSet()
	m := &Metrics{
		set:     set,
		config:  set.NewCounter("verbenaroute_config_version"),
		panics:  set.NewCounter("verbenaroute_panics_total"),
		entries: set.NewCounter("verbenaroute_record_entries_total"),
		status:  status,
	}
	for _, rank := range vrid.Ranks() {
		m.ranks[rank] = newRankMetrics(set, rank)
	}
	set.NewGauge("verbenaroute_ready", func() float64 {
		if ready, _ := status.Ready(); ready {
			return 1
		}
		return 0
	})
	return m
}

func newRankMetrics(set *metrics.Set, rank vrid.Rank) rankMetrics {
	name := func(base, more string) string {
		return fmt.Sprintf(`verbenaroute_%s{rank="%s"%s}`, base, rank, more)
	}
	return rankMetrics{
		answered: set.NewCounter(name("requests_total", `,result="answered"`)),
		refused:  set.NewCounter(name("requests_total", `,result="refused"`)),
		inTarget: set.NewCounter(name("objective_total", `,met="true"`)),
		missed:   set.NewCounter(name("objective_total", `,met="false"`)),
		first:    set.NewHistogram(name("first_token_seconds", "")),
		total:    set.NewHistogram(name("request_seconds", "")),
		tokens:   set.NewCounter(name("tokens_total", "")),
	}
}

// Entry counts a terminal entry of the record. The objective counters are the input of
// the burn rate: a request meets its objective when its first token, or the answer of
// a service, came within the rank's target.
func (m *Metrics) Entry(entry *vrrecord.Entry, target time.Duration) {
	m.entries.Inc()
	if !entry.Kind.Terminal() || !entry.Rank.Valid() {
		return
	}
	rank := &m.ranks[entry.Rank]
	if entry.Kind == vrrecord.EntryRefused {
		rank.refused.Inc()
		m.set.GetOrCreateCounter(fmt.Sprintf(`verbenaroute_refusals_total{rank="%s",reason="%s"}`, entry.Rank, entry.Reason)).Inc()
		if countsAgainstObjective(entry) {
			rank.missed.Inc()
		}
		return
	}
	rank.answered.Inc()
	rank.tokens.Add(int(entry.Tokens))
	rank.total.Update(float64(entry.Total) * _microsecond)
	served := entry.FirstToken
	if served == 0 {
		served = entry.Total
	}
	rank.first.Update(float64(served) * _microsecond)
	if time.Duration(served)*time.Microsecond <= target {
		rank.inTarget.Inc()
		return
	}
	rank.missed.Inc()
}

// countsAgainstObjective is false for refusals that the caller caused: status 499 is
// a caller that left, 429 counts as a refusal of ours.
func countsAgainstObjective(entry *vrrecord.Entry) bool {
	const callersFault, tooMany, serversFault = 400, 429, 500
	return entry.Status < callersFault || entry.Status == tooMany || entry.Status >= serversFault
}

// ConfigVersion notes the version in force.
func (m *Metrics) ConfigVersion(version vrid.ConfigVersion) { m.config.Set(uint64(version)) }

// EffectDropped counts an effect that could not be carried out.
func (m *Metrics) EffectDropped(kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`verbenaroute_effects_dropped_total{kind="%s"}`, kind)).Inc()
}

// EffectPanicked counts a panic.
func (m *Metrics) EffectPanicked() { m.panics.Inc() }

// Ready notes whether the daemon takes requests.
func (m *Metrics) Ready(ready bool, reason string) { m.status.Set(ready, reason) }

// Set returns the set, so that clients add their own series.
func (m *Metrics) Set() *metrics.Set { return m.set }

// AddWriter adds series that are written when the metrics are read.
func (m *Metrics) AddWriter(write func(out io.Writer)) { m.set.RegisterMetricsWriter(write) }

// Write writes all series, with those of the process, in the Prometheus text format.
func (m *Metrics) Write(out io.Writer) {
	m.set.WritePrometheus(out)
	metrics.WriteProcessMetrics(out)
}
