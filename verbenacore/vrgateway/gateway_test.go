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

// daemon drives the State of one gateway in virtual time.
type daemon struct {
	t          *testing.T
	id         vrid.DaemonID
	state      *vrgateway.State
	now        time.Time
	out        vrevent.Effects
	lastCallID vrevent.CallID
	// leaseVersion is the version of the lease object in the store, zero if there is none.
	leaseVersion vrid.ObjectVersion
}

func newDaemon(t *testing.T) *daemon {
	d := &daemon{t: t, id: "d1", now: time.Unix(1_790_000_000, 0)}
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

func newCatalog(version vrid.ConfigVersion) *vrcatalog.Catalog {
	route := func(id vrcatalog.RouteID, kind vrcatalog.RouteKind, service vrid.ServiceID, resumable bool) vrcatalog.Route {
		return vrcatalog.Route{
			ID: id, Host: "h", Prefix: "/" + string(id) + "/", Kind: kind, Resumable: resumable, Timeout: 2 * time.Second,
			Target: 200 * time.Millisecond, MaxAttempts: 2, Services: []vrcatalog.Split{{Service: service, Weight: 1}},
		}
	}
	c := &vrcatalog.Catalog{
		Version: version,
		Routes: []vrcatalog.Route{
			route("read", vrcatalog.RouteIdempotent, "app", false), route("once", vrcatalog.RouteAtMostOnce, "app", false),
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

func appEntry(id vrid.ServerID) vrfleet.Entry {
	return vrfleet.Entry{ID: id, Service: "app", Address: string(id), Zone: "z", Slots: 4, State: vrfleet.StateReady, Born: 1}
}

func engineEntry(id vrid.ServerID, models ...vrid.ModelID) vrfleet.Entry {
	entry := appEntry(id)
	entry.Service = "lm"
	for _, model := range models {
		entry.Holds = append(entry.Holds, vrfleet.LoadedModel{Model: model})
	}
	return entry
}

// newReadyDaemon returns a daemon with a catalog and the given servers.
func newReadyDaemon(t *testing.T, entries ...vrfleet.Entry) *daemon {
	d := newDaemon(t)
	d.reduce(vrevent.CatalogSeen{Catalog: newCatalog(1)})
	d.reduce(vrevent.FleetListed{Entries: entries})
	return d
}

// reduce applies an event and returns its effects without log lines and metrics.
func (d *daemon) reduce(event vrevent.Event) []vrevent.Effect {
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

func (d *daemon) arrive(route string) []vrevent.Effect {
	d.lastCallID++
	call := vrevent.Call{ID: d.lastCallID, Request: "r", Host: "h", Path: "/" + route + "/x", Timeout: 10 * time.Second}
	if route == "stream" || route == "single" {
		call.Model = "m"
	}
	return d.reduce(vrevent.CallArrived{Call: call})
}

func (d *daemon) requireSent(effects []vrevent.Effect) vrevent.SendCall {
	d.t.Helper()
	for _, effect := range effects {
		if send, ok := effect.(vrevent.SendCall); ok {
			return send
		}
	}
	require.Fail(d.t, "nothing was sent", "%v", effects)
	return vrevent.SendCall{}
}

// requireSentOn sends a call on a route.
func (d *daemon) requireSentOn(route string) vrevent.SendCall {
	d.t.Helper()
	return d.requireSent(d.arrive(route))
}

func (d *daemon) requireRefused(effects []vrevent.Effect) vrevent.RefuseCall {
	d.t.Helper()
	for _, effect := range effects {
		if refusal, ok := effect.(vrevent.RefuseCall); ok {
			return refusal
		}
	}
	require.Fail(d.t, "nothing was refused", "%v", effects)
	return vrevent.RefuseCall{}
}

func (d *daemon) endSend(send vrevent.SendCall, result vrevent.AttemptResult) []vrevent.Effect {
	d.now = d.now.Add(10 * time.Millisecond)
	return d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: result, Status: 500})
}

// runFor applies ticks for the given time and returns all effects. answer returns the event that
// an effect causes, or nil.
func (d *daemon) runFor(duration time.Duration, answer func(vrevent.Effect) vrevent.Event) []vrevent.Effect {
	var all []vrevent.Effect
	for until := d.now.Add(duration); d.now.Before(until); d.now = d.now.Add(25 * time.Millisecond) {
		pending := d.reduce(vrevent.Tick{})
		for len(pending) > 0 {
			effect := pending[0]
			pending = pending[1:]
			all = append(all, effect)
			if event := answer(effect); event != nil {
				pending = append(pending, d.reduce(event)...)
			}
		}
	}
	return all
}

// storeDown answers store calls as unavailable.
func storeDown(effect vrevent.Effect) vrevent.Event {
	switch e := effect.(type) {
	case vrevent.ReadObject:
		return vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeUnavailable}
	case vrevent.WriteObject:
		return vrevent.ObjectWritten{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeUnavailable}
	}
	return nil
}

// storeUp answers store calls as if no other daemon used the lease.
func (d *daemon) storeUp(effect vrevent.Effect) vrevent.Event {
	switch e := effect.(type) {
	case vrevent.ReadObject:
		return vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeNotFound}
	case vrevent.WriteObject:
		d.leaseVersion++
		return vrevent.ObjectWritten{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeOK, Version: d.leaseVersion}
	}
	return nil
}

// A request that may run at most once must be retried only if its send provably did not run it,
// and a refusal must guarantee "not run" only with that proof. Otherwise requests run twice.
func TestRetryAfterEachSendResult(t *testing.T) {
	for _, test := range []struct {
		route   string
		result  vrevent.AttemptResult
		retried bool
		notRun  bool
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
			d := newReadyDaemon(t, appEntry("a1"), appEntry("a2"), engineEntry("e1", "m"), engineEntry("e2", "m"))
			first := d.requireSent(d.arrive(test.route))
			effects := d.endSend(first, test.result)
			if test.retried {
				require.NotEqual(t, first.Server, d.requireSent(effects).Server)
				return
			}
			require.Equal(t, test.notRun, d.requireRefused(effects).NotRun)
		})
	}
}

