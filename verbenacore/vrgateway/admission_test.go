package vrgateway_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrgateway"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// newOrderedDaemon returns a daemon whose catalog lists tenants, so that ordered admission is active.
func newOrderedDaemon(t *testing.T, entries ...vrfleet.Entry) *daemon {
	d := newDaemon(t)
	d.reduce(vrevent.CatalogSeen{Catalog: replayCatalog(true, 1000)})
	d.reduce(vrevent.FleetListed{Entries: entries})
	return d
}

// call sends a call of a tenant.
func (d *daemon) call(route string, tenant, tokens int) []vrevent.Effect {
	d.lastCallID++
	call := vrevent.Call{
		ID: d.lastCallID, Request: "r", Host: "h", Path: "/" + route + "/x", Timeout: 10 * time.Second, Key: tenantKey(tenant), HasKey: true,
		PromptTokens: tokens, DeclaresTokens: true,
	}
	if tokens > 0 {
		call.Model = replayModel(0)
	}
	return d.reduce(vrevent.CallArrived{Call: call})
}

// reportLoad ends a call, and makes its server state the load that it has then.
func (d *daemon) reportLoad(send vrevent.SendCall, load vrevent.ServerLoad) []vrevent.Effect {
	effects := d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptAnswered, Status: 200, Load: &load})
	return append(effects, d.reduce(vrevent.LoadReported{Server: send.Server, Born: send.Born, Load: load})...)
}

// Guards against a daemon that sends several calls to a server of which it does not know the load, and against
// calls that then wait although a report shows that the server has room.
func TestOneCallObtainsALoadReport(t *testing.T) {
	d := newOrderedDaemon(t, appEntry("a1"))
	first := d.requireSent(d.call("deferred", 0, 0))
	require.Empty(t, d.call("deferred", 0, 0))
	require.Empty(t, d.call("deferred", 0, 0))
	require.Equal(t, 2, d.state.WaitingCalls())
	require.Len(t, sends(d.reportLoad(first, vrevent.ServerLoad{Running: 1, Slots: 6})), 2)
}

// Guards against refusals of calls for servers that are idle, while the first load reports are awaited.
func TestNoRefusalWhileLoadReportsAreAwaited(t *testing.T) {
	d := newOrderedDaemon(t, appEntry("a1"))
	first := d.requireSent(d.call("urgent", 0, 0))
	for range 200 {
		require.Empty(t, d.call("urgent", 0, 0))
	}
	for _, effect := range d.runFor(300*time.Millisecond, storeDown) {
		_, refused := effect.(vrevent.RefuseCall)
		require.False(t, refused)
	}
	require.Len(t, sends(d.reportLoad(first, vrevent.ServerLoad{Slots: 100})), 100)
}

// Guards against calls beyond a server's slots, and against an order of the waiting calls other than by the
// priorities of the tenant and the route.
func TestCallsWaitForSlots(t *testing.T) {
	d := newOrderedDaemon(t, appEntry("a1"))
	d.reportLoad(d.requireSent(d.call("deferred", 0, 0)), vrevent.ServerLoad{})
	var running []vrevent.SendCall
	for range 4 {
		running = append(running, d.requireSent(d.call("deferred", 0, 0)))
	}
	require.Empty(t, d.call("urgent", replayTenants, 0))
	require.Empty(t, d.call("deferred", 0, 0))
	require.Empty(t, d.call("urgent", 0, 0))
	last := d.lastCallID
	for i, want := range []struct {
		call     vrevent.CallID
		priority int
	}{{last, 0}, {last - 1, 2}, {last - 2, 3}} {
		next := sends(d.endSend(running[i], vrevent.AttemptAnswered))
		require.Len(t, next, 1)
		require.Equal(t, want.call, next[0].Call)
		require.Equal(t, want.priority, next[0].Priority, "the level, not the priority of the route")
	}
}

// Guards against urgent calls that wait behind those of other daemons: in a fleet of many they may exceed the slots
// by nearly as many again, and calls that wait at the server do not count, because they go before them.
func TestUrgentCallsExceedSlots(t *testing.T) {
	d := newOrderedDaemon(t, appEntry("a1"))
	d.listTwentyDaemons()
	d.reportLoad(d.requireSent(d.call("urgent", 0, 0)), vrevent.ServerLoad{Running: 4, Waiting: 3})
	require.Empty(t, d.call("deferred", 0, 0))
	for range 3 {
		d.requireSent(d.call("urgent", 0, 0))
	}
	require.Empty(t, d.call("urgent", 0, 0))
}

