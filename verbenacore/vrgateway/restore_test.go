package vrgateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
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

// Guards against a catalog that counts as current because of a heartbeat from before a restore, or from
// an owner that does not know of the restore: a newer catalog would come into force too late.
func TestHeartbeatFromBeforeRestoreProvesNothing(t *testing.T) {
	d := newReadyDaemon(t, appEntry("a1"))
	d.now = d.now.Add(time.Second)
	heartbeat := func(era vrid.StoreEra) {
		notices := vrwire.Notices{Epoch: 1, CatalogVersion: 1, Era: era, ReportBoot: "b1", ReportSentAt: 1000}
		d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: &notices}})
	}
	requireCurrent := func(want bool) {
		t.Helper()
		fresh, current := d.state.HeartbeatStatus(d.now)
		require.Equal(t, want, fresh && current)
	}
	heartbeat(1)
	requireCurrent(true)
	d.reduce(vrevent.StoreRestored{Era: 2})
	requireCurrent(false)
	heartbeat(1)
	requireCurrent(false)
	d.reduce(vrevent.CatalogSeen{Catalog: newCatalog(1)})
	requireCurrent(false)
	heartbeat(2)
	requireCurrent(true)
}

// Guards against an owner that tells the other daemons of the newest catalog while it may not have read
// the restored store's, and against one whose heartbeats count for nothing because it started after a
// restore.
func TestOwnerHeartbeatsAfterRestore(t *testing.T) {
	d := newDaemon(t)
	d.reduce(vrevent.CatalogSeen{Catalog: newCatalog(7)})
	version, ok := vrid.NewObjectVersion(3, 90)
	require.True(t, ok)
	d.reduce(vrevent.FleetListed{Version: version, Entries: []vrfleet.Entry{appEntry("a1")}})
	d.listTwentyDaemons()
	heartbeats := func(duration time.Duration, checkedEra vrid.StoreEra) []*vrwire.Notices {
		return d.heartbeats(duration, func() { d.reduce(vrevent.CatalogChecked{At: d.now, Era: checkedEra}) })
	}
	before := heartbeats(6*time.Second, 3)
	require.NotEmpty(t, before)
	require.EqualValues(t, 3, before[0].Era)
	d.reduce(vrevent.StoreRestored{Era: 4})
	d.leaseVersion, _ = vrid.NewObjectVersion(4, 50)
	require.Empty(t, heartbeats(2*time.Second, 3), "what was read before the restore proves nothing")
	d.reduce(vrevent.CatalogSeen{Catalog: newCatalog(5)})
	after := heartbeats(6*time.Second, 4)
	require.NotEmpty(t, after)
	require.EqualValues(t, 4, after[0].Era)
	require.EqualValues(t, 7, after[0].CatalogVersion, "the copy's older catalog is ignored")
}

// Guards against a daemon that does not watch the servers because of messages of a feeder that has not
// seen the restore of the store: a leaving server would get requests for too long.
func TestFeederBeforeRestoreProvesNothing(t *testing.T) {
	version := func(era vrid.StoreEra, revision uint64) vrid.ObjectVersion {
		v, ok := vrid.NewObjectVersion(era, revision)
		require.True(t, ok)
		return v
	}
	d := newReadyDaemon(t)
	var peers []vrevent.Peer
	for _, id := range []vrid.DaemonID{"d0", "d1", "d2", "d3"} {
		peers = append(peers, vrevent.Peer{Daemon: id, Zone: "z", Address: "10.0.0.9:1"})
	}
	d.reduce(vrevent.PeersListed{Peers: peers})
	d.reduce(vrevent.FleetListed{Version: version(1, 90), Entries: []vrfleet.Entry{appEntry("a1")}})
	feed := func(after, until vrid.ObjectVersion) {
		d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d0", FleetChanges: &vrwire.FleetChanges{After: after, Version: until, Daemons: 4}}})
	}
	feed(version(1, 90), version(1, 91))
	require.True(t, d.state.ServersFed(d.now))
	d.reduce(vrevent.StoreRestored{Era: 2})
	require.False(t, d.state.ServersFed(d.now), "message from before the restore")
	d.reduce(vrevent.FleetListed{Version: version(2, 85), Entries: []vrfleet.Entry{appEntry("a1")}})
	d.now = d.now.Add(2 * time.Second)
	feed(version(1, 91), version(1, 92))
	require.False(t, d.state.ServersFed(d.now), "the feeder has not seen the restore")
	feed(version(2, 85), version(2, 86))
	require.True(t, d.state.ServersFed(d.now))
}

