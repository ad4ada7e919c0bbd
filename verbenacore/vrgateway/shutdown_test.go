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

// answerCalls lets a server answer some calls on a route, each after the duration.
func (d *daemon) answerCalls(route string, duration time.Duration) {
	d.t.Helper()
	const calls = 8
	for range calls {
		send := d.requireSentOn(route)
		d.now = d.now.Add(duration)
		d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptAnswered, Status: 200})
	}
}

// Guards against calls that come late in the grace period of a planned stop, are passed on to a server, and
// are cut at its end, among them calls that may not be repeated.
func TestCallThatOutlastsGraceIsRefused(t *testing.T) {
	const grace = 5 * time.Second
	for _, test := range []struct {
		name, route string
		duration    time.Duration
		// sentAt and refusedAt are times after the stop, zero if there is no such time.
		sentAt, refusedAt time.Duration
	}{
		{"short calls", "once", 50 * time.Millisecond, 4800 * time.Millisecond, 4960 * time.Millisecond},
		{"long calls", "once", 1500 * time.Millisecond, 3200 * time.Millisecond, 3600 * time.Millisecond},
		{"streams", "single", 1500 * time.Millisecond, 3200 * time.Millisecond, 3600 * time.Millisecond},
		// The timeout of the route is two seconds.
		{"unknown duration", "once", 0, 2900 * time.Millisecond, 3100 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newReadyDaemon(t, appEntry("a1"), engineEntry("e1", "m"))
			if test.duration > 0 {
				d.answerCalls(test.route, test.duration)
			}
			d.reduce(vrevent.ShutdownRequested{AnswerBy: d.now.Add(grace)})
			stoppedAt := d.now
			d.now = stoppedAt.Add(test.sentAt)
			d.requireSentOn(test.route)
			d.now = stoppedAt.Add(test.refusedAt)
			refusal := d.requireCallRefused(test.route)
			require.True(t, refusal.NotRun)
			require.Equal(t, vrwire.ReasonShuttingDown, refusal.Reason)
			require.Positive(t, refusal.RetryAfter)
		})
	}
}

// Guards against a call that waited for a server and is sent to one when it can't be answered any more.
func TestWaitingCallIsNotSentLateInGrace(t *testing.T) {
	d := newReadyDaemon(t, appEntry("a1"))
	d.answerCalls("once", time.Second)
	d.reduce(vrevent.FleetChanged{Version: 2, Removed: []vrid.ServerID{"a1"}})
	require.Empty(t, sends(d.arrive("once")))
	d.reduce(vrevent.ShutdownRequested{AnswerBy: d.now.Add(500 * time.Millisecond)})
	next := appEntry("a2")
	effects := d.reduce(vrevent.FleetChanged{Version: 3, Entries: []vrfleet.Entry{next}})
	require.Empty(t, sends(effects))
	require.True(t, d.requireRefused(effects).NotRun)
}

// Guards against a stream that is broken off during a stop although another server could go on with it.
func TestBegunStreamGoesOnLateInGrace(t *testing.T) {
	d := newReadyDaemon(t, engineEntry("e1", "m"), engineEntry("e2", "m"))
	d.answerCalls("stream", time.Second)
	send := d.requireSentOn("stream")
	d.reduce(vrevent.FirstByteReceived{Call: send.Call, Send: send.Send, Answer: true})
	d.reduce(vrevent.ShutdownRequested{AnswerBy: d.now.Add(500 * time.Millisecond)})
	effects := d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptBroken, PartForwarded: true, Events: 3})
	require.True(t, d.requireSent(effects).Resume)
}
