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
	_reportLag          = 200 * time.Millisecond
	_maxAppliedOrders   = 256
	_maxWaitingRequests = 64
	_maxRequestBody     = 1 << 20
	_kvSize             = 1 << 10
)

// Timing holds the latencies of the language servers, already divided by the speed factor.
type Timing struct {
	// PrefillDelay is the time to the first token without a cached prefix.
	PrefillDelay time.Duration
	// TokenInterval is the interval between two tokens.
	TokenInterval time.Duration
	// Speed is the factor that declared load times are divided by.
	Speed float64
}

// defaultTiming returns latencies that produce an answer of 28 tokens in about 0.3 s at
// speed 1.
func defaultTiming(speed float64) Timing {
	scale := func(latency time.Duration) time.Duration {
		return time.Duration(float64(latency) / speed)
	}
	return Timing{PrefillDelay: scale(40 * time.Millisecond), TokenInterval: scale(10 * time.Millisecond), Speed: speed}
}

// engineOptions configures an engine.
type engineOptions struct {
	Server   vrid.ServerID
	Zone     vrid.ZoneID
	Pool     vrconfig.Pool
	Index    *vrconfig.Index
	Journal  *Journal
	Weights  *weights
	Adapters *weights
	Timing   Timing
}

// engine is a stand-in for one language server.
type engine struct {
	engineOptions
	faults engineFaults
	cache  *prefixCache
	copies *weightCopies

	mu      sync.Mutex
	boot    int
	leaving bool
	role    string
	// processCtx is canceled when the simulated engine process ends.
	processCtx    context.Context
	cancelProcess context.CancelFunc
	replicas      map[vrid.ModelID]*replica
	// memoryUsed is the total size of all replicas and adapters, including those that
	// are still loading. It never exceeds the pool's memory.
	memoryUsed          vrid.Bytes
	highestFencingToken vrid.FencingToken
	appliedOrders       []vrid.OrderID
	// loadingModels and loadingAdapters count the load orders in flight.
	loadingModels   int
	loadingAdapters int
	slots           slotQueue
	cancelRequests  map[vrid.RequestID]context.CancelFunc
	lastReport      vrengine.Report
	lastReportAt    time.Time
}

// replica is a model or an adapter that is loaded or loading.
type replica struct {
	bytes vrid.Bytes
	// ready is closed when the load completes.
	ready chan struct{}
	// unloaded is canceled when the replica is unloaded.
	unloaded context.Context
	cancel   context.CancelFunc
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

// engineFaults holds the faults that are injected into one engine.
type engineFaults struct {
	ignoreFencing window
	stopped       window
	delayHits     faultCounter
	crossHits     faultCounter
	holdHits      faultCounter

	mu         sync.Mutex
	delay      time.Duration
	holdKind   vrengine.OrderKind
	heldOrders []vrengine.Order
}

func newEngine(options engineOptions) *engine {
	e := &engine{engineOptions: options}
	e.cache = newPrefixCache()
	e.copies = newWeightCopies(options.Server, options.Index.Fleet.Models)
	e.slots.free = options.Pool.Slots
	if !options.Pool.HonorsFencing {
		e.faults.ignoreFencing.start(0)
	}
	e.start()
	return e
}

// start starts a new engine process with empty memory and a new boot id.
func (e *engine) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
	e.processCtx, e.cancelProcess = context.WithCancel(context.Background())
	e.replicas = make(map[vrid.ModelID]*replica)
	e.cancelRequests = make(map[vrid.RequestID]context.CancelFunc)
	e.memoryUsed = 0
	e.highestFencingToken = vrid.FencingToken{}
	e.appliedOrders = nil
	e.loadingModels, e.loadingAdapters = 0, 0
	e.lastReportAt = time.Time{}
	e.Journal.Add(Entry{Kind: JournalBoot, Server: e.Server, Zone: e.Zone, Detail: e.bootID()})
}

// stop ends the engine process: loads are lost and streams break.
func (e *engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelProcess()
	e.faults.discardHeld()
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

// ServeHTTP handles one call.
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
		after, err := strconv.ParseUint(zeroIfEmpty(r.URL.Query().Get("after")), 10, 64)
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

// report returns a report that is up to _reportLag old.
func (e *engine) report() vrengine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); e.lastReportAt.IsZero() || now.Sub(e.lastReportAt) >= _reportLag {
		e.lastReport = e.buildReport()
		e.lastReportAt = now
	}
	return e.lastReport
}

func (e *engine) buildReport() vrengine.Report {
	report := vrengine.Report{
		Server:        e.Server,
		Boot:          vrid.BootID(e.bootID()),
		Leaving:       e.leaving,
		Role:          e.role,
		Running:       e.slots.running(e.Pool.Slots),
		Waiting:       e.slots.waiting(),
		Slots:         e.Pool.Slots,
		Memory:        e.Pool.Memory,
		MemoryUsed:    e.memoryUsed,
		Models:        []vrengine.ModelReport{},
		Cached:        e.copies.report(),
		AppliedOrders: append([]vrid.OrderID(nil), e.appliedOrders...),
		HighestEpoch:  e.highestFencingToken.Epoch,
	}
	for id, base := range e.replicas {
		model := vrengine.ModelReport{Model: id, State: "loading"}
		if base.loaded() {
			model.State = "loaded"
		}
		for adapterID, adapter := range base.adapters {
			if adapter.loaded() {
				model.Adapters = append(model.Adapters, adapterID)
			}
		}
		report.Models = append(report.Models, model)
	}
	return report
}

func (e *engine) serveKVExport(w http.ResponseWriter, r *http.Request) {
	var body vrengine.KVExportRequest
	if !readJSON(w, r, &body) {
		return
	}
	e.Journal.Add(Entry{Kind: JournalKV, Server: e.Server, Request: body.RequestID, Bytes: _kvSize, Detail: "export"})
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(make([]byte, _kvSize))
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

// readJSON decodes the request body into target and responds with 400 if it is
// malformed.
func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, _maxRequestBody))
	if err := decoder.Decode(target); err != nil {
		writeJSON(w, http.StatusBadRequest, vrengine.OrderAnswer{Error: err.Error()})
		return false
	}
	return true
}

// waitWhileStopped blocks while the engine is stopped. It returns false if ctx ends
// first.
func (f *engineFaults) waitWhileStopped(ctx context.Context) bool {
	const pollInterval = 20 * time.Millisecond
	for f.stopped.active() {
		if vrpause.For(ctx, pollInterval) != nil {
			return false
		}
	}
	return true
}
