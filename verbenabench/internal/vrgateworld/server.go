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
	registerInterval = time.Second
	registerDelay    = 5 * time.Millisecond
	// orderTimeout is how long a daemon waits for the answer to an order.
	orderTimeout = 800 * time.Millisecond
	// minLateOrder and maxLateOrder bound the delay after which a server executes an order that
	// it has not answered.
	minLateOrder      = 2 * time.Second
	maxLateOrder      = 12 * time.Second
	adapterChangeTime = 10 * time.Millisecond
	// maxReportAge is the maximum age of a status report.
	maxReportAge = 400 * time.Millisecond
	// maxRunningPerSlot is the maximum number of requests that a server runs, per slot.
	maxRunningPerSlot = 2
)

// Server is an application server or an engine.
type Server struct {
	ID      vrid.ServerID
	Service vrid.ServiceID
	Address string
	Zone    vrid.ZoneID
	Born    int64
	// Alive is false while the server is down. Draining is set once the server has started to
	// drain.
	Alive, Draining bool
	// Leaving is set once the server states in all its answers that it leaves, whatever its registration
	// says.
	Leaving bool
	// LeaveRecordedAt is when the store recorded that the server drains or that its registration
	// expired.
	LeaveRecordedAt time.Time
	// LateOrderRate is the probability that an order is executed seconds late, LostAnswerRate the
	// probability that its answer is lost.
	LateOrderRate, LostAnswerRate float64
	// BreakRate is the probability that a request's connection breaks, ErrorRate the probability
	// that a request fails with a server error. The time until the first byte of every request
	// is multiplied by 1+Slowdown.
	BreakRate, ErrorRate, Slowdown float64
	// CutFrom holds the daemons that can't reach the server.
	CutFrom map[vrid.DaemonID]bool

	world        *World
	heartbeats   uint64
	orders       uint64
	busy         bool
	loaded       []vrfleet.LoadedModel
	inHostMemory []vrid.ModelID
	onDisk       []vrid.ModelID
	loading      []vrid.ModelID
	adapters     adapterOrders
	running      []*Attempt
	reports      []timedReport
	// silentUntil is when the server writes its registration again after a restore of the store.
	silentUntil time.Time
	// known holds the processes that had to know that the server drains.
	known map[*Process]bool
	// toldLeaving holds when a process first received an answer which stated that this process of the
	// server leaves.
	toldLeaving map[*Process]time.Time
}

type timedReport struct {
	at     time.Time
	status vrevent.ServerStatus
}

// addServer adds and starts a server at an address, or at a new one if address is empty.
func (w *World) addServer(service vrid.ServiceID, zone vrid.ZoneID, address string) {
	w.serverCount++
	id := vrid.ServerID(fmt.Sprintf("s%02d", w.serverCount))
	if address == "" {
		address = "at:" + string(id)
	}
	s := &Server{ID: id, Service: service, Address: address, Zone: zone, world: w, CutFrom: make(map[vrid.DaemonID]bool)}
	w.Servers = append(w.Servers, s)
	s.start()
}

func (s *Server) start() {
	w := s.world
	s.Alive, s.Draining, s.Leaving, s.LeaveRecordedAt = true, false, false, time.Time{}
	s.known, s.toldLeaving = make(map[*Process]bool), make(map[*Process]time.Time)
	s.Born = w.Now().UnixMilli()
	s.heartbeats, s.orders, s.busy = 0, 0, false
	s.loaded, s.inHostMemory, s.loading, s.running, s.reports = nil, nil, nil, nil, nil
	s.adapters = adapterOrders{}
	w.byAddress[s.Address] = s
	if s.Service == ServiceEngine && s.onDisk == nil {
		for i := range w.Options.Models {
			if w.chance(w.Options.DiskShare) {
				s.onDisk = append(s.onDisk, ModelName(i))
			}
		}
	}
	s.updateState()
	s.heartbeat(s.Born)
}

func (s *Server) heartbeat(incarnation int64) {
	s.world.After(registerInterval, func() {
		if s.Alive && s.Born == incarnation {
			s.register()
			s.heartbeat(incarnation)
		}
	})
}

