package vrfront

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

// directReducer dispatches each request immediately and completes answered ones.
type directReducer struct{ front *Front }

// Submit implements Submitter.
func (r *directReducer) Submit(event vrevent.Event) {
	for _, effect := range defaultEffects(event) {
		r.front.Handle(effect)
	}
}

// BenchmarkChat measures the cost of one request in the Front alone, without network and
// reducer.
func BenchmarkChat(b *testing.B) {
	for _, stream := range []bool{false, true} {
		b.Run(fmt.Sprintf("stream=%t", stream), func(b *testing.B) {
			configs := &vrconfig.Store{}
			configs.Advance(vrconfig.NewIndex(testFleet()))
			reducer := &directReducer{}
			backends := &fakeBackends{generate: func(_ context.Context, _ string, request *vrengine.GenerateRequest, onToken func(*vrengine.Token) error) vrevent.AttemptResult {
				return streamWords(request, _sampleText, -1, onToken)
			}}
			front := New(Options{Submitter: reducer, Configs: configs, Backends: backends, Log: zap.NewNop()})
			reducer.front = front
			body := []byte(chatBody("prompt@2", stream))
			conn, other := net.Pipe()
			defer func() { _, _ = conn.Close(), other.Close() }()
			var ctx fasthttp.RequestCtx
			ctx.Init2(conn, discardLogger{}, false)
			b.ReportAllocs()
			for b.Loop() {
				ctx.Request.Reset()
				ctx.Response.Reset()
				ctx.Request.Header.SetMethod("POST")
				ctx.Request.SetRequestURI("/v1/chat/completions")
				ctx.Request.SetBodyStream(bytes.NewReader(body), len(body))
				front.server.Handler(&ctx)
				require.Equal(b, 200, ctx.Response.StatusCode())
				if stream {
					_, err := io.Copy(io.Discard, ctx.Response.BodyStream())
					require.NoError(b, err)
					require.NoError(b, ctx.Response.CloseBodyStream())
				}
			}
		})
	}
}

// BenchmarkChunk measures encoding one token.
func BenchmarkChunk(b *testing.B) {
	encoder := newAnswerEncoder(answerEncoderOptions{API: chatAPI, Request: vrid.RequestID("01JZZZZZZZZZZZZZZZZZZZZZZZ"), Model: "prompt@2"})
	out := make([]byte, 0, _maxBufferedOutput)
	b.ReportAllocs()
	for b.Loop() {
		out = encoder.appendChunk(out[:0], "the next \"reader\" ")
	}
}
