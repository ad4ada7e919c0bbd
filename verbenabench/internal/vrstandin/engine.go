package vrstandin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"verbenaroute.example/verbenabench/internal/vrpause"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrid"
)

// Limits of a language server.
const (
	_reportLag      = 200 * time.Millisecond
	_appliedOrders  = 256
	_maxWaiting     = 64
	_orderBodyLimit = 1 << 20
	_kvBytes        = 1 << 10
)

// Pace is the speed of the language servers, already divided by the speed factor.
type Pace struct {
	// Prefill is the time to the first token without a cached prefix.
	Prefill time.Duration
	// Token is the time between two tokens.
	Token time.Duration
	// Speed divides the declared load times.
	Speed float64
}

// defaultPace gives an answer of 28 tokens in about 0.3 s.
func defaultPace(speed float64) Pace {
	scale := func(length time.Duration) time.Duration {
		return time.Duration(float64(length) / speed)
	}
	return Pace{Prefill: scale(40 * time.Millisecond), Token: scale(10 * time.Millisecond), Speed: speed}
}

// engineOptions is what a language server is made of.
type engineOptions struct {
	Server   vrid.ServerID
	Zone     vrid.ZoneID
	Pool     vrconfig.Pool
	Index    *vrconfig.Index
	Journal  *Journal
	Weights  *weights
	Adapters *weights
	Pace     Pace
}

// engine is the stand-in of one language server.
type engine struct {
	engineOptions
	faults engineFaults
	cache  *prefixCache
	copies *checkpoints

	mu      sync.Mutex
	boot    int
	leaving bool
	role    string
	// life ends when the engine's process ends.
	life     context.Context
	end      context.CancelFunc
	replicas map[vrid.ModelID]*replica
	// used is the sum of the bytes of all replicas and adapters, loading ones included;
	// it is never above the pool's memory.
	used    vrid.Bytes
	highest vrid.FencingToken
	applied []vrid.OrderID
	// loadingModels and loadingAdapters count the orders that run.
	loadingModels   int
	loadingAdapters int
	slots           slotQueue
	running         map[vrid.RequestID]context.CancelFunc
	shown           vrengine.Report
	shownAt         time.Time
}

// replica is a model or an adapter in memory.
type replica struct {
	bytes vrid.Bytes
	// ready is closed when the load has ended.
	ready chan struct{}
	// gone ends when the replica is unloaded.
	gone     context.Context
	drop     context.CancelFunc
	adapters map[vrid.AdapterID]*replica
}

func (r *replica) loaded() bool {
	select {
	case <-r.ready:
		return true
	default:
		return false
	}
}

type engineFaults struct {
	ignoreFencing window
	stopped       window
	delayed       budget
	crossed       budget
	hold          budget

	mu       sync.Mutex
	delay    time.Duration
	holdKind vrengine.OrderKind
	heldBack []vrengine.Order
}

func newEngine(options engineOptions) *engine {
	e := &engine{engineOptions: options}
	e.cache = newPrefixCache()
	e.copies = newCheckpoints(options.Server, options.Index.Fleet.Models)
	e.slots.free = options.Pool.Slots
	if !options.Pool.HonorsFencing {
		e.faults.ignoreFencing.start(0)
	}
	e.start()
	return e
}

// start begins a new run of the engine's process with empty memory.
func (e *engine) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
	e.life, e.end = context.WithCancel(context.Background())
	e.replicas = make(map[vrid.ModelID]*replica)
	e.running = make(map[vrid.RequestID]context.CancelFunc)
	e.used = 0
	e.highest = vrid.FencingToken{}
	e.applied = nil
	e.loadingModels, e.loadingAdapters = 0, 0
	e.shownAt = time.Time{}
	e.Journal.Add(Entry{Kind: JournalBoot, Server: e.Server, Zone: e.Zone, Detail: e.bootID()})
}

// stop ends the run: loads are lost and streams break.
func (e *engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end()
	e.faults.dropHeld()
}

