// Package vrnode implements the runtime of a gateway: it passes events to the reducer under
// one lock, carries out the effects that the reducer returns, and keeps up with changes in
// the platform's store.
package vrnode

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"verbenaroute.example/platform/vradapter"
	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrgateway"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrpeer"
	"verbenaroute.example/verbenacore/vrresidence"
	"verbenaroute.example/verbenacore/vrretry"
	"verbenaroute.example/verbenacore/vrsettings"
	"verbenaroute.example/verbenacore/vrwire"

	"verbenaroute.example/verbenaroute/internal/vrlog"
	"verbenaroute.example/verbenaroute/internal/vrrelay"
)

// tickInterval is the interval between two Tick events. It is the longest delay until a
// waiting call is sent after its adapter, which takes about ten milliseconds to load, is ready.
const tickInterval = 25 * time.Millisecond

// bufferedMemoryDivisor is the divisor of the memory of the process that gives the memory for the buffers of
// responses. As much again may be garbage, and the rest is needed for connections and state.
const bufferedMemoryDivisor = 8

// silenceDivisor is the divisor of ContactTimeout that gives the time after which a silent session with another
// daemon ends, so that another one is open within ContactTimeout.
const silenceDivisor = 2

// bodyMemoryDivisor is the divisor of the memory of the process that gives the memory for the bodies of
// requests. Bodies that were released may take as much again until they are collected.
const bodyMemoryDivisor = 4

// Node is a gateway daemon.
type Node struct {
	settings *vrsettings.Gateway
	log      *zap.Logger
	clock    Clock
	boot     vrid.BootID

	proxy   *vrrelay.Proxy
	store   *vradapter.Store
	engine  *vradapter.Engine
	peers   *vrpeer.Hub
	metrics *metrics

	mu      sync.Mutex
	state   *vrgateway.State
	effects vrevent.Effects
	// ordersStopped is set once no order may be written any more.
	ordersStopped bool

	ready        atomic.Bool
	shuttingDown atomic.Bool
	catalog      atomic.Pointer[vrcatalog.Catalog]
	planned      plannedWork
	// restores is the number of restores of the store that this daemon has noticed. restored wakes
	// followPeers after one.
	restores atomic.Uint64
	restored chan struct{}
	// grace is the time limit of a shutdown in nanoseconds, which Reload may change.
	grace atomic.Int64
	// baseCtx is the context of all background work; cancel ends it after a shutdown.
	baseCtx context.Context
	cancel  context.CancelFunc
	// tasks are the goroutines of the node.
	tasks conc.WaitGroup
}

// New returns a Node that does not run yet. droppedLines returns the number of dropped log
// lines by kind.
func New(settings *vrsettings.Gateway, log *zap.Logger, droppedLines func() map[string]uint64) *Node {
	n := &Node{settings: settings, log: log, boot: vrid.BootID(ulid.Make().String()), engine: vradapter.NewEngine(), restored: make(chan struct{}, 1)}
	n.baseCtx, n.cancel = context.WithCancel(context.Background())
	n.grace.Store(int64(settings.Bounds.GracePeriod.Std()))
	n.metrics = newMetrics(n, droppedLines)
	n.store = vradapter.NewStore(vradapter.StoreOptions{
		Address: settings.Store, OnCall: n.metrics.storeCall, OnInvalidObject: n.invalidObjectLogger(),
		OnRestored: n.storeRestored,
	})
	bounds := settings.Bounds
	n.state = vrgateway.New(vrgateway.Options{
		Daemon: settings.Daemon, Boot: n.boot, Address: settings.Peers, Zone: settings.Zone, Regions: settings.Regions,
		Seed: rand.Uint64(), FirstStart: settings.FirstStart, CPU: settings.CPU,
		Bounds: vrgateway.Bounds{
			Lease:   bounds.Lease.Std(),
			Retries: retryOptions(bounds),
			Ceiling: vrresidence.Ceiling{Window: bounds.CeilingWindow.Std(), Factor: bounds.CeilingFactor},

			Revocation: bounds.Revocation.Std(), CatalogApply: bounds.CatalogApply.Std(),
			QuotaWindow: bounds.QuotaWindow.Std(), QuotaOverrun: bounds.QuotaOverrun, QuotaSlack: bounds.QuotaSlack,
		},
	})
	n.proxy = vrrelay.New(vrrelay.Options{
		Submit: n.Submit, Dialect: vradapter.Headers{}, Clock: n.clock, Limits: n.limits,
		MaxResponseHead: settings.Limits.ResponseHead, OnCut: n.requestCut, MaxBuffered: settings.Memory / bufferedMemoryDivisor,
		MaxBodies: settings.Memory / bodyMemoryDivisor, OnNoMemory: n.requestWithoutMemory,
		OnStatusReplaced: n.statusReplaced,
	})
	return n
}

