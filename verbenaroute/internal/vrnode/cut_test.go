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
	"go.uber.org/zap/zaptest/observer"

	"verbenaroute.example/platform/vrstandin"

	"verbenaroute.example/verbenaroute/internal/vrnode"
)

// Guards against a cut request that is missing from the log or the metrics, and against a line that
// does not say whether the daemon was stopping, or had reloaded its settings or adopted a catalog:
// planned work must lose no requests.
func TestCutRequestIsLoggedWithPlannedWork(t *testing.T) {
	arrived := make(chan struct{}, 2)
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		arrived <- struct{}{}
		<-r.Context().Done()
	}))
	t.Cleanup(backend.Close)
	store := vrstandin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	store.Configure(3, vrstandin.Route{Name: "once", Type: "non_idempotent"})
	store.Register("i-1", strings.TrimPrefix(backend.URL, "http://"), "ready", 1)
	settings := newSettings(t, storeServer.URL, 4*time.Second)
	core, logged := observer.New(zap.InfoLevel)
	node := vrnode.New(settings, zap.New(core), func() map[string]uint64 { return nil })
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- node.Run(ctx) }()
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + settings.Readiness + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, 5*time.Second, 10*time.Millisecond)

	// leave sends a request, and disconnects once the server has it and then has returned.
	leave := func(id string, then func()) map[string]any {
		c, err := net.Dial("tcp", settings.Callers)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: "+id+"\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n")
		require.NoError(t, err)
		<-arrived
		then()
		require.NoError(t, c.Close())
		lines := logged.FilterMessage("request cut").FilterField(zap.String("request", id))
		require.Eventually(t, func() bool {
			lines = logged.FilterMessage("request cut").FilterField(zap.String("request", id))
			return lines.Len() > 0
		}, 2*time.Second, time.Millisecond)
		require.Equal(t, 1, lines.Len())
		require.Equal(t, zap.InfoLevel, lines.All()[0].Level)
		return lines.All()[0].ContextMap()
	}
	first := leave("r1", func() {})
	require.Equal(t, "clientGone", first["cause"])
	require.Equal(t, "i-1", first["server"])
	require.Equal(t, "1", first["sends"])
	require.Equal(t, "0", first["servedBefore"])
	require.Equal(t, "0", first["responseBytes"])
	require.Equal(t, "3", first["version"])
	require.Contains(t, first, "catalogMs")
	require.NotContains(t, first, "reloadedMs")
	require.NotContains(t, first, "stoppingMs")
	second := leave("r2", func() {
		node.Reload(settings)
		stop()
		require.Eventually(t, func() bool { return logged.FilterMessage("gateway stopping").Len() > 0 }, time.Second, time.Millisecond)
	})
	require.Contains(t, second, "reloadedMs")
	require.Contains(t, second, "stoppingMs")
	require.Contains(t, getBody(t, settings.Metrics, "/metrics"), `verbena_requests_cut_total{cause="clientGone"} 2`)
	require.NoError(t, <-stopped)
}

// Guards against a daemon that exits at the end of its grace period and takes the last lines with
// it: a request whose body is still on its way has no final answer, and its connection is closed.
func TestRequestOpenAtTheEndOfGraceIsLogged(t *testing.T) {
	store := vrstandin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	store.Configure(3, vrstandin.Route{Name: "once", Type: "non_idempotent"})
	settings := newSettings(t, storeServer.URL, 3*time.Second)
	core, logged := observer.New(zap.InfoLevel)
	node := vrnode.New(settings, zap.New(core), func() map[string]uint64 { return nil })
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- node.Run(ctx) }()
	var c net.Conn
	require.Eventually(t, func() bool {
		var err error
		c, err = net.Dial("tcp", settings.Callers)
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
	defer func() { _ = c.Close() }()
	_, err := io.WriteString(c, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nDeadline-Ms: 30000\r\nContent-Length: 10\r\n\r\nabc")
	require.NoError(t, err)
	stop()
	require.NoError(t, <-stopped)
	lines := func() *observer.ObservedLogs { return logged.FilterMessage("request cut") }
	require.Eventually(t, func() bool { return lines().Len() > 0 }, time.Second, time.Millisecond)
	require.Equal(t, 1, lines().Len())
	fields := lines().All()[0].ContextMap()
	require.Equal(t, "r1", fields["request"])
	require.Equal(t, "bodyUnread", fields["cause"])
	require.Contains(t, fields["detail"], "closed network connection")
	require.Contains(t, fields, "stoppingMs")
}
