package vrgateway

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

// newJudge returns a state whose catalog has one tenant for each number, and a call of the last one.
func newJudge(tb testing.TB, tenants int) (*State, *call, time.Time) {
	now := time.Unix(1_790_000_000, 0)
	catalog := &vrcatalog.Catalog{
		Version: 1, Services: []vrcatalog.Service{{ID: "app"}},
		Routes: []vrcatalog.Route{{ID: "r", Host: "h", Prefix: "/", Kind: vrcatalog.RouteIdempotent, Services: []vrcatalog.Split{{Service: "app", Weight: 1}}}},
	}
	c := &call{Call: vrevent.Call{HasKey: true}, route: &catalog.Routes[0]}
	for i := range tenants {
		c.Key = sha256.Sum256(fmt.Append(nil, i))
		catalog.Tenants = append(catalog.Tenants, vrcatalog.Tenant{ID: vrid.TenantID(fmt.Sprint(i)), Keys: []vrid.KeyDigest{c.Key}})
	}
	require.NoError(tb, catalog.Build())
	s := New(Options{Daemon: "d", Bounds: Bounds{Revocation: 5 * time.Second, CatalogApply: 4 * time.Second}})
	s.Reduce(now, vrevent.CatalogSeen{Catalog: catalog}, &vrevent.Effects{})
	s.Reduce(now, vrevent.CatalogChecked{At: now}, &vrevent.Effects{})
	return s, c, now
}

// Guards against a judgement that allocates, which every send of every call would pay for.
func TestJudgementAllocatesNothing(t *testing.T) {
	s, c, now := newJudge(t, 10_000)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		var send vrevent.SendCall
		if s.judgeKey(now, c) == keyAccepted {
			s.setTenant(c, &send)
		}
	}))
	require.EqualValues(t, "9999", c.tenant.ID)
}

func BenchmarkJudgement(b *testing.B) {
	for _, tenants := range []int{16, 10_000} {
		b.Run(fmt.Sprint(tenants, " tenants"), func(b *testing.B) {
			s, c, now := newJudge(b, tenants)
			b.ReportAllocs()
			for b.Loop() {
				var send vrevent.SendCall
				if s.judgeKey(now, c) == keyAccepted {
					s.setTenant(c, &send)
				}
			}
		})
	}
}
