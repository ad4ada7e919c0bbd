package vrgateway

import (
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrresidence"
	"verbenaroute.example/verbenacore/vrwire"
)

// returnGrace is how long after the store's return a server may be missing from its list
// although it lives: registrations that lapsed in an outage come back within two seconds,
// and the list is read again a moment later.
const returnGrace = 2200 * time.Millisecond

// storeHealth is whether this daemon reaches the platform's store.
type storeHealth struct {
	lost     bool
	lostAt   time.Time
	returned time.Time
	// absent are servers that a list lacked while it could not be trusted, with the time
	// since when.
	absent map[vrid.ServerID]time.Time
}

// trusted reports whether a server's absence from the store means that it is gone.
func (h *storeHealth) trusted(now time.Time) bool {
	return !h.lost && (h.returned.IsZero() || now.Sub(h.returned) >= returnGrace)
}

func (s *State) storeLost(now time.Time, e vrevent.StoreLost, out *vrevent.Effects) {
	if s.store.lost {
		return
	}
	s.store.lost, s.store.lostAt = true, now
	out.Warn("store lost", text("detail", e.Detail))
}

func (s *State) storeBack(now time.Time, out *vrevent.Effects) {
	if !s.store.lost {
		return
	}
	s.store.lost, s.store.returned = false, now
	out.Info("store back", millis("lostMs", now.Sub(s.store.lostAt)))
}

// fleetListed takes a whole list: what it lacks is gone, unless the store has just
// returned.
func (s *State) fleetListed(now time.Time, e vrevent.FleetListed, out *vrevent.Effects) {
	listed := make(map[vrid.ServerID]bool, len(e.Entries))
	for _, entry := range e.Entries {
		listed[entry.ID] = true
		s.putEntry(now, entry, out)
	}
	for _, id := range s.fleet.Known() {
		if !listed[id] {
			s.absent(now, id, out)
		}
	}
	s.serveWaiting(now, out)
}

func (s *State) fleetChanged(now time.Time, e vrevent.FleetChanged, out *vrevent.Effects) {
	for _, entry := range e.Entries {
		s.putEntry(now, entry, out)
	}
	for _, id := range e.Removed {
		s.absent(now, id, out)
	}
	s.serveWaiting(now, out)
}

// absent takes a server out, at once or when the store's list can be trusted again.
func (s *State) absent(now time.Time, id vrid.ServerID, out *vrevent.Effects) {
	if s.store.trusted(now) {
		s.removeServer(id, out)
		return
	}
	if s.store.absent == nil {
		s.store.absent = make(map[vrid.ServerID]time.Time)
	}
	if _, known := s.store.absent[id]; !known {
		s.store.absent[id] = now
		out.Info("server missing after an outage", text("server", id))
	}
}

func (s *State) removeServer(id vrid.ServerID, out *vrevent.Effects) {
	delete(s.store.absent, id)
	if s.fleet.Remove(id) {
		out.Info("server gone", text("server", id))
		s.planner.ForgetServer(id)
	}
}

func (s *State) putEntry(now time.Time, entry vrfleet.Entry, out *vrevent.Effects) {
	delete(s.store.absent, entry.ID)
	change := s.fleet.Put(now, entry)
	switch change {
	case vrfleet.ChangeAdded, vrfleet.ChangeReborn, vrfleet.ChangeState:
		out.Info("server seen", text("server", entry.ID), text("service", entry.Service), text("zone", entry.Zone),
			text("change", changeName(change)), text("state", stateName(entry.State)), number("beat", entry.Beat),
			number("holds", uint64(len(entry.Holds))), number("onDisk", uint64(len(entry.OnDisk))),
			number("inHost", uint64(len(entry.InHost))))
	default:
	}
	if change == vrfleet.ChangeState && entry.State == vrfleet.StateDraining && s.lease.Holding() {
		s.sendNotices(now, []vrresidence.Notice{{Notice: vrwire.Notice{
			Kind: vrwire.NoticeLeaving, Service: entry.Service, Server: entry.ID,
		}}}, out)
	}
	if change == vrfleet.ChangeReborn {
		s.planner.ForgetServer(entry.ID)
	}
}

func changeName(change vrfleet.Change) string {
	switch change {
	case vrfleet.ChangeAdded:
		return "added"
	case vrfleet.ChangeReborn:
		return "reborn"
	default:
		return "state"
	}
}

func stateName(state vrfleet.State) string {
	if state == vrfleet.StateDraining {
		return "draining"
	}
	return "ready"
}

func (s *State) tickStore(now time.Time, out *vrevent.Effects) {
	if len(s.store.absent) == 0 || !s.store.trusted(now) {
		return
	}
	for id := range s.store.absent {
		s.removeServer(id, out)
	}
}
