package vrpeer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// _dialTimeout limits the time to connect and complete the TLS handshake; the longest
	// round trip is 16 ms.
	_dialTimeout = 2 * time.Second
	// _handshakeTimeout limits the TLS handshake of a client, the opening of a stream and,
	// with plain TCP, the time until the first frame, which identifies the client.
	_handshakeTimeout = 5 * time.Second
	// _frameTimeout limits the time to write a frame, and to read one after its length.
	_frameTimeout = 5 * time.Second
	// _maxStreams is the maximum number of streams per session; a peer needs one.
	_maxStreams = 2
	// _maxRefusedFrames is the number of refused frames after which a session is closed.
	_maxRefusedFrames = 8
)

// link is a yamux session with one peer.
type link struct {
	hub     *Hub
	session *yamux.Session
	// dialer is the daemon that opened the session. It is guarded by the hub's mutex.
	dialer vrid.DaemonID
	// lastUsed is when a frame was last sent or received, in nanoseconds of Unix time.
	lastUsed      atomic.Int64
	refusedFrames atomic.Int32

	mu sync.Mutex
	// peer is empty until the first frame of a plain TCP session names the sender. It is
	// guarded by the hub's mutex.
	peer vrid.DaemonID
	// outStream is opened by the first write.
	outStream *yamux.Stream
}

// countingConn adds the bytes that it reads and writes to the hub's counters.
type countingConn struct {
	net.Conn
	counters *counters
}

func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.counters.bytesReceived.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.counters.bytesSent.Add(uint64(n))
	return n, err
}

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = _maxStreams
	config.KeepAliveInterval = 15 * time.Second
	config.ConnectionWriteTimeout = _frameTimeout
	config.StreamOpenTimeout = _handshakeTimeout
	config.StreamCloseTimeout = _frameTimeout
	// The library would log every connection that doesn't speak yamux as plain text; the
	// hub counts refused frames and connections instead.
	config.LogOutput = io.Discard
	return config
}

// serveConn serves an accepted connection until it ends.
func (h *Hub) serveConn(conn net.Conn) {
	limitSilence(conn, h.options.SilenceTimeout)
	var peer vrid.DaemonID
	if h.credentials != nil {
		tlsConn, id, err := h.handshakeServer(conn)
		if err != nil {
			h.counters.refused.Add(1)
			h.log.Info("peer TLS handshake failed", zap.Stringer("address", conn.RemoteAddr()), zap.Error(err))
			_ = conn.Close()
			return
		}
		conn, peer = tlsConn, id
	}
	session, err := yamux.Server(&countingConn{Conn: conn, counters: &h.counters}, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	l := &link{hub: h, session: session, dialer: peer, peer: peer}
	if !h.addLink(l) {
		l.close()
		return
	}
	l.serve()
}

// handshakeServer performs the TLS handshake and returns the daemon that the client's
// certificate names.
func (h *Hub) handshakeServer(conn net.Conn) (net.Conn, vrid.DaemonID, error) {
	var peer vrid.DaemonID
	tlsConn := tls.Server(conn, h.credentials.config(func(id vrid.DaemonID) error {
		peer = id
		return nil
	}))
	ctx, cancel := context.WithTimeout(h.ctx, _handshakeTimeout)
	defer cancel()
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return nil, "", err
	}
	return tlsConn, peer, nil
}

// linkTo returns the preferred session to a peer, and opens one if there is none.
func (h *Hub) linkTo(p *peer) (*link, error) {
	h.mu.Lock()
	existing, address := h.preferred[p.id], p.address
	h.mu.Unlock()
	if existing != nil && !existing.session.IsClosed() {
		return existing, nil
	}
	conn, err := h.dial(h.ctx, p.id, address)
	if err != nil {
		return nil, err
	}
	session, err := yamux.Client(&countingConn{Conn: conn, counters: &h.counters}, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	l := &link{hub: h, session: session, dialer: h.options.Self, peer: p.id}
	if !h.addLink(l) || !h.spawn(l.serve) {
		l.close()
		return nil, net.ErrClosed
	}
	return l, nil
}

// dial connects to a peer; with TLS, its certificate must name the expected daemon.
func (h *Hub) dial(ctx context.Context, id vrid.DaemonID, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, _dialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	limitSilence(conn, h.options.SilenceTimeout)
	if h.credentials == nil {
		return conn, nil
	}
	tlsConn := tls.Client(conn, h.credentials.config(func(found vrid.DaemonID) error {
		if found != id {
			return &IdentityError{Found: found, Want: id}
		}
		return nil
	}))
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("handshake with %s: %w", id, err)
	}
	return tlsConn, nil
}

// addLink registers a session unless the hub is closed, and reports whether it did.
func (h *Hub) addLink(l *link) bool {
	l.markUsed()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.links[l] = true
	h.preferLocked(l)
	return true
}

