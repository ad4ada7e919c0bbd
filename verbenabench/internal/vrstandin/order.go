package vrstandin

import (
	"context"
	"net/http"
	"time"

	"verbenaroute.example/verbenabench/internal/vrpause"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrid"
)

// Durations of loads as parts of the declared load time, by the place of the nearest
// copy. Only loads from the weight store share its speed.
const (
	_memoryFactor = 0.1
	_diskFactor   = 0.4
	_peerFactor   = 0.5
	_remoteFactor = 1.0
)

const (
	// _adapterLoad is in the middle of the 5 to 10 ms of the design.
	_adapterLoad = 7 * time.Millisecond
	// _unknownLoad is the load time of a model that the configuration does not declare.
	_unknownLoad = time.Second
)

// Sources of a load.
const (
	sourceMemory = "memory"
	sourceDisk   = "disk"
	sourcePeer   = "peer"
	sourceRemote = "remote"
)

const (
	_stateLoaded   = "loaded"
	_stateUnloaded = "unloaded"
	_stateDone     = "done"
)

// orderEnd is the answer to an order.
type orderEnd struct {
	status int
	answer vrengine.OrderAnswer
}

func orderDone(state string) orderEnd {
	return orderEnd{status: http.StatusOK, answer: vrengine.OrderAnswer{State: state}}
}

func orderFailed(status int, problem string) orderEnd {
	return orderEnd{status: status, answer: vrengine.OrderAnswer{Error: problem}}
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order vrengine.Order
	if !readJSON(w, r, &order) {
		return
	}
	if err := order.Validate(); err != nil {
		writeJSON(w, http.StatusBadRequest, vrengine.OrderAnswer{Error: err.Error()})
		return
	}
	e.journalOrder(JournalOrder, order, "")
	if e.faults.holdBack(order) {
		e.journalOrder(JournalHeld, order, "")
		panic(http.ErrAbortHandler)
	}
	end := e.execute(order)
	writeJSON(w, end.status, end.answer)
}

func (e *engine) journalOrder(kind EntryKind, order vrengine.Order, detail string) {
	e.Journal.Add(Entry{
		Kind: kind, Server: e.Server, Zone: e.Zone, Order: &order,
		Model: order.Model, Adapter: order.Adapter, Bytes: order.Bytes, Detail: detail,
	})
}

// execute carries an order out, whether it came in time or was held back. It runs on
// after its connection broke, as an engine does.
func (e *engine) execute(order vrengine.Order) orderEnd {
	if end, ok := e.checkFencing(order); !ok {
		return end
	}
	switch order.Kind {
	case vrengine.OrderLoad:
		return e.load(order)
	case vrengine.OrderLoadAdapter:
		return e.loadAdapter(order)
	case vrengine.OrderUnload:
		return e.unload(order)
	case vrengine.OrderUnloadAdapter:
		return e.unloadAdapter(order)
	case vrengine.OrderRole:
		e.mu.Lock()
		e.role = order.Role
		e.mu.Unlock()
	case vrengine.OrderFence:
	}
	e.applyOrder(order)
	return orderDone(_stateDone)
}

func (e *engine) checkFencing(order vrengine.Order) (orderEnd, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	number := vrid.FencingToken{Epoch: order.Epoch, Sequence: order.Sequence}
	if number.Less(e.highest) && !e.faults.ignoreFencing.active() {
		e.journalOrder(JournalFenced, order, "")
		return orderEnd{status: http.StatusConflict, answer: vrengine.OrderAnswer{
			HighestEpoch: e.highest.Epoch, HighestSequence: e.highest.Sequence,
		}}, false
	}
	if e.highest.Less(number) {
		e.highest = number
	}
	return orderEnd{}, true
}

// applyOrder lists the order in the reports to come.
func (e *engine) applyOrder(order vrengine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyLocked(order)
}

func (e *engine) applyLocked(order vrengine.Order) {
	e.applied = append(e.applied, order.OrderID)
	if extra := len(e.applied) - _appliedOrders; extra > 0 {
		e.applied = e.applied[extra:]
	}
}

func (e *engine) load(order vrengine.Order) orderEnd {
	model := e.Index.Model(order.Model)
	size, work := order.Bytes, _unknownLoad
	if model != nil {
		size, work = model.Memory, model.LoadTime.Std()
	}
	e.mu.Lock()
	if held := e.replicas[order.Model]; held != nil {
		life := e.life
		e.mu.Unlock()
		return e.repeat(life, order, held)
	}
	if !e.fits(order, size) {
		e.mu.Unlock()
		return orderFailed(http.StatusInsufficientStorage, "no memory")
	}
	e.noteOverlap(order, false)
	fresh := newReplica(e.life, size)
	e.replicas[order.Model] = fresh
	e.loadingModels++
	life := e.life
	source := e.copies.nearest(order.Model, order.Source)
	e.mu.Unlock()
	e.journalOrder(JournalLoadStarted, order, source)
	err := e.bringWeights(life, source, work)
	return e.finishLoad(life, order, fresh, &e.loadingModels, err)
}

func newReplica(life context.Context, size vrid.Bytes) *replica {
	gone, drop := context.WithCancel(life)
	return &replica{
		bytes: size, ready: make(chan struct{}), gone: gone, drop: drop,
		adapters: make(map[vrid.AdapterID]*replica),
	}
}

