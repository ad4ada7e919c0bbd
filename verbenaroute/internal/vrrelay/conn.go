package vrrelay

import (
	"bufio"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"verbenaroute.example/verbenacore/vrid"
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleDefault is how long a connection is kept whose server names no time.
	idleDefault = 3 * time.Second
	// idleMargin is kept from the time that a server names.
	idleMargin = 1200 * time.Millisecond
	// onceIdle is how long a connection may have been idle for a request that may run only
	// once: one that a server dropped unseen would leave its outcome unknown.
	onceIdle  = time.Second
	idleMost  = 16
	readSize  = 4 << 10
	keepAlive = 15 * time.Second
)

// backend names the connections of one server: an address can pass to another one.
type backend struct {
	server  vrid.ServerID
	address string
}

// conn is one connection to a server.
type conn struct {
	net.Conn
	to     backend
	reader *bufio.Reader
	used   bool
	idleAt time.Time
	// idleFor is how long it may be idle.
	idleFor time.Duration
}

// pool keeps idle connections.
type pool struct {
	mu   sync.Mutex
	idle map[backend][]*conn
}

func newPool() *pool { return &pool{idle: make(map[backend][]*conn)} }

// get returns an idle connection that still looks open, or dials. A dial error proves that
// nothing was sent.
func (p *pool) get(to backend, once bool) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop(to)
		if c == nil {
			break
		}
		limit := c.idleFor
		if once {
			limit = min(limit, onceIdle)
		}
		if now.Sub(c.idleAt) < limit && c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	raw, err := dialer.Dial("tcp", to.address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, to: to, reader: bufio.NewReaderSize(raw, readSize), idleFor: idleDefault}, nil
}

func (p *pool) pop(to backend) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.idle[to]
	if len(held) == 0 {
		delete(p.idle, to)
		return nil
	}
	c := held[len(held)-1]
	p.idle[to] = held[:len(held)-1]
	return c
}

// put keeps a connection whose answer was read to its end.
func (p *pool) put(c *conn) {
	if c.reader.Buffered() > 0 {
		// Bytes after a complete answer belong to no request.
		_ = c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.used, c.idleAt = true, time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.to]) >= idleMost {
		_ = c.Close()
		return
	}
	p.idle[c.to] = append(p.idle[c.to], c)
}

// drop closes the idle connections of a server: when one went silent or was reset, its
// siblings may have too.
func (p *pool) drop(to backend) {
	p.mu.Lock()
	held := p.idle[to]
	delete(p.idle, to)
	p.mu.Unlock()
	for _, c := range held {
		_ = c.Close()
	}
}

// quiet reports whether an idle connection is open and has no bytes that nobody asked for.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var probe [1]byte
		n, _, recvErr := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = n <= 0 && (errors.Is(recvErr, syscall.EAGAIN) || errors.Is(recvErr, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && quiet
}

// keepAliveTime reads the seconds that a server names in its Keep-Alive header.
func keepAliveTime(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return idleDefault
}

func itoa(n int) string { return strconv.Itoa(n) }
