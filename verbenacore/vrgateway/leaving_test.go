package vrgateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// leavingNotices returns the daemons that are told that a process of a server leaves, each with the epoch
// of its message.
func leavingNotices(effects []vrevent.Effect, server vrid.ServerID, born int64) map[vrid.DaemonID]vrid.Epoch {
	told := make(map[vrid.DaemonID]vrid.Epoch)
	for _, effect := range effects {
		send, ok := effect.(vrevent.SendPeer)
		if !ok || send.Envelope.Notices == nil {
			continue
		}
		for _, notice := range send.Envelope.Notices.Items {
			if notice.Kind == vrwire.NoticeLeaving && notice.Server == server && notice.Born == born {
				told[send.Peer] = send.Envelope.Notices.Epoch
			}
		}
	}
	return told
}

// Guards against calls to a server that has stated in a response that it leaves (DRAIN): a registration of
// the store, its copy, the feeder's repeat, or one that lapsed and was renewed made it accept work again.
func TestServerThatLeavesByResponseStaysLeaving(t *testing.T) {
	for name, mislead := range map[string]func(d *daemon){
		"nothing": func(*daemon) {},
		"renewed as ready": func(d *daemon) {
			d.reduce(vrevent.FleetChanged{Version: 2, Entries: []vrfleet.Entry{renewed(appEntry("a1"), 9)}})
		},
		"listed as ready": func(d *daemon) {
			d.reduce(vrevent.FleetListed{Version: 2, Entries: []vrfleet.Entry{renewed(appEntry("a1"), 9), appEntry("a2")}})
		},
		"store lost": func(d *daemon) {
			d.reduce(vrevent.StoreLost{})
			d.runFor(20*time.Second, storeDown)
		},
		"store recovered": func(d *daemon) {
			d.reduce(vrevent.StoreLost{})
			d.reduce(vrevent.StoreRecovered{})
			d.reduce(vrevent.FleetListed{Version: 2, Entries: []vrfleet.Entry{renewed(appEntry("a1"), 9), appEntry("a2")}})
			d.runFor(3*time.Second, storeDown)
		},
		"removed and renewed": func(d *daemon) {
			d.reduce(vrevent.FleetChanged{Version: 2, Removed: []vrid.ServerID{"a1"}})
			d.reduce(vrevent.FleetChanged{After: 2, Version: 3, Entries: []vrfleet.Entry{renewed(appEntry("a1"), 9)}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newReadyDaemon(t, appEntry("a1"), appEntry("a2"))
			send := d.requireSentTo("once", "a1")
			require.EqualValues(t, 1, send.Born)
			d.reduce(vrevent.ServerLeaving{Server: send.Server, Born: send.Born})
			mislead(d)
			for range 8 {
				require.EqualValues(t, "a2", d.requireSentOn("once").Server)
			}
			require.Empty(t, d.endSend(send, vrevent.AttemptAnswered), "what is under way goes on")
			require.EqualValues(t, 1, d.state.Counts().Delivered)
		})
	}
}

// Guards against a response that arrives after its server's registration was removed: with the next renewal
// of the registration the server got calls again.
func TestResponseAfterRemovalKeepsServerLeaving(t *testing.T) {
	d := newReadyDaemon(t, appEntry("a1"))
	send := d.requireSentOn("once")
	d.reduce(vrevent.FleetChanged{Version: 2, Removed: []vrid.ServerID{"a1"}})
	d.reduce(vrevent.ServerLeaving{Server: send.Server, Born: send.Born})
	d.reduce(vrevent.FleetChanged{After: 2, Version: 3, Entries: []vrfleet.Entry{renewed(appEntry("a1"), 9)}})
	require.Empty(t, d.arrive("once"))
}

// leavingChecks returns the effects that ask servers whether they leave.
func leavingChecks(effects []vrevent.Effect) []vrevent.CheckLeaving {
	var checks []vrevent.CheckLeaving
	for _, effect := range effects {
		if check, ok := effect.(vrevent.CheckLeaving); ok {
			checks = append(checks, check)
		}
	}
	return checks
}

// appEntryOf returns the entry of a process of a1.
func appEntryOf(born int64) vrfleet.Entry {
	entry := appEntry("a1")
	entry.Born, entry.Beat = born, uint64(born)
	return entry
}

// Guards against a server that gets no calls after it has started again under its id, because its former
// process left or a late response of that one arrived.
func TestNextProcessOfLeavingServerGetsCalls(t *testing.T) {
	d := newReadyDaemon(t, appEntry("a1"))
	send := d.requireSentOn("once")
	d.reduce(vrevent.ServerLeaving{Server: "a1", Born: send.Born})
	require.Empty(t, d.arrive("once"))
	require.Empty(t, leavingChecks(d.runFor(25*time.Millisecond, storeDown)), "the process that leaves is not asked")
	d.reduce(vrevent.FleetChanged{Version: 2, Entries: []vrfleet.Entry{appEntryOf(2)}})
	require.Equal(t, []vrevent.CheckLeaving{{Server: "a1", Address: "a1", Born: 2}}, leavingChecks(d.runFor(25*time.Millisecond, storeDown)))
	require.Len(t, sends(d.reduce(vrevent.LeavingChecked{Server: "a1", Born: 2})), 1, "the call that waited")
	d.reduce(vrevent.ServerLeaving{Server: "a1", Born: send.Born})
	require.Len(t, leavingChecks(d.runFor(600*time.Millisecond, storeDown)), 1)
	d.reduce(vrevent.LeavingChecked{Server: "a1", Born: 2})
	require.EqualValues(t, 2, d.requireSentOn("once").Born)
	require.Empty(t, leavingChecks(d.runFor(time.Second, storeDown)))
}

// Guards against calls to a server that has said that it leaves, if the daemon did not know yet that the
// server had started again when it sent the request: the next registration is of the process that leaves.
func TestLeavingProcessGetsNoCallsOnceItRegisters(t *testing.T) {
	removed := vrevent.FleetChanged{Version: 2, Removed: []vrid.ServerID{"a1"}}
	registered := vrevent.FleetChanged{Version: 3, Entries: []vrfleet.Entry{appEntryOf(2)}}
	leaving := vrevent.ServerLeaving{Server: "a1", Born: 1}
	for name, events := range map[string][]vrevent.Event{
		"response before registration": {leaving, registered},
		"response after registration":  {registered, leaving},
		"removed in between":           {leaving, removed, registered},
		"response after removal":       {removed, leaving, registered},
		"told by a daemon before": {
			vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: &vrwire.Notices{Epoch: 1, Items: []vrwire.Notice{
				{Kind: vrwire.NoticeLeaving, Server: "a1", Born: 1},
			}}}}, leaving, registered,
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newReadyDaemon(t, appEntryOf(1))
			d.requireSentOn("once")
			for _, event := range events {
				d.reduce(event)
			}
			require.Empty(t, sends(d.arrive("once")))
			require.Len(t, leavingChecks(d.runFor(25*time.Millisecond, storeDown)), 1)
			d.reduce(vrevent.LeavingChecked{Server: "a1", Born: 1})
			require.Empty(t, sends(d.runFor(50*time.Millisecond, storeDown)), "the answer of an earlier process")
			d.reduce(vrevent.ServerLeaving{Server: "a1", Born: 2})
			d.reduce(vrevent.LeavingChecked{Server: "a1", Born: 2})
			require.Empty(t, sends(d.arrive("once")))
			require.Empty(t, leavingChecks(d.runFor(time.Second, storeDown)))
		})
	}
}

