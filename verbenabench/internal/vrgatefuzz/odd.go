package vrgatefuzz

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"verbenaroute.example/verbenabench/internal/vrcampaign"
	"verbenaroute.example/verbenabench/internal/vrgateworld"
)

// drawOddEntries adds invalid entries of servers to a plan.
func drawOddEntries(t *rapid.T, plan *Plan) {
	count := rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(t, "oddEntries")
	for range count {
		position := rapid.SampledFrom(_selectorsOfPositions).Draw(t, "oddAt") % (len(plan.Actions) + 1)
		plan.Actions = slices.Insert(plan.Actions, position, Action{
			Kind: ActOddEntry, A: rapid.SampledFrom(_selectorsOfPositions).Draw(t, "odd"), B: rapid.SampledFrom(_selectorsOfPositions).Draw(t, "model"),
			Lasts: rapid.SampledFrom(_actionGenerator.Durations).Draw(t, "oddLasts"), Wait: rapid.SampledFrom(_restoreOutages).Draw(t, "oddWait"),
		})
	}
}

// oddEntry makes the entry of an engine invalid while orders for it are open.
func (r *runner) oddEntry(a Action) {
	const (
		orderTime = 2 * time.Second
		duration  = 12 * time.Second
	)
	s, ok := vrcampaign.Pick(r.servers(vrgateworld.ServiceEngine), a.A)
	if !ok {
		return
	}
	w := r.world
	s.LateOrderRate = moderateFault
	w.After(a.Lasts, func() { s.LateOrderRate = 0 })
	w.After(orderTime, s.MakeEntryInvalid)
	r.demand(a, duration)
}
