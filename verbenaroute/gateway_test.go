package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/platform/vrstandin"
)

// _commandEnv makes the test binary run the command, so that tests can send it signals.
const _commandEnv = "VERBENAROUTE_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(_commandEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Limits of waits for the gateway's process.
const (
	_waitTimeout  = 30 * time.Second
	_waitInterval = 10 * time.Millisecond
)

// gatewayProcess is a gateway that runs in a process of its own.
type gatewayProcess struct {
	*exec.Cmd
	callers, readiness string
	settings           string
	environment        []string
}

// startGateway starts a gateway on free addresses and waits until it is ready.
func startGateway(t *testing.T, store *vrstandin.Store, environment ...string) *gatewayProcess {
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	g := newGateway(t, "edge-1", storeServer.URL, environment...)
	g.start(t)
	g.waitUntilReady(t)
	return g
}

// newGateway returns a gateway on free addresses that has not started.
func newGateway(t *testing.T, daemon, storeURL string, environment ...string) *gatewayProcess {
	addresses := freeAddresses(t, 4)
	data, err := json.Marshal(map[string]any{
		"daemon": daemon, "zone": "z", "regions": map[string]string{"z": "r"}, "callers": addresses[0], "readiness": addresses[1],
		"peers": addresses[2], "metrics": addresses[3], "store": strings.TrimPrefix(storeURL, "http://"),
		"bounds": map[string]any{"grace": "20s", "retrySlack": 1000},
	})
	require.NoError(t, err)
	settings := filepath.Join(t.TempDir(), "gateway.json")
	require.NoError(t, os.WriteFile(settings, data, 0o600))
	g := &gatewayProcess{callers: addresses[0], readiness: addresses[1], settings: settings, environment: environment}
	t.Cleanup(g.kill)
	return g
}

// start starts a process of the gateway.
func (g *gatewayProcess) start(t *testing.T) {
	executable, err := os.Executable()
	require.NoError(t, err)
	g.Cmd = exec.Command(executable, "gateway", "--settings", g.settings)
	g.Env = append(append(os.Environ(), _commandEnv+"=1"), g.environment...)
	require.NoError(t, g.Start())
}

func (g *gatewayProcess) waitUntilReady(t *testing.T) {
	require.Eventually(t, func() bool { return g.readyStatus() == http.StatusOK }, _waitTimeout, _waitInterval)
}

// kill ends the process if it runs.
func (g *gatewayProcess) kill() {
	if g.Cmd != nil {
		_ = g.Process.Kill()
		_ = g.Wait()
	}
}

// _hosts counts the loopback hosts that freeAddresses has used.
var _hosts atomic.Int64

// freeAddresses returns addresses of one loopback host that no process listens on at this moment. Each call uses
// another host: connections that are opened before the addresses are bound come from 127.0.0.1, and would
// sometimes take one of its ports.
func freeAddresses(t *testing.T, count int) []string {
	const blocks, perBlock = 250, 250
	n := _hosts.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%blocks, n/perBlock, 1+n%perBlock)
	addresses := make([]string, count)
	for i := range addresses {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		require.NoError(t, err)
		defer func() { _ = listener.Close() }()
		addresses[i] = listener.Addr().String()
	}
	return addresses
}

// readyStatus returns the status of a readiness check, zero if it fails.
func (g *gatewayProcess) readyStatus() int {
	response, err := http.Get("http://" + g.readiness + "/readyz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// call sends a request and returns its status and body.
func (g *gatewayProcess) call(id, path string) (int, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+g.callers+path, strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	request.Host = "h.example"
	vrstandin.SetClientHeaders(request.Header, id, time.Minute)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// A settings change that is signaled while the gateway stops must not end the process: every open
// call would be cut without an answer.
func TestHangupDuringShutdownKeepsOpenCalls(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	standin := &vrstandin.Server{ResponseBody: "done"}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		select {
		case <-release:
		case <-r.Context().Done():
		}
		standin.ServeHTTP(w, r)
	}))
	t.Cleanup(backend.Close)
	store := vrstandin.NewStore()
	store.Configure(3, vrstandin.Route{Name: "once", Type: "non_idempotent", Timeout: time.Minute})
	store.Register("i-1", strings.TrimPrefix(backend.URL, "http://"), "ready", 1)
	gateway := startGateway(t, store)

	var status int
	var body string
	var callErr error
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		status, body, callErr = gateway.call("r1", "/once/x")
	}()
	<-arrived
	require.NoError(t, gateway.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { return gateway.readyStatus() != http.StatusOK }, _waitTimeout, _waitInterval)
	// Several, because the gateway may not have handled the first signal everywhere yet.
	for range 20 {
		_ = gateway.Process.Signal(syscall.SIGHUP)
		<-time.After(_waitInterval)
	}
	close(release)
	<-answered
	require.NoError(t, callErr)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "done", body)
	require.NoError(t, gateway.Wait())
}

