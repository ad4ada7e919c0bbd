package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// modelSize is a model of the configuration, in megabytes.
type modelSize struct {
	name               string
	weights, adapterMB float64
	// loadTime is the time of a load from the weight store, diskTime of one from the server's disk.
	loadTime, diskTime time.Duration
}

// Limits of a language server, as in the small site.
const (
	weightsMB    = 200000.0
	adapterSlots = 8
)

// engine is a stand-in for a language server: it carries out placement orders and runs streams.
type engine struct {
	*server
	sizes map[string]modelSize

	mu sync.Mutex
	// sequence counts the accepted orders.
	sequence int
	// holds are the loaded models, adapters those that take memory and a slot: loaded, on their way, or
	// waiting for their runs to finish before they are dropped.
	holds    map[string]bool
	adapters map[string]adapterState
	running  map[string]int
	// onDisk are the models of which the server's disk has a copy.
	onDisk map[string]bool
	// busy is set while a load or unload of a model is under way. loading is the model that is loaded.
	busy    bool
	loading string
	crashed bool
	// overLimit describes the orders that did not fit.
	overLimit []string
	// orders are the orders that arrived.
	orders []arrivedOrder
	// pause is the time between two events of a stream.
	pause time.Duration
}

type adapterState uint8

const (
	adapterPending adapterState = iota + 1
	adapterLoaded
	adapterUnloading
)

func startEngine(s *store, id, zone string, sizes []modelSize, holds []string, onDisk ...string) *engine {
	return startLinkedEngine(s, id, zone, sizes, holds, nil, onDisk...)
}

// startLinkedEngine starts a server whose entry names the address that link returns for its own one.
func startLinkedEngine(s *store, id, zone string, sizes []modelSize, holds []string, link func(address string) string, onDisk ...string) *engine {
	e := &engine{
		sizes: make(map[string]modelSize), holds: make(map[string]bool), adapters: make(map[string]adapterState),
		running: make(map[string]int), onDisk: make(map[string]bool), pause: 200 * time.Millisecond,
	}
	for _, m := range onDisk {
		e.onDisk[m] = true
	}
	for _, m := range sizes {
		e.sizes[m.name] = m
	}
	for _, m := range holds {
		e.holds[m], e.onDisk[m] = true, true
	}
	e.server = newServer(id, llmService, zone, 64, e)
	e.server.models, e.server.available = e.loadedModels, e.copies
	if link != nil {
		e.server.announced = link(e.server.address)
	}
	e.server.start(s)
	return e
}

// loadedModels lists what the server holds, as in its entry and its report.
func (e *engine) loadedModels() []any {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := []any{}
	for m := range e.holds {
		adapters := []string{}
		for name, state := range e.adapters {
			if model, adapter, _ := strings.Cut(name, "/"); model == m && state != adapterPending {
				adapters = append(adapters, adapter)
			}
		}
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": adapters})
	}
	return list
}

// copies lists the copies of weights, as in the entry and the report.
func (e *engine) copies() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	names := []string{}
	for m := range e.onDisk {
		names = append(names, m)
	}
	return map[string]any{"in_memory": []string{}, "on_disk": names}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	crashed := e.crashed
	e.mu.Unlock()
	if crashed {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, r)
	case "/hold-take":
		reply(w, http.StatusServiceUnavailable, map[string]any{})
	default:
		e.stream(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	models, available := e.loadedModels(), e.copies()
	e.mu.Lock()
	defer e.mu.Unlock()
	pending, inFlight := []string{}, 0
	for name, state := range e.adapters {
		if state == adapterPending {
			pending = append(pending, name+"@1")
		}
	}
	for _, n := range e.running {
		inFlight += n
	}
	reply(w, http.StatusOK, map[string]any{
		"stage": "prefill_decode", "models": models, "busy": e.busy, "sequence": e.sequence, "waiting": 0, "in_flight": inFlight,
		"kv_used": 0, "kv_total": 154135, "handles": 0, "born": e.born, "pending": pending, "available": available,
	})
}

// used returns the memory for weights and adapters that is taken.
func (e *engine) used() float64 {
	total := 0.0
	for m := range e.holds {
		total += e.sizes[m].weights
	}
	if e.loading != "" {
		total += e.sizes[e.loading].weights
	}
	for name := range e.adapters {
		model, _, _ := strings.Cut(name, "/")
		total += e.sizes[model].adapterMB
	}
	return total
}

// arrivedOrder is an order that arrived at a server.
type arrivedOrder struct {
	at     time.Time
	holder string
	token  int64
}

type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expected  *int   `json:"expected"`
	Holder    string `json:"holder"`
	Token     *int64 `json:"fencing_token"`
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Token == nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, arrivedOrder{at: time.Now(), holder: o.Holder, token: *o.Token})
	status := e.carryOut(&o)
	record("server %s: order of %s (token %d): %s %s %s -> %d, sequence %d, %d adapters, %.0f MB used", e.id, o.Holder, *o.Token,
		o.Operation, o.Model, o.Adapter, status, e.sequence, len(e.adapters), e.used())
	if e.crashed {
		panic(http.ErrAbortHandler)
	}
	reply(w, status, map[string]any{})
}