// If the last allowed server fails too, its error response must be delivered, not replaced by
// one of the gateway.
func TestLastServerErrorIsDelivered(t *testing.T) {
	d := newReadyDaemon(t, appEntry("a1"), appEntry("a2"))
	second := d.requireSent(d.endSend(d.requireSent(d.arrive("read")), vrevent.AttemptServerError))
	require.Equal(t, []vrevent.Effect{vrevent.ForwardFailure{Call: second.Call}}, d.endSend(second, vrevent.AttemptServerError))
}

// A request must not run on more servers than its route allows.
func TestRunsStayWithinMaxAttempts(t *testing.T) {
	d := newReadyDaemon(t, appEntry("a1"), appEntry("a2"), appEntry("a3"))
	second := d.requireSent(d.endSend(d.requireSent(d.arrive("read")), vrevent.AttemptBroken))
	require.False(t, d.requireRefused(d.endSend(second, vrevent.AttemptBroken)).NotRun)
}

// A stream that was partly delivered must be resumed at another server. If it can't be, the
// client's connection must be closed.
func TestStartedStreamIsResumedOrBroken(t *testing.T) {
	d := newReadyDaemon(t, engineEntry("e1", "m"), engineEntry("e2", "m"))
	send := d.requireSent(d.arrive("stream"))
	resumed := d.requireSent(d.reduce(vrevent.SendEnded{Call: send.Call, Send: 1, Result: vrevent.AttemptBroken, PartForwarded: true, Events: 3}))
	require.True(t, resumed.Resume)
	require.Equal(t, []vrevent.Effect{vrevent.AbortCall{Call: send.Call}},
		d.reduce(vrevent.SendEnded{Call: send.Call, Send: 2, Result: vrevent.AttemptBroken, PartForwarded: true, Events: 3}))
}

