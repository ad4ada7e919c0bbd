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

// adapterCandidate is a server that can load an adapter after unloading the victims.
type adapterCandidate struct {
	server  *vrfleet.Server
	victims []modelAdapter
	cost    float64
}

// neverFits stands for the time until a server can load an adapter that does not fit beside the models that the
// server holds.
const neverFits time.Duration = -1

// placeAdapter starts the load of an adapter on the server with the lowest cost. If a server
// already holds the adapter, it notifies the waiting daemons of that server instead.
func (s *servicePlan) placeAdapter(w wantedAdapter) {
	var best *adapterCandidate
	wanted := modelAdapter{w.model, w.adapter}
	modelHeld := false
	// delay is the shortest time until a server that holds the model can take the order, if none
	// can now.
	delay := neverFits
	for _, server := range s.holders[w.model] {
		if !server.AcceptsWork() || !s.keeps(server, w.model) {
			continue
		}
		if server.HasAdapter(s.now, w.model, w.adapter) && !s.planner.isUnloading(server, wanted) {
			// A daemon whose requests still wait does not know of this server.
			s.notifyAdapter(w, vrwire.NoticeLoading, server.ID, 0)
			return
		}
		modelHeld = true
		found, wait := s.adapterCandidateFor(server, w)
		if found != nil && len(found.victims) > 0 && s.awaitsUnload(wanted) {
			found, wait = nil, minAdapterIdle
		}
		switch {
		case found != nil && (best == nil || found.cost < best.cost):
			best = found
		case found == nil && wait != neverFits && (delay == neverFits || wait < delay):
			delay = wait
		}
	}
	switch {
	case best != nil:
		s.startAdapterLoad(best, w)
	case !modelHeld:
		s.addBaseDemand(w)
	case delay == neverFits:
		s.notifyAdapter(w, vrwire.NoticeRefused, "", adapterUnloadTime)
	default:
		// Without a notice the callers would wait for a part of their time and be refused as if
		// there were no owner.
		s.notifyAdapter(w, vrwire.NoticeLoading, "", delay)
	}
}

// adapterCandidateFor returns a server that holds the model of an adapter as a candidate for loading the adapter.
// If it can't take the order now, it returns nil and the time until it probably can, or neverFits.
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
	load := step{kind: vrevent.OrderLoad, model: w.model, adapter: w.adapter}
	if wait, waits := l.unloadDelay(s.now); waits && !s.fits(server, l, load) {
		s.planner.requestStatus(s.now, server.ID, s.decision)
		return nil, wait
	}
	victims, wait := s.adapterVictims(server, l, load)
	if wait != 0 {
		return nil, wait
	}
	cost := float64(server.EstimatedRequests(s.now)) / float64(max(server.Slots, 1))
	if len(victims) > 0 {
		cost += 0.1
	}
	return &adapterCandidate{server: server, victims: victims, cost: cost}, 0
}

// startAdapterLoad creates the job that loads an adapter on a candidate.
func (s *servicePlan) startAdapterLoad(c *adapterCandidate, w wantedAdapter) {
	j := &job{service: s.service.ID, startedAt: c.server.Born, retryAt: s.now, expectedTime: adapterLoadTime}
	for _, victim := range c.victims {
		j.steps = append(j.steps, step{kind: vrevent.OrderUnload, model: victim.model, adapter: victim.adapter})
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
	s.notifyAdapter(w, vrwire.NoticeLoading, "", s.estimateLoadDelay(&wantedModel{model: s.engine.Model(w.model), total: t}))
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

// adapterVictims returns the adapters to unload before a server has room for a load, the least recently used ones,
// and the time until they may be unloaded, or neverFits. There are none if the load fits.
func (s *servicePlan) adapterVictims(server *vrfleet.Server, l *ledger, load step) ([]modelAdapter, time.Duration) {
	slots, memory := s.freeAdapterSlots(server, l), s.freeMemory(server, l)
	needed := s.adapterSize(load.model)
	if vrfault.On(vrfault.IgnoreRoom) {
		return nil, 0
	}
	idle, inUse := s.adaptersByUse(l)
	var victims []modelAdapter
	for _, adapter := range idle {
		if slots > 0 && memory >= needed {
			break
		}
		victims = append(victims, adapter)
		slots++
		memory += s.adapterSize(adapter.model)
	}
	if slots > 0 && memory >= needed {
		return s.withoutSpare(victims, slots, memory-needed), 0
	}
	for _, adapter := range inUse {
		slots++
		memory += s.adapterSize(adapter.model)
	}
	switch reserved := s.reservedMemory(server); {
	case slots > 0 && memory >= needed:
		return nil, minAdapterIdle
	case reserved > 0 && memory+reserved >= needed:
		return nil, maxOrderDelay - s.now.Sub(server.SeenAt)
	default:
		return nil, neverFits
	}
}

// withoutSpare drops the victims that are not needed: without them as many slots and as much memory as given are left
// over. Small adapters that were used long ago may not be needed beside a large one.
func (s *servicePlan) withoutSpare(victims []modelAdapter, slots int, spare vrid.Bytes) []modelAdapter {
	return slices.DeleteFunc(victims, func(v modelAdapter) bool {
		size := s.adapterSize(v.model)
		if slots <= 1 || size > spare {
			return false
		}
		slots--
		spare -= size
		return true
	})
}

// adaptersByUse returns the adapters of a server that may be unloaded, the least recently used first, and those that
// may be in use or were used too recently.
func (s *servicePlan) adaptersByUse(l *ledger) (idle, inUse []modelAdapter) {
	lastUsed := make(map[modelAdapter]time.Time)
	for _, holding := range l.holds {
		for _, adapter := range holding.Adapters {
			a := modelAdapter{holding.Model, adapter}
			// A new owner has no reports of what was used before.
			last := s.planner.ownerSince
			mayBeRunning := false
			if d := s.planner.demand[target{service: s.service.ID, model: a.model, adapter: a.adapter}]; d != nil {
				last, mayBeRunning = later(last, d.lastUsed), d.mayBeRunning(s.now)
			}
			if mayBeRunning || s.now.Sub(last) < minAdapterIdle {
				inUse = append(inUse, a)
				continue
			}
			lastUsed[a] = last
			idle = append(idle, a)
		}
	}
	slices.SortStableFunc(idle, func(a, b modelAdapter) int { return lastUsed[a].Compare(lastUsed[b]) })
	return idle, inUse
}

// notifyAdapter adds a notice about the load of an adapter, or that there will be none, for the daemons whose requests wait
// for it.
func (s *servicePlan) notifyAdapter(w wantedAdapter, kind vrwire.NoticeKind, server vrid.ServerID, delay time.Duration) {
	to := s.planner.daemonsToNotify(s.now, w.target, noticeInterval/2)
	if len(to) == 0 {
		return
	}
	s.decision.Notices = append(s.decision.Notices, Notice{To: to, Notice: vrwire.Notice{
		Kind: kind, Service: w.service, Model: w.model, Adapter: w.adapter, Server: server, Delay: delay.Milliseconds(),
	}})
}
