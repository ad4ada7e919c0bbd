package vrresidence

import (
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

// A server unloads an adapter that no request uses at once, and says so. Otherwise it accepts the unload, carries
// it out once the requests have ended, and accepts other orders meanwhile. The adapter then takes its slot and its
// memory until a status report shows it gone. Nothing like that is needed for models: until the unload of a model is
// done the server refuses every order.
//
// Load pattern: all adapter slots are in use by streams of a daemon that is frozen or cut off, while other daemons
// ask for further adapters.

const (
	// unloadCheckInterval is the interval between reads of the status of a server with accepted unloads, unless
	// requests wait for their slots.
	unloadCheckInterval = time.Second
	// adapterUnloadTime is the expected time until the requests for an adapter whose unload was accepted have ended.
	adapterUnloadTime = time.Duration(assumedRequestSeconds * float64(time.Second))
)

// modelAdapter identifies an adapter among those of all models.
type modelAdapter struct {
	model   vrid.ModelID
	adapter vrid.AdapterID
}

// acceptedUnload is the unload of an adapter that a server has accepted.
type acceptedUnload struct {
	modelAdapter
	// orders is the order count of the server after the unload. A report with a lower count may be older.
	orders     uint64
	acceptedAt time.Time
	// awaitedBy is the adapter that is to take the slot.
	awaitedBy modelAdapter
}

// unloadAdapter records an accepted unload of an adapter. done is set if the server states that it is done.
func (l *ledger) unloadAdapter(now time.Time, a modelAdapter, done bool) {
	if held := l.find(a.model); held != nil {
		held.Adapters = slices.DeleteFunc(held.Adapters, func(id vrid.AdapterID) bool { return id == a.adapter })
	}
	l.dropUnload(a)
	if !done || l.mayBeUnloading[a] {
		l.unloading = append(l.unloading, acceptedUnload{modelAdapter: a, orders: l.orders, acceptedAt: now})
	}
	delete(l.mayBeUnloading, a)
}

func (l *ledger) dropUnload(a modelAdapter) {
	l.unloading = slices.DeleteFunc(l.unloading, func(u acceptedUnload) bool { return u.modelAdapter == a })
}

// isUnloading reports whether the unload of an adapter was accepted and may not be done.
func (l *ledger) isUnloading(a modelAdapter) bool {
	return slices.ContainsFunc(l.unloading, func(u acceptedUnload) bool { return u.modelAdapter == a })
}

// awaitUnload records the load that waits for an unload. It returns false if the unload is done.
func (l *ledger) awaitUnload(a modelAdapter, load step) bool {
	for i := range l.unloading {
		if l.unloading[i].modelAdapter == a {
			l.unloading[i].awaitedBy = modelAdapter{load.model, load.adapter}
			return true
		}
	}
	return false
}

// isUnloading reports whether a server has accepted the unload of an adapter that may not be done.
func (p *Planner) isUnloading(server *vrfleet.Server, a modelAdapter) bool {
	l := p.ledgers[server.ID]
	return l != nil && l.startedAt == server.Born && l.isUnloading(a)
}

// settleUnloads drops the accepted unloads that a status report shows as done.
func (l *ledger) settleUnloads(status *vrevent.ServerStatus) {
	if l.startedAt != status.Born {
		return
	}
	l.unloading = slices.DeleteFunc(l.unloading, func(u acceptedUnload) bool {
		return status.Orders >= u.orders && !lists(status.Holds, u.modelAdapter)
	})
}

// inheritUnloads takes over the accepted unloads of an earlier ledger of the same run that the report, from
// which this ledger was started, does not show as done.
func (l *ledger) inheritUnloads(earlier *ledger) {
	if earlier == nil || earlier.startedAt != l.startedAt {
		return
	}
	for _, u := range earlier.unloading {
		if !lists(l.holds, u.modelAdapter) {
			continue
		}
		l.unloadAdapter(u.acceptedAt, u.modelAdapter, false)
	}
}

// doubtUnloads records that unloads may have been accepted whose answers this owner has not got. The server
// may then answer that the unload of a listed adapter is done because the same order was accepted before.
func (l *ledger) doubtUnloads() {
	l.mayBeUnloading = make(map[modelAdapter]bool)
	for _, holding := range l.holds {
		for _, adapter := range holding.Adapters {
			l.mayBeUnloading[modelAdapter{holding.Model, adapter}] = true
		}
	}
}

func lists(holds []vrfleet.LoadedModel, a modelAdapter) bool {
	return slices.ContainsFunc(holds, func(h vrfleet.LoadedModel) bool {
		return h.Model == a.model && slices.Contains(h.Adapters, a.adapter)
	})
}

// withoutUnloading returns what a server holds, without the adapters that it unloads.
func (p *Planner) withoutUnloading(server vrid.ServerID, holds []vrfleet.LoadedModel) []vrfleet.LoadedModel {
	l := p.ledgers[server]
	if l == nil || len(l.unloading) == 0 {
		return holds
	}
	left := slices.Clone(holds)
	for i := range left {
		left[i].Adapters = slices.DeleteFunc(slices.Clone(left[i].Adapters), func(id vrid.AdapterID) bool {
			return l.isUnloading(modelAdapter{left[i].Model, id})
		})
	}
	return left
}

// unloadDelay returns how much longer an unload is expected to take, the one that ends first if there are
// several, or false if there is none.
func (l *ledger) unloadDelay(now time.Time) (time.Duration, bool) {
	if len(l.unloading) == 0 {
		return 0, false
	}
	shortest := adapterUnloadTime
	for i := range l.unloading {
		shortest = min(shortest, adapterUnloadTime-now.Sub(l.unloading[i].acceptedAt))
	}
	return max(shortest, statusDelay), true
}

// checkUnloads requests the status reports of the servers with accepted unloads.
func (p *Planner) checkUnloads(now time.Time, decision *Decision) {
	for id, l := range p.ledgers {
		if len(l.unloading) > 0 && now.Sub(p.statusRequestedAt[id]) >= unloadCheckInterval {
			p.statusRequestedAt[id] = now
			decision.StatusReads = append(decision.StatusReads, id)
		}
	}
}

// doubtsUnloads reports whether an unload may have been accepted by the run of a server whose answer this owner
// has not got: one of a former owner, or one of its own that was lost.
func (p *Planner) doubtsUnloads(server vrid.ServerID, status *vrevent.ServerStatus) bool {
	if p.knownRuns[server] != status.Born {
		p.knownRuns[server] = status.Born
		if status.Orders > 0 {
			p.doubtfulRuns[server] = status.Born
		}
	}
	return p.doubtfulRuns[server] == status.Born
}
