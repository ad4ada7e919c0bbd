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

func entryHolding(id vrid.ServerID, models ...vrid.ModelID) vrfleet.Entry {
	entry := vrfleet.Entry{ID: id}
	for _, model := range models {
		entry.Holds = append(entry.Holds, vrfleet.LoadedModel{Model: model, Adapters: []vrid.AdapterID{"a1"}})
	}
	return entry
}

// The reported reason decides whether a call waits for a load or is refused, so a wrong one
// refuses calls that could be served or keeps calls waiting that can't.
func TestMissingReason(t *testing.T) {
	c := chooser(entryHolding("s1", "m"))
	for _, test := range []struct {
		need vrchoice.Requirements
		want vrchoice.Missing
	}{
		{vrchoice.Requirements{Service: "lm", Model: "m", Adapter: "a1"}, vrchoice.MissingNone},
		{vrchoice.Requirements{Service: "lm", Model: "m", Adapter: "a2"}, vrchoice.MissingAdapter},
		{vrchoice.Requirements{Service: "lm", Model: "n"}, vrchoice.MissingModel},
		{vrchoice.Requirements{Service: "lm", Model: "m", Exclude: []vrid.ServerID{"s1"}}, vrchoice.MissingHealthyServer},
		{vrchoice.Requirements{Service: "other"}, vrchoice.MissingServer},
	} {
		_, missing := c.Best(now, test.need)
		require.Equal(t, test.want, missing, "%+v", test.need)
	}
}

// selectionCounts selects a server rounds times, sends it a prompt of the given length each time,
// and returns how often each server was selected.
func selectionCounts(c *vrchoice.Chooser, rounds int, tokens int) map[vrid.ServerID]int {
	counts := make(map[vrid.ServerID]int)
	for range rounds {
		server, _ := c.Best(now, vrchoice.Requirements{Service: "lm", Model: "m"})
		counts[server.ID]++
		server.RecordSend()
		server.PendingPromptTokens += tokens
	}
	return counts
}

// In a burst of long prompts, a server that processes one prompt delays the tokens of all its
// other streams, so servers must be selected by their number of pending prompt tokens.
func TestBurstOfPromptsIsSpread(t *testing.T) {
	chosen := selectionCounts(chooser(entryHolding("s1", "m"), entryHolding("s2", "m"), entryHolding("s3", "m")), 9, 3000)
	require.Equal(t, map[vrid.ServerID]int{"s1": 3, "s2": 3, "s3": 3}, chosen)
}

// A server in another region must get requests only once the nearby one is busier.
func TestNearServersComeFirst(t *testing.T) {
	far := entryHolding("far", "m")
	far.Zone = "far"
	c := chooser(entryHolding("near", "m"), far)
	server, _ := c.Best(now, vrchoice.Requirements{Service: "lm", Model: "m"})
	require.EqualValues(t, "near", server.ID)
	require.Positive(t, selectionCounts(c, 8, 2000)["far"])
}

// A server that was slow once must get requests again, or its recovery is never noticed. In a
// run of the scale-2 scenario, five servers had a model loaded and one of them got 54 of 76
// requests.
func TestSlowServerIsTriedAgain(t *testing.T) {
	c := chooser(entryHolding("slow", "m"), entryHolding("fast", "m"))
	c.Fleet.Server("slow").RecordSuccess(now, time.Second)
	c.Fleet.Server("fast").RecordSuccess(now, 50*time.Millisecond)
	best, _ := c.Best(now, vrchoice.Requirements{Service: "lm", Model: "m"})
	require.EqualValues(t, "fast", best.ID)
	later := now.Add(15 * time.Second)
	chosen := make(map[vrid.ServerID]int)
	for range 20 {
		server, _ := c.Best(later, vrchoice.Requirements{Service: "lm", Model: "m"})
		chosen[server.ID]++
	}
	require.Positive(t, chosen["slow"])
}
