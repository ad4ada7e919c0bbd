// Package vrrelay implements the reverse proxy of a gateway. It forwards client requests to
// servers and their responses back, byte for byte. The reducer decides where to send a request
// and what to refuse, and passes its decisions to the proxy as effects. The package uses
// net/http and not fasthttp, because a fasthttp handler isn't notified when its client
// disconnects, and the server must be stopped within half a second of that.
package vrrelay

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrdialect"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

// Dialect reads and writes the platform's headers.
type Dialect interface {
	// ParseCall parses the headers of a client request.
	ParseCall(header http.Header) vrevent.Call
	// IsReserved reports whether a header is reserved for the gateway, so that a client's
	// header of that name is dropped.
	IsReserved(name string) bool
	// SetRequestHeaders writes the gateway's own headers of a request to a server.
	SetRequestHeaders(header http.Header, info vrdialect.RequestInfo)
	// ParseResponse parses the headers of the response of a server.
	ParseResponse(status int, header http.Header, server vrid.ServerID) vrdialect.ResponseInfo
}

// Clock is the clock of the reducer. It also advances while the machine is suspended.
type Clock interface{ Now() time.Time }

// Options configure a Proxy.
type Options struct {
	// Submit passes an event to the reducer.
	Submit  func(vrevent.Event)
	Dialect Dialect
	Clock   Clock
	// Limits returns the limits for client requests from the newest catalog.
	Limits func() vrcatalog.Limits
	// MaxResponseHead limits the head of a server's response. Zero means the default.
	MaxResponseHead vrid.Bytes
	// MaxBuffered limits the memory for the buffers of all responses. Zero means the default.
	MaxBuffered vrid.Bytes
	// MaxBodies limits the memory for the bodies of all requests. Zero means the default.
	MaxBodies vrid.Bytes
	// WriteSlack is how long after a call's deadline writes to its client may still go on.
	// Zero means the default.
	WriteSlack time.Duration
	// OnNoMemory is called for each request that is refused because there is no memory for its body, with
	// how long it has waited for some. It may be nil.
	OnNoMemory func(request vrid.RequestID, waited time.Duration)
	// OnStatusReplaced is called for each response of a server in place of which the client got one of the
	// gateway. It may be nil.
	OnStatusReplaced func(ReplacedStatus)
	// OnCut is called once for each request that ended without a complete response, on any
	// goroutine. It must not block. It may be nil.
	OnCut func(CutRequest)
}

// Limits of client connections, and the body limit of a daemon that has no catalog yet.
const (
	defaultMaxBody = 4 << 20
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// idleTimeout is longer than the idle time of clients in any known configuration.
	idleTimeout = 60 * time.Second
	// bodyTimeout is the timeout for reading the body of a client that states no timeout.
	bodyTimeout       = 30 * time.Second
	defaultWriteSlack = 2 * time.Second
	// defaultMaxResponseHead is the default of Options.MaxResponseHead.
	defaultMaxResponseHead = 64 * vrid.KiB
	// defaultMaxBuffered is the default of Options.MaxBuffered.
	defaultMaxBuffered = 16 * vrid.MiB
	// defaultMaxBodies is the default of Options.MaxBodies.
	defaultMaxBodies = 64 * vrid.MiB
	// effectBuffer is the number of effects of one call that can wait for its handler.
	effectBuffer = 4
)

// Proxy is the reverse proxy that serves clients.
type Proxy struct {
	opts       Options
	server     *http.Server
	pool       *pool
	buffers    bufferBudget
	bodies     *bodyBudget
	lastCallID atomic.Uint64
	// draining is set once responses announce the close of their connection.
	draining atomic.Bool
	// sendsAborted is set once the time limit of a shutdown has nearly passed.
	sendsAborted   atomic.Bool
	activeCalls    atomic.Int64
	acceptFailures acceptFailures
	unfinished     unfinishedBodies

	mu       sync.Mutex
	handlers map[vrevent.CallID]*callHandler
}

// New returns a Proxy that does not serve yet.
func New(opts Options) *Proxy {
	if opts.WriteSlack <= 0 {
		opts.WriteSlack = defaultWriteSlack
	}
	if opts.MaxResponseHead <= 0 {
		opts.MaxResponseHead = defaultMaxResponseHead
	}
	if opts.MaxBuffered <= 0 {
		opts.MaxBuffered = defaultMaxBuffered
	}
	if opts.MaxBodies <= 0 {
		opts.MaxBodies = defaultMaxBodies
	}
	p := &Proxy{
		opts: opts, pool: newPool(), buffers: bufferBudget{limit: int64(opts.MaxBuffered)}, bodies: newBodyBudget(int64(opts.MaxBodies)),
		handlers: make(map[vrevent.CallID]*callHandler),
	}
	p.server = &http.Server{
		Handler: p, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: p.trackConnState, ConnContext: withClientConn,
	}
	return p
}