// noticeLoading submits the placement owner's notice that a server loads model m in the given time.
func (d *daemon) noticeLoading(server vrid.ServerID, delay time.Duration) []vrevent.Effect {
	return d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: &vrwire.Notices{
		Epoch: 9, Items: []vrwire.Notice{{Kind: vrwire.NoticeLoading, Service: "lm", Model: "m", Server: server, Delay: delay.Milliseconds()}},
	}}})
}

// Guards against a waiting call that is sent to a server which has left by a response while it loaded the
// call's model. The call has to move to another server that gets the model.
func TestWaitingCallIsNotSentToLeavingServer(t *testing.T) {
	d := newReadyDaemon(t, engineEntry("e1"), engineEntry("e2"))
	require.Empty(t, d.arrive("stream"))
	require.Empty(t, d.noticeLoading("e1", time.Second))
	require.Empty(t, d.reduce(vrevent.ServerLeaving{Server: "e1", Born: 1}))
	require.Empty(t, d.reduce(vrevent.FleetChanged{Version: 2, Entries: []vrfleet.Entry{renewed(engineEntry("e1", "m"), 9)}}))
	moved := d.reduce(vrevent.FleetChanged{After: 2, Version: 3, Entries: []vrfleet.Entry{renewed(engineEntry("e2", "m"), 9)}})
	require.EqualValues(t, "e2", d.requireSent(moved).Server)
}

