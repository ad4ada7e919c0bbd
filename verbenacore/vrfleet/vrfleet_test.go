package vrfleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrfleet"
)

var start = time.Unix(1_790_000_000, 0)

func readyEntry(born int64, beat uint64) vrfleet.Entry {
	return vrfleet.Entry{ID: "a", Service: "app", Address: "a", Zone: "z", Slots: 1, State: vrfleet.StateReady, Born: born, Beat: beat}
}

func drainingEntry(born int64, beat uint64) vrfleet.Entry {
	entry := readyEntry(born, beat)
	entry.State = vrfleet.StateDraining
	return entry
}

// Guards against requests to a draining server: an entry of a restored store, a feeder's repeat or a
// registration that overtook the report made it accept work again.
func TestDrainingServerNeverAcceptsWorkAgain(t *testing.T) {
	const born = 100
	for _, beat := range []uint64{3, 7, 8} {
		fleet := vrfleet.New()
		fleet.Put(start, readyEntry(born, 6))
		fleet.Put(start, drainingEntry(born, 7))
		fleet.Put(start, readyEntry(born, beat))
		require.False(t, fleet.Server("a").AcceptsWork(), "entry with count %d", beat)

		fleet.Put(start, readyEntry(born+1, 1))
		require.True(t, fleet.Server("a").AcceptsWork(), "another process")
	}
}

// Guards against requests to a server whose leaving the placement owner announced: the feeder's
// repeat of its last entry, which has the known count, made it accept work again. An announcement
// about a former process must not keep the next one from work.
func TestAnnouncedDrainingEndsWithTheProcess(t *testing.T) {
	const born = 100
	fleet := vrfleet.New()
	fleet.Put(start, readyEntry(born, 6))
	fleet.Server("a").MarkDraining(born - 1)
	require.True(t, fleet.Server("a").AcceptsWork())
	fleet.Server("a").MarkDraining(born)
	fleet.Put(start, readyEntry(born, 6))
	require.False(t, fleet.Server("a").AcceptsWork())
}

// Guards against the return of a server's former process, whose entry a restored store lists again. The
// daemon sent requests in its name, which the running process refuses, and dropped what it had observed.
func TestFormerProcessDoesNotReplaceItsSuccessor(t *testing.T) {
	fleet := vrfleet.New()
	fleet.Put(start, readyEntry(100, 40))
	require.Equal(t, vrfleet.ChangeRestarted, fleet.Put(start, readyEntry(200, 1)))
	for range 2 {
		require.Equal(t, vrfleet.ChangeOutdated, fleet.Put(start, readyEntry(100, 35)))
		require.EqualValues(t, 200, fleet.Server("a").Born)
	}
}

// Guards against a server that is never used again because its machine's clock was set back before it
// restarted, so that the new process states an earlier start.
func TestServerRestartedAfterClockStepReturns(t *testing.T) {
	fleet := vrfleet.New()
	fleet.Put(start, readyEntry(200, 40))
	fleet.Put(start, readyEntry(100, 1))
	require.Equal(t, vrfleet.ChangeRestarted, fleet.Put(start, readyEntry(100, 2)))
	require.EqualValues(t, 100, fleet.Server("a").Born)
}
