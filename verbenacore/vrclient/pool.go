package vrclient

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// DialFunc opens a connection to an IP address with a port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

const (
	// _dialTimeout limits the attempt to connect to an address that drops packets. The
	// longest round trip between regions is 16 ms, so 1 s covers several lost packets.
	_dialTimeout = time.Second
	// _idleTimeout is how long an idle connection is kept for reuse.
	_idleTimeout = 10 * time.Second
	// _maxConnsPerHost is the maximum number of connections to one address.
	_maxConnsPerHost = 1024
	// _maxHeaderBytes is the maximum size of a response header (section 6 of the design).
	_maxHeaderBytes = 16 << 10
	// _evictThreshold is the number of known addresses at which unused ones are evicted.
	_evictThreshold = 512
	// _evictAfter is how long an address has to be unused before it is evicted.
	_evictAfter = 10 * time.Minute
	// _appReuseDelay is how long a connection to an application server stays unused after a
	// response. These responses carry no ID, so a second one can only be detected before the
	// next request is sent; 20 ms covers a server that is interrupted between two writes.
	_appReuseDelay = 20 * time.Millisecond
)

// pool keeps connections by address. It uses the connection pools of fasthttp but never its
// Do methods, because those retry requests on their own.
type pool struct {
	dialFunc DialFunc
	// reuseDelay is how long a connection stays unused after a response.
	reuseDelay time.Duration
	closed     atomic.Bool
	mu         sync.RWMutex
	hosts      map[string]*hostEntry
}

// hostEntry holds the connections to one address.
type hostEntry struct {
	client   *fasthttp.HostClient
	lastUsed atomic.Int64
}

func newPool(dial DialFunc) *pool {
	if dial == nil {
		dialer := &net.Dialer{}
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &pool{dialFunc: dial, hosts: make(map[string]*hostEntry)}
}

func (p *pool) entryFor(address string) *hostEntry {
	now := time.Now()
	p.mu.RLock()
	entry := p.hosts[address]
	p.mu.RUnlock()
	if entry == nil {
		entry = p.addEntry(address, now)
	}
	entry.lastUsed.Store(now.UnixNano())
	return entry
}

func (p *pool) addEntry(address string, now time.Time) *hostEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	if entry := p.hosts[address]; entry != nil {
		return entry
	}
	if len(p.hosts) >= _evictThreshold {
		p.evictUnusedLocked(now)
	}
	entry := &hostEntry{client: p.newClient(address)}
	entry.lastUsed.Store(now.UnixNano())
	p.hosts[address] = entry
	return entry
}

// evictUnusedLocked removes addresses without connections that were not used for
// _evictAfter, for example of VMs that were replaced.
func (p *pool) evictUnusedLocked(now time.Time) {
	cutoff := now.Add(-_evictAfter).UnixNano()
	for address, entry := range p.hosts {
		if entry.lastUsed.Load() < cutoff && entry.client.ConnsCount() == 0 {
			delete(p.hosts, address)
		}
	}
}

func (p *pool) newClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		DialTimeout:               p.dial,
		MaxConns:                  _maxConnsPerHost,
		ConnPoolStrategy:          fasthttp.LIFO,
		MaxIdleConnDuration:       _idleTimeout,
		ReadBufferSize:            _maxHeaderBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

func (p *pool) dial(address string, timeout time.Duration) (net.Conn, error) {
	dialTimeout := _dialTimeout
	if timeout > 0 {
		dialTimeout = min(dialTimeout, timeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.dialFunc(ctx, address)
	if err != nil {
		return nil, err
	}
	_, isTCP := conn.(*net.TCPConn)
	return &trackedConn{Conn: conn, plainTCP: isTCP}, nil
}

// releaseLater calls release after reuseDelay, or discard if the pool is closed by then.
func (p *pool) releaseLater(release, discard func()) {
	if p.reuseDelay == 0 {
		release()
		return
	}
	time.AfterFunc(p.reuseDelay, func() {
		if p.closed.Load() {
			discard()
			return
		}
		release()
	})
}

// close closes the idle connections.
func (p *pool) close() {
	p.closed.Store(true)
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, entry := range p.hosts {
		entry.client.CloseIdleConnections()
	}
}

// trackedConn is a connection that records whether any byte of the current request can have
// been sent.
type trackedConn struct {
	net.Conn
	// plainTCP is set for a TCP connection without TLS, where Write returns exactly the
	// number of bytes that the kernel accepted. TLS can send a part of a write that it
	// reports as failed.
	plainTCP bool
	// maybeSent is set when a byte of the current request can have been sent.
	maybeSent bool
	// used is set when the connection is returned to the pool after its first request.
	used bool
}

// Write writes data and records whether a byte can have been sent.
func (c *trackedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	if n > 0 || !c.plainTCP {
		c.maybeSent = true
	}
	return n, err
}

// isUsable reports whether an idle connection can carry a request. On a connection that the
// server has closed, a write would still succeed but the request would be lost, and its
// outcome would be unknown. Unread data on an idle connection belongs to a late response to
// an earlier request and must not become the response to the next one. Only plain TCP
// connections can be checked; other ones count as usable.
func (c *trackedConn) isUsable() bool {
	if !c.used || !c.plainTCP {
		return true
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, readErr := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}
