package vrfront

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrwire"
)

// Guards against malformed requests that reach a back end, crash the process or are
// answered without a problem document.
func TestRejectedRequests(t *testing.T) {
	big := strings.Repeat("x", 1<<20)
	chat, reserve := "/v1/chat/completions", "/v1/services/circles/reserve"
	cases := []struct {
		name    string
		method  string
		path    string
		body    string
		headers []string
		want    vrwire.Reason
	}{
		{"empty body", "POST", chat, "", nil, vrwire.ReasonInvalidRequest},
		{"truncated JSON", "POST", chat, "{", nil, vrwire.ReasonInvalidRequest},
		{"JSON of another type", "POST", chat, "[1]", nil, vrwire.ReasonInvalidRequest},
		{"deep JSON", "POST", chat, strings.Repeat("[", 200_000), nil, vrwire.ReasonInvalidRequest},
		{"no model", "POST", chat, `{"messages":[]}`, nil, vrwire.ReasonInvalidRequest},
		{"no messages", "POST", chat, `{"model":"prompt@2"}`, nil, vrwire.ReasonInvalidRequest},
		{"no role", "POST", chat, `{"model":"prompt@2","messages":[{}]}`, nil, vrwire.ReasonInvalidRequest},
		{"image part", "POST", chat, `{"model":"prompt@2","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, vrwire.ReasonInvalidRequest},
		{"several choices", "POST", chat, `{"model":"prompt@2","n":2,"messages":[{"role":"user"}]}`, nil, vrwire.ReasonInvalidRequest},
		{"negative tokens", "POST", chat, `{"model":"prompt@2","max_tokens":-1,"messages":[{"role":"user"}]}`, nil, vrwire.ReasonInvalidRequest},
		{"too many tokens", "POST", chat, `{"model":"prompt@2","max_tokens":99999999,"messages":[{"role":"user"}]}`, nil, vrwire.ReasonInvalidRequest},
		{"prompt of token ids", "POST", "/v1/completions", `{"model":"prompt@2","prompt":[1,2]}`, nil, vrwire.ReasonInvalidRequest},
		{"unknown model", "POST", chat, chatBody("gone", false), nil, vrwire.ReasonUnknownModel},
		{"unknown kind", "POST", chat, chatBody("prompt@2", false), []string{"X-Verbena-Kind", "vip"}, vrwire.ReasonInvalidRequest},
		{"unknown rank", "POST", chat, chatBody("prompt@2", false), []string{"X-Verbena-Rank", "first"}, vrwire.ReasonInvalidRequest},
		{"large body", "POST", chat, big + "x", nil, vrwire.ReasonBodyTooLarge},
		{"unknown path", "GET", "/v2", "", nil, vrwire.ReasonInvalidRequest},
		{"wrong method", "GET", chat, "", nil, vrwire.ReasonInvalidRequest},
		{"unknown service", "POST", "/v1/services/shop/x", "", nil, vrwire.ReasonUnknownService},
		{"no service", "POST", "/v1/services/", "", nil, vrwire.ReasonUnknownService},
		{"unknown call", "POST", "/v1/services/circles/delete", "", nil, vrwire.ReasonUnknownService},
		{"path traversal out of the service", "POST", "/v1/services/circles/shelf/../../../x", "", nil, vrwire.ReasonUnknownService},
		{"path traversal to another call", "POST", "/v1/services/circles/shelf/../delete", "", nil, vrwire.ReasonUnknownService},
		{"no key", "POST", reserve, "", nil, vrwire.ReasonIdempotencyKeyMissing},
		{"long key", "POST", reserve, "", []string{"Idempotency-Key", strings.Repeat("k", 256)}, vrwire.ReasonInvalidRequest},
		{"key with a non-ASCII byte", "POST", reserve, "", []string{"Idempotency-Key", "caf\xe9"}, vrwire.ReasonInvalidRequest},
		{"key with a tab", "POST", reserve, "", []string{"Idempotency-Key", "a\tb"}, vrwire.ReasonInvalidRequest},
	}
	s := newTestServer(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before := len(s.reducer.submitted())
			answer := s.do(c.method, c.path, c.body, c.headers...)
			require.Equal(t, c.want.Status(), answer.status, answer.body)
			require.Equal(t, vrwire.ContentTypeProblem, answer.header.Get("Content-Type"))
			require.Contains(t, answer.body, `"notRun":true`)
			require.Len(t, answer.header.Get(vrwire.HeaderRequestID), 26)
			events := s.reducer.submitted()[before:]
			require.Len(t, events, 1, "exactly one event, for the record")
			require.Equal(t, c.want, events[0].(vrevent.RequestRejected).Reason)
		})
	}
	require.Zero(t, s.front.Running())
	require.Zero(t, s.front.bodyBytes.Load(), "the memory of the bodies is released")
	require.Zero(t, s.front.Panics())
}

// Guards against malformed HTTP that is answered without a problem document, or whose
// connection stays open.
func TestMalformedHTTP(t *testing.T) {
	const head = "POST /v1/chat/completions HTTP/1.1\r\nHost: d\r\n"
	cases := map[string]struct {
		bytes string
		want  string
	}{
		"not HTTP":        {"hello\r\n\r\n", "invalidRequest"},
		"header flood":    {head + strings.Repeat("X-A: "+strings.Repeat("a", 100)+"\r\n", 300) + "\r\n", "invalidRequest"},
		"huge length":     {head + "Content-Length: 99999999999\r\n\r\n{", "bodyTooLarge"},
		"negative length": {head + "Content-Length: -5\r\n\r\n", "invalidRequest"},
		"broken chunk":    {head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "invalidRequest"},
		"endless chunks":  {head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", 1<<16, strings.Repeat("a", 1<<16)), 20), "bodyTooLarge"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			answer := newTestServer(t).sendRaw(c.bytes)
			require.Contains(t, answer, vrwire.ContentTypeProblem)
			require.Contains(t, answer, c.want)
		})
	}
}

// Guards against bodies of waiting requests that use more memory than the limit.
func TestBodyMemory(t *testing.T) {
	s := newTestServer(t)
	s.front.options.Limits.QueueMemory = 8 << 10
	answer := s.do("POST", "/v1/chat/completions", strings.Repeat(" ", 64<<10))
	require.Equal(t, http.StatusTooManyRequests, answer.status)
	require.Contains(t, answer.body, "queueFull")
	require.NotEmpty(t, answer.header.Get("Retry-After"))
	require.Zero(t, s.front.bodyBytes.Load())
}

// Guards against a slow sender that keeps a connection open indefinitely.
func TestSlowSenders(t *testing.T) {
	const short = 20 * time.Millisecond
	cases := map[string]string{
		"header":       "POST /v1/chat/completions HTTP/1.1\r\nHost",
		"body":         "POST /v1/chat/completions HTTP/1.1\r\nHost: d\r\nContent-Length: 900\r\n\r\n{",
		"large body":   "POST /v1/chat/completions HTTP/1.1\r\nHost: d\r\nContent-Length: 90000\r\n\r\n" + strings.Repeat(" ", 10_000),
		"chunked body": "POST /v1/chat/completions HTTP/1.1\r\nHost: d\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{",
	}
	for name, bytes := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t)
			s.front.server.ReadTimeout = short
			s.front.bodyTimeout = short
			answer := s.sendRaw(bytes)
			if name != "header" {
				require.Contains(t, answer, "invalidRequest")
			}
			require.Zero(t, s.front.bodyBytes.Load())
		})
	}
}

// Guards against a record entry for each connection on which nothing was sent.
func TestSilentConnection(t *testing.T) {
	s := newTestServer(t)
	s.front.server.ReadTimeout = 20 * time.Millisecond
	require.Empty(t, s.sendRaw(""))
	require.Empty(t, s.reducer.submitted())
}

// FuzzModelBody guards against a body that crashes the process or yields an empty prompt.
func FuzzModelBody(f *testing.F) {
	f.Add([]byte(chatBody("prompt@2", true)))
	f.Add([]byte(`{"model":"m","prompt":["x"],"n":1,"max_tokens":3}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		body, rejection := parseModelBody(data)
		if rejection != nil {
			return
		}
		for _, api := range []completionAPI{chatAPI, textAPI} {
			prompt, tokens, rejection := body.promptAndMaxTokens(api)
			if rejection != nil {
				continue
			}
			require.NotEmpty(t, prompt)
			require.Positive(t, tokens)
			require.LessOrEqual(t, tokens, _maxTokens)
		}
	})
}

// FuzzServicePath guards against a path that escapes its service or injects a header line.
func FuzzServicePath(f *testing.F) {
	f.Add("/v1/services/circles/join/%2e%2e/x", "a=b")
	f.Fuzz(func(t *testing.T, path, query string) {
		service, rest, ok := splitServicePath(path)
		if !ok {
			return
		}
		require.NotContains(t, string(service), "/")
		require.True(t, strings.HasPrefix(rest, "/"))
		target := serviceTarget(rest, "")
		require.True(t, strings.HasPrefix(target, "/"))
		require.Equal(t, -1, strings.IndexFunc(target, func(r rune) bool { return r <= ' ' || r == 0x7f }), "%q", target)
	})
}
