package vrgateway

import (
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfeed"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrresidence"
	"verbenaroute.example/verbenacore/vrwire"
)

// storeRecoveryGrace is how long after an outage or a restore of the store a live server may be
// missing from its list. Registrations that expired during the outage are renewed within two seconds,
// and the list is read again shortly after. After a restore, those that are newer than the copy are
// missing until the servers renew them.
const storeRecoveryGrace = 2200 * time.Millisecond

// storeHealth tracks whether this daemon can reach the platform's store.
type storeHealth struct {
	lost   bool
	lostAt time.Time
	// recoveredAt is the end of the last outage, or when the last restore was seen if that was later.
	recoveredAt time.Time
	// era is the latest era that was seen, restoredAt is when the restore that began it was.
	era        vrid.StoreEra
	restoredAt time.Time
	// absentSince holds the servers that were missing from the store's list while it could not
	// be trusted, and when they were first missing.
	absentSince map[vrid.ServerID]time.Time
}

// listTrusted reports whether a server that is missing from the store's list is really gone.
func (h *storeHealth) listTrusted(now time.Time) bool {
	return !h.lost && (h.recoveredAt.IsZero() || now.Sub(h.recoveredAt) >= storeRecoveryGrace)
}

// handleStoreLost records an outage of the store. Servers that are missing from its list are kept
// until storeRecoveryGrace after the outage.
func (s *State) handleStoreLost(now time.Time, e vrevent.StoreLost, out *vrevent.Effects) {
	if s.store.lost {
		return
	}
	s.store.lost, s.store.lostAt = true, now
	out.Warn("store unavailable", text("detail", e.Detail))
}

func (s *State) handleStoreRecovered(now time.Time, out *vrevent.Effects) {
	if !s.store.lost {
		return
	}
	s.store.lost, s.store.recoveredAt = false, now
	out.Info("store available again", millis("lostMs", now.Sub(s.store.lostAt)))
}

// handleStoreRestored records that the store was restored from a copy. What is known of the servers is
// kept, since the copy is older.
func (s *State) handleStoreRestored(now time.Time, e vrevent.StoreRestored, out *vrevent.Effects) {
	if e.Era <= s.store.era {
		return
	}
	s.store.era, s.store.restoredAt, s.store.recoveredAt = e.Era, now, now
	s.heartbeat, s.catalogProof = ownerHeartbeat{}, catalogProof{}
	s.proof.forget()
	s.rereadQuarantine()
	out.Warn("store restored from a copy", number("era", uint64(e.Era)))
}

// applyFleetList applies a full list of the registered servers. Servers that are not on the list
// are removed, unless the store has only just recovered or was restored.
func (s *State) applyFleetList(now time.Time, e vrevent.FleetListed, out *vrevent.Effects) {
	if s.feed.Version() == 0 {
		// The first list states the era in which this daemon started.
		s.store.era = max(s.store.era, e.Version.Era())
	}
	if !s.feed.HandleList(e.Version, e.Entries) {
		return
	}
	listed := make(map[vrid.ServerID]bool, len(e.Entries))
	for _, entry := range e.Entries {
		listed[entry.ID] = true
		s.applyEntry(now, entry, out)
	}
	for _, id := range s.fleet.IDs() {
		if !listed[id] {
			s.handleAbsent(now, id, out)
		}
	}
	s.dispatchWaiting(now, out)
}

// applyFleetChanges applies the registrations that changed since the last list or change, and
// passes them on if this daemon feeds its zone.
func (s *State) applyFleetChanges(now time.Time, e vrevent.FleetChanged, out *vrevent.Effects) {
	message, isNew := s.feed.HandleWatch(&vrfeed.Changes{After: e.After, Version: e.Version, Entries: e.Entries, Removed: e.Removed})
	if !isNew {
		return
	}
	s.sendFeed(now, message, out)
	s.applyChangedEntries(now, e, out)
}