// invalidObjectLogger returns a function that logs each invalid object once.
func (n *Node) invalidObjectLogger() vradapter.InvalidObjectFunc {
	var mu sync.Mutex
	seen := make(map[string]bool)
	return func(kind, name string, err error) {
		mu.Lock()
		logged := seen[kind+"/"+name]
		seen[kind+"/"+name] = true
		mu.Unlock()
		if !logged {
			n.log.Warn("invalid object ignored", zap.String("kind", kind), zap.String("name", name), zap.Error(err))
		}
	}
}

// storeRestored reports that the store was restored from a copy.
func (n *Node) storeRestored(era vrid.StoreEra) {
	n.Submit(vrevent.StoreRestored{Era: era})
	n.restores.Add(1)
	select {
	case n.restored <- struct{}{}:
	default:
	}
}

// limits returns the limits of the catalog in force, or zero limits before the first catalog.
func (n *Node) limits() vrcatalog.Limits {
	if catalog := n.catalog.Load(); catalog != nil {
		return catalog.Limits
	}
	return vrcatalog.Limits{}
}

// Submit passes an event to the reducer and carries out the resulting effects.
func (n *Node) Submit(event vrevent.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	defer n.effects.Reset()
	if ended, ok := event.(vrevent.SendEnded); ok {
		n.metrics.sendEnded(ended.Result)
	}
	n.state.Reduce(n.clock.Now(), event, &n.effects)
	if catalog := n.state.Catalog(); catalog != n.catalog.Load() {
		n.catalog.Store(catalog)
		markNow(&n.planned.catalogAt)
	}
	for _, effect := range n.effects.List {
		n.execute(effect)
	}
}

func (n *Node) execute(effect vrevent.Effect) {
	switch e := effect.(type) {
	case vrevent.Log:
		n.writeLog(e)
	case vrevent.SendPeer:
		n.peers.Send(e.Peer, e.Address, e.Envelope)
	case vrevent.ReadObject:
		n.tasks.Go(func() { n.readObject(e) })
	case vrevent.WriteObject:
		n.tasks.Go(func() { n.writeObject(e) })
	case vrevent.SendPlacementOrder:
		n.tasks.Go(func() { n.sendOrder(e.Order) })
	case vrevent.StopOrders:
		n.ordersStopped = true
	case vrevent.DialPeer:
		n.tasks.Go(func() { n.dialPeer(e) })
	case vrevent.ReadStatus:
		n.tasks.Go(func() { n.readStatus(e) })
	case vrevent.CheckLeaving:
		n.tasks.Go(func() { n.checkLeaving(e) })
	case vrevent.ReservePlace:
		n.tasks.Go(func() { n.reservePlace(e) })
	case vrevent.CallEnded:
		n.metrics.callEnded(&e)
	case vrevent.LoadEnded:
		n.metrics.loadEnded(&e)
	default:
		n.proxy.HandleEffect(effect)
	}
}

func (n *Node) writeLog(e vrevent.Log) {
	fields := make([]zap.Field, len(e.Fields))
	for i, field := range e.Fields {
		fields[i] = zap.String(field.Name, field.Value)
	}
	switch e.Level {
	case vrevent.LogWarn:
		n.log.Warn(e.Message, fields...)
	case vrevent.LogError:
		n.log.Error(e.Message, fields...)
	case vrevent.LogInfo:
		n.log.Info(e.Message, fields...)
	}
}

func retryOptions(bounds vrsettings.GatewayBounds) vrretry.Options {
	return vrretry.Options{Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow.Std()}
}

// Reload applies new settings. The retry limits and the grace period take effect at once.
// Changed addresses or a changed zone need a restart, which the log line then says.
func (n *Node) Reload(settings *vrsettings.Gateway) {
	markNow(&n.planned.reloadedAt)
	n.Submit(vrevent.RetryOptionsChanged{Options: retryOptions(settings.Bounds)})
	n.grace.Store(int64(settings.Bounds.GracePeriod.Std()))
	needsRestart := settings.Callers != n.settings.Callers || settings.Peers != n.settings.Peers || settings.Zone != n.settings.Zone
	n.log.Info("settings reloaded", zap.Bool("needsRestart", needsRestart))
}

