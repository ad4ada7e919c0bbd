// Package vrserve is the runtime of the daemon: it passes events to the reducer under
// one lock and executes the resulting effects on bounded worker pools.
package vrserve

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"

	"verbenaroute.example/verbenacore/vrclient"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrsettings"
	"verbenaroute.example/verbenacore/vrwire"

	"verbenaroute.example/verbenaroute/internal/vrlog"
)

// Numbers of workers and queue sizes of the worker pools. A daemon polls about 3 servers;
// a zone owner alone in its zone polls all of them. An order may take as long as loading
// a model, so each order of a zone needs a worker of its own.
const (
	_platformQueueSize = 256
	_pollWorkers       = 16
	_pollQueueSize     = 512
	_orderWorkers      = 64
	_orderQueueSize    = 1024
	_queryWorkers      = 4
	_queryQueueSize    = 64
)

// Timeouts of the calls that the runtime makes itself.
const (
	_platformTimeout = 5 * time.Second
	_pollTimeout     = time.Second
	_orderTimeout    = 2 * time.Minute
)

// Reducer is the state machine that turns events into effects; vrreducer.State implements
// it.
type Reducer interface {
	Reduce(now time.Time, event vrevent.Event, effects *vrevent.Effects)
	// Configuration returns the configuration in force, or nil.
	Configuration() *vrconfig.Index
}

// Platform calls the platform; vrclient.Platform implements it.
type Platform interface {
	Read(ctx context.Context, key string) vrclient.ReadResult
	Write(ctx context.Context, key string, ifVersion vrid.ObjectVersion, value []byte) vrclient.WriteResult
	List(ctx context.Context, prefix string, values bool) vrclient.ListResult
	Watch(ctx context.Context, prefix string, after vrid.ObjectVersion, wait time.Duration) vrclient.WatchResult
	VMs(ctx context.Context) vrclient.VMsResult
}

// Engines polls language servers and sends them orders; vrclient.Engine implements it.
type Engines interface {
	Report(ctx context.Context, address string) (*vrengine.Report, error)
	Order(ctx context.Context, address string, order vrengine.Order) vrclient.OrderResult
}

// Peers sends messages to other daemons. Send does not block.
type Peers interface {
	Send(peer vrid.DaemonID, address string, envelope *vrwire.Envelope)
}

// RequestHandler executes the effects that belong to callers' requests. Handle does not
// block; it returns false if the effect is of another kind.
type RequestHandler interface {
	Handle(effect vrevent.Effect) bool
}

// Observer records the runtime's activity for the metrics.
type Observer interface {
	// CountEntry counts an entry of the record. target is the latency target of its rank, or
	// zero without a configuration.
	CountEntry(entry *vrrecord.Entry, target time.Duration)
	SetConfigVersion(version vrid.ConfigVersion)
	EffectDropped(kind string)
	EffectPanicked()
	SetReady(ready bool, reason string)
}

// Options holds the options of New.
type Options struct {
	Reducer  Reducer
	Platform Platform
	Engines  Engines
	Peers    Peers
	Requests RequestHandler
	Observer Observer
	Log      *zap.Logger
	// PlatformConcurrency is the maximum number of concurrent platform calls, not counting
	// the configuration watch. Zero means vrsettings.DefaultPlatformConcurrency.
	PlatformConcurrency int
}

// Runtime runs one reducer: it serializes its events and executes its effects.
type Runtime struct {
	options Options
	configs vrconfig.Store
	baseCtx context.Context
	cancel  context.CancelFunc

	// mu serializes all events. Effects are dispatched under it, so that two effects for
	// one request or one peer keep their order; nothing blocks while it is held.
	mu            sync.Mutex
	effects       vrevent.Effects
	stopped       chan struct{}
	stoppedClosed bool
	// drained is closed when no request runs and the callers' port has to close.
	drained     chan struct{}
	drainedOnce sync.Once
	// failed is closed when the reducer panicked: its state may be partly updated, so its
	// further decisions can't be trusted.
	failed   chan struct{}
	failOnce sync.Once
	// started is closed by Start; peers' messages wait for it.
	started chan struct{}

	platformPool *workerPool
	pollPool     *workerPool
	orderPool    *workerPool
	queryPool    *workerPool
	background   conc.WaitGroup
	watcher      *configWatcher

	handlers  handlers
	proposals proposals
	// eventCount is the number of events so far.
	eventCount atomic.Uint64
}