// quarantineStore is a store's object with the blocked parts.
type quarantineStore struct {
	daemon  *daemon
	version vrid.ObjectVersion
	value   []byte
	writes  int
	// unavailable makes calls for the object fail.
	unavailable bool
}

// answer answers calls for the object, and those for the lease as storeUp does.
func (q *quarantineStore) answer(effect vrevent.Effect) vrevent.Event {
	switch e := effect.(type) {
	case vrevent.ReadObject:
		switch {
		case e.Key != vrplatform.KeyQuarantine:
		case q.unavailable:
			return vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeUnavailable}
		case q.value != nil:
			return vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeOK, Version: q.version, Value: q.value}
		}
	case vrevent.WriteObject:
		if e.Key != vrplatform.KeyQuarantine {
			break
		}
		if q.unavailable {
			return vrevent.ObjectWritten{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeUnavailable}
		}
		if (q.value != nil || e.IfVersion.Revision() != 0) && e.IfVersion != q.version {
			return vrevent.ObjectWritten{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeConflict}
		}
		q.version++
		q.value = e.Value
		q.writes++
		return vrevent.ObjectWritten{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeOK, Version: q.version}
	}
	return q.daemon.storeUp(effect)
}

// requireStored requires that the object holds exactly the given blocked parts.
func (q *quarantineStore) requireStored(parts ...vrid.PromptPartID) {
	q.daemon.t.Helper()
	stored, err := vrwire.Unmarshal[vrwire.Quarantine](q.value)
	require.NoError(q.daemon.t, err)
	var blocked []vrid.PromptPartID
	for _, part := range stored.Parts {
		blocked = append(blocked, part.Part)
	}
	require.Equal(q.daemon.t, parts, blocked)
}

func storedBlocks(t *testing.T, parts ...vrid.PromptPartID) []byte {
	message := &vrwire.Quarantine{}
	for _, part := range parts {
		message.Parts = append(message.Parts, vrwire.QuarantinedPart{Part: part, Blocked: true, Remaining: 60_000, Blocks: 1})
	}
	value, err := vrwire.Marshal(message)
	require.NoError(t, err)
	return value
}

// Guards against blocked prompt parts that are lost with a restore of the store: a daemon that starts
// later reads them from there, and its first calls crash a server. The owner has to write them again,
// whatever the copy holds, and also if the store fails for a moment or the restore meets its write.
func TestOwnerWritesBlocksAgainAfterRestore(t *testing.T) {
	for name, copied := range map[string][]byte{
		"no object": nil, "empty object": storedBlocks(t), "older object": storedBlocks(t, "old"),
	} {
		t.Run(name, func(t *testing.T) {
			d := newReadyDaemon(t, engineEntry("e1", "m"))
			store := &quarantineStore{daemon: d, value: storedBlocks(t, "deadly"), version: 9}
			d.runFor(5*time.Second, store.answer)
			require.True(t, d.state.IsPlacementOwner(d.now))
			store.requireStored("deadly")

			d.reduce(vrevent.StoreRestored{Era: 2})
			d.leaseVersion, _ = vrid.NewObjectVersion(2, 50)
			store.value, store.unavailable = copied, true
			store.version, _ = vrid.NewObjectVersion(2, 9)
			d.runFor(2*time.Second, store.answer)
			store.unavailable = false
			d.runFor(8*time.Second, store.answer)
			want := []vrid.PromptPartID{"deadly"}
			if name == "older object" {
				want = append(want, "old")
			}
			store.requireStored(want...)

			written := store.writes
			d.runFor(5*time.Second, store.answer)
			require.Equal(t, written, store.writes, "the owner goes on writing")
		})
	}
}

