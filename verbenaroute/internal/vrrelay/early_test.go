package vrrelay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
)

// newEarlyProxy returns a proxy before a server that answers each request before it has read its body, reads on once
// readOn is closed, and passes on what it has read and the error that ended the connection's next read.
func newEarlyProxy(t *testing.T, readOn <-chan struct{}, read chan<- int64) *testProxy {
	address := serveConns(t, func(_ int, reader *bufio.Reader, c net.Conn) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			first, _ := io.CopyN(io.Discard, request.Body, minConcurrentBody)
			_, _ = io.WriteString(c, strings.ReplaceAll(okReply, "ID", request.Header.Get("X-Request")))
			<-readOn
			rest, err := io.Copy(io.Discard, request.Body)
			read <- first + rest
			if err != nil {
				return
			}
		}
	})
	p := newTestProxy(t, vrevent.SendCall{AtMostOnce: true, Deadline: time.Now().Add(time.Minute)}, address)
	p.proxy.opts.Limits = func() vrcatalog.Limits { return vrcatalog.Limits{Body: 8 << 20} }
	return p
}

// Guards against an order that its server runs with half of its body: the connection was closed as soon as the answer
// was complete, although the server reads on (review case 2). The client has its answer at once, and may leave.
func TestBodyIsDeliveredAfterAnEarlyAnswer(t *testing.T) {
	const size = 6 << 20
	readOn, read := make(chan struct{}), make(chan int64, 2)
	p := newEarlyProxy(t, readOn, read)
	response, _, err := p.post(strings.Repeat("b", size))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.status)
	require.Eventually(t, func() bool { return p.proxy.Active() == 0 && p.proxy.Connections().Unfinished == 1 }, 10*time.Second, time.Millisecond)
	held, _, _ := p.proxy.bodies.read()
	require.Positive(t, held, "the memory of the body is in use")
	close(readOn)
	require.EqualValues(t, size, <-read)
	require.Eventually(t, func() bool { return p.proxy.Connections() == Connections{Idle: 1} }, 10*time.Second, time.Millisecond)
	p.requireBodiesReleased(t)
	_, _, err = p.postAs("req2", strings.Repeat("b", size))
	require.NoError(t, err)
	require.EqualValues(t, size, <-read)
}

// Guards against a body that holds its memory for ever, or a stop that does not end, because its server has answered
// and never reads on.
func TestUnfinishedBodyEndsWithTheSends(t *testing.T) {
	readOn, read := make(chan struct{}), make(chan int64, 1)
	defer close(readOn)
	p := newEarlyProxy(t, readOn, read)
	_, _, err := p.post(strings.Repeat("b", 6<<20))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return p.proxy.Connections().Unfinished == 1 }, 10*time.Second, time.Millisecond)
	p.proxy.AbortSends()
	require.Eventually(t, func() bool { return p.proxy.Connections() == Connections{} }, 10*time.Second, time.Millisecond)
	p.requireBodiesReleased(t)
}
