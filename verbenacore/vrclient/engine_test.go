package vrclient_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"verbenaroute.example/verbenacore/vrclient"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

func newEngine(t testing.TB, options vrclient.EngineOptions) *vrclient.Engine {
	client := vrclient.NewEngine(options)
	t.Cleanup(client.Close)
	return client
}

func newGenerateRequest(resumeFrom int) vrengine.GenerateRequest {
	return vrengine.GenerateRequest{RequestID: _requestID, Model: "summary@3", Prompt: "p", ResumeFrom: resumeFrom}
}

// tokenLine returns a response line with a token.
func tokenLine(id vrid.RequestID, offset int, text string) string {
	return fmt.Sprintf(`{"requestId":%q,"offset":%d,"token":%q}`+"\n", id, offset, text)
}

// doneLine returns the last line of a response.
func doneLine(offset int) string {
	return fmt.Sprintf(`{"requestId":%q,"offset":%d,"done":true,"finishReason":"stop"}`+"\n", _requestID, offset)
}

// respondWith returns a handler with a fixed response.
func respondWith(code int, body string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(code)
		ctx.SetBodyString(body)
	}
}

// readStream calls Generate and reads the stream to its end.
func readStream(t testing.TB, client *vrclient.Engine, address string, resumeFrom int) (text string, result vrevent.AttemptResult) {
	stream, err := client.Generate(t.Context(), address, newGenerateRequest(resumeFrom))
	if err != nil {
		return "", requireAttemptError(t, err).Result
	}
	defer stream.Close()
	for {
		token, err := stream.Next()
		if err == nil {
			text += token.Token
			continue
		}
		if !errors.Is(err, io.EOF) {
			require.Equal(t, stream.Result(), requireAttemptError(t, err).Result)
		}
		return text, stream.Result()
	}
}

func requireAttemptError(t testing.TB, err error) *vrclient.AttemptError {
	var attemptErr *vrclient.AttemptError
	require.ErrorAs(t, err, &attemptErr)
	return attemptErr
}

// Guards against tokens of another request and repeated, missing or late tokens that are
// passed on, and against a broken response that is reported as not run.
func TestGenerateResults(t *testing.T) {
	refusal := func(id, code string) string { return fmt.Sprintf(`{"requestId":%q,"error":%q}`, id, code) }
	twoTokens := tokenLine(_requestID, 0, "a") + tokenLine(_requestID, 1, "b")
	cases := []struct {
		name   string
		code   int
		body   string
		text   string
		result vrevent.AttemptResult
	}{
		{"complete", 200, twoTokens + doneLine(2), "ab", vrevent.AttemptAnswered},
		{"no newline at the end", 200, twoTokens + strings.TrimSpace(doneLine(2)), "ab", vrevent.AttemptAnswered},
		{"token of another request", 200, twoTokens + tokenLine("01J1", 2, "c") + doneLine(2), "ab", vrevent.AttemptBroken},
		{"without a request ID", 200, twoTokens + `{"offset":2,"token":"c"}` + "\n", "ab", vrevent.AttemptBroken},
		{"repeated", 200, twoTokens + tokenLine(_requestID, 1, "b") + doneLine(2), "ab", vrevent.AttemptBroken},
		{"skipped", 200, twoTokens + tokenLine(_requestID, 3, "d") + doneLine(4), "ab", vrevent.AttemptBroken},
		{"early end", 200, twoTokens + doneLine(7), "ab", vrevent.AttemptBroken},
		{"truncated", 200, twoTokens, "ab", vrevent.AttemptBroken},
		{"token after the last line", 200, twoTokens + doneLine(2) + tokenLine(_requestID, 2, "c"), "ab", vrevent.AttemptAnswered},
		{"garbage", 200, twoTokens + "\x00\xff\n", "ab", vrevent.AttemptBroken},
		{"long line", 200, twoTokens + tokenLine(_requestID, 2, strings.Repeat("x", vrengine.MaxTokenLineBytes)), "ab", vrevent.AttemptBroken},
		{"error in the middle", 200, twoTokens + refusal("01J0", "busy"), "ab", vrevent.AttemptBroken},
		{"busy line", 200, refusal("01J0", "busy") + "\n", "", vrevent.AttemptBusy},
		{"busy line of another request", 200, refusal("01J1", "busy") + "\n", "", vrevent.AttemptBroken},
		{"busy", 503, refusal("01J0", "busy"), "", vrevent.AttemptBusy},
		{"not loaded", 404, refusal("01J0", "notLoaded"), "", vrevent.AttemptNotLoaded},
		{"leaving", 503, refusal("", "leaving"), "", vrevent.AttemptLeaving},
		{"refusal of another request", 503, refusal("01J1", "busy"), "", vrevent.AttemptBroken},
		{"unknown code", 503, refusal("01J0", "melted"), "", vrevent.AttemptBroken},
		{"no code", 503, "down", "", vrevent.AttemptBroken},
	}
	client := newEngine(t, vrclient.EngineOptions{})
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := serve(t, respondWith(c.code, c.body))
			// The second call detects data that the first one left on the connection.
			for range 2 {
				text, result := readStream(t, client, address, 0)
				require.Equal(t, c.text, text)
				require.Equal(t, c.result, result)
			}
		})
	}
	text, result := readStream(t, client, serve(t, respondWith(200, tokenLine(_requestID, 5, "f")+doneLine(6))), 5)
	require.Equal(t, "f", text)
	require.Equal(t, vrevent.AttemptAnswered, result)
	_, result = readStream(t, client, refusedAddress(t), 0)
	require.Equal(t, vrevent.AttemptNotSent, result)
}

