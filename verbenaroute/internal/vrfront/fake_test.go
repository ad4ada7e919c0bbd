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
		// The library keeps one goroutine for the date, and one for each server that
		// ends by itself up to 10 s after the server.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

const _token = "a-school's-token"

func testFleet() *vrconfig.Fleet {
	second := vrid.Duration(time.Second)
	return &vrconfig.Fleet{
		Version: 1,
		Models:  []vrconfig.Model{{ID: "summary@1", Kind: "digest"}, {ID: "prompt@2", Kind: "live"}},
		Adapters: []vrconfig.Adapter{
			{ID: "circle-7", Base: "prompt@2"},
		},
		Services: []vrconfig.Service{{ID: "circles", OutcomePath: "/outcomes", Calls: []vrconfig.Call{
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

// fakeReducer decides by a function and notes every event.
type fakeReducer struct {
	front *Front

	mu     sync.Mutex
	events []vrevent.Event
	decide func(event vrevent.Event) []vrevent.Effect
	// terminal counts the terminal effects for each request.
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

func (r *fakeReducer) seen() []vrevent.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]vrevent.Event(nil), r.events...)
}

// route sends each request to "one" first, then to "two" and so on until it is
// answered, as the reducer does.
func route(event vrevent.Event) []vrevent.Effect {
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

// fakeBackends answer by functions.
type fakeBackends struct {
	generate func(ctx context.Context, address string, request *vrengine.GenerateRequest, token func(*vrengine.Token) error) vrevent.AttemptResult
	call     func(ctx context.Context, address string, call *ServiceCall) (ServiceAnswer, vrevent.AttemptResult)

	mu       sync.Mutex
	canceled []vrid.RequestID
}

// Generate implements Backends.
func (b *fakeBackends) Generate(ctx context.Context, address string, request *vrengine.GenerateRequest, token func(*vrengine.Token) error) vrevent.AttemptResult {
	return b.generate(ctx, address, request, token)
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

// speak streams the words of a text from the offset that the request resumes at and
// stops after the word with the number last, if it is not negative.
func speak(request *vrengine.GenerateRequest, text string, last int, token func(*vrengine.Token) error) vrevent.AttemptResult {
	words := strings.SplitAfter(text, " ")
	for i := request.ResumeFrom; i < len(words); i++ {
		if last >= 0 && i > last {
			return vrevent.AttemptBroken
		}
		if err := token(&vrengine.Token{RequestID: request.RequestID, Offset: i, Token: words[i]}); err != nil {
			return vrevent.AttemptBroken
		}
	}
	if err := token(&vrengine.Token{RequestID: request.RequestID, Offset: len(words), Done: true, FinishReason: "stop"}); err != nil {
		return vrevent.AttemptBroken
	}
	return vrevent.AttemptAnswered
}

// site is a front on a loopback in memory.
type site struct {
	t        *testing.T
	front    *Front
	reducer  *fakeReducer
	backends *fakeBackends
	configs  *vrconfig.Store
	listener *fasthttputil.InmemoryListener
	client   *http.Client
}

func newSite(t *testing.T) *site {
	s := &site{
		t:        t,
		reducer:  &fakeReducer{decide: route, terminal: make(map[vrid.RequestID]int)},
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

// reply is a whole HTTP answer.
type reply struct {
	status int
	header http.Header
	body   string
	// closes is set when the answer ends its connection.
	closes bool
}

func (s *site) do(method, path, body string, headers ...string) reply {
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
	return reply{status: answer.StatusCode, header: answer.Header, body: string(data), closes: answer.Close}
}

// raw writes bytes on a connection and reads until the daemon closes it.
func (s *site) raw(bytes string) string {
	s.t.Helper()
	conn, err := s.listener.Dial()
	require.NoError(s.t, err)
	defer func() { _ = conn.Close() }()
	go func() { _, _ = io.WriteString(conn, bytes) }()
	data, err := io.ReadAll(bufio.NewReader(conn))
	require.NoError(s.t, err)
	return string(data)
}

// hideID replaces the request's id, which differs between runs.
func (r reply) hideID() string {
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
