package vrfleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
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

// Guards against requests to servers that have left: a restored store lists them again, as of some
// seconds ago, and a feeder repeats that entry. A server whose registration only lapsed has to come back
// with its next renewal, and one that starts again with its first.
func TestRemovedServerReturnsOnlyAfterRenewal(t *testing.T) {
	for _, test := range []struct {
		name  string
		entry vrfleet.Entry
		want  vrfleet.Change
		ready bool
	}{
		{"older copy", readyEntry(100, 5), vrfleet.ChangeOutdated, false},
		{"last known entry", readyEntry(100, 7), vrfleet.ChangeOutdated, false},
		{"former process", readyEntry(90, 50), vrfleet.ChangeOutdated, false},
		{"renewal after a lapse", readyEntry(100, 8), vrfleet.ChangeAdded, true},
		{"next process", readyEntry(101, 1), vrfleet.ChangeAdded, true},
	} {
		for _, inFlight := range []bool{false, true} {
			fleet := vrfleet.New()
			fleet.Put(start, readyEntry(100, 7))
			if inFlight {
				fleet.Server("a").RecordSend()
			}
			require.True(t, fleet.Remove("a"))
			require.Equal(t, test.want, fleet.Put(start, test.entry), "%s, request in flight: %v", test.name, inFlight)
			require.Equal(t, test.ready, len(fleet.ServersOf("app")) == 1 && fleet.Server("a").AcceptsWork(), test.name)
		}
	}
}

// Guards against requests to a draining server that was removed and is listed as ready again.
func TestDrainingServerStaysDrainingAfterRemoval(t *testing.T) {
	fleet := vrfleet.New()
	fleet.Put(start, drainingEntry(100, 7))
	fleet.Remove("a")
	fleet.Put(start, readyEntry(100, 8))
	require.False(t, fleet.Server("a").AcceptsWork())
}

// Guards against a memory of removed servers that grows without bound, or that forgets a server which
// was removed again a moment ago.
func TestMemoryOfRemovedServersIsBounded(t *testing.T) {
	const servers = 10_000
	fleet := vrfleet.New()
	entry := func(i int) vrfleet.Entry {
		entry := readyEntry(100, 7)
		entry.ID = vrid.ServerID(fmt.Sprint(i))
		return entry
	}
	for i := range servers {
		fleet.Put(start, entry(i))
		fleet.Remove(entry(i).ID)
	}
	require.Equal(t, vrfleet.ChangeAdded, fleet.Put(start, entry(0)), "the oldest removal is forgotten")
	fleet.Remove(entry(0).ID)
	for _, i := range []int{0, servers - 1, servers - 1000} {
		require.Equal(t, vrfleet.ChangeOutdated, fleet.Put(start, entry(i)), "removal %d", i)
	}
}
