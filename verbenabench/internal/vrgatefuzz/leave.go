package vrgatefuzz

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"verbenaroute.example/verbenabench/internal/vrcampaign"
	"verbenaroute.example/verbenabench/internal/vrgateworld"
)

// drawLeavingServers adds servers to a plan that state in their answers that they leave.
func drawLeavingServers(t *rapid.T, plan *Plan) {
	count := rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(t, "leavingServers")
	for range count {
		position := rapid.SampledFrom(_selectorsOfPositions).Draw(t, "leaveAt") % (len(plan.Actions) + 1)
		plan.Actions = slices.Insert(plan.Actions, position, Action{
			Kind: ActServerLeaves, A: rapid.SampledFrom(_selectorsOfPositions).Draw(t, "leaving"), C: rapid.IntRange(0, 5).Draw(t, "leaveHow"),
			Lasts: rapid.SampledFrom(_actionGenerator.Durations).Draw(t, "leaveLasts"), Wait: rapid.SampledFrom(_restoreOutages).Draw(t, "leaveWait"),
		})
	}
}

// serverLeaves makes a server without models state in its answers that it leaves, in every second case just
// after it was restarted, before all daemons know of that. Clients send requests that it may get until it
// ends.
func (r *runner) serverLeaves(a Action) {
	const (
		requests     = 60
		restartTime  = 100 * time.Millisecond
		leaveAfter   = 400 * time.Millisecond
		minServeTime = vrgateworld.Drain + 2*time.Second
	)
	s, ok := vrcampaign.Pick(append(r.servers(vrgateworld.ServiceApp), r.servers(vrgateworld.ServiceOther)...), a.A)
	if !ok {
		return
	}
	w := r.world
	serveTime := minServeTime + a.Lasts/2
	if a.C%2 == 0 {
		s.Restart(restartTime)
		w.After(leaveAfter, s.Leave)
	} else {
		s.Leave()
	}
	w.After(serveTime, func() {
		if a.C < 2 {
			s.Restart(restartTime)
		} else {
			s.Replace(time.Second, a.C == 2)
		}
	})
	routes := []string{vrgateworld.RouteOnce, vrgateworld.RouteRead, vrgateworld.RouteMoved}
	for i := range requests {
		w.After(serveTime*time.Duration(i)/requests, func() {
			if d, ok := vrcampaign.Pick(r.running(), a.A+i); ok {
				w.Request(d, routes[i%len(routes)], "", "")
			}
		})
	}
}
