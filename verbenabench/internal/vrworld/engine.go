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
	// appliedOrders bounds the list in a report.
	appliedOrders = 256
	// lateOrder is the longest time that an order spends in closed connections.
	lateOrder     = 2 * time.Second
	adapterWork   = 7 * time.Millisecond
	unloadTime    = 20 * time.Millisecond
	firstTokenLow = 100 * time.Millisecond
	firstTokenTop = 300 * time.Millisecond
	// TokenTime is the time between two tokens.
	TokenTime = 30 * time.Millisecond
	// engineQueue is how many requests per slot an engine takes before it is busy.
	engineQueue = 2
)

// Engine is a language server.
type Engine struct {
	ID     vrid.ServerID
	Zone   vrid.ZoneID
	Boot   vrid.BootID
	Memory vrid.Bytes
	// Alive is false while the server is down.
	Alive   bool
	Gone    bool
	Leaving bool
	// LeavingSince is when the server first said that it leaves.
	LeavingSince time.Time
	// HonorsFencing is how the engine behaves, whatever is declared.
	HonorsFencing bool
	// ReportLag is how old reports are.
	ReportLag time.Duration
	// LoseAnswers is the probability that an order is obeyed and its answer is lost.
	LoseAnswers float64
	// LateOrders is the probability that an order's connection ends before the order is
	// obeyed, up to lateOrder later.
	LateOrders float64
	// Used is the sum of the bytes of all models and adapters.
	Used   vrid.Bytes
	Models map[vrid.ModelID]*Held

	world   *World
	vm      *vm
	highest vrid.FencingToken
	applied []vrid.OrderID
	running map[*attempt]bool
	older   []agedReport
	slots   int
	// active holds slots and queue waits for one, with a Pace.
	active int
	queue  []*attempt
	copies *copies
}

// Held is a model on an engine.
type Held struct {
	Bytes    vrid.Bytes
	Loaded   bool
	Adapters map[vrid.AdapterID]*Held
	waiting  []func()
}

type agedReport struct {
	at     time.Time
	report vrengine.Report
}

