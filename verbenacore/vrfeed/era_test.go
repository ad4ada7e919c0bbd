package vrfeed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrfeed"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

// versionOf returns the version of a revision in an era of the store.
func versionOf(t *testing.T, era vrid.StoreEra, revision uint64) vrid.ObjectVersion {
	version, ok := vrid.NewObjectVersion(era, revision)
	require.True(t, ok)
	return version
}

// newRestoredFeed returns the feed of d01, which has listed revision 50 of the second era after it
// was fed up to revision 101 of the first.
func newRestoredFeed(t *testing.T) *vrfeed.Feed {
	f := vrfeed.New("d01")
	f.SetMembers(_start, memberIDs(4))
	require.True(t, f.HandleList(versionOf(t, 1, 100), []vrfleet.Entry{entry("s1", 1)}))
	require.True(t, f.HandleMessage(_start, "d00", &vrfeed.Changes{After: versionOf(t, 1, 100), Version: versionOf(t, 1, 101)}))
	require.True(t, f.IsFresh(_start))
	require.True(t, f.HandleList(versionOf(t, 2, 50), []vrfleet.Entry{entry("s2", 1)}))
	require.Equal(t, versionOf(t, 2, 50), f.Version())
	return f
}

// Guards against a daemon that has noticed a restore of the store and relies on a feeder that has
// not, or that runs a build without eras: it would not hear of a server that leaves.
func TestFeederOfFormerEraDoesNotFeed(t *testing.T) {
	for _, former := range []vrid.StoreEra{0, 1} {
		f := newRestoredFeed(t)
		require.False(t, f.IsFresh(_start), "the last message was sent before the restore")
		now := _start
		for revision := uint64(101); now.Before(_start.Add(5 * time.Second)); revision++ {
			now = now.Add(650 * time.Millisecond)
			message := &vrfeed.Changes{After: versionOf(t, former, revision), Version: versionOf(t, former, revision+1)}
			require.False(t, f.HandleMessage(now, "d00", message))
			require.False(t, f.IsFresh(now), "era %d", former)
		}
		require.True(t, f.IsFeeder(now), "the next member takes over from a feeder of a former era")
		require.Equal(t, versionOf(t, 2, 50), f.Version())
	}
}

// Guards against a zone that loses its feeder because a daemon with a build without eras sends
// messages beside it.
func TestMessageOfFormerEraDoesNotEndFreshness(t *testing.T) {
	f := newRestoredFeed(t)
	require.True(t, f.HandleMessage(_start, "d00", &vrfeed.Changes{After: versionOf(t, 2, 50), Version: versionOf(t, 2, 51)}))
	require.False(t, f.HandleMessage(_start, "d02", &vrfeed.Changes{After: 200, Version: 201}))
	require.True(t, f.IsFresh(_start))
}

// Guards against a view that goes on across a restore of the store without a list of the new era: it
// would keep servers that the new era has lost.
func TestChangesAcrossARestoreAreNotApplied(t *testing.T) {
	across := &vrfeed.Changes{After: versionOf(t, 2, 50), Version: versionOf(t, 3, 60)}
	f := newRestoredFeed(t)
	require.False(t, f.HandleMessage(_start, "d00", across))
	require.False(t, f.IsFresh(_start), "the feeder is in a later era")
	_, isNew := f.HandleWatch(across)
	require.False(t, isNew)
	_, isNew = f.HandleWatch(&vrfeed.Changes{After: versionOf(t, 3, 59), Version: versionOf(t, 3, 60)})
	require.False(t, isNew)
	require.Equal(t, versionOf(t, 2, 50), f.Version())
	require.False(t, f.HandleList(versionOf(t, 1, 200), nil), "a list of a former era")

	require.True(t, f.HandleList(versionOf(t, 3, 20), nil))
	require.True(t, f.HandleMessage(_start, "d00", &vrfeed.Changes{After: versionOf(t, 3, 20), Version: versionOf(t, 3, 21)}))
	require.True(t, f.IsFresh(_start))
}
