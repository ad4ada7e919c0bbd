package vrnode_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"verbenaroute.example/platform/vrstandin"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrsettings"

	"verbenaroute.example/verbenaroute/internal/vrnode"
)

// freeAddress is an address that nobody listens on at this moment.
func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	return listener.Addr().String()
}

// From a client's request through the store's configuration and list of servers to a
// server's bytes; then a new route comes into force, the server leaves, and the daemon
// stops in order.
func TestWholePath(t *testing.T) {
	backend := &vrstandin.Server{Answer: "done"}
	backendServer := httptest.NewServer(backend)
	t.Cleanup(backendServer.Close)
	store := vrstandin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	store.Configure(3, vrstandin.Route{Name: "once", Type: "non_idempotent"})
	address := strings.TrimPrefix(backendServer.URL, "http://")
	store.Register("i-1", address, "ready", 1)
	store.Spoil("i-bad")

	settings := (&vrsettings.Gateway{
		Daemon: "edge-1", Zone: "z", Regions: map[vrid.ZoneID]vrid.RegionID{"z": "r"}, Callers: freeAddress(t),
		Readiness: freeAddress(t), Peers: freeAddress(t), Metrics: freeAddress(t),
		Store: strings.TrimPrefix(storeServer.URL, "http://"), Bounds: vrsettings.GatewayBounds{Grace: vrid.Duration(4 * time.Second)},
	}).WithDefaults()
	require.NoError(t, settings.Validate())
	node := vrnode.New(settings, zap.NewNop(), func() uint64 { return 0 })
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- node.Run(ctx) }()

	status := func(address, path string) int {
		answer, err := http.Get("http://" + address + path)
		if err != nil {
			return 0
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		return answer.StatusCode
	}
	call := func(id, path string) (int, string) {
		request, err := http.NewRequest(http.MethodPost, "http://"+settings.Callers+path, strings.NewReader("body"))
		require.NoError(t, err)
		request.Host = "h.example"
		vrstandin.Declare(request.Header, id, 2*time.Second)
		answer, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		data, err := io.ReadAll(answer.Body)
		require.NoError(t, err)
		_ = answer.Body.Close()
		return answer.StatusCode, string(data)
	}
	const patience, step = 5 * time.Second, 10 * time.Millisecond
	require.Eventually(t, func() bool { return status(settings.Readiness, "/readyz") == http.StatusOK }, patience, step)

	code, body := call("r1", "/once/x?y=1")
	require.Equal(t, http.StatusOK, code)
	require.Equal(t, "done", body)
	require.Equal(t, "POST /once/x?y=1 body i-1", backend.Seen("r1"))
	code, _ = call("r2", "/later/x")
	require.Equal(t, http.StatusNotFound, code)

	store.Configure(9, vrstandin.Route{Name: "once", Type: "non_idempotent"}, vrstandin.Route{Name: "later", Type: "idempotent"})
	require.Eventually(t, func() bool { code, _ := call("r3", "/later/x"); return code == http.StatusOK }, patience, step)

	store.Register("i-1", address, "draining", 2)
	require.Eventually(t, func() bool { code, _ := call("r4", "/once/x"); return code == http.StatusServiceUnavailable }, patience, step)
	require.Equal(t, http.StatusOK, status(settings.Metrics, "/metrics"))

	require.Contains(t, store.Writes(), "POST daemons/edge-1")
	stop()
	require.Eventually(t, func() bool { return status(settings.Readiness, "/readyz") != http.StatusOK }, patience, step)
	require.NoError(t, <-stopped)
}
