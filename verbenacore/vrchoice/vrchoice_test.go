package vrchoice_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrchoice"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

var now = time.Unix(1_790_000_000, 0)

func chooser(entries ...vrfleet.Entry) *vrchoice.Chooser {
	fleet := vrfleet.New()
	for _, entry := range entries {
		entry.Service, entry.Slots, entry.State = "lm", 8, vrfleet.StateReady
		if entry.Zone == "" {
			entry.Zone = "z"
		}
		fleet.Put(now, entry)
	}
	return &vrchoice.Chooser{
		Fleet: fleet, Random: rand.New(rand.NewPCG(1, 2)), Zone: "z",
		Regions: map[vrid.ZoneID]vrid.RegionID{"z": "r", "far": "q"},
	}
}

func holding(id vrid.ServerID, models ...vrid.ModelID) vrfleet.Entry {
	entry := vrfleet.Entry{ID: id}
	for _, model := range models {
		entry.Holds = append(entry.Holds, vrfleet.Holding{Model: model, Adapters: []vrid.AdapterID{"a1"}})
	}
	return entry
}

// What is lacking decides whether a call waits for a load or is refused.
func TestLack(t *testing.T) {
	c := chooser(holding("s1", "m"))
	for _, test := range []struct {
		need vrchoice.Need
		want vrchoice.Lack
	}{
		{vrchoice.Need{Service: "lm", Model: "m", Adapter: "a1"}, vrchoice.LackNone},
		{vrchoice.Need{Service: "lm", Model: "m", Adapter: "a2"}, vrchoice.LackAdapter},
		{vrchoice.Need{Service: "lm", Model: "n"}, vrchoice.LackModel},
		{vrchoice.Need{Service: "lm", Model: "m", Exclude: []vrid.ServerID{"s1"}}, vrchoice.LackHealthy},
		{vrchoice.Need{Service: "other"}, vrchoice.LackServers},
	} {
		_, lack := c.Best(now, test.need)
		require.Equal(t, test.want, lack, "%+v", test.need)
	}
}

// counts says how often each server is chosen while every choice is sent there.
func counts(c *vrchoice.Chooser, rounds int, tokens int) map[vrid.ServerID]int {
	chosen := make(map[vrid.ServerID]int)
	for range rounds {
		server, _ := c.Best(now, vrchoice.Need{Service: "lm", Model: "m"})
		chosen[server.ID]++
		server.Sent()
		server.Unread += tokens
	}
	return chosen
}

// The load pattern of a burst of long prompts: while one is read, the tokens of all streams
// at its server wait, so prompts are spread by what is still to be read.
func TestBurstOfPromptsIsSpread(t *testing.T) {
	chosen := counts(chooser(holding("s1", "m"), holding("s2", "m"), holding("s3", "m")), 9, 3000)
	require.Equal(t, map[vrid.ServerID]int{"s1": 3, "s2": 3, "s3": 3}, chosen)
}

// A server in another region is used once the near one is busier, not before.
func TestNearServersComeFirst(t *testing.T) {
	far := holding("far", "m")
	far.Zone = "far"
	c := chooser(holding("near", "m"), far)
	server, _ := c.Best(now, vrchoice.Need{Service: "lm", Model: "m"})
	require.EqualValues(t, "near", server.ID)
	require.Positive(t, counts(c, 8, 2000)["far"])
}

// A server that was slow once must get requests again, or nothing tells that it recovered
// (scale-2: five servers held a model, one got 54 of 76 requests).
func TestSlowServerIsTriedAgain(t *testing.T) {
	c := chooser(holding("slow", "m"), holding("fast", "m"))
	c.Fleet.Server("slow").Succeeded(now, time.Second)
	c.Fleet.Server("fast").Succeeded(now, 50*time.Millisecond)
	best, _ := c.Best(now, vrchoice.Need{Service: "lm", Model: "m"})
	require.EqualValues(t, "fast", best.ID)
	later := now.Add(15 * time.Second)
	chosen := make(map[vrid.ServerID]int)
	for range 20 {
		server, _ := c.Best(later, vrchoice.Need{Service: "lm", Model: "m"})
		chosen[server.ID]++
	}
	require.Positive(t, chosen["slow"])
}
