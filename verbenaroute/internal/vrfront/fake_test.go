package vrfront

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp/fasthttputil"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

var _update = flag.Bool("update", false, "rewrite the golden files")

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// fasthttp runs one goroutine that updates the date and never ends, and one per server
		// that ends up to 10 s after the server.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

const _callerToken = "a-school's-token"

func testFleet() *vrconfig.Fleet {
	second := vrid.Duration(time.Second)
	return &vrconfig.Fleet{
		Version: 1,
		Models:  []vrconfig.Model{{ID: "summary@1", Kind: "digest"}, {ID: "prompt@2", Kind: "live"}},
		Adapters: []vrconfig.Adapter{
			{ID: "circle-7", Base: "prompt@2"},
		},
		Services: []vrconfig.Service{{ID: "circles", OutcomePath: "/outcomes", Calls: []vrconfig.CallRule{
			{Method: "POST", Path: "/reserve", Kind: "booking"},
			{Method: "*", Path: "/shelf", Idempotent: true, Kind: "booking"},
		}}},
		Kinds: []vrconfig.Kind{
			{ID: "live", Rank: vrid.RankUrgent},
			{ID: "booking", Rank: vrid.RankNormal},
			{ID: "digest", Rank: vrid.RankDeferred},
		},
		Ranks: []vrconfig.RankPolicy{
			{Rank: vrid.RankUrgent, Target: second, Deadline: 10 * second},
			{Rank: vrid.RankNormal, Target: second, Deadline: 20 * second},
			{Rank: vrid.RankDeferred, Target: second, Deadline: 60 * second},
		},
	}
}

// fakeReducer returns the effects of a configurable function and records every event.
type fakeReducer struct {
	front *Front

	mu     sync.Mutex
	events []vrevent.Event
	decide func(event vrevent.Event) []vrevent.Effect
	// terminal counts the terminal effects per request.
	terminal map[vrid.RequestID]int
}

// Submit implements Submitter.
func (r *fakeReducer) Submit(event vrevent.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
	for _, effect := range r.decide(event) {
		switch e := effect.(type) {
		case vrevent.Refuse:
			r.terminal[e.Request]++
		case vrevent.Complete:
			r.terminal[e.Request]++
		case vrevent.Replay:
			r.terminal[e.Request]++
		}
		r.front.Handle(effect)
	}
}

func (r *fakeReducer) submitted() []vrevent.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]vrevent.Event(nil), r.events...)
}

// defaultEffects dispatches each request to server "one", then to "two" and so on until it
// is answered, as the reducer does.
func defaultEffects(event vrevent.Event) []vrevent.Effect {
	servers := []string{"one", "two", "three"}
	dispatch := func(id vrid.RequestID, attempt, tokens int) []vrevent.Effect {
		return []vrevent.Effect{vrevent.Dispatch{
			Request: id, Attempt: attempt, Address: servers[attempt-1], Model: "prompt@2",
			Resume: tokens > 0, Deadline: time.Now().Add(10 * time.Second),
		}}
	}
	switch e := event.(type) {
	case vrevent.RequestArrived:
		return dispatch(e.Request.ID, 1, 0)
	case vrevent.CallerGone:
		return []vrevent.Effect{vrevent.Refuse{Request: e.Request, Reason: vrwire.ReasonCallerGone, Ran: vrrecord.RanNo}}
	case vrevent.AttemptEnded:
		switch {
		case e.Result == vrevent.AttemptAnswered:
			return []vrevent.Effect{vrevent.Complete{Request: e.Request}}
		case e.Result == vrevent.AttemptCallerGone:
			return []vrevent.Effect{vrevent.Refuse{Request: e.Request, Reason: vrwire.ReasonCallerGone, Ran: vrrecord.RanUnknown}}
		case e.Attempt < len(servers):
			return dispatch(e.Request, e.Attempt+1, e.Tokens)
		}
		return []vrevent.Effect{vrevent.Refuse{Request: e.Request, Reason: vrwire.ReasonBackendFailed, Detail: "every attempt failed", Ran: vrrecord.RanUnknown}}
	}
	return nil
}

// fakeBackends calls configurable functions.
type fakeBackends struct {
	generate func(ctx context.Context, address string, request *vrengine.GenerateRequest, onToken func(*vrengine.Token) error) vrevent.AttemptResult
	call     func(ctx context.Context, address string, call *ServiceCall) (ServiceAnswer, vrevent.AttemptResult)

	mu       sync.Mutex
	canceled []vrid.RequestID
}

