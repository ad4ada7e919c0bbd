package vrgatefuzz

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"verbenaroute.example/verbenabench/internal/vrcampaign"
	"verbenaroute.example/verbenabench/internal/vrgateworld"
)

// drawMuteCatalogs adds times to a plan in which the placement owner can't read the catalog.
func drawMuteCatalogs(t *rapid.T, plan *Plan) {
	count := rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(t, "muteCatalogs")
	for range count {
		position := rapid.SampledFrom(_selectorsOfPositions).Draw(t, "muteAt") % (len(plan.Actions) + 1)
		plan.Actions = slices.Insert(plan.Actions, position, Action{
			Kind: ActMuteCatalog, A: rapid.SampledFrom(_selectorsOfPositions).Draw(t, "daemon"),
			Lasts: rapid.SampledFrom(_actionGenerator.Durations).Draw(t, "muteLasts"), Wait: rapid.SampledFrom(_restoreOutages).Draw(t, "muteWait"),
		})
	}
}

// muteCatalog keeps the owner's reads of the catalog from being answered, and lets the operator publish a
// catalog. Requests whose service it changes are sent until the end.
func (r *runner) muteCatalog(a Action) {
	const requests = 30
	owner, ok := r.owner()
	w := r.world
	if !ok || !w.Store.Up() {
		return
	}
	owner.Disturb(a.Lasts)
	owner.CatalogMuteUntil = w.Now().Add(a.Lasts)
	w.Store.Publish(w.Store.Wanted() + 1)
	for i := range requests {
		w.After(a.Lasts*time.Duration(i)/requests, func() {
			if d, ok := vrcampaign.Pick(r.running(), a.A+i); ok {
				w.Request(d, vrgateworld.RouteMoved, "", "")
			}
		})
	}
}
