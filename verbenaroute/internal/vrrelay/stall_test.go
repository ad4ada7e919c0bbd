package vrrelay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrconn"
	"verbenaroute.example/verbenacore/vrevent"
)

// pausingStream starts a server whose stream pauses between its two events until resume is closed.
func pausingStream(t *testing.T, resume <-chan struct{}) string {
	return startServer(t, func(request *http.Request, c net.Conn) {
		replyWith(chunkedHead+chunkedBody("id: 1\ndata: a\n\n"))(request, c)
		<-resume
		_, _ = io.WriteString(c, chunkedBody("id: 2\ndata: b\n\n")+"0\r\n\r\n")
	})
}

// A sound stream that pauses must not be cut by the proxy on its own: nobody may be able to go on
// with it. Clients saw streams closed in the middle (LOST).
func TestStalledStreamIsReportedAndGoesOn(t *testing.T) {
	resume := make(chan struct{})
	p := newTestProxy(t, vrevent.SendCall{Stream: true, MaxPause: 20 * time.Millisecond, Deadline: time.Now().Add(time.Minute)}, pausingStream(t, resume))
	p.keepStalled = true
	go func() {
		defer close(resume)
		// Several reports show that the pause goes on being reported.
		for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); <-time.After(time.Millisecond) {
			p.mu.Lock()
			stalls := p.stalls
			p.mu.Unlock()
			if stalls >= 3 {
				return
			}
		}
	}()
	_, body, err := p.post("x")
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", body)
	require.GreaterOrEqual(t, p.stalls, 3)
	require.Equal(t, []string{"answered"}, p.results())
}

// A server that is slow to its first byte must be reported and not be given up by the proxy on its own:
// nobody else may take the request. Clients got 502 for requests that servers were at work on.
func TestLateFirstByteIsReportedAndNotCut(t *testing.T) {
	for reply, stream := range map[string]bool{chunkedHead + chunkedBody("data: a\n\n") + "0\r\n\r\n": true, okReply: false} {
		t.Run(fmt.Sprint("stream ", stream), func(t *testing.T) {
			resume := make(chan struct{})
			p := newTestProxy(t, vrevent.SendCall{Stream: stream, FirstByteDeadline: time.Now().Add(20 * time.Millisecond), Deadline: time.Now().Add(time.Minute)},
				startServer(t, func(request *http.Request, c net.Conn) {
					<-resume
					replyWith(reply)(request, c)
				}))
			p.keepStalled = true
			go func() {
				defer close(resume)
				for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); <-time.After(time.Millisecond) {
					p.mu.Lock()
					stalls := p.stalls
					p.mu.Unlock()
					if stalls >= 3 {
						return
					}
				}
			}()
			response, _, err := p.post("x")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.status)
			require.GreaterOrEqual(t, p.stalls, 3)
			require.Equal(t, []string{"answered"}, p.results())
		})
	}
}

// A resumed stream has no limit for its first event, so the silence of its new server must be reported from
// the send on. Otherwise a server that hangs before the head would hold the stream until its deadline.
func TestResumedStreamIsReportedAsStalledBeforeHead(t *testing.T) {
	silent, _ := startSilentServer(t)
	p := newTestProxy(t, vrevent.SendCall{Stream: true, MaxPause: 20 * time.Millisecond, Deadline: time.Now().Add(time.Minute)},
		startServer(t, replyWith(chunkedHead+chunkedBody("id: 1\ndata: a\n\n"))), silent)
	p.afterSend = func(e vrevent.SendEnded) vrevent.Effect {
		if e.Send == 1 {
			return p.nextSend(e.Call, true)
		}
		return vrevent.AbortCall{Call: e.Call}
	}
	startedAt := time.Now()
	_, received, err := p.post("x")
	require.Error(t, err)
	require.Less(t, time.Since(startedAt), 30*time.Second, "the call has a minute")
	require.Equal(t, "id: 1\ndata: a\n\n", received)
	require.Equal(t, []string{"broken", "timedOut"}, p.results())
}

