// Package vrfront serves the callers' HTTP API: the OpenAI-compatible model paths and
// calls to application services. It parses requests, submits them to the reducer as
// events and executes the effects that concern a single request: attempts at back ends,
// token streams, refusals and replays.
package vrfront

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/oklog/ulid/v2"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrsettings"
)

// Limits of the callers' HTTP API, as given in section 6 of the design page.
const (
	_maxHeaderBytes = 16 << 10
	_headerTimeout  = 10 * time.Second
	_bodyTimeout    = 30 * time.Second
	_idleTimeout    = 2 * time.Minute
	// _writeTimeout bounds a single write, so that a caller that stops reading does not
	// occupy its slot indefinitely.
	_writeTimeout = 30 * time.Second
	// _extraConnections is how many connections may be open in addition to one per queued
	// request. They serve running requests or are idle.
	_extraConnections = 8192
)

// Submitter submits events to the reducer. By the time Submit returns, the effects of
// the event have been passed to Front.Handle.
type Submitter interface {
	Submit(event vrevent.Event)
}

// ConfigSource provides the active configuration.
type ConfigSource interface {
	Current() *vrconfig.Index
}

// ServiceCall is one call to an application server.
type ServiceCall struct {
	Request vrid.RequestID
	Method  string
	// Target is the path and query of the request.
	Target      string
	ContentType string
	Key         vrid.IdempotencyKey
	Body        []byte
}

// ServiceAnswer is the response of an application server.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Backends calls language servers and application servers. Implementations must not
// retry calls.
type Backends interface {
	// Generate passes each line of the response to onToken, including the last one. It
	// returns a result that proves "not run" only if nothing ran, as defined by
	// vrevent.AttemptResult. If onToken returns an error, the call ends with
	// AttemptBroken.
	Generate(ctx context.Context, address string, request *vrengine.GenerateRequest, onToken func(*vrengine.Token) error) vrevent.AttemptResult
	// Cancel asks a language server to stop a request.
	Cancel(ctx context.Context, address string, request vrid.RequestID)
	// Call sends the call exactly once.
	Call(ctx context.Context, address string, call *ServiceCall) (ServiceAnswer, vrevent.AttemptResult)
	// Outcome asks the service how the call with the given key ended. If err is nil, found
	// is false only if the service knows that no call with this key ran.
	Outcome(ctx context.Context, address, path string, key vrid.IdempotencyKey) (answer ServiceAnswer, found bool, err error)
}

// Options configures a Front.
type Options struct {
	Submitter Submitter
	Configs   ConfigSource
	Backends  Backends
	Log       *zap.Logger
	// Limits that are zero take their default.
	Limits vrsettings.Limits
}

// Front is the HTTP server for callers.
type Front struct {
	options  Options
	server   *fasthttp.Server
	inflight *requestTable
	// bodyBytes is the memory reserved for request bodies. It never exceeds
	// Limits.QueueMemory.
	bodyBytes atomic.Int64
	// keepAlivesDisabled makes each response close its connection, so that callers reconnect
	// elsewhere. draining rejects new requests.
	keepAlivesDisabled atomic.Bool
	draining           atomic.Bool
	panics             atomic.Uint64
	// bodyTimeout is the time limit for receiving a request body.
	bodyTimeout time.Duration
	// tasks tracks the goroutines that call back ends or submit events.
	tasks      conc.WaitGroup
	baseCtx    context.Context
	cancelBase context.CancelFunc
	// serving counts the running calls of Serve.
	serving sync.WaitGroup

	mu        sync.Mutex
	shutDown  bool
	listeners []net.Listener
}

// New returns a Front that does not listen yet.
func New(options Options) *Front {
	withDefaults := (&vrsettings.Settings{Limits: options.Limits}).WithDefaults()
	options.Limits = withDefaults.Limits
	f := &Front{options: options, inflight: newRequestTable(), bodyTimeout: _bodyTimeout}
	f.baseCtx, f.cancelBase = context.WithCancel(context.Background())
	f.server = f.newServer()
	return f
}

