package vrgateway_test

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrgateway"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrquota"
	"verbenaroute.example/verbenacore/vrretry"
	"verbenaroute.example/verbenacore/vrwire"
)

// limited is a quota with credit for two calls of 1,000 tokens, which accrues in two seconds.
var limited = vrcatalog.Quota{Unit: vrcatalog.UnitTokens, DefaultCost: 200, Rate: 1000, Burst: 2000}

// quotaSlack and the other bounds leave no room beyond the quota but for the lives of two grants.
const quotaSlack = 1000

func quotaKey(id vrid.TenantID) vrid.KeyDigest { return sha256.Sum256([]byte(id)) }

func newQuotaCatalog(version vrid.ConfigVersion, quotas map[vrid.TenantID]vrcatalog.Quota) *vrcatalog.Catalog {
	catalog := newCatalog(version)
	for id, quota := range quotas {
		catalog.Tenants = append(catalog.Tenants, vrcatalog.Tenant{ID: id, Keys: []vrid.KeyDigest{quotaKey(id)}, Quota: quota})
	}
	if err := catalog.Build(); err != nil {
		panic(err)
	}
	return catalog
}

// newQuotaDaemon returns the daemon d1 among the given ones, which has run for long enough to delegate its part.
// answer answers its effects.
func newQuotaDaemon(t *testing.T, peers []vrid.DaemonID, quotas map[vrid.TenantID]vrcatalog.Quota, answer func(vrevent.Effect) vrevent.Event) *daemon {
	d := startQuotaDaemon(t, peers, quotas)
	d.runFor(6*time.Second, answer)
	return d
}

// startQuotaDaemon returns the daemon d1 when it has just started.
func startQuotaDaemon(t *testing.T, peers []vrid.DaemonID, quotas map[vrid.TenantID]vrcatalog.Quota) *daemon {
	d := newDaemon(t)
	d.state = vrgateway.New(vrgateway.Options{
		Daemon: "d1", Boot: "b1", Address: "10.0.0.1:1", Zone: "z", Regions: map[vrid.ZoneID]vrid.RegionID{"z": "r"},
		Bounds: vrgateway.Bounds{
			Lease: 3 * time.Second, Retries: vrretry.Options{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
			QuotaWindow: 8 * time.Second, QuotaSlack: quotaSlack,
		},
	})
	d.reduce(vrevent.CatalogSeen{Catalog: newQuotaCatalog(1, quotas)})
	d.reduce(vrevent.FleetListed{Entries: threeAppServers()})
	var listed []vrevent.Peer
	for _, id := range peers {
		listed = append(listed, vrevent.Peer{Daemon: id, Address: string(id)})
	}
	d.reduce(vrevent.PeersListed{Peers: listed})
	if len(peers) > 1 {
		d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: peers[1], Boot: "b", Notices: &vrwire.Notices{Epoch: 1}}})
	}
	return d
}

func onlyLimited() map[vrid.TenantID]vrcatalog.Quota {
	return map[vrid.TenantID]vrcatalog.Quota{"t": limited}
}

// tenantCall is a call of a tenant that costs 1,000 tokens. All servers have room for it.
func (d *daemon) tenantCall(tenant vrid.TenantID) []vrevent.Effect {
	for _, entry := range threeAppServers() {
		d.reduce(vrevent.LoadReported{Server: entry.ID, Born: entry.Born, Load: vrevent.ServerLoad{Slots: 64}})
	}
	d.lastCallID++
	return d.reduce(vrevent.CallArrived{Call: vrevent.Call{
		ID: d.lastCallID, Request: "r", Host: "h", Path: "/once/x", Timeout: 10 * time.Second,
		PromptTokens: 600, OutputTokens: 400, DeclaresTokens: true, Key: quotaKey(tenant), HasKey: true,
	}})
}

// Guards against work beyond a quota, against a refusal below it, and against a Retry-After at which the
// client is refused again.
func TestTenantBeyondItsLimitIsRefused(t *testing.T) {
	d := newQuotaDaemon(t, []vrid.DaemonID{"d1"}, map[vrid.TenantID]vrcatalog.Quota{"t": limited, "u": limited, "v": {}}, storeDown)
	limit := vrquota.NewLimit(limited, vrquota.Bounds{Window: 8 * time.Second, Slack: quotaSlack})
	require.InEpsilon(t, limited.Rate, limit.Rate, 0.02)
	left := limit.Depth
	for left >= 1000 {
		d.requireSent(d.tenantCall("t"))
		left -= 1000
	}
	var returnsAfter time.Duration
	for i := range 3 {
		refusal := d.requireRefused(d.tenantCall("t"))
		require.Equal(t, vrwire.ReasonQuotaExceeded, refusal.Reason)
		require.True(t, refusal.NotRun)
		if i == 0 {
			require.InDelta(t, (1000-left)/limit.Rate, refusal.RetryAfter.Seconds(), 0.01)
		}
		require.Greater(t, refusal.RetryAfter, returnsAfter, "a later call returns later")
		returnsAfter = refusal.RetryAfter
	}
	require.EqualValues(t, 3, d.state.QuotaCounts().Refused)
	d.requireSent(d.tenantCall("u"))
	for range 20 {
		d.requireSent(d.tenantCall("v"))
	}
	d.runFor(time.Duration((1000-left)/limit.Rate*float64(time.Second))+10*time.Millisecond, storeDown)
	d.requireSent(d.tenantCall("t"))
	d.requireRefused(d.tenantCall("t"))
	require.Equal(t, 0, d.state.WaitingCalls())
}