func (s *State) applyChangedEntries(now time.Time, e vrevent.FleetChanged, out *vrevent.Effects) {
	for _, entry := range e.Entries {
		s.applyEntry(now, entry, out)
	}
	for _, id := range e.Removed {
		s.handleAbsent(now, id, out)
	}
	s.dispatchWaiting(now, out)
}

// handleAbsent handles a server that the store no longer lists. It is removed at once, or as soon
// as the list can be trusted again.
func (s *State) handleAbsent(now time.Time, id vrid.ServerID, out *vrevent.Effects) {
	if s.store.listTrusted(now) {
		s.removeServer(id, out)
		return
	}
	if s.store.absentSince == nil {
		s.store.absentSince = make(map[vrid.ServerID]time.Time)
	}
	if _, known := s.store.absentSince[id]; !known {
		s.store.absentSince[id] = now
		out.Info("server missing from store after outage, removal deferred", text("server", id))
	}
}

func (s *State) removeServer(id vrid.ServerID, out *vrevent.Effects) {
	delete(s.store.absentSince, id)
	if s.fleet.Remove(id) {
		out.Info("server removed", text("server", id))
		s.planner.ForgetServer(id)
	}
}

// applyEntry applies a server's registration. As the placement owner, it also tells all daemons
// if the server has started to drain.
func (s *State) applyEntry(now time.Time, entry vrfleet.Entry, out *vrevent.Effects) {
	known := s.fleet.Server(entry.ID)
	renewed := known == nil || entry.Born != known.Born || entry.Beat > known.Beat
	change := s.fleet.Put(now, entry)
	if renewed && change != vrfleet.ChangeOutdated {
		// An entry with a known count may come from a copy of the store.
		delete(s.store.absentSince, entry.ID)
	}
	switch change {
	case vrfleet.ChangeAdded, vrfleet.ChangeRestarted, vrfleet.ChangeState:
		out.Info("server registration changed", text("server", entry.ID), text("service", entry.Service), text("zone", entry.Zone),
			text("change", changeName(change)), text("state", stateName(entry.State)), number("beat", entry.Beat),
			number("holds", uint64(len(entry.Holds))), number("onDisk", uint64(len(entry.OnDisk))),
			number("inHost", uint64(len(entry.InHost))))
	case vrfleet.ChangeOutdated:
		out.Info("outdated server registration ignored", text("server", entry.ID), text("state", stateName(entry.State)),
			number("beat", entry.Beat), number("born", uint64(entry.Born)))
	default:
	}
	if change == vrfleet.ChangeState && entry.State == vrfleet.StateDraining && s.lease.Holding() {
		s.sendNotices(now, []vrresidence.Notice{{Notice: vrwire.Notice{
			Kind: vrwire.NoticeLeaving, Service: entry.Service, Server: entry.ID, Born: entry.Born,
		}}}, out)
	}
	if change == vrfleet.ChangeRestarted {
		s.planner.ForgetServer(entry.ID)
	}
}

// changeName returns the name of a change in logs.
func changeName(change vrfleet.Change) string {
	switch change {
	case vrfleet.ChangeAdded:
		return "added"
	case vrfleet.ChangeRestarted:
		return "reborn"
	default:
		return "state"
	}
}

// stateName returns the name of a state in logs.
func stateName(state vrfleet.State) string {
	if state == vrfleet.StateDraining {
		return "draining"
	}
	return "ready"
}

// tickAbsentServers removes the servers still missing once the store's list can be trusted.
func (s *State) tickAbsentServers(now time.Time, out *vrevent.Effects) {
	if len(s.store.absentSince) == 0 || !s.store.listTrusted(now) {
		return
	}
	for id := range s.store.absentSince {
		s.removeServer(id, out)
	}
}

// isLastSound reports whether no other server that a call can be sent to is sound: all of them are ejected.
func (s *State) isLastSound(now time.Time, c *call, server *vrfleet.Server) bool {
	need := s.requirements(c)
	for _, other := range s.fleet.ServersOf(server.Service) {
		if other != server && !other.Ejected(now) && s.chooser.CanServe(now, other, need) {
			return false
		}
	}
	return true
}
