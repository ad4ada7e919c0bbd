package vrgateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// listTwentyDaemons lists d1, the daemon itself, to d20: a fleet whose placement owner sends heartbeats.
func (d *daemon) listTwentyDaemons() {
	var peers []vrevent.Peer
	for i := range 20 {
		peers = append(peers, vrevent.Peer{Daemon: vrid.DaemonID(fmt.Sprintf("d%d", i+1)), Address: "10.0.0.9:1"})
	}
	d.reduce(vrevent.PeersListed{Peers: peers})
}

// heartbeats runs the daemon for a duration with a store that answers, calls readCatalog every 400 ms, and
// returns the heartbeats to d2.
func (d *daemon) heartbeats(duration time.Duration, readCatalog func()) []*vrwire.Notices {
	const readInterval = 400 * time.Millisecond
	var sent []*vrwire.Notices
	for until := d.now.Add(duration); d.now.Before(until); {
		readCatalog()
		for _, effect := range d.runFor(readInterval, d.storeUp) {
			send, ok := effect.(vrevent.SendPeer)
			if ok && send.Peer == "d2" && send.Envelope.Notices != nil && send.Envelope.Notices.CatalogVersion > 0 {
				sent = append(sent, send.Envelope.Notices)
			}
		}
	}
	return sent
}

// Guards against a fleet that stays on an old catalog because the placement owner, whose reads of the
// catalog bring nothing, renews its lease and tells all others that its catalog is the newest.
func TestOwnerDoesNotVouchForCatalogItCannotRead(t *testing.T) {
	d := newReadyDaemon(t, appEntry("a1"))
	d.listTwentyDaemons()
	require.NotEmpty(t, d.heartbeats(6*time.Second, func() { d.reduce(vrevent.CatalogChecked{At: d.now}) }))
	d.heartbeats(time.Second, func() {})
	require.Empty(t, d.heartbeats(5*time.Second, func() {}))
	require.True(t, d.state.IsPlacementOwner(d.now), "the lease is renewed meanwhile")
	slow := func() { d.reduce(vrevent.CatalogChecked{At: d.now.Add(-3 * time.Second)}) }
	require.Empty(t, d.heartbeats(5*time.Second, slow), "each read takes three seconds")
}

// Guards against a daemon that relies on heartbeats which were on their way for seconds, each for some time
// from its receipt: a new catalog would come into force too late at a daemon without any trouble.
func TestHeartbeatIsAsOldAsItsProof(t *testing.T) {
	const (
		reportSentAt = 5 * time.Second
		// The owner received the report after 10 ms, and sent the heartbeat 390 ms later.
		reportAge = 390 * time.Millisecond
		storeAge  = 500 * time.Millisecond
	)
	for _, test := range []struct {
		name   string
		boot   vrid.BootID
		onWay  time.Duration
		relies time.Duration
	}{
		{"prompt", "b1", 10 * time.Millisecond, 1400 * time.Millisecond},
		{"one second late", "b1", time.Second, 400 * time.Millisecond},
		{"three seconds late", "b1", 3 * time.Second, 0},
		{"repeats a report of an earlier run", "b0", 0, 0},
		{"repeats no report", "", 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newReadyDaemon(t, appEntry("a1"))
			d.listTwentyDaemons()
			d.now = d.now.Add(reportSentAt + 400*time.Millisecond + test.onWay)
			notices := &vrwire.Notices{
				Epoch: 1, CatalogVersion: 1, StoreAge: storeAge.Milliseconds(),
				ReportBoot: test.boot, ReportSentAt: reportSentAt.Milliseconds(), ReportAge: reportAge.Milliseconds(),
			}
			d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: notices}})
			fresh, current := d.state.HeartbeatStatus(d.now.Add(test.relies))
			require.Equal(t, test.relies > 0, fresh && current)
			fresh, _ = d.state.HeartbeatStatus(d.now.Add(test.relies + 200*time.Millisecond))
			require.False(t, fresh)
		})
	}
}

// Guards against heartbeats that prove nothing to a daemon without any demand, because the owner has no
// report of it to repeat.
func TestOwnerRepeatsReportsOfIdleDaemons(t *testing.T) {
	idle := newReadyDaemon(t, appEntry("a1"))
	idle.listTwentyDaemons()
	idle.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: &vrwire.Notices{Epoch: 1}}})
	var report *vrwire.PlacementDemand
	for _, effect := range idle.runFor(2*time.Second, storeDown) {
		if send, ok := effect.(vrevent.SendPeer); ok && send.Envelope.PlacementDemand != nil {
			report = send.Envelope.PlacementDemand
		}
	}
	require.NotNil(t, report)

	owner := newReadyDaemon(t, appEntry("a1"))
	owner.listTwentyDaemons()
	check := func() { owner.reduce(vrevent.CatalogChecked{At: owner.now}) }
	owner.heartbeats(6*time.Second, check)
	owner.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Boot: "b1", PlacementDemand: report}})
	heartbeats := owner.heartbeats(2*time.Second, check)
	require.NotEmpty(t, heartbeats)
	idle.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: heartbeats[0]}})
	fresh, current := idle.state.HeartbeatStatus(idle.now)
	require.True(t, fresh && current)
}
