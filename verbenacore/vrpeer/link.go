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
	// _dialTimeout bounds the connection and the TLS handshake; the longest round trip
	// is 16 ms.
	_dialTimeout = 2 * time.Second
	// _handshakeTimeout bounds a silent or slow client, until its first frame.
	_handshakeTimeout = 5 * time.Second
	// _frameTimeout bounds a frame whose length has come, and a write.
	_frameTimeout = 5 * time.Second
	// _maxStreams is the number of streams of one session; a peer needs one.
	_maxStreams = 2
	// _maxFaults is the number of refused frames after which a session is closed.
	_maxFaults = 8
)

// link is one session.
type link struct {
	hub     *Hub
	session *yamux.Session
	// dialer is the daemon that opened the session.
	dialer   vrid.DaemonID
	lastUsed atomic.Int64
	faults   atomic.Int32

	mu sync.Mutex
	// peer is empty until the sender is known.
	peer vrid.DaemonID
	out  *yamux.Stream
}

// countedConn counts the bytes of the hub.
type countedConn struct {
	net.Conn
	counters *counters
}

func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.counters.bytesReceived.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(data []byte) (int, error) {
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
	// The library logs each garbage connection as text; the hub counts them.
	config.LogOutput = io.Discard
	return config
}

// serveConn runs an accepted connection to its end.
func (h *Hub) serveConn(conn net.Conn) {
	var peer vrid.DaemonID
	if h.credentials != nil {
		secured, id, err := h.handshakeServer(conn)
		if err != nil {
			h.counters.refused.Add(1)
			h.log.Info("peer refused", zap.Stringer("address", conn.RemoteAddr()), zap.Error(err))
			_ = conn.Close()
			return
		}
		conn, peer = secured, id
	}
	session, err := yamux.Server(&countedConn{Conn: conn, counters: &h.counters}, sessionConfig())
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

func (h *Hub) handshakeServer(conn net.Conn) (net.Conn, vrid.DaemonID, error) {
	var peer vrid.DaemonID
	secured := tls.Server(conn, h.credentials.config(func(id vrid.DaemonID) error {
		peer = id
		return nil
	}))
	ctx, cancel := context.WithTimeout(h.ctx, _handshakeTimeout)
	defer cancel()
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, "", err
	}
	return secured, peer, nil
}

// linkTo returns the session to a peer, and opens one if there is none.
func (h *Hub) linkTo(p *peer) (*link, error) {
	h.mu.Lock()
	known, address := h.preferred[p.id], p.address
	h.mu.Unlock()
	if known != nil && !known.session.IsClosed() {
		return known, nil
	}
	conn, err := h.dial(p.id, address)
	if err != nil {
		return nil, err
	}
	session, err := yamux.Client(&countedConn{Conn: conn, counters: &h.counters}, sessionConfig())
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

func (h *Hub) dial(id vrid.DaemonID, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(h.ctx, _dialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil || h.credentials == nil {
		return conn, err
	}
	secured := tls.Client(conn, h.credentials.config(func(found vrid.DaemonID) error {
		if found != id {
			return &IdentityError{Found: found, Want: id}
		}
		return nil
	}))
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("handshake with %s: %w", id, err)
	}
	return secured, nil
}

func (h *Hub) addLink(l *link) bool {
	l.touch()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.links[l] = true
	h.preferLocked(l)
	return true
}

// preferLocked chooses the session to a peer. When both daemons open one at the same
// time, both keep the one of the smaller id; the other one becomes idle and is closed.
func (h *Hub) preferLocked(l *link) {
	if l.peer == "" {
		return
	}
	known := h.preferred[l.peer]
	if known == nil || known.session.IsClosed() || l.dialer < known.dialer {
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

func (l *link) touch() { l.lastUsed.Store(time.Now().UnixNano()) }

func (l *link) close() {
	_ = l.session.Close()
	l.hub.removeLink(l)
}

// write sends a frame on the session's own stream, within a bounded time.
func (l *link) write(frame []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out == nil {
		stream, err := l.session.OpenStream()
		if err != nil {
			return err
		}
		l.out = stream
	}
	if err := l.out.SetWriteDeadline(time.Now().Add(_frameTimeout)); err != nil {
		return err
	}
	if _, err := l.out.Write(frame); err != nil {
		return err
	}
	l.touch()
	l.hub.counters.messagesSent.Add(1)
	return nil
}

// serve reads the peer's streams until the session ends.
func (l *link) serve() {
	defer l.close()
	slots := make(chan struct{}, _maxStreams)
	silent := time.AfterFunc(_handshakeTimeout, l.closeIfUnknown)
	defer silent.Stop()
	for {
		stream, err := l.session.AcceptStream()
		if err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			l.refuse(&FrameError{Problem: "too many streams"})
			return
		}
		started := l.hub.spawn(func() {
			defer func() { <-slots }()
			l.readStream(stream)
		})
		if !started {
			return
		}
	}
}

func (l *link) closeIfUnknown() {
	l.hub.mu.Lock()
	unknown := l.peer == ""
	l.hub.mu.Unlock()
	if unknown {
		l.hub.counters.refused.Add(1)
		l.close()
	}
}

// readStream reads frames. A wrong length ends the session, because the start of the
// next frame is lost; a malformed envelope ends it only when there are many.
func (l *link) readStream(stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	for {
		payload, err := l.readFrame(stream)
		var frame *FrameError
		switch {
		case errors.As(err, &frame):
			l.refuse(err)
			l.close()
			return
		case err != nil:
			return
		}
		if err := l.receive(payload); err != nil && !l.refuse(err) {
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

// refuse counts a fault and reports whether the session may go on.
func (l *link) refuse(err error) bool {
	l.hub.counters.refused.Add(1)
	l.hub.log.Warn("peer frame refused", zap.Stringer("address", l.session.RemoteAddr()), zap.Error(err))
	return l.faults.Add(1) < _maxFaults
}

func (l *link) receive(payload []byte) error {
	envelope, err := vrwire.Unmarshal[vrwire.Envelope](payload)
	if err != nil {
		return err
	}
	if err := l.identify(envelope.From); err != nil {
		return err
	}
	l.touch()
	l.hub.counters.messagesReceived.Add(1)
	if l.hub.options.OnReceive != nil {
		l.hub.options.OnReceive(envelope)
	}
	return nil
}

// identify checks the sender. With plain TCP the first frame names it.
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