// Guards against a write that was acknowledged before the restore which undid it, and whose answer the
// owner handles after the restore.
func TestWriteUndoneByRestoreIsRepeated(t *testing.T) {
	d := newReadyDaemon(t, engineEntry("e1", "m"))
	store := &quarantineStore{daemon: d, value: storedBlocks(t, "deadly"), version: 9}
	restored := false
	d.runFor(12*time.Second, func(effect vrevent.Effect) vrevent.Event {
		event := store.answer(effect)
		if _, written := event.(vrevent.ObjectWritten); written && store.writes == 1 && !restored {
			restored = true
			d.reduce(vrevent.StoreRestored{Era: 2})
			d.leaseVersion, _ = vrid.NewObjectVersion(2, 50)
			store.value = nil
		}
		return event
	})
	require.True(t, restored)
	require.NotNil(t, store.value)
	store.requireStored("deadly")
}

// Guards against a daemon that starts after a restore, reads an older copy and then sends calls whose
// part the owner has blocked.
func TestCopyDoesNotUnblockWhatOwnerBlocks(t *testing.T) {
	d := newReadyDaemon(t, engineEntry("e1", "m"))
	d.reduce(vrevent.PeersListed{Peers: []vrevent.Peer{{Daemon: "d1"}, {Daemon: "d2", Address: "10.0.0.2:1"}}})
	d.reduce(vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "d2", Notices: &vrwire.Notices{Quarantine: &vrwire.Quarantine{
		Epoch: 1, Version: 7, Parts: []vrwire.QuarantinedPart{{Part: "p", Blocked: true, Remaining: 60_000, Blocks: 1}},
	}}}})
	for _, value := range [][]byte{storedBlocks(t), storedBlocks(t, "other")} {
		d.reduce(vrevent.ObjectRead{Key: vrplatform.KeyQuarantine, Outcome: vrplatform.OutcomeOK, Version: 3, Value: value})
		d.requireRefused(d.arriveWith("stream", "p"))
	}
	d.reduce(vrevent.ObjectRead{Key: vrplatform.KeyQuarantine, Outcome: vrplatform.OutcomeNotFound})
	d.requireRefused(d.arriveWith("stream", "p"))
}

// Guards against orders that are planned from a copy's entries: the owner has to keep what it knows of a
// server's models, also if the copy lists fewer of them or lacks the server.
func TestOwnerDoesNotPlanFromCopy(t *testing.T) {
	for name, copied := range map[string][]vrfleet.Entry{
		"older entry": {renewed(engineEntry("e1"), 7)}, "no entry": nil,
	} {
		t.Run(name, func(t *testing.T) {
			d := newReadyDaemon(t, renewed(engineEntry("e1", "m"), 9))
			d.runFor(5*time.Second, d.storeUp)
			require.True(t, d.state.IsPlacementOwner(d.now))
			d.reduce(vrevent.StoreRestored{Era: 2})
			d.leaseVersion, _ = vrid.NewObjectVersion(2, 50)
			version, ok := vrid.NewObjectVersion(2, 90)
			require.True(t, ok)
			d.reduce(vrevent.FleetListed{Version: version, Entries: copied})
			require.EqualValues(t, "e1", d.requireSentOn("stream").Server)
			for _, effect := range d.runFor(2*time.Second, d.storeUp) {
				order, isOrder := effect.(vrevent.SendPlacementOrder)
				require.False(t, isOrder, "%v", order)
			}
		})
	}
}