// New builds a Runtime; Start starts it.
func New(options Options) *Runtime {
	r := &Runtime{
		options: options,
		stopped: make(chan struct{}),
		started: make(chan struct{}),
		drained: make(chan struct{}),
		failed:  make(chan struct{}),
	}
	r.baseCtx, r.cancel = context.WithCancel(context.Background())
	if options.PlatformConcurrency <= 0 {
		options.PlatformConcurrency = vrsettings.DefaultPlatformConcurrency
	}
	r.platformPool = r.newPool(options.PlatformConcurrency, _platformQueueSize)
	r.pollPool = r.newPool(_pollWorkers, _pollQueueSize)
	r.orderPool = r.newPool(_orderWorkers, _orderQueueSize)
	r.queryPool = r.newPool(_queryWorkers, _queryQueueSize)
	r.watcher = newConfigWatcher(r)
	r.proposals.pending = make(map[uint64]*proposal)
	return r
}

func (r *Runtime) newPool(workers, queue int) *workerPool {
	return newWorkerPool(workerPoolOptions{Workers: workers, Queue: queue, OnPanic: r.reportPanic})
}

func (r *Runtime) reportPanic(recovered *panics.Recovered) {
	r.options.Observer.EffectPanicked()
	r.options.Log.Error("effect panicked", vrlog.Error(recovered.AsError()))
}

// Bind sets the dependencies that need the Runtime for their own construction. It must be
// called before Start.
func (r *Runtime) Bind(requests RequestHandler, peers Peers) {
	r.options.Requests = requests
	r.options.Peers = peers
}

// Configs returns the store of the newest configuration.
func (r *Runtime) Configs() *vrconfig.Store { return &r.configs }

// EventCount returns the number of events so far.
func (r *Runtime) EventCount() uint64 { return r.eventCount.Load() }

// Start submits the Started event and starts the periodic ticks.
func (r *Runtime) Start() {
	r.Submit(vrevent.Started{})
	close(r.started)
	r.background.Go(r.tick)
}

func (r *Runtime) tick() {
	ticker := time.NewTicker(vrevent.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.Submit(vrevent.Tick{})
		case <-r.baseCtx.Done():
			return
		}
	}
}

// Drained returns a channel that is closed when no request runs any more and the callers'
// port has to close.
func (r *Runtime) Drained() <-chan struct{} { return r.drained }

// Failed returns a channel that is closed when the reducer panicked. The process must then
// exit: a successor takes over what it owned, and the invariants depend only on what is
// stored on the platform.
func (r *Runtime) Failed() <-chan struct{} { return r.failed }

// Stopped returns a channel that is closed after the reducer has finished its shutdown.
func (r *Runtime) Stopped() <-chan struct{} { return r.stopped }

// Close stops the ticks and the configuration watch, discards queued effects and waits
// for running ones.
func (r *Runtime) Close() {
	r.cancel()
	r.watcher.setEnabled(false)
	for _, pool := range []*workerPool{r.platformPool, r.pollPool, r.orderPool, r.queryPool} {
		pool.close()
	}
	r.background.Wait()
}

// Submit passes an event to the reducer and dispatches its effects. For each effect that
// a full queue rejects, it submits the event that reports the failure.
func (r *Runtime) Submit(event vrevent.Event) {
	failures := r.reduce(event)
	for len(failures) > 0 {
		event, failures = failures[0], failures[1:]
		failures = append(failures, r.reduce(event)...)
	}
}

func (r *Runtime) reduce(event vrevent.Event) (failures []vrevent.Event) {
	r.eventCount.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.effects.Reset()
	recovered := panics.Try(func() { r.options.Reducer.Reduce(time.Now(), event, &r.effects) })
	if recovered != nil {
		r.reportPanic(recovered)
		r.failOnce.Do(func() { close(r.failed) })
	}
	r.publishConfig()
	for _, effect := range r.effects.List {
		if failure := r.execute(effect); failure != nil {
			failures = append(failures, failure)
		}
	}
	return failures
}

