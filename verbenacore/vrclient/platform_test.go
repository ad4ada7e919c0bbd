package vrclient_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"verbenaroute.example/verbenacore/vrclient"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

// Guards against a client that doesn't match the HTTP interface of the platform.
func TestPlatformCalls(t *testing.T) {
	set := metrics.NewSet()
	client := newPlatformClient(t, serve(t, newFakePlatform().handle), vrclient.PlatformOptions{Metrics: set})
	ctx := t.Context()
	key := "leases/tw north?a"
	require.Equal(t, vrplatform.OutcomeNotFound, client.Read(ctx, key).Outcome)
	require.Equal(t, vrclient.WriteResult{Outcome: vrplatform.OutcomeOK, Version: 1}, client.Write(ctx, key, 0, []byte("a")))
	require.Equal(t, vrclient.WriteResult{Outcome: vrplatform.OutcomeConflict, Version: 1}, client.Write(ctx, key, 0, []byte("b")))
	require.Equal(t, vrclient.ReadResult{Outcome: vrplatform.OutcomeOK, Version: 1, Value: []byte("a")}, client.Read(ctx, key))
	items := []vrplatform.Item{{Key: "claims/1/1", Version: 7, Value: []byte("x")}}
	require.Equal(t, vrclient.ListResult{Outcome: vrplatform.OutcomeOK, Items: items}, client.List(ctx, "claims/1/", true))
	require.Equal(t, vrclient.WatchResult{Outcome: vrplatform.OutcomeOK, Revision: 7, Items: items}, client.Watch(ctx, "claims/1/", 6, time.Second))
	require.EqualValues(t, "vm-1", client.VMs(ctx).VMs[0].ID)
	large := client.Write(ctx, key, 1, make([]byte, vrplatform.MaxValueBytes+1))
	require.Equal(t, vrplatform.OutcomeUnavailable, large.Outcome)
	require.Error(t, large.Err)

	require.EqualValues(t, 2, client.Attempts(vrclient.CallWrite))
	var text bytes.Buffer
	set.WritePrometheus(&text)
	require.Contains(t, text.String(), `verbena_platform_calls_total{kind="write",outcome="conflict"} 1`)
}

// respondStatus returns a fault that responds with a status and does not handle the request.
func respondStatus(code int) func(*fasthttp.RequestCtx, bool) bool {
	return func(ctx *fasthttp.RequestCtx, applied bool) bool {
		if !applied {
			ctx.SetStatusCode(code)
		}
		return true
	}
}

// Guards against a write that is retried, and against a lost response or an outage that is
// taken as proof that the write had no effect.
func TestWriteOutcomes(t *testing.T) {
	loseResponse := func(ctx *fasthttp.RequestCtx, applied bool) bool {
		if applied {
			_ = ctx.Conn().Close()
		}
		return applied
	}
	dropVersion := func(ctx *fasthttp.RequestCtx, applied bool) bool {
		ctx.Response.Header.Del(vrplatform.HeaderVersion)
		return false
	}
	cases := []struct {
		name    string
		fault   func(*fasthttp.RequestCtx, bool) bool
		exists  bool
		outcome vrplatform.Outcome
	}{
		{"response lost after the write took effect", loseResponse, false, vrplatform.OutcomeUnknown},
		{"429", respondStatus(429), false, vrplatform.OutcomeUnavailable},
		{"503", respondStatus(503), false, vrplatform.OutcomeUnavailable},
		{"500", respondStatus(500), false, vrplatform.OutcomeUnknown},
		{"504", respondStatus(504), false, vrplatform.OutcomeUnknown},
		{"400", respondStatus(400), false, vrplatform.OutcomeUnavailable},
		{"success without a version", dropVersion, false, vrplatform.OutcomeUnknown},
		{"conflict without a version", dropVersion, true, vrplatform.OutcomeUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fake := newFakePlatform()
			if c.exists {
				fake.set("k", "other")
			}
			fake.fault = c.fault
			client := newPlatformClient(t, serve(t, fake.handle), vrclient.PlatformOptions{})
			result := client.Write(t.Context(), "k", 0, []byte("ours"))
			require.Equal(t, c.outcome, result.Outcome)
			require.Error(t, result.Err)
			require.Equal(t, 1, fake.requestCount())
		})
	}
	unreachable := newPlatformClient(t, refusedAddress(t), vrclient.PlatformOptions{})
	require.Equal(t, vrplatform.OutcomeUnavailable, unreachable.Write(t.Context(), "k", 0, nil).Outcome)
}