// A call whose body was partly forwarded must not be sent again, even if it may be repeated: the
// client would take the parts of two bodies for one complete response.
func TestStartedBodyIsNotSentAgain(t *testing.T) {
	d := newReadyDaemon(t, appEntry("a1"), appEntry("a2"))
	send := d.requireSent(d.arrive("read"))
	require.Equal(t, []vrevent.Effect{vrevent.AbortCall{Call: send.Call}},
		d.reduce(vrevent.SendEnded{Call: send.Call, Send: 1, Result: vrevent.AttemptBroken, PartForwarded: true}))
}

// A call that is in its last attempt must not be hedged.
func TestLastAttemptIsNotHedged(t *testing.T) {
	d := newReadyDaemon(t, appEntry("a1"), appEntry("a2"), appEntry("a3"))
	second := d.requireSent(d.endSend(d.requireSentOn("read"), vrevent.AttemptBroken))
	require.Zero(t, second.FirstByteDeadline)
	require.Empty(t, d.reduce(vrevent.SendStalled{Call: second.Call, Send: second.Send}))
	once := d.requireSentOn("once")
	require.Zero(t, once.FirstByteDeadline)
	require.Empty(t, d.reduce(vrevent.SendStalled{Call: once.Call, Send: once.Send}))
}

// A draining server must get no new calls, and neither must one whose entry was removed.
func TestDrainingServersGetNoCalls(t *testing.T) {
	d := newReadyDaemon(t, appEntry("a1"), appEntry("a2"))
	draining := appEntry("a1")
	draining.State, draining.Beat = vrfleet.StateDraining, 1
	d.reduce(vrevent.FleetChanged{Entries: []vrfleet.Entry{draining}})
	for range 8 {
		require.EqualValues(t, "a2", d.requireSent(d.arrive("once")).Server)
	}
	d.reduce(vrevent.FleetChanged{Removed: []vrid.ServerID{"a2"}})
	require.Empty(t, d.arrive("once"), "the call waits for a server")
}

// Entries that expired during an outage of the store are renewed within two seconds of its
// recovery, so their servers must stay in use until then. A server that is still missing
// afterwards is gone.
func TestServersSurviveStoreOutage(t *testing.T) {
	d := newReadyDaemon(t, appEntry("a1"))
	d.reduce(vrevent.StoreLost{})
	d.now = d.now.Add(20 * time.Second)
	d.reduce(vrevent.StoreRecovered{})
	d.reduce(vrevent.FleetListed{})
	require.EqualValues(t, "a1", d.requireSent(d.arrive("once")).Server)
	d.runFor(3*time.Second, storeDown)
	require.Empty(t, d.arrive("once"))
}

// An older catalog, for example from a stale read, must not replace a newer one.
func TestOlderCatalogIsIgnored(t *testing.T) {
	d := newDaemon(t)
	d.reduce(vrevent.CatalogSeen{Catalog: newCatalog(7)})
	d.reduce(vrevent.CatalogSeen{Catalog: newCatalog(3)})
	require.EqualValues(t, 7, d.state.Catalog().Version)
}

// A daemon without a catalog must refuse calls as not run and retryable, never as not found.
func TestRefusalWithoutCatalogIsRetryable(t *testing.T) {
	refusal := newDaemon(t).requireCallRefused("once")
	require.Equal(t, vrwire.ReasonNoConfiguration, refusal.Reason)
	require.True(t, refusal.NotRun)
	require.Positive(t, refusal.RetryAfter)
}

func (d *daemon) requireCallRefused(route string) vrevent.RefuseCall {
	return d.requireRefused(d.arrive(route))
}

// A call for a model that no server has loaded waits for a placement owner to take over. A
// daemon that has lost the store must refuse the call soon instead, so that another daemon
// can serve it.
func TestWaitWithoutPlacementOwner(t *testing.T) {
	d := newReadyDaemon(t, engineEntry("e1"))
	require.Empty(t, d.arrive("stream"))
	d.reduce(vrevent.StoreLost{})
	effects := d.runFor(400*time.Millisecond, storeDown)
	refusal := d.requireRefused(effects)
	require.True(t, refusal.NotRun)
	require.Positive(t, refusal.RetryAfter)
}

