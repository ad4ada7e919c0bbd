package vrgateway_test

import (
	"fmt"
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

// reservePlace reports a send as stalled and returns the place that is asked for.
func (d *daemon) reservePlace(send vrevent.SendCall, silence time.Duration) vrevent.ReservePlace {
	d.t.Helper()
	effects := d.reduce(vrevent.SendStalled{Call: send.Call, Send: send.Send, Silence: silence})
	require.Len(d.t, effects, 1)
	reserve, ok := effects[0].(vrevent.ReservePlace)
	require.True(d.t, ok, "%v", effects)
	return reserve
}

func placeReserved(send vrevent.SendCall, reserve vrevent.ReservePlace) vrevent.PlaceReserved {
	return vrevent.PlaceReserved{Call: send.Call, Send: send.Send, Server: reserve.Server, Reservation: "h1"}
}

// A stream that stalls must go on while it is hedged at a server that has reserved a place for it. Streams of
// sound servers were cut because the other server was full or the retry budget spent (LOST on hfw-fit-grown),
// or because it refused the call although it had reserved the place (LOST on shuyuan-route).
func TestStalledStreamIsHedgedAtReservedPlace(t *testing.T) {
	d, send := newStreamingDaemon(t)
	stalled := vrevent.SendStalled{Call: send.Call, Send: send.Send}
	reserve := d.reservePlace(send, 0)
	require.NotEqual(t, send.Server, reserve.Server)
	require.Empty(t, d.reduce(stalled), "the answer about the place is still to come")
	require.Empty(t, d.reduce(vrevent.PlaceReserved{Call: send.Call, Send: send.Send, Server: reserve.Server, Detail: "full"}))

	reserve = d.reservePlace(send, 0)
	hedge := d.requireHedge(d.reduce(placeReserved(send, reserve)))
	require.Equal(t, reserve.Server, hedge.Server)
	require.EqualValues(t, "h1", hedge.Reservation)
	require.True(t, hedge.Resume)
	require.Empty(t, d.endSend(hedge, vrevent.AttemptBusy))
	require.Empty(t, d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptAnswered, PartForwarded: true, Events: 3}))
	require.EqualValues(t, 1, d.state.Counts().Delivered)
}

// Nothing may be asked of another server if the call could not go on there.
func TestStalledStreamStaysWithoutAlternative(t *testing.T) {
	for name, prepare := range map[string]func(d *daemon){
		"retry budget spent": func(d *daemon) {
			d.reduce(vrevent.RetryOptionsChanged{Options: vrretry.Options{Window: 10 * time.Second}})
		},
		"other server left": func(d *daemon) { d.reduce(vrevent.FleetListed{Entries: nil}) },
		"grace period over": func(d *daemon) { d.reduce(vrevent.GracePeriodEnding{}) },
	} {
		for _, reservations := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, reservations %t", name, reservations), func(t *testing.T) {
				d, send := newStreamingDaemon(t)
				if !reservations {
					d.reduce(vrevent.CatalogSeen{Catalog: newCatalog(3)})
				}
				prepare(d)
				require.Empty(t, d.reduce(vrevent.SendStalled{Call: send.Call, Send: send.Send}))
			})
		}
	}
}

