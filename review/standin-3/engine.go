package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes and times of the models of the stand-ins.
const (
	serverMemoryMB = 100_000
	modelMB        = 40_000
	adapterMB      = 3_000
	adapterSlots   = 8
	diskLoad       = 500 * time.Millisecond
	storeLoad      = 2 * time.Second
	heartbeat      = 1200 * time.Millisecond
)

// engine is a stand-in of a model server. A restart keeps its id, address and disk, and nothing else.
type engine struct {
	id, service, address string
	store                *store
	rec                  *record

	mu    sync.Mutex
	up    bool
	born  int64
	beats uint64
	// beatAt is when the last regular heartbeat was written.
	beatAt   time.Time
	sequence uint64
	models   []string
	onDisk   map[string]bool
	loading  string
	adapters map[string]bool
	reports  []pastReport
	listener net.Listener
	server   *http.Server
	conns    map[net.Conn]bool
	stop     chan struct{}
	// overLimit is set once an order loads more than the server holds.
	overLimit bool
	// orderDelay is how long the server takes to answer an order, reportAge how old its reports are.
	orderDelay, reportAge time.Duration
	// quiet keeps the orders and runs out of the record.
	quiet bool
	// intercept may take an order from the wire: it then gets no answer. It may be nil.
	intercept func(o *order) bool
}

// pastReport is what the server reported from a time on.
type pastReport struct {
	at   time.Time
	body map[string]any
}

type order struct {
	Operation    string  `json:"operation"`
	Model        string  `json:"model"`
	Adapter      string  `json:"adapter"`
	Expected     *uint64 `json:"expected"`
	Holder       string  `json:"holder"`
	FencingToken uint64  `json:"fencing_token"`
}

func (o *order) String() string {
	expected := "-"
	if o.Expected != nil {
		expected = strconv.FormatUint(*o.Expected, 10)
	}
	return fmt.Sprintf("%s %s expected=%s holder=%s fencing_token=%d", o.Operation, o.name(), expected, o.Holder, o.FencingToken)
}

// name returns the model, with the adapter after a slash.
func (o *order) name() string {
	if o.Adapter == "" {
		return o.Model
	}
	return o.Model + "/" + o.Adapter
}

// start starts a process of the server. It holds the given models.
func (e *engine) start(models ...string) {
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", e.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		panic(err)
	}
	e.mu.Lock()
	e.address = listener.Addr().String()
	e.up, e.born, e.beats, e.sequence, e.loading = true, time.Now().UnixMilli(), 0, 0, ""
	e.adapters, e.reports = map[string]bool{}, nil
	e.models = slices.Clone(models)
	if e.onDisk == nil {
		e.onDisk = map[string]bool{}
	}
	for _, m := range models {
		e.onDisk[m] = true
	}
	e.listener, e.stop, e.conns = listener, make(chan struct{}), map[net.Conn]bool{}
	stop := e.stop
	e.keepReport()
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ConnState: e.trackConn}
	server := e.server
	e.mu.Unlock()
	e.rec.note("server %s: process starts, born %d, holds %v", e.id, e.born, models)
	go func() { _ = server.Serve(listener) }()
	go e.beat(stop)
}

func (e *engine) trackConn(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(e.conns, c)
	} else {
		e.conns[c] = true
	}
}

// crash ends the process: it sends nothing, and its connections are reset. Its entry is removed after three
// heartbeat intervals of silence.
func (e *engine) crash(why string) {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	close(e.stop)
	born, lastBeats := e.born, e.beats
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
	e.rec.note("server %s: crashes (%s)", e.id, why)
	time.AfterFunc(3*heartbeat, func() {
		e.mu.Lock()
		silent := e.born == born && e.beats == lastBeats
		e.mu.Unlock()
		if silent && e.store.remove("servers", e.id) {
			e.rec.note("store: the entry of %s is removed after three heartbeat intervals of silence", e.id)
		}
	})
}

// beat renews the entry in the store.
func (e *engine) beat(stop chan struct{}) {
	e.register()
	e.noteBeat()
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.register()
			e.noteBeat()
		case <-stop:
			return
		}
	}
}

func (e *engine) noteBeat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beatAt = time.Now()
}

func (e *engine) modelList() []map[string]any {
	list := []map[string]any{}
	for _, m := range e.models {
		adapters := []string{}
		for a := range e.adapters {
			if name, ok := strings.CutPrefix(a, m+"/"); ok {
				adapters = append(adapters, name)
			}
		}
		slices.Sort(adapters)
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": adapters})
	}
	return list
}

func (e *engine) available() map[string]any {
	disk := []string{}
	for m := range e.onDisk {
		disk = append(disk, m)
	}
	slices.Sort(disk)
	return map[string]any{"in_memory": []string{}, "on_disk": disk}
}

func (e *engine) register() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.beats++
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": zone, "version": "v1", "slots": 64, "state": "ready",
		"cold_remaining_ms": 0, "stage": "prefill_decode", "models": e.modelList(), "available": e.available(), "sequence": e.beats, "born": e.born,
	}
	e.mu.Unlock()
	e.store.put("servers", e.id, entry)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expected-Instance"); want != "" && want != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.report(w)
	case "/order":
		e.takeOrder(w, r)
	case "/healthz":
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusOK)
	default:
		e.generate(w, r)
	}
}

