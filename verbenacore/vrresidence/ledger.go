package vrresidence

import (
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

// ledger records what one run of a server holds after a number of accepted orders. It starts
// from a status report, which gives both as of the same moment, and is updated with each order
// that the server accepts. Every order carries the number of accepted orders that it expects, so
// no order is carried out in a state other than the one it was planned for, however old the
// server's entry is.
type ledger struct {
	// startedAt identifies the run of the server by its start in Unix milliseconds.
	startedAt int64
	// orders is the number of orders that the server has accepted.
	orders uint64
	holds  []vrfleet.LoadedModel
	// unloading are the adapters whose unload the server has accepted and that no report has shown gone. They are
	// not in holds.
	unloading []acceptedUnload
	// mayBeUnloading holds the adapters of holds whose unload may have been accepted, see doubtUnloads.
	mayBeUnloading map[modelAdapter]bool
}

// statusReadInterval is the minimum time between two reads of a server's status report.
const statusReadInterval = 300 * time.Millisecond

// ledgerOf returns a server's ledger. If there is none for the server's current run, it
// returns nil and requests the server's status report, and likewise if the server is stale.
func (p *Planner) ledgerOf(now time.Time, server *vrfleet.Server, decision *Decision) *ledger {
	l := p.ledgers[server.ID]
	if p.isStale(now, server, decision) {
		return nil
	}
	if l != nil && l.startedAt == server.Born {
		return l
	}
	if now.Sub(p.statusRequestedAt[server.ID]) >= statusReadInterval {
		p.statusRequestedAt[server.ID] = now
		decision.StatusReads = append(decision.StatusReads, server.ID)
	}
	return nil
}

// find returns the holding of a model, or nil.
func (l *ledger) find(model vrid.ModelID) *vrfleet.LoadedModel {
	for i := range l.holds {
		if l.holds[i].Model == model {
			return &l.holds[i]
		}
	}
	return nil
}

// countAdapters returns the number of adapters over all models that take a slot.
func (l *ledger) countAdapters() int {
	count := len(l.unloading)
	for i := range l.holds {
		count += len(l.holds[i].Adapters)
	}
	return count
}

// apply records an accepted order. A model or adapter counts as loaded once its load is
// accepted. Memory that the unload of a model frees may be planned for the next order, because the server
// refuses that order until the unload is done. done is set if the server states that the order is done.
func (l *ledger) apply(now time.Time, s step, done bool) {
	l.orders++
	held := l.find(s.model)
	switch {
	case s.kind == vrevent.OrderLoad && s.adapter == "":
		if held == nil && !vrfault.On(vrfault.ForgetLoads) {
			l.holds = append(l.holds, vrfleet.LoadedModel{Model: s.model})
		}
	case s.kind == vrevent.OrderUnload && s.adapter == "":
		l.holds = slices.DeleteFunc(l.holds, func(h vrfleet.LoadedModel) bool { return h.Model == s.model })
		l.unloading = slices.DeleteFunc(l.unloading, func(u acceptedUnload) bool { return u.model == s.model })
	case s.kind == vrevent.OrderUnload:
		l.unloadAdapter(now, modelAdapter{s.model, s.adapter}, done || vrfault.On(vrfault.TrustAcceptedUnloads))
	case held != nil && !slices.Contains(held.Adapters, s.adapter):
		l.dropUnload(modelAdapter{s.model, s.adapter})
		held.Adapters = append(held.Adapters, s.adapter)
	}
}

// newLedger returns a ledger that starts from a status report. It copies the slices, since the
// ledger changes them.
func newLedger(status *vrevent.ServerStatus) *ledger {
	l := &ledger{startedAt: status.Born, orders: status.Orders}
	for _, holding := range status.Holds {
		holding.Adapters = slices.Clone(holding.Adapters)
		l.holds = append(l.holds, holding)
	}
	return l
}

// HandleStatusRead handles the status report of a server, or the failure to read it.
func (p *Planner) HandleStatusRead(now time.Time, e vrevent.StatusRead, fleet *vrfleet.Fleet) {
	p.recordTakeoverStatus(e)
	if l := p.ledgers[e.Server]; l != nil && e.Status != nil {
		l.settleUnloads(e.Status)
	}
	server := fleet.Server(e.Server)
	p.recordOutageStatus(now, &e, server)
	j := p.jobs[e.Server]
	if j != nil && (j.phase != phasePending || !j.awaitingStatus) {
		return
	}
	if j != nil {
		j.awaitingStatus = false
		j.retryAt = now.Add(j.retryAfterStatus())
	}
	if e.Status == nil || server == nil || e.Status.Born != server.Born {
		p.cooldownUntil[e.Server] = now.Add(conflictRetryDelay)
		return
	}
	if !server.HasRecentReport(now) {
		// Status reports are some hundred milliseconds old.
		server.SetLoad(now, e.Status.Running, e.Status.Waiting)
	}
	if (e.Status.Busy || e.Status.PendingAdapters > 0) && !vrfault.On(vrfault.TrustBusyReports) {
		// An order in progress is already counted, but what it loads is not listed yet: a
		// plan based on this report could use the same memory twice.
		return
	}
	l := p.ledgers[e.Server]
	if l != nil && l.startedAt == e.Status.Born && l.orders == e.Status.Orders {
		return
	}
	started := newLedger(e.Status)
	if p.doubtsUnloads(e.Server, e.Status) {
		started.doubtUnloads()
	}
	started.inheritUnloads(l)
	p.ledgers[e.Server] = started
	server.ReplaceModels(p.withoutUnloading(e.Server, e.Status.Holds), e.Status.InHost, e.Status.OnDisk)
	// The job's evictions were planned for a different state.
	delete(p.jobs, e.Server)
}
