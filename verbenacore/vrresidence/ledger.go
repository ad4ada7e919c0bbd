package vrresidence

import (
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

// ledger is what one life of a server holds after a number of accepted orders. It begins
// with a report, in which both are of one moment, and goes on with each order that the
// server accepts. Every order names the number that it expects, so no order is carried out
// on another state than the one that it was planned on, however old the server's entry is.
type ledger struct {
	born   int64
	orders uint64
	holds  []vrfleet.Holding
}

// readPause is the pause between two questions for a server's report.
const readPause = 300 * time.Millisecond

// ledgerOf returns a server's ledger, or nil and asks for its report.
func (p *Planner) ledgerOf(now time.Time, server *vrfleet.Server, decided *Decision) *ledger {
	l := p.ledgers[server.ID]
	if l != nil && l.born == server.Born {
		return l
	}
	if now.Sub(p.asked[server.ID]) >= readPause {
		p.asked[server.ID] = now
		decided.StatusReads = append(decided.StatusReads, server.ID)
	}
	return nil
}

func (l *ledger) find(model vrid.ModelID) *vrfleet.Holding {
	for i := range l.holds {
		if l.holds[i].Model == model {
			return &l.holds[i]
		}
	}
	return nil
}

// adapters counts the adapters of all models.
func (l *ledger) adapters() int {
	count := 0
	for i := range l.holds {
		count += len(l.holds[i].Adapters)
	}
	return count
}

// apply takes an accepted order. A load counts from then on; what an unload frees may be
// used by the next order, which the server refuses until the unload is done.
func (l *ledger) apply(s step) {
	l.orders++
	held := l.find(s.model)
	switch {
	case s.kind == vrevent.OrderLoad && s.adapter == "":
		if held == nil && !vrfault.On(vrfault.ForgetLoads) {
			l.holds = append(l.holds, vrfleet.Holding{Model: s.model})
		}
	case s.kind == vrevent.OrderUnload && s.adapter == "":
		l.holds = slices.DeleteFunc(l.holds, func(h vrfleet.Holding) bool { return h.Model == s.model })
	case held == nil:
	case s.kind == vrevent.OrderLoad:
		if !slices.Contains(held.Adapters, s.adapter) {
			held.Adapters = append(held.Adapters, s.adapter)
		}
	default:
		held.Adapters = slices.DeleteFunc(held.Adapters, func(a vrid.AdapterID) bool { return a == s.adapter })
	}
}

// newLedger takes a report. The slices are copied, since the ledger changes them.
func newLedger(status *vrevent.ServerStatus) *ledger {
	l := &ledger{born: status.Born, orders: status.Orders}
	for _, holding := range status.Holds {
		holding.Adapters = slices.Clone(holding.Adapters)
		l.holds = append(l.holds, holding)
	}
	return l
}

// HandleStatusRead takes a server's own report.
func (p *Planner) HandleStatusRead(now time.Time, e vrevent.StatusRead, fleet *vrfleet.Fleet) {
	w := p.work[e.Server]
	server := fleet.Server(e.Server)
	if w != nil && (w.phase != phaseDue || !w.reading) {
		return
	}
	if w != nil {
		w.reading = false
		w.retryAt = now.Add(retryPause)
	}
	if e.Status == nil || server == nil || e.Status.Born != server.Born {
		p.cool[e.Server] = now.Add(retryPause)
		return
	}
	server.Load(now, e.Status.Running, e.Status.Waiting)
	if (e.Status.Busy || e.Status.PendingAdapters > 0) && !vrfault.On(vrfault.TrustBusyReports) {
		// An order that is under way counts already, but what it loads is not in the list
		// yet: a plan from this report could take the same room twice.
		return
	}
	known := p.ledgers[e.Server]
	if known != nil && known.born == e.Status.Born && known.orders == e.Status.Orders {
		return
	}
	p.ledgers[e.Server] = newLedger(e.Status)
	server.Correct(e.Status.Holds, e.Status.InHost, e.Status.OnDisk)
	// What makes room was planned from another state.
	delete(p.work, e.Server)
}
