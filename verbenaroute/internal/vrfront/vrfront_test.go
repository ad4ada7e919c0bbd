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

const _text = "The next reader is in the second row."

func speakWhole(_ context.Context, _ string, request *vrengine.GenerateRequest, token func(*vrengine.Token) error) vrevent.AttemptResult {
	return speak(request, _text, -1, token)
}

// streamText joins the contents of a chat stream and returns what follows the last one.
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

// Guards against an answer that an ordinary client can't read.
func TestAnswerShapes(t *testing.T) {
	s := newSite(t)
	s.backends.generate = speakWhole
	hide := func(r reply) string {
		body := r.hideID()
		if at := strings.Index(body, `"created":`); at >= 0 {
			stamp := body[at+len(`"created":`):]
			stamp = stamp[:strings.IndexByte(stamp, ',')]
			body = strings.ReplaceAll(body, stamp, "0")
		}
		return fmt.Sprintf("%d %s\n%s\n", r.status, r.header.Get("Content-Type"), body)
	}
	var all strings.Builder
	all.WriteString(hide(s.do("POST", "/v1/chat/completions", chatBody("prompt@2", false))))
	all.WriteString(hide(s.do("POST", "/v1/chat/completions", `{"model":"circle-7","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":[{"type":"text","text":"Hi"}]}]}`)))
	all.WriteString(hide(s.do("POST", "/v1/completions", `{"model":"summary@1","prompt":"Sum up","max_tokens":5}`)))
	all.WriteString(hide(s.do("POST", "/v1/completions", `{"model":"summary@1","prompt":["Sum up"],"stream":true}`)))
	all.WriteString(hide(s.do("GET", "/v1/models", "")))
	requireGolden(t, "answers.golden", all.String())
}

// Guards against a lost or a doubled token when a stream breaks and goes on elsewhere.
func TestResume(t *testing.T) {
	words := strings.SplitAfter(_text, " ")
	for broken := -1; broken < len(words); broken++ {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("after %d, stream %t", broken, stream), func(t *testing.T) {
				s := newSite(t)
				s.backends.generate = func(_ context.Context, address string, request *vrengine.GenerateRequest, token func(*vrengine.Token) error) vrevent.AttemptResult {
					if address != "one" {
						return speak(request, _text, -1, token)
					}
					if broken < 0 {
						return vrevent.AttemptNotSent
					}
					return speak(request, _text, broken, token)
				}
				answer := s.do("POST", "/v1/chat/completions", chatBody("prompt@2", stream))
				require.Equal(t, http.StatusOK, answer.status)
				if !stream {
					require.Contains(t, answer.body, `"content":"`+_text+`"`)
					return
				}
				text, done, _ := streamText(t, answer.body)
				require.Equal(t, _text, text)
				require.True(t, done)
			})
		}
	}
}

// Guards against a stream that looks whole although its end is missing.
func TestRefusalInStream(t *testing.T) {
	s := newSite(t)
	s.backends.generate = func(_ context.Context, _ string, request *vrengine.GenerateRequest, token func(*vrengine.Token) error) vrevent.AttemptResult {
		return speak(request, _text, 2, token)
	}
	answer := s.do("POST", "/v1/chat/completions", chatBody("prompt@2", true))
	text, done, failure := streamText(t, answer.body)
	require.True(t, strings.HasPrefix(_text, text))
	require.False(t, done)
	var problem vrwire.Problem
	require.NoError(t, json.Unmarshal([]byte(failure), &problem))
	require.Equal(t, vrwire.ReasonBackendFailed, problem.Reason)
	require.False(t, problem.NotRun)
}

// Guards against tokens of another request, skipped tokens and tokens of a second
// attempt in one stream.
func TestForeignTokens(t *testing.T) {
	cases := map[string]vrengine.Token{
		"another request": {RequestID: "other", Offset: 0, Token: "wrong"},
		"skipped offset":  {Offset: 3, Token: "wrong"},
		"error line":      {Error: "internal"},
	}
	for name, line := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.backends.generate = func(_ context.Context, address string, request *vrengine.GenerateRequest, token func(*vrengine.Token) error) vrevent.AttemptResult {
				if address != "one" {
					return speak(request, _text, -1, token)
				}
				bad := line
				if bad.RequestID == "" {
					bad.RequestID = request.RequestID
				}
				if token(&bad) == nil {
					return vrevent.AttemptAnswered
				}
				return vrevent.AttemptBroken
			}
			answer := s.do("POST", "/v1/chat/completions", chatBody("prompt@2", false))
			require.Contains(t, answer.body, `"content":"`+_text+`"`)
		})
	}
}