// publishConfig publishes the reducer's configuration to Configs, which the callers'
// interface reads.
func (r *Runtime) publishConfig() {
	index := r.options.Reducer.Configuration()
	if index != nil && r.configs.Advance(index) {
		r.options.Observer.SetConfigVersion(index.Fleet.Version)
	}
}

// Inspect runs read-only code on the reducer's state between two events.
func (r *Runtime) Inspect(read func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	read()
}

// execute dispatches one effect. If it can't be queued, failure is the event that reports
// this to the reducer.
func (r *Runtime) execute(effect vrevent.Effect) (failure vrevent.Event) {
	switch e := effect.(type) {
	case vrevent.ReadObject:
		return r.enqueue(r.platformPool, "readObject", func() { r.readObject(e) }, vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeUnavailable})
	case vrevent.WriteObject:
		return r.enqueue(r.platformPool, "writeObject", func() { r.writeObject(e) }, vrevent.ObjectWritten{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeUnavailable})
	case vrevent.ListObjects:
		return r.enqueue(r.platformPool, "listObjects", func() { r.listObjects(e) }, vrevent.ObjectsListed{Op: e.Op, Prefix: e.Prefix, Outcome: vrplatform.OutcomeUnavailable})
	case vrevent.ListVMs:
		return r.enqueue(r.platformPool, "listVMs", r.listVMs, vrevent.VMsListed{Outcome: vrplatform.OutcomeUnavailable})
	case vrevent.PollServer:
		return r.enqueue(r.pollPool, "pollServer", func() { r.pollServer(e) }, vrevent.ReportFailed{Server: e.Server})
	case vrevent.SendOrder:
		// The order was never sent, but OrderOutcomeUnknown is the only failure status that
		// the reducer may rely on.
		return r.enqueue(r.orderPool, "sendOrder", func() { r.sendOrder(e) }, vrevent.OrderAnswered{Server: e.Server, Order: e.Order, Status: vrengine.OrderOutcomeUnknown})
	case vrevent.SendPeer:
		r.options.Peers.Send(e.Peer, e.Address, e.Envelope)
	case vrevent.WatchConfig:
		r.watcher.setEnabled(e.On)
	case vrevent.ConfigDecided:
		r.deliverDecision(e)
	case vrevent.AppendEntry:
		r.appendEntry(e.Entry)
	case vrevent.SetReady:
		r.options.Observer.SetReady(e.Ready, e.Reason)
	case vrevent.CloseCallers:
		r.drainedOnce.Do(func() { close(r.drained) })
	case vrevent.Stopped:
		r.closeStopped()
	case vrevent.Log:
		r.log(e)
	default:
		if !r.options.Requests.Handle(effect) {
			r.options.Observer.EffectDropped("unknown")
		}
	}
	return nil
}

// enqueue submits a task to a worker pool. If the pool rejects it, enqueue counts the
// dropped effect and returns the event that reports the failure.
func (r *Runtime) enqueue(pool *workerPool, kind string, task func(), failure vrevent.Event) vrevent.Event {
	if pool.submit(task) {
		return nil
	}
	r.options.Observer.EffectDropped(kind)
	return failure
}

func (r *Runtime) closeStopped() {
	if r.stoppedClosed {
		return
	}
	r.stoppedClosed = true
	close(r.stopped)
}

func (r *Runtime) appendEntry(entry vrrecord.Entry) {
	var target time.Duration
	if index := r.configs.Current(); index != nil {
		target = index.Fleet.RankPolicyOf(entry.Rank).Target.Std()
	}
	r.options.Observer.CountEntry(&entry, target)
	if handler := r.handlers.entry.Load(); handler != nil {
		(*handler)(entry)
	}
}

func (r *Runtime) log(e vrevent.Log) {
	fields := make([]zap.Field, len(e.Fields))
	for i, field := range e.Fields {
		fields[i] = zap.String(field.Name, field.Value)
	}
	switch e.Level {
	case vrevent.LogWarn:
		r.options.Log.Warn(e.Message, fields...)
	case vrevent.LogError:
		r.options.Log.Error(e.Message, fields...)
	case vrevent.LogInfo:
		r.options.Log.Info(e.Message, fields...)
	}
}
