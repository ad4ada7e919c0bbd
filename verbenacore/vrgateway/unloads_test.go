package vrgateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// demandReports returns the full demand reports among the effects.
func demandReports(effects []vrevent.Effect) []*vrwire.PlacementDemand {
	var reports []*vrwire.PlacementDemand
	for _, effect := range effects {
		if send, ok := effect.(vrevent.SendPeer); ok && send.Envelope.PlacementDemand != nil && send.Envelope.PlacementDemand.Full {
			reports = append(reports, send.Envelope.PlacementDemand)
		}
	}
	return reports
}

// Guards against an owner that orders loads in vain, or waits too long: a daemon has to report calls for a
// model that a server is about to unload at once, and again when the last of them has ended.
func TestCallsForAnUnloadedModelAreReportedAtOnce(t *testing.T) {
	d := newReadyDaemon(t, engineEntry("e1", "m"))
	d.reduce(vrevent.PeersListed{Peers: []vrevent.Peer{{Daemon: "d1"}, {Daemon: "d2", Address: "10.0.0.2:1"}}})
	d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: &vrwire.Notices{Epoch: 1}}})
	first, second := d.requireSentOn("stream"), d.requireSentOn("stream")
	d.reduce(vrevent.Tick{})
	d.now = d.now.Add(100 * time.Millisecond)
	require.Empty(t, demandReports(d.reduce(vrevent.Tick{})))

	d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: &vrwire.Notices{
		Epoch: 1, Items: []vrwire.Notice{{Kind: vrwire.NoticeUnloading, Service: "lm", Model: "m", Server: "e1"}},
	}}})
	reports := demandReports(d.reduce(vrevent.Tick{}))
	require.Len(t, reports, 1)
	require.Equal(t, []vrwire.ServerInFlight{{Server: "e1", Model: "m", Running: 2}}, reports[0].InFlight)

	d.endSend(first, vrevent.AttemptAnswered)
	require.Empty(t, demandReports(d.reduce(vrevent.Tick{})))
	d.endSend(second, vrevent.AttemptAnswered)
	reports = demandReports(d.reduce(vrevent.Tick{}))
	require.Len(t, reports, 1, "an idle daemon reports the end of its last calls")
	require.Empty(t, reports[0].InFlight)
	require.Empty(t, demandReports(d.runFor(3*time.Second, func(vrevent.Effect) vrevent.Event { return nil })), "nothing new to report")
}

// Guards against an owner that waits up to a second for the next report of a daemon whose calls for the unloaded
// model have ended since its last one.
func TestEndedCallsForAnUnloadedModelAreReportedAtOnce(t *testing.T) {
	d := newReadyDaemon(t, engineEntry("e1", "m"), engineEntry("e2", "m"))
	d.reduce(vrevent.PeersListed{Peers: []vrevent.Peer{{Daemon: "d1"}, {Daemon: "d2", Address: "10.0.0.2:1"}}})
	d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: &vrwire.Notices{Epoch: 1}}})
	send := d.requireSentOn("stream")
	require.Len(t, demandReports(d.reduce(vrevent.Tick{})), 1)
	d.endSend(send, vrevent.AttemptAnswered)
	require.Empty(t, demandReports(d.reduce(vrevent.Tick{})))

	other := map[vrid.ServerID]vrid.ServerID{"e1": "e2", "e2": "e1"}[send.Server]
	for _, unload := range []struct {
		server  vrid.ServerID
		reports int
	}{{other, 0}, {send.Server, 1}, {send.Server, 0}} {
		d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: &vrwire.Notices{
			Epoch: 1, Items: []vrwire.Notice{{Kind: vrwire.NoticeUnloading, Service: "lm", Model: "m", Server: unload.server}},
		}}})
		require.Len(t, demandReports(d.reduce(vrevent.Tick{})), unload.reports)
	}
}
