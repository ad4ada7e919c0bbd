package vrnode

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"verbenaroute.example/verbenacore/vrgateway"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrsettings"
)

// Guards against an allocator whose credit and refusals an operator can't see.
func TestMetricsShowQuotas(t *testing.T) {
	recorder := httptest.NewRecorder()
	writeQuotaCredits(recorder, []vrgateway.QuotaCredit{{Tenant: "t", Credit: 1500}, {Tenant: `odd"name`, Credit: 0.5}})
	require.Equal(t, "verbena_quota_credit{tenant=\"t\"} 1500\nverbena_quota_credit{tenant=\"odd\\\"name\"} 0.5\n", recorder.Body.String())

	settings := (&vrsettings.Gateway{Daemon: "d1", Zone: "z", Regions: map[vrid.ZoneID]vrid.RegionID{"z": "r"}}).WithDefaults()
	n := New(settings, zap.NewNop(), func() map[string]uint64 { return nil })
	defer n.cancel()
	n.metrics.serve(recorder, nil)
	for _, name := range []string{"share", "grants_total", "denials_total", "grants_expired_total", "refused_total"} {
		require.Contains(t, recorder.Body.String(), "verbena_quota_"+name+" 0\n")
	}
}
