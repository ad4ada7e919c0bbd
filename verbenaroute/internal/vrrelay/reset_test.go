package vrrelay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reset closes a connection so that its peer receives a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// readUntilEnd sends a request on a new connection, reads the head of its response, calls endSeen, and returns
// the rest of the body.
func readUntilEnd(t *testing.T, address string, endSeen func(c *conn)) (string, error) {
	c, err := newPool().get(backend{server: "i-1", address: address}, "r1", false)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\nX-Request: r1\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	endSeen(c)
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

// Guards against a stream without a length that ends as complete although its connection was reset: after a freeze
// of the process, the stall watch met the reset by a peek and dropped it, and the read that followed saw the end of
// the connection (review case 8).
func TestResetMetByPeekIsNoEndOfAnswer(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	for _, test := range []struct {
		name    string
		end     func(c net.Conn)
		wantErr error
	}{
		{"closed", func(c net.Conn) { _ = c.Close() }, nil},
		{"reset", reset, syscall.ECONNRESET},
	} {
		t.Run(test.name, func(t *testing.T) {
			headRead := make(chan struct{})
			address := startServer(t, func(_ *http.Request, c net.Conn) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
				<-headRead
				test.end(c)
			})
			_, err := readUntilEnd(t, address, func(c *conn) {
				close(headRead)
				require.Eventually(t, c.HasUnread, 10*time.Second, time.Millisecond)
			})
			require.ErrorIs(t, err, test.wantErr)
		})
	}
	t.Run("bytes before the reset", func(t *testing.T) {
		proceed := make(chan struct{})
		address := startServer(t, func(_ *http.Request, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+event)
			<-proceed
			reset(c)
		})
		data, err := readUntilEnd(t, address, func(c *conn) {
			close(proceed)
			require.Eventually(t, c.HasUnread, 10*time.Second, time.Millisecond)
		})
		require.ErrorIs(t, err, syscall.ECONNRESET)
		require.Equal(t, event, data)
	})
}

// Guards against a connection that is used again although it has failed after its response was read.
func TestFailedConnectionIsNotPooled(t *testing.T) {
	p := newPool()
	address := serveConns(t, func(_ int, reader *bufio.Reader, c net.Conn) {
		if _, err := reader.ReadByte(); err == nil {
			reset(c)
		}
	})
	key := backend{server: "i-1", address: address}
	c, err := p.get(key, "r1", false)
	require.NoError(t, err)
	_, err = fmt.Fprint(c, "x")
	require.NoError(t, err)
	require.Eventually(t, c.HasUnread, 10*time.Second, time.Millisecond)
	p.put(c)
	require.Empty(t, p.idle[key])
}
