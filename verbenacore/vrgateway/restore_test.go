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

// Guards against servers that are dropped because they registered after the copy from which the store
// was restored. They get requests until they had the time to register again, whether the daemon saw an
// outage before the restore, during it, or none.
func TestServersMissingFromCopyAreKept(t *testing.T) {
	restored := vrevent.StoreRestored{Era: 2}
	for name, events := range map[string][]vrevent.Event{
		"no outage seen": {restored},
		"in an outage":   {vrevent.StoreLost{}, restored, vrevent.StoreRecovered{}},
		"after a lapse":  {vrevent.StoreLost{}, vrevent.StoreRecovered{}, restored},
	} {
		t.Run(name, func(t *testing.T) {
			d := newReadyDaemon(t, renewed(appEntry("a1"), 9))
			for _, event := range events {
				d.now = d.now.Add(3 * time.Second)
				d.reduce(event)
			}
			version, ok := vrid.NewObjectVersion(2, 90)
			require.True(t, ok)
			d.reduce(vrevent.FleetListed{Version: version})
			d.runFor(2*time.Second, storeDown)
			require.Len(t, sends(d.arrive("once")), 1)
			d.runFor(time.Second, storeDown)
			require.Empty(t, sends(d.arrive("once")), "the server has not registered again")
		})
	}
}

// Guards against a store that is trusted again because a daemon hears of the same restore twice, or that
// is never trusted again.
func TestRestoreIsHandledOnce(t *testing.T) {
	d := newReadyDaemon(t, renewed(appEntry("a1"), 9))
	for range 3 {
		d.reduce(vrevent.StoreRestored{Era: 2})
		d.now = d.now.Add(time.Second)
	}
	d.reduce(vrevent.FleetListed{})
	require.Empty(t, sends(d.arrive("once")))
}