// Guards against a resolution that takes another writer's bytes, or a version that has not
// changed yet, for the result of our write.
func TestWriteResolved(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*fakePlatform)
		// onWrite runs in place of the write, whose connection is then closed.
		onWrite func(*fakePlatform)
		outcome vrplatform.Outcome
		version vrid.ObjectVersion
	}{
		{"our value was written", nil, func(p *fakePlatform) { p.set("k", "ours") }, vrplatform.OutcomeOK, 2},
		{"another value was written", nil, func(p *fakePlatform) { p.set("k", "theirs") }, vrplatform.OutcomeConflict, 2},
		{"nothing changed yet", nil, nil, vrplatform.OutcomeUnknown, 0},
		{"equal bytes were there before", func(p *fakePlatform) { p.set("k", "ours") }, nil, vrplatform.OutcomeUnknown, 0},
		{"deleted", nil, func(p *fakePlatform) { delete(p.versions, "k") }, vrplatform.OutcomeConflict, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fake := newFakePlatform()
			fake.set("k", "old")
			base := vrid.ObjectVersion(1)
			if c.prepare != nil {
				c.prepare(fake)
				base = 2
			}
			fake.fault = func(ctx *fasthttp.RequestCtx, applied bool) bool {
				if !ctx.IsPut() || applied {
					return false
				}
				if c.onWrite != nil {
					c.onWrite(fake)
				}
				_ = ctx.Conn().Close()
				return true
			}
			client := newPlatformClient(t, serve(t, fake.handle), vrclient.PlatformOptions{})
			result := client.WriteResolved(t.Context(), "k", base, []byte("ours"))
			require.Equal(t, c.outcome, result.Outcome)
			require.Equal(t, c.version, result.Version)
			require.True(t, result.Resolved)
		})
	}
}

// Guards against reads that give up at the first 429 or 503, and against reads that are
// retried without end.
func TestReadRetries(t *testing.T) {
	for _, code := range []int{429, 503} {
		fake := newFakePlatform()
		fake.set("k", "v")
		fake.fault = func(ctx *fasthttp.RequestCtx, applied bool) bool {
			return fake.requests < 3 && respondStatus(code)(ctx, applied)
		}
		client := newPlatformClient(t, serve(t, fake.handle), vrclient.PlatformOptions{MaxTries: 3})
		require.Equal(t, vrplatform.OutcomeOK, client.Read(t.Context(), "k").Outcome)
		fake.setFault(respondStatus(code))
		result := client.Read(t.Context(), "k")
		require.Equal(t, vrplatform.OutcomeUnavailable, result.Outcome)
		var attemptErr *vrclient.AttemptError
		require.True(t, errors.As(result.Err, &attemptErr))
		require.Equal(t, code, attemptErr.Status)
		require.Equal(t, 6, fake.requestCount())
	}
}

// neverRespond reads a request and never responds.
func neverRespond(conn net.Conn) {
	_, _ = conn.Read(make([]byte, 1<<16))
	_, _ = conn.Read(make([]byte, 1))
}

// Guards against calls without a timeout: a platform that stops responding would occupy
// every slot.
func TestPlatformTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newPlatformClient(t, "127.0.0.1:1", vrclient.PlatformOptions{Dial: pipeDial(neverRespond)})
		start := time.Now()
		require.Equal(t, vrplatform.OutcomeUnknown, client.Write(t.Context(), "k", 0, []byte("v")).Outcome)
		require.Equal(t, vrclient.DefaultPlatformTimeout, time.Since(start))
		require.Equal(t, vrplatform.OutcomeUnavailable, client.Read(t.Context(), "k").Outcome)
		require.Equal(t, vrplatform.OutcomeUnavailable, client.Watch(t.Context(), "k", 0, time.Minute).Outcome)
		require.Equal(t, 2*vrclient.DefaultPlatformTimeout+time.Minute+vrclient.DefaultPlatformTimeout, time.Since(start))
		waitForConnCleaner()
	})
}

// waitForConnCleaner lets fasthttp's connection cleaner end before the clock of the synctest
// bubble stops.
func waitForConnCleaner() {
	<-time.After(time.Minute)
	synctest.Wait()
}

// Guards against more calls in flight or per second than the platform allows, and against
// pending watches that leave no slot for the renewal of a lease.
func TestPlatformLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		open, maxOpen := 0, 0
		server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
			mu.Lock()
			open++
			maxOpen = max(maxOpen, open)
			mu.Unlock()
			<-time.After(100 * time.Millisecond)
			mu.Lock()
			open--
			mu.Unlock()
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}}
		client, err := vrclient.NewPlatform(vrclient.PlatformOptions{
			BaseURL: "http://127.0.0.1:1", Rate: 10, Concurrency: 4,
			Dial: pipeDial(func(conn net.Conn) { _ = server.ServeConn(conn) }),
		})
		require.NoError(t, err)
		start := time.Now()
		var calls sync.WaitGroup
		for range 34 {
			calls.Go(func() { client.Read(context.Background(), "k") })
		}
		calls.Wait()
		require.LessOrEqual(t, maxOpen, 4)
		require.GreaterOrEqual(t, time.Since(start), 3*time.Second)
		client.Close()
		waitForConnCleaner()
	})
	synctest.Test(t, func(t *testing.T) {
		client := newPlatformClient(t, "127.0.0.1:1", vrclient.PlatformOptions{Concurrency: 2, Dial: pipeDial(neverRespond)})
		ctx, cancel := context.WithCancel(t.Context())
		var watches sync.WaitGroup
		for range 3 {
			watches.Go(func() { client.Watch(ctx, "config/", 0, time.Hour) })
		}
		synctest.Wait()
		require.Equal(t, vrplatform.OutcomeUnknown, client.Write(ctx, "k", 0, nil).Outcome)
		cancel()
		watches.Wait()
		waitForConnCleaner()
	})
}