// Guards against an allocator whose credit an operator can't see, and against a metric for each of thousands of
// tenants.
func TestCreditOfFewTenantsIsReported(t *testing.T) {
	quotas := map[vrid.TenantID]vrcatalog.Quota{"unlimited": {}}
	for i := range 100 {
		quotas[vrid.TenantID(fmt.Sprint("t", i))] = limited
	}
	d := startQuotaDaemon(t, []vrid.DaemonID{"d1"}, quotas)
	require.Empty(t, d.state.QuotaCredits(d.now), "no part is delegated yet")
	d.runFor(8*time.Second, storeDown)
	credits := d.state.QuotaCredits(d.now)
	require.Len(t, credits, 32)
	for _, c := range credits {
		require.GreaterOrEqual(t, c.Credit, limited.Burst*0.99)
	}
	require.InDelta(t, 1, d.state.QuotaShare(d.now), 1e-6)
}

// Guards against refused calls of which an operator can't tell whose limit was reached.
func TestRefusalNamesTenantAndLimit(t *testing.T) {
	d := newQuotaDaemon(t, []vrid.DaemonID{"d1"}, onlyLimited(), storeDown)
	for range 3 {
		d.tenantCall("t")
	}
	var fields []vrevent.LogField
	for _, effect := range d.out.List {
		if log, ok := effect.(vrevent.Log); ok && log.Message == "call ended" {
			fields = log.Fields
		}
	}
	require.Contains(t, fields, vrevent.LogField{Name: "tenant", Value: "t"})
	require.Contains(t, fields, vrevent.LogField{Name: "limit", Value: "1e+03"})
	require.Contains(t, fields, vrevent.LogField{Name: "reason", Value: string(vrwire.ReasonQuotaExceeded)})
}

// Guards against a retry that is refused because the first send has used up the credit, and against credit
// that is lost with a call that did not run.
func TestCreditOfCallsThatDidNotRun(t *testing.T) {
	d := newQuotaDaemon(t, []vrid.DaemonID{"d1"}, onlyLimited(), storeDown)
	d.requireSent(d.tenantCall("t"))
	second := d.requireSent(d.tenantCall("t"))
	again := d.requireSent(d.endSend(second, vrevent.AttemptNotSent))
	again = d.requireSent(d.endSend(again, vrevent.AttemptNotSent))
	require.Empty(t, d.endSend(again, vrevent.AttemptNotSent), "the call waits for a server that it has not tried")
	require.True(t, d.requireRefused(d.runFor(150*time.Millisecond, storeDown)).NotRun)
	d.requireSent(d.tenantCall("t"))
	d.requireRefused(d.tenantCall("t"))
}

// Guards against calls that are charged long before they run, which would run in a window that others have
// filled: a call that did not run is charged anew if it waits for long.
func TestLateRetryIsChargedAgain(t *testing.T) {
	d := newQuotaDaemon(t, []vrid.DaemonID{"d1"}, onlyLimited(), storeDown)
	d.requireSent(d.tenantCall("t"))
	second := d.requireSent(d.tenantCall("t"))
	d.now = d.now.Add(400 * time.Millisecond)
	refusal := d.requireRefused(d.endSend(second, vrevent.AttemptBusy))
	require.Equal(t, vrwire.ReasonQuotaExceeded, refusal.Reason)
	require.True(t, refusal.NotRun)
}

// remoteAllocator is the allocator d2, to which only d1 delegates its half of the parts.
type remoteAllocator struct {
	d         *daemon
	allocator *vrquota.Allocator
	// needs counts the needs in the requests.
	needs int
}

// newDelegatingDaemon returns the daemon d1, which has delegated its part to d2.
func newDelegatingDaemon(t *testing.T) (*daemon, *remoteAllocator) {
	d := startQuotaDaemon(t, []vrid.DaemonID{"d1", "d2"}, onlyLimited())
	r := &remoteAllocator{d: d, allocator: vrquota.NewAllocator(d.now, "b2", vrquota.Bounds{Window: 8 * time.Second, Slack: quotaSlack})}
	r.allocator.SetCatalog(d.now, newQuotaCatalog(1, onlyLimited()))
	d.runFor(6*time.Second, r.answer)
	return d, r
}