func (w *World) addEngine(zone vrid.ZoneID) {
	id := vrid.ServerID(fmt.Sprintf("s%03d-%s", w.vmNumber(), zone))
	pool := w.languagePool()
	e := &Engine{ID: id, Zone: zone, Memory: pool.Memory, HonorsFencing: pool.HonorsFencing, world: w, slots: pool.Slots}
	e.vm = w.Platform.addVM(vrplatform.VM{
		ID: vrid.VMID(id), Kind: vrplatform.VMLanguageServer, Pool: pool.ID, Zone: zone, Address: serverAddress(id),
	})
	w.Engines = append(w.Engines, e)
	w.byEngine[id] = e
	if w.Options.Pace != nil {
		e.copies = newCopies(id, w.Options.Fleet.Models, w.Options.Pace.DiskPart)
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
	e.Boot = e.world.nextBoot()
	e.Alive = true
	e.Leaving = false
	e.LeavingSince = time.Time{}
	e.Used = 0
	e.highest = vrid.FencingToken{}
	e.Models = make(map[vrid.ModelID]*Held)
	e.running = make(map[*attempt]bool)
	e.applied = nil
	e.older = nil
	e.active = 0
	e.queue = nil
}

// Stop ends the server: its streams break and its memory is empty.
func (e *Engine) Stop() {
	e.Alive = false
	for _, a := range e.streams() {
		a.breakOff()
	}
	e.Models = make(map[vrid.ModelID]*Held)
	e.Used = 0
}

// Restart runs the server again with a new boot id after a while.
func (e *Engine) Restart(after time.Duration) {
	e.Stop()
	e.world.After(after, func() {
		if !e.Gone && !e.Alive {
			e.start()
		}
	})
}

// Reclaim takes the VM away; a new one with another id comes instead.
func (e *Engine) Reclaim(replaced time.Duration) {
	if e.Gone {
		return
	}
	e.Stop()
	e.Gone = true
	e.vm.removed = e.world.Now()
	e.world.After(replaced, func() { e.world.addEngine(e.Zone) })
}

// Leave makes the server say that it takes no new work.
func (e *Engine) Leave() {
	if !e.Alive || e.Leaving {
		return
	}
	e.Leaving = true
	e.LeavingSince = e.world.Now()
	e.vm.leaving = e.world.Now()
}

func (e *Engine) streams() []*attempt {
	var streams []*attempt
	for a := range e.running {
		streams = append(streams, a)
	}
	slices.SortFunc(streams, func(a, b *attempt) int { return int(a.number) - int(b.number) })
	return streams
}

// sendOrder carries an order to an engine. It is lost with its process until it left.
func (w *World) sendOrder(p *Process, effect vrevent.SendOrder) {
	answer := func(status vrengine.OrderStatus, body vrengine.OrderAnswer) vrevent.Event {
		return vrevent.OrderAnswered{Server: effect.Server, Order: effect.Order, Status: status, Answer: body}
	}
	if effect.Order.Kind != vrengine.OrderFence {
		if err := effect.Order.Validate(); err != nil {
			panic(err)
		}
	}
	w.After(w.spread(p.OrderLag/2, p.OrderLag), func() {
		if p.dead {
			return
		}
		e := w.byEngine[effect.Server]
		if e == nil || e.Gone || w.Net.IsCut(p.Daemon.Zone, e.Zone) {
			w.After(refusedAfter, func() { p.deliver(answer(vrengine.OrderNotSent, vrengine.OrderAnswer{})) })
			return
		}
		boot := e.Boot
		w.After(w.Net.delay(p.Daemon.Zone, e.Zone), func() {
			if !e.Alive || e.Boot != boot {
				p.deliver(answer(vrengine.OrderOutcomeUnknown, vrengine.OrderAnswer{}))
				return
			}
			if w.chance(e.LateOrders) {
				p.deliver(answer(vrengine.OrderOutcomeUnknown, vrengine.OrderAnswer{}))
				w.After(w.spread(0, lateOrder), func() { e.orderLate(p, boot, effect.Order) })
				return
			}
			e.order(p, effect.Order, answer)
		})
	})
}

// orderLate obeys an order whose sender has closed its connection. What a dead process
// sent is gone with its connection.
func (e *Engine) orderLate(p *Process, boot vrid.BootID, order vrengine.Order) {
	if e.Alive && e.Boot == boot && !p.dead {
		e.order(nil, order, nil)
	}
}

// order executes an order that arrived and answers once.
func (e *Engine) order(p *Process, order vrengine.Order, answer func(vrengine.OrderStatus, vrengine.OrderAnswer) vrevent.Event) {
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
	number := vrid.FencingToken{Epoch: order.Epoch, Sequence: order.Sequence}
	if e.HonorsFencing && number.Less(e.highest) {
		reply(vrengine.OrderFenced, vrengine.OrderAnswer{HighestEpoch: e.highest.Epoch, HighestSequence: e.highest.Sequence})
		return
	}
	if e.highest.Less(number) {
		e.highest = number
	}
	done := func(state string) {
		if e.Boot != boot || !e.Alive {
			reply(vrengine.OrderOutcomeUnknown, vrengine.OrderAnswer{})
			return
		}
		e.apply(order.OrderID)
		reply(vrengine.OrderDone, vrengine.OrderAnswer{State: state})
	}
	switch order.Kind {
	case vrengine.OrderLoad:
		e.load(order, func() { done(vrengine.StateLoaded) })
	case vrengine.OrderLoadAdapter:
		base := e.Models[order.Model]
		if base == nil || !base.Loaded {
			reply(vrengine.OrderRefused, vrengine.OrderAnswer{Error: "the base model is not loaded"})
			return
		}
		e.loadAdapter(base, order, func() { done(vrengine.StateLoaded) })
	case vrengine.OrderUnload:
		if held := e.Models[order.Model]; held != nil && !held.Loaded {
			reply(vrengine.OrderRefused, vrengine.OrderAnswer{Error: "the model is loading"})
			return
		}
		e.unload(order.Model)
		w.After(unloadTime, func() { done(vrengine.StateUnloaded) })
	case vrengine.OrderUnloadAdapter:
		if base := e.Models[order.Model]; base != nil && base.Adapters[order.Adapter] != nil {
			e.Used -= base.Adapters[order.Adapter].Bytes
			delete(base.Adapters, order.Adapter)
		}
		done(vrengine.StateUnloaded)
	default:
		done("")
	}
}

func (e *Engine) apply(id vrid.OrderID) {
	e.applied = append(e.applied, id)
	if extra := len(e.applied) - appliedOrders; extra > 0 {
		e.applied = e.applied[extra:]
	}
}

// load holds the model's memory at once and calls done when the weights are there. A
// load of what is loaded or loading changes nothing.
func (e *Engine) load(order vrengine.Order, done func()) {
	if held := e.Models[order.Model]; held != nil {
		held.whenLoaded(done)
		return
	}
	held := &Held{Bytes: order.Bytes, Adapters: make(map[vrid.AdapterID]*Held)}
	e.Models[order.Model] = held
	e.Used += order.Bytes
	e.note(order)
	held.whenLoaded(done)
	if e.world.Options.Pace != nil {
		e.loadPaced(order, held)
		return
	}
	work := 2 * time.Second
	if model := e.world.Options.Fleet.Models; len(model) > 0 {
		work = model[0].LoadTime.Std()
	}
	e.world.Weights.load(work, func() bool { return e.Models[order.Model] == held }, held.loaded)
}

func (e *Engine) loadAdapter(base *Held, order vrengine.Order, done func()) {
	if held := base.Adapters[order.Adapter]; held != nil {
		held.whenLoaded(done)
		return
	}
	held := &Held{Bytes: order.Bytes}
	base.Adapters[order.Adapter] = held
	e.Used += order.Bytes
	e.note(order)
	held.whenLoaded(done)
	e.world.Weights.loadAdapter(held.loaded)
}

func (e *Engine) note(order vrengine.Order) {
	if e.world.Options.Observer != nil {
		e.world.Options.Observer.Loading(e, order.Model, order.Adapter)
	}
}

func (h *Held) whenLoaded(done func()) {
	if h.Loaded {
		done()
		return
	}
	h.waiting = append(h.waiting, done)
}

func (h *Held) loaded() {
	h.Loaded = true
	for _, done := range h.waiting {
		done()
	}
	h.waiting = nil
}

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
	for _, a := range e.streams() {
		if a.effect.Model == model {
			a.breakOff()
		}
	}
}

