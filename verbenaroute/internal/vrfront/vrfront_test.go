package vrfront

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

const _sampleText = "The next reader is in the second row."

func streamAll(_ context.Context, _ string, request *vrengine.GenerateRequest, onToken func(*vrengine.Token) error) vrevent.AttemptResult {
	return streamWords(request, _sampleText, -1, onToken)
}

// streamText joins the contents of a chat stream. It reports whether [DONE] was sent and
// returns the problem document of an error event.
func streamText(t *testing.T, body string) (text string, done bool, failure string) {
	t.Helper()
	events := strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
	for _, event := range events {
		if problem, ok := strings.CutPrefix(event, "event: error\ndata: "); ok {
			failure = problem
			continue
		}
		data, ok := strings.CutPrefix(event, "data: ")
		require.True(t, ok, "event %q", event)
		if data == "[DONE]" {
			done = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		require.NoError(t, json.Unmarshal([]byte(data), &chunk))
		for _, choice := range chunk.Choices {
			text += choice.Delta.Content
		}
	}
	return text, done, failure
}

// Guards against an answer format that OpenAI clients can't parse.
func TestAnswerFormats(t *testing.T) {
	s := newTestServer(t)
	s.backends.generate = streamAll
	normalize := func(r response) string {
		body := r.bodyWithoutID()
		if at := strings.Index(body, `"created":`); at >= 0 {
			stamp := body[at+len(`"created":`):]
			stamp = stamp[:strings.IndexByte(stamp, ',')]
			body = strings.ReplaceAll(body, stamp, "0")
		}
		return fmt.Sprintf("%d %s\n%s\n", r.status, r.header.Get("Content-Type"), body)
	}
	var output strings.Builder
	output.WriteString(normalize(s.do("POST", "/v1/chat/completions", chatBody("prompt@2", false))))
	output.WriteString(normalize(s.do("POST", "/v1/chat/completions", `{"model":"circle-7","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":[{"type":"text","text":"Hi"}]}]}`)))
	output.WriteString(normalize(s.do("POST", "/v1/completions", `{"model":"summary@1","prompt":"Sum up","max_tokens":5}`)))
	output.WriteString(normalize(s.do("POST", "/v1/completions", `{"model":"summary@1","prompt":["Sum up"],"stream":true}`)))
	output.WriteString(normalize(s.do("GET", "/v1/models", "")))
	requireGolden(t, "answers.golden", output.String())
}

// Guards against a lost or duplicated token when a stream breaks and is resumed on another
// server.
func TestResume(t *testing.T) {
	words := strings.SplitAfter(_sampleText, " ")
	for broken := -1; broken < len(words); broken++ {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("after %d, stream %t", broken, stream), func(t *testing.T) {
				s := newTestServer(t)
				s.backends.generate = func(_ context.Context, address string, request *vrengine.GenerateRequest, onToken func(*vrengine.Token) error) vrevent.AttemptResult {
					if address != "one" {
						return streamWords(request, _sampleText, -1, onToken)
					}
					if broken < 0 {
						return vrevent.AttemptNotSent
					}
					return streamWords(request, _sampleText, broken, onToken)
				}
				answer := s.do("POST", "/v1/chat/completions", chatBody("prompt@2", stream))
				require.Equal(t, http.StatusOK, answer.status)
				if !stream {
					require.Contains(t, answer.body, `"content":"`+_sampleText+`"`)
					return
				}
				text, done, _ := streamText(t, answer.body)
				require.Equal(t, _sampleText, text)
				require.True(t, done)
			})
		}
	}
}

// Guards against a truncated stream that looks complete to the client.
func TestRefusalInStream(t *testing.T) {
	s := newTestServer(t)
	s.backends.generate = func(_ context.Context, _ string, request *vrengine.GenerateRequest, onToken func(*vrengine.Token) error) vrevent.AttemptResult {
		return streamWords(request, _sampleText, 2, onToken)
	}
	answer := s.do("POST", "/v1/chat/completions", chatBody("prompt@2", true))
	text, done, failure := streamText(t, answer.body)
	require.True(t, strings.HasPrefix(_sampleText, text))
	require.False(t, done)
	var problem vrwire.Problem
	require.NoError(t, json.Unmarshal([]byte(failure), &problem))
	require.Equal(t, vrwire.ReasonBackendFailed, problem.Reason)
	require.False(t, problem.NotRun)
}