// preferLocked chooses the session that messages to a peer are sent on. When both daemons
// open one at the same time, both choose the one opened by the daemon with the smaller
// id; the other session becomes idle and is closed. A daemon opens a further session only if its former one
// failed, so the newer one is chosen: this side may not have noticed yet that the former one is silent. The
// hub's mutex must be held.
func (h *Hub) preferLocked(l *link) {
	if l.peer == "" {
		return
	}
	preferred := h.preferred[l.peer]
	if preferred == nil || preferred.session.IsClosed() || l.dialer <= preferred.dialer {
		h.preferred[l.peer] = l
	}
}

func (h *Hub) removeLink(l *link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.links, l)
	if h.preferred[l.peer] == l {
		delete(h.preferred, l.peer)
	}
}

// markUsed records that the session was used now.
func (l *link) markUsed() { l.lastUsed.Store(time.Now().UnixNano()) }

func (l *link) close() {
	_ = l.session.Close()
	l.hub.removeLink(l)
}

// write sends a frame on the session's outgoing stream, within _frameTimeout.
func (l *link) write(frame []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outStream == nil {
		stream, err := l.session.OpenStream()
		if err != nil {
			return err
		}
		l.outStream = stream
	}
	if err := l.outStream.SetWriteDeadline(time.Now().Add(_frameTimeout)); err != nil {
		return err
	}
	if _, err := l.outStream.Write(frame); err != nil {
		return err
	}
	l.markUsed()
	l.hub.counters.messagesSent.Add(1)
	return nil
}

// serve accepts and reads the peer's streams until the session ends.
func (l *link) serve() {
	defer l.close()
	streamSlots := make(chan struct{}, _maxStreams)
	identifyTimer := time.AfterFunc(_handshakeTimeout, l.closeIfUnidentified)
	defer identifyTimer.Stop()
	for {
		stream, err := l.session.AcceptStream()
		if err != nil {
			return
		}
		select {
		case streamSlots <- struct{}{}:
		default:
			l.refuse(&FrameError{Problem: "too many streams"})
			return
		}
		started := l.hub.spawn(func() {
			defer func() { <-streamSlots }()
			l.readStream(stream)
		})
		if !started {
			return
		}
	}
}

// closeIfUnidentified closes a session whose peer has not been identified yet.
func (l *link) closeIfUnidentified() {
	l.hub.mu.Lock()
	unidentified := l.peer == ""
	l.hub.mu.Unlock()
	if unidentified {
		l.hub.counters.refused.Add(1)
		l.close()
	}
}

// readStream reads frames. An invalid length ends the session, because the start of the
// next frame is unknown; malformed envelopes end it only after _maxRefusedFrames.
func (l *link) readStream(stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	for {
		payload, err := l.readFrame(stream)
		var frameErr *FrameError
		switch {
		case errors.As(err, &frameErr):
			l.refuse(err)
			l.close()
			return
		case err != nil:
			return
		}
		if err := l.receive(stream, payload); err != nil && !l.refuse(err) {
			l.close()
			return
		}
	}
}

func (l *link) readFrame(stream *yamux.Stream) ([]byte, error) {
	if err := stream.SetReadDeadline(time.Time{}); err != nil {
		return nil, err
	}
	length, err := readLength(stream)
	if err != nil {
		return nil, err
	}
	if err := stream.SetReadDeadline(time.Now().Add(_frameTimeout)); err != nil {
		return nil, err
	}
	payload, err := readPayload(stream, length)
	if err != nil {
		return nil, &FrameError{Problem: err.Error()}
	}
	return payload, nil
}

// refuse counts and logs a refused frame and reports whether the session may continue.
func (l *link) refuse(err error) bool {
	l.hub.counters.refused.Add(1)
	l.hub.log.Warn("peer frame rejected", zap.Stringer("address", l.session.RemoteAddr()), zap.Error(err))
	return l.refusedFrames.Add(1) < _maxRefusedFrames
}

func (l *link) receive(stream *yamux.Stream, payload []byte) error {
	envelope, err := vrwire.Unmarshal[vrwire.Envelope](payload)
	if err != nil {
		return err
	}
	if envelope.Identity != nil {
		// The connection of a question is not one for messages.
		return l.hub.answerIdentity(stream, envelope.Identity)
	}
	if err := l.identify(envelope.From); err != nil {
		return err
	}
	l.markUsed()
	l.hub.counters.messagesReceived.Add(1)
	if l.hub.options.OnReceive != nil {
		l.hub.options.OnReceive(envelope)
	}
	return nil
}

// identify checks that the sender is the session's peer. With plain TCP, the first frame
// identifies the peer.
func (l *link) identify(from vrid.DaemonID) error {
	l.hub.mu.Lock()
	defer l.hub.mu.Unlock()
	if l.peer == "" {
		l.peer, l.dialer = from, from
		l.hub.preferLocked(l)
	}
	if l.peer != from {
		return &IdentityError{Found: from, Want: l.peer}
	}
	return nil
}
