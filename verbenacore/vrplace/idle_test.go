package vrplace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

var idleStart = time.Unix(1_000_000, 0)

// arrivals feeds the planner with requests at the given gaps, repeated.
func arrivals(p *Planner, rounds int, gaps ...time.Duration) *use {
	now := idleStart
	for range rounds {
		for _, gap := range gaps {
			now = now.Add(gap)
			p.RecordDemand(now, vrwire.ModelDemand{Model: "m", Rank: vrid.RankUrgent, Arrived: 1, Daemon: "d"})
		}
	}
	return p.use(name{model: "m"})
}

// A keep-alive that ignores the times between requests either holds memory for nothing
// or loads again within each conversation.
func TestKeepFollowsTheGaps(t *testing.T) {
	const load = 120
	tests := []struct {
		name        string
		gaps        []time.Duration
		least, most time.Duration
	}{
		{name: "sessions far apart", gaps: []time.Duration{10 * time.Second, 12 * time.Second, 2 * time.Hour}, least: leastKeep, most: 40 * time.Second},
		{name: "steady use each minute", gaps: []time.Duration{time.Minute}, least: time.Minute, most: 3 * time.Minute},
		{name: "rare single requests", gaps: []time.Duration{3 * time.Hour}, least: leastKeep, most: 40 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := New(Options{})
			keep := p.keep(arrivals(p, 10, test.gaps...), load)
			require.GreaterOrEqual(t, keep, test.least)
			require.LessOrEqual(t, keep, test.most)
		})
	}
}

// A flood of a lower rank must not evict what a higher one uses each second, and a
// single burst must not hold memory for long.
func TestRegularUseGuards(t *testing.T) {
	tests := []struct {
		name   string
		uses   int
		idle   time.Duration
		guards bool
	}{
		{name: "one burst", uses: 2, idle: time.Second},
		{name: "each second", uses: 30, idle: 5 * time.Second, guards: true},
		{name: "each second, then idle", uses: 30, idle: time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := regularity{}
			now := idleStart
			for range test.uses {
				now = now.Add(time.Second)
				r.note(now)
			}
			require.Equal(t, test.guards, r.guards(now.Add(test.idle)))
		})
	}
}
