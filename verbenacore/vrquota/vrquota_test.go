package vrquota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrquota"
	"verbenaroute.example/verbenacore/vrwire"
)

// modelSeed is the seed of the tests with one schedule.
const modelSeed = 20261206

// smallTenant is a quota like that of the smallest tenant of the deployment.
var smallTenant = vrcatalog.Quota{Unit: vrcatalog.UnitTokens, DefaultCost: 200, Rate: 4200, Burst: 8400}

// newFilledModel returns a network of five daemons whose parts are delegated and whose buckets are full.
func newFilledModel(t *testing.T) *model {
	t.Logf("seed %d", modelSeed)
	m := newModel(modelSeed, 5, smallTenant, siteBounds)
	m.steps(8 * time.Second)
	return m
}

func (m *model) steps(duration time.Duration) {
	for until := m.now.Add(duration); m.now.Before(until); {
		m.step()
	}
}

// flood brings calls of 1,000 tokens to each of the hosts in each step for a time, and returns what was run.
func (m *model) flood(duration time.Duration, hosts ...*host) int64 {
	first := len(m.runs)
	for until := m.now.Add(duration); m.now.Before(until); {
		m.step()
		for _, h := range hosts {
			m.arrive(h, 1000)
		}
	}
	sum := int64(0)
	for _, r := range m.runs[first:] {
		sum += r.cost
	}
	return sum
}

// Guards against a limit beyond the bounds, and against one that is lower than they require.
func TestLimitFollowsFromTheBounds(t *testing.T) {
	for name, test := range map[string]struct {
		quota  vrcatalog.Quota
		bounds vrquota.Bounds
	}{
		"small tenant":      {smallTenant, siteBounds},
		"large tenant":      {vrcatalog.Quota{Unit: vrcatalog.UnitTokens, Rate: 330_000, Burst: 660_000, DefaultCost: 200}, siteBounds},
		"no burst":          {vrcatalog.Quota{Unit: vrcatalog.UnitTokens, Rate: 4200, DefaultCost: 200}, siteBounds},
		"no room":           {smallTenant, vrquota.Bounds{Window: 8 * time.Second}},
		"no room, no burst": {vrcatalog.Quota{Rate: 5}, vrquota.Bounds{Window: 8 * time.Second}},
		"requests":          {vrcatalog.Quota{Rate: 0.5, Burst: 3}, siteBounds},
	} {
		t.Run(name, func(t *testing.T) {
			limit := vrquota.NewLimit(test.quota, test.bounds)
			window := test.bounds.Window.Seconds() + 2*limit.Life.Seconds()
			require.LessOrEqual(t, limit.Rate*window+limit.Depth, allowed(test.quota, test.bounds)*(1+1e-9))
			require.Positive(t, limit.Depth)
			require.GreaterOrEqual(t, limit.Life, 100*time.Millisecond)
			if test.bounds.Overrun > 0 {
				require.GreaterOrEqual(t, limit.Rate, test.quota.Rate)
			}
			require.Greater(t, limit.Rate, 0.75*test.quota.Rate)
		})
	}
	require.Zero(t, vrquota.NewLimit(vrcatalog.Quota{Burst: 5}, siteBounds))
}

// Guards against credit of a killed allocator that its successor grants again, and against a service that does
// not return.
func TestAllocatorIsKilled(t *testing.T) {
	m := newFilledModel(t)
	m.kill(m.hosts[0], time.Hour)
	m.owner = ""
	// The parts become free in the first 2.4 s, and the successor's buckets begin empty.
	require.Less(t, m.flood(3*time.Second, m.hosts[1:]...), int64(2.6*4200))
	m.denied, m.unanswered = 0, 0
	require.InEpsilon(t, 10*4200*1.05*4/5, m.flood(10*time.Second, m.hosts[1:]...), 0.05, "one of five parts is idle")
	require.Positive(t, m.denied)
}

// Guards against an allocator that goes on granting from parts which have been delegated elsewhere while it
// was suspended.
func TestFrozenAllocatorWakes(t *testing.T) {
	m := newFilledModel(t)
	frozen := m.hosts[0]
	m.freeze(frozen, 4*time.Second)
	m.flood(3900*time.Millisecond, m.hosts[1:]...)
	// From now on the frozen allocator only hears its own daemon.
	frozen.group = 1
	require.Zero(t, frozen.allocator.Share(m.clock(frozen).Add(200*time.Millisecond)))
	require.Less(t, m.flood(time.Second, frozen), int64(1000), "one part in five has to accrue first")
}

