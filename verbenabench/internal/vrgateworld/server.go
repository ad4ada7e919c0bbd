package vrgateworld

import (
	"fmt"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

const (
	registerEvery = time.Second
	registerDelay = 5 * time.Millisecond
	// orderTimeout is when a daemon stops waiting for an order's answer.
	orderTimeout = 800 * time.Millisecond
	// lateOrderLeast and lateOrderMost bound how late an unanswered order is carried out.
	lateOrderLeast = 2 * time.Second
	lateOrderMost  = 12 * time.Second
	adapterTime    = 10 * time.Millisecond
	// reportLag is the greatest age of a report.
	reportLag = 400 * time.Millisecond
	// runningMost is how many requests a server takes, in slots.
	runningMost = 2
)

// Server is an application server or an engine.
type Server struct {
	ID      vrid.ServerID
	Service vrid.ServiceID
	Address string
	Zone    vrid.ZoneID
	Born    int64
	// Alive is false while the server is down, Draining set once it said that it leaves.
	Alive, Draining bool
	// LeftAt is when the store acknowledged that the server drains or is gone.
	LeftAt time.Time
	// LateOrders is the probability that an order is carried out seconds late, LoseAnswers
	// that its answer is lost.
	LateOrders, LoseAnswers float64
	// Breaks is the probability that a connection ends in the middle of a request, Errors
	// that a request fails with a server error, Slow stretches every request.
	Breaks, Errors, Slow float64
	// CutFrom are daemons that do not reach the server.
	CutFrom map[vrid.DaemonID]bool

	world   *World
	beat    uint64
	orders  uint64
	busy    bool
	holds   []vrfleet.LoadedModel
	inHost  []vrid.ModelID
	onDisk  []vrid.ModelID
	loading []vrid.ModelID
	running []*Attempt
	reports []agedReport
}

type agedReport struct {
	at     time.Time
	status vrevent.ServerStatus
}

// addServer starts a server at an address, or at one of its own.
func (w *World) addServer(service vrid.ServiceID, zone vrid.ZoneID, address string) {
	w.ids++
	id := vrid.ServerID(fmt.Sprintf("s%02d", w.ids))
	if address == "" {
		address = "at:" + string(id)
	}
	s := &Server{ID: id, Service: service, Address: address, Zone: zone, world: w, CutFrom: make(map[vrid.DaemonID]bool)}
	w.Servers = append(w.Servers, s)
	s.start()
}

func (s *Server) start() {
	w := s.world
	s.Alive, s.Draining, s.LeftAt = true, false, time.Time{}
	s.Born = w.Now().UnixMilli()
	s.beat, s.orders, s.busy = 0, 0, false
	s.holds, s.inHost, s.loading, s.running, s.reports = nil, nil, nil, nil, nil
	w.byAddress[s.Address] = s
	if s.Service == ServiceEngine && s.onDisk == nil {
		for i := range w.Options.Models {
			if w.chance(w.Options.DiskShare) {
				s.onDisk = append(s.onDisk, ModelName(i))
			}
		}
	}
	s.changed()
	s.heartbeat(s.Born)
}

func (s *Server) heartbeat(born int64) {
	s.world.After(registerEvery, func() {
		if s.Alive && s.Born == born {
			s.register()
			s.heartbeat(born)
		}
	})
}

// register writes the server's entry, unless the store is down.
func (s *Server) register() {
	if !s.Alive {
		return
	}
	s.beat++
	entry := vrfleet.Entry{
		ID: s.ID, Service: s.Service, Address: s.Address, Zone: s.Zone, Slots: slots, State: vrfleet.StateReady,
		Born: s.Born, Beat: s.beat, Holds: cloneHolds(s.holds), InHost: slices.Clone(s.inHost), OnDisk: slices.Clone(s.onDisk),
	}
	if s.Draining {
		entry.State = vrfleet.StateDraining
	}
	s.world.After(registerDelay, func() {
		if s.world.Store.down || s.Born != entry.Born || !s.Alive {
			return
		}
		s.world.Store.put(entry)
		if entry.State == vrfleet.StateDraining && s.LeftAt.IsZero() {
			s.LeftAt = s.world.Now()
		}
	})
}

func cloneHolds(holds []vrfleet.LoadedModel) []vrfleet.LoadedModel {
	cloned := slices.Clone(holds)
	for i := range cloned {
		cloned[i].Adapters = slices.Clone(cloned[i].Adapters)
	}
	return cloned
}

// changed registers the server's state and keeps it for reports.
func (s *Server) changed() {
	status := vrevent.ServerStatus{
		Orders: s.orders, Born: s.Born, Busy: s.busy, Running: len(s.running),
		Holds: cloneHolds(s.holds), InHost: slices.Clone(s.inHost), OnDisk: slices.Clone(s.onDisk),
	}
	s.reports = append(s.reports, agedReport{at: s.world.Now(), status: status})
	s.register()
}

// Leave makes the server say that it takes no new work.
func (s *Server) Leave() {
	if s.Alive && !s.Draining {
		s.Draining = true
		s.changed()
	}
}

// Die ends the server at once. Its registration lapses later.
func (s *Server) Die() {
	if !s.Alive {
		return
	}
	s.Alive = false
	if s.world.byAddress[s.Address] == s {
		delete(s.world.byAddress, s.Address)
	}
	for _, a := range slices.Clone(s.running) {
		a.broken()
	}
	s.lapse()
}

// lapse removes the registration of a server that died, unless it starts again.
func (s *Server) lapse() {
	born := s.Born
	s.world.After(entryTTL, func() {
		if _, held := s.world.Store.entries[s.ID]; held && !s.Alive && s.Born == born && !s.world.Store.down {
			s.world.Store.remove(s.ID)
			s.LeftAt = s.world.Now()
		}
	})
}

// Restart ends the server and starts it again, empty, under its id.
func (s *Server) Restart(after time.Duration) {
	s.Die()
	s.world.After(after, func() {
		if !s.Alive && s.world.byAddress[s.Address] == nil {
			s.start()
		}
	})
}

// Replace ends the server; another one starts, at the same address if reuse is set.
func (s *Server) Replace(after time.Duration, reuse bool) {
	s.Die()
	s.world.After(after, func() {
		address := ""
		if reuse && s.world.byAddress[s.Address] == nil {
			address = s.Address
		}
		s.world.addServer(s.Service, s.Zone, address)
	})
}

// Models is the number of models that the server holds or loads.
func (s *Server) Models() int { return len(s.holds) + len(s.loading) }

// Adapters is the number of adapters that the server holds.
func (s *Server) Adapters() int {
	count := 0
	for _, held := range s.holds {
		count += len(held.Adapters)
	}
	return count
}

func (s *Server) find(model vrid.ModelID) *vrfleet.LoadedModel {
	for i := range s.holds {
		if s.holds[i].Model == model {
			return &s.holds[i]
		}
	}
	return nil
}

// report answers a question for the server's report, which may be old.
func (s *Server) report() *vrevent.ServerStatus {
	at := s.world.Now().Add(-s.world.spread(0, reportLag))
	for _, aged := range slices.Backward(s.reports) {
		if !aged.at.After(at) {
			status := aged.status
			status.Holds = cloneHolds(status.Holds)
			return &status
		}
	}
	status := s.reports[0].status
	return &status
}

// order takes an order that arrived and answers it once.
func (s *Server) order(order vrevent.PlacementOrder, reply func(vrevent.OrderOutcome)) {
	w := s.world
	switch {
	case w.chance(s.LateOrders):
		// Orders name their server, and such an order does not reach the server's next life.
		born := s.Born
		w.After(w.spread(lateOrderLeast, lateOrderMost), func() {
			if s.Born == born {
				s.carryOut(order)
			}
		})
		w.After(orderTimeout, func() { reply(vrevent.OrderUnknown) })
	case w.chance(s.LoseAnswers):
		s.carryOut(order)
		w.After(orderTimeout, func() { reply(vrevent.OrderUnknown) })
	default:
		reply(s.carryOut(order))
	}
}

// carryOut does what an order says if its count still fits.
func (s *Server) carryOut(order vrevent.PlacementOrder) vrevent.OrderOutcome {
	switch {
	case !s.Alive:
		return vrevent.OrderUnknown
	case s.ID != order.Server:
		return vrevent.OrderMisdirected
	case s.busy, s.orders != order.ExpectedOrders:
		return vrevent.OrderConflict
	}
	held := s.find(order.Model)
	if order.Adapter != "" {
		return s.carryOutAdapter(order, held)
	}
	if (order.Kind == vrevent.OrderLoad) == (held != nil) {
		return vrevent.OrderAlreadyApplied
	}
	if order.Kind == vrevent.OrderUnload {
		s.accept(order, false)
		s.unload(order.Model, s.Born)
		return vrevent.OrderAccepted
	}
	took, fromStore := diskLoad, false
	switch {
	case slices.Contains(s.inHost, order.Model):
		took = memoryLoad
	case !slices.Contains(s.onDisk, order.Model):
		took, fromStore = storeLoad, true
	}
	s.loading = append(s.loading, order.Model)
	s.accept(order, fromStore)
	born := s.Born
	s.world.After(s.world.spread(took, took+took/4), func() {
		if s.Born != born || !s.Alive {
			return
		}
		s.loading = nil
		s.holds = append(s.holds, vrfleet.LoadedModel{Model: order.Model})
		if !slices.Contains(s.onDisk, order.Model) {
			s.onDisk = append(s.onDisk, order.Model)
		}
		s.done()
	})
	return vrevent.OrderAccepted
}

func (s *Server) carryOutAdapter(order vrevent.PlacementOrder, held *vrfleet.LoadedModel) vrevent.OrderOutcome {
	if held == nil {
		return vrevent.OrderRejected
	}
	if (order.Kind == vrevent.OrderLoad) == slices.Contains(held.Adapters, order.Adapter) {
		return vrevent.OrderAlreadyApplied
	}
	if order.Kind == vrevent.OrderUnload {
		held.Adapters = slices.DeleteFunc(held.Adapters, func(a vrid.AdapterID) bool { return a == order.Adapter })
	} else {
		held.Adapters = append(held.Adapters, order.Adapter)
	}
	s.accept(order, false)
	born := s.Born
	s.world.After(adapterTime, func() {
		if s.Born == born && s.Alive {
			s.done()
		}
	})
	return vrevent.OrderAccepted
}

func (s *Server) accept(order vrevent.PlacementOrder, fromStore bool) {
	s.orders++
	s.busy = true
	s.world.Options.Watch.Accepted(s, order, fromStore)
	s.changed()
}

func (s *Server) done() {
	s.busy = false
	s.changed()
}

// unload drops a model once its requests have ended.
func (s *Server) unload(model vrid.ModelID, born int64) {
	const look = 50 * time.Millisecond
	s.world.After(look, func() {
		if s.Born != born || !s.Alive {
			return
		}
		if slices.ContainsFunc(s.running, func(a *Attempt) bool { return a.Call.Model == model }) {
			s.unload(model, born)
			return
		}
		s.holds = slices.DeleteFunc(s.holds, func(h vrfleet.LoadedModel) bool { return h.Model == model })
		s.inHost = []vrid.ModelID{model}
		s.done()
	})
}
