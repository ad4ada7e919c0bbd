package vrgatefuzz

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFixedSeedsCoverLongHolds guards against a world in which no owner uses the long hold, gives orders
// while it has lost the store, is proved to have ended, or stops: then no plan would check the rules there.
func TestFixedSeedsCoverLongHolds(t *testing.T) {
	var ordersWithoutStore, ended, stopped, former int
	for seed := 1; seed <= fixedSeedCount && min(ordersWithoutStore, ended, stopped, former) == 0; seed++ {
		plan := PlanOf(seed)
		if !plan.World.SharesMachines {
			continue
		}
		former += plan.World.FormerDaemons
		lost := make(map[string]bool)
		for _, line := range Run(plan, true).Lines {
			process := strings.Fields(line)[1]
			switch {
			case strings.Contains(line, " vrevent.StoreLost{"):
				lost[process] = true
			case strings.Contains(line, " vrevent.StoreRecovered{"):
				lost[process] = false
			}
			if lost[process] && strings.Contains(line, "Message:order issued") {
				ordersWithoutStore++
			}
			if strings.Contains(line, "Message:placement owner ended") {
				ended++
			}
			if strings.Contains(line, "-> vrevent.StopOrders") {
				stopped++
			}
		}
	}
	require.Positive(t, ordersWithoutStore, "orders of an owner that has lost the store")
	require.Positive(t, ended, "proofs that an owner has ended")
	require.Positive(t, stopped, "owners that stop")
	require.Positive(t, former, "daemons of a former version")
}
