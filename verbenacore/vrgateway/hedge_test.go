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
	"verbenaroute.example/verbenacore/vrwire"
)

// requireHedge requires that the only effect is a hedge.
func (d *daemon) requireHedge(effects []vrevent.Effect) vrevent.SendCall {
	d.t.Helper()
	require.Len(d.t, effects, 1)
	hedge, ok := effects[0].(vrevent.SendCall)
	require.True(d.t, ok, "%v", effects)
	require.True(d.t, hedge.Hedge && hedge.HoldErrors)
	return hedge
}

// newHedgedDaemon returns a daemon with the given servers, a send of a call on the route that is stalled
// before its first byte, and its hedge.
func newHedgedDaemon(t *testing.T, route string, entries ...vrfleet.Entry) (d *daemon, send, hedge vrevent.SendCall) {
	d = newReadyDaemon(t, entries...)
	send = d.requireSentOn(route)
	d.now = send.FirstByteDeadline
	hedge = d.requireHedge(d.reduce(vrevent.SendStalled{Call: send.Call, Send: send.Send, Silence: 500 * time.Millisecond}))
	require.NotEqual(t, send.Server, hedge.Server)
	require.False(t, hedge.Resume)
	return d, send, hedge
}

func threeAppServers() []vrfleet.Entry {
	return []vrfleet.Entry{appEntry("a1"), appEntry("a2"), appEntry("a3")}
}

// A slow but sound server must not be given up for another one that then refuses, fails or is slower: its
// answer is the only one under way. Clients got 502, cut streams, or nothing before they left.
func TestSlowSendGoesOnBesideItsHedge(t *testing.T) {
	for _, result := range []vrevent.AttemptResult{
		vrevent.AttemptBusy, vrevent.AttemptNotSent, vrevent.AttemptNotLoaded, vrevent.AttemptLeaving, vrevent.AttemptBroken,
		vrevent.AttemptTimedOut, vrevent.AttemptServerError, vrevent.AttemptSuperseded,
	} {
		t.Run(result.String(), func(t *testing.T) {
			d, send, hedge := newHedgedDaemon(t, "read", threeAppServers()...)
			require.Empty(t, d.endSend(hedge, result))
			require.Zero(t, d.state.Counts().Refused+d.state.Counts().Broken)
			require.Empty(t, d.endSend(send, vrevent.AttemptAnswered))
			require.EqualValues(t, 1, d.state.Counts().Delivered)
			require.Zero(t, d.state.OpenCalls())
		})
	}
}

// A stalled send must be hedged again if a server refused the first hedge.
func TestRefusedHedgeIsTriedElsewhere(t *testing.T) {
	d, send, hedge := newHedgedDaemon(t, "read", threeAppServers()...)
	stalled := vrevent.SendStalled{Call: send.Call, Send: send.Send, Silence: 600 * time.Millisecond}
	require.Empty(t, d.reduce(stalled), "a hedge is in progress")
	require.Empty(t, d.endSend(hedge, vrevent.AttemptBusy))
	second := d.requireHedge(d.reduce(stalled))
	require.NotContains(t, []vrid.ServerID{send.Server, hedge.Server}, second.Server)
	require.Empty(t, d.endSend(second, vrevent.AttemptBroken))
	require.Empty(t, d.reduce(stalled), "two servers may have run the call, which is all that its route allows")
}

// When the slow send fails, its hedge must take the call over, and nothing be sent or refused.
func TestHedgeTakesOverFromFailedSend(t *testing.T) {
	for _, result := range []vrevent.AttemptResult{
		vrevent.AttemptBusy, vrevent.AttemptBroken, vrevent.AttemptTimedOut, vrevent.AttemptServerError, vrevent.AttemptSuperseded,
	} {
		t.Run(result.String(), func(t *testing.T) {
			d, send, hedge := newHedgedDaemon(t, "read", threeAppServers()...)
			require.Empty(t, d.endSend(send, result))
			require.Empty(t, d.endSend(hedge, vrevent.AttemptAnswered))
			require.EqualValues(t, 1, d.state.Counts().Delivered)
			require.Zero(t, d.state.OpenCalls())
		})
	}
}