// Guards against accepting a line of a back end's stream that belongs to another request,
// skips an offset or reports an error.
func TestRejectedTokens(t *testing.T) {
	cases := map[string]vrengine.Token{
		"another request": {RequestID: "other", Offset: 0, Token: "wrong"},
		"skipped offset":  {Offset: 3, Token: "wrong"},
		"error line":      {Error: "internal"},
	}
	for name, line := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t)
			s.backends.generate = func(_ context.Context, address string, request *vrengine.GenerateRequest, onToken func(*vrengine.Token) error) vrevent.AttemptResult {
				if address != "one" {
					return streamWords(request, _sampleText, -1, onToken)
				}
				bad := line
				if bad.RequestID == "" {
					bad.RequestID = request.RequestID
				}
				if onToken(&bad) == nil {
					return vrevent.AttemptAnswered
				}
				return vrevent.AttemptBroken
			}
			answer := s.do("POST", "/v1/chat/completions", chatBody("prompt@2", false))
			require.Contains(t, answer.body, `"content":"`+_sampleText+`"`)
		})
	}
}

// Guards against a stream that breaks at a token without text.
func TestEmptyToken(t *testing.T) {
	s := newTestServer(t)
	s.backends.generate = func(_ context.Context, _ string, request *vrengine.GenerateRequest, onToken func(*vrengine.Token) error) vrevent.AttemptResult {
		for offset, text := range []string{"", "a", "", "b"} {
			require.NoError(t, onToken(&vrengine.Token{RequestID: request.RequestID, Offset: offset, Token: text}))
		}
		require.NoError(t, onToken(&vrengine.Token{RequestID: request.RequestID, Offset: 4, Done: true, FinishReason: "length"}))
		return vrevent.AttemptAnswered
	}
	answer := s.do("POST", "/v1/completions", `{"model":"summary@1","prompt":"x"}`)
	require.Contains(t, answer.body, `"text":"ab"`)
	require.Contains(t, answer.body, `"completion_tokens":4`)
}

// Guards against two hedged attempts that both write to the same answer.
func TestHedgedAttempts(t *testing.T) {
	s := newTestServer(t)
	firstStreamed, secondTried := make(chan struct{}), make(chan struct{})
	s.reducer.decide = func(event vrevent.Event) []vrevent.Effect {
		effects := defaultEffects(event)
		if arrived, ok := event.(vrevent.RequestArrived); ok {
			effects = append(effects, vrevent.Dispatch{Request: arrived.Request.ID, Attempt: 2, Address: "two", Deadline: time.Now().Add(10 * time.Second)})
		}
		if ended, ok := event.(vrevent.AttemptEnded); ok && ended.Result != vrevent.AttemptAnswered {
			return nil
		}
		return effects
	}
	s.backends.generate = func(_ context.Context, address string, request *vrengine.GenerateRequest, onToken func(*vrengine.Token) error) vrevent.AttemptResult {
		if address == "two" {
			<-firstStreamed
			defer close(secondTried)
			return streamWords(request, "Something else entirely.", -1, onToken)
		}
		result := streamWords(request, _sampleText, 1, onToken)
		close(firstStreamed)
		<-secondTried
		request.ResumeFrom = 2
		if result == vrevent.AttemptBroken {
			result = streamWords(request, _sampleText, -1, onToken)
		}
		return result
	}
	answer := s.do("POST", "/v1/chat/completions", chatBody("prompt@2", true))
	text, done, _ := streamText(t, answer.body)
	require.Equal(t, _sampleText, text)
	require.True(t, done)
}

