package vrgatefuzz

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"verbenaroute.example/verbenabench/internal/vrcampaign"
	"verbenaroute.example/verbenabench/internal/vrgateworld"
	"verbenaroute.example/verbenacore/vrid"
)

// _copyAges are the ages of the copies from which the store is restored, _restoreOutages the times for
// which it is away.
var (
	_copyAges       = []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second, 9 * time.Second, 15 * time.Second}
	_restoreOutages = []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 4 * time.Second}
)

// drawRestores adds restores of the store to a plan. They are drawn after everything else, so that the
// other actions of a seed stay as they were before.
func drawRestores(t *rapid.T, plan *Plan) {
	plan.World.StoreEra = vrid.StoreEra(rapid.SampledFrom([]int{0, 0, 1, 7}).Draw(t, "storeEra"))
	count := rapid.SampledFrom([]int{0, 0, 1, 2, 4}).Draw(t, "restores")
	position := 0
	for i := range count {
		// Some restores follow the previous one at once.
		if i == 0 || !rapid.Bool().Draw(t, "inARow") {
			position = rapid.SampledFrom(_selectorsOfPositions).Draw(t, "position") % (len(plan.Actions) + 1)
		}
		plan.Actions = slices.Insert(plan.Actions, position, Action{
			Kind: ActRestore, A: rapid.IntRange(0, len(_copyAges)-1).Draw(t, "age"),
			B: rapid.SampledFrom(_selectorsOfPositions).Draw(t, "server"), C: rapid.IntRange(0, 2).Draw(t, "drains"),
			Lasts: rapid.SampledFrom(_restoreOutages).Draw(t, "away"), Wait: rapid.SampledFrom(_restoreOutages).Draw(t, "wait"),
		})
	}
}

// _selectorsOfPositions is a slice because rapid samples a slice evenly, while its integer ranges prefer
// small numbers.
var _selectorsOfPositions = func() []int {
	positions := make([]int, 5040)
	for i := range positions {
		positions[i] = i
	}
	return positions
}()

// WithoutRestores returns the plan as it was before plans had restores of the store, invalid entries,
// owners that can't read the catalog, servers that leave by their answers and servers that state their pace.
func (p Plan) WithoutRestores() Plan {
	p.World.StoreEra = 0
	p.World.SharesMachines, p.World.FormerDaemons = false, 0
	p.Actions = slices.DeleteFunc(slices.Clone(p.Actions), func(a Action) bool {
		return a.Kind == ActRestore || a.Kind == ActOddEntry || a.Kind == ActMuteCatalog || a.Kind == ActServerLeaves ||
			a.Kind == ActLoseHolder
	})
	return p
}

func (r *runner) restore(a Action) {
	age, _ := vrcampaign.Pick(_copyAges, a.A)
	if a.C == 0 {
		r.restoreAfterDrain(a)
		return
	}
	r.world.Store.Restore(age, a.Lasts)
}

// restoreAfterDrain restores the store from a copy of a time before a server started to drain, once all
// daemons have to know that it does, and keeps sending requests meanwhile.
func (r *runner) restoreAfterDrain(a Action) {
	const (
		noticeTime = vrgateworld.Drain + 500*time.Millisecond
		copyAge    = noticeTime + time.Second
		requests   = 30
	)
	w := r.world
	s, ok := vrcampaign.Pick(r.servers(""), a.B)
	if !ok {
		return
	}
	s.Drain()
	duration := noticeTime + a.Lasts + vrgateworld.Contact
	w.After(noticeTime, func() { w.Store.Restore(copyAge, a.Lasts) })
	w.After(duration, func() { s.Replace(time.Second, false) })
	for i := range requests {
		w.After(duration*time.Duration(i)/requests, func() {
			if d, ok := vrcampaign.Pick(r.running(), a.B+i); ok {
				r.request(d, a, i)
			}
		})
	}
}
