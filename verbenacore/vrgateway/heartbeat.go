package vrgateway

import (
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// Times of the owner's heartbeats. With more daemons than a few, each call to the store
// that all of them make has its price, so the owner tells them what the newest catalog is.
// An owner that loses the store at one moment is trusted for ownerFresh and ownerHeard
// after it at most, which is less than the shortest time in which a catalog has to be in
// force (2.5 s).
const (
	heartbeatInterval = 800 * time.Millisecond
	// heartbeatDaemons is from how many daemons the owner sends heartbeats.
	heartbeatDaemons = 12
	// ownerFresh is how old the owner's last answer of the store may be when it sends.
	ownerFresh = time.Second
	// ownerHeard is how long a heartbeat counts.
	ownerHeard = 1200 * time.Millisecond
)

// guide is what the owner's last heartbeat said.
type guide struct {
	heard   time.Time
	catalog vrid.ConfigVersion
}

// tickHeartbeat sends the owner's heartbeats.
func (s *State) tickHeartbeat(now time.Time, out *vrevent.Effects) {
	if len(s.peers) <= heartbeatDaemons || s.catalog == nil || !s.lease.Confirmed(now) || now.Sub(s.beatAt) < heartbeatInterval {
		return
	}
	s.beatAt = now
	for _, peer := range s.peers {
		if peer.Daemon == s.opts.Daemon {
			continue
		}
		out.Add(vrevent.SendPeer{Peer: peer.Daemon, Address: peer.Address, Envelope: &vrwire.Envelope{Notices: &vrwire.Notices{
			Epoch: s.lease.Epoch(), Catalog: s.catalog.Version, StoreAge: now.Sub(s.lease.ConfirmedAt()).Milliseconds(),
		}}})
	}
}

// heartbeat takes the owner's word if the owner was in touch with the store.
func (s *State) heartbeat(now time.Time, notices *vrwire.Notices) {
	if notices.Catalog > 0 && time.Duration(notices.StoreAge)*time.Millisecond <= ownerFresh {
		s.guide = guide{heard: now, catalog: notices.Catalog}
	}
}

// Guided reports whether the owner's word replaces this daemon's own watch of the catalog
// now, and whether the catalog in force is the owner's newest.
func (s *State) Guided(now time.Time) (guided, current bool) {
	if s.guide.heard.IsZero() || now.Sub(s.guide.heard) > ownerHeard || s.catalog == nil {
		return false, false
	}
	return true, s.catalog.Version >= s.guide.catalog
}

// ownerAlive reports whether the owner's heartbeats come: nobody has to look after its
// lease then.
func (s *State) ownerAlive(now time.Time) bool {
	return !s.guide.heard.IsZero() && now.Sub(s.guide.heard) <= ownerHeard && !s.lease.Holding()
}
