// Package vradmin implements the operators' HTTP server: metrics, health and readiness, and
// further handlers that the daemon mounts, such as those of the query language.
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
	_maxHeaderBytes  = 16 << 10
	_maxBodyBytes    = 1 << 20
	_readTimeout     = 30 * time.Second
	_writeTimeout    = time.Minute
	_idleTimeout     = 2 * time.Minute
	_maxConnections  = 256
	_contentTypeText = "text/plain; charset=utf-8"
	_readyText       = "ready"
)

// Readiness holds whether the daemon accepts requests. Draining overrides the readiness that
// the reducer reports, so that the load balancer sees a shutdown at once.
type Readiness struct {
	mu       sync.Mutex
	ready    bool
	reason   string
	draining bool
}

// NewReadiness returns a Readiness that is not ready.
func NewReadiness() *Readiness { return &Readiness{reason: "starting"} }

// Set stores the readiness that the reducer reports.
func (r *Readiness) Set(ready bool, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready, r.reason = ready, reason
}

// Drain makes the daemon permanently not ready.
func (r *Readiness) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

// Ready returns whether the daemon accepts requests, and the reason if it doesn't.
func (r *Readiness) Ready() (ready bool, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return false, "shutting down"
	}
	return r.ready, r.reason
}

// Options configure an Admin.
type Options struct {
	Readiness *Readiness
	Metrics   *Metrics
	// Mount registers further handlers, for example /v1/query and /v1/command. It may be nil.
	Mount func(app *fiber.App)
}

// Admin is the HTTP server for operators and the load balancer.
type Admin struct {
	options Options
	server  *fasthttp.Server
}

// New returns an Admin that does not serve yet.
func New(options Options) *Admin {
	a := &Admin{options: options}
	app := fiber.New(fiber.Config{AppName: "verbenaroute", BodyLimit: _maxBodyBytes})
	app.Get("/healthz", a.handleHealth)
	app.Get("/readyz", a.handleReady)
	app.Get("/metrics", a.handleMetrics)
	if options.Mount != nil {
		options.Mount(app)
	}
	a.server = &fasthttp.Server{
		Name:                 "verbenaroute",
		Handler:              app.Handler(),
		ReadBufferSize:       _maxHeaderBytes,
		MaxRequestBodySize:   _maxBodyBytes,
		ReadTimeout:          _readTimeout,
		WriteTimeout:         _writeTimeout,
		IdleTimeout:          _idleTimeout,
		Concurrency:          _maxConnections,
		NoDefaultContentType: true,
		Logger:               discardLogger{},
	}
	return a
}

// discardLogger discards what the HTTP library logs about broken connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections until Shutdown.
func (a *Admin) Serve(listener net.Listener) error { return a.server.Serve(listener) }

// Shutdown closes the listener and waits for running requests until ctx is done.
func (a *Admin) Shutdown(ctx context.Context) error { return a.server.ShutdownWithContext(ctx) }

// handleHealth is the liveness check.
func (a *Admin) handleHealth(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, _contentTypeText)
	return c.SendString("ok\n")
}

// handleReady is the readiness check of the load balancer.
func (a *Admin) handleReady(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, _contentTypeText)
	ready, reason := a.options.Readiness.Ready()
	if !ready {
		return c.Status(fiber.StatusServiceUnavailable).SendString(reason + "\n")
	}
	return c.SendString(_readyText + "\n")
}

func (a *Admin) handleMetrics(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, _contentTypeText)
	a.options.Metrics.Write(c.Response().BodyWriter())
	return nil
}
