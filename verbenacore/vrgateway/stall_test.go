package vrgateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrretry"
)

// newStreamingDaemon returns a daemon with two servers that reserve places, and a call whose stream
// has begun on one of them.
func newStreamingDaemon(t *testing.T) (*daemon, vrevent.SendCall) {
	d := newReadyDaemon(t, engineEntry("e1", "m"), engineEntry("e2", "m"))
	catalog := newCatalog(2)
	for i := range catalog.Routes {
		catalog.Routes[i].PauseTarget = 100 * time.Millisecond
	}
	catalog.Services[1].Engine.MaxReservation = 2 * time.Second
	d.reduce(vrevent.CatalogSeen{Catalog: catalog})
	send := d.requireSent(d.arrive("stream"))
	require.Equal(t, 400*time.Millisecond, send.MaxPause)
	d.reduce(vrevent.FirstByteReceived{Call: send.Call, Send: send.Send})
	return d, send
}

// A stream that stalls must be given up only once another server has reserved a place for it, and then
// go on there. Streams of sound servers were cut because the other server was full or the retry budget
// spent (LOST on hfw-fit-grown).
func TestStalledStreamMovesOnlyToReservedPlace(t *testing.T) {
	d, send := newStreamingDaemon(t)
	stalled := vrevent.SendStalled{Call: send.Call, Send: send.Send}
	reserve, ok := d.reduce(stalled)[0].(vrevent.ReservePlace)
	require.True(t, ok)
	require.NotEqual(t, send.Server, reserve.Server)
	require.Empty(t, d.reduce(stalled), "the answer about the place is still to come")
	require.Empty(t, d.reduce(vrevent.PlaceReserved{Call: send.Call, Send: send.Send, Server: reserve.Server, Detail: "full"}))

	require.NotEmpty(t, d.reduce(stalled), "a place is asked for again while the pause goes on")
	reserved := vrevent.PlaceReserved{Call: send.Call, Send: send.Send, Server: reserve.Server, Reservation: "h1"}
	require.Equal(t, []vrevent.Effect{vrevent.AbandonSend{Call: send.Call, Send: send.Send}}, d.reduce(reserved))
	next := d.requireSent(d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptTimedOut, PartForwarded: true, Events: 3}))
	require.Equal(t, reserve.Server, next.Server)
	require.Equal(t, reserved.Reservation, next.Reservation)
	require.True(t, next.Resume)
}

