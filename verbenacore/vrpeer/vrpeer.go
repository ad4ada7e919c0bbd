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
	// _maxSessions is the maximum number of accepted connections, which limits the memory
	// that clients can use. At the scale of the design, a daemon has at most about 30
	// sessions.
	_maxSessions = 256
	// _maxQueuedFrames and _maxQueuedBytes limit the send queue of one peer.
	_maxQueuedFrames = 256
	_maxQueuedBytes  = 4 * vrwire.MaxFrameBytes
	// _maxUnreachableReports limits the pending reports of unreachable peers.
	_maxUnreachableReports = 1024
	// _idleTimeout is the time without messages after which a session is closed;
	// heartbeats are sent every second.
	_idleTimeout       = time.Minute
	_idleCheckInterval = 10 * time.Second
	// _acceptRetryDelay keeps the accept loop from spinning when the listener fails, for
	// example because the process has no file descriptors left.
	_acceptRetryDelay = 100 * time.Millisecond
)

// Options configures a Hub.
type Options struct {
	Self vrid.DaemonID
	Boot vrid.BootID
	Zone vrid.ZoneID
	// Listen is the IP address and port to listen on for peers.
	Listen string
	TLS    vrsettings.TLSFiles
	// Insecure uses plain TCP; a session's peer is then the sender that its first frame
	// names.
	Insecure bool
	// SilenceTimeout is how long data on a session may stay without an acknowledgement. Zero means the default.
	SilenceTimeout time.Duration
	// OnReceive is called with each valid envelope, in order within a session.
	OnReceive func(*vrwire.Envelope)
	// OnUnreachable is called with a peer for which a message was dropped, once for all
	// messages that are dropped together. It runs on a goroutine of its own, and reports
	// are discarded when too many are pending.
	//
	// refused is set if the peer's machine refused the connection, because no process listens there.
	OnUnreachable func(peer vrid.DaemonID, refused bool)
	Log           *zap.Logger
}

// Stats are the counters of a Hub. Bytes are counted above TLS, without its overhead.
type Stats struct {
	BytesSent, BytesReceived       uint64
	MessagesSent, MessagesReceived uint64
	// Dropped is the number of messages that were not sent.
	Dropped uint64
	// Refused is the number of refused connections and of frames that were malformed or
	// named a sender other than the session's peer.
	Refused  uint64
	Sessions int
}

type counters struct {
	bytesSent, bytesReceived       atomic.Uint64
	messagesSent, messagesReceived atomic.Uint64
	dropped, refused               atomic.Uint64
}

// Hub manages the sessions of one daemon with its peers. It is safe for concurrent use.
type Hub struct {
	options     Options
	log         *zap.Logger
	listener    net.Listener
	credentials *credentials
	ctx         context.Context
	cancel      context.CancelFunc
	// stopAfterFunc unregisters shutdown from the context of Start.
	stopAfterFunc func() bool
	goroutines    conc.WaitGroup
	counters      counters
	unreachable   chan unreachablePeer
	// acceptedSlots limits the accepted connections to _maxSessions.
	acceptedSlots chan struct{}

	mu     sync.Mutex
	closed bool
	peers  map[vrid.DaemonID]*peer
	links  map[*link]bool
	// preferred holds, for each peer, the session that messages to it are sent on.
	preferred map[vrid.DaemonID]*link
}

// Start returns a Hub that listens for peers until the context ends or Close is called.
func Start(ctx context.Context, options Options) (*Hub, error) {
	log := options.Log
	if log == nil {
		log = zap.NewNop()
	}
	if options.SilenceTimeout <= 0 {
		options.SilenceTimeout = defaultSilenceTimeout
	}
	h := &Hub{
		options: options, log: log,
		unreachable: make(chan unreachablePeer, _maxUnreachableReports), acceptedSlots: make(chan struct{}, _maxSessions),
		peers: make(map[vrid.DaemonID]*peer), links: make(map[*link]bool), preferred: make(map[vrid.DaemonID]*link),
	}
	if !options.Insecure {
		creds, err := newCredentials(options.TLS, log)
		if err != nil {
			return nil, err
		}
		h.credentials = creds
	}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	h.listener = listener
	h.ctx, h.cancel = context.WithCancel(ctx)
	h.stopAfterFunc = context.AfterFunc(h.ctx, h.shutdown)
	h.goroutines.Go(h.acceptLoop)
	h.goroutines.Go(h.reportUnreachable)
	h.goroutines.Go(h.closeIdleLinks)
	return h, nil
}

