package vrfuzz

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fixedSeeds is the number of plans that every test run repeats; `verbenabench fuzz` runs
// more.
const fixedSeeds = 40

// Runs the plans of the first fixedSeeds seeds. A violation is a fault of the reducers.
func TestFixedSeeds(t *testing.T) {
	for seed := 1; seed <= fixedSeeds; seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			t.Parallel()
			plan := PlanOf(seed)
			result := Run(plan, false)
			if result.Violation != nil {
				t.Fatalf("seed %d after %d steps: %v", seed, result.Actions, result.Violation)
			}
		})
	}
}

// Runs new random plans, which can reach states that the fixed ones miss. On a violation, rapid
// prints the seed and shrinks the plan.
func TestDrawnPlans(t *testing.T) {
	const checks = 3
	completed := 0
	rapid.Check(t, func(t *rapid.T) {
		plan := Plans(0, 60).Draw(t, "plan")
		if completed++; completed > checks {
			// rapid's default number of checks is meant for cheaper properties.
			return
		}
		if result := Run(plan, false); result.Violation != nil {
			completed = 0
			t.Fatalf("%v\n%s", result.Violation, plan)
		}
	})
}

// A seed must repeat its run exactly, otherwise a violation cannot be debugged.
func TestSeedRepeatsRun(t *testing.T) {
	for _, seed := range []int{7, 23} {
		plan := PlanOf(seed)
		first, second := Run(plan, true), Run(PlanOf(seed), true)
		require.Equal(t, first.Lines, second.Lines)
		require.Equal(t, first.Digest, second.Digest)
		require.Equal(t, first.Events, second.Events)
	}
}

// The minimizer must not report a plan that violates another invariant or none.
func TestMinimizeKeepsPassingPlan(t *testing.T) {
	plan := PlanOf(3)
	const runs = 4
	require.Equal(t, plan.Actions, _daemonSystem.Minimize(plan, "I1", runs).Actions)
}
