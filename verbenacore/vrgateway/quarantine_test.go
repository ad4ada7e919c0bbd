package vrgateway_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

// newInformedDaemon returns a daemon that has read that no part is blocked, with the given servers.
func newInformedDaemon(t *testing.T, entries ...vrfleet.Entry) *daemon {
	d := newReadyDaemon(t, entries...)
	d.reduce(vrevent.ObjectRead{Key: vrplatform.KeyQuarantine, Outcome: vrplatform.OutcomeNotFound})
	return d
}

// newOwner returns a daemon that is the placement owner, with the given servers.
func newOwner(t *testing.T, entries ...vrfleet.Entry) *daemon {
	d := newReadyDaemon(t, entries...)
	d.runFor(5*time.Second, d.storeUp)
	require.True(t, d.state.IsPlacementOwner(d.now))
	return d
}

// arriveWith submits a call for a stream whose prompt has the given shared parts.
func (d *daemon) arriveWith(route string, parts ...vrid.PromptPartID) []vrevent.Effect {
	d.lastCallID++
	return d.reduce(vrevent.CallArrived{Call: vrevent.Call{
		ID: d.lastCallID, Request: vrid.RequestID(fmt.Sprintf("r%d", d.lastCallID)), Host: "h", Path: "/" + route + "/x",
		Timeout: 10 * time.Second, Model: "m", PromptParts: parts,
	}})
}

// crash ends a send by a crash of its server.
func (d *daemon) crash(send vrevent.SendCall) []vrevent.Effect {
	d.now = d.now.Add(10 * time.Millisecond)
	return d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptBroken, ServerDown: true})
}

// sends returns the calls that effects send.
func sends(effects []vrevent.Effect) []vrevent.SendCall {
	var list []vrevent.SendCall
	for _, effect := range effects {
		if send, ok := effect.(vrevent.SendCall); ok {
			list = append(list, send)
		}
	}
	return list
}

// Requests with one part of their prompts crashed one server after the other, because each broken
// request was sent to the next server and each new one to any. The second crash under such a part
// has to end that, while calls with other parts go on.
func TestPromptThatCrashesServersIsKeptFromThem(t *testing.T) {
	for _, route := range []string{"stream", "single"} {
		t.Run(route, func(t *testing.T) {
			d := newOwner(t, engineEntry("e1", "m"), engineEntry("e2", "m"), engineEntry("e3", "m"), engineEntry("e4", "m"))
			sound := d.requireSent(d.arriveWith(route, "first", "second"))
			d.reduce(vrevent.FirstByteReceived{Call: sound.Call, Send: sound.Send, Answer: true})
			require.Empty(t, sends(d.crash(d.requireSent(d.arriveWith(route, "first", "deadly")))), "the broken call is sent at once to another server")
			require.Empty(t, d.arriveWith(route, "first", "deadly"), "a call is sent while its part is suspected")
			probes := sends(d.runFor(time.Second, d.storeUp))
			require.Len(t, probes, 1)
			require.Empty(t, sends(d.crash(probes[0])))
			require.Empty(t, sends(d.runFor(10*time.Second, d.storeUp)))
			refusal := d.requireRefused(d.arriveWith(route, "first", "deadly"))
			require.True(t, refusal.NotRun)
			require.Equal(t, vrwire.ReasonPromptQuarantined, refusal.Reason)
			require.Greater(t, refusal.RetryAfter, 30*time.Second)
			require.NotEmpty(t, sends(d.arriveWith(route, "first", "second")))
		})
	}
}

// Without a placement owner a daemon has to keep prompts that crash servers from them by itself, after it
// has given a new owner some time.
func TestDaemonWithoutOwnerBlocksPart(t *testing.T) {
	d := newInformedDaemon(t, engineEntry("e1", "m"), engineEntry("e2", "m"), engineEntry("e3", "m"))
	require.Empty(t, sends(d.crash(d.requireSent(d.arriveWith("stream", "deadly")))))
	require.Empty(t, sends(d.runFor(2900*time.Millisecond, storeDown)))
	require.Empty(t, d.arriveWith("stream", "deadly"))
	probes := sends(d.runFor(time.Second, storeDown))
	require.Len(t, probes, 1)
	d.crash(probes[0])
	require.Equal(t, vrwire.ReasonPromptQuarantined, d.requireRefused(d.arriveWith("stream", "deadly")).Reason)
}

// A server that resets connections but goes on serving is no sign that a prompt crashes servers.
// Its calls must be retried at another server at once.
func TestBrokenConnectionToLiveServerIsRetriedAtOnce(t *testing.T) {
	d := newInformedDaemon(t, engineEntry("e1", "m"), engineEntry("e2", "m"))
	send := d.requireSent(d.arriveWith("stream", "first"))
	require.Len(t, sends(d.endSend(send, vrevent.AttemptBroken)), 1)
}

