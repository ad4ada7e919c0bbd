package vrresidence

import (
	"cmp"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// wantedAdapter is an adapter that requests wait for.
type wantedAdapter struct {
	target
	total demandTotal
}

// planAdapters plans the loads of adapters on servers that hold their model.
func (s *servicePlan) planAdapters() {
	var wanted []wantedAdapter
	for k := range s.planner.demand {
		if k.service != s.service.ID || k.adapter == "" {
			continue
		}
		if t := s.planner.totalDemand(s.now, k); t.waiting > 0 {
			wanted = append(wanted, wantedAdapter{target: k, total: t})
		}
	}
	slices.SortFunc(wanted, func(a, b wantedAdapter) int {
		return cmp.Or(cmp.Compare(a.total.priority, b.total.priority), cmp.Compare(b.total.waiting, a.total.waiting),
			cmp.Compare(a.model, b.model), cmp.Compare(a.adapter, b.adapter))
	})
	for _, w := range wanted {
		s.placeAdapter(w)
	}
}

// placeAdapter starts the load of an adapter on the server with the lowest cost. If a server
// already holds the adapter, it notifies the waiting daemons of that server instead.
func (s *servicePlan) placeAdapter(w wantedAdapter) {
	var best *vrfleet.Server
	var bestVictim vrid.AdapterID
	var bestVictimModel vrid.ModelID
	lowestCost := 0.0
	modelHeld := false
	// delay is the shortest time until a server that holds the model can take the order, if none
	// can now.
	delay := maxOrderDelay
	for _, server := range s.servers {
		if !server.AcceptsWork() || !s.keeps(server, w.model) {
			continue
		}
		if server.HasAdapter(s.now, w.model, w.adapter) {
			// A daemon whose requests still wait does not know of this server.
			s.notifyAdapter(w, server.ID, 0)
			return
		}
		modelHeld = true
		if j := s.planner.jobs[server.ID]; j != nil {
			delay = min(delay, j.blockedFor(s.now)+adapterLoadTime)
			continue
		}
		if server.Ejected(s.now) {
			continue
		}
		l := s.planner.ledgerOf(s.now, server, s.decision)
		if l == nil {
			delay = min(delay, statusDelay)
			continue
		}
		if l.find(w.model) == nil {
			// There is no order in progress here, so an unanswered order must have loaded the
			// model.
			delete(s.planner.ledgers, server.ID)
			continue
		}
		victimModel, victim, ok := s.adapterVictim(server, l)
		if !ok {
			delay = min(delay, minAdapterIdle)
			continue
		}
		cost := float64(server.EstimatedRequests(s.now)) / float64(max(server.Slots, 1))
		if victim != "" {
			cost += 0.1
		}
		if best == nil || cost < lowestCost {
			best, bestVictim, bestVictimModel, lowestCost = server, victim, victimModel, cost
		}
	}
	if best == nil {
		if !modelHeld {
			s.addBaseDemand(w)
			return
		}
		// Without a notice the callers would wait for a part of their time and be refused as if
		// there were no owner.
		s.notifyAdapter(w, "", delay)
		return
	}
	j := &job{service: s.service.ID, startedAt: best.Born, retryAt: s.now, expectedTime: adapterLoadTime}
	if bestVictim != "" {
		j.steps = append(j.steps, step{kind: vrevent.OrderUnload, model: bestVictimModel, adapter: bestVictim})
	}
	j.steps = append(j.steps, step{kind: vrevent.OrderLoad, model: w.model, adapter: w.adapter})
	s.planner.jobs[best.ID] = j
}

// addBaseDemand adds the requests that wait for an adapter to the demand for its model, so
// that the model is loaded.
func (s *servicePlan) addBaseDemand(w wantedAdapter) {
	if s.engine.Model(w.model) == nil {
		return
	}
	t := s.totals[w.model]
	t.waiting += w.total.waiting
	if w.total.lastDeadline.After(t.lastDeadline) {
		t.lastDeadline = w.total.lastDeadline
	}
	s.totals[w.model] = t
	s.notifyAdapter(w, "", s.estimateLoadDelay(wantedModel{model: s.engine.Model(w.model), total: t}))
}

// adapterVictim returns the adapter to unload before a server can load another one: none if
// there is a free slot and enough memory, else the least recently used one. It returns false
// if there is no adapter to unload or all were used too recently.
func (s *servicePlan) adapterVictim(server *vrfleet.Server, l *ledger) (vrid.ModelID, vrid.AdapterID, bool) {
	used := l.countAdapters()
	var model vrid.ModelID
	var victim vrid.AdapterID
	var oldest time.Time
	for _, holding := range l.holds {
		for _, adapter := range holding.Adapters {
			last := time.Time{}
			if d := s.planner.demand[target{service: s.service.ID, model: holding.Model, adapter: adapter}]; d != nil {
				last = d.lastUsed
			}
			if victim == "" || last.Before(oldest) {
				model, victim, oldest = holding.Model, adapter, last
			}
		}
	}
	fits := s.freeMemory(server, l) >= s.largestAdapter()
	if used < s.engine.AdapterSlots-s.reservedAdapterSlots(server) && fits {
		return "", "", true
	}
	if victim == "" || s.now.Sub(oldest) < minAdapterIdle {
		return "", "", false
	}
	return model, victim, true
}

// reservedAdapterSlots is the number of adapter slots that are kept free while an order to an
// earlier run of the server may still be carried out.
func (s *servicePlan) reservedAdapterSlots(server *vrfleet.Server) int {
	if s.reservedMemory(server) > 0 {
		return 1
	}
	return 0
}

// largestAdapter returns the size of the largest declared adapter.
func (s *servicePlan) largestAdapter() vrid.Bytes {
	var largest vrid.Bytes
	for i := range s.engine.Models {
		largest = max(largest, s.engine.Models[i].AdapterSize)
	}
	return largest
}

// notifyAdapter adds a notice about a load of an adapter for the daemons whose requests wait
// for it.
func (s *servicePlan) notifyAdapter(w wantedAdapter, server vrid.ServerID, delay time.Duration) {
	to := s.planner.daemonsToNotify(s.now, w.target, noticeInterval/2)
	if len(to) == 0 {
		return
	}
	s.decision.Notices = append(s.decision.Notices, Notice{To: to, Notice: vrwire.Notice{
		Kind: vrwire.NoticeLoading, Service: w.service, Model: w.model, Adapter: w.adapter, Server: server, Delay: delay.Milliseconds(),
	}})
}
