package vrworld

import (
	"fmt"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

const (
	orderTimeout = 30 * time.Second
	pollTimeout  = time.Second
	// maxAppliedOrders is the maximum number of applied orders that a report lists.
	maxAppliedOrders = 256
	// maxLateOrderDelay is the maximum delay until an order whose connection was closed is
	// executed.
	maxLateOrderDelay = 2 * time.Second
	adapterLoadTime   = 7 * time.Millisecond
	unloadTime        = 20 * time.Millisecond
	firstTokenMin     = 100 * time.Millisecond
	firstTokenMax     = 300 * time.Millisecond
	// TokenTime is the time between two tokens.
	TokenTime = 30 * time.Millisecond
	// maxRequestsPerSlot is the number of requests per slot, running ones included, from
	// which on an engine rejects further ones as busy.
	maxRequestsPerSlot = 2
)

// Engine simulates a language server.
type Engine struct {
	ID     vrid.ServerID
	Zone   vrid.ZoneID
	Boot   vrid.BootID
	Memory vrid.Bytes
	// Alive is false while the server is down.
	Alive   bool
	Gone    bool
	Leaving bool
	// LeavingSince is when the server announced that it leaves.
	LeavingSince time.Time
	// HonorsFencing is whether the engine rejects orders with an outdated fencing token,
	// whatever its pool declares.
	HonorsFencing bool
	// ReportLag is the minimum age of the reports that the engine returns, once it has
	// reports that old.
	ReportLag time.Duration
	// LoseAnswers is the probability that an order is executed but its answer is lost.
	LoseAnswers float64
	// LateOrders is the probability that an order's connection is closed before the order is
	// executed, which happens up to maxLateOrderDelay later.
	LateOrders float64
	// Used is the memory of all models and adapters on the engine, loading ones included.
	Used   vrid.Bytes
	Models map[vrid.ModelID]*ModelState

	world         *World
	vm            *vmEntry
	highestToken  vrid.FencingToken
	appliedOrders []vrid.OrderID
	inFlight      map[*attempt]bool
	pastReports   []timedReport
	slots         int
	// slotsInUse is the number of slots in use; queue holds the attempts that wait for one.
	// Only used with Options.Pace.
	slotsInUse  int
	queue       []*attempt
	checkpoints *checkpointCache
}

// ModelState is the state of a model or an adapter on an engine. Only models have Adapters.
type ModelState struct {
	Bytes    vrid.Bytes
	Loaded   bool
	Adapters map[vrid.AdapterID]*ModelState
	onLoaded []func()
}

// timedReport is a report with the time at which it was made.
type timedReport struct {
	at     time.Time
	report vrengine.Report
}

func (w *World) addEngine(zone vrid.ZoneID) {
	id := vrid.ServerID(fmt.Sprintf("s%03d-%s", w.nextVMNumber(), zone))
	pool := w.languagePool()
	e := &Engine{ID: id, Zone: zone, Memory: pool.Memory, HonorsFencing: pool.HonorsFencing, world: w, slots: pool.Slots}
	e.vm = w.Platform.addVM(vrplatform.VM{
		ID: vrid.VMID(id), Kind: vrplatform.VMLanguageServer, Pool: pool.ID, Zone: zone, Address: serverAddress(id),
	})
	w.Engines = append(w.Engines, e)
	w.byEngine[id] = e
	if w.Options.Pace != nil {
		e.checkpoints = newCheckpointCache(id, w.Options.Fleet.Models, w.Options.Pace.DiskPercent)
	}
	e.start()
}

func (w *World) languagePool() vrconfig.Pool {
	for _, pool := range w.Options.Fleet.Pools {
		if pool.Kind == vrconfig.KindLanguageServer {
			return pool
		}
	}
	return vrconfig.Pool{}
}

func serverAddress(id vrid.ServerID) string { return "http:" + string(id) }

func (w *World) serverZone(id vrid.ServerID) (vrid.ZoneID, bool) {
	if e := w.byEngine[id]; e != nil {
		return e.Zone, !e.Gone
	}
	if a := w.byApp[id]; a != nil {
		return a.Zone, !a.Gone
	}
	return "", false
}

func (e *Engine) start() {
	e.Boot = e.world.nextBootID()
	e.Alive = true
	e.Leaving = false
	e.LeavingSince = time.Time{}
	e.Used = 0
	e.highestToken = vrid.FencingToken{}
	e.Models = make(map[vrid.ModelID]*ModelState)
	e.inFlight = make(map[*attempt]bool)
	e.appliedOrders = nil
	e.pastReports = nil
	e.slotsInUse = 0
	e.queue = nil
}

// Stop stops the server: its streams break and its models are lost.
func (e *Engine) Stop() {
	e.Alive = false
	for _, a := range e.sortedAttempts() {
		a.breakConnection()
	}
	e.Models = make(map[vrid.ModelID]*ModelState)
	e.Used = 0
}

// Restart stops the server and starts it with a new boot id after a delay.
func (e *Engine) Restart(delay time.Duration) {
	e.Stop()
	e.world.After(delay, func() {
		if !e.Gone && !e.Alive {
			e.start()
		}
	})
}

// Reclaim removes the VM. A VM with another id replaces it after a delay.
func (e *Engine) Reclaim(replacementDelay time.Duration) {
	if e.Gone {
		return
	}
	e.Stop()
	e.Gone = true
	e.vm.removed = e.world.Now()
	e.world.After(replacementDelay, func() { e.world.addEngine(e.Zone) })
}

// Leave makes the server announce that it accepts no new work.
func (e *Engine) Leave() {
	if !e.Alive || e.Leaving {
		return
	}
	e.Leaving = true
	e.LeavingSince = e.world.Now()
	e.vm.leaving = e.world.Now()
}

// sortedAttempts returns the attempts at the engine in the order in which they were
// dispatched.
func (e *Engine) sortedAttempts() []*attempt {
	var streams []*attempt
	for a := range e.inFlight {
		streams = append(streams, a)
	}
	slices.SortFunc(streams, func(a, b *attempt) int { return int(a.sequence) - int(b.sequence) })
	return streams
}

// sendOrder delivers an order to an engine. An order that has not been sent yet is lost
// when its process dies.
func (w *World) sendOrder(p *Process, effect vrevent.SendOrder) {
	answered := func(status vrengine.OrderStatus, body vrengine.OrderAnswer) vrevent.Event {
		return vrevent.OrderAnswered{Server: effect.Server, Order: effect.Order, Status: status, Answer: body}
	}
	if effect.Order.Kind != vrengine.OrderFence {
		if err := effect.Order.Validate(); err != nil {
			panic(err)
		}
	}
	w.After(w.randomDuration(p.OrderLag/2, p.OrderLag), func() {
		if p.dead {
			return
		}
		e := w.byEngine[effect.Server]
		if e == nil || e.Gone || w.Net.IsCut(p.Daemon.Zone, e.Zone) {
			w.After(connectFailureDelay, func() { p.deliver(answered(vrengine.OrderNotSent, vrengine.OrderAnswer{})) })
			return
		}
		boot := e.Boot
		w.After(w.Net.delay(p.Daemon.Zone, e.Zone), func() {
			if !e.Alive || e.Boot != boot {
				p.deliver(answered(vrengine.OrderOutcomeUnknown, vrengine.OrderAnswer{}))
				return
			}
			if w.chance(e.LateOrders) {
				p.deliver(answered(vrengine.OrderOutcomeUnknown, vrengine.OrderAnswer{}))
				w.After(w.randomDuration(0, maxLateOrderDelay), func() { e.executeLateOrder(p, boot, effect.Order) })
				return
			}
			e.executeOrder(p, effect.Order, answered)
		})
	})
}

// executeLateOrder executes an order whose connection was closed. Orders of a process that
// died in the meantime are dropped, because they are lost with its connection.
func (e *Engine) executeLateOrder(p *Process, boot vrid.BootID, order vrengine.Order) {
	if e.Alive && e.Boot == boot && !p.dead {
		e.executeOrder(nil, order, nil)
	}
}

// executeOrder executes an order that arrived and sends one answer. Without a process it
// sends none.
func (e *Engine) executeOrder(p *Process, order vrengine.Order, answer func(vrengine.OrderStatus, vrengine.OrderAnswer) vrevent.Event) {
	w, boot, answered := e.world, e.Boot, p == nil
	reply := func(status vrengine.OrderStatus, body vrengine.OrderAnswer) {
		if answered {
			return
		}
		answered = true
		if e.Boot != boot || !e.Alive || w.chance(e.LoseAnswers) {
			status, body = vrengine.OrderOutcomeUnknown, vrengine.OrderAnswer{}
		}
		w.After(w.Net.delay(p.Daemon.Zone, e.Zone), func() { p.deliver(answer(status, body)) })
	}
	w.After(orderTimeout, func() { reply(vrengine.OrderOutcomeUnknown, vrengine.OrderAnswer{}) })
	token := vrid.FencingToken{Epoch: order.Epoch, Sequence: order.Sequence}
	if e.HonorsFencing && token.Less(e.highestToken) {
		reply(vrengine.OrderFenced, vrengine.OrderAnswer{HighestEpoch: e.highestToken.Epoch, HighestSequence: e.highestToken.Sequence})
		return
	}
	if e.highestToken.Less(token) {
		e.highestToken = token
	}
	finish := func(state string) {
		if e.Boot != boot || !e.Alive {
			reply(vrengine.OrderOutcomeUnknown, vrengine.OrderAnswer{})
			return
		}
		e.recordAppliedOrder(order.OrderID)
		reply(vrengine.OrderDone, vrengine.OrderAnswer{State: state})
	}
	switch order.Kind {
	case vrengine.OrderLoad:
		e.load(order, func() { finish(vrengine.StateLoaded) })
	case vrengine.OrderLoadAdapter:
		base := e.Models[order.Model]
		if base == nil || !base.Loaded {
			reply(vrengine.OrderRefused, vrengine.OrderAnswer{Error: "the base model is not loaded"})
			return
		}
		e.loadAdapter(base, order, func() { finish(vrengine.StateLoaded) })
	case vrengine.OrderUnload:
		if held := e.Models[order.Model]; held != nil && !held.Loaded {
			reply(vrengine.OrderRefused, vrengine.OrderAnswer{Error: "the model is loading"})
			return
		}
		e.unload(order.Model)
		w.After(unloadTime, func() { finish(vrengine.StateUnloaded) })
	case vrengine.OrderUnloadAdapter:
		if base := e.Models[order.Model]; base != nil && base.Adapters[order.Adapter] != nil {
			e.Used -= base.Adapters[order.Adapter].Bytes
			delete(base.Adapters, order.Adapter)
		}
		finish(vrengine.StateUnloaded)
	default:
		finish("")
	}
}

// recordAppliedOrder adds an order to the list of applied orders, which keeps the newest
// ones.
func (e *Engine) recordAppliedOrder(id vrid.OrderID) {
	e.appliedOrders = append(e.appliedOrders, id)
	if excess := len(e.appliedOrders) - maxAppliedOrders; excess > 0 {
		e.appliedOrders = e.appliedOrders[excess:]
	}
}

// load reserves the model's memory immediately and calls done when the weights are loaded.
// A load of a model that is loaded or loading only waits for it.
func (e *Engine) load(order vrengine.Order, done func()) {
	if held := e.Models[order.Model]; held != nil {
		held.whenLoaded(done)
		return
	}
	held := &ModelState{Bytes: order.Bytes, Adapters: make(map[vrid.AdapterID]*ModelState)}
	e.Models[order.Model] = held
	e.Used += order.Bytes
	e.notifyLoading(order)
	held.whenLoaded(done)
	if e.world.Options.Pace != nil {
		e.loadFromNearestCopy(order, held)
		return
	}
	loadTime := 2 * time.Second
	if models := e.world.Options.Fleet.Models; len(models) > 0 {
		loadTime = models[0].LoadTime.Std()
	}
	e.world.Weights.load(loadTime, func() bool { return e.Models[order.Model] == held }, held.markLoaded)
}

// loadAdapter does for an adapter what load does for a model.
func (e *Engine) loadAdapter(base *ModelState, order vrengine.Order, done func()) {
	if held := base.Adapters[order.Adapter]; held != nil {
		held.whenLoaded(done)
		return
	}
	held := &ModelState{Bytes: order.Bytes}
	base.Adapters[order.Adapter] = held
	e.Used += order.Bytes
	e.notifyLoading(order)
	held.whenLoaded(done)
	e.world.Weights.loadAdapter(held.markLoaded)
}

// notifyLoading tells the observer that a load starts.
func (e *Engine) notifyLoading(order vrengine.Order) {
	if e.world.Options.Observer != nil {
		e.world.Options.Observer.Loading(e, order.Model, order.Adapter)
	}
}

// whenLoaded calls done once the weights are loaded, which may be now.
func (h *ModelState) whenLoaded(done func()) {
	if h.Loaded {
		done()
		return
	}
	h.onLoaded = append(h.onLoaded, done)
}

// markLoaded marks the weights as loaded and calls the waiting callbacks.
func (h *ModelState) markLoaded() {
	h.Loaded = true
	for _, done := range h.onLoaded {
		done()
	}
	h.onLoaded = nil
}

// unload frees the memory of a model and its adapters and breaks the model's streams.
func (e *Engine) unload(model vrid.ModelID) {
	held := e.Models[model]
	if held == nil {
		return
	}
	e.Used -= held.Bytes
	for _, adapter := range held.Adapters {
		e.Used -= adapter.Bytes
	}
	delete(e.Models, model)
	for _, a := range e.sortedAttempts() {
		if a.effect.Model == model {
			a.breakConnection()
		}
	}
}

// pollServer answers a daemon's poll with the server's load report, which is outdated if
// the engine has a ReportLag.
func (w *World) pollServer(p *Process, effect vrevent.PollServer) {
	failed := func(delay time.Duration) {
		w.After(delay, func() { p.deliver(vrevent.ReportFailed{Server: effect.Server}) })
	}
	zone, ok := w.serverZone(effect.Server)
	if !ok || w.Net.IsCut(p.Daemon.Zone, zone) {
		failed(pollTimeout)
		return
	}
	w.After(w.Net.delay(p.Daemon.Zone, zone), func() {
		report, ok := w.report(effect.Server)
		if !ok || w.Net.IsCut(p.Daemon.Zone, zone) {
			failed(w.Net.delay(p.Daemon.Zone, zone))
			return
		}
		w.After(w.Net.delay(p.Daemon.Zone, zone), func() {
			p.deliver(vrevent.ReportReceived{Server: effect.Server, Report: report})
		})
	})
}

// report returns the report of a server, and false if the server is down.
func (w *World) report(id vrid.ServerID) (vrengine.Report, bool) {
	if a := w.byApp[id]; a != nil {
		return vrengine.Report{Server: id, Boot: a.Boot, Leaving: a.Leaving, Running: a.running, Slots: appSlots}, a.Alive
	}
	e := w.byEngine[id]
	if e == nil || !e.Alive {
		return vrengine.Report{}, false
	}
	return e.laggedReport(e.report()), true
}

// laggedReport returns the newest report that is at least ReportLag old, or the oldest one
// if none is.
func (e *Engine) laggedReport(fresh vrengine.Report) vrengine.Report {
	if e.ReportLag == 0 {
		e.pastReports = nil
		return fresh
	}
	now := e.world.Now()
	e.pastReports = append(e.pastReports, timedReport{at: now, report: fresh})
	for len(e.pastReports) > 1 && now.Sub(e.pastReports[1].at) >= e.ReportLag {
		e.pastReports = e.pastReports[1:]
	}
	return e.pastReports[0].report
}

func (e *Engine) report() vrengine.Report {
	report := vrengine.Report{
		Server: e.ID, Boot: e.Boot, Leaving: e.Leaving, Running: len(e.inFlight), Slots: e.slots,
		Memory: e.Memory, MemoryUsed: e.Used, AppliedOrders: slices.Clone(e.appliedOrders), HighestEpoch: e.highestToken.Epoch,
	}
	if e.world.Options.Pace != nil {
		report.Running, report.Waiting = e.slotsInUse, len(e.queue)
		report.Cached = e.checkpoints.report()
	}
	for _, id := range sortedModels(e.Models) {
		held := e.Models[id]
		item := vrengine.ModelReport{Model: id, State: vrengine.StateLoading}
		if held.Loaded {
			item.State = vrengine.StateLoaded
		}
		for adapter, h := range held.Adapters {
			if h.Loaded {
				item.Adapters = append(item.Adapters, adapter)
			}
		}
		slices.Sort(item.Adapters)
		report.Models = append(report.Models, item)
	}
	return report
}

func sortedModels(models map[vrid.ModelID]*ModelState) []vrid.ModelID {
	ids := make([]vrid.ModelID, 0, len(models))
	for id := range models {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// WeightStore simulates the store of model weights, whose slots the loads of all servers
// share.
type WeightStore struct {
	world        *World
	slots        int
	adapterSlots int
	// Slowdown is the factor by which loads take longer.
	Slowdown     float64
	runningLoads int
	waitingLoads []*waitingLoad
	adapterLoads int
	// Loads counts the loads that loadShared ran, Most is the highest number of them in
	// flight at the same time.
	Loads           int
	MaxInFlight     int
	sharedLoads     []*sharedLoad
	advancedAt      time.Time
	scheduleVersion int
}

// waitingLoad is a load that waits for a slot. wanted reports whether the engine still
// waits for it.
type waitingLoad struct {
	loadTime time.Duration
	wanted   func() bool
	done     func()
}

func newWeightStore(w *World, limits vrconfig.WeightStore) *WeightStore {
	return &WeightStore{world: w, slots: limits.Slots, adapterSlots: limits.AdapterSlots, Slowdown: 1}
}

// load runs a load as soon as a slot is free. Loads that are no longer wanted are dropped.
func (s *WeightStore) load(loadTime time.Duration, wanted func() bool, done func()) {
	s.waitingLoads = append(s.waitingLoads, &waitingLoad{loadTime: loadTime, wanted: wanted, done: done})
	s.startWaiting()
}

// startWaiting starts waiting loads while slots are free.
func (s *WeightStore) startWaiting() {
	for s.runningLoads < s.slots && len(s.waitingLoads) > 0 {
		load := s.waitingLoads[0]
		s.waitingLoads = s.waitingLoads[1:]
		if !load.wanted() {
			continue
		}
		s.runningLoads++
		s.world.After(time.Duration(float64(load.loadTime)*s.Slowdown), func() {
			s.runningLoads--
			if load.wanted() {
				load.done()
			}
			s.startWaiting()
		})
	}
}

// loadAdapter runs the load of an adapter. With more adapter loads in flight than adapter
// slots, it takes proportionally longer.
func (s *WeightStore) loadAdapter(done func()) {
	s.adapterLoads++
	factor := max(1, float64(s.adapterLoads)/float64(s.adapterSlots)) * s.Slowdown
	s.world.After(time.Duration(float64(adapterLoadTime)*factor), func() {
		s.adapterLoads--
		done()
	})
}
