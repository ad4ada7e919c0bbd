package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/platform/vrstandin"
)

// Seeds of TestSoak. A run with many is started by hand.
var (
	_soakSeed  = flag.Uint64("soak.seed", 1, "first seed of TestSoak")
	_soakSeeds = flag.Int("soak.seeds", 1, "number of seeds of TestSoak")
	_soakTime  = flag.Duration("soak.time", 20*time.Second, "time of TestSoak for each seed")
)

const (
	_soakGateways, _soakServers, _soakClients = 3, 6, 32
	// _soakDeadline is the deadline of each request.
	_soakDeadline = 8 * time.Second
	// _soakPauseTarget is short, so that a gateway that was held up finds its servers' silences overdue.
	_soakPauseTarget = 100 * time.Millisecond
)

// The routes of a soak, by name.
var _soakRoutes = []vrstandin.Route{
	{Name: "once", Type: "non_idempotent", Timeout: _soakDeadline},
	{Name: "read", Type: "idempotent", Timeout: _soakDeadline},
	{Name: "stream", Type: "streaming", Resumable: true, PauseTarget: _soakPauseTarget, Timeout: _soakDeadline},
	{Name: "live", Type: "streaming", PauseTarget: _soakPauseTarget, Timeout: _soakDeadline},
}

// soak plays faults of servers, signals and restarts of gateways and changes of the configuration, in series
// and overlapping, while clients keep using their connections.
type soak struct {
	t        *testing.T
	seed     uint64
	store    *vrstandin.Store
	gateways []*gatewayProcess
	servers  []*vrstandin.FaultyServer
	version  atomic.Int64

	mu sync.Mutex
	// runs counts the runs of each request, outcomes the answers by outcome.
	runs, outcomes map[string]int
	// refused holds the requests whose answer says that they have not run.
	refused    []string
	violations []string
}

// planOf returns the plan of the response to a request, which depends on the seed and its id alone. A second run
// of the request is answered like the first one.
func (s *soak) planOf(request string) vrstandin.ResponsePlan {
	h := fnv.New64a()
	_, _ = io.WriteString(h, request)
	r := rand.New(rand.NewPCG(s.seed, h.Sum64()))
	// Half of the responses have neither a length nor chunks.
	plan := vrstandin.ResponsePlan{
		Framing: vrstandin.FramedByEnd, BreakPart: r.Float64(), Pause: time.Duration(r.IntN(40)) * time.Millisecond,
		Early: r.IntN(2) == 0, NotRun: r.IntN(40) == 0, BodySize: 1 + r.IntN(2000),
	}
	switch r.IntN(4) {
	case 0:
		plan.Framing = vrstandin.FramedByLength
	case 1:
		plan.Framing = vrstandin.FramedByChunks
	}
	switch r.IntN(6) {
	case 0:
		plan.Break = vrstandin.BreakClose
	case 1:
		plan.Break = vrstandin.BreakReset
	}
	switch {
	case isStream(request) && r.IntN(3) == 0:
		// Between the events of a slow stream nothing is left to be read.
		plan.Events, plan.Pause = 1+r.IntN(8), time.Duration(200+r.IntN(500))*time.Millisecond
	case isStream(request):
		plan.Events, plan.Pause = 1+r.IntN(40), time.Duration(5+r.IntN(40))*time.Millisecond
	case r.IntN(6) == 0:
		plan.BodySize = r.IntN(400_000)
	}
	return plan
}

// Ids of requests begin with the name of their route.
func isStream(request string) bool {
	return strings.HasPrefix(request, "stream") || strings.HasPrefix(request, "live")
}

func mayRepeat(request string) bool {
	return strings.HasPrefix(request, "stream") || strings.HasPrefix(request, "read")
}

func (s *soak) onRun(request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[request]++
	if s.runs[request] > 1 && !mayRepeat(request) {
		s.violations = append(s.violations, fmt.Sprintf("TWICE: %s runs %d times", request, s.runs[request]))
	}
}

