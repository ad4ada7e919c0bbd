package vrnode_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"verbenaroute.example/platform/vrstandin"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrsettings"

	"verbenaroute.example/verbenaroute/internal/vrnode"
)

// lastPort is the port that freeAddress tried last. It begins at random, so that test processes rarely meet.
var lastPort atomic.Uint32

func init() { lastPort.Store(rand.Uint32N(16384)) }

// freeAddress returns a loopback address that no process listens on at this moment, another one with each call.
// Its port is below the range that Linux gives to outgoing connections and to listeners on port 0 (32768 and up):
// an address from that range was taken by another process before the gateway listened on it.
func freeAddress(t *testing.T) string {
	for range 100 {
		listener, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", 16384+lastPort.Add(1)%16384))
		if err != nil {
			continue
		}
		require.NoError(t, listener.Close())
		return listener.Addr().String()
	}
	require.Fail(t, "no free port")
	return ""
}

// newSettings returns the settings of a gateway that listens on free addresses.
func newSettings(t *testing.T, storeURL string, grace time.Duration) *vrsettings.Gateway {
	return (&vrsettings.Gateway{
		Daemon: "edge-1", Zone: "z", Regions: map[vrid.ZoneID]vrid.RegionID{"z": "r"}, Callers: freeAddress(t),
		Readiness: freeAddress(t), Peers: freeAddress(t), Metrics: freeAddress(t),
		Store: strings.TrimPrefix(storeURL, "http://"), Bounds: vrsettings.GatewayBounds{GracePeriod: vrid.Duration(grace)},
	}).WithDefaults()
}

// startNode runs a gateway until the end of the test, and returns once it is ready.
func startNode(t *testing.T, settings *vrsettings.Gateway, logger *zap.Logger) {
	node := vrnode.New(settings, logger, func() map[string]uint64 { return nil })
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- node.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-stopped)
	})
	require.Eventually(t, func() bool {
		if len(stopped) > 0 {
			return true
		}
		response, err := http.Get("http://" + settings.Readiness + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, 30*time.Second, 10*time.Millisecond)
	require.Empty(t, stopped, "the gateway stopped while it started")
}

// startNodeWithTwoServers runs a gateway with one route to two servers at one address, and returns the
// gateway's address for clients.
func startNodeWithTwoServers(t *testing.T, serverURL string, route vrstandin.Route, retryRatio float64) string {
	store := vrstandin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	store.Configure(3, route)
	for i := range 2 {
		store.Register(fmt.Sprint("i-", i), strings.TrimPrefix(serverURL, "http://"), "ready", 1)
	}
	settings := newSettings(t, storeServer.URL, time.Second)
	settings.Bounds.RetryRatio, settings.Bounds.RetrySlack = retryRatio, 100*retryRatio
	startNode(t, settings, zap.NewNop())
	return settings.Callers
}

// getBody gets a path, requires status 200 and returns the body of the response.
func getBody(t *testing.T, address, path string) string {
	response, err := http.Get("http://" + address + path)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	return string(data)
}

// Covers the path of a request end to end: the gateway reads the configuration and the list of
// servers from the store, forwards the request and returns the server's response. Then a new
// route comes into force, the server drains, and the daemon shuts down gracefully.
func TestEndToEnd(t *testing.T) {
	backend := &vrstandin.Server{ResponseBody: "done"}
	backendServer := httptest.NewServer(backend)
	t.Cleanup(backendServer.Close)
	store := vrstandin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	store.Configure(3, vrstandin.Route{Name: "once", Type: "non_idempotent"})
	address := strings.TrimPrefix(backendServer.URL, "http://")
	store.Register("i-1", address, "ready", 1)
	store.RegisterInvalid("i-bad")

	settings := newSettings(t, storeServer.URL, 4*time.Second)
	require.NoError(t, settings.Validate())
	core, logged := observer.New(zap.InfoLevel)
	node := vrnode.New(settings, zap.New(core), func() map[string]uint64 { return map[string]uint64{"send": 3} })
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- node.Run(ctx) }()

	status := func(address, path string) int {
		response, err := http.Get("http://" + address + path)
		if err != nil {
			return 0
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return response.StatusCode
	}
	call := func(id, path string) (int, string) {
		request, err := http.NewRequest(http.MethodPost, "http://"+settings.Callers+path, strings.NewReader("body"))
		require.NoError(t, err)
		request.Host = "h.example"
		vrstandin.SetClientHeaders(request.Header, id, 2*time.Second)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		data, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		_ = response.Body.Close()
		return response.StatusCode, string(data)
	}
	const timeout, interval = 5 * time.Second, 10 * time.Millisecond
	require.Eventually(t, func() bool { return status(settings.Readiness, "/readyz") == http.StatusOK }, timeout, interval)

	code, body := call("r1", "/once/x?y=1")
	require.Equal(t, http.StatusOK, code)
	require.Equal(t, "done", body)
	require.Equal(t, "POST /once/x?y=1 body i-1", backend.ReceivedRequest("r1"))
	code, _ = call("r2", "/later/x")
	require.Equal(t, http.StatusNotFound, code)

	store.Configure(9, vrstandin.Route{Name: "once", Type: "non_idempotent"}, vrstandin.Route{Name: "later", Type: "idempotent"})
	require.Eventually(t, func() bool { code, _ := call("r3", "/later/x"); return code == http.StatusOK }, timeout, interval)

	store.Register("i-1", address, "draining", 2)
	require.Eventually(t, func() bool { code, _ := call("r4", "/once/x"); return code == http.StatusServiceUnavailable }, timeout, interval)
	metrics := getBody(t, settings.Metrics, "/metrics")
	for _, line := range []string{
		`verbena_call_seconds_count{rank="0",service="app",outcome="answered",reason=""}`,
		`verbena_call_seconds_count{rank="-1",service="",outcome="refused",reason="unknownService"}`,
		`verbena_call_first_byte_seconds_count{rank="0",service="app"}`,
		`verbena_sends_ended_total{result="answered"}`,
		`verbena_log_lines_dropped_total{kind="send"} 3`,
		`verbena_store_call_seconds_count{kind="`,
		"verbena_body_bytes 0", "verbena_body_bytes_limit 67108864", "verbena_response_buffer_bytes 0",
		"verbena_response_buffer_bytes_limit 33554432", "verbena_requests_waiting_for_memory 0", "verbena_memory_waits_total 0",
		"verbena_requests_refused_for_memory_total 0", "verbena_responses_unbuffered_total 0", "verbena_streams_cut_for_memory_total 0",
	} {
		require.Contains(t, metrics, line)
	}

	require.Contains(t, store.Writes(), "POST daemons/edge-1")
	stop()
	require.Eventually(t, func() bool { return status(settings.Readiness, "/readyz") != http.StatusOK }, timeout, interval)
	require.NoError(t, <-stopped)
	// verbenactl trace interprets the first two.
	for _, message := range []string{"gateway starting", "gateway stopping", "gateway stopped"} {
		require.Equal(t, 1, logged.FilterMessage(message).Len(), message)
	}
}
