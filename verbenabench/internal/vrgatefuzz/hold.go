package vrgatefuzz

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"verbenaroute.example/verbenabench/internal/vrgateworld"
)

// _holderLosses are the times for which the placement owner is cut off, ended or suspended.
var _holderLosses = []time.Duration{300 * time.Millisecond, 2 * time.Second, 7 * time.Second, 8500 * time.Millisecond, 11 * time.Second}

// drawSharedMachines lets the servers of a plan state their pace, with which the placement owner holds its
// lease for longer, and adds losses of the owner.
func drawSharedMachines(t *rapid.T, plan *Plan) {
	plan.World.SharesMachines = rapid.Bool().Draw(t, "sharesMachines")
	former := rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "formerDaemons")
	count := rapid.SampledFrom([]int{0, 1, 3, 6}).Draw(t, "holderLosses")
	if !plan.World.SharesMachines {
		return
	}
	plan.World.FormerDaemons = min(former, plan.World.Daemons)
	for range count {
		position := rapid.SampledFrom(_selectorsOfPositions).Draw(t, "lossAt") % (len(plan.Actions) + 1)
		plan.Actions = slices.Insert(plan.Actions, position, Action{
			Kind: ActLoseHolder, A: rapid.SampledFrom(_selectorsOfPositions).Draw(t, "lossDaemon"), B: rapid.SampledFrom(_selectorsOfPositions).Draw(t, "lossModel"),
			C: rapid.IntRange(0, 5).Draw(t, "lossKind"), Lasts: rapid.SampledFrom(_holderLosses).Draw(t, "lossLasts"),
			Wait: rapid.SampledFrom(_restoreOutages).Draw(t, "lossWait"),
		})
	}
}

// loseHolder takes the placement owner away while models are requested.
func (r *runner) loseHolder(a Action) {
	const afterLoss = 5 * time.Second
	d, ok := r.owner()
	if !ok {
		return
	}
	w := r.world
	switch a.C {
	case 0, 1:
		d.Disturb(a.Lasts)
		w.Store.CutDaemon(d, true)
		w.After(a.Lasts, func() { w.Store.CutDaemon(d, false) })
	case 2:
		w.Store.Disturb(a.Lasts)
		w.Store.SetDown(true)
		w.After(a.Lasts, func() { w.Store.SetDown(false) })
	case 3:
		d.Disturb(a.Lasts)
		d.Kill()
		w.After(a.Lasts, d.Start)
	case 4:
		d.Disturb(vrgateworld.Grace + a.Lasts)
		d.Stop()
		w.After(vrgateworld.Grace+a.Lasts, d.Start)
	default:
		d.Disturb(a.Lasts)
		d.Pause(a.Lasts)
	}
	r.demand(a, a.Lasts+afterLoss)
}
