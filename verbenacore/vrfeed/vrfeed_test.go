package vrfeed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrfeed"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

var _start = time.Unix(1_790_000_000, 0)

func memberIDs(count int) []vrid.DaemonID {
	var ids []vrid.DaemonID
	for i := range count {
		ids = append(ids, vrid.DaemonID(fmt.Sprintf("d%02d", i)))
	}
	return ids
}

func entry(id vrid.ServerID, beat uint64, models ...vrid.ModelID) vrfleet.Entry {
	e := vrfleet.Entry{ID: id, Service: "lm", Address: string(id), State: vrfleet.StateReady, Born: 1, Beat: beat}
	for _, model := range models {
		e.Holds = append(e.Holds, vrfleet.LoadedModel{Model: model})
	}
	return e
}

func newFeed(self vrid.DaemonID, members int) *vrfeed.Feed {
	f := vrfeed.New(self)
	f.SetMembers(_start, memberIDs(members))
	f.HandleList(10, []vrfleet.Entry{entry("s1", 1, "m"), entry("s2", 1)})
	return f
}

// Guards against a zone without a feeder after the first daemon's death, and against several
// feeders for longer than a moment after its return.
func TestNextMemberTakesOverFromSilentFeeder(t *testing.T) {
	first, second := newFeed("d00", 4), newFeed("d01", 4)
	require.True(t, first.IsFeeder(_start))
	require.False(t, second.IsFeeder(_start))
	now := _start.Add(5 * time.Second)
	second.HandleMessage(now, "d00", &vrfeed.Changes{After: 10, Version: 11})
	require.False(t, second.IsFeeder(now))
	require.True(t, second.IsFresh(now))
	now = now.Add(vrfeed.FreshFor + time.Second)
	require.False(t, second.IsFresh(now), "nothing was heard for too long")
	require.True(t, second.IsFeeder(now))
	second.HandleMessage(now, "d00", &vrfeed.Changes{After: 11, Version: 12})
	require.False(t, second.IsFeeder(now))
}

// Guards against messages in small zones, where they cost more than they save, and against a
// daemon that is not registered yet and relies on a feeder that does not know it.
func TestSmallZonesHaveNoFeeder(t *testing.T) {
	require.False(t, newFeed("d00", vrfeed.MinMembers-1).IsFeeder(_start))
	require.False(t, newFeed("unregistered", 8).IsFeeder(_start.Add(time.Hour)))
}

// Guards against a daemon that misses a message and goes on without the changes in it: it would
// send requests to a server that has left.
func TestMissedMessageEndsFreshness(t *testing.T) {
	f := newFeed("d01", 4)
	require.True(t, f.HandleMessage(_start, "d00", &vrfeed.Changes{After: 10, Version: 12}))
	require.True(t, f.IsFresh(_start))
	require.False(t, f.HandleMessage(_start, "d00", &vrfeed.Changes{After: 13, Version: 14}))
	require.False(t, f.IsFresh(_start), "the changes between 12 and 13 are missing")
	_, isNew := f.HandleWatch(&vrfeed.Changes{After: 12, Version: 14})
	require.True(t, isNew)
	require.True(t, f.HandleMessage(_start, "d00", &vrfeed.Changes{After: 14, Version: 15}))
	require.True(t, f.IsFresh(_start))
}

// Guards against an older answer that takes back a newer state: a watch that was answered before
// a message arrived must not remove a server that has registered again since.
func TestOlderAnswersAreIgnored(t *testing.T) {
	f := newFeed("d01", 4)
	require.True(t, f.HandleMessage(_start, "d00", &vrfeed.Changes{After: 10, Version: 20}))
	_, isNew := f.HandleWatch(&vrfeed.Changes{After: 10, Version: 15, Removed: []vrid.ServerID{"s1"}})
	require.False(t, isNew)
	require.False(t, f.HandleList(15, nil))
	require.False(t, f.HandleMessage(_start, "d02", &vrfeed.Changes{After: 10, Version: 18}))
	require.Equal(t, vrid.ObjectVersion(20), f.Version())
}