// keepReport keeps the present report. The caller holds the mutex.
func (e *engine) keepReport() {
	e.reports = append(e.reports, pastReport{time.Now(), map[string]any{
		"stage": "prefill_decode", "models": e.modelList(), "busy": e.loading != "", "sequence": e.sequence, "waiting": 0, "in_flight": 0,
		"kv_used": 0, "kv_total": 154135, "handles": 0, "born": e.born, "available": e.available(), "pending": []string{},
	}})
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	body := e.reports[0].body
	for _, past := range e.reports {
		if time.Since(past.at) >= e.reportAge {
			body = past.body
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

func (e *engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	data, _ := io.ReadAll(r.Body)
	if err := json.Unmarshal(data, &o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	intercept := e.intercept
	e.mu.Unlock()
	if intercept != nil && intercept(&o) {
		// The order gets no answer.
		<-r.Context().Done()
		return
	}
	status := e.carryOut(&o, "")
	time.Sleep(e.orderDelay)
	w.WriteHeader(status)
}

// carryOut carries an order out and returns the status of the answer.
func (e *engine) carryOut(o *order, remark string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.keepReport()
	if !e.up {
		e.rec.note("server %s: order%s [%s] finds no process", e.id, remark, o)
		return 0
	}
	status := e.decide(o)
	if !e.quiet {
		e.rec.note("server %s: order%s [%s] at sequence %d, holds %v -> %d", e.id, remark, o, e.sequence, e.models, status)
	}
	if status != http.StatusAccepted {
		return status
	}
	e.sequence++
	if o.Adapter != "" {
		e.carryOutAdapter(o)
		return status
	}
	if o.Operation == "unload" {
		e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == o.Model })
		for a := range e.adapters {
			if strings.HasPrefix(a, o.Model+"/") {
				delete(e.adapters, a)
			}
		}
		go e.register()
		return status
	}
	if e.used()+modelMB > serverMemoryMB {
		e.exceed(o, modelMB)
		return status
	}
	e.loading = o.Model
	took, born := storeLoad, e.born
	if e.onDisk[o.Model] {
		took = diskLoad
	}
	time.AfterFunc(took, func() {
		e.mu.Lock()
		if !e.up || e.born != born {
			e.mu.Unlock()
			return
		}
		e.models = append(e.models, o.Model)
		e.onDisk[o.Model], e.loading = true, ""
		e.keepReport()
		e.rec.note("server %s: has loaded %s, holds %v", e.id, o.Model, e.models)
		e.mu.Unlock()
		e.register()
	})
	return status
}

// used returns the memory that is in use. The caller holds the mutex.
func (e *engine) used() int { return len(e.models)*modelMB + len(e.adapters)*adapterMB }

// exceed ends the process after an order to load more than it holds. The caller holds the mutex.
func (e *engine) exceed(o *order, size int) {
	e.overLimit = true
	e.rec.note("LIMIT: server %s holds %v and %d adapters (%d MB) and is ordered to load %s (%d MB) beside it, %d MB and %d adapters are all it holds",
		e.id, e.models, len(e.adapters), e.used(), o.name(), size, serverMemoryMB, adapterSlots)
	go e.crash("ordered to load more than it holds")
}

// carryOutAdapter loads or unloads an adapter, which takes a few milliseconds. The caller holds the mutex.
func (e *engine) carryOutAdapter(o *order) {
	if o.Operation == "unload" {
		delete(e.adapters, o.name())
		return
	}
	if len(e.adapters) >= adapterSlots || e.used()+adapterMB > serverMemoryMB {
		e.exceed(o, adapterMB)
		return
	}
	e.adapters[o.name()] = true
}

// decide returns the status of the answer to an order.
func (e *engine) decide(o *order) int {
	held := slices.Contains(e.models, o.Model)
	if o.Adapter != "" {
		if !held {
			return http.StatusBadRequest
		}
		held = e.adapters[o.name()]
	}
	switch {
	case o.Holder == "" || o.FencingToken == 0:
		return http.StatusBadRequest
	case e.loading != "":
		return http.StatusConflict
	case o.Expected != nil && *o.Expected != e.sequence:
		return http.StatusConflict
	case held == (o.Operation == "load"):
		return http.StatusOK
	}
	return http.StatusAccepted
}

// generate answers a request with a short stream.
func (e *engine) generate(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	model, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")
	e.mu.Lock()
	held := slices.Contains(e.models, model) && (adapter == "" || e.adapters[model+"/"+adapter])
	e.mu.Unlock()
	if !held {
		w.Header().Set("Instance-Id", e.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !e.quiet {
		e.rec.note("server %s: runs %s (%s)", e.id, r.Header.Get("Request-Id"), model)
	}
	w.Header().Set("Response-Signature", "sig-"+r.Header.Get("Request-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Server-Load", "1,0,64")
	for id := 1; id <= 3; id++ {
		fmt.Fprintf(w, "id: %d\ndata: token\n\n", id)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// exceeded reports whether an order has loaded more than the server holds.
func (e *engine) exceeded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overLimit
}
