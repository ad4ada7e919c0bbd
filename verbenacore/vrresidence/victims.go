package vrresidence

import (
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

// victim is a model that may be evicted from a server.
type victim struct {
	model vrid.ModelID
	// cost is what the load that needs the memory has to be worth. drain is the cost of waiting for requests
	// that are probably in flight: it makes other victims preferred, but keeps no load from being worth it.
	cost, drain float64
}

// victims returns the models to evict so that the wanted model fits, the cost of evicting
// them, and whether the load fits and is worth the cost.
func (s *servicePlan) victims(o *serverOffer, w *wantedModel) ([]victim, float64, bool) {
	choices := s.evictionChoices(o, w.speculative)
	for _, ordered := range [][]victim{choices.byTotal, choices.byCost} {
		chosen, ok := s.firstThatFree(o.ledger, ordered, o.free, w.model.Weights)
		if !ok {
			return nil, 0, false
		}
		cost, drain := 0.0, 0.0
		for _, v := range chosen {
			cost += v.cost
			drain += v.drain
		}
		if w.benefit() > cost {
			return chosen, cost + drain, true
		}
	}
	return nil, 0, false
}

// firstThatFree returns the first victims whose eviction frees enough memory, or false if all do not.
func (s *servicePlan) firstThatFree(l *ledger, victims []victim, free, needed vrid.Bytes) ([]victim, bool) {
	count := 0
	for free < needed {
		if count == len(victims) {
			return nil, false
		}
		free += s.sizeOf(l.find(victims[count].model))
		count++
	}
	return victims[:count], true
}

// benefit is the value of a load as it is compared with the cost of its evictions. Loads that
// requests wait for count double.
func (w *wantedModel) benefit() float64 {
	const waitingFactor = 2
	if w.speculative {
		return w.value
	}
	return waitingFactor * w.value
}

// evictionCost returns the cost of evicting a model from a server, as the expected number of
// requests during a reload, or false if the model has to stay.
func (s *servicePlan) evictionCost(server *vrfleet.Server, model vrid.ModelID, speculative bool) (float64, bool) {
	t := s.totals[model]
	replicas, need := s.replicas[model], s.need(model)
	if since, ok := s.planner.loadedAt[serverModel{server.ID, model}]; ok && s.now.Sub(since) < minResidency {
		return 0, false
	}
	if replicas <= 1 && t.waiting > 0 {
		return 0, false
	}
	if replicas <= need+maxSurplusReplicas && t.rate >= busyRequestRate {
		return 0, false
	}
	config := s.engine.Model(model)
	if config == nil {
		return 0, true
	}
	reloadSeconds := loadTime(config, tierOf(server, model)).Seconds()
	cost := s.expectedRate(model) * reloadSeconds
	if replicas > 1 {
		cost *= 0.2
	}
	cost += inFlightEvictionCost * float64(s.inFlight[serverModel{server.ID, model}])
	if speculative && tierOf(server, model) == tierStore && replicas <= 1 {
		// A speculative load must not evict the only copy of another model.
		return 0, false
	}
	return cost, true
}