func (s *soak) violate(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// client sends requests to one gateway after the other until the context is done. It uses a connection as long
// as it can.
func (s *soak) client(ctx context.Context, number int) {
	r := rand.New(rand.NewPCG(s.seed, uint64(number)))
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	gateway := s.gateways[number%len(s.gateways)]
	for i := 0; ctx.Err() == nil; i++ {
		route := _soakRoutes[r.IntN(len(_soakRoutes))].Name
		id := fmt.Sprintf("%s-%d-%d-%d", route, s.seed, number, i)
		size := r.IntN(500)
		switch r.IntN(6) {
		case 0:
			size = r.IntN(100_000)
		case 1:
			// Its write is blocked while the server does not read.
			size = 4_000_000
		}
		if !s.exchange(client, gateway, route, id, size, r.IntN(2) == 0) {
			gateway = s.gateways[r.IntN(len(s.gateways))]
			wait(ctx, r, 0, 50)
		}
	}
}

// exchange sends a request and judges its answer. It reports whether the connection can be used again.
func (s *soak) exchange(client *http.Client, gateway *gatewayProcess, route, id string, size int, chunked bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), _soakDeadline+time.Second)
	defer cancel()
	body := bytes.Repeat([]byte("u"), size)
	var reader io.Reader = bytes.NewReader(body)
	if chunked {
		reader = io.MultiReader(reader)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway.callers+"/"+route+"/x", reader)
	require.NoError(s.t, err)
	request.Host = "h.example"
	vrstandin.SetClientHeaders(request.Header, id, _soakDeadline)
	response, err := client.Do(request)
	if err != nil {
		s.count("no answer")
		return false
	}
	defer func() { _ = response.Body.Close() }()
	received, err := io.ReadAll(response.Body)
	s.judge(id, response, string(received), err)
	return err == nil
}

// judge checks an answer. A readErr means that it did not look complete.
func (s *soak) judge(id string, response *http.Response, received string, readErr error) {
	plan := s.planOf(id)
	want := vrstandin.BodyOf(id, plan)
	signature := vrstandin.Signature(response.Header)
	rule := "MIXED"
	if isStream(id) {
		rule = "ORDER"
	}
	switch {
	case response.StatusCode == http.StatusOK && signature != vrstandin.SignatureOf(id):
		s.violate("MIXED: %s has the signature %q", id, signature)
	case response.StatusCode == http.StatusOK && readErr != nil && !strings.HasPrefix(want, received):
		s.violate("%s: %s, which was cut, has other bytes than its server's: %+v", rule, id, plan)
	case response.StatusCode == http.StatusOK && readErr == nil && received != want:
		s.violate("%s: %s looks complete with %d of %d bytes, %d of %d events: %+v", rule, id, len(received), len(want),
			strings.Count(received, "\n\n"), plan.Events, plan)
	case response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests:
		s.mu.Lock()
		s.refused = append(s.refused, id)
		s.mu.Unlock()
	}
	switch {
	case response.StatusCode != http.StatusOK:
		s.count(response.Status)
	case readErr != nil && isStream(id):
		s.count(outcomeCutStream)
	case readErr != nil:
		s.count("cut")
	case isStream(id):
		s.count(outcomeWholeStream)
	default:
		s.count(outcomeWhole)
	}
}

// Outcomes that come in each soak.
const (
	outcomeWhole       = "whole"
	outcomeWholeStream = "whole stream"
	outcomeCutStream   = "cut stream"
)

func (s *soak) count(outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[outcome]++
}

// checkRefusals finds requests that may run once, were answered that they have not run, and have.
func (s *soak) checkRefusals() {
	for _, id := range s.refused {
		if s.runs[id] > 0 && !mayRepeat(id) {
			s.violations = append(s.violations, "REFUSED: "+id+" has run")
		}
	}
}