// Guards against a server that gets more tokens than its cache holds, which crashes it, also for urgent calls.
// A small call must not wait behind one that does not fit, and one that never fits must be refused at once.
func TestCallsWaitForTokens(t *testing.T) {
	d := newOrderedDaemon(t, engineEntry("e1", replayModel(0)))
	d.reportLoad(d.requireSent(d.call("stream", 0, 100)), vrevent.ServerLoad{})
	first := d.requireSent(d.call("stream", 0, 700))
	require.Empty(t, d.call("stream", 0, 400))
	d.requireSent(d.call("stream", 0, 300))
	require.Len(t, sends(d.endSend(first, vrevent.AttemptAnswered)), 1)
	refusal := d.requireRefused(d.call("stream", 0, 1001))
	require.Equal(t, vrwire.ReasonServersFull, refusal.Reason)
	require.Zero(t, refusal.RetryAfter, "it never fits")
}

// Guards against a call that waits although it can't be served in time: it must be refused at once, with a time
// at which a slot is expected, later for lower levels.
func TestCallThatWouldBeLateIsRefusedAtOnce(t *testing.T) {
	d := newOrderedDaemon(t, appEntry("a1"))
	for range 20 {
		send := d.requireSent(d.call("urgent", 0, 0))
		d.now = d.now.Add(time.Second)
		d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptAnswered, Status: 200})
	}
	refusals := make(map[string]time.Duration)
	for range 60 {
		for _, route := range []string{"urgent", "deferred"} {
			for _, effect := range d.call(route, 0, 0) {
				if refusal, ok := effect.(vrevent.RefuseCall); ok && refusals[route] == 0 {
					require.Equal(t, vrwire.ReasonServersFull, refusal.Reason)
					require.True(t, refusal.NotRun)
					refusals[route] = refusal.RetryAfter
				}
			}
		}
	}
	require.Positive(t, refusals["urgent"])
	require.Greater(t, refusals["deferred"], refusals["urgent"])
}

// Guards against a tenant whose calls fill the wait list of a target and keep out those of all others.
func TestFullWaitListTakesCallsOfOtherTenants(t *testing.T) {
	d := newOrderedDaemon(t, appEntry("a1"))
	first := d.requireSent(d.call("deferred", 0, 0))
	d.now = d.now.Add(10 * time.Millisecond)
	d.reduce(vrevent.SendEnded{Call: first.Call, Send: first.Send, Result: vrevent.AttemptAnswered, Status: 200})
	for range 260 {
		d.call("deferred", 0, 0)
	}
	require.Equal(t, 256, d.state.WaitingCalls())
	require.Equal(t, d.lastCallID, d.requireRefused(d.call("deferred", 0, 0)).Call)
	require.NotEqual(t, d.lastCallID, d.requireRefused(d.call("deferred", 1, 0)).Call)
	require.NotEqual(t, d.lastCallID, d.requireRefused(d.call("urgent", 0, 0)).Call)
	require.Equal(t, 256, d.state.WaitingCalls())
}

// Guards against a refusal by the placement owner, which can't load one more copy of a model, of calls that only
// wait until the server that holds the model has room.
func TestRefusedLoadLeavesCallsThatWaitForRoom(t *testing.T) {
	d := newOrderedDaemon(t, engineEntry("e1", replayModel(0)))
	first := d.requireSent(d.call("long", 0, 900))
	require.Empty(t, d.call("long", 0, 900))
	require.Empty(t, d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Boot: "b", Notices: &vrwire.Notices{
		Epoch: 9, Items: []vrwire.Notice{{Kind: vrwire.NoticeRefused, Service: "lm", Model: replayModel(0)}},
	}}}))
	require.Len(t, sends(d.endSend(first, vrevent.AttemptAnswered)), 1)
}

// Guards against ordered admission that does not begin when a server states its pace, or forgets waiting calls
// when a catalog begins or ends it.
func TestActivationKeepsWaitingCalls(t *testing.T) {
	d := newReadyDaemon(t, appEntry("a1"))
	for range 9 {
		d.requireSent(d.arrive("once"))
	}
	last := d.requireSent(d.arrive("once"))
	d.now = d.now.Add(100 * time.Millisecond)
	d.reportLoad(last, vrevent.ServerLoad{Running: 9, Slots: 4, Pace: 100})
	require.Empty(t, d.arrive("read"))
	d.reduce(vrevent.CatalogSeen{Catalog: replayCatalog(true, 1000)})
	require.Equal(t, 1, d.state.WaitingCalls())
	var sent []vrevent.SendCall
	for call := range 9 {
		sent = append(sent, sends(d.reduce(vrevent.SendEnded{Call: vrevent.CallID(call + 1), Send: 1, Result: vrevent.AttemptAnswered, Status: 200}))...)
	}
	require.Len(t, sent, 1)
}