// Serve accepts connections until Close.
func (p *Proxy) Serve(listener net.Listener) error {
	if err := p.server.Serve(clientListener{Listener: listener, onError: p.handleAcceptError}); err != nil && err != http.ErrServerClosed {
		return err
	}
	return nil
}

// StartDraining makes each response whose header is written from now on announce that its
// connection closes. A connection whose response began earlier is kept for one more request:
// net/http's own shutdown would close it unannounced, half a second after its client has sent
// that request.
func (p *Proxy) StartDraining() { p.draining.Store(true) }

// announceClose marks a response as the last one of its connection if the proxy is draining.
func (p *Proxy) announceClose(header http.Header) {
	if p.draining.Load() {
		header.Set("Connection", "close")
	}
}

// AbortSends aborts all sends, so that each open call gets its final response before the time
// limit of the shutdown.
func (p *Proxy) AbortSends() {
	p.sendsAborted.Store(true)
	p.bodies.abortWaits()
	p.unfinished.abort()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, handler := range p.handlers {
		handler.abortAttempts()
	}
}

// Active returns the number of open calls.
func (p *Proxy) Active() int { return int(p.activeCalls.Load()) }

// Close stops accepting connections, waits for open calls and unfinished bodies until the context is done, and then
// closes the remaining connections.
func (p *Proxy) Close(ctx context.Context) error {
	if err := p.server.Shutdown(ctx); err != nil {
		err = p.server.Close()
		p.reportClosedConnections()
		return err
	}
	p.unfinished.wait(ctx)
	return nil
}

// reportClosedConnections reports the open calls whose connections were closed.
func (p *Proxy) reportClosedConnections() {
	p.mu.Lock()
	open := make([]*callHandler, 0, len(p.handlers))
	for _, handler := range p.handlers {
		open = append(open, handler)
	}
	p.mu.Unlock()
	for _, handler := range open {
		handler.record.connectionClosed()
	}
}

// HandleEffect passes an effect to the handler of its call. It returns false for effects that
// belong to no call.
func (p *Proxy) HandleEffect(effect vrevent.Effect) bool {
	var id vrevent.CallID
	switch e := effect.(type) {
	case vrevent.SendCall:
		id = e.Call
	case vrevent.RefuseCall:
		id = e.Call
	case vrevent.ForwardFailure:
		id = e.Call
	case vrevent.AbortCall:
		id = e.Call
	default:
		return false
	}
	p.mu.Lock()
	handler := p.handlers[id]
	p.mu.Unlock()
	if send, ok := effect.(vrevent.SendCall); ok && send.Hedge && handler != nil {
		go handler.runHedge(&send)
		return true
	}
	if handler != nil {
		select {
		case handler.effects <- effect:
		default:
			handler.record.effectDropped(effect)
		}
	}
	return true
}

// ServeHTTP handles one client request to its end.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.activeCalls.Add(1)
	defer p.activeCalls.Add(-1)
	call := p.opts.Dialect.ParseCall(r.Header)
	record := clientConnOf(r.Context()).startRequest(call.Request, p.opts.OnCut)
	defer func() {
		value := recover()
		record.end(value)
		if value != nil {
			record.conn.breakOff(r)
			panic(value)
		}
	}()
	control := http.NewResponseController(w)
	body, ok := p.readBody(w, r, control, &call, record)
	if !ok {
		return
	}
	defer body.release()
	record.bodyRead()
	call.ID = vrevent.CallID(p.lastCallID.Add(1))
	call.Host, call.Path = r.Host, r.URL.EscapedPath()
	handler := p.newHandler(call, r, body, w, record)
	p.mu.Lock()
	p.handlers[call.ID] = handler
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.handlers, call.ID)
		p.mu.Unlock()
	}()
	defer handler.close()
	handler.run()
}

func (p *Proxy) newHandler(call vrevent.Call, r *http.Request, body *requestBody, w http.ResponseWriter, record *requestRecord) *callHandler {
	if body == nil {
		body = &requestBody{}
	}
	return &callHandler{
		proxy: p, call: call, request: r, body: body, writer: w, control: http.NewResponseController(w), record: record,
		effects: make(chan vrevent.Effect, effectBuffer), hedgeEnded: make(chan hedgeEnd, 1),
	}
}

// formatRetryAfter formats the value of a Retry-After header, in seconds.
func formatRetryAfter(after time.Duration) string {
	return strconv.FormatFloat(after.Seconds(), 'f', 2, 64)
}
