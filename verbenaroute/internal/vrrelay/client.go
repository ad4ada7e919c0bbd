package vrrelay

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"verbenaroute.example/verbenacore/vrid"
)

// clientSendBuffer is the size of the kernel's send buffer of a client's connection. The kernel would let it grow
// to several megabytes, all of which a client that does not read may fill. An answer that was read whole fits, so
// that it takes none of the daemon's buffers while its client reads, and is delivered however late that is.
const clientSendBuffer = maxBufferedResponse

// clientListener accepts connections whose errors are recorded.
type clientListener struct {
	net.Listener
	onError func(error)
}

// Accept returns a *clientConn for a TCP connection, and any other connection as it is.
func (l clientListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		l.onError(err)
		return nil, err
	}
	if tcp, ok := accepted.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(clientSendBuffer)
		return &clientConn{TCPConn: tcp}, nil
	}
	return accepted, nil
}

// clientConn is a client's connection. It records the errors of reads and writes, because net/http
// does not report those before a handler starts and after it has returned. It embeds the type and
// not the interface, so that net/http finds all methods of a TCP connection.
type clientConn struct {
	*net.TCPConn
	// closed is set once the gateway has closed the connection. While a handler is running,
	// net/http does so only when it shuts down or after a failed write.
	closed  atomic.Bool
	written atomic.Int64

	mu sync.Mutex
	// headStartedAt is when the first bytes of a request were read whose handler has not started,
	// or zero. writtenBefore is the number of bytes written until then.
	headStartedAt time.Time
	writtenBefore int64
	// served counts the requests whose handlers started.
	served int
	// current is the request in progress, from the start of its handler until its response was
	// written.
	current *requestRecord
	// readErr is the last error of a read since the connection was idle, writeErr the first of a
	// write.
	readErr, writeErr error
}

// clientConnKey is the key of the *clientConn in the context of a request.
type clientConnKey struct{}

// withClientConn adds the connection to the context of its requests. A connection of another type
// is represented by one on which no errors are recorded.
func withClientConn(ctx context.Context, accepted net.Conn) context.Context {
	c, ok := accepted.(*clientConn)
	if !ok {
		c = &clientConn{}
	}
	return context.WithValue(ctx, clientConnKey{}, c)
}

// clientConnOf returns the connection of a request.
func clientConnOf(ctx context.Context) *clientConn {
	if c, ok := ctx.Value(clientConnKey{}).(*clientConn); ok {
		return c
	}
	return &clientConn{}
}

// Read reads from the connection and records an error and the start of a request.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.current == nil && c.headStartedAt.IsZero() {
		c.headStartedAt, c.writtenBefore = time.Now(), c.written.Load()
	}
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// Write writes to the connection and records an error.
func (c *clientConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.written.Add(int64(n))
	if err != nil {
		c.recordWriteError(err)
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom. It records an error that is not one of the reader.
func (c *clientConn) ReadFrom(r io.Reader) (int64, error) {
	source := &errorRecorder{Reader: r}
	n, err := c.TCPConn.ReadFrom(source)
	c.written.Add(n)
	if err != nil && source.err == nil {
		c.recordWriteError(err)
	}
	return n, err
}

// Close closes the connection.
func (c *clientConn) Close() error {
	c.closed.Store(true)
	return c.TCPConn.Close()
}

// breakOff makes the close of the connection tell the client that the response to its request is cut. In HTTP/1.1 the
// missing rest of a length or of chunks does; a response without either, as HTTP/1.0 clients get it, would look
// complete.
func (c *clientConn) breakOff(r *http.Request) {
	if c.TCPConn != nil && !r.ProtoAtLeast(1, 1) {
		_ = c.SetLinger(0)
	}
}

// hasLeft reports whether the client has closed the connection or its sending side. net/http takes both for a
// client that has left, but notices them only once the body of the request was read. The state of the connection
// shows them behind unread bytes.
func (c *clientConn) hasLeft() bool {
	if c.TCPConn == nil {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		left = infoErr == nil && info.State != unix.BPF_TCP_ESTABLISHED
	})
	return err == nil && left
}

func (c *clientConn) recordWriteError(err error) {
	c.mu.Lock()
	if c.writeErr == nil {
		c.writeErr = err
	}
	current := c.current
	c.mu.Unlock()
	if current != nil {
		current.flushFailed(err)
	}
}

// ioErrors returns the recorded errors of reads and writes.
func (c *clientConn) ioErrors() (readErr, writeErr error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readErr, c.writeErr
}

// startRequest returns the record of a request whose handler starts.
func (c *clientConn) startRequest(request vrid.RequestID, onCut func(CutRequest)) *requestRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = &requestRecord{
		onCut: onCut, conn: c, request: request, servedBefore: c.served, writtenBefore: c.written.Load(), readAt: time.Now(),
	}
	c.headStartedAt = time.Time{}
	c.served++
	return c.current
}

// trackConnState reports requests whose head could not be read: net/http closes the connection
// without calling a handler. The state is not set to active if only part of a head was read on a
// kept connection, so the bytes that were read decide.
func (p *Proxy) trackConnState(accepted net.Conn, state http.ConnState) {
	c, ok := accepted.(*clientConn)
	if !ok || (state != http.StateIdle && state != http.StateClosed) {
		return
	}
	c.mu.Lock()
	unread := &requestRecord{onCut: p.opts.OnCut, conn: c, servedBefore: c.served, writtenBefore: c.writtenBefore, readAt: c.headStartedAt}
	readErr := c.readErr
	c.current, c.headStartedAt, c.readErr = nil, time.Time{}, nil
	c.mu.Unlock()
	if state == http.StateIdle || unread.readAt.IsZero() {
		return
	}
	detail := ""
	if readErr != nil {
		detail = readErr.Error()
	}
	unread.report(CutHeadUnread, detail)
}

// errorRecorder records the error of a reader.
type errorRecorder struct {
	io.Reader
	err error
}

func (r *errorRecorder) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}