// Guards against a client that buffers tokens: the server sends the next token only after
// the test has received the previous one.
func TestGenerateStreams(t *testing.T) {
	received := make(chan struct{})
	address := serve(t, func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			for offset := range 3 {
				_, _ = w.WriteString(tokenLine(_requestID, offset, "x"))
				_ = w.Flush()
				<-received
			}
			_, _ = w.WriteString(doneLine(3))
		})
	})
	client := newEngine(t, vrclient.EngineOptions{})
	stream, err := client.Generate(t.Context(), address, newGenerateRequest(0))
	require.NoError(t, err)
	defer stream.Close()
	for offset := range 3 {
		token, err := stream.Next()
		require.NoError(t, err)
		require.Equal(t, offset, token.Offset)
		received <- struct{}{}
	}
	token, err := stream.Next()
	require.NoError(t, err)
	require.True(t, token.Done)
	_, err = stream.Next()
	require.ErrorIs(t, err, io.EOF)
}

// readRequest reads one request and its body.
func readRequest(reader *bufio.Reader) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	return request.Read(reader)
}

const _emptyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// Guards against a retry after the server has closed a reused connection: the second request
// reached the server, so it must be sent only once and must not be reported as not sent.
func TestClosedIdleConnection(t *testing.T) {
	requests := make(chan int, 10)
	address := listen(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		if readRequest(reader) != nil {
			return
		}
		requests <- 1
		_, _ = io.WriteString(conn, _emptyResponse)
		if readRequest(reader) != nil {
			return
		}
		requests <- 2
	})
	client := vrclient.NewApp(vrclient.AppOptions{})
	defer client.Close()
	call := vrclient.AppRequest{Method: "POST", Path: "/reserve", IdempotencyKey: "k"}
	require.Equal(t, vrevent.AttemptAnswered, client.Call(t.Context(), address, call).Result)
	// The second call reuses the connection only after the reuse delay.
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, vrevent.AttemptBroken, client.Call(t.Context(), address, call).Result)
	require.Len(t, requests, 2)

	// Whether the client notices the closed connection before it sends the next request is a
	// race: it dials a new one, or the request gets no response. It must not report the request
	// as not sent.
	closingAddress := listen(t, func(conn net.Conn) {
		if readRequest(bufio.NewReader(conn)) == nil {
			_, _ = io.WriteString(conn, _emptyResponse)
		}
	})
	for range 20 {
		result := client.Call(t.Context(), closingAddress, call).Result
		require.Contains(t, []vrevent.AttemptResult{vrevent.AttemptAnswered, vrevent.AttemptBroken}, result)
	}
}

// Guards against a late second response on an idle connection that is taken for the response
// to the next request.
func TestLateResponseIsDropped(t *testing.T) {
	var sentLate atomic.Bool
	address := listen(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for readRequest(reader) == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
			if sentLate.CompareAndSwap(false, true) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
			}
		}
	})
	client := vrclient.NewApp(vrclient.AppOptions{})
	defer client.Close()
	for range 3 {
		result := client.Call(t.Context(), address, vrclient.AppRequest{Method: "GET", Path: "/"})
		require.NotEqual(t, "late", string(result.Body))
	}
}

// Guards against a second response that arrives shortly after the first one and is taken for
// the response to the next request, which was sent on the same connection in between.
// Responses of application servers carry no ID by which they could be told apart.
func TestDelayedSecondResponseIsDropped(t *testing.T) {
	address := listen(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for readRequest(reader) == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
			time.Sleep(2 * time.Millisecond)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
		}
	})
	client := vrclient.NewApp(vrclient.AppOptions{})
	defer client.Close()
	for range 10 {
		result := client.Call(t.Context(), address, vrclient.AppRequest{Method: "GET", Path: "/"})
		require.Equal(t, "own", string(result.Body))
	}
}