// Guards against a Retry-After that names the end of a load at a server that leaves, whether the placement
// owner announced the load before or, not knowing that the server leaves, afterwards.
func TestRetryAfterNamesNoLoadOfLeavingServer(t *testing.T) {
	const loadTime = 1500 * time.Millisecond
	for _, announced := range []string{"before", "after"} {
		d := newReadyDaemon(t, engineEntry("e1"), engineEntry("e2"))
		require.Empty(t, d.arrive("stream"))
		if announced == "before" {
			d.noticeLoading("e1", loadTime)
		}
		d.reduce(vrevent.ServerLeaving{Server: "e1", Born: 1})
		if announced == "after" {
			d.noticeLoading("e1", loadTime)
		}
		d.lastCallID++
		require.Empty(t, d.reduce(vrevent.CallArrived{Call: vrevent.Call{
			ID: d.lastCallID, Request: "r", Host: "h", Path: "/stream/x", Timeout: 800 * time.Millisecond, Model: "m",
		}}))
		refusal := d.requireRefused(d.runFor(600*time.Millisecond, storeDown))
		require.Equal(t, d.lastCallID, refusal.Call)
		require.True(t, refusal.NotRun)
		require.Equal(t, 300*time.Millisecond, refusal.RetryAfter, announced)
	}
}

// Guards against calls that wait for the only server of their service past its leaving: they have to be
// refused soon, as not run.
func TestCallsAreRefusedWhenTheOnlyServerLeaves(t *testing.T) {
	d := newReadyDaemon(t, appEntry("a1"))
	d.reduce(vrevent.StoreLost{})
	d.reduce(vrevent.ServerLeaving{Server: "a1", Born: 1})
	require.Empty(t, d.arrive("once"))
	refusal := d.requireRefused(d.runFor(300*time.Millisecond, storeDown))
	require.True(t, refusal.NotRun)
	require.Positive(t, refusal.RetryAfter)
}

// Guards against a hedge, with or without a reserved place, at a server that leaves by its response to
// another call or to the request for the place.
func TestLeavingServerGetsNoHedge(t *testing.T) {
	d, send := newStreamingDaemon(t)
	reserve := d.reservePlace(send, 0)
	require.EqualValues(t, 1, reserve.Born)
	require.Empty(t, d.reduce(vrevent.ServerLeaving{Server: reserve.Server, Born: reserve.Born}))
	require.Empty(t, d.reduce(placeReserved(send, reserve)))

	d = newReadyDaemon(t, appEntry("a1"), appEntry("a2"))
	send = d.requireSentTo("read", "a1")
	d.reduce(vrevent.ServerLeaving{Server: "a2", Born: 1})
	d.now = send.FirstByteDeadline
	require.Empty(t, d.reduce(vrevent.SendStalled{Call: send.Call, Send: send.Send, Silence: 500 * time.Millisecond}))
}