// Address returns the address that the hub listens on.
func (h *Hub) Address() string { return h.listener.Addr().String() }

// Close ends all sessions and waits for the goroutines of the hub.
func (h *Hub) Close() {
	h.stopAfterFunc()
	h.shutdown()
	h.goroutines.Wait()
}

// shutdown closes the listener and all sessions, which ends the hub's goroutines.
func (h *Hub) shutdown() {
	h.mu.Lock()
	h.closed = true
	openLinks := make([]*link, 0, len(h.links))
	for l := range h.links {
		openLinks = append(openLinks, l)
	}
	h.mu.Unlock()
	h.cancel()
	_ = h.listener.Close()
	for _, l := range openLinks {
		l.close()
	}
}

// spawn starts a goroutine of the hub unless the hub is closed, and reports whether it did.
func (h *Hub) spawn(run func()) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.goroutines.Go(run)
	return true
}

// Stats returns the counters since the start and the number of open sessions.
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
	outgoing := *envelope
	outgoing.From, outgoing.Boot, outgoing.Zone = h.options.Self, h.options.Boot, h.options.Zone
	frame, err := encodeFrame(&outgoing)
	if err != nil {
		h.log.Error("cannot encode peer message", zap.String("peer", string(id)), zap.Error(err))
		h.recordDropped(id, 1, false)
		return
	}
	if !h.enqueue(id, address, frame) {
		h.recordDropped(id, 1, false)
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
		h.goroutines.Go(p.run)
	}
	p.address = address
	return p.tryEnqueue(frame)
}

// unreachablePeer is a report for Options.OnUnreachable.
type unreachablePeer struct {
	id      vrid.DaemonID
	refused bool
}

// recordDropped counts dropped messages and reports the peer as unreachable, unless too
// many reports are pending.
func (h *Hub) recordDropped(id vrid.DaemonID, count int, refused bool) {
	if count == 0 {
		return
	}
	h.counters.dropped.Add(uint64(count))
	select {
	case h.unreachable <- unreachablePeer{id: id, refused: refused}:
	default:
	}
}

// reportUnreachable calls Options.OnUnreachable. It has a goroutine of its own, because the
// caller of Send may hold a lock that OnUnreachable needs.
func (h *Hub) reportUnreachable() {
	for {
		select {
		case <-h.ctx.Done():
			return
		case peer := <-h.unreachable:
			if h.options.OnUnreachable != nil {
				h.options.OnUnreachable(peer.id, peer.refused)
			}
		}
	}
}

func (h *Hub) acceptLoop() {
	for {
		conn, err := h.listener.Accept()
		switch {
		case err == nil:
			h.handleConn(conn)
		case h.ctx.Err() != nil, errors.Is(err, net.ErrClosed):
			return
		default:
			h.log.Warn("cannot accept peer connection", zap.Error(err))
			h.sleep(_acceptRetryDelay)
		}
	}
}

// handleConn serves an accepted connection, or closes it when there are too many.
func (h *Hub) handleConn(conn net.Conn) {
	select {
	case h.acceptedSlots <- struct{}{}:
	default:
		h.counters.refused.Add(1)
		_ = conn.Close()
		return
	}
	started := h.spawn(func() {
		defer func() { <-h.acceptedSlots }()
		h.serveConn(conn)
	})
	if !started {
		<-h.acceptedSlots
		_ = conn.Close()
	}
}

// sleep waits for the delay and reports whether the hub is still open.
func (h *Hub) sleep(delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-h.ctx.Done():
		return false
	}
}

// closeIdleLinks periodically closes the sessions that were not used for _idleTimeout.
func (h *Hub) closeIdleLinks() {
	for h.sleep(_idleCheckInterval) {
		idleSince := time.Now().Add(-_idleTimeout).UnixNano()
		var idle []*link
		h.mu.Lock()
		for l := range h.links {
			if l.lastUsed.Load() < idleSince {
				idle = append(idle, l)
			}
		}
		h.mu.Unlock()
		for _, l := range idle {
			l.close()
		}
	}
}
