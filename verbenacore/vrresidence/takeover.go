package vrresidence

import (
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

// takeover finds out which loads from the weight store the previous owner started in its last
// window. A load that takes longer than the window is still in progress, so the servers' status
// reports show it.
//
// Load pattern: all daemons are killed at once, or the owner dies during a shift of demand. A
// model in high demand then has one replica, and every second for which its loads are held back
// makes hundreds of calls late.
type takeover struct {
	// previousEnd is the latest time at which another owner may have given an order, zero if there
	// was none.
	previousEnd time.Time
	// busy holds, for each server whose status shows the previous owner's orders, whether it was
	// carrying one out.
	busy map[vrid.ServerID]bool
	// resolved holds the services whose servers have all been counted.
	resolved map[vrid.ServiceID]bool
}

func newTakeover(previousEnd time.Time) takeover {
	return takeover{previousEnd: previousEnd, busy: make(map[vrid.ServerID]bool), resolved: make(map[vrid.ServiceID]bool)}
}

// pending reports whether the loads of the previous owner may matter for a window that ends now.
func (t *takeover) pending(now time.Time, window time.Duration) bool {
	return !t.previousEnd.IsZero() && now.Sub(t.previousEnd) <= window && !vrfault.On(vrfault.IgnoreCeiling)
}

// showsPreviousOrders reports whether a status that was requested at a time shows all orders of the
// previous owner.
func (t *takeover) showsPreviousOrders(requestedAt time.Time) bool {
	return !requestedAt.Before(t.previousEnd.Add(statusDelay))
}

// recordTakeoverStatus records a server's status report. A server whose status can't be read counts as
// busy.
func (p *Planner) recordTakeoverStatus(e vrevent.StatusRead) {
	if p.takeover.showsPreviousOrders(p.statusRequestedAt[e.Server]) {
		p.takeover.busy[e.Server] = e.Status == nil || e.Status.Busy
	}
}

// resolveTakeover reports whether loads of the service from the weight store have to wait because
// those of the previous owner are not known yet. Once they are, it counts them as started.
func (s *servicePlan) resolveTakeover() bool {
	t := &s.planner.takeover
	if !t.pending(s.now, s.store.ceiling.Window) || t.resolved[s.service.ID] {
		return false
	}
	if s.shortestStoreLoad() <= s.store.ceiling.Window || s.now.Before(t.previousEnd.Add(statusDelay)) {
		return true
	}
	unknown, started := 0, 0
	for _, server := range s.servers {
		busy, known := t.busy[server.ID]
		if !known {
			unknown++
			s.requestStatus(server)
		}
		if busy {
			started++
		}
	}
	if unknown > 0 {
		return true
	}
	t.resolved[s.service.ID] = true
	s.store.starts = s.store.starts[:0]
	for range started {
		s.store.starts = append(s.store.starts, t.previousEnd)
	}
	return false
}

// requestStatus asks for a server's status report unless that was done a moment ago.
func (s *servicePlan) requestStatus(server *vrfleet.Server) {
	if s.now.Sub(s.planner.statusRequestedAt[server.ID]) < statusReadInterval {
		return
	}
	s.planner.statusRequestedAt[server.ID] = s.now
	s.decision.StatusReads = append(s.decision.StatusReads, server.ID)
}

// shortestStoreLoad returns the shortest time that a load of any declared model takes from the
// weight store.
func (s *servicePlan) shortestStoreLoad() time.Duration {
	shortest := time.Duration(0)
	for i := range s.engine.Models {
		if load := s.engine.Models[i].StoreLoad; shortest == 0 || load < shortest {
			shortest = load
		}
	}
	return shortest
}