// A stream that starts with a comment and then falls silent has no event that starts the watch of its
// pauses, and its head was forwarded, so no read deadline but that of the call is left: the stream of
// a server that hangs was held until the client gave up.
func TestStreamThatStartsWithCommentIsReportedAsStalled(t *testing.T) {
	resume := make(chan struct{})
	p := newTestProxy(t, vrevent.SendCall{Stream: true, MaxPause: 20 * time.Millisecond, Deadline: time.Now().Add(2 * time.Second)},
		startServer(t, func(request *http.Request, c net.Conn) {
			replyWith(chunkedHead+chunkedBody(": alive\n\n"))(request, c)
			<-resume
		}))
	defer close(resume)
	p.keepStalled = true
	p.afterSend = func(e vrevent.SendEnded) vrevent.Effect { return vrevent.AbortCall{Call: e.Call} }
	_, received, err := p.post("x")
	require.Error(t, err)
	require.Equal(t, ": alive\n\n", received)
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Positive(t, p.stalls)
}

// A stream that has not begun shortly before its client leaves must end, so that the client still gets an
// answer, and one that has begun must not. Clients left without any answer after two seconds.
func TestStreamEndsUnlessItBeginsInTime(t *testing.T) {
	const limit = time.Second
	for _, test := range []struct{ name, begin, result string }{
		{"nothing", "", "timedOut"},
		{"head", chunkedHead, "timedOut"},
		{"unfinished event", chunkedHead + chunkedBody("id: 1\n"), "timedOut"},
		{"event", chunkedHead + chunkedBody(firstEvent), "answered"},
		{"comment", chunkedHead + chunkedBody(": alive\n\n"), "answered"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			startedAt := time.Now()
			p := newTestProxy(t, vrevent.SendCall{Stream: true, BeginDeadline: startedAt.Add(limit), Deadline: startedAt.Add(time.Minute)},
				startServer(t, func(request *http.Request, c net.Conn) {
					if test.result == "timedOut" {
						waitForClose(test.begin)(request, c)
						return
					}
					replyWith(test.begin)(request, c)
					<-time.After(2 * limit)
					_, _ = io.WriteString(c, chunkedBody(secondEvent)+"0\r\n\r\n")
				}))
			_, _, err := p.post("x")
			require.NoError(t, err)
			require.Equal(t, []string{test.result}, p.results())
			require.Less(t, time.Since(startedAt), 30*time.Second, "the call has a minute")
		})
	}
}

// watchedConn returns a watch of a connection that has stalled, both ends of the connection and the
// number of reports so far.
func watchedConn(t *testing.T) (w *stallWatch, client, server net.Conn, reports *int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	client, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	server, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	reports = new(int)
	w = &stallWatch{conn: &conn{Conn: vrconn.New(client)}, maxPause: time.Hour, report: func(time.Duration) { *reports++ }}
	t.Cleanup(w.stop)
	w.progress()
	w.check()
	require.Equal(t, 1, *reports)
	return w, client, server, reports
}

// Bytes that have arrived and are not yet read are no stall. Streams of sound servers were reported,
// and could be cut, after this process was held up.
func TestUnreadBytesAreNoStall(t *testing.T) {
	w, client, server, reports := watchedConn(t)
	_, err := io.WriteString(server, "ab")
	require.NoError(t, err)
	// The second byte has arrived too: the two were sent together.
	_, err = client.Read(make([]byte, 1))
	require.NoError(t, err)
	w.check()
	require.Equal(t, 1, *reports)
	_, err = client.Read(make([]byte, 1))
	require.NoError(t, err)
}

// A timer that fires while an event is handled must not report the event's server as silent: the report
// would be taken for one about the first byte, and a stream that has just begun be hedged.
func TestTimerOfEarlierSilenceIsIgnored(t *testing.T) {
	w, _, _, reports := watchedConn(t)
	w.progress()
	w.expire()
	require.Equal(t, 1, *reports)
}

// A stream whose end has arrived and is not yet read is no stall either: a process that was held up
// would hedge a stream that is complete.
func TestUnreadEndOfStreamIsNoStall(t *testing.T) {
	w, client, server, reports := watchedConn(t)
	require.NoError(t, server.Close())
	// A read waits for the end and does not consume it.
	_, err := client.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	w.check()
	require.Equal(t, 1, *reports)
}
