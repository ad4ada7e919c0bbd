// Package vrpeer carries envelopes between daemons: yamux sessions over TCP with mutual
// TLS, in which each stream carries length-prefixed protobuf frames.
package vrpeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrsettings"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// _maxSessions bounds the memory that connections to the port can take. At design
	// scale a daemon has at most about 30 sessions.
	_maxSessions = 256
	// _queueFrames and _queueBytes bound what waits for one peer.
	_queueFrames = 256
	_queueBytes  = 4 * vrwire.MaxFrameBytes
	// _notices bounds reports of unreachable peers that nobody has taken yet.
	_notices = 1024
	// _idleTimeout closes sessions that carry nothing; heartbeats come each second.
	_idleTimeout = time.Minute
	_sweepPeriod = 10 * time.Second
	// _acceptPause keeps a failing listener, for example out of files, from spinning.
	_acceptPause = 100 * time.Millisecond
)

// Options configures a Hub.
type Options struct {
	Self vrid.DaemonID
	Boot vrid.BootID
	Zone vrid.ZoneID
	// Listen is the IP address and port for peers.
	Listen string
	TLS    vrsettings.TLSFiles
	// Insecure uses plain TCP; the sender of the first frame then names the session.
	Insecure bool
	// OnReceive gets each checked envelope. One session's envelopes come in order.
	OnReceive func(*vrwire.Envelope)
	// OnUnreachable is told of a peer whose message was dropped. It is called on a
	// goroutine of its own, at most once for messages that are dropped together.
	OnUnreachable func(vrid.DaemonID)
	Log           *zap.Logger
}

// Stats counts what a Hub has done. Bytes are those on TCP connections without TLS.
type Stats struct {
	BytesSent, BytesReceived       uint64
	MessagesSent, MessagesReceived uint64
	// Dropped messages were not sent.
	Dropped uint64
	// Refused frames were malformed, or named another sender than their session.
	Refused  uint64
	Sessions int
}

type counters struct {
	bytesSent, bytesReceived       atomic.Uint64
	messagesSent, messagesReceived atomic.Uint64
	dropped, refused               atomic.Uint64
}

// Hub holds the sessions of one daemon. It is safe for concurrent use.
type Hub struct {
	options     Options
	log         *zap.Logger
	listener    net.Listener
	credentials *credentials
	ctx         context.Context
	cancel      context.CancelFunc
	// unwatch ends the watch over the context of Start.
	unwatch  func() bool
	running  conc.WaitGroup
	counters counters
	notices  chan vrid.DaemonID
	incoming chan struct{}

	mu     sync.Mutex
	closed bool
	peers  map[vrid.DaemonID]*peer
	links  map[*link]bool
	// preferred holds the session that messages to a peer are sent on.
	preferred map[vrid.DaemonID]*link
}

// Start listens for peers until the context ends or Close is called.
func Start(ctx context.Context, options Options) (*Hub, error) {
	log := options.Log
	if log == nil {
		log = zap.NewNop()
	}
	h := &Hub{
		options: options, log: log,
		notices: make(chan vrid.DaemonID, _notices), incoming: make(chan struct{}, _maxSessions),
		peers: make(map[vrid.DaemonID]*peer), links: make(map[*link]bool), preferred: make(map[vrid.DaemonID]*link),
	}
	if !options.Insecure {
		loaded, err := newCredentials(options.TLS, log)
		if err != nil {
			return nil, err
		}
		h.credentials = loaded
	}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	h.listener = listener
	h.ctx, h.cancel = context.WithCancel(ctx)
	h.unwatch = context.AfterFunc(h.ctx, h.shutdown)
	h.running.Go(h.accept)
	h.running.Go(h.notify)
	h.running.Go(h.sweep)
	return h, nil
}

// Address is the address that the hub listens on.
func (h *Hub) Address() string { return h.listener.Addr().String() }

// Close ends all sessions and waits for the goroutines of the hub.
func (h *Hub) Close() {
	h.unwatch()
	h.shutdown()
	h.running.Wait()
}

