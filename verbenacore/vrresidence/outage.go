package vrresidence

import (
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

// Load pattern: the store is lost for seconds while the owner goes on planning. The entries of the servers are
// then as old as the outage, and an order that is planned from them may evict a model from a server that has
// restarted or that another order has changed.

// isStale reports whether what is known of a server is older than the plan allows. It then requests the
// server's status report, whose answer makes it known again.
func (p *Planner) isStale(now time.Time, server *vrfleet.Server, decision *Decision) bool {
	if p.freshFrom.IsZero() || !server.EntryAt.Before(p.freshFrom) || !p.answeredAt[server.ID].Before(p.freshFrom) {
		return false
	}
	p.requestStatus(now, server.ID, decision)
	return true
}

// requestStatus requests a server's status report, at most once in statusReadInterval.
func (p *Planner) requestStatus(now time.Time, server vrid.ServerID, decision *Decision) {
	if now.Sub(p.statusRequestedAt[server]) >= statusReadInterval {
		p.statusRequestedAt[server] = now
		decision.StatusReads = append(decision.StatusReads, server)
	}
}

// requestCompletion requests the status report of a server whose load should have ended, while its entry can't
// show that.
func (p *Planner) requestCompletion(now time.Time, server vrid.ServerID, j *job, decision *Decision) {
	if !p.freshFrom.IsZero() && j.phase == phaseAccepted && j.remaining(now) == 0 {
		p.requestStatus(now, server, decision)
	}
}

// recordOutageStatus applies the status report of a server in place of its entry while plans need reports. A
// server that does not answer loses its job, so that another one gets it.
func (p *Planner) recordOutageStatus(now time.Time, e *vrevent.StatusRead, server *vrfleet.Server) {
	j := p.jobs[e.Server]
	switch {
	case p.freshFrom.IsZero() || server == nil:
	case e.Status == nil || e.Status.Born != server.Born:
		if j != nil && j.phase == phasePending {
			delete(p.jobs, e.Server)
			p.cooldownUntil[e.Server] = now.Add(unreachableCooldown)
		}
	default:
		p.answeredAt[e.Server] = now
		l := p.ledgers[e.Server]
		outdated := l != nil && l.startedAt == e.Status.Born && e.Status.Orders < l.orders
		if !e.Status.Busy && e.Status.PendingAdapters == 0 && !outdated {
			server.ReplaceModels(p.withoutUnloading(e.Server, e.Status.Holds), e.Status.InHost, e.Status.OnDisk)
		}
	}
}
