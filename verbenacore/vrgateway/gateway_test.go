package vrgateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrgateway"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrresidence"
	"verbenaroute.example/verbenacore/vrretry"
	"verbenaroute.example/verbenacore/vrwire"
)

// daemon drives one gateway in virtual time.
type daemon struct {
	t     *testing.T
	state *vrgateway.State
	now   time.Time
	out   vrevent.Effects
	next  vrevent.CallID
	// version is the store's version of the lease, zero for none.
	version vrid.ObjectVersion
}

func newDaemon(t *testing.T) *daemon {
	d := &daemon{t: t, now: time.Unix(1_790_000_000, 0)}
	d.state = vrgateway.New(vrgateway.Options{
		Daemon: "d1", Boot: "b1", Address: "10.0.0.1:1", Zone: "z", Regions: map[vrid.ZoneID]vrid.RegionID{"z": "r"},
		Bounds: vrgateway.Bounds{
			Lease:   3 * time.Second,
			Retries: vrretry.Options{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
			Ceiling: vrresidence.Ceiling{Window: 5 * time.Second, Factor: 1.1},
		},
	})
	return d
}

func catalog(version vrid.ConfigVersion) *vrcatalog.Catalog {
	route := func(id vrcatalog.RouteID, kind vrcatalog.RouteKind, service vrid.ServiceID, resumable bool) vrcatalog.Route {
		return vrcatalog.Route{
			ID: id, Host: "h", Prefix: "/" + string(id) + "/", Kind: kind, Resumable: resumable, Timeout: 2 * time.Second,
			Target: 200 * time.Millisecond, MaxAttempts: 2, Services: []vrcatalog.Split{{Service: service, Weight: 1}},
		}
	}
	c := &vrcatalog.Catalog{
		Version: version,
		Routes: []vrcatalog.Route{
			route("read", vrcatalog.RouteIdempotent, "app", false), route("once", vrcatalog.RouteOnce, "app", false),
			route("stream", vrcatalog.RouteStream, "lm", true), route("single", vrcatalog.RouteStream, "lm", false),
		},
		Services: []vrcatalog.Service{{ID: "app"}, {ID: "lm", Engine: &vrcatalog.Engine{
			Slots: 8, Memory: 100, LoadRate: 4,
			Models: []vrcatalog.Model{{ID: "m", Weights: 40, StoreLoad: 6 * time.Second, DiskLoad: time.Second, MemoryLoad: time.Second}},
		}}},
	}
	if err := c.Build(); err != nil {
		panic(err)
	}
	return c
}

func app(id vrid.ServerID) vrfleet.Entry {
	return vrfleet.Entry{ID: id, Service: "app", Address: string(id), Zone: "z", Slots: 4, State: vrfleet.StateReady, Born: 1}
}

func engine(id vrid.ServerID, models ...vrid.ModelID) vrfleet.Entry {
	entry := app(id)
	entry.Service = "lm"
	for _, model := range models {
		entry.Holds = append(entry.Holds, vrfleet.Holding{Model: model})
	}
	return entry
}

// ready is a daemon with a catalog and servers.
func ready(t *testing.T, entries ...vrfleet.Entry) *daemon {
	d := newDaemon(t)
	d.do(vrevent.CatalogSeen{Catalog: catalog(1)})
	d.do(vrevent.FleetListed{Entries: entries})
	return d
}

// do reduces an event and returns its effects without log lines.
func (d *daemon) do(event vrevent.Event) []vrevent.Effect {
	d.out.Reset()
	d.state.Reduce(d.now, event, &d.out)
	var effects []vrevent.Effect
	for _, effect := range d.out.List {
		switch effect.(type) {
		case vrevent.Log, vrevent.CallEnded, vrevent.LoadEnded:
		default:
			effects = append(effects, effect)
		}
	}
	return effects
}

func (d *daemon) call(route string) []vrevent.Effect {
	d.next++
	call := vrevent.Call{ID: d.next, Request: "r", Host: "h", Path: "/" + route + "/x", Timeout: 10 * time.Second}
	if route == "stream" || route == "single" {
		call.Model = "m"
	}
	return d.do(vrevent.CallArrived{Call: call})
}

func (d *daemon) sent(effects []vrevent.Effect) vrevent.SendCall {
	d.t.Helper()
	for _, effect := range effects {
		if send, ok := effect.(vrevent.SendCall); ok {
			return send
		}
	}
	require.Fail(d.t, "nothing was sent", "%v", effects)
	return vrevent.SendCall{}
}

func (d *daemon) refused(effects []vrevent.Effect) vrevent.RefuseCall {
	d.t.Helper()
	for _, effect := range effects {
		if refusal, ok := effect.(vrevent.RefuseCall); ok {
			return refusal
		}
	}
	require.Fail(d.t, "nothing was refused", "%v", effects)
	return vrevent.RefuseCall{}
}

func (d *daemon) end(send vrevent.SendCall, result vrevent.AttemptResult) []vrevent.Effect {
	d.now = d.now.Add(10 * time.Millisecond)
	return d.do(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: result, Status: 500})
}

