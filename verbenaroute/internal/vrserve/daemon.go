package vrserve

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/oklog/ulid/v2"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"verbenaroute.example/verbenacore/vrclient"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrpeer"
	"verbenaroute.example/verbenacore/vrreducer"
	"verbenaroute.example/verbenacore/vrsettings"

	"verbenaroute.example/verbenaroute/internal/vradmin"
	"verbenaroute.example/verbenaroute/internal/vrfront"
	"verbenaroute.example/verbenaroute/internal/vrlog"
)

// ListenError reports an address that the daemon could not listen on.
type ListenError struct {
	// Field is the name of the setting that holds the address.
	Field   string
	Address string
	Err     error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("%s: listen on %s: %v", e.Field, e.Address, e.Err)
}

func (e *ListenError) Unwrap() error { return e.Err }

// ShutdownTimeoutError reports that the shutdown timed out before all requests and the
// reducer had finished.
type ShutdownTimeoutError struct {
	// Requests is the number of requests that were still running.
	Requests int
	// ReducerStopped is false if the reducer had not finished its shutdown.
	ReducerStopped bool
}

func (e *ShutdownTimeoutError) Error() string {
	return fmt.Sprintf("shutdown timed out with %d running requests, reducer stopped: %t", e.Requests, e.ReducerStopped)
}

// DaemonOptions holds the options of NewDaemon.
type DaemonOptions struct {
	Settings *vrsettings.Settings
	Log      *zap.Logger
}

// Daemon combines the parts of a daemon: the runtime, the listeners for callers and
// operators, and the sessions with peers.
type Daemon struct {
	settings *vrsettings.Settings
	log      *zap.Logger
	boot     vrid.BootID

	// Runtime, State and Metrics are exported for the operators' handlers. State must
	// only be read inside Runtime.Inspect.
	Runtime *Runtime
	State   *vrreducer.State
	Metrics *vradmin.Metrics

	readiness        *vradmin.Readiness
	front            *vrfront.Front
	admin            *vradmin.Admin
	clients          clients
	peers            *vrpeer.Hub
	callerListener   net.Listener
	operatorListener net.Listener
	// servers are the goroutines of the HTTP servers.
	servers conc.WaitGroup
}

// clients holds the clients for outgoing calls.
type clients struct {
	platform *vrclient.Platform
	engine   *vrclient.Engine
	app      *vrclient.App
}

func (c *clients) close() {
	c.platform.Close()
	c.engine.Close()
	c.app.Close()
}

// NewDaemon builds a daemon and opens its listeners.
func NewDaemon(options DaemonOptions) (*Daemon, error) {
	d := &Daemon{
		settings:  options.Settings,
		log:       options.Log,
		boot:      vrid.BootID(ulid.Make().String()),
		readiness: vradmin.NewReadiness(),
	}
	d.Metrics = vradmin.NewMetrics(d.readiness)
	if err := d.openClients(); err != nil {
		return nil, err
	}
	d.buildRuntime()
	if err := d.openListeners(); err != nil {
		d.closeListeners()
		return nil, err
	}
	d.admin = vradmin.New(vradmin.Options{
		Readiness: d.readiness,
		Metrics:   d.Metrics,
		Mount:     d.newOperatorAPI().Mount,
	})
	return d, nil
}

func (d *Daemon) openClients() error {
	platform, err := vrclient.NewPlatform(vrclient.PlatformOptions{
		BaseURL:     d.settings.Platform,
		Rate:        d.settings.Limits.PlatformCallRate,
		Concurrency: d.settings.Limits.PlatformConcurrency,
		Metrics:     d.Metrics.Set(),
	})
	if err != nil {
		return fmt.Errorf("open platform client: %w", err)
	}
	d.clients = clients{
		platform: platform,
		engine:   vrclient.NewEngine(vrclient.EngineOptions{Metrics: d.Metrics.Set()}),
		app:      vrclient.NewApp(vrclient.AppOptions{Metrics: d.Metrics.Set()}),
	}
	return nil
}

