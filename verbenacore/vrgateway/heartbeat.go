package vrgateway

import (
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// Timing of the placement owner's heartbeats. In a large fleet, store calls that every daemon
// makes are expensive, so the owner sends the newest catalog version to the other daemons
// instead. An owner that loses the store is trusted for at most maxStoreAge + heartbeatTTL
// afterwards, which is less than the shortest time within which a new catalog has to be in
// force (2.5 s).
const (
	heartbeatInterval = 800 * time.Millisecond
	// maxDaemonsWithoutHeartbeat is the number of daemons up to which the owner sends no
	// heartbeats.
	maxDaemonsWithoutHeartbeat = 12
	// maxStoreAge is the maximum age of the owner's last response from the store when it
	// sends a heartbeat.
	maxStoreAge = time.Second
	// heartbeatTTL is how long a received heartbeat is valid. With 2.3 s a catalog with 1,696 more
	// routes came into force too late at one of 295 daemons (CONFIG on trouble-2 of the large site).
	heartbeatTTL = 1200 * time.Millisecond
)

// ownerHeartbeat is the last heartbeat received from the placement owner.
type ownerHeartbeat struct {
	receivedAt     time.Time
	catalogVersion vrid.ConfigVersion
}

// age returns the time since the heartbeat was received, zero if there was none.
func (h *ownerHeartbeat) age(now time.Time) time.Duration {
	if h.receivedAt.IsZero() {
		return 0
	}
	return now.Sub(h.receivedAt)
}

// tickHeartbeat sends heartbeats to all other daemons if this daemon is the placement owner. It sends
// none for storeRecoveryGrace after a restore of the store: its watch of the catalog may be one from
// before, which shows no change of the restored store.
func (s *State) tickHeartbeat(now time.Time, out *vrevent.Effects) {
	if len(s.peers) <= maxDaemonsWithoutHeartbeat || s.catalog == nil || !s.lease.Confirmed(now) || now.Sub(s.heartbeatSentAt) < heartbeatInterval {
		return
	}
	if now.Sub(s.store.restoredAt) < storeRecoveryGrace {
		return
	}
	s.heartbeatSentAt = now
	for _, peer := range s.peers {
		if peer.Daemon == s.opts.Daemon {
			continue
		}
		out.Add(vrevent.SendPeer{Peer: peer.Daemon, Address: peer.Address, Envelope: &vrwire.Envelope{Notices: &vrwire.Notices{
			Epoch: s.lease.Epoch(), CatalogVersion: s.catalog.Version, StoreAge: now.Sub(s.lease.ConfirmedAt()).Milliseconds(),
			QuarantineVersion: s.quarantine.parts.Version(), Era: s.store.era,
		}}})
	}
}

// recordHeartbeat records a heartbeat if the owner had recent contact with the store, and not before a
// restore that this daemon knows of.
func (s *State) recordHeartbeat(now time.Time, notices *vrwire.Notices) {
	if notices.Era < s.store.era {
		return
	}
	if notices.CatalogVersion > 0 && time.Duration(notices.StoreAge)*time.Millisecond <= maxStoreAge {
		s.heartbeat = ownerHeartbeat{receivedAt: now, catalogVersion: notices.CatalogVersion}
	}
}

// HeartbeatStatus reports whether the last heartbeat of the placement owner is still valid
// (fresh), so that this daemon need not watch the catalog itself, and if so, whether the catalog
// in force is as new as the owner's (current).
func (s *State) HeartbeatStatus(now time.Time) (fresh, current bool) {
	if s.heartbeat.receivedAt.IsZero() || now.Sub(s.heartbeat.receivedAt) > heartbeatTTL || s.catalog == nil {
		return false, false
	}
	return true, s.catalog.Version >= s.heartbeat.catalogVersion
}

// ownerAlive reports whether the last heartbeat of another owner is still valid, so that this
// daemon need not try to acquire the lease.
func (s *State) ownerAlive(now time.Time) bool {
	return !s.heartbeat.receivedAt.IsZero() && now.Sub(s.heartbeat.receivedAt) <= heartbeatTTL && !s.lease.Holding()
}
