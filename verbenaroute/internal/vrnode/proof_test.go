package vrnode

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

// Guards against a daemon that follows the store by itself and refuses keys between two responses, also if each
// third watch gets no answer. Keys are accepted for 500 ms less than the limit of their revocation.
func TestWatchesProveKeysInTime(t *testing.T) {
	for _, revocation := range []time.Duration{2 * time.Second, 5 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			const (
				duration  = 2 * time.Minute
				roundTrip = 50 * time.Millisecond
			)
			f, stop := newTestFollower()
			var provedAt time.Time
			var oldest time.Duration
			prove := func(sentAt time.Time) {
				if !provedAt.IsZero() {
					oldest = max(oldest, time.Since(provedAt))
				}
				provedAt = sentAt
			}
			watches := 0
			f.watchWait = func() time.Duration { return proofWait(revocation) }
			f.list = func(context.Context) (vrid.ObjectVersion, error) {
				sentAt := time.Now()
				time.Sleep(roundTrip)
				prove(sentAt)
				return 90, nil
			}
			f.watch = func(ctx context.Context, after vrid.ObjectVersion, wait time.Duration) (vrid.ObjectVersion, bool, error) {
				sentAt := time.Now()
				if watches++; watches%3 == 0 {
					<-ctx.Done()
					return 0, false, errors.New("no answer")
				}
				time.Sleep(wait + roundTrip)
				prove(sentAt)
				return after, false, nil
			}
			time.AfterFunc(duration, stop)
			f.run()
			require.Less(t, oldest, revocation-500*time.Millisecond)
			require.LessOrEqual(t, 2*(proofWait(revocation)+roundTrip), 2*time.Second, "others are asked for a proof after two seconds")
		})
	}
}

// Guards against metrics that grow with every tenant.
func TestMetricsOfTenantsAreLimited(t *testing.T) {
	f, stop := newTestFollower()
	defer stop()
	m := f.node.metrics
	for range 2 {
		for i := range 100 {
			m.callEnded(&vrevent.CallEnded{Tenant: vrid.TenantID(fmt.Sprintf("t%02d", i)), Outcome: "answered"})
		}
	}
	var written bytes.Buffer
	m.set.WritePrometheus(&written)
	require.Equal(t, maxTenantMetrics+1, strings.Count(written.String(), "verbena_tenant_calls_total{"))
	require.Contains(t, written.String(), `verbena_tenant_calls_total{tenant="t31",outcome="answered",reason=""} 2`)
	require.Contains(t, written.String(), `verbena_tenant_calls_total{tenant="other",outcome="answered",reason=""} 136`)
}