// Run serves until the context is done, then shuts down within the grace period.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("gateway starting", zap.String("daemon", string(n.settings.Daemon)), zap.String("boot", string(n.boot)),
		zap.String("zone", string(n.settings.Zone)), zap.String("callers", n.settings.Callers),
		zap.Bool("firstStart", n.settings.FirstStart))
	callers, err := n.listen()
	if err != nil {
		return err
	}
	n.tasks.Go(func() {
		if err := n.proxy.Serve(callers); err != nil && n.baseCtx.Err() == nil {
			n.log.Error("proxy server stopped", vrlog.Error(err))
		}
	})
	n.tasks.Go(n.tick)
	n.tasks.Go(n.followCatalog)
	n.tasks.Go(n.followServers)
	n.tasks.Go(n.followPeers)
	<-ctx.Done()
	return n.shutdown()
}

// listen opens all addresses and starts the readiness, metrics and peer servers. It returns
// the callers' listener.
func (n *Node) listen() (net.Listener, error) {
	callers, err := net.Listen("tcp", n.settings.Callers)
	if err != nil {
		return nil, fmt.Errorf("callers: %w", err)
	}
	for name, service := range map[string]struct {
		address string
		handler http.Handler
	}{
		"readiness": {n.settings.Readiness, http.HandlerFunc(n.serveReady)},
		"metrics":   {n.settings.Metrics, http.HandlerFunc(n.metrics.serve)},
	} {
		listener, err := net.Listen("tcp", service.address)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		server := &http.Server{Handler: service.handler, ReadHeaderTimeout: readHeaderTimeout}
		n.tasks.Go(func() { _ = server.Serve(listener) })
		context.AfterFunc(n.baseCtx, func() { _ = server.Close() })
	}
	n.peers, err = vrpeer.Start(n.baseCtx, vrpeer.Options{
		Self: n.settings.Daemon, Boot: n.boot, Zone: n.settings.Zone, Listen: n.settings.Peers, Insecure: true,
		SilenceTimeout: n.settings.Bounds.ContactTimeout.Std() / silenceDivisor,
		OnReceive:      func(e *vrwire.Envelope) { n.Submit(vrevent.PeerMessage{Envelope: e}) },
		OnUnreachable: func(peer vrid.DaemonID, refused bool) {
			n.Submit(vrevent.PeerUnreachable{Peer: peer, Refused: refused})
		},
		Log: n.log,
	})
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return callers, nil
}

// readHeaderTimeout is the time limit for the request headers of a readiness or metrics
// client.
const readHeaderTimeout = 2 * time.Second

// serveReady is the readiness check of the load balancer.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.shuttingDown.Load() || !n.ready.Load() || !n.proxy.CanAccept() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.Submit(vrevent.Tick{})
		case <-n.baseCtx.Done():
			return
		}
	}
}

// Durations of a graceful shutdown.
const (
	// balancerRemovalTime is how long the load balancer may go on sending new connections: it
	// stops after two failed readiness checks, which are a second apart.
	balancerRemovalTime = 2500 * time.Millisecond
	// finalAnswerMargin is how long before the end of the grace period open calls get their
	// final responses.
	finalAnswerMargin = 900 * time.Millisecond
	// exitMargin is how long before the end of the grace period connections that are still
	// open are closed.
	exitMargin = 400 * time.Millisecond
)

// shutdown fails the readiness checks, so that the load balancer stops sending connections,
// waits for open calls and releases the lease.
func (n *Node) shutdown() error {
	startedAt := time.Now()
	n.shuttingDown.Store(true)
	markNow(&n.planned.stoppedAt)
	n.proxy.StartDraining()
	n.log.Info("gateway stopping", zap.Int("openCalls", n.proxy.Active()))
	n.Submit(vrevent.ShutdownRequested{AnswerBy: n.clock.Now().Add(time.Duration(n.grace.Load()) - finalAnswerMargin)})
	time.Sleep(balancerRemovalTime)
	finalTimer := time.AfterFunc(time.Until(startedAt.Add(time.Duration(n.grace.Load())-finalAnswerMargin)), func() {
		n.Submit(vrevent.GracePeriodEnding{})
		n.proxy.AbortSends()
	})
	defer finalTimer.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(time.Duration(n.grace.Load())-exitMargin))
	defer cancel()
	err := n.proxy.Close(ctx)
	n.log.Info("gateway stopped", zap.Int("openCalls", n.proxy.Active()), zap.Duration("took", time.Since(startedAt)))
	n.cancel()
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("shutdown with open calls: %w", err)
	}
	return nil
}
