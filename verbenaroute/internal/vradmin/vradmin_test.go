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

// get starts an Admin and returns a function that reads the status and body of a path.
func get(t *testing.T, options Options) func(path string) string {
	listener := fasthttputil.NewInmemoryListener()
	admin := New(options)
	served := make(chan error, 1)
	go func() { served <- admin.Serve(listener) }()
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) { return listener.Dial() },
	}}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		require.NoError(t, admin.Shutdown(context.Background()))
		require.NoError(t, <-served)
	})
	return func(path string) string {
		answer, err := client.Get("http://daemon" + path)
		require.NoError(t, err)
		defer answer.Body.Close()
		data, err := io.ReadAll(answer.Body)
		require.NoError(t, err)
		return fmt.Sprintf("%d %s", answer.StatusCode, data)
	}
}

// Guards against a balancer that sends requests to a daemon that is not ready, and
// against a reducer's word that hides a shutdown.
func TestReadiness(t *testing.T) {
	status := NewReadiness()
	read := get(t, Options{Readiness: status, Metrics: NewMetrics(status)})
	require.Equal(t, "503 starting\n", read("/readyz"))
	require.Equal(t, "200 ok\n", read("/healthz"))
	status.Set(true, "")
	require.Equal(t, "200 ready\n", read("/readyz"))
	status.Drain()
	status.Set(true, "")
	require.Equal(t, "503 shutting down\n", read("/readyz"))
}

// Guards against handlers that are not mounted and unknown paths that are answered.
func TestMount(t *testing.T) {
	status := NewReadiness()
	read := get(t, Options{Readiness: status, Metrics: NewMetrics(status), Mount: func(app *fiber.App) {
		app.Get("/v1/query", func(c fiber.Ctx) error { return c.SendString("rows") })
	}})
	require.Equal(t, "200 rows", read("/v1/query"))
	require.Contains(t, read("/v1/other"), "404 ")
}

// Guards against requests that are counted in the wrong rank or against the wrong side
// of the objective.
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
		metrics.Entry(entry, time.Second)
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
