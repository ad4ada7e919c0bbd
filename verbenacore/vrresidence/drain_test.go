package vrresidence_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrresidence"
	"verbenaroute.example/verbenacore/vrwire"
)

// clients simulates daemons with calls in flight at the servers of a simulation.
type clients struct {
	*simulation
	// ends holds the end of the last call of each daemon for m0 at s0.
	ends map[vrid.DaemonID]time.Time
	// reports is when each daemon next reports.
	reports map[vrid.DaemonID]time.Time
	// prompt makes daemons report at once when they learn of an unload and when its last call ends.
	prompt bool
	// unloadedAt is when the unload of m0 was announced, loadedAt when the load began.
	unloadedAt, loadedAt time.Time
}

// newClients returns a simulation of one server that holds m0 and m1, with a copy of m2 on its disk. Daemons
// have calls in flight for m0 until the given times after the unload.
func newClients(t *testing.T, prompt bool, callTimes ...time.Duration) *clients {
	s := newSimulation(t, 3, 1)
	c := &clients{simulation: s, ends: make(map[vrid.DaemonID]time.Time), reports: make(map[vrid.DaemonID]time.Time), prompt: prompt}
	s.servers["s0"].holds = []vrfleet.LoadedModel{{Model: "m0"}, {Model: "m1"}}
	s.servers["s0"].entry.OnDisk = []vrid.ModelID{"m0", "m1", "m2"}
	s.servers["s0"].slowUnloads = true
	s.onNotice = func(n vrresidence.Notice) {
		if n.Kind != vrwire.NoticeUnloading || !c.unloadedAt.IsZero() {
			return
		}
		c.unloadedAt = s.now
		for i, length := range callTimes {
			daemon := vrid.DaemonID(rune('a' + i))
			c.ends[daemon] = s.now.Add(length)
			// The last report was before the calls were sent.
			c.reports[daemon] = s.now.Add(700 * time.Millisecond)
			if prompt {
				c.reports[daemon] = s.now.Add(25 * time.Millisecond)
			}
		}
	}
	return c
}

// runUntilLoad runs until the load of m2 begins.
func (c *clients) runUntilLoad() {
	c.run(time.Second)
	until := c.now.Add(30 * time.Second)
	for len(c.loads) == 0 && c.now.Before(until) {
		if c.now.UnixMilli()%500 == 0 {
			c.reportWaiting(2, 20)
		}
		c.report()
		c.step(25 * time.Millisecond)
	}
	c.loadedAt = c.now
}

// report sends the reports that are due and ends the unload once its last call has ended.
func (c *clients) report() {
	running := 0
	for daemon, end := range c.ends {
		ended := !c.now.Before(end)
		if !ended {
			running++
		}
		justEnded := ended && c.now.Sub(end) < 25*time.Millisecond
		if c.now.Before(c.reports[daemon]) && (!c.prompt || !justEnded) {
			continue
		}
		c.reports[daemon] = c.now.Add(time.Second)
		report := &vrwire.PlacementDemand{Full: true}
		if !ended {
			report.InFlight = []vrwire.ServerInFlight{{Server: "s0", Model: "m0", Running: 1}}
		}
		c.planner.HandleDemand(c.now, daemon, report)
	}
	if !c.unloadedAt.IsZero() && running == 0 {
		c.servers["s0"].unloadPending = false
	}
}

// A server refuses orders until the running requests of an unloaded model have ended. When the load was
// ordered again and again meanwhile, 1,166 of 2,052 orders of a day were refused loads.
func TestLoadWaitsForTheRequestsOfTheVictim(t *testing.T) {
	for name, test := range map[string]struct {
		prompt     bool
		calls      []time.Duration
		maxRefused int
		maxDelay   time.Duration
	}{
		"two calls":                {true, []time.Duration{900 * time.Millisecond, 2400 * time.Millisecond}, 2, 100 * time.Millisecond},
		"long call":                {true, []time.Duration{6 * time.Second}, 3, 100 * time.Millisecond},
		"no calls":                 {true, nil, 1, 200 * time.Millisecond},
		"periodic reports only":    {false, []time.Duration{900 * time.Millisecond, 2400 * time.Millisecond}, 6, time.Second},
		"calls that none reported": {false, []time.Duration{600 * time.Millisecond}, 4, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			c := newClients(t, test.prompt, test.calls...)
			c.runUntilLoad()
			require.Len(t, c.loads, 1)
			last := c.unloadedAt
			for _, end := range c.ends {
				if end.After(last) {
					last = end
				}
			}
			t.Logf("%d orders, %d refused, load begins %v after the last call has ended", c.issued, c.refused, c.loadedAt.Sub(last))
			require.LessOrEqual(t, c.refused, test.maxRefused)
			require.LessOrEqual(t, c.loadedAt.Sub(last), test.maxDelay)
			c.requireNoCrash()
		})
	}
}

// A daemon that has not reported of late may still have calls in flight, so its last report makes other
// victims preferred. It must not keep a load that is worth it from being planned.
func TestVictimWithoutRequestsIsPreferred(t *testing.T) {
	for name, test := range map[string]struct {
		age  time.Duration
		busy []vrid.ModelID
		want vrid.ModelID
	}{
		"reported":       {500 * time.Millisecond, []vrid.ModelID{"m0"}, "m1"},
		"silent daemon":  {4 * time.Second, []vrid.ModelID{"m0"}, "m1"},
		"forgotten":      {15 * time.Second, []vrid.ModelID{"m0"}, "m0"},
		"no idle victim": {4 * time.Second, []vrid.ModelID{"m0", "m1"}, "m0"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 3, 1)
			server := s.servers["s0"]
			server.holds = []vrfleet.LoadedModel{{Model: "m0"}, {Model: "m1"}}
			server.entry.OnDisk = []vrid.ModelID{"m0", "m1", "m2"}
			report := &vrwire.PlacementDemand{Full: true}
			for _, model := range test.busy {
				report.InFlight = append(report.InFlight, vrwire.ServerInFlight{Server: "s0", Model: model, Running: 2})
			}
			s.planner.HandleDemand(s.now, "silent", report)
			s.run(test.age)
			s.reportWaiting(2, 20)
			var victim vrid.ModelID
			s.onNotice = func(n vrresidence.Notice) {
				if n.Kind == vrwire.NoticeUnloading {
					victim = n.Model
				}
			}
			s.run(500 * time.Millisecond)
			require.Equal(t, test.want, victim)
		})
	}
}