// fits reserves memory, or journals the attempt to take more than there is.
func (e *engine) fits(order vrengine.Order, size vrid.Bytes) bool {
	if e.used+size > e.Pool.Memory {
		e.journalOrder(JournalOvercommit, order, "")
		return false
	}
	e.used += size
	return true
}

// noteOverlap journals an order that runs beside another one, unless both load
// adapters.
func (e *engine) noteOverlap(order vrengine.Order, adapterLoad bool) {
	if e.loadingModels > 0 || (e.loadingAdapters > 0 && !adapterLoad) {
		e.journalOrder(JournalOverlap, order, "")
	}
}

func (e *engine) bringWeights(life context.Context, source string, work time.Duration) error {
	part := func(factor float64) time.Duration {
		return time.Duration(float64(work) * factor / e.Pace.Speed)
	}
	switch source {
	case sourceMemory:
		return vrpause.For(life, part(_memoryFactor))
	case sourceDisk:
		return vrpause.For(life, part(_diskFactor))
	case sourcePeer:
		return vrpause.For(life, part(_peerFactor))
	default:
		return e.Weights.Load(life, part(_remoteFactor))
	}
}

func (e *engine) finishLoad(life context.Context, order vrengine.Order, fresh *replica, running *int, err error) orderEnd {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil || life.Err() != nil {
		e.journalOrder(JournalLoadLost, order, "")
		return orderFailed(http.StatusServiceUnavailable, "the engine ended")
	}
	*running--
	close(fresh.ready)
	if order.Adapter == "" {
		e.copies.keep(order.Model)
	}
	e.applyLocked(order)
	e.journalOrder(JournalLoaded, order, "")
	return orderDone(_stateLoaded)
}

// repeat answers a load of what is loaded or loading already: it changes nothing.
func (e *engine) repeat(life context.Context, order vrengine.Order, held *replica) orderEnd {
	e.journalOrder(JournalLoadRepeated, order, "")
	select {
	case <-held.ready:
	case <-life.Done():
		return orderFailed(http.StatusServiceUnavailable, "the engine ended")
	}
	e.applyOrder(order)
	return orderDone(_stateLoaded)
}

func (e *engine) loadAdapter(order vrengine.Order) orderEnd {
	adapter := e.Index.Adapter(order.Adapter)
	size := order.Bytes
	if adapter != nil {
		size = adapter.Memory
	}
	e.mu.Lock()
	base := e.replicas[order.Model]
	if base == nil || !base.loaded() || (adapter != nil && adapter.Base != order.Model) {
		e.mu.Unlock()
		return orderFailed(http.StatusBadRequest, "the base model is not loaded")
	}
	life := e.life
	if held := base.adapters[order.Adapter]; held != nil {
		e.mu.Unlock()
		return e.repeat(life, order, held)
	}
	if !e.fits(order, size) {
		e.mu.Unlock()
		return orderFailed(http.StatusInsufficientStorage, "no memory")
	}
	e.noteOverlap(order, true)
	fresh := newReplica(base.gone, size)
	base.adapters[order.Adapter] = fresh
	e.loadingAdapters++
	e.mu.Unlock()
	e.journalOrder(JournalLoadStarted, order, "")
	err := e.Adapters.Load(life, time.Duration(float64(_adapterLoad)/e.Pace.Speed))
	return e.finishLoad(life, order, fresh, &e.loadingAdapters, err)
}

// unload drops a model with its adapters. Streams that still use it break, and what
// is not loaded stays so.
func (e *engine) unload(order vrengine.Order) orderEnd {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.replicas[order.Model]
	if held != nil && !held.loaded() {
		return orderFailed(http.StatusBadRequest, "the model is loading")
	}
	if held != nil {
		e.noteOverlap(order, false)
		delete(e.replicas, order.Model)
		e.used -= held.bytes
		for _, adapter := range held.adapters {
			e.used -= adapter.bytes
		}
		held.drop()
		e.journalOrder(JournalUnloaded, order, "")
	}
	e.applyLocked(order)
	return orderDone(_stateUnloaded)
}

func (e *engine) unloadAdapter(order vrengine.Order) orderEnd {
	e.mu.Lock()
	defer e.mu.Unlock()
	base := e.replicas[order.Model]
	if base != nil && base.adapters[order.Adapter] != nil {
		held := base.adapters[order.Adapter]
		if !held.loaded() {
			return orderFailed(http.StatusBadRequest, "the adapter is loading")
		}
		e.noteOverlap(order, false)
		delete(base.adapters, order.Adapter)
		e.used -= held.bytes
		held.drop()
		e.journalOrder(JournalUnloaded, order, "")
	}
	e.applyLocked(order)
	return orderDone(_stateUnloaded)
}

// holdBack keeps an order for a later delivery if the fault asks for it.
func (f *engineFaults) holdBack(order vrengine.Order) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holdKind != "" && f.holdKind != order.Kind {
		return false
	}
	if !f.hold.take() {
		return false
	}
	f.heldBack = append(f.heldBack, order)
	return true
}

// dropHeld forgets held orders: a new boot ends the connections that carried them.
func (f *engineFaults) dropHeld() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heldBack = nil
}

func (f *engineFaults) takeHeld() []vrengine.Order {
	f.mu.Lock()
	defer f.mu.Unlock()
	held := f.heldBack
	f.heldBack = nil
	return held
}

// releaseOrders delivers the orders that were held back, in their order.
func (e *engine) releaseOrders() {
	for _, order := range e.faults.takeHeld() {
		e.journalOrder(JournalOrder, order, "held back until now")
		e.execute(order)
	}
}
