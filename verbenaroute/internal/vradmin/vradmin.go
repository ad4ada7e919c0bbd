// Package vradmin is the operators' HTTP address: metrics, health and readiness, and
// the place where the operators' language is mounted.
package vradmin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"
)

const (
	_headerBytes   = 16 << 10
	_bodyBytes     = 1 << 20
	_readTimeout   = 30 * time.Second
	_writeTimeout  = time.Minute
	_idleTimeout   = 2 * time.Minute
	_connections   = 256
	_contentText   = "text/plain; charset=utf-8"
	_readinessText = "ready"
)

// Readiness says whether the daemon takes requests. Draining wins over the reducer's
// word, so that the balancer sees a shutdown at once.
type Readiness struct {
	mu       sync.Mutex
	ready    bool
	reason   string
	draining bool
}

// NewReadiness starts as not ready.
func NewReadiness() *Readiness { return &Readiness{reason: "starting"} }

// Set takes the reducer's word.
func (s *Readiness) Set(ready bool, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready, s.reason = ready, reason
}

// Drain makes the daemon not ready for good.
func (s *Readiness) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Ready returns whether the daemon takes requests, else why not.
func (s *Readiness) Ready() (ready bool, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false, "shutting down"
	}
	return s.ready, s.reason
}

// Options construct an Admin.
type Options struct {
	Readiness *Readiness
	Metrics   *Metrics
	// Mount adds further handlers, for example /v1/query and /v1/command.
	Mount func(app *fiber.App)
}

// Admin serves operators and the balancer.
type Admin struct {
	options Options
	server  *fasthttp.Server
}

// New builds an Admin.
func New(options Options) *Admin {
	a := &Admin{options: options}
	app := fiber.New(fiber.Config{AppName: "verbenaroute", BodyLimit: _bodyBytes})
	app.Get("/healthz", a.handleHealth)
	app.Get("/readyz", a.handleReady)
	app.Get("/metrics", a.handleMetrics)
	if options.Mount != nil {
		options.Mount(app)
	}
	a.server = &fasthttp.Server{
		Name:                 "verbenaroute",
		Handler:              app.Handler(),
		ReadBufferSize:       _headerBytes,
		MaxRequestBodySize:   _bodyBytes,
		ReadTimeout:          _readTimeout,
		WriteTimeout:         _writeTimeout,
		IdleTimeout:          _idleTimeout,
		Concurrency:          _connections,
		NoDefaultContentType: true,
		Logger:               discardLogger{},
	}
	return a
}

// discardLogger drops the library's lines on broken connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections until Shutdown.
func (a *Admin) Serve(listener net.Listener) error { return a.server.Serve(listener) }

// Shutdown closes the listener and waits for running requests until ctx ends.
func (a *Admin) Shutdown(ctx context.Context) error { return a.server.ShutdownWithContext(ctx) }

// handleHealth says that the process works.
func (a *Admin) handleHealth(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, _contentText)
	return c.SendString("ok\n")
}

// handleReady says whether the balancer may send requests.
func (a *Admin) handleReady(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, _contentText)
	ready, reason := a.options.Readiness.Ready()
	if !ready {
		return c.Status(fiber.StatusServiceUnavailable).SendString(reason + "\n")
	}
	return c.SendString(_readinessText + "\n")
}

func (a *Admin) handleMetrics(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, _contentText)
	a.options.Metrics.Write(c.Response().BodyWriter())
	return nil
}