// The held failure of a server must reach the client if neither the send nor its hedge brings an answer.
func TestFailureOfHedgeIsForwardedIfSlowSendBreaks(t *testing.T) {
	d, send, hedge := newHedgedDaemon(t, "read", appEntry("a1"), appEntry("a2"))
	require.Empty(t, d.endSend(hedge, vrevent.AttemptServerError))
	require.Equal(t, []vrevent.Effect{vrevent.ForwardFailure{Call: send.Call}}, d.endSend(send, vrevent.AttemptBroken))
}

// A hedge needs another server that can take the call, room in the retry budget, and time. Otherwise a sound
// server would get repeats beyond the budget (BUDGET).
func TestSlowServerIsHedgedOnlyAtAnother(t *testing.T) {
	for _, route := range []string{"stream", "read"} {
		start := func(entries ...vrfleet.Entry) (d *daemon, stalled vrevent.SendStalled) {
			d = newReadyDaemon(t, append(entries, engineEntry("e1", "m"), engineEntry("e2"), appEntry("a1"))...)
			send := d.requireSentOn(route)
			require.Equal(t, d.now.Add(500*time.Millisecond), send.FirstByteDeadline)
			d.now = send.FirstByteDeadline
			return d, vrevent.SendStalled{Call: send.Call, Send: send.Send, Silence: 500 * time.Millisecond}
		}
		others := []vrfleet.Entry{engineEntry("e3", "m"), appEntry("a3")}
		alone, stalled := start()
		require.Empty(t, alone.reduce(stalled))
		alone.reduce(vrevent.FleetChanged{Entries: others})
		alone.requireHedge(alone.reduce(stalled))

		left, stalled := start(others...)
		left.reduce(vrevent.FleetChanged{Removed: []vrid.ServerID{"a1", "a3", "e1", "e3"}})
		require.Empty(t, left.reduce(stalled))

		spent, stalled := start(others...)
		spent.reduce(vrevent.RetryOptionsChanged{Options: vrretry.Options{Window: 10 * time.Second}})
		require.Empty(t, spent.reduce(stalled))

		late, stalled := start(others...)
		late.now = late.now.Add(1300 * time.Millisecond)
		require.Empty(t, late.reduce(stalled), "the call has 200 ms")

		ending, stalled := start(others...)
		ending.reduce(vrevent.GracePeriodEnding{})
		require.Empty(t, ending.reduce(stalled))
	}
}

// A hedge is one retry: it must be counted once, also when it takes the call over.
func TestHedgeIsCountedOnce(t *testing.T) {
	d := newReadyDaemon(t, appEntry("a1"), appEntry("a2"))
	// 0.8 of the slack is used: one retry.
	d.reduce(vrevent.RetryOptionsChanged{Options: vrretry.Options{Slack: 1.25, Window: 10 * time.Second}})
	send, other := d.requireSentOn("read"), d.requireSentOn("read")
	hedge := d.requireHedge(d.reduce(vrevent.SendStalled{Call: send.Call, Send: send.Send}))
	require.Empty(t, d.reduce(vrevent.SendStalled{Call: other.Call, Send: other.Send}))
	require.Empty(t, d.endSend(send, vrevent.AttemptTimedOut))
	require.Empty(t, d.endSend(hedge, vrevent.AttemptAnswered))
	require.EqualValues(t, 1, d.state.Counts().Delivered)
}

// A call of which a part of the prompt may crash servers must not be sent to a second one beside the first.
func TestSuspectedPromptIsNotHedged(t *testing.T) {
	d := newInformedDaemon(t, engineEntry("e1", "m"), engineEntry("e2", "m"), engineEntry("e3", "m"))
	slow := sends(d.arriveWith("stream", "deadly"))[0]
	crashed := sends(d.arriveWith("stream", "deadly"))[0]
	d.reduce(vrevent.SendEnded{Call: crashed.Call, Send: crashed.Send, Result: vrevent.AttemptBroken, ServerDown: true})
	d.now = slow.FirstByteDeadline
	require.Empty(t, sends(d.reduce(vrevent.SendStalled{Call: slow.Call, Send: slow.Send, Silence: 500 * time.Millisecond})))
}