// run ticks for a time and collects the effects. Store calls are answered by answer.
func (d *daemon) run(duration time.Duration, answer func(vrevent.Effect) vrevent.Event) []vrevent.Effect {
	var all []vrevent.Effect
	for until := d.now.Add(duration); d.now.Before(until); d.now = d.now.Add(25 * time.Millisecond) {
		pending := d.do(vrevent.Tick{})
		for len(pending) > 0 {
			effect := pending[0]
			pending = pending[1:]
			all = append(all, effect)
			if event := answer(effect); event != nil {
				pending = append(pending, d.do(event)...)
			}
		}
	}
	return all
}

// storeDown answers no call of the store.
func storeDown(effect vrevent.Effect) vrevent.Event {
	switch e := effect.(type) {
	case vrevent.ReadObject:
		return vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeUnavailable}
	case vrevent.WriteObject:
		return vrevent.ObjectWritten{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeUnavailable}
	}
	return nil
}

// storeUp keeps the lease for this daemon alone.
func (d *daemon) storeUp(effect vrevent.Effect) vrevent.Event {
	switch e := effect.(type) {
	case vrevent.ReadObject:
		return vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeNotFound}
	case vrevent.WriteObject:
		d.version++
		return vrevent.ObjectWritten{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeOK, Version: d.version}
	}
	return nil
}

// What follows each end of a send. A request that may run once is sent again only after
// proof that it did not run, and a refusal promises "not run" only with that proof.
func TestWhatFollowsASend(t *testing.T) {
	for _, test := range []struct {
		route  string
		result vrevent.AttemptResult
		again  bool
		notRun bool
	}{
		{"once", vrevent.AttemptNotSent, true, false},
		{"once", vrevent.AttemptBusy, true, false},
		{"once", vrevent.AttemptLeaving, true, false},
		{"once", vrevent.AttemptBroken, false, false},
		{"once", vrevent.AttemptTimedOut, false, false},
		{"read", vrevent.AttemptBroken, true, false},
		{"read", vrevent.AttemptServerError, true, false},
		{"stream", vrevent.AttemptBroken, true, false},
		{"single", vrevent.AttemptBroken, false, false},
	} {
		t.Run(test.route+" "+test.result.String(), func(t *testing.T) {
			d := ready(t, app("a1"), app("a2"), engine("e1", "m"), engine("e2", "m"))
			first := d.sent(d.call(test.route))
			effects := d.end(first, test.result)
			if test.again {
				require.NotEqual(t, first.Server, d.sent(effects).Server)
				return
			}
			require.Equal(t, test.notRun, d.refused(effects).NotRun)
		})
	}
}

// A failure of the last server is the answer, not one of the system's own.
func TestTheLastFailureIsDelivered(t *testing.T) {
	d := ready(t, app("a1"), app("a2"))
	second := d.sent(d.end(d.sent(d.call("read")), vrevent.AttemptServerError))
	require.Equal(t, []vrevent.Effect{vrevent.ForwardFailure{Call: second.Call}}, d.end(second, vrevent.AttemptServerError))
}