// register writes the server's registration to the store, unless the store is down or the
// server has ended by then.
func (s *Server) register() {
	if !s.Alive {
		return
	}
	s.heartbeats++
	entry := vrfleet.Entry{
		ID: s.ID, Service: s.Service, Address: s.Address, Zone: s.Zone, Slots: slotsPerServer, State: vrfleet.StateReady,
		Born: s.Born, Beat: s.heartbeats, Holds: cloneLoaded(s.loaded), InHost: slices.Clone(s.inHostMemory), OnDisk: slices.Clone(s.onDisk),
	}
	if s.Draining {
		entry.State = vrfleet.StateDraining
	}
	s.world.After(registerDelay, func() {
		if s.world.Store.unavailable() || s.Born != entry.Born || !s.Alive || s.world.Now().Before(s.silentUntil) {
			return
		}
		s.world.Store.put(entry)
		if entry.State == vrfleet.StateDraining && s.LeaveRecordedAt.IsZero() {
			s.LeaveRecordedAt = s.world.Now()
			s.noteKnownDraining()
		}
	})
}

func cloneLoaded(loaded []vrfleet.LoadedModel) []vrfleet.LoadedModel {
	cloned := slices.Clone(loaded)
	for i := range cloned {
		cloned[i].Adapters = slices.Clone(cloned[i].Adapters)
	}
	return cloned
}

// updateState records the server's current state for status reports and registers it.
func (s *Server) updateState() {
	status := vrevent.ServerStatus{
		Orders: s.orders, Born: s.Born, Busy: s.busy, Running: len(s.running),
		Holds: cloneLoaded(s.loaded), InHost: slices.Clone(s.inHostMemory), OnDisk: slices.Clone(s.onDisk),
		PendingAdapters: len(s.adapters.pending),
	}
	s.reports = append(s.reports, timedReport{at: s.world.Now(), status: status})
	s.register()
}

// Drain makes the server register as draining: it accepts no new requests.
func (s *Server) Drain() {
	if s.Alive && !s.Draining {
		s.Draining = true
		s.updateState()
	}
}

// Leave makes the server state in all its answers that it leaves, while it goes on serving.
func (s *Server) Leave() {
	s.Leaving = s.Alive
}

// tellLeaving passes on to the daemon that an answer to the request states that the server leaves. It runs
// in the daemon's process, before the rest of the answer is handled.
func (s *Server) tellLeaving(a *Attempt) {
	p := a.Call.Process
	if !s.Leaving || a.ended || s.ID != a.Send.Server {
		return
	}
	if _, told := s.toldLeaving[p]; !told {
		s.toldLeaving[p] = s.world.Now()
	}
	p.reduce(vrevent.ServerLeaving{Server: a.Send.Server, Born: a.Send.Born})
}

// ToldLeaving returns when the process first received an answer which stated that this process of the
// server leaves, zero if it has not.
func (s *Server) ToldLeaving(p *Process) time.Time { return s.toldLeaving[p] }

// Crash stops the server at once and breaks its connections. Its registration expires after
// entryTTL.
func (s *Server) Crash() {
	if !s.Alive {
		return
	}
	s.Alive = false
	if s.world.byAddress[s.Address] == s {
		delete(s.world.byAddress, s.Address)
	}
	for _, a := range slices.Clone(s.running) {
		a.breakConnection()
	}
	s.scheduleExpiry()
}

// scheduleExpiry removes the registration of a server that died after entryTTL, unless the
// server starts again.
func (s *Server) scheduleExpiry() {
	incarnation := s.Born
	s.world.After(entryTTL, func() {
		if _, registered := s.world.Store.entries[s.ID]; registered && !s.Alive && s.Born == incarnation && !s.world.Store.unavailable() {
			s.world.Store.remove(s.ID)
			s.LeaveRecordedAt = s.world.Now()
		}
	})
}

// Restart stops the server and starts it again after a delay, with the same id and address
// and no models in memory.
func (s *Server) Restart(after time.Duration) {
	s.Crash()
	s.world.After(after, func() {
		if !s.Alive && s.world.byAddress[s.Address] == nil {
			s.start()
		}
	})
}

// Replace stops the server and starts one with a new id after a delay, at the same address
// if reuse is set and the address is free.
func (s *Server) Replace(after time.Duration, reuse bool) {
	s.Crash()
	s.world.After(after, func() {
		address := ""
		if reuse && s.world.byAddress[s.Address] == nil {
			address = s.Address
		}
		s.world.addServer(s.Service, s.Zone, address)
	})
}

// Models returns the number of models that the server has loaded or is loading.
func (s *Server) Models() int { return len(s.loaded) + len(s.loading) }

