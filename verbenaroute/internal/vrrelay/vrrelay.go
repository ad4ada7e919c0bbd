// Package vrrelay carries client attempts to servers and their answers back, byte for
// byte. It takes its decisions as effects: where to send, what to refuse. It uses net/http
// and not fasthttp, because a fasthttp handler isn't told that its client has left, and a
// server has to be stopped within half a second of that.
package vrrelay

import (
	"context"
	"io"
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

// Dialect reads and writes the headers of the platform.
type Dialect interface {
	ParseCall(header http.Header) vrevent.Call
	IsSystems(name string) bool
	Set(header http.Header, out vrdialect.RequestInfo)
	ReadAnswer(status int, header http.Header, server vrid.ServerID) vrdialect.ResponseInfo
}

// Clock is the time that the reducer uses; it also counts while the machine is suspended.
type Clock interface{ Now() time.Time }

// Options construct a Front.
type Options struct {
	Submit  func(vrevent.Event)
	Dialect Dialect
	Clock   Clock
	// Limits returns what clients may send, as of the newest catalog.
	Limits func() vrcatalog.Limits
	// WriteSlack is how long after a call's deadline its client may still take bytes; zero
	// takes the default.
	WriteSlack time.Duration
}

// Limits of a daemon that has no catalog yet, and of connections.
const (
	defaultBody   = 4 << 20
	headerTimeout = 10 * time.Second
	headerMost    = 64 << 10
	// idleTimeout is longer than clients stay idle by any configuration known.
	idleTimeout = 60 * time.Second
	// bodyTimeout bounds the reading of a body whose client does not say how long it waits.
	bodyTimeout       = 30 * time.Second
	defaultWriteSlack = 2 * time.Second
	// effectRoom holds the effects of one call that its handler has not taken yet.
	effectRoom = 4
)

// Front serves clients.
type Front struct {
	opts    Options
	server  *http.Server
	pool    *pool
	next    atomic.Uint64
	leaving atomic.Bool
	// expired is set once the time for a shutdown is nearly over.
	expired atomic.Bool
	active  atomic.Int64

	mu    sync.Mutex
	calls map[vrevent.CallID]*exchange
}

// New returns a Front that does not serve yet.
func New(opts Options) *Front {
	if opts.WriteSlack <= 0 {
		opts.WriteSlack = defaultWriteSlack
	}
	f := &Front{opts: opts, pool: newPool(), calls: make(map[vrevent.CallID]*exchange)}
	f.server = &http.Server{
		Handler: f, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerMost,
	}
	return f
}

// Serve takes connections until Close.
func (f *Front) Serve(listener net.Listener) error {
	if err := f.server.Serve(listener); err != nil && err != http.ErrServerClosed {
		return err
	}
	return nil
}

// Leave tells clients with each answer that begins from now on that its connection ends. A
// connection whose answer began before is kept for one more request: the library would
// close it unannounced, and half a second after its client has sent that request.
func (f *Front) Leave() { f.leaving.Store(true) }

// announceClose marks an answer as the last one of its connection.
func (f *Front) announceClose(header http.Header) {
	if f.leaving.Load() {
		header.Set("Connection", "close")
	}
}

// Expire ends every send, so that each open call gets its final answer while there is time
// for it.
func (f *Front) Expire() {
	f.expired.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.calls {
		if c := x.sending.Load(); c != nil {
			_ = c.SetDeadline(_past)
		}
	}
}

// Active is the number of calls that are open.
func (f *Front) Active() int { return int(f.active.Load()) }

// Close takes no more connections, waits for open calls until the context ends and then
// closes what is left.
func (f *Front) Close(ctx context.Context) error {
	if err := f.server.Shutdown(ctx); err != nil {
		return f.server.Close()
	}
	return nil
}

// Handle passes an effect to the handler of its call; it reports whether it is one of a
// call.
func (f *Front) Handle(effect vrevent.Effect) bool {
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
	f.mu.Lock()
	waiting := f.calls[id]
	f.mu.Unlock()
	if waiting != nil {
		select {
		case waiting.effects <- effect:
		default:
		}
	}
	return true
}

// ServeHTTP carries one client attempt to its end.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	call := f.opts.Dialect.ParseCall(r.Header)
	control := http.NewResponseController(w)
	body, ok := f.readBody(w, r, control, call.Timeout)
	if !ok {
		return
	}
	call.ID = vrevent.CallID(f.next.Add(1))
	call.Host, call.Path = r.Host, r.URL.EscapedPath()
	x := &exchange{
		front: f, call: call, request: r, body: body, writer: w, control: control,
		effects: make(chan vrevent.Effect, effectRoom),
	}
	f.mu.Lock()
	f.calls[call.ID] = x
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.calls, call.ID)
		f.mu.Unlock()
	}()
	x.run()
}

// readBody reads the whole body, so that it can be sent to a second server. It answers
// 413 for one that is too long.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, control *http.ResponseController, wait time.Duration) ([]byte, bool) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, true
	}
	most := f.opts.Limits().Body
	if most <= 0 {
		most = defaultBody
	}
	if r.ContentLength > most {
		refuseBody(w)
		return nil, false
	}
	if wait <= 0 {
		wait = bodyTimeout
	}
	_ = control.SetReadDeadline(time.Now().Add(wait))
	body, err := io.ReadAll(io.LimitReader(r.Body, most+1))
	if err != nil {
		// The client broke off; it reads no answer.
		panic(http.ErrAbortHandler)
	}
	_ = control.SetReadDeadline(time.Time{})
	if int64(len(body)) > most {
		refuseBody(w)
		return nil, false
	}
	return body, true
}

func refuseBody(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	http.Error(w, "the body is too large", http.StatusRequestEntityTooLarge)
}

func retryAfterText(after time.Duration) string {
	return strconv.FormatFloat(after.Seconds(), 'f', 2, 64)
}