// answer answers the requests.
func (r *remoteAllocator) answer(effect vrevent.Effect) vrevent.Event {
	send, ok := effect.(vrevent.SendPeer)
	if !ok || send.Envelope.Notices == nil || send.Envelope.Notices.QuotaRequest == nil {
		return storeDown(effect)
	}
	request := send.Envelope.Notices.QuotaRequest
	r.needs += len(request.Needs)
	reply := r.allocator.Handle(r.d.now, "d1", "b1", request)
	return vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Boot: "b2", Notices: &vrwire.Notices{QuotaReply: reply}}}
}

// runThrough answers effects until none has an answer, and returns those of the answers.
func (d *daemon) runThrough(effects []vrevent.Effect, answer func(vrevent.Effect) vrevent.Event) []vrevent.Effect {
	var all []vrevent.Effect
	for len(effects) > 0 {
		effect := effects[0]
		effects = effects[1:]
		if event := answer(effect); event != nil {
			caused := d.reduce(event)
			effects, all = append(effects, caused...), append(all, caused...)
		}
	}
	return all
}

// Guards against a call that is sent before the allocator has granted its credit, and against one that stays
// when its client has left, its deadline has passed, the daemon stops or no allocator answers.
func TestCallWaitsForTheAllocator(t *testing.T) {
	for name, test := range map[string]struct {
		event  vrevent.Event
		wait   time.Duration
		reason vrwire.Reason
	}{
		"client left": {vrevent.ClientGone{Call: 1}, 0, ""},
		"stop":        {vrevent.GracePeriodEnding{}, 0, vrwire.ReasonShuttingDown},
		"no answer":   {vrevent.Tick{}, 320 * time.Millisecond, vrwire.ReasonNoReplica},
	} {
		t.Run(name, func(t *testing.T) {
			d, _ := newDelegatingDaemon(t)
			require.Empty(t, effectNames(d.tenantCall("t")))
			if test.wait > 0 {
				require.NotContains(t, effectNames(d.runFor(200*time.Millisecond, storeDown)), "refused", "a second answer is awaited")
			}
			d.now = d.now.Add(test.wait)
			effects := d.reduce(test.event)
			if test.reason != "" {
				refusal := d.requireRefused(effects)
				require.Equal(t, test.reason, refusal.Reason)
				require.True(t, refusal.NotRun)
				require.Equal(t, 300*time.Millisecond, refusal.RetryAfter)
			}
			require.Zero(t, d.state.OpenCalls())
			require.NotContains(t, effectNames(d.runFor(time.Second, storeDown)), "sent")
		})
	}
}

// Guards against an answer that comes after the deadline of a call that waits for credit.
func TestDeadlineEndsTheWaitForCredit(t *testing.T) {
	d, _ := newDelegatingDaemon(t)
	d.lastCallID++
	d.reduce(vrevent.CallArrived{Call: vrevent.Call{
		ID: d.lastCallID, Host: "h", Path: "/once/x", Timeout: 120 * time.Millisecond, Key: quotaKey("t"), HasKey: true,
	}})
	require.Empty(t, effectNames(d.runFor(75*time.Millisecond, storeDown)))
	refusal := d.requireRefused(d.runFor(50*time.Millisecond, storeDown))
	require.Equal(t, vrwire.ReasonDeadlineUnreachable, refusal.Reason)
}

// effectNames names the effects that end or send calls.
func effectNames(effects []vrevent.Effect) []string {
	var names []string
	for _, effect := range effects {
		switch effect.(type) {
		case vrevent.SendCall:
			names = append(names, "sent")
		case vrevent.RefuseCall:
			names = append(names, "refused")
		}
	}
	return names
}

// Guards against daemons that stop serving limited tenants, or ask for each call apart, while the store is
// gone: quotas need no store.
func TestAllocatorGrantsWithoutTheStore(t *testing.T) {
	d, allocator := newDelegatingDaemon(t)
	d.reduce(vrevent.StoreLost{})
	d.runFor(3*time.Second, allocator.answer)
	require.Zero(t, allocator.needs, "without calls, no credit is asked for")
	first := d.tenantCall("t")
	require.Len(t, first, 1, "the request")
	for range 3 {
		require.Empty(t, d.tenantCall("t"), "one request is under way")
	}
	require.Equal(t, []string{"sent"}, effectNames(d.runThrough(first, allocator.answer)), "half of the parts hold one call")
	require.Equal(t, 2, allocator.needs, "the calls that arrived meanwhile are asked for together")
	require.Equal(t, []string{"refused", "refused", "refused"}, effectNames(d.runFor(400*time.Millisecond, allocator.answer)))
}

// Guards against messages and waits in deployments without a limited tenant.
func TestNoMessagesWithoutQuotas(t *testing.T) {
	d := newQuotaDaemon(t, []vrid.DaemonID{"d1", "d2"}, map[vrid.TenantID]vrcatalog.Quota{"t": {}}, storeDown)
	d.requireSent(d.tenantCall("t"))
	for _, effect := range d.runFor(5*time.Second, storeDown) {
		if send, ok := effect.(vrevent.SendPeer); ok && send.Envelope.Notices != nil {
			require.Nil(t, send.Envelope.Notices.QuotaRequest)
		}
	}
}
