package vrplace

import (
	"cmp"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// zoneTimeout is how long the loads of a zone keep their slots after its last message; a zone
	// repeats its requests while it has loads.
	zoneTimeout = 3 * time.Second
	// recentLoadWindow is how long after a load in one zone the same model is not loaded in
	// another zone for the same burst: the other zones learn of the replica and use it.
	recentLoadWindow = 3 * time.Second
	// deadlineBucket is the resolution at which deadlines order loads. Within a bucket the
	// longest load comes first, which ends a burst soonest.
	deadlineBucket = 500 * time.Millisecond
	// burstDelay is how long a load that is not urgent waits for more urgent loads of the same
	// burst: a load that has started keeps its slot for a second.
	burstDelay = 100 * time.Millisecond
)

// SlotAllocator assigns the slots of the weight store to the loads of all zones. It runs on the
// fleet owner and only limits the rate: each zone's owner decides what to load.
type SlotAllocator struct {
	zones map[vrid.ZoneID]*zoneLoads
	// recentLoads is where and when the last load of each model ended.
	recentLoads map[vrid.ModelID]recentLoad
}

// zoneLoads is the state of the loads that one zone reported.
type zoneLoads struct {
	loads      []vrwire.SlotLoad
	receivedAt time.Time
	// granted holds the loads that were granted a slot and that the zone still reports as
	// waiting.
	granted map[vrid.OrderID]bool
	// requestedAt is when each load was first requested.
	requestedAt map[vrid.OrderID]time.Time
}

type recentLoad struct {
	zone    vrid.ZoneID
	endedAt time.Time
}

// NewSlotAllocator returns an allocator without loads.
func NewSlotAllocator() *SlotAllocator {
	return &SlotAllocator{zones: make(map[vrid.ZoneID]*zoneLoads), recentLoads: make(map[vrid.ModelID]recentLoad)}
}

// SetLoads replaces the loads of a zone.
func (s *SlotAllocator) SetLoads(now time.Time, zone vrid.ZoneID, loads []vrwire.SlotLoad) {
	state := s.zones[zone]
	if state == nil {
		state = &zoneLoads{granted: make(map[vrid.OrderID]bool), requestedAt: make(map[vrid.OrderID]time.Time)}
		s.zones[zone] = state
	}
	for i := range state.loads {
		load := &state.loads[i]
		if load.HoldsSlot && !slices.ContainsFunc(loads, func(other vrwire.SlotLoad) bool { return other.Order == load.Order }) {
			s.recentLoads[load.Model] = recentLoad{zone: zone, endedAt: now}
		}
	}
	state.loads = loads
	state.receivedAt = now
	state.recordRequestTimes(now)
	for order := range state.granted {
		stillWaiting := func(load vrwire.SlotLoad) bool { return load.Order == order && !load.HoldsSlot }
		if !slices.ContainsFunc(loads, stillWaiting) {
			delete(state.granted, order)
		}
	}
}

// recordRequestTimes keeps the times at which the current loads were first requested.
func (z *zoneLoads) recordRequestTimes(now time.Time) {
	requestedAt := make(map[vrid.OrderID]time.Time, len(z.loads))
	for i := range z.loads {
		order := z.loads[i].Order
		requestedAt[order] = now
		if first, ok := z.requestedAt[order]; ok {
			requestedAt[order] = first
		}
	}
	z.requestedAt = requestedAt
}

// waitsForBurst reports whether a load is not urgent and was first requested less than
// burstDelay ago, so that more urgent loads of its burst may still arrive.
func (z *zoneLoads) waitsForBurst(now time.Time, load *vrwire.SlotLoad) bool {
	return load.Rank != vrid.RankUrgent && now.Sub(z.requestedAt[load.Order]) < burstDelay
}

// HasWaiting reports whether any load waits for a slot.
func (s *SlotAllocator) HasWaiting() bool {
	for _, state := range s.zones {
		for i := range state.loads {
			if load := &state.loads[i]; !load.HoldsSlot && !state.granted[load.Order] {
				return true
			}
		}
	}
	return false
}

// candidate is a model that waits for a slot, with the zone that would load it.
type candidate struct {
	zone vrid.ZoneID
	load vrwire.SlotLoad
	// rank is the highest rank of the zones that wait for the model.
	rank vrid.Rank
	// deadline is the earliest of these zones' deadlines, in milliseconds of Unix time.
	deadline int64
	// waitsForBurst is set while the load should wait for more urgent ones of its burst.
	waitsForBurst bool
}

