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

func generate(resumeFrom int) vrengine.GenerateRequest {
	return vrengine.GenerateRequest{RequestID: _requestID, Model: "summary@3", Prompt: "p", ResumeFrom: resumeFrom}
}

// line is a token of a request; done is the last line.
func line(id vrid.RequestID, offset int, text string) string {
	return fmt.Sprintf(`{"requestId":%q,"offset":%d,"token":%q}`+"\n", id, offset, text)
}

func done(offset int) string {
	return fmt.Sprintf(`{"requestId":%q,"offset":%d,"done":true,"finishReason":"stop"}`+"\n", _requestID, offset)
}

func answer(code int, body string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(code)
		ctx.SetBodyString(body)
	}
}

// collect reads a stream to its end.
func collect(t testing.TB, client *vrclient.Engine, address string, resumeFrom int) (text string, result vrevent.AttemptResult) {
	stream, err := client.Generate(t.Context(), address, generate(resumeFrom))
	if err != nil {
		return "", attemptOf(t, err).Result
	}
	defer stream.Close()
	for {
		token, err := stream.Next()
		if err == nil {
			text += token.Token
			continue
		}
		if !errors.Is(err, io.EOF) {
			require.Equal(t, stream.Result(), attemptOf(t, err).Result)
		}
		return text, stream.Result()
	}
}

func attemptOf(t testing.TB, err error) *vrclient.AttemptError {
	var attempt *vrclient.AttemptError
	require.ErrorAs(t, err, &attempt)
	return attempt
}

// Guards against tokens of another request, repeated, lost or late tokens that reach a
// caller, and against a broken answer that counts as not run.
func TestGenerateResults(t *testing.T) {
	refusal := func(id, code string) string { return fmt.Sprintf(`{"requestId":%q,"error":%q}`, id, code) }
	good := line(_requestID, 0, "a") + line(_requestID, 1, "b")
	cases := []struct {
		name   string
		code   int
		body   string
		text   string
		result vrevent.AttemptResult
	}{
		{"whole", 200, good + done(2), "ab", vrevent.AttemptAnswered},
		{"no line end at the end", 200, good + strings.TrimSpace(done(2)), "ab", vrevent.AttemptAnswered},
		{"crossed", 200, good + line("01J1", 2, "c") + done(2), "ab", vrevent.AttemptBroken},
		{"without a request", 200, good + `{"offset":2,"token":"c"}` + "\n", "ab", vrevent.AttemptBroken},
		{"repeated", 200, good + line(_requestID, 1, "b") + done(2), "ab", vrevent.AttemptBroken},
		{"skipped", 200, good + line(_requestID, 3, "d") + done(4), "ab", vrevent.AttemptBroken},
		{"early end", 200, good + done(7), "ab", vrevent.AttemptBroken},
		{"truncated", 200, good, "ab", vrevent.AttemptBroken},
		{"late token after the end", 200, good + done(2) + line(_requestID, 2, "c"), "ab", vrevent.AttemptAnswered},
		{"garbage", 200, good + "\x00\xff\n", "ab", vrevent.AttemptBroken},
		{"long line", 200, good + line(_requestID, 2, strings.Repeat("x", vrengine.MaxTokenLine)), "ab", vrevent.AttemptBroken},
		{"error in the middle", 200, good + refusal("01J0", "busy"), "ab", vrevent.AttemptBroken},
		{"busy line", 200, refusal("01J0", "busy") + "\n", "", vrevent.AttemptBusy},
		{"crossed busy line", 200, refusal("01J1", "busy") + "\n", "", vrevent.AttemptBroken},
		{"busy", 503, refusal("01J0", "busy"), "", vrevent.AttemptBusy},
		{"not loaded", 404, refusal("01J0", "notLoaded"), "", vrevent.AttemptNotLoaded},
		{"leaving", 503, refusal("", "leaving"), "", vrevent.AttemptLeaving},
		{"crossed refusal", 503, refusal("01J1", "busy"), "", vrevent.AttemptBroken},
		{"unknown code", 503, refusal("01J0", "melted"), "", vrevent.AttemptBroken},
		{"no code", 503, "down", "", vrevent.AttemptBroken},
	}
	client := newEngine(t, vrclient.EngineOptions{})
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := serve(t, answer(c.code, c.body))
			// The second call shows what the first one left on the connection.
			for range 2 {
				text, result := collect(t, client, address, 0)
				require.Equal(t, c.text, text)
				require.Equal(t, c.result, result)
			}
		})
	}
	text, result := collect(t, client, serve(t, answer(200, line(_requestID, 5, "f")+done(6))), 5)
	require.Equal(t, "f", text)
	require.Equal(t, vrevent.AttemptAnswered, result)
	_, result = collect(t, client, refusedAddress(t), 0)
	require.Equal(t, vrevent.AttemptNotSent, result)
}