// Guards against a call that is forgotten in the queue, or waits although a server has room, while clients leave,
// servers come, go and crash, catalogs change and the daemon stops.
func TestNoWaitingCallIsForgotten(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 5))
		entries := []vrfleet.Entry{appEntry("a1"), appEntry("a2"), engineEntry("e1", replayModel(0))}
		d := newOrderedDaemon(t, entries...)
		open := make(map[vrevent.CallID]vrevent.SendCall)
		apply := func(effects []vrevent.Effect) {
			for _, effect := range effects {
				switch e := effect.(type) {
				case vrevent.SendCall:
					open[e.Call] = e
				case vrevent.RefuseCall:
					delete(open, e.Call)
				}
			}
		}
		for step := range 400 {
			d.now = d.now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
			switch random.IntN(12) {
			case 0, 1, 2, 3:
				apply(d.call([]string{"urgent", "deferred"}[random.IntN(2)], random.IntN(replayTenants), 0))
			case 4, 5:
				apply(d.call([]string{"stream", "long"}[random.IntN(2)], random.IntN(replayTenants), 1+random.IntN(700)))
			case 6, 7:
				for _, id := range slices.Sorted(maps.Keys(open)) {
					send := open[id]
					result := []vrevent.AttemptResult{vrevent.AttemptAnswered, vrevent.AttemptBusy, vrevent.AttemptBroken, vrevent.AttemptNotSent}[random.IntN(4)]
					delete(open, id)
					apply(d.reduce(vrevent.SendEnded{Call: id, Send: send.Send, Result: result, Status: 200}))
					break
				}
			case 8:
				apply(d.reduce(vrevent.ClientGone{Call: vrevent.CallID(random.IntN(int(d.lastCallID) + 1))}))
			case 9:
				entry := entries[random.IntN(len(entries))]
				change := vrevent.FleetChanged{Version: vrid.ObjectVersion(step + 2), Removed: []vrid.ServerID{entry.ID}}
				if random.IntN(3) > 0 {
					entry.Born += int64(step / 100)
					change = vrevent.FleetChanged{Version: vrid.ObjectVersion(step + 2), Entries: []vrfleet.Entry{entry}}
				}
				apply(d.reduce(change))
			case 10:
				catalog := replayCatalog(random.IntN(3) > 0, 1000)
				catalog.Version = vrid.ConfigVersion(step + 2)
				apply(d.reduce(vrevent.CatalogSeen{Catalog: catalog}))
			default:
				d.now = d.now.Add(100 * time.Millisecond)
				apply(d.reduce(vrevent.Tick{}))
				require.Zero(t, d.state.Servable(d.now), "seed %d step %d", seed, step)
			}
		}
		for len(open) > 0 {
			for _, id := range slices.Sorted(maps.Keys(open)) {
				send := open[id]
				delete(open, id)
				apply(d.reduce(vrevent.SendEnded{Call: id, Send: send.Send, Result: vrevent.AttemptCallerGone}))
			}
		}
		d.runFor(12*time.Second, func(effect vrevent.Effect) vrevent.Event {
			if send, ok := effect.(vrevent.SendCall); ok {
				return vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptAnswered, Status: 200}
			}
			return storeDown(effect)
		})
		require.Zero(t, d.state.WaitingCalls(), "seed %d %v", seed, d.state.WaitingByLevel())
		require.Zero(t, d.state.OpenCalls(), "seed %d", seed)
		require.Zero(t, d.state.WaitingByLevel(), "seed %d", seed)
	}
}

// BenchmarkOrderedAdmission measures an arrival, its end, and the dispatch of a waiting call, at 160 full servers
// with 1,000 waiting calls.
func BenchmarkOrderedAdmission(b *testing.B) {
	for _, tenants := range []int{16, 10_000} {
		b.Run(map[int]string{16: "16 tenants", 10_000: "10000 tenants"}[tenants], func(b *testing.B) {
			benchmarkAdmission(b, tenants)
		})
	}
}