// carryOut carries out an order and returns the status of the response. The caller holds the lock.
func (e *engine) carryOut(o *order) int {
	name := o.Model + "/" + o.Adapter
	switch {
	case e.busy, o.Expected != nil && *o.Expected != e.sequence:
		return http.StatusConflict
	case e.sizes[o.Model].name == "", o.Adapter != "" && !e.holds[o.Model]:
		return http.StatusBadRequest
	case o.Operation == "load" && o.Adapter == "" && e.holds[o.Model]:
		return http.StatusOK
	case o.Operation == "load" && o.Adapter == "":
		if free := weightsMB - e.used(); e.sizes[o.Model].weights > free {
			e.crash(fmt.Sprintf("load of %s (%.0f MB) with %.0f MB free", o.Model, e.sizes[o.Model].weights, free))
			return 0
		}
		e.sequence++
		e.busy, e.loading = true, o.Model
		go e.finishLoad(o.Model)
		return http.StatusAccepted
	case o.Operation == "load":
		return e.loadAdapter(name, o.Model)
	case o.Operation == "unload" && o.Adapter == "":
		if !e.holds[o.Model] {
			return http.StatusOK
		}
		e.sequence++
		e.busy = true
		go e.finishUnload(o.Model)
		return http.StatusAccepted
	case o.Operation == "unload":
		return e.unloadAdapter(name)
	}
	return http.StatusBadRequest
}

func (e *engine) loadAdapter(name, model string) int {
	switch e.adapters[name] {
	case adapterLoaded, adapterPending:
		return http.StatusOK
	}
	if len(e.adapters) >= adapterSlots && e.adapters[name] == 0 {
		e.crash(fmt.Sprintf("load of adapter %s with %d of %d places taken", name, len(e.adapters), adapterSlots))
		return 0
	}
	if free := weightsMB - e.used(); e.sizes[model].adapterMB > free {
		e.crash(fmt.Sprintf("load of adapter %s (%.0f MB) with %.0f MB free", name, e.sizes[model].adapterMB, free))
		return 0
	}
	e.sequence++
	e.adapters[name] = adapterPending
	time.AfterFunc(10*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.adapters[name] == adapterPending {
			e.adapters[name] = adapterLoaded
		}
	})
	return http.StatusAccepted
}

// unloadAdapter drops an adapter at once if no request uses it, and otherwise when its runs have finished.
func (e *engine) unloadAdapter(name string) int {
	if e.adapters[name] == 0 {
		return http.StatusOK
	}
	e.sequence++
	if e.running[name] == 0 {
		delete(e.adapters, name)
		return http.StatusOK
	}
	e.adapters[name] = adapterUnloading
	return http.StatusAccepted
}

func (e *engine) finishLoad(model string) {
	e.mu.Lock()
	wait := e.sizes[model].loadTime
	if e.onDisk[model] {
		wait = e.sizes[model].diskTime
	}
	e.mu.Unlock()
	time.Sleep(wait)
	e.mu.Lock()
	e.holds[model], e.onDisk[model], e.busy, e.loading = true, true, false, ""
	e.mu.Unlock()
	record("server %s has loaded %s", e.id, model)
	e.register()
}

func (e *engine) finishUnload(model string) {
	for {
		e.mu.Lock()
		runs := 0
		for name, n := range e.running {
			if m, _, _ := strings.Cut(name, "/"); m == model {
				runs += n
			}
		}
		if runs == 0 {
			break
		}
		e.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
	delete(e.holds, model)
	for name := range e.adapters {
		if m, _, _ := strings.Cut(name, "/"); m == model {
			delete(e.adapters, name)
		}
	}
	e.busy = false
	e.mu.Unlock()
	e.register()
}

// crash records an order that does not fit. The caller holds the lock.
func (e *engine) crash(what string) {
	e.overLimit = append(e.overLimit, what)
	e.crashed = true
	record("LIMIT: server %s is ordered to load more than it holds: %s; it crashes", e.id, what)
}

// arrivedOrders returns the orders that have arrived.
func (e *engine) arrivedOrders() []arrivedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// takenPlaces returns the number of adapters that requests use.
func (e *engine) takenPlaces() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	taken := 0
	for name := range e.adapters {
		if e.running[name] > 0 {
			taken++
		}
	}
	return taken
}

// limitBroken returns the orders that did not fit.
func (e *engine) limitBroken() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overLimit
}

// stream runs a request: events until the number of output tokens is reached, five tokens an event.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	id, name := r.Header.Get("Request-Id"), r.Header.Get("Model")
	model, adapter, _ := strings.Cut(name, "/")
	e.mu.Lock()
	present := e.holds[model] && (adapter == "" || e.adapters[name] == adapterLoaded)
	if present {
		e.running[name]++
	}
	e.mu.Unlock()
	w.Header().Set("Request-Id", id)
	if !present {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.running[name]--; e.running[name] == 0 && e.adapters[name] == adapterUnloading {
			delete(e.adapters, name)
		}
	}()
	record("server %s runs %s, model %s", e.id, id, name)
	var in, out, last int
	_, _ = fmt.Sscanf(r.Header.Get("Token-Usage"), "%d,%d", &in, &out)
	_, _ = fmt.Sscanf(r.Header.Get("Last-Event-Id"), "%d", &last)
	w.Header().Set("Response-Signature", e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := last + 1; n <= out/5; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		if control.Flush() != nil {
			return
		}
		select {
		case <-time.After(e.pause):
		case <-r.Context().Done():
			record("server %s stops %s, its connection is closed", e.id, id)
			return
		}
		e.mu.Lock()
		crashed := e.crashed
		e.mu.Unlock()
		if crashed {
			panic(http.ErrAbortHandler)
		}
	}
	record("server %s has finished %s", e.id, id)
}
