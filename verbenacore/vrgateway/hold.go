package vrgateway

import (
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrlease"
	"verbenaroute.example/verbenacore/vrwire"
)

// Load pattern: an outage of the store, or of the owner's connection to it, for 8 s while the demand for models
// shifts. An owner that stopped 1.5 s after its last renewal gave no order for 8 s, and 811 calls for models
// that no server held were refused in one day. Where ordered admission is active, the owner therefore holds
// the lease for longer. A successor of a dead or stopping owner does not have to wait for the end of that.

const (
	// longHold is how long the owner may give orders after its last acknowledged renewal where ordered
	// admission is active. An outage of the store of 8 s may begin just before a renewal, and a call that hangs
	// since then takes another 1.5 s. With 9 s, an outage of 8 s at the owner alone changed the owner in 161 of
	// 200 simulated runs, with 10.5 s and 11 s in none; with 10.5 s the hold still ended in 4 of 200 outages.
	longHold = 11 * time.Second
	// dialInterval is the minimum interval between two attempts to find out whether the owner's process has
	// ended, and refusedDialInterval that after a refused connection.
	dialInterval        = 300 * time.Millisecond
	refusedDialInterval = 50 * time.Millisecond
	// unansweredOrderTime is how long after an order without an answer it may still be carried out.
	unansweredOrderTime = 13 * time.Second
	// maxEntryAge is the maximum age of what the owner knows of a server that it gives orders to while the
	// store is lost. Servers renew their entries within 2 s.
	maxEntryAge = 2 * time.Second
)

// orderLog is what a stopping owner tells its successor about its orders.
type orderLog struct {
	// open is the number of orders without a result.
	open int
	// endedAt is when the last order ended, unansweredAt when one last ended without an answer.
	endedAt, unansweredAt time.Time
}

// record records the result of an order.
func (o *orderLog) record(now time.Time, outcome vrevent.OrderOutcome) {
	o.open = max(0, o.open-1)
	switch outcome {
	case vrevent.OrderNotSent:
	case vrevent.OrderUnknown:
		o.unansweredAt, o.endedAt = now, now
	default:
		o.endedAt = now
	}
}

// lastOrderAt returns the latest time at which an order of this process may have reached a server, now if one
// may still be on its way. Without any order it is the start of the process.
func (o *orderLog) lastOrderAt(now, startedAt time.Time) time.Time {
	if o.open > 0 || (!o.unansweredAt.IsZero() && now.Sub(o.unansweredAt) < unansweredOrderTime) {
		return now
	}
	return later(o.endedAt, startedAt)
}

// usesLongHold reports whether the owner may use the long hold: ordered admission is active here, or the
// owner's record says so.
func (s *State) usesLongHold() bool { return s.lease.HoldsLong() || s.sharesLoad() }

// allKnowHold reports whether all registered daemons know the hold of the lease. A daemon of a former version
// would acquire the lease during a long hold.
func (s *State) allKnowHold() bool {
	for _, peer := range s.peers {
		if !peer.KnowsHold {
			return false
		}
	}
	return len(s.peers) > 0
}

// ownerIsGone reports whether the newest record of the lease is known to have no holder any more.
func (s *State) ownerIsGone() bool {
	return s.usesLongHold() && s.lease.HolderGone()
}

// tickOwnerDial dials the owner if it seems to have ended: messages to it fail, or reads show that it does not
// renew its lease.
func (s *State) tickOwnerDial(now time.Time, out *vrevent.Effects) {
	if s.owner.unreachable(now) || s.lease.Unrenewed() {
		s.dialOwner(now, dialInterval, out)
	}
}

// dialOwner dials the holder of the newest record of the lease, unless that was done less than an interval
// ago. The dial begins after the record was seen, so another process that answers proves that the holder's has
// ended.
func (s *State) dialOwner(now time.Time, interval time.Duration, out *vrevent.Effects) {
	record, known := s.lease.Latest()
	if !known || record.Holder == s.opts.Daemon || record.Peer == "" || s.shutdown.requested || now.Sub(s.ownerDialedAt) < interval ||
		!s.usesLongHold() || s.lease.HolderGone() {
		return
	}
	s.ownerDialedAt = now
	out.Add(vrevent.DialPeer{Peer: record.Holder, Address: record.Peer, Boot: record.Boot})
}

