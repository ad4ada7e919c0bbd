package vrrelay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
)

// dialClient opens a client's connection to the proxy.
func (p *testProxy) dialClient() *net.TCPConn {
	c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	require.NoError(p.t, err)
	tcp, ok := c.(*net.TCPConn)
	require.True(p.t, ok)
	p.t.Cleanup(func() { _ = tcp.Close() })
	return tcp
}

const getRequest = "GET /x/ HTTP/1.1\r\nHost: h\r\nX-Request: req1\r\n\r\n"

// sendText writes raw bytes of a request.
func sendText(t *testing.T, c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

// serveOne completes one request on a connection, which is kept.
func serveOne(t *testing.T, c net.Conn) {
	sendText(t, c, getRequest)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
}

// requireCut waits until the proxy has reported a cut request, and returns the only one.
func (p *testProxy) requireCut() CutRequest {
	var cuts []CutRequest
	require.Eventually(p.t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		cuts = slices.Clone(p.cuts)
		return len(cuts) > 0
	}, 5*time.Second, time.Millisecond)
	require.Len(p.t, cuts, 1)
	return cuts[0]
}

// abortAfterSend makes the script close the client's connection after each failed send.
func (p *testProxy) abortAfterSend() {
	p.afterSend = func(e vrevent.SendEnded) vrevent.Effect { return vrevent.AbortCall{Call: e.Call} }
}

// startSilentServer starts a server that reads one request and does not answer it. The channel is
// closed once the request was read.
func startSilentServer(t *testing.T) (address string, arrived <-chan struct{}) {
	read := make(chan struct{})
	return startServer(t, func(request *http.Request, c net.Conn) {
		close(read)
		waitForClose("")(request, c)
	}), read
}

// waitForClose is a reply that writes text and then waits until the proxy closes the connection.
func waitForClose(text string) func(*http.Request, net.Conn) {
	return func(request *http.Request, c net.Conn) {
		replyWith(text)(request, c)
		_, _ = c.Read(make([]byte, 1))
	}
}

const (
	okReply     = "HTTP/1.1 200 OK\r\n" + signedHeaders + "Content-Length: 2\r\n\r\nok"
	closeHeader = "Connection: close\r\n"
)

// Guards against a request whose head could not be read ending without a trace: net/http calls no
// handler for it.
func TestUnreadHeadIsReported(t *testing.T) {
	for _, test := range []struct {
		name, text string
		kept       bool
	}{
		{"incomplete", "GET /x/ HT", false},
		{"incomplete on a kept connection", "GET /x/ HT", true},
		{"invalid", "nonsense\r\n\r\n", false},
		{"invalid on a kept connection", "nonsense\r\n\r\n", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newTestProxy(t, vrevent.SendCall{}, startServer(t, replyWith(okReply)))
			c := p.dialClient()
			if test.kept {
				serveOne(t, c)
			}
			sendText(t, c, test.text)
			require.NoError(t, c.CloseWrite())
			cut := p.requireCut()
			require.Equal(t, "headUnread", cut.Cause.String())
			require.Empty(t, cut.Request)
			require.Equal(t, test.kept, cut.ServedBefore == 1)
			require.Positive(t, cut.ResponseBytes, "net/http answers with status 400")
		})
	}
}

// Guards against a request whose body could not be read ending without a trace: the reducer never
// hears of it.
func TestUnreadBodyIsReported(t *testing.T) {
	p := newTestProxy(t, vrevent.SendCall{}, "127.0.0.1:1")
	c := p.dialClient()
	sendText(t, c, "POST /x/ HTTP/1.1\r\nHost: h\r\nX-Request: req1\r\nContent-Length: 10\r\n\r\nabc")
	require.NoError(t, c.CloseWrite())
	cut := p.requireCut()
	require.Equal(t, "bodyUnread", cut.Cause.String())
	require.EqualValues(t, "req1", cut.Request)
	require.Equal(t, "unexpected EOF", cut.Detail)
	require.Zero(t, cut.Sends)
}

// Guards against a client that left being mistaken for a connection that the gateway closed, and
// against a lost number of earlier requests of a kept connection.
func TestClientThatLeftIsReported(t *testing.T) {
	silent, arrived := startSilentServer(t)
	p := newTestProxy(t, vrevent.SendCall{Stream: true}, startServer(t, replyWith(okReply)), silent)
	c := p.dialClient()
	serveOne(t, c)
	sendText(t, c, getRequest)
	<-arrived
	require.NoError(t, c.Close())
	cut := p.requireCut()
	require.Equal(t, "clientGone", cut.Cause.String())
	require.Equal(t, 1, cut.ServedBefore)
	require.Equal(t, 1, cut.Sends)
	require.Equal(t, "callerGone", cut.Result)
	require.Zero(t, cut.ResponseBytes)
	require.True(t, cut.Cause.IsClientSide())
}