// Nothing may be asked of another server if the call could not go on there.
func TestStalledStreamStaysWithoutAlternative(t *testing.T) {
	for name, prepare := range map[string]func(d *daemon){
		"retry budget spent": func(d *daemon) {
			d.reduce(vrevent.RetryOptionsChanged{Options: vrretry.Options{Window: 10 * time.Second}})
		},
		"other server left": func(d *daemon) { d.reduce(vrevent.FleetListed{Entries: nil}) },
		"grace period over": func(d *daemon) { d.reduce(vrevent.GracePeriodEnding{}) },
		"no reservations": func(d *daemon) {
			d.reduce(vrevent.CatalogSeen{Catalog: newCatalog(3)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			d, send := newStreamingDaemon(t)
			prepare(d)
			require.Empty(t, d.reduce(vrevent.SendStalled{Call: send.Call, Send: send.Send}))
		})
	}
}

// Where no place can be had, because servers reserve none or all refused or did not answer, a stream that
// has begun must stay with its server until shortly before its client would leave, and go on at another
// server then. Streams of hung servers were held until their clients left.
func TestStreamMovesWithoutPlaceBeforeClientLeaves(t *testing.T) {
	// The client of the test's route leaves after a gap of 2 s.
	const early, last = 1400 * time.Millisecond, 1500 * time.Millisecond
	for name, prepare := range map[string]func(d *daemon, send vrevent.SendCall){
		"no reservations": func(d *daemon, _ vrevent.SendCall) {
			d.reduce(vrevent.CatalogSeen{Catalog: newCatalog(3)})
		},
		"refused": func(d *daemon, send vrevent.SendCall) {
			for _, effect := range d.reduce(vrevent.SendStalled{Call: send.Call, Send: send.Send, Silence: early}) {
				if reserve, ok := effect.(vrevent.ReservePlace); ok {
					d.reduce(vrevent.PlaceReserved{Call: send.Call, Send: send.Send, Server: reserve.Server, Detail: "full"})
				}
			}
		},
		"no answer": func(d *daemon, send vrevent.SendCall) {
			d.reduce(vrevent.SendStalled{Call: send.Call, Send: send.Send, Silence: early})
		},
	} {
		start := func(t *testing.T) (d *daemon, stalled vrevent.SendStalled) {
			d, send := newStreamingDaemon(t)
			prepare(d, send)
			return d, vrevent.SendStalled{Call: send.Call, Send: send.Send, Silence: last}
		}
		t.Run(name, func(t *testing.T) {
			d, stalled := start(t)
			stalled.Silence = early
			require.NotContains(t, d.reduce(stalled), vrevent.AbandonSend{Call: stalled.Call, Send: stalled.Send})
			stalled.Silence = last
			require.Equal(t, []vrevent.Effect{vrevent.AbandonSend{Call: stalled.Call, Send: stalled.Send}}, d.reduce(stalled))
			next := d.requireSent(d.reduce(vrevent.SendEnded{Call: stalled.Call, Send: stalled.Send, Result: vrevent.AttemptTimedOut, PartForwarded: true, Events: 3}))
			require.True(t, next.Resume)
			require.Empty(t, next.Reservation)
		})
		for condition, spoil := range map[string]func(d *daemon){
			"retry budget spent": func(d *daemon) {
				d.reduce(vrevent.RetryOptionsChanged{Options: vrretry.Options{Window: 10 * time.Second}})
			},
			"other server left": func(d *daemon) { d.reduce(vrevent.FleetListed{Entries: nil}) },
			"little time left":  func(d *daemon) { d.now = d.now.Add(1750 * time.Millisecond) },
		} {
			t.Run(name+", "+condition, func(t *testing.T) {
				d, stalled := start(t)
				spoil(d)
				require.Empty(t, d.reduce(stalled))
			})
		}
	}
}

// A place that is reserved must be used, and not another server without one, also shortly before the client
// leaves.
func TestReservedPlaceIsUsedBeforeClientLeaves(t *testing.T) {
	d, send := newStreamingDaemon(t)
	stalled := vrevent.SendStalled{Call: send.Call, Send: send.Send, Silence: 1500 * time.Millisecond}
	reserve, ok := d.reduce(stalled)[0].(vrevent.ReservePlace)
	require.True(t, ok, "a place is asked for first")
	d.reduce(vrevent.PlaceReserved{Call: send.Call, Send: send.Send, Server: reserve.Server, Reservation: "h1"})
	require.Len(t, d.reduce(stalled), 1)
	next := d.requireSent(d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptTimedOut, PartForwarded: true, Events: 3}))
	require.EqualValues(t, "h1", next.Reservation)
}

// A place that came too late, or whose server has left, must not be used.
func TestLapsedReservationIsNotUsed(t *testing.T) {
	d, send := newStreamingDaemon(t)
	reserve := d.reduce(vrevent.SendStalled{Call: send.Call, Send: send.Send})[0].(vrevent.ReservePlace)
	d.reduce(vrevent.PlaceReserved{Call: send.Call, Send: send.Send, Server: reserve.Server, Reservation: "h1"})
	d.now = d.now.Add(reserve.Duration)
	next := d.requireSent(d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptBroken, PartForwarded: true, Events: 3}))
	require.Empty(t, next.Reservation)
}

