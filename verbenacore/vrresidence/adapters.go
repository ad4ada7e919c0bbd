package vrresidence

import (
	"cmp"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
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

// adapterCandidate is a server that can load an adapter, after the unload of a victim if one is named.
type adapterCandidate struct {
	server *vrfleet.Server
	victim modelAdapter
	cost   float64
}

// placeAdapter starts the load of an adapter on the server with the lowest cost. If a server
// already holds the adapter, it notifies the waiting daemons of that server instead.
func (s *servicePlan) placeAdapter(w wantedAdapter) {
	var best *adapterCandidate
	wanted := modelAdapter{w.model, w.adapter}
	awaited := s.awaitsUnload(wanted)
	modelHeld := false
	// delay is the shortest time until a server that holds the model can take the order, if none
	// can now.
	delay := maxOrderDelay
	for _, server := range s.servers {
		if !server.AcceptsWork() || !s.keeps(server, w.model) {
			continue
		}
		if server.HasAdapter(s.now, w.model, w.adapter) && !s.planner.isUnloading(server, wanted) {
			// A daemon whose requests still wait does not know of this server.
			s.notifyAdapter(w, server.ID, 0)
			return
		}
		modelHeld = true
		found, wait := s.adapterCandidateFor(server, w)
		if found != nil && found.victim.adapter != "" && awaited {
			found, wait = nil, minAdapterIdle
		}
		if found == nil {
			delay = min(delay, wait)
			continue
		}
		if best == nil || found.cost < best.cost {
			best = found
		}
	}
	switch {
	case best != nil:
		s.startAdapterLoad(best, w)
	case !modelHeld:
		s.addBaseDemand(w)
	default:
		// Without a notice the callers would wait for a part of their time and be refused as if
		// there were no owner.
		s.notifyAdapter(w, "", delay)
	}
}

// adapterCandidateFor returns a server that holds the model of an adapter as a candidate for loading the adapter.
// If it can't take the order now, it returns nil and the time until it probably can.
func (s *servicePlan) adapterCandidateFor(server *vrfleet.Server, w wantedAdapter) (*adapterCandidate, time.Duration) {
	if j := s.planner.jobs[server.ID]; j != nil {
		return nil, j.blockedFor(s.now) + adapterLoadTime
	}
	if server.Ejected(s.now) {
		return nil, maxOrderDelay
	}
	l := s.planner.ledgerOf(s.now, server, s.decision)
	if l == nil {
		return nil, statusDelay
	}
	if l.find(w.model) == nil {
		// There is no order in progress here, so an unanswered order must have loaded the
		// model.
		delete(s.planner.ledgers, server.ID)
		return nil, maxOrderDelay
	}
	if wait, waits := l.unloadDelay(s.now); waits && !s.hasAdapterRoom(server, l) {
		s.planner.requestStatus(s.now, server.ID, s.decision)
		return nil, wait
	}
	victim, ok := s.adapterVictim(server, l)
	if !ok {
		return nil, minAdapterIdle
	}
	cost := float64(server.EstimatedRequests(s.now)) / float64(max(server.Slots, 1))
	if victim.adapter != "" {
		cost += 0.1
	}
	return &adapterCandidate{server: server, victim: victim, cost: cost}, 0
}

// startAdapterLoad creates the job that loads an adapter on a candidate.
func (s *servicePlan) startAdapterLoad(c *adapterCandidate, w wantedAdapter) {
	j := &job{service: s.service.ID, startedAt: c.server.Born, retryAt: s.now, expectedTime: adapterLoadTime}
	if c.victim.adapter != "" {
		j.steps = append(j.steps, step{kind: vrevent.OrderUnload, model: c.victim.model, adapter: c.victim.adapter})
	}
	j.steps = append(j.steps, step{kind: vrevent.OrderLoad, model: w.model, adapter: w.adapter})
	s.planner.jobs[c.server.ID] = j
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

// awaitsUnload reports whether the load of an adapter waits for an unload that a server has accepted of late. No
// other adapter is unloaded for it meanwhile.
func (s *servicePlan) awaitsUnload(a modelAdapter) bool {
	return slices.ContainsFunc(s.servers, func(server *vrfleet.Server) bool {
		l := s.planner.ledgers[server.ID]
		return l != nil && l.startedAt == server.Born && slices.ContainsFunc(l.unloading, func(u acceptedUnload) bool {
			return u.awaitedBy == a && s.now.Sub(u.acceptedAt) < stuckAfter
		})
	})
}

// hasAdapterRoom reports whether a server has a free slot and enough memory for any adapter.
func (s *servicePlan) hasAdapterRoom(server *vrfleet.Server, l *ledger) bool {
	fits := s.freeAdapterSlots(server, l) > 0 && s.freeMemory(server, l) >= s.largestAdapter()
	return fits || vrfault.On(vrfault.IgnoreRoom)
}

// adapterVictim returns the adapter to unload before a server can load another one: none if
// there is room, else the least recently used one. It returns false
// if there is no adapter to unload or all may be in use or were used too recently.
func (s *servicePlan) adapterVictim(server *vrfleet.Server, l *ledger) (modelAdapter, bool) {
	if s.hasAdapterRoom(server, l) {
		return modelAdapter{}, true
	}
	var victim modelAdapter
	var oldest time.Time
	for _, holding := range l.holds {
		for _, adapter := range holding.Adapters {
			// A new owner has no reports of what was used before.
			last := s.planner.ownerSince
			if d := s.planner.demand[target{service: s.service.ID, model: holding.Model, adapter: adapter}]; d != nil {
				if d.mayBeRunning(s.now) {
					continue
				}
				last = later(last, d.lastUsed)
			}
			if victim.adapter == "" || last.Before(oldest) {
				victim, oldest = modelAdapter{holding.Model, adapter}, last
			}
		}
	}
	return victim, victim.adapter != "" && s.now.Sub(oldest) >= minAdapterIdle
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