// Guards against an answer that a client did not read until the write deadline passing for a
// fault of its server, or for a client that left. The two framings are written by different paths
// of net/http.
func TestWriteDeadlineIsReported(t *testing.T) {
	block := strings.Repeat("x", 1<<20)
	for _, test := range []struct {
		name       string
		stream     bool
		head, body string
	}{
		{"stream", true, chunkedHead, strings.Repeat(chunkedBody("data: "+block[:4<<10]+"\n\n"), 4<<10)},
		{"body with a length", false, "HTTP/1.1 200 OK\r\n" + signedHeaders + "Content-Length: 16777216\r\n\r\n", strings.Repeat(block, 16)},
		{"body in chunks", false, chunkedHead, strings.Repeat(chunkedBody(block), 16) + "0\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := startServer(t, func(request *http.Request, c net.Conn) {
				replyWith(test.head)(request, c)
				_, _ = io.WriteString(c, test.body)
			})
			// The deadline of writes is a second away, that of the server another two.
			p := newTestProxy(t, vrevent.SendCall{Stream: test.stream, Deadline: time.Now().Add(3 * time.Second)}, server)
			p.abortAfterSend()
			p.proxy.opts.WriteSlack = -2 * time.Second
			c := p.dialClient()
			require.NoError(t, c.SetReadBuffer(4<<10))
			sendText(t, c, getRequest)
			cut := p.requireCut()
			require.Equal(t, "writeTimedOut", cut.Cause.String())
			require.Positive(t, cut.ResponseBytes)
			require.False(t, cut.Cause.IsClientSide())
		})
	}
}

// Guards against an answer that is lost after its handler has returned: net/http writes the rest
// of it then, and reports no error.
func TestFailedFlushIsReported(t *testing.T) {
	p := newTestProxy(t, vrevent.SendCall{Deadline: time.Now().Add(time.Second)}, startServer(t, replyWith(okReply)))
	p.proxy.opts.WriteSlack = -time.Hour
	sendText(t, p.dialClient(), getRequest)
	cut := p.requireCut()
	require.Equal(t, "writeTimedOut", cut.Cause.String())
	require.Equal(t, "answered", cut.Result)
	require.Zero(t, cut.ResponseBytes)
}

// Guards against a reset of the client's connection passing for a write that timed out.
func TestFailedWriteIsReported(t *testing.T) {
	p := newTestProxy(t, vrevent.SendCall{}, "127.0.0.1:1")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	peer, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := clientListener{Listener: listener}.Accept()
	require.NoError(t, err)
	c := clientConnOf(withClientConn(context.Background(), accepted))
	defer func() { _ = c.Close() }()
	record := c.startRequest("req1", p.proxy.opts.OnCut)
	record.end(nil)
	tcp, ok := peer.(*net.TCPConn)
	require.True(t, ok)
	require.NoError(t, tcp.SetLinger(0))
	require.NoError(t, tcp.Close())
	require.Eventually(t, func() bool { _, err := c.Write([]byte("x")); return err != nil }, time.Second, time.Millisecond)
	require.Equal(t, "writeFailed", p.requireCut().Cause.String())
}

// Guards against a stream that its server broke off passing for one that the gateway cut for the
// server's silence, or at the end of the grace period. All look the same to the client.
func TestBrokenStreamIsReportedWithItsCause(t *testing.T) {
	part := chunkedHead + chunkedBody("id: 1\ndata: a\n\n")
	for _, test := range []struct {
		cause, result string
		reply         func(*http.Request, net.Conn)
		abortSends    bool
	}{
		{"serverFailed", "broken", replyWith(part), false},
		{"serverTimedOut", "timedOut", waitForClose(part), false},
		{"graceEnded", "timedOut", waitForClose(part), true},
	} {
		t.Run(test.cause, func(t *testing.T) {
			p := newTestProxy(t, vrevent.SendCall{Stream: true}, startServer(t, test.reply))
			p.abortAfterSend()
			c := p.dialClient()
			sendText(t, c, getRequest)
			_, err := http.ReadResponse(bufio.NewReader(c), nil) //nolint:bodyclose // the proxy breaks it off
			require.NoError(t, err)
			if test.abortSends {
				p.proxy.AbortSends()
			}
			cut := p.requireCut()
			require.Equal(t, test.cause, cut.Cause.String())
			require.Equal(t, test.result, cut.Result)
			require.EqualValues(t, "i-0", cut.Server)
			require.Positive(t, cut.ResponseBytes)
			require.False(t, cut.Cause.IsClientSide())
		})
	}
}