// A stream that does not begin before its client leaves must be answered while the client is still there, and
// not be sent again. Clients left after two seconds without any answer, and did not come back.
func TestStreamThatDoesNotBeginIsAnsweredBeforeClientLeaves(t *testing.T) {
	d := newReadyDaemon(t, engineEntry("e1", "m"), engineEntry("e2", "m"), engineEntry("e3", "m"))
	arrivedAt := d.now
	send := d.requireSentOn("stream")
	// The client of the test's route leaves after 2 s.
	require.Equal(t, arrivedAt.Add(1960*time.Millisecond), send.BeginDeadline)
	d.now = send.FirstByteDeadline
	hedge := d.requireHedge(d.reduce(vrevent.SendStalled{Call: send.Call, Send: send.Send, Silence: 500 * time.Millisecond}))
	require.Equal(t, send.BeginDeadline, hedge.BeginDeadline)
	d.now = send.BeginDeadline
	require.Empty(t, d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptTimedOut}))
	refusal := d.requireRefused(d.reduce(vrevent.SendEnded{Call: hedge.Call, Send: hedge.Send, Result: vrevent.AttemptTimedOut}))
	require.Equal(t, vrwire.ReasonDeadlineExceeded, refusal.Reason)
	require.False(t, refusal.NotRun)
}

// A stream that goes on at another server has begun: its time is that of the call.
func TestResumedStreamHasNoBeginDeadline(t *testing.T) {
	d, send := newStreamingDaemon(t)
	hedge := d.requireHedge(d.reduce(placeReserved(send, d.reservePlace(send, 0))))
	require.Zero(t, hedge.BeginDeadline)
	d, send = newStreamingDaemon(t)
	next := d.requireSent(d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptBroken, PartForwarded: true, Events: 3}))
	require.Zero(t, next.BeginDeadline)
}

// The end of a call must release the servers of both sends, so that neither looks busy for good.
func TestEndOfHedgedCallReleasesBothServers(t *testing.T) {
	for name, end := range map[string]func(d *daemon, send, hedge vrevent.SendCall){
		"answered by the send":  func(d *daemon, send, _ vrevent.SendCall) { d.endSend(send, vrevent.AttemptAnswered) },
		"answered by the hedge": func(d *daemon, _, hedge vrevent.SendCall) { d.endSend(hedge, vrevent.AttemptAnswered) },
		"client gone":           func(d *daemon, send, _ vrevent.SendCall) { d.reduce(vrevent.ClientGone{Call: send.Call}) },
	} {
		t.Run(name, func(t *testing.T) {
			d, send, hedge := newHedgedDaemon(t, "read", appEntry("a1"), appEntry("a2"))
			end(d, send, hedge)
			require.Empty(t, d.endSend(send, vrevent.AttemptBroken))
			require.Empty(t, d.endSend(hedge, vrevent.AttemptBroken))
			for range 2 {
				d.requireSentOn("read")
				require.Equal(t, "1", d.dispatchedBusy(), "requests at the server, the new one included")
			}
		})
	}
}

// dispatchedBusy returns the number of requests at its server that the last dispatch logged.
func (d *daemon) dispatchedBusy() string {
	for _, effect := range d.out.List {
		line, ok := effect.(vrevent.Log)
		if !ok || line.Message != "call dispatched" {
			continue
		}
		for _, field := range line.Fields {
			if field.Name == "busy" {
				return field.Value
			}
		}
	}
	return ""
}

// newThreeAttemptDaemon returns a daemon with the given servers and routes that allow three attempts.
func newThreeAttemptDaemon(t *testing.T, entries ...vrfleet.Entry) *daemon {
	d := newReadyDaemon(t, entries...)
	catalog := newCatalog(2)
	for i := range catalog.Routes {
		catalog.Routes[i].PauseTarget, catalog.Routes[i].MaxAttempts = 100*time.Millisecond, 3
	}
	d.reduce(vrevent.CatalogSeen{Catalog: catalog})
	return d
}

// A hedge that takes over from a failed send must have a limit for its first byte where a third server may
// run the call. Its server was never reported as silent, and the call was held there until its client left.
func TestSilenceOfHedgeIsReportedAfterItTakesOver(t *testing.T) {
	d := newThreeAttemptDaemon(t, threeAppServers()...)
	send := d.requireSentOn("read")
	d.now = send.FirstByteDeadline
	hedge := d.requireHedge(d.reduce(vrevent.SendStalled{Call: send.Call, Send: send.Send, Silence: 500 * time.Millisecond}))
	require.Equal(t, d.now.Add(500*time.Millisecond), hedge.FirstByteDeadline)
	stalled := vrevent.SendStalled{Call: hedge.Call, Send: hedge.Send, Silence: 500 * time.Millisecond}
	d.now = hedge.FirstByteDeadline
	require.Empty(t, d.reduce(stalled), "the first send is still in progress")
	require.Empty(t, d.endSend(send, vrevent.AttemptBroken))
	last := d.requireHedge(d.reduce(stalled))
	require.NotContains(t, []vrid.ServerID{send.Server, hedge.Server}, last.Server)
	require.Zero(t, last.FirstByteDeadline, "no further server may run the call")
}