func benchmarkAdmission(b *testing.B, tenants int) {
	catalog := replayCatalog(false, 1<<30)
	for i := range tenants {
		key := vrid.KeyDigest{byte(i), byte(i >> 8), 1}
		catalog.Tenants = append(catalog.Tenants, vrcatalog.Tenant{ID: vrid.TenantID(time.Duration(i).String()), Keys: []vrid.KeyDigest{key}})
	}
	for i := range catalog.Routes {
		catalog.Routes[i].Timeout, catalog.Routes[i].Target = time.Hour, time.Hour
	}
	require.NoError(b, catalog.Build())
	state := vrgateway.New(vrgateway.Options{Daemon: "d1", Boot: "b1", Address: "a", Zone: "z"})
	var entries []vrfleet.Entry
	for i := range 160 {
		entry := engineEntry(vrid.ServerID(time.Duration(i).String()), replayModel(i%12), replayModel((i+5)%12))
		entry.Slots = 12
		entries = append(entries, entry)
	}
	now := time.Unix(1_790_000_000, 0)
	var out vrevent.Effects
	state.Reduce(now, vrevent.CatalogSeen{Catalog: catalog}, &out)
	state.Reduce(now, vrevent.FleetListed{Entries: entries}, &out)
	id := vrevent.CallID(0)
	var running []vrevent.SendCall
	reduce := func(event vrevent.Event) {
		out.Reset()
		state.Reduce(now, event, &out)
		for _, effect := range out.List {
			if send, ok := effect.(vrevent.SendCall); ok {
				running = append(running, send)
			}
		}
	}
	arrive := func() {
		id++
		tenant := int(id) % tenants
		reduce(vrevent.CallArrived{Call: vrevent.Call{
			ID: id, Host: "h", Path: "/stream/x", Model: replayModel(int(id) % 12), PromptTokens: 1000, HasKey: true, Timeout: time.Hour,
			Key: vrid.KeyDigest{byte(tenant), byte(tenant >> 8), 1},
		}})
	}
	end := func() {
		send := running[0]
		running = running[1:]
		reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptAnswered, Status: 200})
	}
	for range 500 {
		arrive()
		end()
	}
	for state.WaitingCalls() < 1000 {
		arrive()
	}
	b.ReportAllocs()
	for b.Loop() {
		arrive()
		end()
	}
	b.ReportMetric(float64(state.WaitingCalls()), "waiting")
}

// Guards against calls that wait for room until they are refused, although a server has room, because a catalog
// without tenants has ended ordered admission meanwhile.
func TestEndOfOrderedAdmissionSendsWaitingCalls(t *testing.T) {
	d := newOrderedDaemon(t, appEntry("a1"))
	d.reportLoad(d.requireSent(d.call("deferred", 0, 0)), vrevent.ServerLoad{})
	for range 4 {
		d.requireSent(d.call("deferred", 0, 0))
	}
	require.Empty(t, d.call("deferred", 0, 0))
	catalog := replayCatalog(false, 1000)
	catalog.Version = 2
	d.reduce(vrevent.CatalogSeen{Catalog: catalog})
	require.Len(t, sends(d.runFor(50*time.Millisecond, storeDown)), 1)
}

// Guards against a stream that has begun and waits behind calls that have not, because its first event was due
// long ago: its client gives it up.
func TestBegunStreamGoesOnFirst(t *testing.T) {
	d := newOrderedDaemon(t, engineEntry("e1", replayModel(0)), engineEntry("e2", replayModel(0)))
	catalog := replayCatalog(true, 1000)
	catalog.Version = 2
	for i := range catalog.Routes {
		catalog.Routes[i].MaxAttempts, catalog.Routes[i].Resumable = 3, true
	}
	d.reduce(vrevent.CatalogSeen{Catalog: catalog})
	var running []vrevent.SendCall
	for range 2 {
		running = append(running, d.requireSent(d.call("stream", 0, 100)))
	}
	d.now = d.now.Add(100 * time.Millisecond)
	for _, send := range running {
		d.reportLoad(send, vrevent.ServerLoad{Slots: 1})
	}
	begun, other := d.requireSent(d.call("stream", 0, 100)), d.requireSent(d.call("stream", 1, 100))
	d.now = d.now.Add(600 * time.Millisecond)
	for range 3 {
		require.Empty(t, d.call("stream", 0, 100))
		require.Empty(t, d.call("stream", 2, 100))
	}
	d.reduce(vrevent.SendEnded{Call: begun.Call, Send: begun.Send, Result: vrevent.AttemptBroken, PartForwarded: true, Events: 3})
	next := sends(d.reportLoad(other, vrevent.ServerLoad{Slots: 1}))
	require.Len(t, next, 1)
	require.Equal(t, begun.Call, next[0].Call)
}

