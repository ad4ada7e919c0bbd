package vrfront

import (
	"crypto/tls"
	"io"
	"net"
	"syscall"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
)

// _probeInterval is how often a waiting request checks whether its caller is connected.
const _probeInterval = time.Second

// streamReader is the body of a streamed response. The HTTP server sends the result of each
// Read as one chunk, so no extra goroutine or pipe is needed between the back end's stream
// and the caller.
type streamReader struct {
	front   *Front
	req     *inflightRequest
	encoder *answerEncoder
	conn    net.Conn
	release func()
	// pending holds bytes to send before the next token.
	pending []byte
	// ended is set once pending holds the last bytes of the stream.
	ended bool
}

// Read blocks until there is output or the stream has ended.
func (r *streamReader) Read(p []byte) (int, error) {
	// Set a new write deadline for each chunk, because the server's deadline covers the
	// whole response and would end a long stream.
	_ = r.conn.SetWriteDeadline(time.Now().Add(_writeTimeout))
	for {
		if len(r.pending) > 0 {
			n := copy(p, r.pending)
			r.pending = r.pending[n:]
			return n + r.fillFromOutput(p[n:]), nil
		}
		if r.ended {
			return 0, io.EOF
		}
		n, terminal := r.req.readOutput(p)
		if n > 0 {
			return n, nil
		}
		if terminal != nil {
			r.encodeEnd(terminal)
			continue
		}
		r.waitForChange()
	}
}

// fillFromOutput copies output that is already available into p, so that the opening chunk
// and the first token are sent in one packet.
func (r *streamReader) fillFromOutput(p []byte) int {
	if len(r.pending) > 0 || r.ended || len(p) == 0 {
		return 0
	}
	n, _ := r.req.readOutput(p)
	return n
}

// waitForChange blocks until there is new output or a terminal effect, for at most
// _probeInterval. It also detects that the caller has disconnected, because no write can
// fail while there are no tokens to send.
func (r *streamReader) waitForChange() {
	timer := time.NewTimer(_probeInterval)
	defer timer.Stop()
	select {
	case <-r.req.changed:
	case <-timer.C:
		if isClosedByPeer(r.conn) {
			r.front.handleCallerGone(r.req)
		}
	}
}

// encodeEnd puts the end of the stream into pending.
func (r *streamReader) encodeEnd(terminal vrevent.Effect) {
	r.ended = true
	if refusal, ok := terminal.(vrevent.Refuse); ok {
		r.pending = r.encoder.appendRefusal(r.pending[:0], refusal)
		return
	}
	r.pending = r.encoder.appendStreamEnd(r.pending[:0], r.req.finishReason, r.req.tokenCount())
}

// Close is called by the HTTP server after the stream was sent or a write failed.
func (r *streamReader) Close() error {
	r.front.handleCallerGone(r.req)
	r.release()
	return nil
}

// isClosedByPeer reports whether the peer has closed the connection. It only peeks, so that
// it consumes no byte of a following request.
func isClosedByPeer(conn net.Conn) bool {
	if wrapped, ok := conn.(*silentEOFConn); ok {
		conn = wrapped.Conn
	}
	if tlsConn, ok := conn.(*tls.Conn); ok {
		conn = tlsConn.NetConn()
	}
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	var peeked [1]byte
	// RawConn.Control, unlike RawConn.Read, ignores the read deadline, which has passed if
	// the request has waited longer than the timeout for its body.
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = (n == 0 && err == nil) || (err != nil && err != syscall.EAGAIN && err != syscall.EINTR)
	})
	return closed || err != nil
}
