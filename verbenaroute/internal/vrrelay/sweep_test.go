package vrrelay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
)

// Guards against connections to servers that have left and that nobody asks for again: a daemon kept up to 16 for each
// of them until it had no descriptors (review case 9).
func TestConnectionsToLeftServersAreClosed(t *testing.T) {
	for name, reply := range map[string]string{
		"closed by the server": "HTTP/1.1 200 OK\r\n" + signedHeaders + "Keep-Alive: timeout=3600\r\nContent-Length: 2\r\n\r\nok",
		"idle for too long":    "HTTP/1.1 200 OK\r\n" + signedHeaders + "Keep-Alive: timeout=2\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			leave := make(chan struct{})
			p := newTestProxy(t, vrevent.SendCall{}, serveConns(t, func(_ int, reader *bufio.Reader, c net.Conn) {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				replyWith(reply)(request, c)
				if name == "closed by the server" {
					<-leave
					return
				}
				_, _ = reader.ReadByte()
			}))
			_, _, err := p.post("x")
			require.NoError(t, err)
			require.Eventually(t, func() bool { return p.proxy.Connections().Idle == 1 }, 10*time.Second, time.Millisecond)
			close(leave)
			require.Eventually(t, func() bool { return p.proxy.Connections().Idle == 0 }, 30*time.Second, 10*time.Millisecond)
		})
	}
}

// brokeListener is a listener without descriptors.
type brokeListener struct{ net.Listener }

func (brokeListener) Accept() (net.Conn, error) {
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
}

// Guards against a daemon that has no descriptors for connections of clients, says that it is ready, and keeps those of
// idle connections to servers (review case 9).
func TestProxyWithoutDescriptorsCannotAccept(t *testing.T) {
	p := newTestProxy(t, vrevent.SendCall{}, serveConns(t, func(_ int, reader *bufio.Reader, c net.Conn) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			replyWith(okReply)(request, c)
		}
	}))
	_, _, err := p.post("x")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return p.proxy.Connections().Idle == 1 }, 10*time.Second, time.Millisecond)
	require.True(t, p.proxy.CanAccept())
	_, err = clientListener{Listener: brokeListener{}, onError: p.proxy.handleAcceptError}.Accept()
	require.Error(t, err)
	require.False(t, p.proxy.CanAccept())
	require.Equal(t, Connections{Idle: 0, AcceptFailures: 1}, p.proxy.Connections())
	require.Eventually(t, p.proxy.CanAccept, 30*time.Second, 10*time.Millisecond, "once nothing has failed for a while")
	_, _, err = p.postAs(fmt.Sprint("req", 2), "x")
	require.NoError(t, err)
}