// The retry for which a place was reserved is in the budget already. If it were taken once more, the
// call could not go on after its stalled send was given up.
func TestRetryOfMovedStreamIsCountedOnce(t *testing.T) {
	d, send := newStreamingDaemon(t)
	// 0.8 of the slack is used: one retry.
	d.reduce(vrevent.RetryOptionsChanged{Options: vrretry.Options{Slack: 1.25, Window: 10 * time.Second}})
	reserve, ok := d.reduce(vrevent.SendStalled{Call: send.Call, Send: send.Send})[0].(vrevent.ReservePlace)
	require.True(t, ok)
	d.reduce(vrevent.PlaceReserved{Call: send.Call, Send: send.Send, Server: reserve.Server, Reservation: "h1"})
	next := d.requireSent(d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptTimedOut, PartForwarded: true, Events: 3}))
	require.Equal(t, reserve.Server, next.Server)
}

// A place that can no longer be used, because its server began to leave or its reservation lapsed while
// the answer was on its way, must not end the stalled send: the call would have nowhere to go on and be
// cut, although its server is sound.
func TestUnusablePlaceDoesNotEndStalledSend(t *testing.T) {
	for name, spoil := range map[string]func(d *daemon, reserve vrevent.ReservePlace){
		"server is draining": func(d *daemon, reserve vrevent.ReservePlace) {
			draining := engineEntry(reserve.Server, "m")
			draining.State, draining.Beat = vrfleet.StateDraining, 1
			d.reduce(vrevent.FleetChanged{Entries: []vrfleet.Entry{draining}})
		},
		"server is gone": func(d *daemon, reserve vrevent.ReservePlace) {
			d.reduce(vrevent.FleetChanged{Removed: []vrid.ServerID{reserve.Server}})
		},
		"reservation lapsed": func(d *daemon, reserve vrevent.ReservePlace) { d.now = d.now.Add(reserve.Duration) },
		"reservation is about to lapse": func(d *daemon, reserve vrevent.ReservePlace) {
			d.now = d.now.Add(reserve.Duration - 100*time.Millisecond)
		},
		"grace period over": func(d *daemon, _ vrevent.ReservePlace) { d.reduce(vrevent.GracePeriodEnding{}) },
		"model was unloaded": func(d *daemon, reserve vrevent.ReservePlace) {
			entry := engineEntry(reserve.Server)
			entry.Beat = 1
			d.reduce(vrevent.FleetChanged{Entries: []vrfleet.Entry{entry}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			d, send := newStreamingDaemon(t)
			reserve, ok := d.reduce(vrevent.SendStalled{Call: send.Call, Send: send.Send})[0].(vrevent.ReservePlace)
			require.True(t, ok)
			spoil(d, reserve)
			for _, effect := range d.reduce(vrevent.PlaceReserved{Call: send.Call, Send: send.Send, Server: reserve.Server, Reservation: "h1"}) {
				require.NotEqual(t, vrevent.AbandonSend{Call: send.Call, Send: send.Send}, effect)
			}
		})
	}
}

// The retry that a stall takes from the budget must be counted in the window in which it is sent.
// Calls whose streams stalled without finding a place keep it; when they fail together later, the
// servers get more retries in one window than the budget allows (BUDGET).
func TestRetryReservedByStallIsCountedWhenSent(t *testing.T) {
	const calls, window = 8, 200 * time.Millisecond
	d := newReadyDaemon(t, engineEntry("e1", "m"), engineEntry("e2", "m"), engineEntry("e3", "m"))
	catalog := newCatalog(2)
	for i := range catalog.Routes {
		catalog.Routes[i].PauseTarget = 100 * time.Millisecond
	}
	catalog.Services[1].Engine.MaxReservation = 2 * time.Second
	d.reduce(vrevent.CatalogSeen{Catalog: catalog})
	// 0.8 of the slack is used: one retry in each window.
	d.reduce(vrevent.RetryOptionsChanged{Options: vrretry.Options{Slack: 1.25, Window: window}})
	var sends []vrevent.SendCall
	for range calls {
		sends = append(sends, d.requireSentOn("stream"))
	}
	for _, send := range sends {
		for _, effect := range d.reduce(vrevent.SendStalled{Call: send.Call, Send: send.Send}) {
			if reserve, ok := effect.(vrevent.ReservePlace); ok {
				d.reduce(vrevent.PlaceReserved{Call: send.Call, Send: send.Send, Server: reserve.Server, Detail: "full"})
			}
		}
		d.now = d.now.Add(window + window/10)
	}
	retries := 0
	for _, send := range sends {
		for _, effect := range d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptBroken, PartForwarded: true, Events: 1}) {
			if _, ok := effect.(vrevent.SendCall); ok {
				retries++
			}
		}
	}
	require.LessOrEqual(t, retries, 1, "retries within one window")
}