// Guards against messages that repeat every renewal, whose bytes would grow with servers times
// daemons, and against a registration that is never repeated although it stays the same.
func TestMessagesHoldChangesAndAPartOfTheRest(t *testing.T) {
	f := vrfeed.New("d00")
	f.SetMembers(_start, memberIDs(4))
	const servers = 160
	var entries []vrfleet.Entry
	for i := range servers {
		entries = append(entries, entry(vrid.ServerID(fmt.Sprintf("s%03d", i)), 1))
	}
	f.HandleList(10, entries)
	repeated := make(map[vrid.ServerID]bool)
	for round := range 8 {
		var renewed []vrfleet.Entry
		for _, e := range entries {
			e.Beat = uint64(2 + round)
			renewed = append(renewed, e)
		}
		renewed[7].Holds = []vrfleet.LoadedModel{{Model: vrid.ModelID(fmt.Sprint("m", round))}}
		after := vrid.ObjectVersion(10 + round)
		message, isNew := f.HandleWatch(&vrfeed.Changes{After: after, Version: after + 1, Entries: renewed})
		require.True(t, isNew)
		require.LessOrEqual(t, len(message.Entries), servers/8+1)
		require.EqualValues(t, "s007", message.Entries[0].ID)
		for _, e := range message.Entries {
			require.EqualValues(t, 2+round, e.Beat)
			repeated[e.ID] = true
		}
	}
	require.Len(t, repeated, servers, "all registrations are repeated within eight messages")
}

// Replays a quiet minute of a zone with 49 daemons, in which the feeder dies after 20 seconds and
// stays away. Guards against store calls that grow with the number of daemons: outside of the four
// seconds after the death they have to be at most a tenth of what the daemons make when each
// watches for itself, one call in three seconds, as they do under a drain bound of four seconds.
// No daemon may be without news for longer than that bound.
func TestQuietMinuteOfALargeZone(t *testing.T) {
	const (
		daemons   = 49
		tick      = 50 * time.Millisecond
		pause     = 650 * time.Millisecond
		ownPause  = 3 * time.Second
		noNewsFor = 4 * time.Second
		diesAt    = 20 * time.Second
		settlesIn = 4 * time.Second
	)
	feeds := make([]*vrfeed.Feed, daemons)
	nextWatch, newsAt := make([]time.Time, daemons), make([]time.Time, daemons)
	for i, id := range memberIDs(daemons) {
		feeds[i] = newFeed(id, daemons)
		nextWatch[i], newsAt[i] = _start, _start
	}
	calls, callsAfterDeath, version := 0, 0, vrid.ObjectVersion(10)
	for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += tick {
		now := _start.Add(elapsed)
		version++ // Each tick, some server renews its registration.
		for i, f := range feeds {
			if dead := i == 0 && elapsed > diesAt; dead || now.Before(nextWatch[i]) || f.IsFresh(now) {
				continue
			}
			if elapsed > diesAt && elapsed <= diesAt+settlesIn {
				callsAfterDeath++
			} else {
				calls++
			}
			newsAt[i] = now
			nextWatch[i] = now.Add(ownPause)
			message, isNew := f.HandleWatch(&vrfeed.Changes{After: f.Version(), Version: version, Entries: []vrfleet.Entry{entry("s1", uint64(version), "m")}})
			if !f.IsFeeder(now) || !isNew {
				continue
			}
			nextWatch[i] = now.Add(pause)
			for j, other := range feeds {
				if j != i {
					other.HandleMessage(now, memberIDs(daemons)[i], message)
					newsAt[j] = now
				}
			}
		}
		for i := 1; i < daemons; i++ {
			require.LessOrEqual(t, now.Sub(newsAt[i]), noNewsFor, "daemon %d at %s", i, elapsed)
		}
	}
	own := daemons * int((time.Minute-settlesIn)/ownPause)
	t.Logf("%d calls, %d more in the %s after the death, %d without a feeder", calls, callsAfterDeath, settlesIn, own)
	require.LessOrEqual(t, calls, own/10)
}
