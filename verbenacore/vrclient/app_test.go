package vrclient_test

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"verbenaroute.example/verbenacore/vrclient"
	"verbenaroute.example/verbenacore/vrevent"
)

// Guards against a call that changes on its way to the service.
func TestAppCall(t *testing.T) {
	address := serve(t, func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(409)
		ctx.SetContentType("text/plain")
		_, _ = ctx.Write(ctx.Method())
		_, _ = ctx.WriteString(" " + string(ctx.RequestURI()) + " " + string(ctx.Request.Header.Peek("X-Request-Id")))
		_, _ = ctx.WriteString(" " + string(ctx.Request.Header.Peek("Idempotency-Key")) + " " + string(ctx.PostBody()))
	})
	client := vrclient.NewApp(vrclient.AppOptions{})
	defer client.Close()
	result := client.Call(t.Context(), address, vrclient.AppRequest{
		Method: "PATCH", Path: "/reserve/%2F?a=1", Body: []byte("body"), RequestID: _requestID, IdempotencyKey: "key 1",
	})
	require.Equal(t, vrclient.AppResult{
		Result: vrevent.AttemptAnswered, Status: 409, ContentType: "text/plain",
		Body: []byte("PATCH /reserve/%2F?a=1 01J0 key 1 body"),
	}, result)
}

// Guards against an answer that is cut off and passes as whole, and against a call that
// may have run and counts as not sent.
func TestAppFailures(t *testing.T) {
	cases := []struct {
		name, answer string
		result       vrevent.AttemptResult
	}{
		{"no answer", "", vrevent.AttemptBroken},
		{"cut header", "HTTP/1.1 200 OK\r\nCont", vrevent.AttemptBroken},
		{"cut body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody", vrevent.AttemptBroken},
		{"cut chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", vrevent.AttemptBroken},
		{"no length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody", vrevent.AttemptBroken},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\nbody", vrevent.AttemptBroken},
		{"garbage", "\x00\xff\xfe garbage\r\n\r\n", vrevent.AttemptBroken},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", vrevent.AttemptAnswered},
		{"interim answer", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", vrevent.AttemptAnswered},
	}
	client := vrclient.NewApp(vrclient.AppOptions{})
	defer client.Close()
	call := vrclient.AppRequest{Method: "POST", Path: "/"}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := listen(t, func(conn net.Conn) {
				if readRequest(bufio.NewReader(conn)) == nil {
					_, _ = io.WriteString(conn, c.answer)
				}
			})
			require.Equal(t, c.result, client.Call(t.Context(), address, call).Result)
		})
	}
	require.Equal(t, vrevent.AttemptNotSent, client.Call(t.Context(), refusedAddress(t), call).Result)
	for _, refused := range []vrclient.AppRequest{
		{Method: "POST", Path: "http://elsewhere/"},
		{Method: "POST", Path: "/a b"},
		{Method: "POST /x", Path: "/"},
		{Path: "/"},
		{Method: "POST", Path: "/", IdempotencyKey: "k\r\nX-Other: 1"},
		{Method: "POST", Path: "/", IdempotencyKey: " k"},
		{Method: "POST", Path: "/", ContentType: "a\nb"},
	} {
		result := client.Call(t.Context(), "127.0.0.1:1", refused)
		var protocol *vrclient.ProtocolError
		require.ErrorAs(t, result.Err, &protocol)
		require.Equal(t, vrevent.AttemptNotSent, result.Result)
	}
}

// Guards against an unusable answer that is taken for the proof that a call never ran.
func TestLookUpOutcome(t *testing.T) {
	code := 200
	var path string
	address := serve(t, func(ctx *fasthttp.RequestCtx) {
		path = string(ctx.RequestURI())
		answer(code, "stored")(ctx)
	})
	client := vrclient.NewApp(vrclient.AppOptions{})
	defer client.Close()
	lookUp := func(status int) vrclient.OutcomeResult {
		code = status
		return client.LookUpOutcome(t.Context(), address, "/outcomes/", "a/b c")
	}
	found := lookUp(200)
	require.True(t, found.Known && found.Found)
	require.Equal(t, "stored", string(found.Body))
	require.Equal(t, "/outcomes/a%2Fb%20c", path)
	require.Equal(t, vrclient.OutcomeResult{Known: true}, lookUp(404))
	for _, status := range []int{403, 429, 500, 503} {
		result := lookUp(status)
		require.False(t, result.Known)
		require.Error(t, result.Err)
	}
	require.False(t, client.LookUpOutcome(t.Context(), refusedAddress(t), "/o", "k").Known)
}
