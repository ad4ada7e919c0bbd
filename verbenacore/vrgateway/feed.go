package vrgateway

import (
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfeed"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// setFeedMembers tells the feed which daemons of this zone are registered.
func (s *State) setFeedMembers(now time.Time) {
	var members []vrid.DaemonID
	for _, peer := range s.peers {
		if peer.Zone != "" && peer.Zone == s.opts.Zone {
			members = append(members, peer.Daemon)
		}
	}
	s.feed.SetMembers(now, members)
}

// sendFeed passes changes of the servers on to the other daemons of the zone if this daemon is
// their feeder. It sends nothing while the store's list can't be trusted: the others then watch
// the store themselves and notice the outage.
func (s *State) sendFeed(now time.Time, changes *vrfeed.Changes, out *vrevent.Effects) {
	if !s.FeedsZone(now) || !s.store.listTrusted(now) {
		return
	}
	message := vrwire.NewFleetChanges(changes, len(s.peers))
	for _, peer := range s.peers {
		if peer.Zone == s.opts.Zone && peer.Daemon != s.opts.Daemon {
			out.Add(vrevent.SendPeer{Peer: peer.Daemon, Address: peer.Address, Envelope: &vrwire.Envelope{FleetChanges: message}})
		}
	}
}

// handleFeed applies the changes that the feeder of the zone sent.
func (s *State) handleFeed(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	message := envelope.FleetChanges
	changes := message.Changes()
	if changes.Version.Era() < s.store.era {
		// The feeder does not know of the last restore of the store.
		return
	}
	s.feedDaemons = int(message.Daemons)
	if s.feed.HandleMessage(now, envelope.From, changes) {
		s.applyChangedEntries(now, vrevent.FleetChanged{Entries: changes.Entries, Removed: changes.Removed}, out)
	}
}

// FeedsZone reports whether this daemon watches the servers for its zone.
func (s *State) FeedsZone(now time.Time) bool { return !s.shutdown.requested && s.feed.IsFeeder(now) }

// ServersFed reports whether another daemon keeps this one's view of the servers up to date, so
// that it need not watch them itself. The placement owner always does, because it plans from
// them. What the feeder sent before a restore of the store proves nothing of the time after it.
func (s *State) ServersFed(now time.Time) bool {
	return s.feed.IsFresh(now) && s.feed.Version().Era() >= s.store.era && !s.lease.Holding() && !s.store.lost
}

// PeersCurrent reports whether the feeder of the zone knows as many daemons as this one, so that
// it need not list them.
func (s *State) PeersCurrent(now time.Time) bool {
	return s.ServersFed(now) && s.feedDaemons == len(s.peers)
}

// ServersVersion returns the version of the store that this daemon's view of the servers includes.
func (s *State) ServersVersion() vrid.ObjectVersion { return s.feed.Version() }