func (d *Daemon) buildRuntime() {
	d.State = vrreducer.New(vrreducer.Options{
		Daemon:         d.settings.Daemon,
		Boot:           d.boot,
		Zone:           d.settings.Zone,
		PeerAddress:    d.settings.Peers,
		Seeds:          d.settings.Seeds,
		RandomSeed:     rand.Uint64(),
		MaxQueued:      d.settings.Limits.Queue,
		MaxQueueMemory: d.settings.Limits.QueueMemory,
	})
	d.Runtime = New(Options{
		Reducer:             d.State,
		Platform:            d.clients.platform,
		Engines:             d.clients.engine,
		Observer:            d.Metrics,
		Log:                 d.log,
		PlatformConcurrency: d.settings.Limits.PlatformConcurrency,
	})
	d.front = vrfront.New(vrfront.Options{
		Submitter: d.Runtime,
		Configs:   d.Runtime.Configs(),
		Backends:  &backends{engine: d.clients.engine, app: d.clients.app},
		Log:       d.log,
		Limits:    d.settings.Limits,
	})
	d.Metrics.AddWriter(d.writeScrapeMetrics)
}

func (d *Daemon) openListeners() (err error) {
	if d.callerListener, err = listen("callers", d.settings.Callers, d.settings.CallerTLS); err != nil {
		return err
	}
	if d.operatorListener, err = listen("operators", d.settings.Operators, d.settings.OperatorTLS); err != nil {
		return err
	}
	return d.startPeers()
}

// startPeers starts the sessions with other daemons. Messages received before
// Runtime.Start wait until it is called.
func (d *Daemon) startPeers() error {
	hub, err := vrpeer.Start(context.Background(), vrpeer.Options{
		Self:          d.settings.Daemon,
		Boot:          d.boot,
		Zone:          d.settings.Zone,
		Listen:        d.settings.Peers,
		TLS:           d.settings.PeerTLS,
		Insecure:      d.settings.InsecurePeers,
		OnReceive:     d.Runtime.HandlePeerMessage,
		OnUnreachable: func(peer vrid.DaemonID, _ bool) { d.Runtime.PeerUnreachable(peer) },
		Log:           d.log,
	})
	if err != nil {
		return &ListenError{Field: "peers", Address: d.settings.Peers, Err: err}
	}
	d.peers = hub
	d.Runtime.Bind(d.front, hub)
	return nil
}

func (d *Daemon) closeListeners() {
	for _, listener := range []net.Listener{d.callerListener, d.operatorListener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Run serves until ctx ends and then shuts down gracefully. It returns a
// ShutdownTimeoutError if the shutdown timed out.
func (d *Daemon) Run(ctx context.Context) error {
	d.log.Info("daemon starting",
		zap.String("daemon", string(d.settings.Daemon)),
		zap.String("zone", string(d.settings.Zone)),
		zap.String("boot", string(d.boot)),
		zap.String("callers", d.settings.Callers),
		zap.String("operators", d.settings.Operators),
		zap.String("peers", d.settings.Peers))
	d.serve("operators", func() error { return d.admin.Serve(d.operatorListener) })
	d.serve("callers", func() error { return d.front.Serve(d.callerListener) })
	d.Runtime.Start()
	select {
	case <-ctx.Done():
		return d.shutdown()
	case <-d.Runtime.Failed():
		return errReducerPanicked
	}
}

// errReducerPanicked is returned by Run when the reducer has panicked. The process then
// ends without a graceful shutdown.
var errReducerPanicked = errors.New("the reducer panicked, its state may be inconsistent")

// serve runs a server in a goroutine and logs the error that ended it.
func (d *Daemon) serve(name string, run func() error) {
	d.servers.Go(func() {
		if err := run(); err != nil && !errors.Is(err, net.ErrClosed) {
			d.log.Error("HTTP server stopped", zap.String("server", name), vrlog.Error(err))
		}
	})
}