func (e *engine) restart() {
	e.stop()
	e.start()
}

func (e *engine) bootID() string { return string(e.Server) + "/" + strconv.Itoa(e.boot) }

func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	e.Journal.Add(Entry{Kind: JournalLeaving, Server: e.Server, Zone: e.Zone})
}

// ServeHTTP answers one call.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !e.faults.waitWhileStopped(r.Context()) {
		return
	}
	switch r.URL.Path {
	case vrengine.PathGenerate:
		e.serveGenerate(w, r)
	case vrengine.PathCancel:
		e.serveCancel(w, r)
	case vrengine.PathOrders:
		e.serveOrder(w, r)
	case vrengine.PathReport:
		writeJSON(w, http.StatusOK, e.report())
	case vrengine.PathCacheEvents:
		after, err := strconv.ParseUint(orZero(r.URL.Query().Get("after")), 10, 64)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		writeJSON(w, http.StatusOK, e.cache.eventsAfter(after))
	case vrengine.PathKVExport:
		e.serveKVExport(w, r)
	case vrengine.PathKVImport:
		e.serveKVImport(w, r)
	default:
		http.NotFound(w, r)
	}
}

// report returns a view that is up to _reportLag old.
func (e *engine) report() vrengine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); e.shownAt.IsZero() || now.Sub(e.shownAt) >= _reportLag {
		e.shown = e.snapshot()
		e.shownAt = now
	}
	return e.shown
}

func (e *engine) snapshot() vrengine.Report {
	report := vrengine.Report{
		Server:        e.Server,
		Boot:          vrid.BootID(e.bootID()),
		Leaving:       e.leaving,
		Role:          e.role,
		Running:       e.slots.running(e.Pool.Slots),
		Waiting:       e.slots.waiting(),
		Slots:         e.Pool.Slots,
		Memory:        e.Pool.Memory,
		MemoryUsed:    e.used,
		Models:        []vrengine.ModelReport{},
		Cached:        e.copies.report(),
		AppliedOrders: append([]vrid.OrderID(nil), e.applied...),
		HighestEpoch:  e.highest.Epoch,
	}
	for id, held := range e.replicas {
		line := vrengine.ModelReport{Model: id, State: "loading"}
		if held.loaded() {
			line.State = "loaded"
		}
		for adapter, part := range held.adapters {
			if part.loaded() {
				line.Adapters = append(line.Adapters, adapter)
			}
		}
		report.Models = append(report.Models, line)
	}
	return report
}

func (e *engine) serveKVExport(w http.ResponseWriter, r *http.Request) {
	var body vrengine.KVExportRequest
	if !readJSON(w, r, &body) {
		return
	}
	e.Journal.Add(Entry{Kind: JournalKV, Server: e.Server, Request: body.RequestID, Bytes: _kvBytes, Detail: "export"})
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(make([]byte, _kvBytes))
}

func (e *engine) serveKVImport(w http.ResponseWriter, r *http.Request) {
	var body vrengine.KVImportRequest
	if !readJSON(w, r, &body) {
		return
	}
	size := vrid.Bytes(len(body.Bytes))
	e.Journal.Add(Entry{Kind: JournalKV, Server: e.Server, Request: body.RequestID, Bytes: size, Detail: "import"})
	w.WriteHeader(http.StatusOK)
}

// readJSON decodes the body and answers 400 when it is malformed.
func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, _orderBodyLimit))
	if err := decoder.Decode(target); err != nil {
		writeJSON(w, http.StatusBadRequest, vrengine.OrderAnswer{Error: err.Error()})
		return false
	}
	return true
}

// waitWhileStopped reports whether the caller is still there after the stop.
func (f *engineFaults) waitWhileStopped(ctx context.Context) bool {
	const recheck = 20 * time.Millisecond
	for f.stopped.active() {
		if vrpause.For(ctx, recheck) != nil {
			return false
		}
	}
	return true
}