// Guards against a stream that breaks at a token without text.
func TestEmptyToken(t *testing.T) {
	s := newSite(t)
	s.backends.generate = func(_ context.Context, _ string, request *vrengine.GenerateRequest, token func(*vrengine.Token) error) vrevent.AttemptResult {
		for offset, text := range []string{"", "a", "", "b"} {
			require.NoError(t, token(&vrengine.Token{RequestID: request.RequestID, Offset: offset, Token: text}))
		}
		require.NoError(t, token(&vrengine.Token{RequestID: request.RequestID, Offset: 4, Done: true, FinishReason: "length"}))
		return vrevent.AttemptAnswered
	}
	answer := s.do("POST", "/v1/completions", `{"model":"summary@1","prompt":"x"}`)
	require.Contains(t, answer.body, `"text":"ab"`)
	require.Contains(t, answer.body, `"completion_tokens":4`)
}

// Guards against two hedged attempts that both write into one answer.
func TestHedge(t *testing.T) {
	s := newSite(t)
	firstSpoke, secondTried := make(chan struct{}), make(chan struct{})
	s.reducer.decide = func(event vrevent.Event) []vrevent.Effect {
		effects := route(event)
		if arrived, ok := event.(vrevent.RequestArrived); ok {
			effects = append(effects, vrevent.Dispatch{Request: arrived.Request.ID, Attempt: 2, Address: "two", Deadline: time.Now().Add(10 * time.Second)})
		}
		if ended, ok := event.(vrevent.AttemptEnded); ok && ended.Result != vrevent.AttemptAnswered {
			return nil
		}
		return effects
	}
	s.backends.generate = func(_ context.Context, address string, request *vrengine.GenerateRequest, token func(*vrengine.Token) error) vrevent.AttemptResult {
		if address == "two" {
			<-firstSpoke
			defer close(secondTried)
			return speak(request, "Something else entirely.", -1, token)
		}
		result := speak(request, _text, 1, token)
		close(firstSpoke)
		<-secondTried
		request.ResumeFrom = 2
		if result == vrevent.AttemptBroken {
			result = speak(request, _text, -1, token)
		}
		return result
	}
	answer := s.do("POST", "/v1/chat/completions", chatBody("prompt@2", true))
	text, done, _ := streamText(t, answer.body)
	require.Equal(t, _text, text)
	require.True(t, done)
}

// Guards against answers that reach the wrong caller when they end out of order.
func TestCrossedAnswers(t *testing.T) {
	const callers = 20
	s := newSite(t)
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

// Guards against a service call that is sent more than once or to another path.
func TestServiceCall(t *testing.T) {
	s := newSite(t)
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
	arrived := s.reducer.seen()[0].(vrevent.RequestArrived).Request
	require.False(t, arrived.Idempotent)
	require.Equal(t, vrid.RankNormal, arrived.Rank)
	require.Equal(t, "/outcomes", arrived.OutcomePath)
}

// Guards against a stored answer that looks like a first one.
func TestReplay(t *testing.T) {
	s := newSite(t)
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

// Guards against a refusal whose document or status changes for callers.
func TestProblemDocuments(t *testing.T) {
	reasons := []vrwire.Reason{
		vrwire.ReasonIdempotencyKeyReused, vrwire.ReasonQueueFull, vrwire.ReasonCallerShareExceeded,
		vrwire.ReasonDeadlineUnreachable, vrwire.ReasonDeadlineExceeded, vrwire.ReasonNoReplica,
		vrwire.ReasonClaimUnavailable, vrwire.ReasonOutcomeUnknown, vrwire.ReasonBackendFailed,
		vrwire.ReasonConfigurationUnavailable, vrwire.ReasonShuttingDown, vrwire.ReasonNoConfiguration,
	}
	s := newSite(t)
	var all strings.Builder
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
		fmt.Fprintf(&all, "%s\nRetry-After: %s\n", answer.hideID(), answer.header.Get("Retry-After"))
	}
	requireGolden(t, "problems.golden", all.String())
}

// Guards against callers that raise their rank or pass without a token.
func TestKindRankAndToken(t *testing.T) {
	s := newSite(t)
	s.backends.generate = speakWhole
	fleet := testFleet()
	fleet.Version = 2
	sum := sha256.Sum256([]byte(_token))
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
		before := len(s.reducer.seen())
		answer := s.do("POST", "/v1/chat/completions", chatBody("prompt@2", false), append(c.headers, "Authorization", "Bearer "+_token)...)
		require.Equal(t, http.StatusOK, answer.status, answer.body)
		arrived := s.reducer.seen()[before].(vrevent.RequestArrived).Request
		require.Equal(t, c.want, arrived.Rank, "%v", c.headers)
		require.Equal(t, vrid.CallerID("school-3"), arrived.Caller)
	}
	require.Equal(t, http.StatusUnauthorized, s.do("POST", "/v1/chat/completions", chatBody("prompt@2", false)).status)
	require.Equal(t, http.StatusUnauthorized, s.do("GET", "/v1/models", "", "Authorization", "Bearer wrong").status)
}

