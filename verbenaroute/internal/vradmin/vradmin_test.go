package vradmin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp/fasthttputil"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// startAdmin starts an Admin and returns a function that gets a path and returns the status
// and body of the response.
func startAdmin(t *testing.T, options Options) func(path string) string {
	listener := fasthttputil.NewInmemoryListener()
	admin := New(options)
	serveErr := make(chan error, 1)
	go func() { serveErr <- admin.Serve(listener) }()
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) { return listener.Dial() },
	}}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		require.NoError(t, admin.Shutdown(context.Background()))
		require.NoError(t, <-serveErr)
	})
	return func(path string) string {
		response, err := client.Get("http://daemon" + path)
		require.NoError(t, err)
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return fmt.Sprintf("%d %s", response.StatusCode, data)
	}
}

// Guards against a readiness check that succeeds before the daemon is ready, and against a
// readiness report of the reducer that hides a shutdown.
func TestReadiness(t *testing.T) {
	readiness := NewReadiness()
	get := startAdmin(t, Options{Readiness: readiness, Metrics: NewMetrics(readiness)})
	require.Equal(t, "503 starting\n", get("/readyz"))
	require.Equal(t, "200 ok\n", get("/healthz"))
	readiness.Set(true, "")
	require.Equal(t, "200 ready\n", get("/readyz"))
	readiness.Drain()
	readiness.Set(true, "")
	require.Equal(t, "503 shutting down\n", get("/readyz"))
}

// Guards against mounted handlers that are not reachable, and against unknown paths that
// don't return 404.
func TestMount(t *testing.T) {
	readiness := NewReadiness()
	get := startAdmin(t, Options{Readiness: readiness, Metrics: NewMetrics(readiness), Mount: func(app *fiber.App) {
		app.Get("/v1/query", func(c fiber.Ctx) error { return c.SendString("rows") })
	}})
	require.Equal(t, "200 rows", get("/v1/query"))
	require.Contains(t, get("/v1/other"), "404 ")
}

// Guards against requests that are counted in the wrong rank or as meeting or missing their
// objective when the opposite is true.
func TestEntryMetrics(t *testing.T) {
	metrics := NewMetrics(NewReadiness())
	ms := func(n int64) int64 { return n * time.Millisecond.Microseconds() }
	refused := func(reason vrwire.Reason) *vrrecord.Entry {
		return &vrrecord.Entry{Kind: vrrecord.EntryRefused, Rank: vrid.RankNormal, Reason: string(reason), Status: uint32(reason.Status())}
	}
	for _, entry := range []*vrrecord.Entry{
		{Kind: vrrecord.EntryAnswered, Rank: vrid.RankUrgent, FirstToken: ms(900), Total: ms(5000), Tokens: 12},
		{Kind: vrrecord.EntryAnswered, Rank: vrid.RankUrgent, FirstToken: ms(1100), Total: ms(1200), Tokens: 3},
		{Kind: vrrecord.EntryAnswered, Rank: vrid.RankNormal, Total: ms(20)},
		refused(vrwire.ReasonUnknownModel), refused(vrwire.ReasonQueueFull), refused(vrwire.ReasonNoReplica),
		refused(vrwire.ReasonCallerGone),
		{Kind: vrrecord.EntryLoad},
	} {
		metrics.CountEntry(entry, time.Second)
	}
	var out bytes.Buffer
	metrics.Write(&out)
	for _, line := range []string{
		`verbenaroute_requests_total{rank="urgent",result="answered"} 2`,
		`verbenaroute_objective_total{rank="urgent",met="true"} 1`,
		`verbenaroute_objective_total{rank="urgent",met="false"} 1`,
		`verbenaroute_tokens_total{rank="urgent"} 15`,
		`verbenaroute_requests_total{rank="normal",result="refused"} 4`,
		`verbenaroute_objective_total{rank="normal",met="true"} 1`,
		`verbenaroute_objective_total{rank="normal",met="false"} 2`,
		`verbenaroute_refusals_total{rank="normal",reason="queueFull"} 1`,
		`verbenaroute_record_entries_total 8`,
	} {
		require.Contains(t, out.String(), line+"\n")
	}
}
