package vrplace

import (
	"cmp"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// zoneSilence is how long the loads of a silent zone keep their places; zones repeat
	// their requests while they have any.
	zoneSilence = 3 * time.Second
	// freshLoad is how long a model that was loaded in one zone is not loaded for the
	// same burst in another: the other zones learn of the replica and use it.
	freshLoad = 3 * time.Second
	// slotClass is the resolution at which deadlines order loads; within a class the
	// longest load comes first, which ends a burst soonest.
	slotClass = 500 * time.Millisecond
	// gatherTime is how long a load that is not urgent waits for more urgent ones of the
	// same burst: a load that has started keeps its place for a second.
	gatherTime = 100 * time.Millisecond
)

// SlotAllocator is the fleet owner's order of the loads at the weight store. It only limits
// speed: what may be loaded at all is decided by each zone's owner.
type SlotAllocator struct {
	zones map[vrid.ZoneID]*zoneLoads
	// ended is where and when a model's load last ended.
	ended map[vrid.ModelID]endedLoad
}

type zoneLoads struct {
	loads   []vrwire.SlotLoad
	heard   time.Time
	granted map[vrid.OrderID]bool
	// since is when each load was first asked for.
	since map[vrid.OrderID]time.Time
}

type endedLoad struct {
	zone vrid.ZoneID
	at   time.Time
}

// NewSlotAllocator returns an order without loads.
func NewSlotAllocator() *SlotAllocator {
	return &SlotAllocator{zones: make(map[vrid.ZoneID]*zoneLoads), ended: make(map[vrid.ModelID]endedLoad)}
}

// SetLoads takes a zone's loads, which replace its earlier ones.
func (s *SlotAllocator) SetLoads(now time.Time, zone vrid.ZoneID, loads []vrwire.SlotLoad) {
	held := s.zones[zone]
	if held == nil {
		held = &zoneLoads{granted: make(map[vrid.OrderID]bool), since: make(map[vrid.OrderID]time.Time)}
		s.zones[zone] = held
	}
	for i := range held.loads {
		load := &held.loads[i]
		if load.Holding && !slices.ContainsFunc(loads, func(other vrwire.SlotLoad) bool { return other.Order == load.Order }) {
			s.ended[load.Model] = endedLoad{zone: zone, at: now}
		}
	}
	held.loads = loads
	held.heard = now
	held.note(now)
	for order := range held.granted {
		waits := func(load vrwire.SlotLoad) bool { return load.Order == order && !load.Holding }
		if !slices.ContainsFunc(loads, waits) {
			delete(held.granted, order)
		}
	}
}

// note keeps the times at which the present loads were first asked for.
func (z *zoneLoads) note(now time.Time) {
	since := make(map[vrid.OrderID]time.Time, len(z.loads))
	for i := range z.loads {
		order := z.loads[i].Order
		since[order] = now
		if first, ok := z.since[order]; ok {
			since[order] = first
		}
	}
	z.since = since
}

// gathers reports whether a load that is not urgent still waits for others.
func (z *zoneLoads) gathers(now time.Time, load *vrwire.SlotLoad) bool {
	return load.Rank != vrid.RankUrgent && now.Sub(z.since[load.Order]) < gatherTime
}

// HasWaiting reports whether a load waits for a place.
func (s *SlotAllocator) HasWaiting() bool {
	for _, held := range s.zones {
		for i := range held.loads {
			if load := &held.loads[i]; !load.Holding && !held.granted[load.Order] {
				return true
			}
		}
	}
	return false
}

// candidate is a model that waits for a place, with the zone that would load it.
type candidate struct {
	zone  vrid.ZoneID
	load  vrwire.SlotLoad
	rank  vrid.Rank
	until int64
	// gathers is set while the load should wait for more urgent ones of its burst.
	gathers bool
}

// Assign gives free places to the waiting loads in the order of rank and deadline, one
// zone for a model, and returns the loads of each zone that hold a grant.
func (s *SlotAllocator) Assign(now time.Time, places int) map[vrid.ZoneID][]vrid.OrderID {
	s.forget(now)
	used, taken := s.used()
	for _, next := range s.candidates(now, taken) {
		if used >= places {
			break
		}
		// A lone load need not wait for others: most of the places stay free for them.
		if next.gathers && used >= max(1, places/4) {
			continue
		}
		s.zones[next.zone].granted[next.load.Order] = true
		used++
	}
	grants := make(map[vrid.ZoneID][]vrid.OrderID, len(s.zones))
	for zone, held := range s.zones {
		grants[zone] = sortedOrders(held.granted)
	}
	return grants
}

// forget drops silent zones and old ends.
func (s *SlotAllocator) forget(now time.Time) {
	for zone, held := range s.zones {
		if now.Sub(held.heard) > zoneSilence {
			delete(s.zones, zone)
		}
	}
	for model, end := range s.ended {
		if now.Sub(end.at) > freshLoad {
			delete(s.ended, model)
		}
	}
}

// used counts the places in use and names the zone that loads each model.
func (s *SlotAllocator) used() (int, map[vrid.ModelID]vrid.ZoneID) {
	used := 0
	taken := make(map[vrid.ModelID]vrid.ZoneID)
	for zone, held := range s.zones {
		for i := range held.loads {
			load := &held.loads[i]
			if !load.Holding && !held.granted[load.Order] {
				continue
			}
			taken[load.Model] = zone
			if !load.Near {
				used++
			}
		}
	}
	return used, taken
}

// candidates lists the models that wait, the most urgent first.
func (s *SlotAllocator) candidates(now time.Time, taken map[vrid.ModelID]vrid.ZoneID) []candidate {
	best := make(map[vrid.ModelID]candidate)
	for zone, held := range s.zones {
		for i := range held.loads {
			load := held.loads[i]
			if load.Holding || load.Near || held.granted[load.Order] || s.elsewhere(now, zone, load.Model, taken) {
				continue
			}
			next := candidate{zone: zone, load: load, rank: load.Rank, until: load.Deadline, gathers: held.gathers(now, &load)}
			if other, ok := best[load.Model]; ok {
				next.rank = min(next.rank, other.rank)
				next.until = min(next.until, other.until)
				if s.better(other, next) {
					other.rank, other.until = next.rank, next.until
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

// elsewhere reports whether another zone loads the model or just did: its replica
// serves this zone too.
func (s *SlotAllocator) elsewhere(now time.Time, zone vrid.ZoneID, model vrid.ModelID, taken map[vrid.ModelID]vrid.ZoneID) bool {
	if holder, ok := taken[model]; ok && holder != zone {
		return true
	}
	end, ok := s.ended[model]
	return ok && end.zone != zone && now.Sub(end.at) <= freshLoad
}

// better reports whether a zone should rather load a model than another: the one with
// more room on a server, then the one with fewer loads.
func (s *SlotAllocator) better(a, b candidate) bool {
	if a.load.Room != b.load.Room {
		return a.load.Room > b.load.Room
	}
	if x, y := s.zones[a.zone].busy(), s.zones[b.zone].busy(); x != y {
		return x < y
	}
	return a.zone < b.zone
}

func (z *zoneLoads) busy() int {
	busy := len(z.granted)
	for i := range z.loads {
		if z.loads[i].Holding {
			busy++
		}
	}
	return busy
}

func compareCandidates(a, b candidate) int {
	class := slotClass.Milliseconds()
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.until/class, b.until/class),
		cmp.Compare(b.load.Work, a.load.Work),
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