// A standstill of the gateway's own process, as on a machine without free processor time, must not
// count as the silence of its servers: their events have arrived meanwhile. All streams were cut at
// once, with their servers ejected.
func TestOwnStandstillDoesNotCutStreams(t *testing.T) {
	const (
		streams, events = 20, 100
		eventInterval   = 50 * time.Millisecond
		// The gateway gives a stream up after four pause targets.
		pauseTarget = 500 * time.Millisecond
		standstill  = 3 * time.Second
	)
	var begun sync.Map
	allBegun := make(chan struct{})
	var count atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		vrstandin.SetAnswerHeaders(w.Header(), r)
		last := 0
		if id := r.Header.Get("Last-Event-Id"); id != "" {
			_, _ = fmt.Sscan(id, &last)
		}
		for i := last + 1; i <= events && r.Context().Err() == nil; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
			_ = http.NewResponseController(w).Flush()
			if _, known := begun.LoadOrStore(r.Header.Get("Request-Id"), true); !known && count.Add(1) == streams {
				close(allBegun)
			}
			<-time.After(eventInterval)
		}
	}))
	t.Cleanup(backend.Close)
	store := vrstandin.NewStore()
	store.Configure(3, vrstandin.Route{
		Name: "stream", Type: "streaming", Resumable: true, PauseTarget: pauseTarget, Timeout: time.Minute,
	})
	for i := range 2 {
		store.Register(fmt.Sprint("i-", i), strings.TrimPrefix(backend.URL, "http://"), "ready", 1)
	}
	// With one processor the runtime handles the timers that are due before it polls the network.
	gateway := startGateway(t, store, "GOMAXPROCS=1")

	faults := make(chan string, streams)
	var running sync.WaitGroup
	for i := range streams {
		running.Go(func() {
			status, body, err := gateway.call(fmt.Sprint("r", i), "/stream/x")
			if received := strings.Count(body, "data: x\n\n"); err != nil || status != http.StatusOK || received != events {
				faults <- fmt.Sprint("status ", status, ", ", received, " of ", events, " events, ", err)
			}
		})
	}
	<-allBegun
	<-time.After(10 * eventInterval)
	require.NoError(t, gateway.Process.Signal(syscall.SIGSTOP))
	<-time.After(standstill)
	require.NoError(t, gateway.Process.Signal(syscall.SIGCONT))
	running.Wait()
	close(faults)
	var list []string
	for fault := range faults {
		list = append(list, fault)
	}
	require.Empty(t, list)
}

// A standstill of the gateway's own process must not count as a server that is slow to its first byte:
// the answers have arrived meanwhile. All requests were sent once more at once, and their servers were
// ejected.
func TestOwnStandstillGivesUpNoRequest(t *testing.T) {
	const (
		requests, rounds = 20, 10
		// The gateway gives a server up after 2.5 latency targets of 200 ms.
		standstill = 3 * time.Second
	)
	var arrivals atomic.Int64
	var release atomic.Pointer[chan struct{}]
	standin := &vrstandin.Server{ResponseBody: "done"}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		released := *release.Load()
		arrivals.Add(1)
		select {
		case <-released:
		case <-r.Context().Done():
		}
		standin.ServeHTTP(w, r)
	}))
	t.Cleanup(backend.Close)
	store := vrstandin.NewStore()
	store.Configure(3, vrstandin.Route{Name: "read", Type: "idempotent", Timeout: time.Minute})
	for i := range 2 {
		store.Register(fmt.Sprint("i-", i), strings.TrimPrefix(backend.URL, "http://"), "ready", 1)
	}
	// With one processor the runtime handles the timers that are due before it polls the network.
	gateway := startGateway(t, store, "GOMAXPROCS=1")

	for round := range rounds {
		released := make(chan struct{})
		release.Store(&released)
		arrivals.Store(0)
		var running sync.WaitGroup
		var answered atomic.Int64
		for i := range requests {
			running.Go(func() {
				if status, _, err := gateway.call(fmt.Sprint("r", round, "-", i), "/read/x"); err == nil && status == http.StatusOK {
					answered.Add(1)
				}
			})
		}
		for deadline := time.Now().Add(_waitTimeout); arrivals.Load() < requests && time.Now().Before(deadline); {
			<-time.After(time.Millisecond)
		}
		require.NoError(t, gateway.Process.Signal(syscall.SIGSTOP))
		<-time.After(_waitInterval)
		before := arrivals.Load()
		close(released)
		<-time.After(standstill)
		require.NoError(t, gateway.Process.Signal(syscall.SIGCONT))
		running.Wait()
		if before != requests {
			// On a busy machine requests may be sent once more before the gateway is stopped.
			continue
		}
		require.Equal(t, []int64{requests, requests}, []int64{answered.Load(), arrivals.Load()}, "answered requests, arrivals at servers")
		return
	}
	require.Fail(t, "the gateway was too slow to send each request once before the standstill")
}