// The notices of the placement owner decide whether a call is sent, waits or is refused.
func TestPlacementOwnerNotices(t *testing.T) {
	d := newReadyDaemon(t, engineEntry("e1"))
	d.arrive("stream")
	notice := func(kind vrwire.NoticeKind, delayMs int64) []vrevent.Effect {
		return d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Boot: "b", Notices: &vrwire.Notices{
			Epoch: 9, Items: []vrwire.Notice{{Kind: kind, Service: "lm", Model: "m", Server: "e1", Delay: delayMs}},
		}}})
	}
	notice(vrwire.NoticeLoading, 500)
	require.EqualValues(t, "e1", d.requireSent(notice(vrwire.NoticeLoaded, 0)).Server)
	notice(vrwire.NoticeUnloading, 0)
	require.Empty(t, d.arrive("stream"))
	refusal := d.requireRefused(notice(vrwire.NoticeRefused, 1500))
	require.True(t, refusal.NotRun)
	require.Equal(t, 1500*time.Millisecond, refusal.RetryAfter)
}

// A call for a stream that can't begin before its client gives up must be refused at once, so that
// the client can come back when the model is loaded. It was kept until the client left, after
// eight pause targets, without an offer or a refusal (clerk-lookup on trouble-1 of hanbit-arc: held
// for 3.2 s of a deadline of 6 s).
func TestStreamIsRefusedIfItsClientWouldLeaveBefore(t *testing.T) {
	d := newReadyDaemon(t, engineEntry("e1"))
	catalog := newCatalog(2)
	for i := range catalog.Routes {
		catalog.Routes[i].Timeout, catalog.Routes[i].PauseTarget = 6*time.Second, 400*time.Millisecond
	}
	d.reduce(vrevent.CatalogSeen{Catalog: catalog})
	notice := func(delayMs int64) {
		d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Boot: "b", Notices: &vrwire.Notices{
			Epoch: 9, Items: []vrwire.Notice{{Kind: vrwire.NoticeLoading, Service: "lm", Model: "m", Server: "e1", Delay: delayMs}},
		}}})
	}
	require.Empty(t, d.arrive("stream"))
	notice(2500)
	for _, effect := range d.runFor(100*time.Millisecond, storeDown) {
		_, refused := effect.(vrevent.RefuseCall)
		require.False(t, refused, "the client waits for 3.2 s")
	}
	notice(4000)
	refusal := d.requireRefused(d.runFor(100*time.Millisecond, storeDown))
	require.True(t, refusal.NotRun)
	require.InDelta(t, 4000, refusal.RetryAfter.Milliseconds(), 100)
}

// A shutdown must not keep calls waiting until the process ends. They must be refused while
// other daemons can still serve them. Otherwise they get no response, which was reported
// as LOST in scenario scale-2 of hfw-fit.
func TestShutdownAnswersWaitingCalls(t *testing.T) {
	d := newReadyDaemon(t, engineEntry("e1"))
	d.arrive("stream")
	d.reduce(vrevent.ShutdownRequested{})
	refusal := d.requireRefused(d.reduce(vrevent.GracePeriodEnding{}))
	require.True(t, refusal.NotRun)
	require.Equal(t, vrwire.ReasonShuttingDown, refusal.Reason)
	require.True(t, d.requireCallRefused("stream").NotRun)
}