// Guards against answers that reach the wrong caller when concurrent requests end out of
// order.
func TestConcurrentAnswers(t *testing.T) {
	const callers = 20
	s := newTestServer(t)
	var arrived sync.WaitGroup
	arrived.Add(callers)
	s.backends.call = func(_ context.Context, _ string, call *ServiceCall) (ServiceAnswer, vrevent.AttemptResult) {
		arrived.Done()
		arrived.Wait()
		return ServiceAnswer{Status: http.StatusCreated, ContentType: "text/plain", Body: append([]byte("for "), call.Body...)}, vrevent.AttemptAnswered
	}
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			body := fmt.Sprintf("reader %d", i)
			answer := s.do("POST", "/v1/services/circles/reserve", body, "Idempotency-Key", body)
			require.Equal(t, http.StatusCreated, answer.status)
			require.Equal(t, "for "+body, answer.body)
		})
	}
	group.Wait()
}

// Guards against a service call that is sent more than once or to a wrong path.
func TestServiceCall(t *testing.T) {
	s := newTestServer(t)
	var calls []ServiceCall
	s.backends.call = func(_ context.Context, _ string, call *ServiceCall) (ServiceAnswer, vrevent.AttemptResult) {
		calls = append(calls, *call)
		return ServiceAnswer{Status: http.StatusOK, ContentType: "application/json", Body: []byte(`{"ok":true}`)}, vrevent.AttemptAnswered
	}
	answer := s.do("POST", "/v1/services/circles/reserve/a%20b?copy=7&x=%2F", `{"reader":3}`, "Idempotency-Key", "k 1", "Content-Type", "application/json")
	require.Equal(t, `{"ok":true}`, answer.body)
	require.Len(t, calls, 1)
	require.Equal(t, "/reserve/a%20b?copy=7&x=%2F", calls[0].Target)
	require.Equal(t, vrid.IdempotencyKey("k 1"), calls[0].Key)
	require.Equal(t, `{"reader":3}`, string(calls[0].Body))
	arrived := s.reducer.submitted()[0].(vrevent.RequestArrived).Request
	require.False(t, arrived.Idempotent)
	require.Equal(t, vrid.RankNormal, arrived.Rank)
	require.Equal(t, "/outcomes", arrived.OutcomePath)
}

// Guards against a replayed answer that is not marked as one.
func TestReplay(t *testing.T) {
	s := newTestServer(t)
	s.reducer.decide = func(event vrevent.Event) []vrevent.Effect {
		if e, ok := event.(vrevent.RequestArrived); ok {
			return []vrevent.Effect{vrevent.Replay{Request: e.Request.ID, Status: http.StatusCreated, ContentType: "text/plain", Body: []byte("stored")}}
		}
		return nil
	}
	answer := s.do("POST", "/v1/services/circles/reserve", "", "Idempotency-Key", "k")
	require.Equal(t, "stored", answer.body)
	require.Equal(t, "true", answer.header.Get(vrwire.HeaderReplayed))
}

// Guards against unintended changes of the problem documents and status codes.
func TestProblemDocuments(t *testing.T) {
	reasons := []vrwire.Reason{
		vrwire.ReasonIdempotencyKeyReused, vrwire.ReasonQueueFull, vrwire.ReasonCallerShareExceeded,
		vrwire.ReasonDeadlineUnreachable, vrwire.ReasonDeadlineExceeded, vrwire.ReasonNoReplica,
		vrwire.ReasonClaimUnavailable, vrwire.ReasonOutcomeUnknown, vrwire.ReasonBackendFailed,
		vrwire.ReasonConfigurationUnavailable, vrwire.ReasonShuttingDown, vrwire.ReasonNoConfiguration,
	}
	s := newTestServer(t)
	var output strings.Builder
	for i, reason := range reasons {
		s.reducer.decide = func(event vrevent.Event) []vrevent.Effect {
			if e, ok := event.(vrevent.RequestArrived); ok {
				return []vrevent.Effect{vrevent.Refuse{Request: e.Request.ID, Reason: reason, Detail: "why", Ran: vrrecord.Ran(i%3 + 1), RetryAfter: time.Duration(i) * 600 * time.Millisecond}}
			}
			return nil
		}
		answer := s.do("POST", "/v1/chat/completions", chatBody("prompt@2", i%2 == 0))
		require.Equal(t, reason.Status(), answer.status)
		require.Equal(t, vrwire.ContentTypeProblem, answer.header.Get("Content-Type"))
		fmt.Fprintf(&output, "%s\nRetry-After: %s\n", answer.bodyWithoutID(), answer.header.Get("Retry-After"))
	}
	requireGolden(t, "problems.golden", output.String())
}