func (f *Front) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		Name:                          "verbenaroute",
		Handler:                       f.wrapHandler(f.routes().Handler()),
		ErrorHandler:                  f.handleProtocolError,
		HeaderReceived:                f.bodyReadConfig,
		ReadBufferSize:                _maxHeaderBytes,
		ReadTimeout:                   _headerTimeout,
		WriteTimeout:                  _writeTimeout,
		IdleTimeout:                   _idleTimeout,
		MaxRequestBodySize:            int(f.options.Limits.Body),
		Concurrency:                   f.options.Limits.Queue + _extraConnections,
		StreamRequestBody:             true,
		DisablePreParseMultipartForm:  true,
		NoDefaultContentType:          true,
		DisableHeaderNamesNormalizing: false,
		Logger:                        discardLogger{},
	}
}

// bodyReadConfig replaces the read deadline of the header by that of the body. If the
// declared length exceeds the limit, fasthttp reads only one byte of the body before the
// handler rejects the request.
func (f *Front) bodyReadConfig(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if header.ContentLength() > int(f.options.Limits.Body) {
		return fasthttp.RequestConfig{ReadTimeout: f.bodyTimeout, MaxRequestBodySize: 1}
	}
	return fasthttp.RequestConfig{ReadTimeout: f.bodyTimeout}
}

// discardLogger discards fasthttp's messages about broken connections, because a
// malicious caller could cause an unlimited number of them.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func (f *Front) routes() *fiber.App {
	app := fiber.New(fiber.Config{
		AppName:           "verbenaroute",
		StreamRequestBody: true,
		BodyLimit:         int(f.options.Limits.Body),
		ErrorHandler:      f.handleRouteError,
	})
	app.Post("/v1/chat/completions", f.handleChat)
	app.Post("/v1/completions", f.handleCompletion)
	app.Get("/v1/models", f.handleModels)
	app.All("/v1/services/*", f.handleService)
	return app
}

// Serve accepts connections until Shutdown is called. If it already was, Serve closes the
// listener and returns.
func (f *Front) Serve(listener net.Listener) error {
	listener = &onceCloseListener{Listener: listener}
	if !f.addListener(listener) {
		return listener.Close()
	}
	defer f.serving.Done()
	err := f.server.Serve(listener)
	if f.isShutDown() {
		return nil
	}
	return err
}

// addListener registers a listener, so that Shutdown closes it even if the HTTP server has
// not registered it yet. It returns false after Shutdown.
func (f *Front) addListener(listener net.Listener) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shutDown {
		return false
	}
	f.serving.Add(1)
	f.listeners = append(f.listeners, listener)
	return true
}

func (f *Front) isShutDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shutDown
}

func (f *Front) closeListeners() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shutDown = true
	for _, listener := range f.listeners {
		_ = listener.Close()
	}
	f.listeners = nil
}

// DisableKeepAlives makes each response close its connection, so that callers' connection
// pools move to other daemons before the listeners are closed. A request that is sent on an
// idle connection while the server closes it would be lost.
func (f *Front) DisableKeepAlives() { f.keepAlivesDisabled.Store(true) }

// Drain rejects new requests with shuttingDown; running requests continue.
func (f *Front) Drain() { f.draining.Store(true) }

// Running returns the number of requests that have no terminal effect yet.
func (f *Front) Running() int { return f.inflight.count() }

// Panics returns how many handlers, attempts and other tasks have panicked.
func (f *Front) Panics() uint64 { return f.panics.Load() }

// Shutdown closes the listeners and idle connections, and waits until the running requests
// have ended and their connections are closed, or until ctx is done. No request can
// arrive afterwards.
func (f *Front) Shutdown(ctx context.Context) error {
	f.Drain()
	f.closeListeners()
	if err := f.server.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("wait for the callers' requests to finish: %w", err)
	}
	return nil
}

// Close cancels the attempts that are still running and waits for them. Call it after
// Shutdown.
func (f *Front) Close() {
	f.cancelBase()
	f.tasks.Wait()
	f.serving.Wait()
}

// newRequestID returns a new ULID.
func newRequestID() vrid.RequestID { return vrid.RequestID(ulid.Make().String()) }