// shutdown makes every goroutine of the hub end.
func (h *Hub) shutdown() {
	h.mu.Lock()
	h.closed = true
	open := make([]*link, 0, len(h.links))
	for known := range h.links {
		open = append(open, known)
	}
	h.mu.Unlock()
	h.cancel()
	_ = h.listener.Close()
	for _, known := range open {
		known.close()
	}
}

// spawn runs a goroutine of the hub unless the hub is closed.
func (h *Hub) spawn(run func()) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.running.Go(run)
	return true
}

// Stats returns the counts since the start.
func (h *Hub) Stats() Stats {
	h.mu.Lock()
	sessions := len(h.links)
	h.mu.Unlock()
	c := &h.counters
	return Stats{
		BytesSent: c.bytesSent.Load(), BytesReceived: c.bytesReceived.Load(),
		MessagesSent: c.messagesSent.Load(), MessagesReceived: c.messagesReceived.Load(),
		Dropped: c.dropped.Load(), Refused: c.refused.Load(), Sessions: sessions,
	}
}

// Send queues a message for a peer and never blocks. A message that can't be queued or
// delivered is dropped, counted and reported.
func (h *Hub) Send(id vrid.DaemonID, address string, envelope *vrwire.Envelope) {
	stamped := *envelope
	stamped.From, stamped.Boot, stamped.Zone = h.options.Self, h.options.Boot, h.options.Zone
	frame, err := encodeFrame(&stamped)
	if err != nil {
		h.log.Error("message not encoded", zap.String("peer", string(id)), zap.Error(err))
		h.drop(id, 1)
		return
	}
	if !h.enqueue(id, address, frame) {
		h.drop(id, 1)
	}
}

func (h *Hub) enqueue(id vrid.DaemonID, address string, frame []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	p := h.peers[id]
	if p == nil {
		p = newPeer(h, id)
		h.peers[id] = p
		h.running.Go(p.run)
	}
	p.address = address
	return p.push(frame)
}

func (h *Hub) drop(id vrid.DaemonID, count int) {
	if count == 0 {
		return
	}
	h.counters.dropped.Add(uint64(count))
	select {
	case h.notices <- id:
	default:
	}
}

// notify keeps Unreachable off the goroutine that sends, which may hold a lock that
// Unreachable needs.
func (h *Hub) notify() {
	for {
		select {
		case <-h.ctx.Done():
			return
		case id := <-h.notices:
			if h.options.OnUnreachable != nil {
				h.options.OnUnreachable(id)
			}
		}
	}
}

func (h *Hub) accept() {
	for {
		conn, err := h.listener.Accept()
		switch {
		case err == nil:
			h.admit(conn)
		case h.ctx.Err() != nil, errors.Is(err, net.ErrClosed):
			return
		default:
			h.log.Warn("peer connection not accepted", zap.Error(err))
			h.pause(_acceptPause)
		}
	}
}

// admit handles a connection, or closes it when there are too many.
func (h *Hub) admit(conn net.Conn) {
	select {
	case h.incoming <- struct{}{}:
	default:
		h.counters.refused.Add(1)
		_ = conn.Close()
		return
	}
	started := h.spawn(func() {
		defer func() { <-h.incoming }()
		h.serveConn(conn)
	})
	if !started {
		<-h.incoming
		_ = conn.Close()
	}
}

// pause waits and reports whether the hub is still open.
func (h *Hub) pause(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-h.ctx.Done():
		return false
	}
}

// sweep closes idle sessions.
func (h *Hub) sweep() {
	for h.pause(_sweepPeriod) {
		oldest := time.Now().Add(-_idleTimeout).UnixNano()
		var idle []*link
		h.mu.Lock()
		for known := range h.links {
			if known.lastUsed.Load() < oldest {
				idle = append(idle, known)
			}
		}
		h.mu.Unlock()
		for _, known := range idle {
			known.close()
		}
	}
}