// A request must not run on more servers than its route allows.
func TestRunsStayWithinMaxAttempts(t *testing.T) {
	d := ready(t, app("a1"), app("a2"), app("a3"))
	second := d.sent(d.end(d.sent(d.call("read")), vrevent.AttemptBroken))
	require.False(t, d.refused(d.end(second, vrevent.AttemptBroken)).NotRun)
}

// A stream of which a part was passed on goes on, and breaks where it can't.
func TestBegunStream(t *testing.T) {
	d := ready(t, engine("e1", "m"), engine("e2", "m"))
	send := d.sent(d.call("stream"))
	resumed := d.sent(d.do(vrevent.SendEnded{Call: send.Call, Send: 1, Result: vrevent.AttemptBroken, PartForwarded: true, Events: 3}))
	require.True(t, resumed.Resume)
	require.Equal(t, []vrevent.Effect{vrevent.AbortCall{Call: send.Call}},
		d.do(vrevent.SendEnded{Call: send.Call, Send: 2, Result: vrevent.AttemptBroken, PartForwarded: true, Events: 3}))
}

// A leaving server gets no new work, and neither does one whose entry was removed.
func TestLeavingServersGetNothing(t *testing.T) {
	d := ready(t, app("a1"), app("a2"))
	leaving := app("a1")
	leaving.State, leaving.Beat = vrfleet.StateDraining, 1
	d.do(vrevent.FleetChanged{Entries: []vrfleet.Entry{leaving}})
	for range 8 {
		require.EqualValues(t, "a2", d.sent(d.call("once")).Server)
	}
	d.do(vrevent.FleetChanged{Removed: []vrid.ServerID{"a2"}})
	require.Empty(t, d.call("once"), "it waits for a server")
}

// Entries that lapsed in an outage of the store come back within two seconds of its
// return: their servers serve on. After that a missing one is gone.
func TestServersOutliveAnOutageOfTheStore(t *testing.T) {
	d := ready(t, app("a1"))
	d.do(vrevent.StoreLost{})
	d.now = d.now.Add(20 * time.Second)
	d.do(vrevent.StoreRecovered{})
	d.do(vrevent.FleetListed{})
	require.EqualValues(t, "a1", d.sent(d.call("once")).Server)
	d.run(3*time.Second, storeDown)
	require.Empty(t, d.call("once"))
}

// An older catalog, for example from a stale read, must not come into force again.
func TestCatalogNeverGoesBack(t *testing.T) {
	d := newDaemon(t)
	d.do(vrevent.CatalogSeen{Catalog: catalog(7)})
	d.do(vrevent.CatalogSeen{Catalog: catalog(3)})
	require.EqualValues(t, 7, d.state.Catalog().Version)
}

// Without a catalog every answer is "not run, come back", never "not found".
func TestNoCatalogIsNoRefusalForGood(t *testing.T) {
	refusal := newDaemon(t).refusedCall("once")
	require.Equal(t, vrwire.ReasonNoConfiguration, refusal.Reason)
	require.True(t, refusal.NotRun)
	require.Positive(t, refusal.RetryAfter)
}

func (d *daemon) refusedCall(route string) vrevent.RefuseCall { return d.refused(d.call(route)) }

// A call for a model that nobody holds is refused at once by a daemon that is cut off, and
// waits where a new placement owner can still come.
func TestWaitWithoutAnOwner(t *testing.T) {
	d := ready(t, engine("e1"))
	require.Empty(t, d.call("stream"))
	d.do(vrevent.StoreLost{})
	effects := d.run(400*time.Millisecond, storeDown)
	refusal := d.refused(effects)
	require.True(t, refusal.NotRun)
	require.Positive(t, refusal.RetryAfter)
}

