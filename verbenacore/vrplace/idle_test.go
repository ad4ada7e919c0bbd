package vrplace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

var testStart = time.Unix(1_000_000, 0)

// recordArrivals reports requests to the planner with the given intervals between them,
// repeated rounds times, and returns the usage of their model.
func recordArrivals(p *Planner, rounds int, intervals ...time.Duration) *usage {
	now := testStart
	for range rounds {
		for _, interval := range intervals {
			now = now.Add(interval)
			p.RecordDemand(now, vrwire.ModelDemand{Model: "m", Rank: vrid.RankUrgent, Arrived: 1, Daemon: "d"})
		}
	}
	return p.usageOf(modelKey{model: "m"})
}

// TestKeepAliveFollowsInterarrivals guards against a keep-alive time that ignores the times
// between requests: it keeps idle models in memory for nothing, or loads a model again within
// each conversation.
func TestKeepAliveFollowsInterarrivals(t *testing.T) {
	const coldStartCost = 120
	tests := []struct {
		name      string
		intervals []time.Duration
		min, max  time.Duration
	}{
		{name: "sessions far apart", intervals: []time.Duration{10 * time.Second, 12 * time.Second, 2 * time.Hour}, min: minKeepAlive, max: 40 * time.Second},
		{name: "steady use each minute", intervals: []time.Duration{time.Minute}, min: time.Minute, max: 3 * time.Minute},
		{name: "rare single requests", intervals: []time.Duration{3 * time.Hour}, min: minKeepAlive, max: 40 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := New(Options{})
			keepAlive := p.chooseKeepAlive(recordArrivals(p, 10, test.intervals...), coldStartCost)
			require.GreaterOrEqual(t, keepAlive, test.min)
			require.LessOrEqual(t, keepAlive, test.max)
		})
	}
}

// TestRegularUseProtects checks that a flood of requests of a lower rank can't evict a model
// that a higher rank uses every second, and that a single burst does not protect a model for
// long.
func TestRegularUseProtects(t *testing.T) {
	tests := []struct {
		name     string
		uses     int
		idle     time.Duration
		protects bool
	}{
		{name: "one burst", uses: 2, idle: time.Second},
		{name: "each second", uses: 30, idle: 5 * time.Second, protects: true},
		{name: "each second, then idle", uses: 30, idle: time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := regularity{}
			now := testStart
			for range test.uses {
				now = now.Add(time.Second)
				r.recordUse(now)
			}
			require.Equal(t, test.protects, r.protects(now.Add(test.idle)))
		})
	}
}
