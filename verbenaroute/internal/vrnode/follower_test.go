package vrnode

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"verbenaroute.example/platform/vradapter"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrsettings"
)

// newTestFollower returns a follower of a node that has no store, and a function that ends it.
func newTestFollower() (*follower, context.CancelFunc) {
	settings := (&vrsettings.Gateway{Daemon: "edge-1", Zone: "z", Store: "127.0.0.1:1"}).WithDefaults()
	node := New(settings, zap.NewNop(), func() map[string]uint64 { return nil })
	return &follower{node: node, name: "servers"}, node.cancel
}

// Guards against a daemon that calls the store without a pause while the store answers each watch
// with 410, for example because a list is older than the version that a feeder has told of.
func TestExpiredWatchesAreFollowedByABackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			duration = time.Minute
			// The backoff is at least half of maxBackoff after the first calls, which are fewer than 10.
			maxWatches = int(duration/(maxBackoff/2)) + 10
		)
		f, stop := newTestFollower()
		lists, watches := 0, 0
		f.list = func(context.Context) (vrid.ObjectVersion, error) {
			lists++
			return 90, nil
		}
		f.knownVersion = func() vrid.ObjectVersion { return 141 }
		f.watch = func(_ context.Context, after vrid.ObjectVersion, _ time.Duration) (vrid.ObjectVersion, bool, error) {
			if watches++; watches > maxWatches {
				stop()
			}
			return 0, false, &vradapter.HistoryGoneError{After: after}
		}
		time.AfterFunc(duration, stop)
		f.run()
		require.LessOrEqual(t, watches, maxWatches)
		require.Greater(t, watches, int(duration/(2*maxBackoff)), "the follower tries again")
		require.LessOrEqual(t, lists, watches+1)
	})
}

// Guards against a daemon that lists the servers late after the store has dropped its history: only
// repeated failures are followed by a backoff.
func TestFirstExpiredWatchIsFollowedByAListAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := newTestFollower()
		var listedAt []time.Time
		f.list = func(context.Context) (vrid.ObjectVersion, error) {
			if listedAt = append(listedAt, time.Now()); len(listedAt) == 4 {
				stop()
			}
			return 90, nil
		}
		expired := false
		f.watch = func(_ context.Context, after vrid.ObjectVersion, _ time.Duration) (vrid.ObjectVersion, bool, error) {
			if expired = !expired; expired {
				return 0, false, &vradapter.HistoryGoneError{After: after}
			}
			return after + 1, true, nil
		}
		start := time.Now()
		f.run()
		for _, at := range listedAt {
			require.Equal(t, start, at)
		}
	})
}

// Guards against registrations after a restore that take the writes which the placement owner needs for
// its lease. The store takes 400 writes a second of all daemons together, and a daemon whose entry was
// not lost needs two.
func TestRegistrationsAfterRestoreLeaveWritesForLeases(t *testing.T) {
	const writesPerSecond, writesPerRegistration = 400, 2
	for _, daemons := range []int{1, 72, 295, 1000} {
		writes := float64(daemons * writesPerRegistration)
		require.LessOrEqual(t, writes/registrationSpread(daemons).Seconds(), float64(writesPerSecond)/2, "%d daemons", daemons)
	}
}
