package vrrelay

import (
	"bufio"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"verbenaroute.example/verbenacore/vrconn"
	"verbenaroute.example/verbenacore/vrid"
)

const (
	dialTimeout = 500 * time.Millisecond
	// defaultMaxIdle is the idle limit of a connection whose server states no keep-alive
	// timeout.
	defaultMaxIdle = 3 * time.Second
	// idleMargin is subtracted from the keep-alive timeout that a server states.
	idleMargin = 1200 * time.Millisecond
	// atMostOnceMaxIdle is the idle limit for a request that may run at most once. If the server
	// had dropped the connection unnoticed, the outcome of the request would be unknown.
	atMostOnceMaxIdle = time.Second
	maxIdleConns      = 16
	readBufferSize    = 4 << 10
	keepAlivePeriod   = 15 * time.Second
	// serverReceiveBuffer is the size of the kernel's receive buffer of a connection to a server. The kernel
	// would let it grow to several megabytes, which stay filled while a client does not read.
	serverReceiveBuffer = 256 << 10
	// maxRequestsPerConn bounds the memory for the ids of the requests that a connection has carried.
	maxRequestsPerConn = 1024
)

// _requestHashSeed is the seed of the hashes in conn.requests.
var _requestHashSeed = maphash.MakeSeed()

// backend is the pool's key for the connections of one server. It contains the server's id,
// because an address can be reassigned to another server.
type backend struct {
	server  vrid.ServerID
	address string
}

// refusalTimeout is how long a server that broke a connection may take to refuse another one. A
// server that has crashed refuses it within one round trip.
const refusalTimeout = 100 * time.Millisecond

// refusesConnections reports whether nothing listens at the server's address, which tells a crashed
// server from one that only closed a connection.
func (b backend) refusesConnections() bool {
	c, err := net.DialTimeout("tcp", b.address, refusalTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close()
	return false
}

// conn is a connection to a server.
type conn struct {
	*vrconn.Conn
	backend backend
	reader  *bufio.Reader
	// source is what reader reads from. It limits the heads of responses.
	source *headLimiter
	// used is set once the connection has carried a complete exchange.
	used bool
	// requests holds a hash of the id of each request that the connection has carried. It carries
	// no id twice: a copy of the response to the first of two requests could not be told from the
	// response to the second. Two ids with the same hash only cost another connection.
	requests  []uint64
	idleSince time.Time
	// maxIdle is how long the connection may be idle before it is not used again.
	maxIdle time.Duration
}

// pool holds the idle connections to servers.
type pool struct {
	mu   sync.Mutex
	idle map[backend][]*conn
	// sweepScheduled is set while a sweep is scheduled, which is so while there are idle connections.
	sweepScheduled bool
}

func newPool() *pool { return &pool{idle: make(map[backend][]*conn)} }

// get returns an idle connection that may carry a request with this id, or dials a new one. A dial
// error proves that nothing was sent. The caller checks the connection for unread bytes right before
// it writes to it.
func (p *pool) get(key backend, request vrid.RequestID, atMostOnce bool) (*conn, error) {
	if c := p.pop(time.Now(), key, request, atMostOnce); c != nil {
		return c, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod, Control: limitReceiveBuffer}
	netConn, err := p.dial(&dialer, key.address)
	if err != nil {
		return nil, err
	}
	tracked := vrconn.New(netConn)
	source := &headLimiter{reader: tracked}
	return &conn{
		Conn: tracked, backend: key, source: source, reader: bufio.NewReaderSize(source, readBufferSize), maxIdle: defaultMaxIdle,
	}, nil
}

// limitReceiveBuffer sets the size of the receive buffer before the connection is made. If it is set later, the
// window may stay limited to what the initial buffer gives, 64 KiB, because Linux no longer adjusts a buffer whose
// size was set.
func limitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, serverReceiveBuffer)
	})
}

// HeadTooLargeError reports a response whose head, with the interim responses before it, exceeds
// the limit.
type HeadTooLargeError struct{ Limit vrid.Bytes }

func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("response head exceeds the limit of %d bytes (limits.responseHead)", e.Limit)
}

// headLimiter reads from a connection. While a head is read, it fails once the head exceeds the
// limit, because http.ReadResponse would read a head without end until the memory is full.
type headLimiter struct {
	reader    io.Reader
	limit     vrid.Bytes
	remaining vrid.Bytes
	inHead    bool
	// failed is set once a read was refused because the head exceeds the limit.
	failed bool
}

// beginHead limits the bytes that are read until endHead.
func (l *headLimiter) beginHead(limit vrid.Bytes) {
	l.limit, l.remaining, l.inHead = limit, limit, true
}

func (l *headLimiter) endHead() { l.inHead = false }

// exceeded reports whether a head exceeded the limit.
func (l *headLimiter) exceeded() bool { return l.failed }

func (l *headLimiter) Read(p []byte) (int, error) {
	if l.inHead && l.remaining <= 0 {
		l.failed = true
		return 0, &HeadTooLargeError{Limit: l.limit}
	}
	n, err := l.reader.Read(p)
	l.remaining -= vrid.Bytes(n)
	return n, err
}

// pop removes and returns the connection that became idle last among those that may carry a request
// with this id and have not been idle for too long, or nil. A response without an id can't be told from
// another one, so a request without an id gets a new connection. A connection that has been idle for too
// long only for a request that may run at most once is kept for others.
func (p *pool) pop(now time.Time, key backend, request vrid.RequestID, atMostOnce bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.expire(now, key)
	if len(idle) == 0 {
		delete(p.idle, key)
		return nil
	}
	if request == "" {
		return nil
	}
	hash := hashRequestID(request)
	for i, c := range slices.Backward(idle) {
		if atMostOnce && now.Sub(c.idleSince) >= atMostOnceMaxIdle {
			return nil
		}
		if !slices.Contains(c.requests, hash) {
			p.idle[key] = slices.Delete(idle, i, i+1)
			return c
		}
	}
	return nil
}

// expire closes the connections to a server that have been idle for too long, and returns the others, in the
// order in which they became idle.
func (p *pool) expire(now time.Time, key backend) []*conn {
	idle := slices.DeleteFunc(p.idle[key], func(c *conn) bool {
		expired := now.Sub(c.idleSince) >= c.maxIdle
		if expired {
			_ = c.Close()
		}
		return expired
	})
	p.idle[key] = idle
	return idle
}

func hashRequestID(request vrid.RequestID) uint64 {
	return maphash.String(_requestHashSeed, string(request))
}

// put returns a connection to the pool after its response was read to the end.
func (p *pool) put(c *conn) {
	if c.reader.Buffered() > 0 || len(c.requests) >= maxRequestsPerConn || c.Failure() != nil {
		// Bytes after a complete response belong to no request. A connection may have failed after the
		// response was read.
		_ = c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.used, c.idleSince = true, time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.expire(c.idleSince, c.backend)
	if len(idle) >= maxIdleConns {
		// The one that has been idle longest is the least likely to be used again.
		_ = idle[0].Close()
		idle = slices.Delete(idle, 0, 1)
	}
	p.idle[c.backend] = append(idle, c)
	p.scheduleSweep()
}

// closeIdle closes the idle connections of a server. When one connection went silent or was
// reset, the others may be broken too.
func (p *pool) closeIdle(key backend) {
	p.mu.Lock()
	idle := p.idle[key]
	delete(p.idle, key)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// maxIdleFromKeepAlive returns the idle limit of a connection, derived from the timeout in the
// server's Keep-Alive header, which is in seconds.
func maxIdleFromKeepAlive(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultMaxIdle
}

func itoa(n int) string { return strconv.Itoa(n) }
