package vrgateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

func appServers(count int) []vrfleet.Entry {
	entries := make([]vrfleet.Entry, count)
	for i := range entries {
		entries[i] = appEntry(vrid.ServerID(fmt.Sprintf("a%d", i)))
	}
	return entries
}

// bothOrders plays a pattern with ordered admission and with the order of services without tenants.
func bothOrders(t *testing.T, play func(tenants bool) map[string]*outcome) (ordered, old map[string]*outcome) {
	t.Helper()
	return play(true), play(false)
}

// Guards against a tenant at seven times its usual load that takes the slots of the others: their calls waited
// behind its calls, or were turned away by full servers.
func TestTenantAtSevenTimesItsLoad(t *testing.T) {
	ordered, old := bothOrders(t, func(tenants bool) map[string]*outcome {
		r := newReplay(t, 1, tenants, 200*time.Millisecond, appServers(8)...)
		kinds := []clients{{name: "flood", route: "urgent", perSecond: 100, retries: 2}}
		for i := 1; i < replayTenants; i++ {
			kinds = append(kinds, clients{name: "usual", route: "urgent", tenant: i, perSecond: 13})
		}
		return r.play(10*time.Second, kinds...)
	})
	require.Greater(t, ordered["usual"].inTimeShare(), 0.95)
	require.Greater(t, ordered["flood"].inTimeShare(), 0.5, "a tenant gets what the others leave")
	require.Less(t, old["usual"].inTimeShare(), 0.9)
}

// Guards against a burst of deferred calls that takes the slots from urgent ones, and against urgent ones that
// leave nothing to the deferred.
func TestBurstOfDeferredCalls(t *testing.T) {
	ordered, old := bothOrders(t, func(tenants bool) map[string]*outcome {
		r := newReplay(t, 2, tenants, 200*time.Millisecond, appServers(8)...)
		return r.play(10*time.Second, clients{name: "urgent", route: "urgent", perSecond: 70},
			clients{name: "deferred", route: "deferred", perSecond: 60, retries: 3}, clients{name: "deferred", route: "deferred", perSecond: 80, from: 2 * time.Second, until: 6 * time.Second, retries: 3})
	})
	require.Greater(t, ordered["urgent"].inTimeShare(), 0.97)
	require.Greater(t, ordered["deferred"].answeredShare(), 0.9)
	require.Less(t, old["urgent"].inTimeShare(), 0.9)
}

// Guards against clients that return three times immediately and make the servers serve calls that are late
// already, and against refusals that come after a long wait.
func TestClientsThatRetryImmediately(t *testing.T) {
	ordered, old := bothOrders(t, func(tenants bool) map[string]*outcome {
		r := newReplay(t, 2, tenants, 200*time.Millisecond, appServers(8)...)
		return r.play(10*time.Second, clients{name: "hasty", route: "urgent", perSecond: 240, retries: 3, hasty: true},
			clients{name: "patient", route: "urgent", tenant: 1, perSecond: 40, retries: 3})
	})
	require.Greater(t, ordered["patient"].inTimeShare(), 0.93)
	require.Greater(t, ordered["hasty"].answered+ordered["patient"].answered, 1600, "slots stay empty")
	require.Less(t, float64(ordered["hasty"].slowRefusals), 0.1*float64(ordered["hasty"].refusals))
	require.Less(t, old["patient"].inTimeShare(), 0.8)
}

// Guards against a loss of a third of the servers while all models are in use, after which the long calls take
// the slots of the urgent ones, models starve, or a server gets more than its cache holds.
func TestThirdOfServersGone(t *testing.T) {
	ordered, old := bothOrders(t, func(tenants bool) map[string]*outcome {
		entries := make([]vrfleet.Entry, 0, 6)
		for i := range 6 {
			entry := engineEntry(vrid.ServerID(fmt.Sprintf("e%d", i)))
			entry.Slots = 8
			for j := range 12 {
				if j%3 == i%3 {
					entry.Holds = append(entry.Holds, vrfleet.LoadedModel{Model: replayModel(j)})
				}
			}
			entries = append(entries, entry)
		}
		r := newReplay(t, 1, tenants, 300*time.Millisecond, entries...)
		r.remove(3*time.Second, "e0", "e1")
		return r.play(10*time.Second, clients{name: "stream", route: "stream", perSecond: 60, models: 12, tokens: 700},
			clients{name: "long", route: "long", perSecond: 45, models: 12, tokens: 1600, tenant: 1, retries: 2})
	})
	require.Nil(t, ordered["crashes"], "a server got more tokens than its cache holds")
	require.Greater(t, ordered["stream"].inTimeShare(), 0.95)
	for i := range 12 {
		require.Greater(t, ordered["long"].byModel[replayModel(i)], 10, "model %d", i)
	}
	require.NotNil(t, old["crashes"])
}

// Guards against clients that leave early: a tenant's calls must not come later because calls of its clients
// that left count as served, and calls that left must not keep their place.
func TestClientsThatLeaveEarly(t *testing.T) {
	ordered, old := bothOrders(t, func(tenants bool) map[string]*outcome {
		r := newReplay(t, 1, tenants, 200*time.Millisecond, appServers(8)...)
		return r.play(10*time.Second, clients{name: "leaving", route: "urgent", perSecond: 150, leaveAfter: 60 * time.Millisecond},
			clients{name: "staying", route: "urgent", perSecond: 20}, clients{name: "other", route: "urgent", tenant: 1, perSecond: 260})
	})
	require.Greater(t, ordered["staying"].answeredShare(), 0.8)
	require.Less(t, old["staying"].answeredShare(), 0.7)
}