// A send that ended because the one beside it was faster says nothing against its server, so the call must
// be sent there if the faster one breaks and no other server is left. Streams were cut although a sound
// server could go on with them.
func TestServerOfSupersededSendIsUsedAgain(t *testing.T) {
	for _, hedgeWins := range []bool{false, true} {
		for _, spare := range []bool{false, true} {
			t.Run(fmt.Sprintf("hedge wins %t, spare server %t", hedgeWins, spare), func(t *testing.T) {
				entries := []vrfleet.Entry{engineEntry("e1", "m"), engineEntry("e2", "m")}
				if spare {
					entries = append(entries, engineEntry("e3", "m"))
				}
				d := newThreeAttemptDaemon(t, entries...)
				winner := d.requireSentOn("stream")
				d.reduce(vrevent.FirstByteReceived{Call: winner.Call, Send: winner.Send, Answer: true})
				loser := d.requireHedge(d.reduce(vrevent.SendStalled{Call: winner.Call, Send: winner.Send, Silence: 400 * time.Millisecond}))
				if hedgeWins {
					winner, loser = loser, winner
				}
				end := vrevent.SendEnded{Call: loser.Call, Send: loser.Send, Result: vrevent.AttemptSuperseded, PartForwarded: true, Events: 2}
				require.Empty(t, d.reduce(end))
				end.Send, end.Result = winner.Send, vrevent.AttemptBroken
				next := d.requireSent(d.reduce(end))
				require.True(t, next.Resume)
				require.NotEqual(t, winner.Server, next.Server)
				require.Equal(t, spare, next.Server != loser.Server, "a server that was not tried yet is preferred")
			})
		}
	}
}

// A stream that has begun and whose server breaks must wait a moment for the retry budget if that is spent,
// as it waits for a server. It was cut at once, with most of its time left, although other servers were free.
func TestBegunStreamWaitsForRetryBudget(t *testing.T) {
	for _, frees := range []bool{true, false} {
		t.Run(fmt.Sprint("budget frees ", frees), func(t *testing.T) {
			d := newThreeAttemptDaemon(t, engineEntry("e1", "m"), engineEntry("e2", "m"))
			options := vrretry.Options{Window: 10 * time.Second}
			d.reduce(vrevent.RetryOptionsChanged{Options: options})
			send := d.requireSentOn("stream")
			d.reduce(vrevent.FirstByteReceived{Call: send.Call, Send: send.Send, Answer: true})
			require.Empty(t, d.reduce(vrevent.SendEnded{
				Call: send.Call, Send: send.Send, Result: vrevent.AttemptBroken, PartForwarded: true, Events: 2,
			}))
			d.now = d.now.Add(vrevent.TickInterval)
			waiting := d.reduce(vrevent.Tick{})
			require.Empty(t, sends(waiting))
			require.NotContains(t, waiting, vrevent.Effect(vrevent.AbortCall{Call: send.Call}))
			if !frees {
				d.requireCutWithoutBudget(send)
				return
			}
			options.Slack = 10
			d.reduce(vrevent.RetryOptionsChanged{Options: options})
			next := sends(d.reduce(vrevent.Tick{}))
			require.Len(t, next, 1)
			require.True(t, next[0].Resume)
		})
	}
}

// requireCutWithoutBudget requires that a stream that waits for the retry budget is cut, and not sent, once it
// has waited for as long as for a server.
func (d *daemon) requireCutWithoutBudget(send vrevent.SendCall) {
	d.t.Helper()
	const maxServerWait = time.Second
	d.now = d.now.Add(maxServerWait)
	effects := d.reduce(vrevent.Tick{})
	require.Empty(d.t, sends(effects))
	require.Contains(d.t, effects, vrevent.Effect(vrevent.AbortCall{Call: send.Call}))
}