// Only a daemon whose lease was acknowledged recently may give orders, and each order must carry
// the expiry of the lease.
func TestOrdersRequireLease(t *testing.T) {
	d := newReadyDaemon(t, engineEntry("e1"))
	answer := func(effect vrevent.Effect) vrevent.Event {
		if e, ok := effect.(vrevent.ReadStatus); ok {
			return vrevent.StatusRead{Server: e.Server, Status: &vrevent.ServerStatus{Born: 1}}
		}
		return d.storeUp(effect)
	}
	d.arrive("stream")
	var orders []vrevent.PlacementOrder
	for _, effect := range d.runFor(1500*time.Millisecond, answer) {
		if order, ok := effect.(vrevent.SendPlacementOrder); ok {
			orders = append(orders, order.Order)
		}
	}
	require.NotEmpty(t, orders)
	require.LessOrEqual(t, orders[0].LeaseExpiresAt.Sub(d.now), 3*time.Second)
	require.Positive(t, orders[0].Epoch)

	withoutLease := newReadyDaemon(t, engineEntry("e1"))
	withoutLease.arrive("stream")
	for _, effect := range withoutLease.runFor(time.Second, storeDown) {
		_, isOrder := effect.(vrevent.SendPlacementOrder)
		require.False(t, isOrder)
	}
}

// A call for a model that is being loaded must wait for the load. It must not be refused just
// because the placement owner has not sent a notice about it.
func TestCallWaitsForLoadInProgress(t *testing.T) {
	d := newReadyDaemon(t, engineEntry("e1"))
	answer := func(effect vrevent.Effect) vrevent.Event {
		switch e := effect.(type) {
		case vrevent.ReadStatus:
			return vrevent.StatusRead{Server: e.Server, Status: &vrevent.ServerStatus{Born: 1, OnDisk: []vrid.ModelID{"m"}}}
		case vrevent.SendPlacementOrder:
			return vrevent.OrderEnded{Order: e.Order, Outcome: vrevent.OrderAccepted}
		}
		return d.storeUp(effect)
	}
	d.runFor(time.Second, answer)
	d.arrive("stream")
	for _, effect := range d.runFor(900*time.Millisecond, answer) {
		_, isRefusal := effect.(vrevent.RefuseCall)
		require.False(t, isRefusal)
	}
	loaded := engineEntry("e1", "m")
	loaded.Beat = 1
	d.requireSent(d.reduce(vrevent.FleetChanged{Entries: []vrfleet.Entry{loaded}}))
}

// A server that fails twice in a row must be ejected for a while, and calls must go to the other
// servers meanwhile.
func TestFailingServerIsEjected(t *testing.T) {
	d := newReadyDaemon(t, appEntry("a1"), appEntry("a2"))
	failed := make(map[vrid.ServerID]int)
	for range 12 {
		send := d.requireSent(d.arrive("once"))
		if send.Server == "a1" {
			failed["a1"]++
			d.endSend(send, vrevent.AttemptBroken)
			continue
		}
		d.endSend(send, vrevent.AttemptAnswered)
	}
	require.LessOrEqual(t, failed["a1"], 3)
}

// A server's failure that was held back for a retry is the client's answer if no other server then takes
// the request. It was dropped for a 502 of the gateway when the retry was rejected or broken off.
func TestHeldServerErrorSurvivesFailedRetry(t *testing.T) {
	for _, result := range []vrevent.AttemptResult{vrevent.AttemptBusy, vrevent.AttemptNotSent, vrevent.AttemptBroken} {
		t.Run(result.String(), func(t *testing.T) {
			d := newReadyDaemon(t, appEntry("a1"), appEntry("a2"))
			second := d.requireSent(d.endSend(d.requireSentOn("read"), vrevent.AttemptServerError))
			effects := d.endSend(second, result)
			effects = append(effects, d.runFor(time.Second, storeDown)...)
			require.Contains(t, effects, vrevent.ForwardFailure{Call: second.Call})
		})
	}
}

// Guards against a daemon that resumes after a suspension and sends a server a waiting call whose deadline
// has passed meanwhile.
func TestWaitingCallIsNotSentPastItsDeadline(t *testing.T) {
	d := newReadyDaemon(t)
	require.Empty(t, sends(d.arrive("once")))
	d.now = d.now.Add(12 * time.Second)
	effects := d.reduce(vrevent.FleetChanged{Version: 2, Entries: []vrfleet.Entry{appEntry("a1")}})
	require.Empty(t, sends(effects))
	require.True(t, d.requireRefused(effects).NotRun)
}