// Guards against a daemon that spends after a suspension what it was granted before.
func TestFrozenDaemonWakes(t *testing.T) {
	m := newFilledModel(t)
	h := m.hosts[1]
	m.arrive(h, 1000)
	require.Empty(t, m.runs, "the answer is under way")
	m.freeze(h, 2*time.Second)
	m.steps(2100 * time.Millisecond)
	require.Empty(t, m.runs, "the credit has expired before the answer was read")
	require.EqualValues(t, 1, h.daemon.Counts().Expired)
}

// Guards against credit that is spent late because its answer was under way for long.
func TestLateGrantIsNotSpent(t *testing.T) {
	m := newFilledModel(t)
	m.delay = func() time.Duration { return 160 * time.Millisecond }
	m.arrive(m.hosts[1], 1000)
	m.steps(time.Second)
	require.Empty(t, m.runs)
}

// Guards against a grant that is lost for good with the daemon that had it, and against a former delegation
// that counts beside the new one.
func TestDaemonIsKilledWithCredit(t *testing.T) {
	m := newFilledModel(t)
	h := m.hosts[1]
	m.arrive(h, 1000)
	m.kill(h, 50*time.Millisecond)
	m.steps(2600 * time.Millisecond)
	owner := m.hosts[0].allocator
	require.InDelta(t, 0.8, owner.Share(m.clock(m.hosts[0])), 1e-6, "the part of the killed run has ended")
	m.steps(4 * time.Second)
	require.InDelta(t, 1, owner.Share(m.clock(m.hosts[0])), 1e-6)
	m.arrive(h, 1000)
	m.steps(100 * time.Millisecond)
	require.Len(t, m.runs, 1)
}

// Guards against a lowered limit that binds late, and against a raised one that needs a restart.
func TestLimitChanges(t *testing.T) {
	m := newFilledModel(t)
	m.flood(8*time.Second, m.hosts...)
	low, high := smallTenant, smallTenant
	low.Rate, low.Burst = 2100, 2100
	high.Rate = 8400
	m.setQuota(low)
	m.steps(time.Second)
	require.LessOrEqual(t, m.flood(8*time.Second, m.hosts...), int64(8*2100*1.05+2100*1.05))
	m.setQuota(high)
	require.InEpsilon(t, 8*8400*1.05, m.flood(8*time.Second, m.hosts...), 0.05)
	m.setQuota(vrcatalog.Quota{})
	m.denied = 0
	m.arrive(m.hosts[3], 1_000_000)
	require.Zero(t, m.denied)
}

// Guards against a planned change of the allocator that leaves the parts idle until their delegations end.
func TestAllocatorChangesWhileItAnswers(t *testing.T) {
	m := newFilledModel(t)
	m.owner = m.hosts[2].id
	m.steps(300 * time.Millisecond)
	require.InDelta(t, 1, m.hosts[2].allocator.Share(m.clock(m.hosts[2])), 1e-6)
}

// Guards against a daemon that stays apart from the others after it was cut off while the owner was down: its part
// was lost to the others, and its calls had only its own.
func TestIsolatedDaemonReturns(t *testing.T) {
	for i := 1; i < 5; i++ {
		m := newFilledModel(t)
		m.kill(m.hosts[0], time.Hour)
		m.steps(5 * time.Second)
		isolated := m.hosts[i]
		isolated.group = 1
		m.flood(5*time.Second, isolated)
		isolated.group = 0
		m.steps(10 * time.Second)
		most := 0.0
		for _, h := range m.hosts[1:] {
			most = max(most, h.allocator.Share(m.clock(h)))
		}
		require.InDelta(t, 0.8, most, 1e-6)
	}
}

