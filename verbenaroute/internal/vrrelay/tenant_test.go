package vrrelay

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrdialect"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrwire"
)

// tenantDialect passes a tenant on and drops the client's key.
type tenantDialect struct{ testDialect }

func (d tenantDialect) SetRequestHeaders(header http.Header, info vrdialect.RequestInfo) {
	d.testDialect.SetRequestHeaders(header, info)
	if info.HasTenants {
		header.Del("X-Key")
		header.Set("X-Tenant", string(info.Tenant))
	}
}

// jumpingClock is a clock that can be set forward, as boot time is after a suspension.
type jumpingClock struct{ ahead atomic.Int64 }

func (c *jumpingClock) Now() time.Time { return time.Now().Add(time.Duration(c.ahead.Load())) }

// Guards against a request that is written, on a new or a reused connection, after the proof of its key has
// expired, and against a result that does not prove that nothing was sent.
func TestRequestIsNotWrittenAfterItsProof(t *testing.T) {
	for _, test := range []struct {
		name   string
		reused bool
	}{{"new connection", false}, {"reused connection", true}} {
		t.Run(test.name, func(t *testing.T) {
			clock := &jumpingClock{}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			received := make(chan string, 4)
			var connections atomic.Int64
			server := &http.Server{Handler: answerSigned(received), ConnState: func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					connections.Add(1)
				}
			}}
			t.Cleanup(func() { _ = server.Close() })
			go func() { _ = server.Serve(listener) }()
			p := newTestProxy(t, vrevent.SendCall{AuthorizedUntil: time.Now().Add(time.Minute)}, listener.Addr().String())
			p.proxy.opts.Clock = clock
			p.send.Deadline = time.Now().Add(time.Hour)
			if test.reused {
				_, _, err = p.postAs("first", "a")
				require.NoError(t, err)
				require.Equal(t, "first", <-received)
				p.mu.Lock()
				p.ended = nil
				p.mu.Unlock()
			}
			clock.ahead.Store(int64(time.Minute))
			response, _, err := p.postAs("second", "a")
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, response.status)
			results := p.results()
			require.Equal(t, vrevent.AttemptUnauthorized.String(), results[len(results)-1])
			require.Empty(t, received, "nothing was written")
			if test.reused {
				require.EqualValues(t, 1, connections.Load())
			}
		})
	}
}

// answerSigned answers each request and reports its id.
func answerSigned(received chan<- string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		received <- r.Header.Get("X-Request")
		w.Header().Set("X-Request", r.Header.Get("X-Request"))
		w.Header().Set("X-Signed", "sig")
		_, _ = io.WriteString(w, "ok")
	}
}

// Guards against a first send, a retry or a resumed stream that carries the client's key, or no tenant.
func TestEverySendCarriesTenantAndNoKey(t *testing.T) {
	headers := make(chan http.Header, 4)
	record := func(text string) func(*http.Request, net.Conn) {
		return func(request *http.Request, c net.Conn) {
			headers <- request.Header
			replyWith(text)(request, c)
		}
	}
	begin := "HTTP/1.1 200 OK\r\n" + signedHeaders + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(event string) string { return "f\r\n" + event + "\r\n" }
	server := startServer(t,
		record("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"),
		record(begin+chunk("id: 1\ndata: a\n\n")),
		record(begin+chunk("id: 2\ndata: b\n\n")+"0\r\n\r\n"))
	p := newTestProxy(t, vrevent.SendCall{HasTenants: true, Tenant: "t1", Stream: true, AuthorizedUntil: time.Now().Add(time.Minute)}, server)
	p.proxy.opts.Dialect = tenantDialect{}
	p.afterSend = func(e vrevent.SendEnded) vrevent.Effect { return p.nextSend(e.Call, e.PartForwarded) }
	request, err := http.NewRequest(http.MethodPost, p.url+"/", http.NoBody)
	require.NoError(t, err)
	for name, value := range map[string]string{"X-Request": "r", "X-Wait": "3000", "x-key": "secret", "X-Tenant": "stolen"} {
		request.Header.Set(name, value)
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", string(body))
	for _, lastEvent := range []string{"", "", "1"} {
		header := <-headers
		require.Empty(t, header.Values("X-Key"))
		require.Equal(t, []string{"t1"}, header.Values("X-Tenant"))
		require.Equal(t, lastEvent, header.Get("X-Last"))
	}
}

// Guards against a client of an unknown key that repeats its request, and against a 401 for a request that may
// have run.
func TestStatusOfRefusals(t *testing.T) {
	for _, test := range []struct {
		reason vrwire.Reason
		notRun bool
		status int
	}{
		{vrwire.ReasonTenantUnknown, true, http.StatusUnauthorized},
		{vrwire.ReasonTenantUnknown, false, http.StatusBadGateway},
		{vrwire.ReasonKeyUnverified, true, http.StatusServiceUnavailable},
		{vrwire.ReasonQuotaExceeded, true, http.StatusTooManyRequests},
		{vrwire.ReasonQueueFull, true, http.StatusServiceUnavailable},
	} {
		require.Equal(t, test.status, refusalStatus(&vrevent.RefuseCall{Reason: test.reason, NotRun: test.notRun}), test.reason)
	}
}
