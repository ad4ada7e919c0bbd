// Package vrnode is the runtime of a gateway: it feeds events to the reducer under one
// lock, carries out its effects, and follows the platform's store.
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

// tickInterval is the pause between two Tick events. It bounds how late a waiting call
// learns that its adapter is ready, which takes about ten milliseconds to load.
const tickInterval = 25 * time.Millisecond

// Node is a gateway daemon.
type Node struct {
	settings *vrsettings.Gateway
	log      *zap.Logger
	clock    Clock
	boot     vrid.BootID

	front   *vrrelay.Front
	store   *vradapter.Store
	engine  *vradapter.Engine
	peers   *vrpeer.Hub
	metrics *metrics

	mu      sync.Mutex
	state   *vrgateway.State
	effects vrevent.Effects

	ready   atomic.Bool
	leaving atomic.Bool
	catalog atomic.Pointer[vrcatalog.Catalog]
	// grace is the time for a shutdown, which new settings may change.
	grace  atomic.Int64
	base   context.Context
	cancel context.CancelFunc
	loops  conc.WaitGroup
}

// New builds a Node that does not run yet. dropped counts the log lines that were dropped,
// by kind.
func New(settings *vrsettings.Gateway, log *zap.Logger, dropped func() map[string]uint64) *Node {
	n := &Node{settings: settings, log: log, boot: vrid.BootID(ulid.Make().String()), engine: vradapter.NewEngine()}
	n.base, n.cancel = context.WithCancel(context.Background())
	n.grace.Store(int64(settings.Bounds.Grace.Std()))
	n.metrics = newMetrics(n, dropped)
	n.store = vradapter.NewStore(vradapter.StoreOptions{
		Address: settings.Store, Calls: n.metrics.storeCall, Bad: n.badObject(),
	})
	bounds := settings.Bounds
	n.state = vrgateway.New(vrgateway.Options{
		Daemon: settings.Daemon, Boot: n.boot, Address: settings.Peers, Zone: settings.Zone, Regions: settings.Regions,
		Seed: rand.Uint64(),
		Bounds: vrgateway.Bounds{
			Lease:   bounds.Lease.Std(),
			Retries: retryOptions(bounds),
			Ceiling: vrresidence.Ceiling{Window: bounds.CeilingWindow.Std(), Factor: bounds.CeilingFactor},
		},
	})
	n.front = vrrelay.New(vrrelay.Options{
		Submit: n.Submit, Dialect: vradapter.Headers{}, Clock: n.clock, Limits: n.limits,
	})
	return n
}

// badObject logs each unreadable object once.
func (n *Node) badObject() vradapter.Bad {
	var mu sync.Mutex
	seen := make(map[string]bool)
	return func(kind, name string, err error) {
		mu.Lock()
		known := seen[kind+"/"+name]
		seen[kind+"/"+name] = true
		mu.Unlock()
		if !known {
			n.log.Warn("object ignored", zap.String("kind", kind), zap.String("name", name), zap.Error(err))
		}
	}
}

func (n *Node) limits() vrcatalog.Limits {
	if catalog := n.catalog.Load(); catalog != nil {
		return catalog.Limits
	}
	return vrcatalog.Limits{}
}

// Submit reduces an event and carries out its effects.
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
		n.loops.Go(func() { n.readObject(e) })
	case vrevent.WriteObject:
		n.loops.Go(func() { n.writeObject(e) })
	case vrevent.SendPlacementOrder:
		n.loops.Go(func() { n.giveOrder(e.Order) })
	case vrevent.ReadStatus:
		n.loops.Go(func() { n.readStatus(e) })
	case vrevent.CallEnded:
		n.metrics.callEnded(&e)
	case vrevent.LoadEnded:
		n.metrics.loadEnded(&e)
	default:
		n.front.Handle(effect)
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

// Reload takes new settings. Bounds take effect at once; addresses and the zone only with
// the next start, which the log says.
func (n *Node) Reload(settings *vrsettings.Gateway) {
	n.Submit(vrevent.RetryOptionsChanged{Options: retryOptions(settings.Bounds)})
	n.grace.Store(int64(settings.Bounds.Grace.Std()))
	fixed := settings.Callers != n.settings.Callers || settings.Peers != n.settings.Peers || settings.Zone != n.settings.Zone
	n.log.Info("settings reloaded", zap.Bool("needsRestart", fixed))
}

// Run serves until the context ends, then shuts down within the grace.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("gateway starts", zap.String("daemon", string(n.settings.Daemon)), zap.String("boot", string(n.boot)),
		zap.String("zone", string(n.settings.Zone)), zap.String("callers", n.settings.Callers),
		zap.Bool("firstStart", n.settings.FirstStart))
	callers, err := n.listen()
	if err != nil {
		return err
	}
	n.loops.Go(func() {
		if err := n.front.Serve(callers); err != nil && n.base.Err() == nil {
			n.log.Error("callers' server ended", vrlog.Error(err))
		}
	})
	n.loops.Go(n.tick)
	n.loops.Go(n.followCatalog)
	n.loops.Go(n.followServers)
	n.loops.Go(n.followPeers)
	<-ctx.Done()
	return n.shutdown()
}

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
		server := &http.Server{Handler: service.handler, ReadHeaderTimeout: controlTimeout}
		n.loops.Go(func() { _ = server.Serve(listener) })
		context.AfterFunc(n.base, func() { _ = server.Close() })
	}
	n.peers, err = vrpeer.Start(n.base, vrpeer.Options{
		Self: n.settings.Daemon, Boot: n.boot, Zone: n.settings.Zone, Listen: n.settings.Peers, Insecure: true,
		OnReceive:     func(e *vrwire.Envelope) { n.Submit(vrevent.PeerMessage{Envelope: e}) },
		OnUnreachable: func(peer vrid.DaemonID) { n.Submit(vrevent.PeerUnreachable{Peer: peer}) },
		Log:           n.log,
	})
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return callers, nil
}

// controlTimeout bounds a control client that sends slowly.
const controlTimeout = 2 * time.Second

// serveReady answers the balancer.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.leaving.Load() || !n.ready.Load() {
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
		case <-n.base.Done():
			return
		}
	}
}

// Times of a graceful shutdown.
const (
	// rotationTime is how long the balancer may go on to send new connections: two
	// questions a second apart have to fail.
	rotationTime = 2500 * time.Millisecond
	// answerTime before the end of the grace, open calls get their final answers.
	answerTime = 900 * time.Millisecond
	// exitMargin is kept from the end of the grace.
	exitMargin = 400 * time.Millisecond
)

// shutdown leaves the balancer's rotation, lets open calls end and gives the lease up.
func (n *Node) shutdown() error {
	begun := time.Now()
	n.leaving.Store(true)
	n.front.Leave()
	n.log.Info("gateway stops", zap.Int("openCalls", n.front.Active()))
	n.Submit(vrevent.ShutdownRequested{})
	time.Sleep(rotationTime)
	expire := time.AfterFunc(time.Until(begun.Add(time.Duration(n.grace.Load())-answerTime)), func() {
		n.Submit(vrevent.GracePeriodEnding{})
		n.front.Expire()
	})
	defer expire.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(time.Duration(n.grace.Load())-exitMargin))
	defer cancel()
	err := n.front.Close(ctx)
	n.log.Info("gateway stopped", zap.Int("openCalls", n.front.Active()), zap.Duration("took", time.Since(begun)))
	n.cancel()
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("shutdown with open calls: %w", err)
	}
	return nil
}
