package vrfront

import (
	"io"
	"net"
	"sync"
)

// onceCloseListener makes Close idempotent, because both the Front and the HTTP server
// close the listener. It also wraps each connection in a silentEOFConn.
type onceCloseListener struct {
	net.Listener
	once sync.Once
	err  error
}

// Close implements net.Listener.
func (l *onceCloseListener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

// Accept implements net.Listener.
func (l *onceCloseListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &silentEOFConn{Conn: conn}, nil
}

// silentEOFConn turns a read error into io.EOF while no byte has been received. Without it
// the server would send a refusal on each connection that a client opened in advance or a
// load balancer opened as a probe, and each refusal would become an entry in the record.
type silentEOFConn struct {
	net.Conn
	// receivedBytes is only accessed by the reading goroutine.
	receivedBytes bool
}

// Read implements net.Conn.
func (c *silentEOFConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.receivedBytes = c.receivedBytes || n > 0
	if err != nil && !c.receivedBytes {
		return 0, io.EOF
	}
	return n, err
}
