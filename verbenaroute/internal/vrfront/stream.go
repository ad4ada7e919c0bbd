package vrfront

import (
	"crypto/tls"
	"io"
	"net"
	"syscall"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
)

// _probeInterval is how often a waiting request looks at its connection.
const _probeInterval = time.Second

// streamReader gives the server the bytes of a token stream as they come. The server
// sends what one Read returned as one chunk, so no goroutine and no pipe stand between
// the back end's lines and the caller.
type streamReader struct {
	front   *Front
	flight  *flight
	format  *format
	conn    net.Conn
	release func()
	// pending is written before the next token.
	pending []byte
	// ended is set when the last bytes are in pending.
	ended bool
}

// Read blocks until there are bytes or the stream has ended.
func (r *streamReader) Read(p []byte) (int, error) {
	// A new deadline for each chunk: the server's own one would end a long stream.
	_ = r.conn.SetWriteDeadline(time.Now().Add(_writeTimeout))
	for {
		if len(r.pending) > 0 {
			n := copy(p, r.pending)
			r.pending = r.pending[n:]
			return n + r.more(p[n:]), nil
		}
		if r.ended {
			return 0, io.EOF
		}
		n, terminal := r.flight.take(p)
		if n > 0 {
			return n, nil
		}
		if terminal != nil {
			r.finish(terminal)
			continue
		}
		r.await()
	}
}

// more adds tokens that are there already, so that the opening chunk and the first
// token leave in one packet.
func (r *streamReader) more(p []byte) int {
	if len(r.pending) > 0 || r.ended || len(p) == 0 {
		return 0
	}
	n, _ := r.flight.take(p)
	return n
}

// await blocks until the flight changes. A caller that left is noticed here too: no
// write fails while no token comes.
func (r *streamReader) await() {
	timer := time.NewTimer(_probeInterval)
	defer timer.Stop()
	select {
	case <-r.flight.wake:
	case <-timer.C:
		if isClosed(r.conn) {
			r.front.leaveCaller(r.flight)
		}
	}
}

// finish encodes the end of the stream.
func (r *streamReader) finish(terminal vrevent.Effect) {
	r.ended = true
	if refusal, ok := terminal.(vrevent.Refuse); ok {
		r.pending = r.format.fail(r.pending[:0], refusal)
		return
	}
	r.pending = r.format.close(r.pending[:0], r.flight.finish, r.flight.tokens())
}

// Close is called by the server when the stream was sent or a write failed.
func (r *streamReader) Close() error {
	r.front.leaveCaller(r.flight)
	r.release()
	return nil
}

// isClosed reports whether the other side closed the connection, without taking a byte
// of a next request.
func isClosed(conn net.Conn) bool {
	if quiet, ok := conn.(*quietConn); ok {
		conn = quiet.Conn
	}
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	var peeked [1]byte
	// Control, unlike Read, ignores the read deadline, which has passed for a request
	// that waits longer than its body may take.
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = (n == 0 && err == nil) || (err != nil && err != syscall.EAGAIN && err != syscall.EINTR)
	})
	return closed || err != nil
}