// Assign grants free slots to the waiting loads in the order of rank and deadline, one zone
// per model, and returns the granted loads of each zone.
func (s *SlotAllocator) Assign(now time.Time, slots int) map[vrid.ZoneID][]vrid.OrderID {
	s.expire(now)
	inUse, loadingZones := s.slotsInUse()
	for _, next := range s.candidates(now, loadingZones) {
		if inUse >= slots {
			break
		}
		// While few slots are in use, a load need not wait for its burst: most of the slots stay
		// free for the others.
		if next.waitsForBurst && inUse >= max(1, slots/4) {
			continue
		}
		s.zones[next.zone].granted[next.load.Order] = true
		inUse++
	}
	grants := make(map[vrid.ZoneID][]vrid.OrderID, len(s.zones))
	for zone, state := range s.zones {
		grants[zone] = sortedOrders(state.granted)
	}
	return grants
}

// expire removes zones that timed out and loads that ended too long ago.
func (s *SlotAllocator) expire(now time.Time) {
	for zone, state := range s.zones {
		if now.Sub(state.receivedAt) > zoneTimeout {
			delete(s.zones, zone)
		}
	}
	for model, recent := range s.recentLoads {
		if now.Sub(recent.endedAt) > recentLoadWindow {
			delete(s.recentLoads, model)
		}
	}
}

// slotsInUse returns the number of slots in use and the zone that loads each model.
func (s *SlotAllocator) slotsInUse() (int, map[vrid.ModelID]vrid.ZoneID) {
	inUse := 0
	loadingZones := make(map[vrid.ModelID]vrid.ZoneID)
	for zone, state := range s.zones {
		for i := range state.loads {
			load := &state.loads[i]
			if !load.HoldsSlot && !state.granted[load.Order] {
				continue
			}
			loadingZones[load.Model] = zone
			if !load.LocalSource {
				inUse++
			}
		}
	}
	return inUse, loadingZones
}

// candidates returns the models that wait for a slot, the most urgent first.
func (s *SlotAllocator) candidates(now time.Time, loadingZones map[vrid.ModelID]vrid.ZoneID) []candidate {
	best := make(map[vrid.ModelID]candidate)
	for zone, state := range s.zones {
		for i := range state.loads {
			load := state.loads[i]
			if load.HoldsSlot || load.LocalSource || state.granted[load.Order] || s.loadedElsewhere(now, zone, load.Model, loadingZones) {
				continue
			}
			next := candidate{zone: zone, load: load, rank: load.Rank, deadline: load.Deadline, waitsForBurst: state.waitsForBurst(now, &load)}
			if other, ok := best[load.Model]; ok {
				next.rank = min(next.rank, other.rank)
				next.deadline = min(next.deadline, other.deadline)
				if s.preferred(other, next) {
					other.rank, other.deadline = next.rank, next.deadline
					next = other
				}
			}
			best[load.Model] = next
		}
	}
	list := make([]candidate, 0, len(best))
	for _, next := range best {
		list = append(list, next)
	}
	slices.SortFunc(list, compareCandidates)
	return list
}

// loadedElsewhere reports whether another zone loads the model or just loaded it: its replica
// serves this zone too.
func (s *SlotAllocator) loadedElsewhere(now time.Time, zone vrid.ZoneID, model vrid.ModelID, loadingZones map[vrid.ModelID]vrid.ZoneID) bool {
	if holder, ok := loadingZones[model]; ok && holder != zone {
		return true
	}
	recent, ok := s.recentLoads[model]
	return ok && recent.zone != zone && now.Sub(recent.endedAt) <= recentLoadWindow
}

// preferred reports whether the zone of a should load the model rather than the zone of b: the
// one with more free memory on a server, then the one with fewer loads in flight.
func (s *SlotAllocator) preferred(a, b candidate) bool {
	if a.load.FreeMemoryGiB != b.load.FreeMemoryGiB {
		return a.load.FreeMemoryGiB > b.load.FreeMemoryGiB
	}
	if loadsA, loadsB := s.zones[a.zone].activeLoads(), s.zones[b.zone].activeLoads(); loadsA != loadsB {
		return loadsA < loadsB
	}
	return a.zone < b.zone
}

func (z *zoneLoads) activeLoads() int {
	active := len(z.granted)
	for i := range z.loads {
		if z.loads[i].HoldsSlot {
			active++
		}
	}
	return active
}

func compareCandidates(a, b candidate) int {
	bucketMillis := deadlineBucket.Milliseconds()
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.deadline/bucketMillis, b.deadline/bucketMillis),
		cmp.Compare(b.load.LoadMillis, a.load.LoadMillis),
		cmp.Compare(a.load.Model, b.load.Model),
	)
}

func sortedOrders(orders map[vrid.OrderID]bool) []vrid.OrderID {
	sorted := make([]vrid.OrderID, 0, len(orders))
	for order := range orders {
		sorted = append(sorted, order)
	}
	slices.Sort(sorted)
	return sorted
}
