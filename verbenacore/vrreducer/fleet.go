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
	// slotRequestInterval is the pause between two requests for the same places.
	slotRequestInterval = 500 * time.Millisecond
	// slotGrantTimeout is how long the fleet's owner may be silent before the zone uses its
	// own part; it spans several round trips between regions.
	slotGrantTimeout = 300 * time.Millisecond
)

// fleetState is a zone owner's part in the order of loads over the fleetState. Nothing here
// decides what is loaded, so a wrong view of the fleetState's owner only costs speed.
type fleetState struct {
	lease *vrlease.Lease
	// slots is kept while this daemon is the fleet's owner.
	slots *vrplace.Slots
	requesters map[vrid.ZoneID]slotRequester
	sentGrants map[vrid.ZoneID][]vrid.OrderID
	// requestedAt and sent are the last request, waiting since when it has no answer.
	requestedAt   time.Time
	requestedLoads    []vrwire.SlotLoad
	unansweredSince time.Time
	grantedOrders []vrid.OrderID
	// planning is set while a plan asks for places.
	planning bool
	// requestNumber orders this owner's requests.
	requestNumber int64
}

// slotRequester is a zone's owner as it last asked for places.
type slotRequester struct {
	vrmember.Peer
	sentAt int64
}

func newFleetState(lease *vrlease.Lease) fleetState {
	return fleetState{
		lease: lease, slots: vrplace.NewSlots(),
		requesters: make(map[vrid.ZoneID]slotRequester), sentGrants: make(map[vrid.ZoneID][]vrid.OrderID),
	}
}

// tickFleetLease takes part in the fleet's lease; only zone owners are candidates.
func (s *State) tickFleetLease(now time.Time, out *vrevent.Effects) {
	if s.opts.Plain {
		return
	}
	owner := s.lease.Confirmed(now) && !s.shutdown.requested
	if !owner && s.fleet.lease.Holding() {
		s.fleet.lease.Release(now, out)
		return
	}
	s.fleet.lease.Tick(now, vrlease.Request{Observe: owner, Candidate: owner}, out)
	if s.fleet.lease.Holding() && s.configStore.Current() != nil && s.fleet.slots.Waiting() {
		s.assignSlots(now, "", out)
	}
}

// fleetLeaseChanged starts with an empty order when this daemon becomes the fleet's owner.
func (s *State) fleetLeaseChanged(change vrlease.Change, out *vrevent.Effects) {
	if change != vrlease.ChangeAcquired {
		return
	}
	out.Info("fleet lease acquired", epochField(s.fleet.lease.Epoch()))
	s.fleet.slots = vrplace.NewSlots()
	clear(s.fleet.sentGrants)
}

// fleetCoordinated reports whether the fleet's owner orders this zone's loads now.
func (s *State) fleetCoordinated(now time.Time) bool {
	if s.opts.Plain {
		return false
	}
	record, ok := s.fleet.lease.Known()
	if !ok || record.Released {
		return false
	}
	return s.fleet.unansweredSince.IsZero() || now.Sub(s.fleet.unansweredSince) < slotGrantTimeout
}

func (s *State) slotGranted(order vrid.OrderID) bool {
	return slices.Contains(s.fleet.grantedOrders, order)
}

// requestSlots tells the fleet's owner which loads wait for and hold places.
func (s *State) requestSlots(now time.Time, out *vrevent.Effects) {
	loads := s.planner.Loads()
	record, ok := s.fleet.lease.Known()
	if s.opts.Plain || !ok || record.Released {
		return
	}
	unchanged := slices.Equal(loads, s.fleet.requestedLoads)
	if unchanged && (len(loads) == 0 || now.Sub(s.fleet.requestedAt) < slotRequestInterval) {
		return
	}
	s.fleet.requestedAt = now
	s.fleet.requestedLoads = loads
	if s.fleet.lease.Holding() {
		s.fleet.slots.Request(now, s.opts.Zone, loads)
		s.assignSlots(now, "", out)
		return
	}
	if len(loads) > 0 && s.fleet.unansweredSince.IsZero() {
		s.fleet.unansweredSince = now
	}
	// Two requests of one moment may overtake each other on the way.
	s.fleet.requestNumber = max(s.fleet.requestNumber+1, now.UnixNano())
	s.send(vrmember.Peer{Daemon: record.Holder, Address: record.Peer}, &vrwire.Envelope{
		SlotRequest: &vrwire.SlotRequest{Loads: loads, SentAt: s.fleet.requestNumber},
	}, out)
}

// handleSlotRequest serves another zone's owner as the fleet's owner.
func (s *State) handleSlotRequest(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	if !s.fleet.lease.Holding() {
		return
	}
	request := envelope.SlotRequest
	previous := s.fleet.requesters[envelope.Zone]
	if previous.Daemon == envelope.From && previous.sentAt > request.SentAt {
		return
	}
	s.fleet.requesters[envelope.Zone] = slotRequester{Peer: s.peerOf(envelope.From), sentAt: request.SentAt}
	s.fleet.slots.Request(now, envelope.Zone, request.Loads)
	s.assignSlots(now, envelope.Zone, out)
}

// assignSlots gives free places; it answers the asking zone and tells the others what changed for them.
func (s *State) assignSlots(now time.Time, requester vrid.ZoneID, out *vrevent.Effects) {
	index := s.configStore.Current()
	grants := s.fleet.slots.Assign(now, index.Fleet.WeightStore.Slots)
	ownChanged := false
	for _, zone := range sortedKeys(grants) {
		if zone != requester && slices.Equal(grants[zone], s.fleet.sentGrants[zone]) {
			continue
		}
		s.fleet.sentGrants[zone] = grants[zone]
		if zone == s.opts.Zone {
			ownChanged = true
			continue
		}
		s.send(s.fleet.requesters[zone].Peer, &vrwire.Envelope{SlotGrant: &vrwire.SlotGrant{Orders: grants[zone], SentAt: now.UnixMilli()}}, out)
	}
	if ownChanged {
		s.applySlotGrants(now, grants[s.opts.Zone], out)
	}
}

// applySlotGrants plans anew when the zone's places changed.
func (s *State) applySlotGrants(now time.Time, orders []vrid.OrderID, out *vrevent.Effects) {
	s.fleet.unansweredSince = time.Time{}
	if slices.Equal(orders, s.fleet.grantedOrders) {
		return
	}
	s.fleet.grantedOrders = orders
	s.zone.plannedAt = time.Time{}
	if !s.fleet.planning {
		s.plan(now, out)
	}
}
