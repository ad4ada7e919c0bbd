package vrfront

import (
	"io"
	"net"
	"sync"
)

// sharedListener may be closed by the front and by the server.
type sharedListener struct {
	net.Listener
	once sync.Once
	err  error
}

// Close implements net.Listener.
func (l *sharedListener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

// Accept implements net.Listener.
func (l *sharedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &quietConn{Conn: conn}, nil
}

// quietConn ends like a closed connection when not a single byte came. The server would
// otherwise answer a refusal to a connection that a client opened ahead of need or that a
// balancer opened as a probe, and each would be an entry of the record.
type quietConn struct {
	net.Conn
	// spoke is only used by the goroutine that reads.
	spoke bool
}

// Read implements net.Conn.
func (c *quietConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.spoke = c.spoke || n > 0
	if err != nil && !c.spoke {
		return 0, io.EOF
	}
	return n, err
}
