package vrquota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrquota"
	"verbenaroute.example/verbenacore/vrwire"
)

// asker is the daemon d1, whose allocator is d2.
type asker struct {
	t      *testing.T
	daemon *vrquota.Daemon
}

func newAsker(t *testing.T) *asker {
	quota := smallTenant
	quota.Rate, quota.Burst = 60_000, 120_000
	d := vrquota.NewDaemon(modelEpoch, "d1", "b1", siteBounds)
	d.SetCatalog(newCatalog(quota))
	d.SetDaemons(modelEpoch, []vrid.DaemonID{"d1", "d2", "d3"})
	return &asker{t: t, daemon: d}
}

func after(milliseconds int) time.Time {
	return modelEpoch.Add(time.Duration(milliseconds) * time.Millisecond)
}

// ask requires a request to d2 for the costs of waiting calls, and returns its number.
func (a *asker) ask(milliseconds int, costs ...int64) uint64 {
	messages := a.daemon.Poll(after(milliseconds), "d2", func(yield func(vrid.TenantID, int64) bool) {
		for _, cost := range costs {
			if !yield(tenant, cost) {
				return
			}
		}
	})
	require.Len(a.t, messages, 1)
	require.EqualValues(a.t, "d2", messages[0].To)
	return messages[0].Request.Number
}

func (a *asker) reply(milliseconds int, number uint64, grant vrwire.QuotaGrant) {
	grant.Tenant = tenant
	a.daemon.HandleReply(after(milliseconds), "d2", "b2", &vrwire.QuotaReply{
		To: "b1", Number: number, Time: int64(milliseconds), Grants: []vrwire.QuotaGrant{grant},
	})
}

// Guards against another allocator, which has no parts, being asked because the answers are a little late: the
// answer of one request hid since when the next one was under way.
func TestLateAnswersDoNotChangeTheAllocator(t *testing.T) {
	a := newAsker(t)
	first := a.ask(0, 1000)
	a.ask(150, 1000)
	a.reply(200, first, vrwire.QuotaGrant{})
	a.ask(310, 1000)
}

// Guards against a call that is refused because the late answer of an earlier request denied a dearer one.
func TestLateDenialCountsForItsRequest(t *testing.T) {
	a := newAsker(t)
	first := a.ask(0, 2000)
	a.ask(150, 100)
	a.reply(160, first, vrwire.QuotaGrant{RetryAfter: 500})
	require.Zero(t, a.daemon.Check(after(161), tenant, 100))
	require.Equal(t, 499*time.Millisecond, a.daemon.Check(after(161), tenant, 2000))
}

// Guards against waiting calls that ask late because the tenant had too little credit for a request in advance.
func TestDenialInAdvanceDelaysNoCall(t *testing.T) {
	a := newAsker(t)
	for i := range 20 {
		a.daemon.Take(after(i), tenant, 1000, true)
	}
	a.reply(25, a.ask(20, 1000), vrwire.QuotaGrant{Granted: 1000})
	verdict, _, _ := a.daemon.Take(after(25), tenant, 1000, true)
	require.Equal(t, vrquota.Charged, verdict)
	require.True(t, a.daemon.AsksAhead())
	a.reply(30, a.ask(25), vrwire.QuotaGrant{})
	a.ask(31, 1000)
}

// Guards against credit that is lost with the parts when an allocator stalls for a moment: the question whether it
// answers again must not end the delegations.
func TestCreditOutlivesAShortStall(t *testing.T) {
	m := newFilledModel(t)
	owner := m.hosts[0]
	m.freeze(owner, 700*time.Millisecond)
	for range 150 {
		m.step()
		m.arrive(m.hosts[1+m.random.IntN(4)], 100)
		if owner.runsAt(m.now) {
			require.InDelta(t, 1, owner.allocator.Share(m.clock(owner)), 1e-6)
		}
	}
}