// poll answers a load report, which may be old.
func (w *World) poll(p *Process, effect vrevent.PollServer) {
	failed := func(after time.Duration) {
		w.After(after, func() { p.deliver(vrevent.ReportFailed{Server: effect.Server}) })
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

func (w *World) report(id vrid.ServerID) (vrengine.Report, bool) {
	if a := w.byApp[id]; a != nil {
		return vrengine.Report{Server: id, Boot: a.Boot, Leaving: a.Leaving, Running: a.running, Slots: appSlots}, a.Alive
	}
	e := w.byEngine[id]
	if e == nil || !e.Alive {
		return vrengine.Report{}, false
	}
	return e.lagging(e.report()), true
}

// lagging returns the newest report that is at least ReportLag old.
func (e *Engine) lagging(fresh vrengine.Report) vrengine.Report {
	if e.ReportLag == 0 {
		e.older = nil
		return fresh
	}
	now := e.world.Now()
	e.older = append(e.older, agedReport{at: now, report: fresh})
	for len(e.older) > 1 && now.Sub(e.older[1].at) >= e.ReportLag {
		e.older = e.older[1:]
	}
	return e.older[0].report
}

func (e *Engine) report() vrengine.Report {
	report := vrengine.Report{
		Server: e.ID, Boot: e.Boot, Leaving: e.Leaving, Running: len(e.running), Slots: e.slots,
		Memory: e.Memory, MemoryUsed: e.Used, AppliedOrders: slices.Clone(e.applied), HighestEpoch: e.highest.Epoch,
	}
	if e.world.Options.Pace != nil {
		report.Running, report.Waiting = e.active, len(e.queue)
		report.Cached = e.copies.report()
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

func sortedModels(models map[vrid.ModelID]*Held) []vrid.ModelID {
	ids := make([]vrid.ModelID, 0, len(models))
	for id := range models {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// WeightStore shares its slots among the loads of all servers.
type WeightStore struct {
	world    *World
	slots    int
	adapters int
	// Slowdown multiplies the time of a load.
	Slowdown float64
	running  int
	waiting  []*weightLoad
	adapting int
	// Loads counts the loads that shared the store, Most the highest number at once.
	Loads    int
	Most     int
	shared   []*sharedLoad
	advanced time.Time
	version  int
}

type weightLoad struct {
	work   time.Duration
	wanted func() bool
	done   func()
}

func newWeightStore(w *World, limits vrconfig.WeightStore) *WeightStore {
	return &WeightStore{world: w, slots: limits.Slots, adapters: limits.AdapterSlots, Slowdown: 1}
}

// load runs a load when a slot is free; those that nobody wants any more are dropped.
func (s *WeightStore) load(work time.Duration, wanted func() bool, done func()) {
	s.waiting = append(s.waiting, &weightLoad{work: work, wanted: wanted, done: done})
	s.next()
}

func (s *WeightStore) next() {
	for s.running < s.slots && len(s.waiting) > 0 {
		load := s.waiting[0]
		s.waiting = s.waiting[1:]
		if !load.wanted() {
			continue
		}
		s.running++
		s.world.After(time.Duration(float64(load.work)*s.Slowdown), func() {
			s.running--
			if load.wanted() {
				load.done()
			}
			s.next()
		})
	}
}

// loadAdapter takes proportionally longer when more loads are in flight than places.
func (s *WeightStore) loadAdapter(done func()) {
	s.adapting++
	factor := max(1, float64(s.adapting)/float64(s.adapters)) * s.Slowdown
	s.world.After(time.Duration(float64(adapterWork)*factor), func() {
		s.adapting--
		done()
	})
}
