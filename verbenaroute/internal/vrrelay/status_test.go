package vrrelay

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
)

// _invalidStatuses are those that no server may use. Status 101 is not expected, because the gateway asks for
// no other protocol.
var _invalidStatuses = []string{"000", "007", "099", "101", "600", "999", "20", "2x0", "-20", "+20"}

// invalidStatusMark is in the status line, the headers and the body of each response with an invalid status,
// none of which may reach a client.
const invalidStatusMark = "stolen"

// forEachInvalidStatus calls test with a response to the request for each invalid status, with each framing,
// with and without the server's signature.
func forEachInvalidStatus(t *testing.T, headers string, test func(t *testing.T, reply string)) {
	const body = "id: 3\ndata: " + invalidStatusMark + "\n\n"
	for _, status := range _invalidStatuses {
		for _, signature := range []string{"", "X-Signed: sig\r\n"} {
			head := "HTTP/1.1 " + status + " " + invalidStatusMark + "\r\nContent-Type: text/event-stream\r\nX-Mark: " + invalidStatusMark + "\r\n" + headers + signature
			for name, reply := range map[string]string{
				"length": withLength(head, body), "chunks": head + chunkedLine + chunkedBody(body) + chunkedTail, "close": head + "\r\n" + body,
			} {
				t.Run(fmt.Sprintf("%s, %s, signed %t", status, name, signature != ""), func(t *testing.T) { test(t, reply) })
			}
		}
	}
}

const idHeader = "X-Request: ID\r\n"

// requireNoMark checks that a client got the gateway's own response with the given status.
func requireNoMark(t *testing.T, status int, response testResponse, body string) {
	t.Helper()
	require.Equal(t, status, response.status)
	require.NotContains(t, body, invalidStatusMark)
	require.NotContains(t, fmt.Sprint(response.header), invalidStatusMark)
	require.Empty(t, response.header.Get("X-Signed"))
}

// requireNoIdleConn checks that no connection is kept after the calls have ended.
func (p *testProxy) requireNoIdleConn(t *testing.T) {
	t.Helper()
	p.proxy.pool.mu.Lock()
	defer p.proxy.pool.mu.Unlock()
	for _, idle := range p.proxy.pool.idle {
		require.Empty(t, idle)
	}
}

// Guards against a response whose status RFC 9110 does not define being passed on as an answer, as 600 and 999
// were, or being skipped as an interim response, and against a kept connection to such a server.
func TestResponseWithInvalidStatusIsNoAnswer(t *testing.T) {
	forEachInvalidStatus(t, idHeader, func(t *testing.T, reply string) {
		// With a second response behind it, one that is skipped shows.
		for _, send := range []vrevent.SendCall{{AtMostOnce: true}, {Stream: true}, {HoldErrors: true}} {
			p := newTestProxy(t, send, startServer(t, replyWith(reply+okReply)))
			response, body, err := p.post("x")
			require.NoError(t, err)
			requireNoMark(t, http.StatusBadGateway, response, body)
			require.Equal(t, []string{"broken"}, p.results())
			p.requireNoIdleConn(t)
		}
	})
}

// Guards against a response with an invalid status proving that a request did not run.
func TestRefusalWithInvalidStatusProvesNothing(t *testing.T) {
	for _, headers := range []string{idHeader + "X-Not-Run: 1\r\n", "X-Not-Run: 1\r\n", idHeader + "X-Not-Run: 1\r\nX-Server: i-9\r\n" + leavingHeader} {
		forEachInvalidStatus(t, headers, func(t *testing.T, reply string) {
			p := newTestProxy(t, vrevent.SendCall{AtMostOnce: true, Born: 7}, startServer(t, replyWith(reply)))
			response, body, err := p.post("x")
			require.NoError(t, err)
			requireNoMark(t, http.StatusBadGateway, response, body)
			require.Equal(t, []string{"broken"}, p.results())
			require.Empty(t, p.leavingReports())
		})
	}
}

// Guards against a refusal that is believed although a response with an invalid status, which may be the
// answer of a run, follows it.
func TestRefusalFollowedByInvalidStatusProvesNothing(t *testing.T) {
	forEachInvalidStatus(t, idHeader, func(t *testing.T, reply string) {
		p := newTestProxy(t, vrevent.SendCall{AtMostOnce: true}, startServer(t, replyWith(refusal+reply)))
		response, body, err := p.post("x")
		require.NoError(t, err)
		requireNoMark(t, http.StatusBadGateway, response, body)
		require.Equal(t, []string{"broken"}, p.results())
	})
}

// Guards against the answer behind a response to another request that has an invalid status: the connection
// carries no sound responses.
func TestStrayResponseWithInvalidStatusIsNotSkipped(t *testing.T) {
	forEachInvalidStatus(t, "X-Request: other\r\n", func(t *testing.T, reply string) {
		p := newTestProxy(t, vrevent.SendCall{AtMostOnce: true}, startServer(t, replyWith(reply+okReply)))
		response, body, err := p.post("x")
		require.NoError(t, err)
		requireNoMark(t, http.StatusBadGateway, response, body)
	})
}

// Guards against a response with an invalid status that continues a broken stream.
func TestInvalidStatusContinuesNoStream(t *testing.T) {
	forEachInvalidStatus(t, idHeader, func(t *testing.T, reply string) {
		p := newTestProxy(t, vrevent.SendCall{Stream: true},
			startServer(t, replyWith(streamHead+chunkedLine+chunkedBody(eventOne, eventTwo))), startServer(t, replyWith(reply)))
		p.resumeOnce()
		_, received, err := p.post("x")
		require.Error(t, err)
		require.Equal(t, eventOne+eventTwo, received)
		require.Equal(t, []string{"broken", "broken"}, p.results())
	})
}

// Guards against a response with an invalid status of one of two hedged sends that ends the call or the other
// send.
func TestInvalidStatusEndsNoHedgedCall(t *testing.T) {
	for _, stream := range []bool{false, true} {
		forEachInvalidStatus(t, idHeader, func(t *testing.T, reply string) {
			resume := make(chan struct{})
			slow := startServer(t, func(request *http.Request, c net.Conn) {
				<-resume
				if stream {
					replyWith(chunkedHead+chunkedBody(firstEvent)+chunkedTail)(request, c)
				} else {
					replyWith(okReply)(request, c)
				}
			})
			p := newHedgingProxy(t, stream, false, slow, startServer(t, replyWith(reply)))
			after := p.afterSend
			p.afterSend = func(e vrevent.SendEnded) vrevent.Effect {
				if e.Send == 2 && len(p.ended) == 1 {
					close(resume)
				}
				return after(e)
			}
			response, body, err := p.post("x")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.status)
			require.NotContains(t, body, invalidStatusMark)
			require.Equal(t, []string{"answered", "broken"}, p.sortedResults())
		})
	}
}