// Sound calls that were in progress on a crashed server must be served once another answer with
// their parts begins.
func TestHeldCallIsSentOnceItsPartIsAnswered(t *testing.T) {
	d := newOwner(t, engineEntry("e1", "m"), engineEntry("e2", "m"), engineEntry("e3", "m"))
	first, second := d.requireSent(d.arriveWith("stream", "p")), d.requireSent(d.arriveWith("stream", "p"))
	require.Empty(t, sends(d.crash(first)))
	d.reduce(vrevent.FirstByteReceived{Call: second.Call, Send: second.Send, Answer: true})
	resent := sends(d.runFor(50*time.Millisecond, d.storeUp))
	require.Len(t, resent, 1)
	require.Equal(t, first.Call, resent[0].Call)
}

// A held call must not outlast its client's patience, its daemon's grace period or its client.
func TestHeldCallEnds(t *testing.T) {
	hold := func(t *testing.T) *daemon {
		d := newInformedDaemon(t, engineEntry("e1", "m"), engineEntry("e2", "m"))
		require.Empty(t, sends(d.crash(d.requireSent(d.arriveWith("stream", "p")))))
		return d
	}
	t.Run("grace period", func(t *testing.T) {
		d := hold(t)
		d.requireRefused(d.reduce(vrevent.GracePeriodEnding{}))
		require.Zero(t, d.state.OpenCalls())
	})
	t.Run("client gone", func(t *testing.T) {
		d := hold(t)
		d.reduce(vrevent.ClientGone{Call: d.lastCallID})
		require.Zero(t, d.state.WaitingCalls())
		require.Empty(t, sends(d.runFor(time.Second, storeDown)))
	})
	t.Run("no server", func(t *testing.T) {
		d := hold(t)
		d.reduce(vrevent.FleetListed{})
		d.requireRefused(d.runFor(10*time.Second, storeDown))
		require.Zero(t, d.state.OpenCalls())
	})
}

// A daemon that starts while a part is blocked must not send calls with it.
func TestRestartedDaemonReadsBlockedParts(t *testing.T) {
	stored, err := vrwire.Marshal(&vrwire.Quarantine{Parts: []vrwire.QuarantinedPart{{Part: "deadly", Blocked: true, Remaining: 60_000, Blocks: 1}}})
	require.NoError(t, err)
	d := newReadyDaemon(t, engineEntry("e1", "m"))
	require.Empty(t, sends(d.arriveWith("stream", "deadly")), "a call is sent before the blocked parts are known")
	refused := d.runFor(100*time.Millisecond, func(effect vrevent.Effect) vrevent.Event {
		read, ok := effect.(vrevent.ReadObject)
		if !ok || read.Key != vrplatform.KeyQuarantine {
			return storeDown(effect)
		}
		return vrevent.ObjectRead{Op: read.Op, Key: read.Key, Outcome: vrplatform.OutcomeOK, Version: 3, Value: stored}
	})
	require.Equal(t, vrwire.ReasonPromptQuarantined, d.requireRefused(refused).Reason)
	d.requireRefused(d.arriveWith("stream", "deadly"))
}

// A daemon that can't read the blocked parts must serve nevertheless.
func TestUnreadableBlockedPartsDelayCallsBriefly(t *testing.T) {
	d := newReadyDaemon(t, engineEntry("e1", "m"))
	require.Empty(t, sends(d.arriveWith("stream", "p")))
	require.Len(t, sends(d.runFor(1100*time.Millisecond, storeDown)), 1)
}