// Guards against callers that raise their rank or are admitted without a valid token.
func TestKindRankAndToken(t *testing.T) {
	s := newTestServer(t)
	s.backends.generate = streamAll
	fleet := testFleet()
	fleet.Version = 2
	sum := sha256.Sum256([]byte(_callerToken))
	fleet.Callers = []vrconfig.Caller{{ID: "school-3", TokenHash: hex.EncodeToString(sum[:])}}
	s.configs.Advance(vrconfig.NewIndex(fleet))
	cases := []struct {
		headers []string
		want    vrid.Rank
	}{
		{nil, vrid.RankUrgent},
		{[]string{"X-Verbena-Rank", "deferred"}, vrid.RankDeferred},
		{[]string{"X-Verbena-Kind", "digest"}, vrid.RankDeferred},
		{[]string{"X-Verbena-Kind", "digest", "X-Verbena-Rank", "urgent"}, vrid.RankDeferred},
	}
	for _, c := range cases {
		before := len(s.reducer.submitted())
		answer := s.do("POST", "/v1/chat/completions", chatBody("prompt@2", false), append(c.headers, "Authorization", "Bearer "+_callerToken)...)
		require.Equal(t, http.StatusOK, answer.status, answer.body)
		arrived := s.reducer.submitted()[before].(vrevent.RequestArrived).Request
		require.Equal(t, c.want, arrived.Rank, "%v", c.headers)
		require.Equal(t, vrid.CallerID("school-3"), arrived.Caller)
	}
	require.Equal(t, http.StatusUnauthorized, s.do("POST", "/v1/chat/completions", chatBody("prompt@2", false)).status)
	require.Equal(t, http.StatusUnauthorized, s.do("GET", "/v1/models", "", "Authorization", "Bearer wrong").status)
}

// Guards against a shutdown that interrupts a running stream or accepts new requests.
func TestShutdownWithRunningStream(t *testing.T) {
	s := newTestServer(t)
	streaming, finishStream := make(chan struct{}), make(chan struct{})
	s.backends.generate = func(_ context.Context, _ string, request *vrengine.GenerateRequest, onToken func(*vrengine.Token) error) vrevent.AttemptResult {
		_ = streamWords(request, _sampleText, 1, onToken)
		close(streaming)
		<-finishStream
		request.ResumeFrom = 2
		return streamWords(request, _sampleText, -1, onToken)
	}
	request, err := http.NewRequest(http.MethodPost, "http://daemon/v1/chat/completions", strings.NewReader(chatBody("prompt@2", true)))
	require.NoError(t, err)
	answer, err := s.client.Do(request)
	require.NoError(t, err)
	defer answer.Body.Close()
	<-streaming
	s.backends.generate = streamAll
	s.front.DisableKeepAlives()
	closing := s.do("POST", "/v1/chat/completions", chatBody("prompt@2", false))
	require.Equal(t, http.StatusOK, closing.status)
	require.True(t, closing.closes)
	s.front.Drain()
	require.Contains(t, s.do("POST", "/v1/chat/completions", chatBody("prompt@2", true)).body, "shuttingDown")
	ended := make(chan error, 1)
	go func() { ended <- s.front.Shutdown(context.Background()) }()
	close(finishStream)
	data, err := io.ReadAll(bufio.NewReader(answer.Body))
	require.NoError(t, err)
	text, done, _ := streamText(t, string(data))
	require.Equal(t, _sampleText, text)
	require.True(t, done)
	s.client.CloseIdleConnections()
	require.NoError(t, <-ended)
}

