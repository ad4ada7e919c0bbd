package vrrelay

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
)

// requireReplaced checks that a client got the gateway's own response, which names the server's status.
func requireReplaced(t *testing.T, p *testProxy, status int, response testResponse, body string) {
	t.Helper()
	require.Equal(t, http.StatusBadGateway, response.status)
	require.Empty(t, response.header.Get("X-Signed"))
	require.Empty(t, response.header.Get("Retry-After"))
	require.NotContains(t, body, "from the server")
	require.Contains(t, body, fmt.Sprintf("status %d", status))
	require.Contains(t, body, `"reason":"outcomeUnknown","ran":"unknown","notRun":false`)
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.replaced) == 1
	}, 10*time.Second, time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Equal(t, status, p.replaced[0].Status)
	require.Equal(t, http.StatusBadGateway, p.replaced[0].Sent)
}

// promiseReplies returns responses with a status without the header that proves that the request did not run.
func promiseReplies(status int) map[string]string {
	const body = "from the server\n\n"
	replies := make(map[string]string)
	for name, headers := range map[string]string{"signed": signedHeaders, "unsigned": idHeader} {
		head := fmt.Sprintf("HTTP/1.1 %d Promise\r\n%sRetry-After: 1\r\n", status, headers)
		replies[name+", length"] = withLength(head, body)
		replies[name+", chunks"] = head + chunkedLine + chunkedBody(body) + chunkedTail
		replies[name+", close"] = head + "\r\n" + body
		replies[name+", large"] = withLength(head, strings.Repeat(body, maxBufferedResponse/len(body)+1))
		replies[name+", no body"] = withLength(head, "")
	}
	return replies
}

var _promisingStatuses = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout}

// Guards against a client that sends a request which may run at most once again, because its server has run it
// and answered with a status that promises the opposite: 16 of 120 such requests ran twice in a review.
func TestUnprovedPromiseIsNotPassedOn(t *testing.T) {
	for _, status := range _promisingStatuses {
		for name, reply := range promiseReplies(status) {
			for _, stream := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d, %s, stream %t", status, name, stream), func(t *testing.T) {
					send := vrevent.SendCall{AtMostOnce: true, HasTenants: true, Stream: stream}
					p := newTestProxy(t, send, startServer(t, replyWith(reply)))
					response, body, err := p.post("x")
					require.NoError(t, err)
					requireReplaced(t, p, status, response, body)
					require.Eventually(t, func() bool { return slices.Equal([]string{"answered"}, p.results()) }, 10*time.Second, time.Millisecond)
				})
			}
		}
	}
}

// Guards against replaced responses where they promise nothing: on routes whose requests may run again, and
// for other statuses, such as an application's own 401.
func TestOtherStatusesArePassedOn(t *testing.T) {
	for _, test := range []struct {
		status int
		send   vrevent.SendCall
	}{
		{http.StatusServiceUnavailable, vrevent.SendCall{HasTenants: true}},
		{http.StatusTooManyRequests, vrevent.SendCall{HasTenants: true, Stream: true}},
		{http.StatusUnauthorized, vrevent.SendCall{AtMostOnce: true, HasTenants: true}},
		{http.StatusUnauthorized, vrevent.SendCall{AtMostOnce: true}},
		{http.StatusInternalServerError, vrevent.SendCall{AtMostOnce: true, HasTenants: true}},
		{http.StatusConflict, vrevent.SendCall{AtMostOnce: true, HasTenants: true}},
		{http.StatusGatewayTimeout, vrevent.SendCall{AtMostOnce: true, HasTenants: true}},
	} {
		t.Run(fmt.Sprintf("%d, once %t, tenants %t", test.status, test.send.AtMostOnce, test.send.HasTenants), func(t *testing.T) {
			p := newTestProxy(t, test.send, startServer(t, replyWith(promiseReplies(test.status)["signed, length"])))
			response, body, err := p.post("x")
			require.NoError(t, err)
			require.Equal(t, test.status, response.status)
			require.Equal(t, "sig", response.header.Get("X-Signed"))
			require.Equal(t, "from the server\n\n", body)
		})
	}
}

// Guards against such a status that reaches the client by a hedge, before the body was read, or as a failure
// that was held back.
func TestUnprovedPromiseIsReplacedOnEachPath(t *testing.T) {
	const status = http.StatusServiceUnavailable
	reply := promiseReplies(status)["signed, length"]
	t.Run("hedge", func(t *testing.T) {
		silent := startServer(t, func(_ *http.Request, c net.Conn) { _, _ = c.Read(make([]byte, 1)) })
		other := startServer(t, replyWith(reply))
		p := newHedgingProxy(t, false, false, silent, other)
		hedged := false
		p.onStalled = func(e vrevent.SendStalled) {
			if !hedged {
				hedged = true
				p.proxy.HandleEffect(vrevent.SendCall{
					Call: e.Call, Send: 2, Server: "i-other", Address: other, Deadline: time.Now().Add(time.Minute), AtMostOnce: true, Hedge: true,
				})
			}
		}
		response, body, err := p.post("x")
		require.NoError(t, err)
		requireReplaced(t, p, status, response, body)
	})
	t.Run("early response", func(t *testing.T) {
		p := newTestProxy(t, vrevent.SendCall{AtMostOnce: true}, startServer(t, func(_ *http.Request, c net.Conn) {
			_, _ = c.Write([]byte(strings.ReplaceAll(reply, "ID", "req1")))
			_, _ = c.Read(make([]byte, 1))
		}))
		response, body, err := p.post(strings.Repeat("b", 1<<20))
		require.NoError(t, err)
		requireReplaced(t, p, status, response, body)
	})
	t.Run("held failure", func(t *testing.T) {
		p := newTestProxy(t, vrevent.SendCall{AtMostOnce: true, HoldErrors: true}, startServer(t, replyWith(reply)))
		p.afterSend = func(e vrevent.SendEnded) vrevent.Effect { return vrevent.ForwardFailure{Call: e.Call} }
		response, body, err := p.post("x")
		require.NoError(t, err)
		requireReplaced(t, p, status, response, body)
	})
	t.Run("held failure of an idempotent route", func(t *testing.T) {
		p := newTestProxy(t, vrevent.SendCall{HoldErrors: true}, startServer(t, replyWith(reply)))
		p.afterSend = func(e vrevent.SendEnded) vrevent.Effect { return vrevent.ForwardFailure{Call: e.Call} }
		response, body, err := p.post("x")
		require.NoError(t, err)
		require.Equal(t, status, response.status)
		require.Equal(t, "from the server\n\n", body)
	})
}