// A retry that was counted for a send that then went on must not be used much later, in a window in which it
// is not counted (BUDGET).
func TestCountedRetryLapses(t *testing.T) {
	const window = 200 * time.Millisecond
	d := newReadyDaemon(t, appEntry("a1"), appEntry("a2"))
	d.reduce(vrevent.RetryOptionsChanged{Options: vrretry.Options{Slack: 1.25, Window: window}})
	sends := []vrevent.SendCall{d.requireSentOn("read"), d.requireSentOn("read")}
	for _, send := range sends {
		require.Len(t, d.reduce(vrevent.SendStalled{Call: send.Call, Send: send.Send}), 1)
		d.now = d.now.Add(window + window/10)
	}
	d.now = d.now.Add(time.Second)
	d.requireSent(d.endSend(sends[0], vrevent.AttemptBroken))
	d.requireRefused(d.endSend(sends[1], vrevent.AttemptBroken))
}

// A stream that goes on at another server must not be given up there for its first event on the
// condition that a third one could take it when it was sent: that server may be full or the retry
// budget spent by then, and part of the stream was forwarded, so the client's connection is closed in
// the middle of the answer of a sound server (LOST).
func TestResumedStreamIsNotGivenUpForItsFirstEvent(t *testing.T) {
	d := newReadyDaemon(t, engineEntry("e1", "m"), engineEntry("e2", "m"), engineEntry("e3", "m"))
	catalog := newCatalog(2)
	for i := range catalog.Routes {
		catalog.Routes[i].PauseTarget, catalog.Routes[i].MaxAttempts = 100*time.Millisecond, 3
	}
	catalog.Services[1].Engine.MaxReservation = 2 * time.Second
	d.reduce(vrevent.CatalogSeen{Catalog: catalog})
	first := d.requireSentOn("stream")
	d.reduce(vrevent.FirstByteReceived{Call: first.Call, Send: first.Send})
	reserve, ok := d.reduce(vrevent.SendStalled{Call: first.Call, Send: first.Send})[0].(vrevent.ReservePlace)
	require.True(t, ok)
	d.reduce(vrevent.PlaceReserved{Call: first.Call, Send: first.Send, Server: reserve.Server, Reservation: "h1"})
	resumed := d.requireSent(d.reduce(vrevent.SendEnded{Call: first.Call, Send: first.Send, Result: vrevent.AttemptTimedOut, PartForwarded: true, Events: 3}))
	require.True(t, resumed.Resume)
	require.Zero(t, resumed.FirstByteDeadline)
}