// The owner's word decides how long a call waits.
func TestOwnersNotices(t *testing.T) {
	d := ready(t, engine("e1"))
	d.call("stream")
	notice := func(kind vrwire.NoticeKind, in int64) []vrevent.Effect {
		return d.do(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Boot: "b", Notices: &vrwire.Notices{
			Epoch: 9, Items: []vrwire.Notice{{Kind: kind, Service: "lm", Model: "m", Server: "e1", In: in}},
		}}})
	}
	notice(vrwire.NoticeComing, 500)
	require.EqualValues(t, "e1", d.sent(notice(vrwire.NoticeHeld, 0)).Server)
	notice(vrwire.NoticeLosing, 0)
	require.Empty(t, d.call("stream"))
	refusal := d.refused(notice(vrwire.NoticeRefused, 1500))
	require.True(t, refusal.NotRun)
	require.Equal(t, 1500*time.Millisecond, refusal.RetryAfter)
}

// A shutdown must not keep waiting calls until the process ends: they get their answer
// while other daemons can still serve them (LOST on scale-2 of hfw-fit).
func TestShutdownAnswersWaitingCalls(t *testing.T) {
	d := ready(t, engine("e1"))
	d.call("stream")
	d.do(vrevent.ShutdownRequested{})
	refusal := d.refused(d.do(vrevent.GracePeriodEnding{}))
	require.True(t, refusal.NotRun)
	require.Equal(t, vrwire.ReasonShuttingDown, refusal.Reason)
	require.True(t, d.refusedCall("stream").NotRun)
}

// Only a holder whose lease was acknowledged lately gives orders, and each order says until
// when.
func TestOrdersNeedTheLease(t *testing.T) {
	d := ready(t, engine("e1"))
	answer := func(effect vrevent.Effect) vrevent.Event {
		if e, ok := effect.(vrevent.ReadStatus); ok {
			return vrevent.StatusRead{Server: e.Server, Status: &vrevent.ServerStatus{Born: 1}}
		}
		return d.storeUp(effect)
	}
	d.call("stream")
	var orders []vrevent.PlacementOrder
	for _, effect := range d.run(1500*time.Millisecond, answer) {
		if order, ok := effect.(vrevent.SendPlacementOrder); ok {
			orders = append(orders, order.Order)
		}
	}
	require.NotEmpty(t, orders)
	require.LessOrEqual(t, orders[0].LeaseExpiresAt.Sub(d.now), 3*time.Second)
	require.Positive(t, orders[0].Epoch)

	lapsed := ready(t, engine("e1"))
	lapsed.call("stream")
	for _, effect := range lapsed.run(time.Second, storeDown) {
		_, isOrder := effect.(vrevent.SendPlacementOrder)
		require.False(t, isOrder)
	}
}

// A call for a model whose load is under way must not be refused for want of word from the
// owner: it waits for the load.
func TestCallWaitsForALoadUnderWay(t *testing.T) {
	d := ready(t, engine("e1"))
	answer := func(effect vrevent.Effect) vrevent.Event {
		switch e := effect.(type) {
		case vrevent.ReadStatus:
			return vrevent.StatusRead{Server: e.Server, Status: &vrevent.ServerStatus{Born: 1, OnDisk: []vrid.ModelID{"m"}}}
		case vrevent.SendPlacementOrder:
			return vrevent.OrderEnded{Order: e.Order, Outcome: vrevent.OrderAccepted}
		}
		return d.storeUp(effect)
	}
	d.run(time.Second, answer)
	d.call("stream")
	for _, effect := range d.run(900*time.Millisecond, answer) {
		_, isRefusal := effect.(vrevent.RefuseCall)
		require.False(t, isRefusal)
	}
	held := engine("e1", "m")
	held.Beat = 1
	d.sent(d.do(vrevent.FleetChanged{Entries: []vrfleet.Entry{held}}))
}

// A call whose server is set aside must not starve while others could serve it, and a
// server that failed twice gets a rest.
func TestFailingServerIsSetAside(t *testing.T) {
	d := ready(t, app("a1"), app("a2"))
	failed := make(map[vrid.ServerID]int)
	for range 12 {
		send := d.sent(d.call("once"))
		if send.Server == "a1" {
			failed["a1"]++
			d.end(send, vrevent.AttemptBroken)
			continue
		}
		d.end(send, vrevent.AttemptAnswered)
	}
	require.LessOrEqual(t, failed["a1"], 3)
}