// Generate implements Backends.
func (b *fakeBackends) Generate(ctx context.Context, address string, request *vrengine.GenerateRequest, onToken func(*vrengine.Token) error) vrevent.AttemptResult {
	return b.generate(ctx, address, request, onToken)
}

// Cancel implements Backends.
func (b *fakeBackends) Cancel(_ context.Context, _ string, request vrid.RequestID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.canceled = append(b.canceled, request)
}

// Call implements Backends.
func (b *fakeBackends) Call(ctx context.Context, address string, call *ServiceCall) (ServiceAnswer, vrevent.AttemptResult) {
	return b.call(ctx, address, call)
}

// Outcome implements Backends.
func (b *fakeBackends) Outcome(_ context.Context, address, path string, key vrid.IdempotencyKey) (ServiceAnswer, bool, error) {
	return ServiceAnswer{Status: 200, Body: []byte(address + path + string(key))}, true, nil
}

// streamWords streams the words of text from the offset at which the request resumes. If
// lastWord is not negative, it breaks the stream after the word with that index.
func streamWords(request *vrengine.GenerateRequest, text string, lastWord int, onToken func(*vrengine.Token) error) vrevent.AttemptResult {
	words := strings.SplitAfter(text, " ")
	for i := request.ResumeFrom; i < len(words); i++ {
		if lastWord >= 0 && i > lastWord {
			return vrevent.AttemptBroken
		}
		if err := onToken(&vrengine.Token{RequestID: request.RequestID, Offset: i, Token: words[i]}); err != nil {
			return vrevent.AttemptBroken
		}
	}
	if err := onToken(&vrengine.Token{RequestID: request.RequestID, Offset: len(words), Done: true, FinishReason: "stop"}); err != nil {
		return vrevent.AttemptBroken
	}
	return vrevent.AttemptAnswered
}

// testServer is a Front that listens on an in-memory listener.
type testServer struct {
	t        *testing.T
	front    *Front
	reducer  *fakeReducer
	backends *fakeBackends
	configs  *vrconfig.Store
	listener *fasthttputil.InmemoryListener
	client   *http.Client
}

func newTestServer(t *testing.T) *testServer {
	s := &testServer{
		t:        t,
		reducer:  &fakeReducer{decide: defaultEffects, terminal: make(map[vrid.RequestID]int)},
		backends: &fakeBackends{},
		configs:  &vrconfig.Store{},
		listener: fasthttputil.NewInmemoryListener(),
	}
	s.configs.Advance(vrconfig.NewIndex(testFleet()))
	s.front = New(Options{Submitter: s.reducer, Configs: s.configs, Backends: s.backends, Log: zap.NewNop()})
	s.reducer.front = s.front
	s.client = &http.Client{Transport: &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) { return s.listener.Dial() },
	}}
	served := make(chan error, 1)
	go func() { served <- s.front.Serve(s.listener) }()
	t.Cleanup(func() {
		s.client.CloseIdleConnections()
		require.NoError(t, s.front.Shutdown(context.Background()))
		s.front.Close()
		require.NoError(t, <-served)
	})
	return s
}

// response is a complete HTTP response.
type response struct {
	status int
	header http.Header
	body   string
	// closes is set if the response closes its connection.
	closes bool
}

func (s *testServer) do(method, path, body string, headers ...string) response {
	s.t.Helper()
	request, err := http.NewRequest(method, "http://daemon"+path, strings.NewReader(body))
	require.NoError(s.t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	answer, err := s.client.Do(request)
	require.NoError(s.t, err)
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	require.NoError(s.t, err)
	return response{status: answer.StatusCode, header: answer.Header, body: string(data), closes: answer.Close}
}

// sendRaw writes bytes to a new connection and reads until the daemon closes it.
func (s *testServer) sendRaw(bytes string) string {
	s.t.Helper()
	conn, err := s.listener.Dial()
	require.NoError(s.t, err)
	defer func() { _ = conn.Close() }()
	go func() { _, _ = io.WriteString(conn, bytes) }()
	data, err := io.ReadAll(bufio.NewReader(conn))
	require.NoError(s.t, err)
	return string(data)
}

// bodyWithoutID returns the body with the request's id, which differs between runs,
// replaced by a placeholder.
func (r response) bodyWithoutID() string {
	id := r.header.Get(vrwire.HeaderRequestID)
	return strings.ReplaceAll(r.body, id, "REQUEST")
}

func requireGolden(t *testing.T, name, found string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *_update {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(path, []byte(found), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), found)
}

func chatBody(model string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"Who speaks next?"}],"stream":%t,"temperature":0.2,"user":"room 4"}`, model, stream)
}