// A refused reservation says nothing about the number of requests at a server, and must not make a
// server with a long queue look shorter than it reported.
func TestRefusedPlaceDoesNotHideQueue(t *testing.T) {
	d, send := newStreamingDaemon(t)
	reserve, ok := d.reduce(vrevent.SendStalled{Call: send.Call, Send: send.Send})[0].(vrevent.ReservePlace)
	require.True(t, ok)
	// The other server reports 4 running and 20 waiting requests, the stalled one 4 and 10.
	other := d.requireSentTo("single", reserve.Server)
	d.reduce(vrevent.SendEnded{Call: other.Call, Send: 1, Result: vrevent.AttemptAnswered, Load: &vrevent.ServerLoad{Running: 4, Waiting: 20}})
	own := d.requireSentTo("single", send.Server)
	d.reduce(vrevent.SendEnded{Call: own.Call, Send: 1, Result: vrevent.AttemptAnswered, Load: &vrevent.ServerLoad{Running: 4, Waiting: 10}})
	require.Equal(t, send.Server, d.requireSentOn("single").Server)
	d.reduce(vrevent.PlaceReserved{Call: send.Call, Send: send.Send, Server: reserve.Server, Detail: "status 503"})
	require.Equal(t, send.Server, d.requireSentOn("single").Server)
}

// A server that refused a place must not be asked again before all others were: they may have one.
func TestPlaceIsAskedOfEachServer(t *testing.T) {
	d := newReadyDaemon(t, engineEntry("e1", "m"), engineEntry("e2", "m"), engineEntry("e3", "m"), engineEntry("e4", "m"))
	catalog := newCatalog(2)
	catalog.Services[1].Engine.MaxReservation = 2 * time.Second
	d.reduce(vrevent.CatalogSeen{Catalog: catalog})
	send := d.requireSentOn("stream")
	d.reduce(vrevent.FirstByteReceived{Call: send.Call, Send: send.Send})
	for range 3 {
		asked := map[vrid.ServerID]bool{}
		for range 3 {
			reserve, ok := d.reduce(vrevent.SendStalled{Call: send.Call, Send: send.Send})[0].(vrevent.ReservePlace)
			require.True(t, ok)
			asked[reserve.Server] = true
			d.reduce(vrevent.PlaceReserved{Call: send.Call, Send: send.Send, Server: reserve.Server, Detail: "full"})
		}
		require.Len(t, asked, 3)
	}
}

// A stream that was given up for a pause shorter than minFirstByteTimeout (300 ms) must not count as a failure
// of its server, however long it ran before: routes with a short pause target would eject sound servers.
func TestBriefPauseIsNoFailure(t *testing.T) {
	for silence, ejected := range map[time.Duration]bool{200 * time.Millisecond: false, 400 * time.Millisecond: true} {
		t.Run(silence.String(), func(t *testing.T) {
			d := newReadyDaemon(t, engineEntry("e1", "m"), engineEntry("e2", "m"))
			catalog := newCatalog(2)
			catalog.Services[1].Engine.MaxReservation = 2 * time.Second
			d.reduce(vrevent.CatalogSeen{Catalog: catalog})
			wasEjected := false
			for range 20 {
				send := d.requireSentTo("stream", "e1")
				d.reduce(vrevent.FirstByteReceived{Call: send.Call, Send: send.Send})
				d.now = d.now.Add(time.Second)
				reserve, ok := d.reduce(vrevent.SendStalled{Call: send.Call, Send: send.Send, Silence: silence})[0].(vrevent.ReservePlace)
				require.True(t, ok)
				d.reduce(vrevent.PlaceReserved{Call: send.Call, Send: send.Send, Server: reserve.Server, Reservation: "h1"})
				next := d.requireSent(d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptTimedOut, PartForwarded: true, Events: 1}))
				for _, effect := range d.out.List {
					if line, ok := effect.(vrevent.Log); ok && line.Message == "server ejected" {
						wasEjected = true
					}
				}
				d.reduce(vrevent.SendEnded{Call: next.Call, Send: next.Send, Result: vrevent.AttemptAnswered})
				if wasEjected {
					break
				}
			}
			require.Equal(t, ejected, wasEjected)
		})
	}
}

// requireSentTo sends calls on a route until one goes to the server.
func (d *daemon) requireSentTo(route string, server vrid.ServerID) vrevent.SendCall {
	for range 100 {
		if send := d.requireSentOn(route); send.Server == server {
			return send
		}
	}
	require.Fail(d.t, "no call was sent to the server")
	return vrevent.SendCall{}
}
