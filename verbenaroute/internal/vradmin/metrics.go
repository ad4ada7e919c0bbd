package vradmin

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
)

// _secondsPerMicrosecond converts the record's durations, which are in microseconds.
const _secondsPerMicrosecond = float64(time.Microsecond) / float64(time.Second)

// rankMetrics holds the series of one rank. They are created once, because every request
// updates them.
type rankMetrics struct {
	answered   *metrics.Counter
	refused    *metrics.Counter
	met        *metrics.Counter
	missed     *metrics.Counter
	firstToken *metrics.Histogram
	total      *metrics.Histogram
	tokens     *metrics.Counter
}

// Metrics holds the counters and histograms of one daemon.
type Metrics struct {
	set           *metrics.Set
	ranks         [vrid.RankCount]rankMetrics
	configVersion *metrics.Counter
	panics        *metrics.Counter
	entries       *metrics.Counter
	readiness     *Readiness
}

// NewMetrics creates the series. Metrics.SetReady writes to readiness, and the gauge of readiness
// reads from it.
func NewMetrics(readiness *Readiness) *Metrics {
	set := metrics.NewSet()
	m := &Metrics{
		set:           set,
		configVersion: set.NewCounter("verbenaroute_config_version"),
		panics:        set.NewCounter("verbenaroute_panics_total"),
		entries:       set.NewCounter("verbenaroute_record_entries_total"),
		readiness:     readiness,
	}
	for _, rank := range vrid.Ranks() {
		m.ranks[rank] = newRankMetrics(set, rank)
	}
	set.NewGauge("verbenaroute_ready", func() float64 {
		if ready, _ := readiness.Ready(); ready {
			return 1
		}
		return 0
	})
	return m
}

func newRankMetrics(set *metrics.Set, rank vrid.Rank) rankMetrics {
	name := func(base, extraLabels string) string {
		return fmt.Sprintf(`verbenaroute_%s{rank="%s"%s}`, base, rank, extraLabels)
	}
	return rankMetrics{
		answered:   set.NewCounter(name("requests_total", `,result="answered"`)),
		refused:    set.NewCounter(name("requests_total", `,result="refused"`)),
		met:        set.NewCounter(name("objective_total", `,met="true"`)),
		missed:     set.NewCounter(name("objective_total", `,met="false"`)),
		firstToken: set.NewHistogram(name("first_token_seconds", "")),
		total:      set.NewHistogram(name("request_seconds", "")),
		tokens:     set.NewCounter(name("tokens_total", "")),
	}
}

// CountEntry counts an entry of the record and, if it is a terminal one, its request. The burn
// rate is computed from the objective counters: a request meets its objective if its first
// token, or the response of a service, came within the rank's target.
func (m *Metrics) CountEntry(entry *vrrecord.Entry, target time.Duration) {
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
	rank.total.Update(float64(entry.Total) * _secondsPerMicrosecond)
	latency := entry.FirstToken
	if latency == 0 {
		latency = entry.Total
	}
	rank.firstToken.Update(float64(latency) * _secondsPerMicrosecond)
	if time.Duration(latency)*time.Microsecond <= target {
		rank.met.Inc()
		return
	}
	rank.missed.Inc()
}

// countsAgainstObjective returns false for refusals that the caller caused. Status 499, a
// caller that disconnected, is one of them; status 429 counts as the daemon's refusal.
func countsAgainstObjective(entry *vrrecord.Entry) bool {
	const clientError, tooManyRequests, serverError = 400, 429, 500
	return entry.Status < clientError || entry.Status == tooManyRequests || entry.Status >= serverError
}

// SetConfigVersion records the version of the configuration in force.
func (m *Metrics) SetConfigVersion(version vrid.ConfigVersion) { m.configVersion.Set(uint64(version)) }

// EffectDropped counts an effect that could not be carried out.
func (m *Metrics) EffectDropped(kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`verbenaroute_effects_dropped_total{kind="%s"}`, kind)).Inc()
}

// EffectPanicked counts a panic while an effect was carried out.
func (m *Metrics) EffectPanicked() { m.panics.Inc() }

// SetReady stores whether the daemon accepts requests, and the reason if it doesn't.
func (m *Metrics) SetReady(ready bool, reason string) { m.readiness.Set(ready, reason) }

// Set returns the underlying set, to which the HTTP clients add their own series.
func (m *Metrics) Set() *metrics.Set { return m.set }

// AddWriter registers a function that writes further series on each scrape.
func (m *Metrics) AddWriter(write func(out io.Writer)) { m.set.RegisterMetricsWriter(write) }

// Write writes all series, including those of the process, in the Prometheus text format.
func (m *Metrics) Write(out io.Writer) {
	m.set.WritePrometheus(out)
	metrics.WriteProcessMetrics(out)
}