// Guards against daemons that go on sending calls to a server whose leaving only one of them has seen: the
// placement owner has to tell all, once, whether a response or a daemon told it.
func TestOwnerAnnouncesServerThatLeavesByResponse(t *testing.T) {
	report := &vrwire.Envelope{From: "d2", Notices: &vrwire.Notices{Items: []vrwire.Notice{{Kind: vrwire.NoticeLeaving, Server: "a1", Born: 1}}}}
	for name, event := range map[string]vrevent.Event{
		"response": vrevent.ServerLeaving{Server: "a1", Born: 1},
		"daemon":   vrevent.PeerMessage{Envelope: report},
	} {
		t.Run(name, func(t *testing.T) {
			d := newOwner(t, appEntry("a1"), appEntry("a2"))
			d.reduce(vrevent.PeersListed{Peers: []vrevent.Peer{{Daemon: "d1", Address: "1"}, {Daemon: "d2", Address: "2"}, {Daemon: "d3", Address: "3"}}})
			told := leavingNotices(d.reduce(event), "a1", 1)
			require.Len(t, told, 2)
			for _, daemon := range []vrid.DaemonID{"d2", "d3"} {
				require.Positive(t, told[daemon], "an owner's notice carries its epoch")
			}
			require.Empty(t, leavingNotices(d.reduce(event), "a1", 1), "repeated")
			require.EqualValues(t, "a2", d.requireSentOn("once").Server)
			counts := d.state.Counts()
			require.EqualValues(t, 1, counts.LeavingByResponse+counts.LeavingByDaemon)
		})
	}
}

// Guards against a placement owner that learns of a server's leaving only from the store, because it sends
// the server no calls itself: the daemon that did has to tell it.
func TestDaemonTellsOwnerOfLeavingServer(t *testing.T) {
	d := newReadyDaemon(t, appEntry("a1"), appEntry("a2"))
	d.reduce(vrevent.PeersListed{Peers: []vrevent.Peer{{Daemon: "d1", Address: "1"}, {Daemon: "d2", Address: "2"}}})
	d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: &vrwire.Notices{Epoch: 9}}})
	leaving := vrevent.ServerLeaving{Server: "a1", Born: 1}
	require.Equal(t, map[vrid.DaemonID]vrid.Epoch{"d2": 0}, leavingNotices(d.reduce(leaving), "a1", 1))
	require.Empty(t, leavingNotices(d.reduce(leaving), "a1", 1), "repeated")
}

// Guards against other notices of a daemon that is not the placement owner having an effect: only the owner
// may say what servers load.
func TestOnlyLeavingIsTakenFromOtherDaemons(t *testing.T) {
	d := newReadyDaemon(t, engineEntry("e1", "m"), engineEntry("e2", "m"))
	d.reduce(vrevent.PeersListed{Peers: []vrevent.Peer{{Daemon: "d1", Address: "1"}, {Daemon: "d2", Address: "2"}, {Daemon: "d3", Address: "3"}}})
	d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: &vrwire.Notices{Epoch: 9}}})
	d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d3", Notices: &vrwire.Notices{Items: []vrwire.Notice{
		{Kind: vrwire.NoticeLeaving, Server: "e1", Born: 1}, {Kind: vrwire.NoticeUnloading, Service: "lm", Model: "m", Server: "e2"},
	}}}})
	require.EqualValues(t, "e2", d.requireSentOn("stream").Server)
}

// Guards against orders of the placement owner to a server that has left by a response, while its
// registration says that it is ready.
func TestOwnerGivesNoOrderToLeavingServer(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		d := newOwner(t, engineEntry("e1"))
		if leaves {
			d.reduce(vrevent.ServerLeaving{Server: "e1", Born: 1})
		}
		effects := d.arrive("stream")
		effects = append(effects, d.runFor(time.Second, func(effect vrevent.Effect) vrevent.Event {
			if read, ok := effect.(vrevent.ReadStatus); ok {
				require.EqualValues(t, 1, read.Born)
				return vrevent.StatusRead{Server: read.Server, Status: &vrevent.ServerStatus{Born: 1}}
			}
			return d.storeUp(effect)
		})...)
		orders := 0
		for _, effect := range effects {
			if order, ok := effect.(vrevent.SendPlacementOrder); ok {
				require.EqualValues(t, 1, order.Order.Born)
				orders++
			}
		}
		require.Equal(t, leaves, orders == 0)
	}
}

// Guards against a log line for each response of a server that leaves.
func TestLeavingIsLoggedOnce(t *testing.T) {
	d := newReadyDaemon(t, appEntry("a1"))
	lines := 0
	for range 3 {
		d.reduce(vrevent.ServerLeaving{Server: "a1", Born: 1})
		for _, effect := range d.out.List {
			if line, ok := effect.(vrevent.Log); ok && line.Message == "server leaving" {
				lines++
			}
		}
	}
	require.Equal(t, 1, lines)
}