// Guards against a request that continues after its caller has gone, and against a sent
// request that is reported as not run after its context was canceled.
func TestGenerateContext(t *testing.T) {
	arrived := make(chan struct{}, 2)
	address := listen(t, func(conn net.Conn) {
		if readRequest(bufio.NewReader(conn)) == nil {
			arrived <- struct{}{}
			_, _ = conn.Read(make([]byte, 1))
		}
	})
	client := newEngine(t, vrclient.EngineOptions{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := client.Generate(ctx, address, newGenerateRequest(0))
	require.Equal(t, vrevent.AttemptCallerGone, requireAttemptError(t, err).Result)
	_, err = client.Generate(ctx, address, newGenerateRequest(0))
	require.Equal(t, vrevent.AttemptNotSent, requireAttemptError(t, err).Result)
	require.ErrorIs(t, err, context.Canceled)
}

// Guards against a client that waits forever for a server that stops sending in the middle
// of a response.
func TestGenerateStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := vrclient.NewEngine(vrclient.EngineOptions{StallTimeout: 5 * time.Second, Dial: pipeDial(func(conn net.Conn) {
			_ = readRequest(bufio.NewReader(conn))
			text := tokenLine(_requestID, 0, "a")
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
			_, _ = conn.Read(make([]byte, 1))
		})})
		start := time.Now()
		text, result := readStream(t, client, "127.0.0.1:1", 0)
		require.Equal(t, "a", text)
		require.Equal(t, vrevent.AttemptTimedOut, result)
		require.Equal(t, 5*time.Second, time.Since(start))
		client.Close()
		waitForConnCleaner()
	})
}

// Guards against an order that is reported as refused although the server may execute it.
func TestOrders(t *testing.T) {
	cases := []struct {
		code   int
		body   string
		status vrengine.OrderStatus
	}{
		{200, `{"state":"loaded"}`, vrengine.OrderDone},
		{200, `loaded`, vrengine.OrderOutcomeUnknown},
		{409, `{"highestEpoch":4,"highestSequence":9}`, vrengine.OrderFenced},
		{507, `{}`, vrengine.OrderNoMemory},
		{400, `{"error":"role"}`, vrengine.OrderRefused},
		{503, `{}`, vrengine.OrderOutcomeUnknown},
	}
	client := newEngine(t, vrclient.EngineOptions{})
	order := vrengine.Order{OrderID: "o", Kind: vrengine.OrderLoad, Model: "m"}
	for _, c := range cases {
		result := client.Order(t.Context(), serve(t, respondWith(c.code, c.body)), order)
		require.Equal(t, c.status, result.Status, c.body)
		require.Equal(t, vrevent.AttemptAnswered, result.Attempt)
	}
	notSent := client.Order(t.Context(), refusedAddress(t), order)
	require.Equal(t, vrengine.OrderOutcomeUnknown, notSent.Status)
	require.Equal(t, vrevent.AttemptNotSent, notSent.Attempt)
	require.Equal(t, vrevent.AttemptNotSent, client.Order(t.Context(), "", vrengine.Order{}).Attempt)
}

// Guards against a client that doesn't match the HTTP interface of the language servers.
func TestEngineCalls(t *testing.T) {
	address := serve(t, func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.RequestURI()) {
		case vrengine.PathReport:
			ctx.SetBodyString(`{"server":"s","boot":"b","running":3,"models":[{"model":"m","state":"loaded"}],"new":1}`)
		case vrengine.PathCacheEvents + "?after=7":
			ctx.SetBodyString(`{"events":[{"number":9,"model":"m","prefix":5,"tokens":2}],"next":9}`)
		case vrengine.PathKVExport, vrengine.PathKVImport, vrengine.PathCancel:
			ctx.SetBody(ctx.PostBody())
		}
	})
	client := newEngine(t, vrclient.EngineOptions{})
	report, err := client.Report(t.Context(), address)
	require.NoError(t, err)
	require.Equal(t, 3, report.Running)
	events, err := client.CacheEvents(t.Context(), address, 7)
	require.NoError(t, err)
	require.EqualValues(t, 9, events.Events[0].Number)
	_, err = client.CacheEvents(t.Context(), address, 8)
	require.Error(t, err)
	require.NoError(t, client.Cancel(t.Context(), address, _requestID))
	data, err := client.ExportKV(t.Context(), address, _requestID)
	require.NoError(t, err)
	require.JSONEq(t, `{"requestId":"01J0"}`, string(data))
	require.NoError(t, client.ImportKV(t.Context(), address, _requestID, data))
}

// BenchmarkGenerate measures a request with 16 tokens over loopback.
func BenchmarkGenerate(b *testing.B) {
	var body strings.Builder
	for offset := range 16 {
		body.WriteString(tokenLine(_requestID, offset, "token"))
	}
	body.WriteString(doneLine(16))
	address := serve(b, respondWith(200, body.String()))
	client := newEngine(b, vrclient.EngineOptions{})
	b.ReportAllocs()
	for b.Loop() {
		if _, result := readStream(b, client, address, 0); result != vrevent.AttemptAnswered {
			b.Fatal(result)
		}
	}
}
