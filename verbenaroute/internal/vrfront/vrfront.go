// Package vrfront is the callers' HTTP interface: the OpenAI-shaped model paths and
// the plain services. It parses requests, hands them to the reducer as events and
// carries out the effects that belong to one request: attempts at back ends, streams
// of tokens, refusals and replays.
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

// Limits of the callers' interface, as in section 6 of the design page.
const (
	_headerBytes   = 16 << 10
	_headerTimeout = 10 * time.Second
	_bodyTimeout   = 30 * time.Second
	_idleTimeout   = 2 * time.Minute
	// _writeTimeout bounds one write, so that a caller that stops reading frees its slot.
	_writeTimeout = 30 * time.Second
	// _spareConnections may be open beside the queued requests: running ones and idle ones.
	_spareConnections = 8192
)

// Submitter takes events for the reducer. The effects of the event have been passed
// to Front.Handle when Submit returns.
type Submitter interface {
	Submit(event vrevent.Event)
}

// Configs gives the configuration in force.
type Configs interface {
	Current() *vrconfig.Index
}

// ServiceCall is one call to an application server.
type ServiceCall struct {
	Request vrid.RequestID
	Method  string
	// Target is the path with the query.
	Target      string
	ContentType string
	Key         vrid.IdempotencyKey
	Body        []byte
}

// ServiceAnswer is the answer of an application server.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Backends calls language servers and application servers. An implementation never
// repeats a call by itself.
type Backends interface {
	// Generate passes each line of the answer to token until the last one. The
	// result is truthful in the sense of vrevent.AttemptResult. An error of token
	// ends the call with AttemptBroken.
	Generate(ctx context.Context, address string, request *vrengine.GenerateRequest, token func(*vrengine.Token) error) vrevent.AttemptResult
	// Cancel tells a language server to stop a request.
	Cancel(ctx context.Context, address string, request vrid.RequestID)
	// Call sends the call once.
	Call(ctx context.Context, address string, call *ServiceCall) (ServiceAnswer, vrevent.AttemptResult)
	// Outcome asks how the call with a key ended. Without an error, found is false only
	// when the service knows that no call ran under the key.
	Outcome(ctx context.Context, address, path string, key vrid.IdempotencyKey) (answer ServiceAnswer, found bool, err error)
}

// Options construct a Front.
type Options struct {
	Submitter Submitter
	Configs   Configs
	Backends  Backends
	Log       *zap.Logger
	// Limits without a value take the default.
	Limits vrsettings.Limits
}

// Front serves callers.
type Front struct {
	options Options
	server  *fasthttp.Server
	flights *flights
	// bodies is the sum of the bodies in memory; it never exceeds QueueMemory.
	bodies atomic.Int64
	// leaving makes callers close their connections, draining refuses new requests.
	leaving  atomic.Bool
	draining atomic.Bool
	panics   atomic.Uint64
	// bodyTimeout bounds the arrival of a body.
	bodyTimeout time.Duration
	// attempts counts the goroutines that call back ends.
	attempts conc.WaitGroup
	base     context.Context
	stop     context.CancelFunc
	serving  sync.WaitGroup

	mu        sync.Mutex
	finished  bool
	listeners []net.Listener
}

// New builds a Front.
func New(options Options) *Front {
	filled := (&vrsettings.Settings{Limits: options.Limits}).WithDefaults()
	options.Limits = filled.Limits
	f := &Front{options: options, flights: newFlights(), bodyTimeout: _bodyTimeout}
	f.base, f.stop = context.WithCancel(context.Background())
	f.server = f.newServer()
	return f
}

func (f *Front) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		Name:                          "verbenaroute",
		Handler:                       f.guard(f.routes().Handler()),
		ErrorHandler:                  f.handleProtocolError,
		HeaderReceived:                f.allowBodyTime,
		ReadBufferSize:                _headerBytes,
		ReadTimeout:                   _headerTimeout,
		WriteTimeout:                  _writeTimeout,
		IdleTimeout:                   _idleTimeout,
		MaxRequestBodySize:            int(f.options.Limits.Body),
		Concurrency:                   f.options.Limits.Queue + _spareConnections,
		StreamRequestBody:             true,
		DisablePreParseMultipartForm:  true,
		NoDefaultContentType:          true,
		DisableHeaderNamesNormalizing: false,
		Logger:                        discardLogger{},
	}
}

// allowBodyTime replaces the header's read deadline by the body's. Of a body that declares
// too great a length, the library reads one byte before the handler refuses it.
func (f *Front) allowBodyTime(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if header.ContentLength() > int(f.options.Limits.Body) {
		return fasthttp.RequestConfig{ReadTimeout: f.bodyTimeout, MaxRequestBodySize: 1}
	}
	return fasthttp.RequestConfig{ReadTimeout: f.bodyTimeout}
}

// discardLogger drops the library's lines on broken connections, which a hostile
// caller could cause in any number.
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

// Serve accepts connections until Finish. After Finish it closes the listener at once.
func (f *Front) Serve(listener net.Listener) error {
	listener = &sharedListener{Listener: listener}
	if !f.open(listener) {
		return listener.Close()
	}
	defer f.serving.Done()
	err := f.server.Serve(listener)
	if f.isFinished() {
		return nil
	}
	return err
}

// open notes a listener, so that Finish closes it even before the server knows it.
func (f *Front) open(listener net.Listener) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.finished {
		return false
	}
	f.serving.Add(1)
	f.listeners = append(f.listeners, listener)
	return true
}

func (f *Front) isFinished() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.finished
}

func (f *Front) closeListeners() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finished = true
	for _, listener := range f.listeners {
		_ = listener.Close()
	}
	f.listeners = nil
}

// DisableKeepAlives lets each answer end its connection, so that callers' pools turn elsewhere before
// the address closes: a request on an idle connection that is closed under it would be
// lost.
func (f *Front) DisableKeepAlives() { f.leaving.Store(true) }

// Drain refuses new requests with shuttingDown; running ones go on.
func (f *Front) Drain() { f.draining.Store(true) }

// Running counts the requests that have no terminal effect yet.
func (f *Front) Running() int { return f.flights.count() }

// Panics counts the handlers and attempts that panicked.
func (f *Front) Panics() uint64 { return f.panics.Load() }

// Shutdown closes the listener and idle connections and waits until the running requests
// have ended and their connections are closed, or until ctx ends. After it no request
// can arrive.
func (f *Front) Shutdown(ctx context.Context) error {
	f.Drain()
	f.closeListeners()
	if err := f.server.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("finish callers' requests: %w", err)
	}
	return nil
}

// Close cuts off the attempts that still run. It follows Finish.
func (f *Front) Close() {
	f.stop()
	f.attempts.Wait()
	f.serving.Wait()
}

// newRequestID returns a ULID.
func newRequestID() vrid.RequestID { return vrid.RequestID(ulid.Make().String()) }