// Where no place can be had, because all servers refused or did not answer, a stream that has begun must be
// hedged shortly before its client would leave, and at the first report where servers reserve none. Streams
// of hung servers were held until their clients left.
func TestStreamIsHedgedWithoutPlaceBeforeClientLeaves(t *testing.T) {
	// The client of the test's route leaves after a gap of 2 s.
	const first, early, last = 400 * time.Millisecond, 1400 * time.Millisecond, 1500 * time.Millisecond
	for name, test := range map[string]struct {
		prepare func(d *daemon, send vrevent.SendCall)
		// notAt is a silence at which the stream is not hedged yet, at one at which it is.
		notAt, at time.Duration
	}{
		"no reservations": {func(d *daemon, _ vrevent.SendCall) { d.reduce(vrevent.CatalogSeen{Catalog: newCatalog(3)}) }, 0, first},
		"refused": {func(d *daemon, send vrevent.SendCall) {
			for _, effect := range d.reduce(vrevent.SendStalled{Call: send.Call, Send: send.Send, Silence: early}) {
				if reserve, ok := effect.(vrevent.ReservePlace); ok {
					d.reduce(vrevent.PlaceReserved{Call: send.Call, Send: send.Send, Server: reserve.Server, Detail: "full"})
				}
			}
		}, early, last},
		"no answer": {func(d *daemon, send vrevent.SendCall) {
			d.reduce(vrevent.SendStalled{Call: send.Call, Send: send.Send, Silence: early})
		}, early, last},
	} {
		start := func(t *testing.T) (d *daemon, stalled vrevent.SendStalled) {
			d, send := newStreamingDaemon(t)
			test.prepare(d, send)
			return d, vrevent.SendStalled{Call: send.Call, Send: send.Send, Silence: test.at}
		}
		t.Run(name, func(t *testing.T) {
			d, stalled := start(t)
			if test.notAt > 0 {
				require.Empty(t, sends(d.reduce(vrevent.SendStalled{Call: stalled.Call, Send: stalled.Send, Silence: test.notAt})))
			}
			hedge := d.requireHedge(d.reduce(stalled))
			require.True(t, hedge.Resume)
			require.Empty(t, hedge.Reservation)
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
	reserve := d.reservePlace(send, 1500*time.Millisecond)
	hedge := d.requireHedge(d.reduce(placeReserved(send, reserve)))
	require.EqualValues(t, "h1", hedge.Reservation)
}

// A place that came too late must not be used.
func TestLapsedReservationIsNotUsed(t *testing.T) {
	d, send := newStreamingDaemon(t)
	reserve := d.reservePlace(send, 0)
	d.now = d.now.Add(reserve.Duration)
	require.Empty(t, d.reduce(placeReserved(send, reserve)))
	next := d.requireSent(d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptBroken, PartForwarded: true, Events: 3}))
	require.Empty(t, next.Reservation)
}

// A hedge at a reserved place is one retry. If it were counted once more when it takes the call over, the
// call could not go on after its stalled send has ended.
func TestHedgeAtReservedPlaceIsCountedOnce(t *testing.T) {
	d, send := newStreamingDaemon(t)
	// 0.8 of the slack is used: one retry.
	d.reduce(vrevent.RetryOptionsChanged{Options: vrretry.Options{Slack: 1.25, Window: 10 * time.Second}})
	hedge := d.requireHedge(d.reduce(placeReserved(send, d.reservePlace(send, 0))))
	require.Empty(t, d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptTimedOut, PartForwarded: true, Events: 3}))
	require.Empty(t, d.reduce(vrevent.SendEnded{Call: hedge.Call, Send: hedge.Send, Result: vrevent.AttemptAnswered, PartForwarded: true, Events: 5}))
	require.EqualValues(t, 1, d.state.Counts().Delivered)
}

// A place that can no longer be used, because its server began to leave or its reservation lapsed while
// the answer was on its way, must not be used: a server that leaves would get a call (DRAIN).
func TestUnusablePlaceIsNotUsed(t *testing.T) {
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
			reserve := d.reservePlace(send, 0)
			spoil(d, reserve)
			require.Empty(t, d.reduce(placeReserved(send, reserve)))
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

// A retry that was counted for a hedge must not be used once more when the send beside it fails: the servers
// would get more repeats in one window than the budget allows (BUDGET).
func TestRetryOfRefusedHedgeIsNotUsedAgain(t *testing.T) {
	for _, result := range []vrevent.AttemptResult{vrevent.AttemptBusy, vrevent.AttemptNotSent} {
		d, send := newStreamingDaemon(t)
		d.reduce(vrevent.FleetChanged{Entries: []vrfleet.Entry{engineEntry("e3", "m")}})
		d.reduce(vrevent.RetryOptionsChanged{Options: vrretry.Options{Slack: 1.25, Window: 10 * time.Second}})
		hedge := d.requireHedge(d.reduce(placeReserved(send, d.reservePlace(send, 0))))
		require.Empty(t, d.endSend(hedge, result))
		require.Empty(t, d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptBroken, PartForwarded: true, Events: 1}))
		d.requireCutWithoutBudget(send)
	}
}

// A stream that goes on at another server must not be hedged there for its first event without a place: no
// limit for it is set.
func TestResumedStreamHasNoLimitForItsFirstEvent(t *testing.T) {
	d := newReadyDaemon(t, engineEntry("e1", "m"), engineEntry("e2", "m"), engineEntry("e3", "m"))
	catalog := newCatalog(2)
	for i := range catalog.Routes {
		catalog.Routes[i].PauseTarget, catalog.Routes[i].MaxAttempts = 100*time.Millisecond, 3
	}
	catalog.Services[1].Engine.MaxReservation = 2 * time.Second
	d.reduce(vrevent.CatalogSeen{Catalog: catalog})
	first := d.requireSentOn("stream")
	d.reduce(vrevent.FirstByteReceived{Call: first.Call, Send: first.Send})
	hedge := d.requireHedge(d.reduce(placeReserved(first, d.reservePlace(first, 0))))
	require.Zero(t, hedge.FirstByteDeadline)
	require.Equal(t, 400*time.Millisecond, hedge.MaxPause, "a third server may run the call")
	require.Empty(t, d.reduce(vrevent.SendEnded{Call: first.Call, Send: first.Send, Result: vrevent.AttemptSuperseded, PartForwarded: true, Events: 3}))
	require.NotEqual(t, hedge.Server, d.reservePlace(hedge, 0).Server)
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

// A stream that was superseded after a pause shorter than minFirstByteTimeout (300 ms) must not count as a failure
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
				next := d.requireHedge(d.reduce(placeReserved(send, d.reservePlace(send, silence))))
				d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptSuperseded, PartForwarded: true, Events: 1})
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