// Adapters returns the number of adapters that the server has loaded, is loading, or has to unload.
func (s *Server) Adapters() int {
	count := len(s.adapters.pending)
	for _, loaded := range s.loaded {
		count += len(loaded.Adapters)
	}
	return count
}

func (s *Server) findModel(model vrid.ModelID) *vrfleet.LoadedModel {
	for i := range s.loaded {
		if s.loaded[i].Model == model {
			return &s.loaded[i]
		}
	}
	return nil
}

// report returns a status report of the server, which may be up to maxReportAge old.
func (s *Server) report() *vrevent.ServerStatus {
	at := s.world.Now().Add(-s.world.randomDuration(0, maxReportAge))
	for _, report := range slices.Backward(s.reports) {
		if !report.at.After(at) {
			status := report.status
			status.Holds = cloneLoaded(status.Holds)
			return &status
		}
	}
	status := s.reports[0].status
	return &status
}

// order handles an order that arrived. It replies exactly once.
func (s *Server) order(order vrevent.PlacementOrder, reply func(vrevent.OrderOutcome)) {
	w := s.world
	switch {
	case w.chance(s.LateOrderRate):
		// An order is meant for one incarnation of its server, so it is dropped if the server
		// has restarted meanwhile.
		incarnation := s.Born
		w.After(w.randomDuration(minLateOrder, maxLateOrder), func() {
			if s.Born == incarnation {
				s.applyOrder(order)
			}
		})
		w.After(orderTimeout, func() { reply(vrevent.OrderUnknown) })
	case w.chance(s.LostAnswerRate):
		s.applyOrder(order)
		w.After(orderTimeout, func() { reply(vrevent.OrderUnknown) })
	default:
		reply(s.applyOrder(order))
	}
}

// applyOrder executes an order if the server is not busy and has accepted as many orders as
// the order expects.
func (s *Server) applyOrder(order vrevent.PlacementOrder) vrevent.OrderOutcome {
	switch {
	case !s.Alive:
		return vrevent.OrderUnknown
	case s.ID != order.Server:
		return vrevent.OrderMisdirected
	case s.busy, s.orders != order.ExpectedOrders:
		return vrevent.OrderConflict
	}
	loaded := s.findModel(order.Model)
	if order.Adapter != "" {
		return s.applyAdapterOrder(order, loaded)
	}
	if (order.Kind == vrevent.OrderLoad) == (loaded != nil) {
		return vrevent.OrderAlreadyApplied
	}
	if order.Kind == vrevent.OrderUnload {
		s.acceptOrder(order, false)
		s.unload(order.Model, s.Born)
		return vrevent.OrderAccepted
	}
	loadTime, fromStore := diskLoadTime, false
	switch {
	case slices.Contains(s.inHostMemory, order.Model):
		loadTime = memoryLoadTime
	case !slices.Contains(s.onDisk, order.Model):
		loadTime, fromStore = storeLoadTime, true
	}
	s.loading = append(s.loading, order.Model)
	s.acceptOrder(order, fromStore)
	incarnation := s.Born
	s.world.After(s.world.randomDuration(loadTime, loadTime+loadTime/4), func() {
		if s.Born != incarnation || !s.Alive {
			return
		}
		s.loading = nil
		s.loaded = append(s.loaded, vrfleet.LoadedModel{Model: order.Model})
		if !slices.Contains(s.onDisk, order.Model) {
			s.onDisk = append(s.onDisk, order.Model)
		}
		s.finishOrder()
	})
	return vrevent.OrderAccepted
}

func (s *Server) acceptOrder(order vrevent.PlacementOrder, fromStore bool) {
	s.orders++
	s.busy = true
	s.world.Options.Observer.Accepted(s, order, fromStore)
	s.updateState()
}

func (s *Server) finishOrder() {
	s.busy = false
	s.updateState()
}

// unload moves a model to host memory once all its requests have ended.
func (s *Server) unload(model vrid.ModelID, incarnation int64) {
	const drainPollInterval = 50 * time.Millisecond
	s.world.After(drainPollInterval, func() {
		if s.Born != incarnation || !s.Alive {
			return
		}
		if slices.ContainsFunc(s.running, func(a *Attempt) bool { return a.Call.Model == model }) {
			s.unload(model, incarnation)
			return
		}
		s.loaded = slices.DeleteFunc(s.loaded, func(loaded vrfleet.LoadedModel) bool { return loaded.Model == model })
		s.adapters.forgetModel(model)
		s.inHostMemory = []vrid.ModelID{model}
		s.finishOrder()
	})
}