// The placement owner has to store a block and to tell the other daemons, also those that did not
// hear of the first message.
func TestOwnerStoresAndRepeatsBlocks(t *testing.T) {
	d := newReadyDaemon(t, engineEntry("e1", "m"), engineEntry("e2", "m"), engineEntry("e3", "m"))
	d.reduce(vrevent.PeersListed{Peers: []vrevent.Peer{{Daemon: "d1"}, {Daemon: "d2", Address: "10.0.0.2:1"}}})
	d.runFor(5*time.Second, d.storeUp)
	var messages []*vrwire.Quarantine
	var stored []byte
	collect := func(effect vrevent.Effect) vrevent.Event {
		switch e := effect.(type) {
		case vrevent.SendPeer:
			if e.Envelope.Notices != nil && e.Envelope.Notices.Quarantine != nil {
				messages = append(messages, e.Envelope.Notices.Quarantine)
			}
		case vrevent.WriteObject:
			if e.Key == vrplatform.KeyQuarantine {
				stored = e.Value
			}
		}
		return d.storeUp(effect)
	}
	report := func(probe uint32) {
		for _, effect := range d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: &vrwire.Notices{PromptReport: &vrwire.PromptReport{
			Number: 1, Items: []vrwire.PromptReportItem{
				{Part: "deadly", Event: vrwire.PromptCrashed, Request: "r", Probe: probe},
				{Part: "deadly", Event: vrwire.PromptWaiting},
			},
		}}}}) {
			if answer := collect(effect); answer != nil {
				d.reduce(answer)
			}
		}
	}
	report(0)
	d.runFor(200*time.Millisecond, collect)
	require.NotEmpty(t, messages)
	probing := messages[len(messages)-1].Parts[0]
	require.Equal(t, vrid.DaemonID("d2"), probing.Prober)
	messages = nil
	report(probing.Probe)
	d.runFor(4*time.Second, collect)
	require.GreaterOrEqual(t, len(messages), 3)
	require.True(t, messages[len(messages)-1].Parts[0].Blocked)
	decoded, err := vrwire.Unmarshal[vrwire.Quarantine](stored)
	require.NoError(t, err)
	require.Equal(t, vrid.PromptPartID("deadly"), decoded.Parts[0].Part)
}

func isRefusal(effect vrevent.Effect) bool {
	_, ok := effect.(vrevent.RefuseCall)
	return ok
}

// A daemon that missed the owner's message that all parts are clear must not refuse calls for longer
// than the block was to last: an owner without parts repeats nothing.
func TestBlockEndsAtDaemonThatMissedMessages(t *testing.T) {
	for name, message := range map[string]*vrwire.Quarantine{
		"part": {Epoch: 1, Version: 1, Parts: []vrwire.QuarantinedPart{{Part: "p", Blocked: true, Remaining: 60_000, Blocks: 1}}},
		"combination": {
			Epoch: 1, Version: 1, Parts: []vrwire.QuarantinedPart{{Part: "p"}, {Part: "q"}},
			Combinations: []vrwire.BlockedCombination{{Parts: []vrid.PromptPartID{"p", "q"}, Remaining: 60_000}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newInformedDaemon(t, engineEntry("e1", "m"), engineEntry("e2", "m"))
			d.reduce(vrevent.PeersListed{Peers: []vrevent.Peer{{Daemon: "d1"}, {Daemon: "d2", Address: "10.0.0.2:1"}}})
			d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: &vrwire.Notices{Quarantine: message}}})
			d.requireRefused(d.arriveWith("stream", "p", "q"))
			d.runFor(2*time.Minute, storeDown)
			require.False(t, slices.ContainsFunc(d.arriveWith("stream", "p", "q"), isRefusal))
		})
	}
}

// A stored block that is read after the owner's message must not block a part that the message has
// as clear: reads at a start may be seconds old.
func TestLateReadDoesNotReplaceOwnersMessage(t *testing.T) {
	stored, err := vrwire.Marshal(&vrwire.Quarantine{Parts: []vrwire.QuarantinedPart{{Part: "p", Blocked: true, Remaining: 60_000, Blocks: 1}}})
	require.NoError(t, err)
	d := newReadyDaemon(t, engineEntry("e1", "m"))
	d.reduce(vrevent.PeersListed{Peers: []vrevent.Peer{{Daemon: "d1"}, {Daemon: "d2", Address: "10.0.0.2:1"}}})
	d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: &vrwire.Notices{Quarantine: &vrwire.Quarantine{Epoch: 1, Version: 7}}}})
	d.reduce(vrevent.ObjectRead{Key: vrplatform.KeyQuarantine, Outcome: vrplatform.OutcomeOK, Version: 3, Value: stored})
	require.NotEmpty(t, sends(d.arriveWith("stream", "p")))
}

// Requests that servers fail because of what they hold must not take the servers from sound requests.
func TestFailuresOfRequestsDoNotEjectAllServers(t *testing.T) {
	d := newInformedDaemon(t, engineEntry("e1", "m"), engineEntry("e2", "m"), engineEntry("e3", "m"))
	var running []vrevent.SendCall
	for range 9 {
		running = append(running, sends(d.arriveWith("stream", "bad"))...)
	}
	for range 4 {
		var repeated []vrevent.SendCall
		for _, send := range running {
			result := vrevent.AttemptAnswered
			if send.HoldErrors {
				result = vrevent.AttemptServerError
			}
			repeated = append(repeated, sends(d.endSend(send, result))...)
		}
		running = repeated
	}
	require.NotEmpty(t, sends(d.arriveWith("stream", "sound")))
}
