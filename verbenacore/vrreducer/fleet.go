package vrreducer

import (
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrlease"
	"verbenaroute.example/verbenacore/vrmember"
	"verbenaroute.example/verbenacore/vrplace"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// slotRepeat is the pause between two requests for the same places.
	slotRepeat = 500 * time.Millisecond
	// slotTimeout is how long the fleet's owner may be silent before the zone uses its
	// own part; it spans several round trips between regions.
	slotTimeout = 300 * time.Millisecond
)

// fleet is a zone owner's part in the order of loads over the fleet. Nothing here
// decides what is loaded, so a wrong view of the fleet's owner only costs speed.
type fleet struct {
	lease *vrlease.Lease
	// slots is kept while this daemon is the fleet's owner.
	slots *vrplace.Slots
	peers map[vrid.ZoneID]slotPeer
	given map[vrid.ZoneID][]vrid.OrderID
	// asked and sent are the last request, waiting since when it has no answer.
	asked   time.Time
	sent    []vrwire.SlotLoad
	waiting time.Time
	granted []vrid.OrderID
	// planning is set while a plan asks for places.
	planning bool
	// number orders this owner's requests.
	number int64
}

// slotPeer is a zone's owner as it last asked for places.
type slotPeer struct {
	vrmember.Peer
	sentAt int64
}

func newFleet(lease *vrlease.Lease) fleet {
	return fleet{
		lease: lease, slots: vrplace.NewSlots(),
		peers: make(map[vrid.ZoneID]slotPeer), given: make(map[vrid.ZoneID][]vrid.OrderID),
	}
}

// tickFleet takes part in the fleet's lease; only zone owners are candidates.
func (s *State) tickFleet(now time.Time, out *vrevent.Effects) {
	if s.opts.Plain {
		return
	}
	owner := s.lease.Confirmed(now) && !s.shutdown.requested
	if !owner && s.fleet.lease.Holding() {
		s.fleet.lease.Release(now, out)
		return
	}
	s.fleet.lease.Tick(now, vrlease.TickParams{Observe: owner, Candidate: owner}, out)
	if s.fleet.lease.Holding() && s.store.Current() != nil && s.fleet.slots.Waiting() {
		s.assignSlots(now, "", out)
	}
}

// fleetChanged starts with an empty order when this daemon becomes the fleet's owner.
func (s *State) fleetChanged(change vrlease.Change, out *vrevent.Effects) {
	if change != vrlease.ChangeAcquired {
		return
	}
	out.Info("fleet lease acquired", epochField(s.fleet.lease.Epoch()))
	s.fleet.slots = vrplace.NewSlots()
	clear(s.fleet.given)
}

// coordinated reports whether the fleet's owner orders this zone's loads now.
func (s *State) coordinated(now time.Time) bool {
	if s.opts.Plain {
		return false
	}
	record, ok := s.fleet.lease.Latest()
	if !ok || record.Released {
		return false
	}
	return s.fleet.waiting.IsZero() || now.Sub(s.fleet.waiting) < slotTimeout
}

func (s *State) slotGranted(order vrid.OrderID) bool {
	return slices.Contains(s.fleet.granted, order)
}

// askSlots tells the fleet's owner which loads wait for and hold places.
func (s *State) askSlots(now time.Time, out *vrevent.Effects) {
	loads := s.planner.Loads()
	record, ok := s.fleet.lease.Latest()
	if s.opts.Plain || !ok || record.Released {
		return
	}
	same := slices.Equal(loads, s.fleet.sent)
	if same && (len(loads) == 0 || now.Sub(s.fleet.asked) < slotRepeat) {
		return
	}
	s.fleet.asked = now
	s.fleet.sent = loads
	if s.fleet.lease.Holding() {
		s.fleet.slots.Request(now, s.opts.Zone, loads)
		s.assignSlots(now, "", out)
		return
	}
	if len(loads) > 0 && s.fleet.waiting.IsZero() {
		s.fleet.waiting = now
	}
	// Two requests of one moment may overtake each other on the way.
	s.fleet.number = max(s.fleet.number+1, now.UnixNano())
	s.send(vrmember.Peer{Daemon: record.Holder, Address: record.Peer}, &vrwire.Envelope{
		SlotRequest: &vrwire.SlotRequest{Loads: loads, SentAt: s.fleet.number},
	}, out)
}

// slotsRequested serves another zone's owner as the fleet's owner.
func (s *State) slotsRequested(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	if !s.fleet.lease.Holding() {
		return
	}
	request := envelope.SlotRequest
	held := s.fleet.peers[envelope.Zone]
	if held.Daemon == envelope.From && held.sentAt > request.SentAt {
		return
	}
	s.fleet.peers[envelope.Zone] = slotPeer{Peer: s.peerOf(envelope.From), sentAt: request.SentAt}
	s.fleet.slots.Request(now, envelope.Zone, request.Loads)
	s.assignSlots(now, envelope.Zone, out)
}

// assignSlots gives free places; it answers the asking zone and tells the others what changed for them.
func (s *State) assignSlots(now time.Time, asking vrid.ZoneID, out *vrevent.Effects) {
	index := s.store.Current()
	grants := s.fleet.slots.Assign(now, index.Fleet.WeightStore.Slots)
	own := false
	for _, zone := range sortedKeys(grants) {
		if zone != asking && slices.Equal(grants[zone], s.fleet.given[zone]) {
			continue
		}
		s.fleet.given[zone] = grants[zone]
		if zone == s.opts.Zone {
			own = true
			continue
		}
		s.send(s.fleet.peers[zone].Peer, &vrwire.Envelope{SlotGrant: &vrwire.SlotGrant{Orders: grants[zone], SentAt: now.UnixMilli()}}, out)
	}
	if own {
		s.takeGrants(now, grants[s.opts.Zone], out)
	}
}

// takeGrants plans anew when the zone's places changed.
func (s *State) takeGrants(now time.Time, orders []vrid.OrderID, out *vrevent.Effects) {
	s.fleet.waiting = time.Time{}
	if slices.Equal(orders, s.fleet.granted) {
		return
	}
	s.fleet.granted = orders
	s.zone.planAt = time.Time{}
	if !s.fleet.planning {
		s.plan(now, out)
	}
}
