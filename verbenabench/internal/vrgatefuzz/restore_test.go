package vrgatefuzz

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFixedSeedsCoverRestores guards against a world in which daemons don't notice a restore of the store,
// or none is suspended when it happens: then no plan would check what they do after it.
func TestFixedSeedsCoverRestores(t *testing.T) {
	var noticed, relisted, acquired int
	for seed := 1; seed <= fixedSeedCount && (noticed == 0 || relisted == 0 || acquired == 0); seed++ {
		restored := false
		for _, line := range Run(PlanOf(seed), true).Lines {
			switch {
			case strings.Contains(line, " vrevent.StoreRestored{"):
				noticed++
				restored = true
			case restored && strings.Contains(line, " vrevent.FleetListed{"):
				relisted++
			case restored && strings.Contains(line, "lease acquired"):
				acquired++
			}
		}
	}
	require.Positive(t, noticed, "restores that daemons noticed")
	require.Positive(t, relisted, "lists after a restore")
	require.Positive(t, acquired, "leases acquired after a restore")
}