// Guards against the refusal of the first call in line, after half of its time, while all slots are taken by calls
// that began at the same time: it is served in time.
func TestFirstCallInLineIsNotRefused(t *testing.T) {
	d := newOrderedDaemon(t, appEntry("a1"))
	for range 20 {
		send := d.requireSent(d.call("deferred", 0, 0))
		d.now = d.now.Add(2500 * time.Millisecond)
		d.reportLoad(send, vrevent.ServerLoad{Slots: 4})
	}
	var last vrevent.SendCall
	for range 4 {
		last = d.requireSent(d.call("deferred", 0, 0))
	}
	require.Empty(t, d.call("deferred", 0, 0))
	d.runFor(2500*time.Millisecond, storeDown)
	require.Len(t, sends(d.reportLoad(last, vrevent.ServerLoad{Slots: 4})), 1)
}

// Guards against a call of a service without models that names one: what it lacks was not noted any more once it
// waited, and it waited for room at servers that were gone.
func TestCallThatNamesAModelOfNoEngine(t *testing.T) {
	d := newOrderedDaemon(t, appEntry("a1"))
	d.reportLoad(d.requireSent(d.call("deferred", 0, 0)), vrevent.ServerLoad{Running: 4})
	require.Empty(t, d.reduce(vrevent.CallArrived{Call: vrevent.Call{
		ID: 2, Host: "h", Path: "/deferred/x", Timeout: 10 * time.Second, Key: tenantKey(0), HasKey: true, Model: "any",
	}}))
	d.reduce(vrevent.FleetChanged{Version: 2, Removed: []vrid.ServerID{"a1"}})
	d.runFor(1200*time.Millisecond, storeDown)
	require.Zero(t, d.state.WaitingCalls())
}

// Guards against an end of a call that tries all servers for each waiting call that can't use every server: only
// the server that it frees may serve one of them. A choice among the servers allocates a list.
func TestFreedServerOnlyIsTriedForRestrictedCalls(t *testing.T) {
	d := newOrderedDaemon(t, engineEntry("e1", replayModel(0)), engineEntry("e2", replayModel(0)))
	first := d.requireSent(d.call("long", 0, 1))
	second := d.requireSent(d.call("long", 0, 1))
	d.reportLoad(first, vrevent.ServerLoad{Slots: 100})
	d.reportLoad(second, vrevent.ServerLoad{Slots: 100})
	var running []vrevent.SendCall
	for range 200 {
		running = append(running, d.requireSent(d.call("long", 0, 1)))
	}
	for _, send := range running[:100] {
		d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptBusy, Load: &vrevent.ServerLoad{Running: 100}})
	}
	require.Greater(t, d.state.WaitingCalls(), 90)
	i := 100
	allocations := testing.AllocsPerRun(50, func() {
		send := running[i]
		d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptAnswered, Status: 200, Load: &vrevent.ServerLoad{Running: 100}})
		i++
	})
	require.Less(t, allocations, 60.0)
}

// Guards against the refusal of a call that a server has turned away, because it was put behind all calls that
// arrived after it.
func TestCallThatWasTurnedAwayKeepsItsPlace(t *testing.T) {
	d := newOrderedDaemon(t, appEntry("a1"), appEntry("a2"))
	for _, id := range []vrid.ServerID{"a1", "a2"} {
		d.reduce(vrevent.LoadReported{Server: id, Born: 1, Load: vrevent.ServerLoad{Slots: 4}})
	}
	var running []vrevent.SendCall
	for range 8 {
		running = append(running, d.requireSent(d.call("deferred", 0, 0)))
	}
	d.now = d.now.Add(time.Millisecond)
	for range 12 {
		require.Empty(t, d.call("deferred", 0, 0))
	}
	first := running[0]
	require.Empty(t, d.reduce(vrevent.SendEnded{Call: first.Call, Send: first.Send, Result: vrevent.AttemptBusy, Load: &vrevent.ServerLoad{Running: 4}}))
	for _, send := range running[1:] {
		if send.Server != first.Server {
			next := sends(d.endSend(send, vrevent.AttemptAnswered))
			require.Len(t, next, 1)
			require.Equal(t, first.Call, next[0].Call)
			return
		}
	}
	require.Fail(t, "all calls were sent to one server")
}
