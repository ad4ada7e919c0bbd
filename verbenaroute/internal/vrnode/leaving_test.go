package vrnode_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"verbenaroute.example/platform/vrstandin"
)

// Guards against calls to a server that has stated in a response that it leaves, while its registration
// still says that it is ready: it got every other call until the registration changed.
func TestServerThatLeavesByItsResponseGetsNoFurtherCall(t *testing.T) {
	store := vrstandin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	store.Configure(3, vrstandin.Route{Name: "once", Type: "non_idempotent"})
	servers := []*vrstandin.Server{{ResponseBody: "0"}, {ResponseBody: "1"}}
	for i, server := range servers {
		listener := httptest.NewServer(server)
		t.Cleanup(listener.Close)
		store.Register(fmt.Sprint("i-", i), strings.TrimPrefix(listener.URL, "http://"), "ready", 1)
	}
	settings := newSettings(t, storeServer.URL, time.Second)
	core, logged := observer.New(zap.WarnLevel)
	startNode(t, settings, zap.New(core))
	const calls = 40
	served := make(map[string]int)
	call := func(id string) {
		request, err := http.NewRequest(http.MethodPost, "http://"+settings.Callers+"/once/x", http.NoBody)
		require.NoError(t, err)
		request.Host = "h.example"
		vrstandin.SetClientHeaders(request.Header, id, 2*time.Second)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		served[string(body)]++
	}
	servers[0].Leaving.Store(true)
	for i := range calls {
		call(fmt.Sprint("r", i))
	}
	require.Equal(t, map[string]int{"0": 1, "1": calls - 1}, served)
	lines := logged.FilterMessage("server leaving").All()
	require.Len(t, lines, 1)
	require.Equal(t, map[string]any{"server": "i-0", "cause": "response"}, lines[0].ContextMap())
	response, err := http.Get("http://" + settings.Metrics)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	metrics, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(metrics), `verbena_servers_leaving_total{cause="response"} 1`)
}

// Guards against calls to a server that has stated in a response that it leaves, if it had started again
// before and its registration, which says that it is ready, reaches the daemon only after the response.
func TestRestartedServerThatLeavesGetsNoFurtherCall(t *testing.T) {
	store := vrstandin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	store.Configure(3, vrstandin.Route{Name: "once", Type: "non_idempotent"})
	server := &vrstandin.Server{}
	server.Leaving.Store(true)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	address := strings.TrimPrefix(listener.URL, "http://")
	store.RegisterProcess("i-0", address, 1)
	settings := newSettings(t, storeServer.URL, time.Second)
	core, logged := observer.New(zap.InfoLevel)
	startNode(t, settings, zap.New(core))
	call := func(id string) (status int) {
		request, err := http.NewRequest(http.MethodPost, "http://"+settings.Callers+"/once/x", http.NoBody)
		require.NoError(t, err)
		request.Host = "h.example"
		vrstandin.SetClientHeaders(request.Header, id, 2*time.Second)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode
	}
	require.Equal(t, http.StatusOK, call("first"))
	store.RegisterProcess("i-0", address, 2)
	// The process that registers now answers that it leaves.
	require.Eventually(t, func() bool { return logged.FilterMessage("server leaving").Len() == 2 }, restoreTimeout, pollInterval)
	require.Equal(t, http.StatusServiceUnavailable, call("second"))
	require.Empty(t, server.ReceivedRequest("second"))

	server.Leaving.Store(false)
	store.RegisterProcess("i-0", address, 3)
	require.Eventually(t, func() bool { return logged.FilterMessage("server is not leaving").Len() == 1 }, restoreTimeout, pollInterval)
	require.Equal(t, http.StatusOK, call("third"))
}