// Guards against a client that holds tokens back: the server sends the next token only
// after the test has received the one before.
func TestGenerateStreams(t *testing.T) {
	received := make(chan struct{})
	address := serve(t, func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			for offset := range 3 {
				_, _ = w.WriteString(line(_requestID, offset, "x"))
				_ = w.Flush()
				<-received
			}
			_, _ = w.WriteString(done(3))
		})
	})
	client := newEngine(t, vrclient.EngineOptions{})
	stream, err := client.Generate(t.Context(), address, generate(0))
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

const _emptyAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// Guards against a reused connection that the server closes: the second request reached
// the server, so it must be sent once and must not be reported as not sent.
func TestClosedIdleConnection(t *testing.T) {
	requests := make(chan int, 10)
	address := listen(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		if readRequest(reader) != nil {
			return
		}
		requests <- 1
		_, _ = io.WriteString(conn, _emptyAnswer)
		if readRequest(reader) != nil {
			return
		}
		requests <- 2
	})
	client := vrclient.NewApp(vrclient.AppOptions{})
	defer client.Close()
	call := vrclient.AppRequest{Method: "POST", Path: "/reserve", IdempotencyKey: "k"}
	require.Equal(t, vrevent.AttemptAnswered, client.Call(t.Context(), address, call).Result)
	// The second call takes the same connection only after the connection has rested.
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, vrevent.AttemptBroken, client.Call(t.Context(), address, call).Result)
	require.Len(t, requests, 2)

	closing := listen(t, func(conn net.Conn) {
		if readRequest(bufio.NewReader(conn)) == nil {
			_, _ = io.WriteString(conn, _emptyAnswer)
		}
	})
	for range 20 {
		result := client.Call(t.Context(), closing, call).Result
		require.Contains(t, []vrevent.AttemptResult{vrevent.AttemptAnswered, vrevent.AttemptBroken}, result)
	}
}

// Guards against a late second answer on an idle connection that becomes the answer to
// the next request.
func TestLateAnswerIsDropped(t *testing.T) {
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

// Guards against a second answer that arrives a moment after the first one, when the next
// request is already on its way over the same connection: answers of application servers
// carry no id that would tell them apart.
func TestSecondAnswerAfterReuseIsDropped(t *testing.T) {
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

// Guards against a request that goes on after its caller has gone, and against an end by
// the context that counts as not run.
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
	_, err := client.Generate(ctx, address, generate(0))
	require.Equal(t, vrevent.AttemptCallerGone, attemptOf(t, err).Result)
	_, err = client.Generate(ctx, address, generate(0))
	require.Equal(t, vrevent.AttemptNotSent, attemptOf(t, err).Result)
	require.ErrorIs(t, err, context.Canceled)
}

// Guards against a server that falls silent in the middle of an answer.
func TestGenerateStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := vrclient.NewEngine(vrclient.EngineOptions{Stall: 5 * time.Second, Dial: pipeDial(func(conn net.Conn) {
			_ = readRequest(bufio.NewReader(conn))
			text := line(_requestID, 0, "a")
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
			_, _ = conn.Read(make([]byte, 1))
		})})
		start := time.Now()
		text, result := collect(t, client, "127.0.0.1:1", 0)
		require.Equal(t, "a", text)
		require.Equal(t, vrevent.AttemptTimedOut, result)
		require.Equal(t, 5*time.Second, time.Since(start))
		client.Close()
		endBubble()
	})
}

// Guards against an order that counts as refused though the server may apply it.
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
		result := client.Order(t.Context(), serve(t, answer(c.code, c.body)), order)
		require.Equal(t, c.status, result.Status, c.body)
		require.Equal(t, vrevent.AttemptAnswered, result.Attempt)
	}
	refused := client.Order(t.Context(), refusedAddress(t), order)
	require.Equal(t, vrengine.OrderOutcomeUnknown, refused.Status)
	require.Equal(t, vrevent.AttemptNotSent, refused.Attempt)
	require.Equal(t, vrevent.AttemptNotSent, client.Order(t.Context(), "", vrengine.Order{}).Attempt)
}

// Guards against a client that disagrees with the servers' interface.
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

// BenchmarkGenerate measures one request with 16 tokens over loopback.
func BenchmarkGenerate(b *testing.B) {
	var body strings.Builder
	for offset := range 16 {
		body.WriteString(line(_requestID, offset, "token"))
	}
	body.WriteString(done(16))
	address := serve(b, answer(200, body.String()))
	client := newEngine(b, vrclient.EngineOptions{})
	b.ReportAllocs()
	for b.Loop() {
		if _, result := collect(b, client, address, 0); result != vrevent.AttemptAnswered {
			b.Fatal(result)
		}
	}
}
