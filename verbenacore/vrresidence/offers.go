package vrresidence

import (
	"cmp"
	"slices"

	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

// offers are the servers that can take the load of a model now. They are collected once in a plan: with hundreds of
// servers and models, looking at each server again for each model took an owner with a fifth of a core longer than
// the interval between two plans.
type offers struct {
	all []*serverOffer
	// withCopy are the offers of the servers that hold a model or have a copy of it.
	withCopy map[vrid.ModelID][]*serverOffer
}

// serverOffer is what a server offers to the load of any model.
type serverOffer struct {
	server *vrfleet.Server
	ledger *ledger
	// free is the memory that is free without an eviction.
	free vrid.Bytes
	// withdrawn is set once the server can't take a load any more.
	withdrawn bool

	// The fields below are computed when they are needed, and depend on the numbers of replicas.

	// waitedFor and speculative are what may be evicted for a load that requests wait for and for a speculative
	// one, nil if they are not known.
	waitedFor, speculative *evictionChoices
	loadCost               float64
	loadCostKnown          bool
}

// collectOffers returns the offers of all servers that can take a load.
func (s *servicePlan) collectOffers() *offers {
	found := &offers{withCopy: make(map[vrid.ModelID][]*serverOffer, len(s.serversWithCopy))}
	for _, server := range s.servers {
		if !server.AcceptsWork() || s.planner.jobs[server.ID] != nil || s.now.Before(s.planner.cooldownUntil[server.ID]) {
			continue
		}
		l := s.planner.ledgerOf(s.now, server, s.decision)
		if l == nil {
			continue
		}
		o := &serverOffer{server: server, ledger: l, free: s.freeMemory(server, l)}
		found.all = append(found.all, o)
		found.addCopies(o)
	}
	return found
}

// addCopies records the models that a server holds or has a copy of.
func (f *offers) addCopies(o *serverOffer) {
	add := func(model vrid.ModelID) {
		// All models of one server are added before those of the next.
		if known := f.withCopy[model]; len(known) == 0 || known[len(known)-1] != o {
			f.withCopy[model] = append(known, o)
		}
	}
	for _, model := range o.server.OnDisk {
		add(model)
	}
	for _, model := range o.server.InHost {
		add(model)
	}
	for i := range o.ledger.holds {
		add(o.ledger.holds[i].Model)
	}
}

// forgetCosts drops what depends on the numbers of replicas.
func (f *offers) forgetCosts() {
	for _, o := range f.all {
		o.waitedFor, o.speculative, o.loadCostKnown = nil, nil, false
	}
}

// offersTo returns the offers of the servers that may load a model: if it can't come from the weight store, those
// with a copy.
func (s *servicePlan) offersTo(w *wantedModel) []*serverOffer {
	if s.offers == nil {
		s.offers = s.collectOffers()
	}
	if s.store.available() <= 0 || s.hasCopyElsewhere(w.model.ID) {
		return s.offers.withCopy[w.model.ID]
	}
	return s.offers.all
}

// Weights in the cost of a placement, in seconds of load time. They spread the replicas of a model over the
// availability zones and away from servers that hold other busy models.
const (
	zoneWeight = 1.0
	loadWeight = 2.0
)

// loadCost is the cost of the busy models that a server holds.
func (s *servicePlan) loadCost(o *serverOffer) float64 {
	if o.loadCostKnown || s.planner.prefillRate <= 0 {
		return o.loadCost
	}
	o.loadCost, o.loadCostKnown = 0, true
	for _, holding := range o.server.LoadedModels() {
		if s.keeps(o.server, holding.Model) {
			share := s.totals[holding.Model].tokenRate / s.planner.prefillRate / float64(max(s.replicas[holding.Model], 1))
			o.loadCost += loadWeight * share
		}
	}
	return o.loadCost
}

// evictionChoices are the models that may be evicted from a server, those with the lowest costs first: by their
// cost with drain, and by their cost alone.
type evictionChoices struct {
	byTotal, byCost []victim
}

// evictionChoices returns what may be evicted from a server for a load that requests wait for, or a speculative one.
func (s *servicePlan) evictionChoices(o *serverOffer, speculative bool) *evictionChoices {
	cached := &o.waitedFor
	if speculative {
		cached = &o.speculative
	}
	if *cached != nil {
		return *cached
	}
	var choices []victim
	for _, holding := range o.ledger.holds {
		if cost, ok := s.evictionCost(o.server, holding.Model, speculative); ok {
			choices = append(choices, victim{holding.Model, cost, s.drainCost(o.server, holding.Model)})
		}
	}
	*cached = &evictionChoices{byTotal: choices, byCost: slices.Clone(choices)}
	slices.SortFunc((*cached).byTotal, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost+a.drain, b.cost+b.drain), cmp.Compare(a.model, b.model))
	})
	slices.SortFunc((*cached).byCost, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.model, b.model))
	})
	return *cached
}
