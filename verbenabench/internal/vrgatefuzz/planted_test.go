//go:build vrfault

package vrgatefuzz

import (
	"slices"
	"testing"

	"verbenaroute.example/verbenabench/internal/vrcampaign"
	"verbenaroute.example/verbenacore/vrfault"
)

// maxSteps is the number of actions within which each injected fault has to be found.
const maxSteps = 160_000

// TestPlantedFaultsAreFound guards against missing checks and actions: the campaign has to
// find every fault that can be injected into the gateway.
func TestPlantedFaultsAreFound(t *testing.T) {
	faults := make([]vrfault.Fault, 0, len(vrfault.GatewayNames))
	for fault := range vrfault.GatewayNames {
		faults = append(faults, fault)
	}
	slices.Sort(faults)
	t.Cleanup(func() { vrfault.Set(vrfault.None) })
	for _, fault := range faults {
		t.Run(vrfault.GatewayNames[fault], func(t *testing.T) {
			vrfault.Set(fault)
			summary := System.Campaign(vrcampaign.Options{Steps: maxSteps, Seed: 1, Workers: 4})
			if summary.Failure == nil {
				t.Fatalf("not found within %d steps", summary.Actions)
			}
			t.Logf("| %s | %d | %d | %s |", vrfault.GatewayNames[fault], summary.Failure.Seed, summary.Actions, summary.Failure.Result.Violation.Invariant)
		})
	}
}