// Guards against an attempt that continues, and a request that never ends, after its caller
// disconnected in the middle of a stream.
func TestCallerDisconnectsDuringStream(t *testing.T) {
	s := newTestServer(t)
	ended := make(chan vrevent.AttemptResult, 1)
	s.reducer.decide = func(event vrevent.Event) []vrevent.Effect {
		if e, ok := event.(vrevent.AttemptEnded); ok {
			defer func() { ended <- e.Result }()
		}
		return defaultEffects(event)
	}
	s.backends.generate = func(_ context.Context, _ string, request *vrengine.GenerateRequest, onToken func(*vrengine.Token) error) vrevent.AttemptResult {
		for offset := 0; ; offset++ {
			if onToken(&vrengine.Token{RequestID: request.RequestID, Offset: offset, Token: strings.Repeat("x", 4096)}) != nil {
				return vrevent.AttemptBroken
			}
		}
	}
	request, err := http.NewRequest(http.MethodPost, "http://daemon/v1/chat/completions", strings.NewReader(chatBody("prompt@2", true)))
	require.NoError(t, err)
	answer, err := s.client.Do(request)
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.Equal(t, vrevent.AttemptCallerGone, <-ended)
}

// Guards against a request that keeps its place in the queue after its caller
// disconnected.
func TestCallerDisconnectsInQueue(t *testing.T) {
	s := newTestServer(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.front.Serve(listener) }()
	arrived, gone := make(chan struct{}), make(chan struct{})
	s.reducer.decide = func(event vrevent.Event) []vrevent.Effect {
		switch event.(type) {
		case vrevent.RequestArrived:
			close(arrived)
		case vrevent.CallerGone:
			// Like the reducer, return no effect for the ended request.
			close(gone)
		}
		return nil
	}
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	body := chatBody("prompt@2", true)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: d\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	require.NoError(t, err)
	<-arrived
	require.NoError(t, conn.Close())
	<-gone
	require.NoError(t, s.front.Shutdown(context.Background()))
	require.Zero(t, s.front.Running())
	require.NoError(t, <-served)
}

// Guards against a dispatch that gets no result because its request has already ended, and
// against a result that claims that something was sent.
func TestDispatchWithoutRequest(t *testing.T) {
	s := newTestServer(t)
	ended := make(chan vrevent.AttemptEnded, 1)
	s.reducer.decide = func(event vrevent.Event) []vrevent.Effect {
		ended <- event.(vrevent.AttemptEnded)
		return nil
	}
	require.True(t, s.front.Handle(vrevent.Dispatch{Request: "gone", Attempt: 2, Server: "s"}))
	require.Equal(t, vrevent.AttemptEnded{Request: "gone", Attempt: 2, Server: "s", Result: vrevent.AttemptNotSent}, <-ended)
}

// Guards against canceling a non-idempotent call, whose outcome would be lost, when its
// caller disconnects.
func TestCallerDisconnectsDuringNonIdempotentCall(t *testing.T) {
	s := newTestServer(t)
	req := newInflightRequest(vrevent.Request{ID: "r"})
	req.call = &ServiceCall{}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a := &attempt{number: 1, cancel: cancel}
	require.True(t, req.addAttempt(a))
	s.front.handleCallerGone(req)
	require.NoError(t, ctx.Err())
	require.Equal(t, vrevent.AttemptAnswered, req.endAttempt(a, vrevent.AttemptAnswered))
	require.True(t, req.addAttempt(a), "the claimed call is sent although the caller disconnected")
}

// Guards against treating a waiting caller as disconnected because the read deadline of its
// body has passed, and against missing a caller that has disconnected.
func TestIsClosedByPeer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	conn, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetReadDeadline(time.Unix(1, 0)))
	require.False(t, isClosedByPeer(conn))
	require.NoError(t, conn.SetReadDeadline(time.Time{}))
	_, err = caller.Write([]byte("G"))
	require.NoError(t, err)
	require.False(t, isClosedByPeer(conn), "a byte of the next request is buffered")
	var next [1]byte
	_, err = conn.Read(next[:])
	require.NoError(t, err)
	require.NoError(t, caller.Close())
	_, err = conn.Read(next[:])
	require.ErrorIs(t, err, io.EOF)
	require.True(t, isClosedByPeer(conn))
}
