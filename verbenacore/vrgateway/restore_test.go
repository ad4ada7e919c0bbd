package vrgateway_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrwire"
)

// Guards against a late announcement that a server is leaving, which is about its former process: the
// next process would get no work until its end.
func TestLateLeavingNoticeSparesNextProcess(t *testing.T) {
	d := newReadyDaemon(t, appEntry("a1"))
	leaving := vrwire.Notice{Kind: vrwire.NoticeLeaving, Service: "app", Server: "a1", Born: 1}
	next := appEntry("a1")
	next.Born = 2
	d.reduce(vrevent.FleetChanged{Version: 2, Entries: []vrfleet.Entry{next}})
	d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: &vrwire.Notices{Epoch: 1, Items: []vrwire.Notice{leaving}}}})
	require.EqualValues(t, "a1", d.requireSent(d.arrive("once")).Server)

	leaving.Born = 2
	d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: &vrwire.Notices{Epoch: 1, Items: []vrwire.Notice{leaving}}}})
	require.Empty(t, d.arrive("once"))
}