// Guards against a shutdown that cuts a running stream or takes new requests.
func TestShutdownWithRunningStream(t *testing.T) {
	s := newSite(t)
	spoke, goOn := make(chan struct{}), make(chan struct{})
	s.backends.generate = func(_ context.Context, _ string, request *vrengine.GenerateRequest, token func(*vrengine.Token) error) vrevent.AttemptResult {
		_ = speak(request, _text, 1, token)
		close(spoke)
		<-goOn
		request.ResumeFrom = 2
		return speak(request, _text, -1, token)
	}
	request, err := http.NewRequest(http.MethodPost, "http://daemon/v1/chat/completions", strings.NewReader(chatBody("prompt@2", true)))
	require.NoError(t, err)
	answer, err := s.client.Do(request)
	require.NoError(t, err)
	defer answer.Body.Close()
	<-spoke
	s.backends.generate = speakWhole
	s.front.DisableKeepAlives()
	leaving := s.do("POST", "/v1/chat/completions", chatBody("prompt@2", false))
	require.Equal(t, http.StatusOK, leaving.status)
	require.True(t, leaving.closes)
	s.front.Drain()
	require.Contains(t, s.do("POST", "/v1/chat/completions", chatBody("prompt@2", true)).body, "shuttingDown")
	ended := make(chan error, 1)
	go func() { ended <- s.front.Shutdown(context.Background()) }()
	close(goOn)
	data, err := io.ReadAll(bufio.NewReader(answer.Body))
	require.NoError(t, err)
	text, done, _ := streamText(t, string(data))
	require.Equal(t, _text, text)
	require.True(t, done)
	s.client.CloseIdleConnections()
	require.NoError(t, <-ended)
}

// Guards against an attempt that goes on for a caller that left in the middle of a
// stream, and against a request that never ends.
func TestCallerLeaves(t *testing.T) {
	s := newSite(t)
	ended := make(chan vrevent.AttemptResult, 1)
	s.reducer.decide = func(event vrevent.Event) []vrevent.Effect {
		if e, ok := event.(vrevent.AttemptEnded); ok {
			defer func() { ended <- e.Result }()
		}
		return route(event)
	}
	s.backends.generate = func(_ context.Context, _ string, request *vrengine.GenerateRequest, token func(*vrengine.Token) error) vrevent.AttemptResult {
		for offset := 0; ; offset++ {
			if token(&vrengine.Token{RequestID: request.RequestID, Offset: offset, Token: strings.Repeat("x", 4096)}) != nil {
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

// Guards against a request that keeps its place in the queue after its caller left.
func TestCallerLeavesQueue(t *testing.T) {
	s := newSite(t)
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
			// The reducer ends the request and returns no effect for it.
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

// Guards against a dispatch that waits for ever when its request has ended, and against
// one that claims that something was sent.
func TestDispatchWithoutRequest(t *testing.T) {
	s := newSite(t)
	ended := make(chan vrevent.AttemptEnded, 1)
	s.reducer.decide = func(event vrevent.Event) []vrevent.Effect {
		ended <- event.(vrevent.AttemptEnded)
		return nil
	}
	require.True(t, s.front.Handle(vrevent.Dispatch{Request: "gone", Attempt: 2, Server: "s"}))
	require.Equal(t, vrevent.AttemptEnded{Request: "gone", Attempt: 2, Server: "s", Result: vrevent.AttemptNotSent}, <-ended)
}

// Guards against a caller without patience that stops a call whose outcome would be
// lost.
func TestCallerLeavesReservation(t *testing.T) {
	s := newSite(t)
	flight := newFlight(vrevent.Request{ID: "r"})
	flight.call = &ServiceCall{}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a := &attempt{number: 1, cancel: cancel}
	require.True(t, flight.begin(a))
	s.front.leaveCaller(flight)
	require.NoError(t, ctx.Err())
	require.Equal(t, vrevent.AttemptAnswered, flight.leave(a, vrevent.AttemptAnswered))
	require.True(t, flight.begin(a), "the claimed call is sent although the caller left")
}

// Guards against a waiting caller that is taken for gone when the deadline of its body
// has passed, and against one that is gone and not noticed.
func TestIsClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	conn, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetReadDeadline(time.Unix(1, 0)))
	require.False(t, isClosed(conn))
	require.NoError(t, conn.SetReadDeadline(time.Time{}))
	_, err = caller.Write([]byte("G"))
	require.NoError(t, err)
	require.False(t, isClosed(conn), "a next request waits")
	var next [1]byte
	_, err = conn.Read(next[:])
	require.NoError(t, err)
	require.NoError(t, caller.Close())
	_, err = conn.Read(next[:])
	require.ErrorIs(t, err, io.EOF)
	require.True(t, isClosed(conn))
}
