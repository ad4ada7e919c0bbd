package vrstandin

import (
	"context"
	"net/http"
	"time"

	"verbenaroute.example/verbenabench/internal/vrpause"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrid"
)

// Load durations as fractions of the declared load time, by the source of the weights.
// Only loads from the weight store (remote) share its bandwidth.
const (
	_memoryLoadFraction = 0.1
	_diskLoadFraction   = 0.4
	_peerLoadFraction   = 0.5
	_remoteLoadFraction = 1.0
)

const (
	// _adapterLoadTime is in the middle of the 5 to 10 ms that the design states.
	_adapterLoadTime = 7 * time.Millisecond
	// _defaultLoadTime is the load time of a model that the configuration does not
	// declare.
	_defaultLoadTime = time.Second
)

// Sources that weights are loaded from.
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

// orderResult is the HTTP status and body of the response to an order.
type orderResult struct {
	status int
	answer vrengine.OrderAnswer
}

func orderDone(state string) orderResult {
	return orderResult{status: http.StatusOK, answer: vrengine.OrderAnswer{State: state}}
}

func orderFailed(status int, message string) orderResult {
	return orderResult{status: status, answer: vrengine.OrderAnswer{Error: message}}
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
	result := e.execute(order)
	writeJSON(w, result.status, result.answer)
}

func (e *engine) journalOrder(kind EntryKind, order vrengine.Order, detail string) {
	e.Journal.Add(Entry{
		Kind: kind, Server: e.Server, Zone: e.Zone, Order: &order,
		Model: order.Model, Adapter: order.Adapter, Bytes: order.Bytes, Detail: detail,
	})
}

// execute executes an order, whether it was delivered at once or held first. Like a
// real engine, it runs to completion even if the connection breaks.
func (e *engine) execute(order vrengine.Order) orderResult {
	if result, ok := e.checkFencing(order); !ok {
		return result
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
	e.recordApplied(order)
	return orderDone(_stateDone)
}

func (e *engine) checkFencing(order vrengine.Order) (orderResult, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	token := vrid.FencingToken{Epoch: order.Epoch, Sequence: order.Sequence}
	if token.Less(e.highestFencingToken) && !e.faults.ignoreFencing.active() {
		e.journalOrder(JournalFenced, order, "")
		return orderResult{status: http.StatusConflict, answer: vrengine.OrderAnswer{
			HighestEpoch: e.highestFencingToken.Epoch, HighestSequence: e.highestFencingToken.Sequence,
		}}, false
	}
	if e.highestFencingToken.Less(token) {
		e.highestFencingToken = token
	}
	return orderResult{}, true
}

// recordApplied lists the order as applied in later reports.
func (e *engine) recordApplied(order vrengine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordAppliedLocked(order)
}

func (e *engine) recordAppliedLocked(order vrengine.Order) {
	e.appliedOrders = append(e.appliedOrders, order.OrderID)
	if excess := len(e.appliedOrders) - _maxAppliedOrders; excess > 0 {
		e.appliedOrders = e.appliedOrders[excess:]
	}
}

func (e *engine) load(order vrengine.Order) orderResult {
	model := e.Index.Model(order.Model)
	size, loadTime := order.Bytes, _defaultLoadTime
	if model != nil {
		size, loadTime = model.Memory, model.LoadTime.Std()
	}
	e.mu.Lock()
	if existing := e.replicas[order.Model]; existing != nil {
		processCtx := e.processCtx
		e.mu.Unlock()
		return e.awaitLoaded(processCtx, order, existing)
	}
	if !e.reserveMemory(order, size) {
		e.mu.Unlock()
		return orderFailed(http.StatusInsufficientStorage, "no memory")
	}
	e.journalOverlap(order, false)
	created := newReplica(e.processCtx, size)
	e.replicas[order.Model] = created
	e.loadingModels++
	processCtx := e.processCtx
	source := e.copies.loadSource(order.Model, order.Source)
	e.mu.Unlock()
	e.journalOrder(JournalLoadStarted, order, source)
	err := e.loadWeights(processCtx, source, loadTime)
	return e.finishLoad(processCtx, order, created, &e.loadingModels, err)
}

func newReplica(parent context.Context, size vrid.Bytes) *replica {
	unloaded, cancel := context.WithCancel(parent)
	return &replica{
		bytes: size, ready: make(chan struct{}), unloaded: unloaded, cancel: cancel,
		adapters: make(map[vrid.AdapterID]*replica),
	}
}

// reserveMemory reserves memory, or journals the overcommit attempt and returns false.
func (e *engine) reserveMemory(order vrengine.Order, size vrid.Bytes) bool {
	if e.memoryUsed+size > e.Pool.Memory {
		e.journalOrder(JournalOvercommit, order, "")
		return false
	}
	e.memoryUsed += size
	return true
}

// journalOverlap journals an order that runs concurrently with another one, unless both
// are adapter loads.
func (e *engine) journalOverlap(order vrengine.Order, adapterLoad bool) {
	if e.loadingModels > 0 || (e.loadingAdapters > 0 && !adapterLoad) {
		e.journalOrder(JournalOverlap, order, "")
	}
}

func (e *engine) loadWeights(processCtx context.Context, source string, loadTime time.Duration) error {
	scale := func(fraction float64) time.Duration {
		return time.Duration(float64(loadTime) * fraction / e.Timing.Speed)
	}
	switch source {
	case sourceMemory:
		return vrpause.For(processCtx, scale(_memoryLoadFraction))
	case sourceDisk:
		return vrpause.For(processCtx, scale(_diskLoadFraction))
	case sourcePeer:
		return vrpause.For(processCtx, scale(_peerLoadFraction))
	default:
		return e.Weights.Load(processCtx, scale(_remoteLoadFraction))
	}
}

func (e *engine) finishLoad(processCtx context.Context, order vrengine.Order, created *replica, inFlight *int, err error) orderResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil || processCtx.Err() != nil {
		// The next start resets inFlight and the memory that the load reserved.
		e.journalOrder(JournalLoadLost, order, "")
		return orderFailed(http.StatusServiceUnavailable, "the engine process ended")
	}
	*inFlight--
	close(created.ready)
	if order.Adapter == "" {
		e.copies.addLoaded(order.Model)
	}
	e.recordAppliedLocked(order)
	e.journalOrder(JournalLoaded, order, "")
	return orderDone(_stateLoaded)
}