// handlePeerUnreachable records that a message to a peer could not be delivered. If the connection to the owner was
// refused, its process has probably ended, so this daemon asks at once whether another one has taken its place.
func (s *State) handlePeerUnreachable(now time.Time, e vrevent.PeerUnreachable, out *vrevent.Effects) {
	s.owner.markUnreachable(now, e.Peer)
	if record, known := s.lease.Latest(); e.Refused && known && record.Holder == e.Peer {
		s.dialOwner(now, refusedDialInterval, out)
	}
}

// handlePeerDialed records whether the owner's process has ended.
func (s *State) handlePeerDialed(now time.Time, e vrevent.PeerDialed, out *vrevent.Effects) {
	if (e.Replaced || vrfault.On(vrfault.TrustAnyDial)) && s.lease.HolderEnded(now, e.Peer, e.Boot) {
		out.Info("placement owner ended", text("owner", e.Peer), number("epoch", uint64(s.lease.Epoch())))
	}
}

// PermitsOrders reports whether an order that was decided before may still be written, apart from the expiry that
// it carries: the owner may have written a shorter hold since.
func (s *State) PermitsOrders(now time.Time) bool {
	return now.Before(s.lease.ExpiresAt()) || vrfault.On(vrfault.OrderPastLease)
}

// stopOrders keeps orders that are on their way from being written after the release of the lease, and states
// when the last one ended.
func (s *State) stopOrders(now time.Time, out *vrevent.Effects) {
	if s.usesLongHold() && s.lease.Holding() {
		out.Add(vrevent.StopOrders{})
		s.lease.SetOrdersEnded(s.orders.lastOrderAt(now, s.startedAt))
	}
}

// offerLease tells one other daemon that this one has released the lease, so that it acquires it at once.
func (s *State) offerLease(out *vrevent.Effects) {
	record, _ := s.lease.Latest()
	if !s.shutdown.requested || !record.Released || record.Holder != s.opts.Daemon || !s.usesLongHold() {
		return
	}
	var others []vrevent.Peer
	for _, peer := range s.peers {
		if peer.Daemon != s.opts.Daemon && peer.KnowsHold {
			others = append(others, peer)
		}
	}
	if len(others) > 0 {
		next := others[s.random.IntN(len(others))]
		out.Add(vrevent.SendPeer{Peer: next.Daemon, Address: next.Address, Envelope: &vrwire.Envelope{
			Notices: &vrwire.Notices{ReleasedEpoch: record.Epoch},
		}})
	}
}

// handleLeaseOffer handles a message that its sender has released the lease.
func (s *State) handleLeaseOffer(notices *vrwire.Notices) {
	if notices.ReleasedEpoch > 0 && notices.ReleasedEpoch >= s.lease.Epoch() && s.usesLongHold() {
		s.lease.ReadFreshSoon()
	}
}

// leaseTick returns the parameters of a tick of the lease that depend on the hold.
func (s *State) leaseTick() vrlease.TickParams {
	long := s.usesLongHold()
	return vrlease.TickParams{LongHolds: long, HoldLong: long && s.sharesLoad() && s.allKnowHold()}
}

// ordersFreshFrom returns the time since which the owner must have heard of a server to give it orders, zero
// for any. The entries of servers are not renewed while the store is lost.
func (s *State) ordersFreshFrom(now time.Time) time.Time {
	if !s.store.lost {
		return time.Time{}
	}
	return now.Add(-maxEntryAge)
}

// mayPlan reports whether the owner may plan now.
func (s *State) mayPlan() bool {
	return !s.shutdown.requested && (!s.store.lost || s.usesLongHold())
}

// ownerOutlastsOutage reports whether the owner may still give orders although this daemon has lost the store.
func (s *State) ownerOutlastsOutage(now time.Time) bool {
	return s.lease.HoldsLong() && now.Sub(s.store.lostAt) < longHold && !s.lease.HolderGone()
}
