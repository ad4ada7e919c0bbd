package vrquota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrquota"
	"verbenaroute.example/verbenacore/vrwire"
)

// newAllocator returns an allocator to which two daemons have delegated their halves for two seconds.
func newAllocator() *vrquota.Allocator {
	a := vrquota.NewAllocator(modelEpoch, "a", siteBounds)
	a.SetCatalog(modelEpoch, newCatalog(smallTenant))
	for _, id := range []vrid.DaemonID{"d1", "d2"} {
		a.Handle(modelEpoch, id, "b", half(1))
	}
	return a
}

// half returns a request that delegates one half.
func half(number uint64) *vrwire.QuotaRequest {
	return &vrwire.QuotaRequest{Number: number, EchoBoot: "a", Term: 2000, Daemons: 2}
}

// credit returns the credit of the tenant after a time.
func credit(a *vrquota.Allocator, after time.Duration) float64 {
	sum := 0.0
	a.Credit(modelEpoch.Add(after), func(_ vrid.TenantID, level float64) bool { sum += level; return true })
	return sum
}

// Guards against a delegation that counts by the echo of another run of the allocator, whose clock began at
// another time, by an echo of the future, or after a newer request or its end.
func TestOnlyCurrentDelegationsCount(t *testing.T) {
	at := modelEpoch.Add(time.Second)
	for name, test := range map[string]struct {
		request *vrwire.QuotaRequest
		share   float64
	}{
		"renewal":       {&vrwire.QuotaRequest{Number: 2, EchoBoot: "a", Echo: 900, Term: 2000, Daemons: 2}, 1},
		"smaller part":  {&vrwire.QuotaRequest{Number: 2, EchoBoot: "a", Echo: 900, Term: 2000, Daemons: 4}, 0.75},
		"release":       {&vrwire.QuotaRequest{Number: 2}, 0.5},
		"former run":    {&vrwire.QuotaRequest{Number: 1, EchoBoot: "a0", Echo: 900, Term: 2000, Daemons: 1}, 1},
		"not newer":     {&vrwire.QuotaRequest{Number: 1}, 1},
		"of the future": {&vrwire.QuotaRequest{Number: 2, EchoBoot: "a", Echo: 5000, Term: 2000, Daemons: 1}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAllocator()
			a.Handle(at, "d1", "b", test.request)
			require.InDelta(t, test.share, a.Share(at), 1e-6)
		})
	}
	a := newAllocator()
	a.Handle(at, "d3", "b", &vrwire.QuotaRequest{Number: 1, EchoBoot: "a0", Echo: 900, Term: 2000, Daemons: 1})
	a.Handle(at, "d2", "b", &vrwire.QuotaRequest{Number: 2})
	require.InDelta(t, 0.5, a.Share(at), 1e-6, "the echo of the former run does not count")
}

// Guards against a release that is confirmed but has no effect, because a delayed request of the daemon's former
// run came between (found by TestNoWindowExceedsTheBound with seed 0x905), and against one that is undone by an
// earlier request.
func TestReleaseOutlivesDelayedRequests(t *testing.T) {
	a := newAllocator()
	at := modelEpoch.Add(time.Second)
	require.NotNil(t, a.Handle(at, "d1", "former", &vrwire.QuotaRequest{Number: 73}))
	require.NotNil(t, a.Handle(at, "d1", "b", &vrwire.QuotaRequest{Number: 5}))
	require.InDelta(t, 0.5, a.Share(at), 1e-6)
	require.NotNil(t, a.Handle(at, "d1", "former", &vrwire.QuotaRequest{Number: 74}))
	require.Nil(t, a.Handle(at, "d1", "b", half(4)))
	require.InDelta(t, 0.5, a.Share(at), 1e-6)
}

// Guards against credit that stays when the part is gone in which it accrued, and against credit that accrues
// from a part after its end.
func TestCreditEndsWithItsPart(t *testing.T) {
	a := newAllocator()
	limit := vrquota.NewLimit(smallTenant, siteBounds)
	require.InDelta(t, limit.Rate, credit(a, time.Second), 1)
	a.Handle(modelEpoch.Add(1900*time.Millisecond), "d2", "b", &vrwire.QuotaRequest{Number: 2})
	require.InDelta(t, limit.Depth/2, credit(a, 1900*time.Millisecond), 1)
	require.Zero(t, credit(a, time.Hour))
	require.Zero(t, a.Share(modelEpoch.Add(time.Hour)))
}

// Guards against denials that a daemon takes for a reached limit while the allocator has too few parts or has
// had them only for a moment.
func TestVerdictNeedsTheParts(t *testing.T) {
	need := vrwire.QuotaNeed{Tenant: tenant, Amount: 2000, Urgent: 2000, Least: 2000}
	ask := func(a *vrquota.Allocator, after time.Duration, number uint64) vrwire.QuotaGrant {
		request := half(number)
		request.Needs = []vrwire.QuotaNeed{need}
		return a.Handle(modelEpoch.Add(after), "d1", "b", request).Grants[0]
	}
	a := newAllocator()
	require.Equal(t, vrwire.QuotaGrant{Tenant: tenant}, ask(a, 100*time.Millisecond, 2), "no verdict yet")
	require.EqualValues(t, 2000, ask(a, time.Second, 3).Granted)
	require.EqualValues(t, 2000, ask(a, time.Second, 4).Granted)
	denied := ask(a, time.Second, 5)
	require.Zero(t, denied.Granted)
	// 410 tokens are left of the 4,410 of the first second, and 1,590 accrue in 361 ms.
	require.InDelta(t, 361, denied.RetryAfter, 3)
	a.Handle(modelEpoch.Add(time.Second), "d2", "b", &vrwire.QuotaRequest{Number: 2})
	require.Equal(t, vrwire.QuotaGrant{Tenant: tenant}, ask(a, time.Second, 6), "half of the parts are gone")
}