// Guards against connections that are closed at the end of the grace period passing for clients
// that left. The report must be there when Close returns, because the process exits then.
func TestConnectionClosedWithOpenCallIsReported(t *testing.T) {
	silent, arrived := startSilentServer(t)
	p := newTestProxy(t, vrevent.SendCall{}, silent)
	sendText(t, p.dialClient(), getRequest)
	<-arrived
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, p.proxy.Close(ctx))
	p.mu.Lock()
	reported := len(p.cuts)
	p.mu.Unlock()
	require.Equal(t, 1, reported)
	require.Equal(t, "connectionClosed", p.requireCut().Cause.String())
	require.Eventually(t, func() bool { return p.proxy.Active() == 0 }, time.Second, time.Millisecond)
	p.requireCut()
}

// Guards against a call whose effect was dropped, so that nothing can end it, passing for a client
// that left.
func TestDroppedEffectIsReported(t *testing.T) {
	silent, arrived := startSilentServer(t)
	p := newTestProxy(t, vrevent.SendCall{}, silent)
	c := p.dialClient()
	sendText(t, c, getRequest)
	<-arrived
	for range effectBuffer + 1 {
		p.proxy.HandleEffect(vrevent.RefuseCall{Call: 1})
	}
	require.NoError(t, c.Close())
	cut := p.requireCut()
	require.Equal(t, "effectDropped", cut.Cause.String())
	require.Equal(t, "RefuseCall", cut.Detail)
}

// Guards against a panic of a handler leaving no line in the log: net/http writes it to standard
// error.
func TestPanicIsReported(t *testing.T) {
	p := newTestProxy(t, vrevent.SendCall{}, "127.0.0.1:1")
	p.proxy.server.ErrorLog = log.New(io.Discard, "", 0)
	p.proxy.opts.Submit = func(vrevent.Event) { panic("broken invariant") }
	_, _, err := p.post("x")
	require.Error(t, err)
	cut := p.requireCut()
	require.Equal(t, "handlerPanicked", cut.Cause.String())
	require.Equal(t, "broken invariant", cut.Detail)
}

// Guards against complete answers that are counted as cut: on kept and on closing connections,
// refusals, large bodies, and connections that are closed without a request.
func TestAnsweredRequestsAreNotReported(t *testing.T) {
	large := strings.Repeat("x", 1<<20)
	p := newTestProxy(t, vrevent.SendCall{},
		startServer(t, replyWith(okReply)), startServer(t, replyWith("")),
		startServer(t, replyWith("HTTP/1.1 200 OK\r\n"+signedHeaders+"Content-Length: 1048576\r\n\r\n"+large)),
		startServer(t, replyWith(okReply)))
	c := p.dialClient()
	for range 3 {
		serveOne(t, c)
	}
	sendText(t, c, strings.Replace(getRequest, "\r\n\r\n", "\r\n"+closeHeader+"\r\n", 1))
	_, err := io.Copy(io.Discard, c)
	require.NoError(t, err)
	idle := p.dialClient()
	require.NoError(t, idle.Close())
	require.Eventually(t, func() bool { return p.proxy.Active() == 0 }, time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Empty(t, p.cuts)
	require.Len(t, p.ended, 4)
}

// Guards against a stream that was broken off and looks complete to an HTTP/1.0 client, whose responses end with
// their connection.
func TestCutStreamIsResetForClientWithoutChunks(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	for _, test := range []struct {
		name, body string
		wantErr    error
	}{
		{"whole", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(event), event), nil},
		{"cut", fmt.Sprintf("%x\r\n%s\r\n", len(event), event), syscall.ECONNRESET},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newTestProxy(t, vrevent.SendCall{Stream: true, AtMostOnce: true},
				startServer(t, replyWith("HTTP/1.1 200 OK\r\n"+signedHeaders+"Transfer-Encoding: chunked\r\n\r\n"+test.body)))
			c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
			require.NoError(t, err)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, "GET / HTTP/1.0\r\nX-Request: req1\r\nX-Wait: 3000\r\n\r\n")
			require.NoError(t, err)
			_, err = io.ReadAll(c)
			require.ErrorIs(t, err, test.wantErr)
		})
	}
}