// disturbServer crashes a server again and again.
func (s *soak) disturbServer(ctx context.Context, number int) {
	r := rand.New(rand.NewPCG(s.seed, 1<<32+uint64(number)))
	server := s.servers[number]
	for wait(ctx, r, 500, 4000) {
		server.Crash()
		wait(ctx, r, 50, 800)
		require.NoError(s.t, server.Start())
	}
	server.Crash()
}

// disturbGateway stops a gateway's process for a while, signals it, and ends and starts it again.
func (s *soak) disturbGateway(ctx context.Context, number int) {
	r := rand.New(rand.NewPCG(s.seed, 2<<32+uint64(number)))
	gateway := s.gateways[number]
	for wait(ctx, r, 200, 1500) {
		switch r.IntN(8) {
		case 0:
			_ = gateway.Process.Signal(syscall.SIGTERM)
			for range r.IntN(4) {
				wait(ctx, r, 1, 300)
				_ = gateway.Process.Signal(syscall.SIGHUP)
			}
			_ = gateway.Wait()
			gateway.start(s.t)
		case 1:
			gateway.kill()
			wait(ctx, r, 1, 500)
			gateway.start(s.t)
		case 2:
			_ = gateway.Process.Signal(syscall.SIGHUP)
		default:
			_ = gateway.Process.Signal(syscall.SIGSTOP)
			wait(ctx, r, 100, 1500)
			_ = gateway.Process.Signal(syscall.SIGCONT)
		}
	}
}

// changeConfiguration writes new versions of the configuration.
func (s *soak) changeConfiguration(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.seed, 3<<32))
	for wait(ctx, r, 50, 2000) {
		s.store.Configure(int(s.version.Add(1)), _soakRoutes...)
	}
}

// wait waits for a time between two limits in milliseconds. It returns false once the context is done.
func wait(ctx context.Context, r *rand.Rand, least, most int) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(least+r.IntN(most-least)) * time.Millisecond):
		return true
	}
}

// Guards against cut answers that look complete, requests that run twice and refused ones that run, while
// processes are frozen, restarted and signalled, servers crash and break answers off, and the configuration changes.
func TestSoak(t *testing.T) {
	for seed := *_soakSeed; seed < *_soakSeed+uint64(*_soakSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{t: t, seed: seed, store: vrstandin.NewStore(), runs: make(map[string]int), outcomes: make(map[string]int)}
	s.store.Configure(int(s.version.Add(1)), _soakRoutes...)
	for i := range _soakServers {
		server := &vrstandin.FaultyServer{Store: s.store, Name: fmt.Sprint(i), Plan: s.planOf, OnRun: s.onRun}
		require.NoError(t, server.Start())
		s.servers = append(s.servers, server)
	}
	storeServer := httptest.NewServer(s.store)
	t.Cleanup(storeServer.Close)
	for i := range _soakGateways {
		gateway := newGateway(t, fmt.Sprint("edge-", i), storeServer.URL, "GOMAXPROCS=1")
		gateway.start(t)
		s.gateways = append(s.gateways, gateway)
	}
	for _, gateway := range s.gateways {
		gateway.waitUntilReady(t)
	}
	ctx, cancel := context.WithTimeout(t.Context(), *_soakTime)
	defer cancel()
	var running sync.WaitGroup
	for i := range _soakClients {
		running.Go(func() { s.client(ctx, i) })
	}
	for i := range s.servers {
		running.Go(func() { s.disturbServer(ctx, i) })
	}
	for i := range s.gateways {
		running.Go(func() { s.disturbGateway(ctx, i) })
	}
	running.Go(func() { s.changeConfiguration(ctx) })
	running.Wait()
	s.checkRefusals()
	t.Logf("seed %d: %v", seed, s.outcomes)
	require.Empty(t, s.violations)
	for _, outcome := range []string{outcomeWhole, outcomeWholeStream, outcomeCutStream} {
		require.NotZero(t, s.outcomes[outcome], outcome)
	}
}