// awaitLoaded responds to a load of a model or adapter that is already loaded or
// loading: it waits for that load and changes nothing.
func (e *engine) awaitLoaded(processCtx context.Context, order vrengine.Order, existing *replica) orderResult {
	e.journalOrder(JournalLoadRepeated, order, "")
	select {
	case <-existing.ready:
	case <-processCtx.Done():
		return orderFailed(http.StatusServiceUnavailable, "the engine process ended")
	}
	e.recordApplied(order)
	return orderDone(_stateLoaded)
}

func (e *engine) loadAdapter(order vrengine.Order) orderResult {
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
	processCtx := e.processCtx
	if existing := base.adapters[order.Adapter]; existing != nil {
		e.mu.Unlock()
		return e.awaitLoaded(processCtx, order, existing)
	}
	if !e.reserveMemory(order, size) {
		e.mu.Unlock()
		return orderFailed(http.StatusInsufficientStorage, "no memory")
	}
	e.journalOverlap(order, true)
	created := newReplica(base.unloaded, size)
	base.adapters[order.Adapter] = created
	e.loadingAdapters++
	e.mu.Unlock()
	e.journalOrder(JournalLoadStarted, order, "")
	err := e.Adapters.Load(processCtx, time.Duration(float64(_adapterLoadTime)/e.Timing.Speed))
	return e.finishLoad(processCtx, order, created, &e.loadingAdapters, err)
}

// unload unloads a model with its adapters and breaks the streams that still use it.
// Unloading a model that is not loaded succeeds without effect.
func (e *engine) unload(order vrengine.Order) orderResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	existing := e.replicas[order.Model]
	if existing != nil && !existing.loaded() {
		return orderFailed(http.StatusBadRequest, "the model is loading")
	}
	if existing != nil {
		e.journalOverlap(order, false)
		delete(e.replicas, order.Model)
		e.memoryUsed -= existing.bytes
		for _, adapter := range existing.adapters {
			e.memoryUsed -= adapter.bytes
		}
		existing.cancel()
		e.journalOrder(JournalUnloaded, order, "")
	}
	e.recordAppliedLocked(order)
	return orderDone(_stateUnloaded)
}

func (e *engine) unloadAdapter(order vrengine.Order) orderResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	base := e.replicas[order.Model]
	if base != nil && base.adapters[order.Adapter] != nil {
		existing := base.adapters[order.Adapter]
		if !existing.loaded() {
			return orderFailed(http.StatusBadRequest, "the adapter is loading")
		}
		e.journalOverlap(order, false)
		delete(base.adapters, order.Adapter)
		e.memoryUsed -= existing.bytes
		existing.cancel()
		e.journalOrder(JournalUnloaded, order, "")
	}
	e.recordAppliedLocked(order)
	return orderDone(_stateUnloaded)
}

// holdBack holds an order for later delivery if a hold fault applies to it.
func (f *engineFaults) holdBack(order vrengine.Order) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holdKind != "" && f.holdKind != order.Kind {
		return false
	}
	if !f.holdHits.take() {
		return false
	}
	f.heldOrders = append(f.heldOrders, order)
	return true
}

// discardHeld discards the held orders, because a restart ends the connections that
// carried them.
func (f *engineFaults) discardHeld() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heldOrders = nil
}

func (f *engineFaults) takeHeld() []vrengine.Order {
	f.mu.Lock()
	defer f.mu.Unlock()
	orders := f.heldOrders
	f.heldOrders = nil
	return orders
}

// releaseOrders delivers the held orders in the order of arrival.
func (e *engine) releaseOrders() {
	for _, order := range e.faults.takeHeld() {
		e.journalOrder(JournalOrder, order, "held back until now")
		e.execute(order)
	}
}
