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
	// slotRequestInterval is the pause before an unchanged request for slots is sent
	// again.
	slotRequestInterval = 500 * time.Millisecond
	// slotGrantTimeout is how long the fleet owner may leave a request unanswered
	// before the zone falls back to its own share of the slots. It spans several round
	// trips between regions.
	slotGrantTimeout = 300 * time.Millisecond
)

// fleetState is a zone owner's part in ordering the weight store's loads across the
// fleet. It doesn't decide what is loaded, so a wrong view of the fleet owner only
// costs speed.
type fleetState struct {
	lease *vrlease.Lease
	// slots is maintained while this daemon is the fleet owner.
	slots      *vrplace.SlotAllocator
	requesters map[vrid.ZoneID]slotRequester
	sentGrants map[vrid.ZoneID][]vrid.OrderID
	// requestedAt and requestedLoads describe the last request; unansweredSince is the
	// time of the first request that has had no answer.
	requestedAt     time.Time
	requestedLoads  []vrwire.SlotLoad
	unansweredSince time.Time
	grantedOrders   []vrid.OrderID
	// planning is set while a plan requests slots, so that a grant doesn't start
	// another plan.
	planning bool
	// requestNumber puts this owner's requests in order. It is at least the time in
	// nanoseconds, so that it also increases across restarts of the daemon.
	requestNumber int64
}

// slotRequester is the sender and the number of a zone's latest slot request.
type slotRequester struct {
	vrmember.Peer
	number int64
}

func newFleetState(lease *vrlease.Lease) fleetState {
	return fleetState{
		lease: lease, slots: vrplace.NewSlotAllocator(),
		requesters: make(map[vrid.ZoneID]slotRequester), sentGrants: make(map[vrid.ZoneID][]vrid.OrderID),
	}
}

// tickFleetLease drives the fleet lease. Only zone owners are candidates.
func (s *State) tickFleetLease(now time.Time, out *vrevent.Effects) {
	if s.opts.Baseline {
		return
	}
	owner := s.lease.Confirmed(now) && !s.shutdown.requested
	if !owner && s.fleet.lease.Holding() {
		s.fleet.lease.Release(now, out)
		return
	}
	s.fleet.lease.Tick(now, vrlease.TickParams{Observe: owner, Candidate: owner}, out)
	if s.fleet.lease.Holding() && s.configStore.Current() != nil && s.fleet.slots.HasWaiting() {
		s.assignSlots(now, "", out)
	}
}

// fleetLeaseChanged discards all earlier slot requests when this daemon becomes the
// fleet owner.
func (s *State) fleetLeaseChanged(change vrlease.Change, out *vrevent.Effects) {
	if change != vrlease.ChangeAcquired {
		return
	}
	out.Info("fleet lease acquired", epochField(s.fleet.lease.Epoch()))
	s.fleet.slots = vrplace.NewSlotAllocator()
	clear(s.fleet.sentGrants)
}

// fleetCoordinated reports whether the fleet owner currently assigns this zone's load
// slots.
func (s *State) fleetCoordinated(now time.Time) bool {
	if s.opts.Baseline {
		return false
	}
	record, ok := s.fleet.lease.Latest()
	if !ok || record.Released {
		return false
	}
	return s.fleet.unansweredSince.IsZero() || now.Sub(s.fleet.unansweredSince) < slotGrantTimeout
}

func (s *State) slotGranted(order vrid.OrderID) bool {
	return slices.Contains(s.fleet.grantedOrders, order)
}

// requestSlots tells the fleet owner which loads of this zone wait for slots or hold
// them.
func (s *State) requestSlots(now time.Time, out *vrevent.Effects) {
	loads := s.planner.SlotLoads()
	record, ok := s.fleet.lease.Latest()
	if s.opts.Baseline || !ok || record.Released {
		return
	}
	unchanged := slices.Equal(loads, s.fleet.requestedLoads)
	if unchanged && (len(loads) == 0 || now.Sub(s.fleet.requestedAt) < slotRequestInterval) {
		return
	}
	s.fleet.requestedAt = now
	s.fleet.requestedLoads = loads
	if s.fleet.lease.Holding() {
		s.fleet.slots.SetLoads(now, s.opts.Zone, loads)
		s.assignSlots(now, "", out)
		return
	}
	if len(loads) > 0 && s.fleet.unansweredSince.IsZero() {
		s.fleet.unansweredSince = now
	}
	// Two requests sent at the same moment may overtake each other; the number shows
	// which one is newer.
	s.fleet.requestNumber = max(s.fleet.requestNumber+1, now.UnixNano())
	s.send(vrmember.Peer{Daemon: record.Holder, Address: record.Peer}, &vrwire.Envelope{
		SlotRequest: &vrwire.SlotRequest{Loads: loads, SentAt: s.fleet.requestNumber},
	}, out)
}

// handleSlotRequest serves another zone's owner if this daemon is the fleet owner.
func (s *State) handleSlotRequest(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	if !s.fleet.lease.Holding() {
		return
	}
	request := envelope.SlotRequest
	previous := s.fleet.requesters[envelope.Zone]
	if previous.Daemon == envelope.From && previous.number > request.SentAt {
		return
	}
	s.fleet.requesters[envelope.Zone] = slotRequester{Peer: s.peerOf(envelope.From), number: request.SentAt}
	s.fleet.slots.SetLoads(now, envelope.Zone, request.Loads)
	s.assignSlots(now, envelope.Zone, out)
}

// assignSlots assigns free slots. It always answers the requester, which would otherwise
// fall back to its own share, and notifies other zones only if their grants changed.
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

// applySlotGrants plans again if the zone's granted slots changed.
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
