package vrplace_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplace"
	"verbenaroute.example/verbenacore/vrwire"
)

var slotStart = time.Unix(1_000_000, 0)

func waiting(model string, rank vrid.Rank, deadline time.Duration) vrwire.SlotLoad {
	return vrwire.SlotLoad{
		Order: vrid.OrderID(model), Model: vrid.ModelID(model), Rank: rank,
		Deadline: slotStart.Add(deadline).UnixMilli(), Room: 40, Work: 900,
	}
}

func holding(model string) vrwire.SlotLoad {
	load := waiting(model, vrid.RankUrgent, time.Second)
	load.Holding = true
	return load
}

// Loads in any other order let urgent requests wait for digests, and more loads at once
// than places slow all of them down.
func TestSlotsFollowRankAndDeadline(t *testing.T) {
	long := waiting("long", vrid.RankUrgent, 6*time.Second)
	long.Work = 1300
	near := holding("near")
	near.Near = true
	tests := []struct {
		name  string
		loads map[vrid.ZoneID][]vrwire.SlotLoad
		want  map[vrid.ZoneID][]vrid.OrderID
	}{
		{
			name: "urgent first, over zones",
			loads: map[vrid.ZoneID][]vrwire.SlotLoad{
				"a": {waiting("digest", vrid.RankDeferred, time.Second), waiting("prompt", vrid.RankUrgent, 6*time.Second)},
				"b": {waiting("chapter", vrid.RankUrgent, 5*time.Second)},
			},
			want: map[vrid.ZoneID][]vrid.OrderID{"a": {"prompt"}, "b": {"chapter"}},
		},
		{
			name: "the longest load first within a class of deadlines",
			loads: map[vrid.ZoneID][]vrwire.SlotLoad{
				"a": {waiting("x", vrid.RankUrgent, 6*time.Second), waiting("y", vrid.RankUrgent, 6*time.Second), long},
			},
			want: map[vrid.ZoneID][]vrid.OrderID{"a": {"long", "x"}},
		},
		{
			name: "running loads keep their places",
			loads: map[vrid.ZoneID][]vrwire.SlotLoad{
				"a": {holding("one"), holding("two")}, "b": {waiting("three", vrid.RankUrgent, time.Second)},
			},
			want: map[vrid.ZoneID][]vrid.OrderID{"a": {}, "b": {}},
		},
		{
			name: "a load from a near copy takes no place",
			loads: map[vrid.ZoneID][]vrwire.SlotLoad{
				"a": {near, holding("one"), waiting("two", vrid.RankUrgent, time.Second)},
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
	const places = 2
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			slots := vrplace.NewSlotAllocator()
			for _, zone := range []vrid.ZoneID{"a", "b"} {
				if loads := test.loads[zone]; loads != nil {
					slots.SetLoads(slotStart, zone, loads)
				}
			}
			require.Equal(t, test.want, slots.Assign(slotStart.Add(time.Second), places))
		})
	}
}

// A zone that fell silent would hold its places for ever.
func TestSilentZoneLosesItsPlaces(t *testing.T) {
	slots := vrplace.NewSlotAllocator()
	slots.SetLoads(slotStart, "a", []vrwire.SlotLoad{holding("one")})
	now := slotStart.Add(2 * time.Second)
	slots.SetLoads(now, "b", []vrwire.SlotLoad{waiting("two", vrid.RankUrgent, time.Minute)})
	require.Empty(t, slots.Assign(now, 1)["b"])
	now = slotStart.Add(4 * time.Second)
	require.Equal(t, []vrid.OrderID{"two"}, slots.Assign(now, 1)["b"])
}

// A digest that starts in the first milliseconds of a burst keeps its place for as long
// as an urgent load would take.
func TestLowRankWaitsForItsBurst(t *testing.T) {
	slots := vrplace.NewSlotAllocator()
	digests := []vrwire.SlotLoad{
		waiting("digest-1", vrid.RankDeferred, time.Minute), waiting("digest-2", vrid.RankDeferred, time.Minute),
	}
	slots.SetLoads(slotStart, "a", digests)
	require.Len(t, slots.Assign(slotStart, 4)["a"], 1, "a lone load need not wait")
	require.Len(t, slots.Assign(slotStart.Add(200*time.Millisecond), 4)["a"], 2)
}