// Guards against credit that is returned after its life, when it may have been accrued anew.
func TestReturnedCreditKeepsItsEnd(t *testing.T) {
	m := newFilledModel(t)
	h := m.hosts[0]
	at := m.clock(h)
	grant := func() vrquota.Charge {
		m.arrive(h, 1000)
		verdict, charge, _ := h.daemon.Take(m.clock(h), tenant, 1, false)
		require.Equal(t, vrquota.Unknown, verdict, "the grant is exact")
		return charge
	}
	grant()
	require.Len(t, m.runs, 1)
	limit := h.daemon.Limit(tenant)
	charge := vrquota.Charge{Amount: 1000, Until: at.Add(limit.Life)}
	h.daemon.Return(at.Add(limit.Life), tenant, charge)
	require.False(t, h.daemon.Decides(at.Add(limit.Life), tenant, 1000))
	h.daemon.Return(at.Add(limit.Life/2), tenant, charge)
	require.True(t, h.daemon.Decides(at.Add(limit.Life/2), tenant, 1000))
	require.False(t, h.daemon.Decides(at.Add(limit.Life), tenant, 1000))
}

// Guards against requests for each call of a tenant that is beyond its limit or has regular demand: at 65
// daemons, the allocator has little time for each.
func TestMessagesAreFew(t *testing.T) {
	for name, test := range map[string]struct {
		rate float64
		// most is the largest number of requests to the allocator for each call.
		most float64
	}{
		"beyond the limit": {4200, 0.2},
		"regular demand":   {1_000_000, 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			quota := smallTenant
			quota.Rate, quota.Burst = test.rate, 2*test.rate
			t.Logf("seed %d", modelSeed)
			m := newModel(modelSeed, 5, quota, siteBounds)
			m.steps(8 * time.Second)
			requests := 0
			usual := m.delay
			m.delay = func() time.Duration { requests++; return usual() }
			m.flood(10*time.Second, m.hosts[1:]...)
			calls := 4 * 10 * time.Second / modelStep
			// Half of the messages are replies.
			require.Less(t, float64(requests)/2, test.most*float64(calls))
		})
	}
}

// benchmarkTenants returns a daemon that has credit of each of its tenants.
func benchmarkTenants(b *testing.B, count int) (*vrquota.Daemon, []vrid.TenantID) {
	quotas := make([]vrcatalog.Quota, count)
	for i := range quotas {
		quotas[i] = vrcatalog.Quota{Unit: vrcatalog.UnitTokens, DefaultCost: 200, Rate: 1e12, Burst: 1e12}
	}
	catalog := newCatalog(quotas...)
	ids := make([]vrid.TenantID, count)
	d := vrquota.NewDaemon(modelEpoch, "d", "b", siteBounds)
	d.SetCatalog(catalog)
	// The answer names the run and the first request.
	for i := range catalog.Tenants {
		ids[i] = catalog.Tenants[i].ID
		messages := d.Poll(modelEpoch, "other", func(yield func(vrid.TenantID, int64) bool) { yield(ids[i], 1) })
		require.Len(b, messages, 1)
		d.HandleReply(modelEpoch, "other", "o", &vrwire.QuotaReply{
			To: "b", Number: messages[0].Request.Number, Time: 1, Grants: []vrwire.QuotaGrant{{Tenant: ids[i], Granted: 1 << 39}},
		})
	}
	return d, ids
}

// BenchmarkCharge measures the decision about a call's quota: the check on its arrival and the charge.
func BenchmarkCharge(b *testing.B) {
	for name, count := range map[string]int{"16 tenants": 16, "10000 tenants": 10_000} {
		b.Run(name, func(b *testing.B) {
			d, ids := benchmarkTenants(b, count)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				id := ids[i%len(ids)]
				i++
				now := modelEpoch.Add(time.Duration(i) % (100 * time.Millisecond))
				if d.Check(now, id, 1) > 0 {
					b.Fatal("the tenant is denied")
				}
				if verdict, _, _ := d.Take(now, id, 1, true); verdict != vrquota.Charged {
					b.Fatal("the tenant has no credit")
				}
			}
		})
	}
}

// BenchmarkGrant measures an allocator's work for a request with one need.
func BenchmarkGrant(b *testing.B) {
	a := vrquota.NewAllocator(modelEpoch, "a", siteBounds)
	a.SetCatalog(modelEpoch, newCatalog(vrcatalog.Quota{Rate: 1e12, Burst: 1e12}))
	request := &vrwire.QuotaRequest{
		Number: 1, EchoBoot: "a", Term: vrwire.MaxQuotaTerm, Daemons: 1, Registered: 1,
		Needs: []vrwire.QuotaNeed{{Tenant: tenant, Amount: 1, Urgent: 1, Least: 1}},
	}
	b.ReportAllocs()
	for b.Loop() {
		request.Number++
		a.Handle(modelEpoch.Add(time.Second), "d", "b", request)
	}
}
