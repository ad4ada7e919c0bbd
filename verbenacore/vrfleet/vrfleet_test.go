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
