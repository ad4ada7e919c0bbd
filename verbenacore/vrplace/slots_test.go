package vrplace_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplace"
	"verbenaroute.example/verbenacore/vrwire"
)

var startTime = time.Unix(1_000_000, 0)

func waiting(model string, rank vrid.Rank, deadline time.Duration) vrwire.SlotLoad {
	return vrwire.SlotLoad{
		Order: vrid.OrderID(model), Model: vrid.ModelID(model), Rank: rank,
		Deadline: startTime.Add(deadline).UnixMilli(), FreeMemoryGiB: 40, LoadMillis: 900,
	}
}

func holding(model string) vrwire.SlotLoad {
	load := waiting(model, vrid.RankUrgent, time.Second)
	load.HoldsSlot = true
	return load
}

// TestSlotsFollowRankAndDeadline checks the order and the number of loads: in any other order
// urgent requests would wait for loads of deferred ones, and more loads at once than slots
// would slow all of them down.
func TestSlotsFollowRankAndDeadline(t *testing.T) {
	long := waiting("long", vrid.RankUrgent, 6*time.Second)
	long.LoadMillis = 1300
	local := holding("near")
	local.LocalSource = true
	tests := []struct {
		name  string
		loads map[vrid.ZoneID][]vrwire.SlotLoad
		want  map[vrid.ZoneID][]vrid.OrderID
	}{
		{
			name: "urgent first across zones",
			loads: map[vrid.ZoneID][]vrwire.SlotLoad{
				"a": {waiting("digest", vrid.RankDeferred, time.Second), waiting("prompt", vrid.RankUrgent, 6*time.Second)},
				"b": {waiting("chapter", vrid.RankUrgent, 5*time.Second)},
			},
			want: map[vrid.ZoneID][]vrid.OrderID{"a": {"prompt"}, "b": {"chapter"}},
		},
		{
			name: "the longest load first within a bucket of deadlines",
			loads: map[vrid.ZoneID][]vrwire.SlotLoad{
				"a": {waiting("x", vrid.RankUrgent, 6*time.Second), waiting("y", vrid.RankUrgent, 6*time.Second), long},
			},
			want: map[vrid.ZoneID][]vrid.OrderID{"a": {"long", "x"}},
		},
		{
			name: "running loads keep their slots",
			loads: map[vrid.ZoneID][]vrwire.SlotLoad{
				"a": {holding("one"), holding("two")}, "b": {waiting("three", vrid.RankUrgent, time.Second)},
			},
			want: map[vrid.ZoneID][]vrid.OrderID{"a": {}, "b": {}},
		},
		{
			name: "a load from a local copy takes no slot",
			loads: map[vrid.ZoneID][]vrwire.SlotLoad{
				"a": {local, holding("one"), waiting("two", vrid.RankUrgent, time.Second)},
			},
			want: map[vrid.ZoneID][]vrid.OrderID{"a": {"two"}},
		},
		{
			name: "one zone loads a model for all",
			loads: map[vrid.ZoneID][]vrwire.SlotLoad{
				"a": {holding("m")}, "b": {waiting("m", vrid.RankUrgent, time.Second)},
			},
			want: map[vrid.ZoneID][]vrid.OrderID{"a": {}, "b": {}},
		},
	}
	const capacity = 2
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			slots := vrplace.NewSlotAllocator()
			for _, zone := range []vrid.ZoneID{"a", "b"} {
				if loads := test.loads[zone]; loads != nil {
					slots.SetLoads(startTime, zone, loads)
				}
			}
			require.Equal(t, test.want, slots.Assign(startTime.Add(time.Second), capacity))
		})
	}
}

// TestSilentZoneLosesItsSlots guards against a zone that stops sending messages and keeps its
// slots forever.
func TestSilentZoneLosesItsSlots(t *testing.T) {
	slots := vrplace.NewSlotAllocator()
	slots.SetLoads(startTime, "a", []vrwire.SlotLoad{holding("one")})
	now := startTime.Add(2 * time.Second)
	slots.SetLoads(now, "b", []vrwire.SlotLoad{waiting("two", vrid.RankUrgent, time.Minute)})
	require.Empty(t, slots.Assign(now, 1)["b"])
	now = startTime.Add(4 * time.Second)
	require.Equal(t, []vrid.OrderID{"two"}, slots.Assign(now, 1)["b"])
}

// TestLowRankWaitsForItsBurst guards against a deferred load that starts in the first
// milliseconds of a burst: it keeps its slot for as long as an urgent load would take.
func TestLowRankWaitsForItsBurst(t *testing.T) {
	slots := vrplace.NewSlotAllocator()
	digests := []vrwire.SlotLoad{
		waiting("digest-1", vrid.RankDeferred, time.Minute), waiting("digest-2", vrid.RankDeferred, time.Minute),
	}
	slots.SetLoads(startTime, "a", digests)
	require.Len(t, slots.Assign(startTime, 4)["a"], 1, "a single load need not wait")
	require.Len(t, slots.Assign(startTime.Add(200*time.Millisecond), 4)["a"], 2)
}
