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

// renewed returns a registration with another count of renewals.
func renewed(entry vrfleet.Entry, beat uint64) vrfleet.Entry {
	entry.Beat = beat
	return entry
}

// Guards against requests to a server that had left before the store was restored from a copy which
// lists it, and against one that comes back only late after a lapse.
func TestServerThatLeftIsNotBroughtBackByCopy(t *testing.T) {
	d := newReadyDaemon(t, renewed(appEntry("a1"), 9))
	d.reduce(vrevent.FleetChanged{Version: 2, Removed: []vrid.ServerID{"a1"}})
	d.reduce(vrevent.FleetListed{Version: 3, Entries: []vrfleet.Entry{renewed(appEntry("a1"), 7)}})
	require.Empty(t, sends(d.arrive("once")))
	require.Len(t, sends(d.reduce(vrevent.FleetChanged{Version: 4, Entries: []vrfleet.Entry{renewed(appEntry("a1"), 10)}})), 1)
}

// Guards against a server that left after an outage of the store, while the list was not trusted, and is
// kept because a copy of the store lists it again.
func TestCopyDoesNotProveThatAbsentServerRuns(t *testing.T) {
	for _, beat := range []uint64{7, 9} {
		d := newReadyDaemon(t, renewed(appEntry("a1"), 9))
		d.reduce(vrevent.StoreLost{})
		d.reduce(vrevent.StoreRecovered{})
		d.reduce(vrevent.FleetChanged{Version: 2, Removed: []vrid.ServerID{"a1"}})
		d.reduce(vrevent.FleetListed{Version: 3, Entries: []vrfleet.Entry{renewed(appEntry("a1"), beat)}})
		d.runFor(3*time.Second, storeDown)
		require.Empty(t, sends(d.arrive("once")), "count %d", beat)
	}
}
