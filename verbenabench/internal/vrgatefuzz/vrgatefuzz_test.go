package vrgatefuzz

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fixedSeedCount is the number of seeds whose plans every test run executes; `verbenabench
// fuzz --gateway` runs more.
const fixedSeedCount = 40

// TestFixedSeeds guards against gateway decisions that violate an invariant in the plans of
// the seeds 1 to fixedSeedCount.
func TestFixedSeeds(t *testing.T) {
	for seed := 1; seed <= fixedSeedCount; seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			t.Parallel()
			result := Run(PlanOf(seed), false)
			require.Nil(t, result.Violation, "after %d steps", result.Actions)
		})
	}
}

// TestRegressionSeeds guards against the return of fixed faults, with the seeds that found
// them.
func TestRegressionSeeds(t *testing.T) {
	for seed, cause := range map[int]string{
		41000846: "a new owner forgot its predecessor's loads from the weight store",
		41002239: "the fakes kept the runs of a suspended daemon that was ended by force; no product fault",
		51000129: "the oracle took a send that never arrived for the first arrival; no product fault",
	} {
		require.Nil(t, Run(PlanOf(seed).WithoutRestores(), false).Violation, cause)
	}
}

// TestRandomPlans runs new plans each time, to find violations that the fixed seeds miss. On
// a failure, rapid prints the seed and shrinks the plan.
func TestRandomPlans(t *testing.T) {
	const maxChecks = 3
	executed := 0
	rapid.Check(t, func(t *rapid.T) {
		plan := Plans(0, 60).Draw(t, "plan")
		if executed++; executed > maxChecks {
			// rapid's default number of checks is too high for runs as expensive as these.
			return
		}
		if result := Run(plan, false); result.Violation != nil {
			executed = 0
			t.Fatalf("%v\n%s", result.Violation, plan)
		}
	})
}

// TestFixedSeedsCoverStalls guards against a world in which no send stalls: then no plan would check the
// decisions about calls that are given up before their first byte or moved to a reserved place.
func TestFixedSeedsCoverStalls(t *testing.T) {
	var givenUp, moved, refused int
	for seed := 1; seed <= fixedSeedCount && (givenUp == 0 || moved == 0 || refused == 0); seed++ {
		for _, line := range Run(PlanOf(seed), true).Lines {
			abandons := strings.Contains(line, "-> vrevent.AbandonSend")
			switch {
			case abandons && strings.Contains(line, " vrevent.SendStalled"):
				givenUp++
			case abandons && strings.Contains(line, " vrevent.PlaceReserved"):
				moved++
			case strings.Contains(line, "Detail:refused"):
				refused++
			}
		}
	}
	require.Positive(t, givenUp, "calls given up before their first byte")
	require.Positive(t, moved, "streams moved to a reserved place")
	require.Positive(t, refused, "refused places")
}

// TestSameSeedSameRun guards against runs that differ for the same seed, which would make it
// impossible to reproduce a violation.
func TestSameSeedSameRun(t *testing.T) {
	for _, seed := range []int{7, 23} {
		plan := PlanOf(seed)
		first, second := Run(plan, true), Run(PlanOf(seed), true)
		require.Equal(t, len(first.Lines), len(second.Lines))
		require.Equal(t, first.Digest, second.Digest)
		require.Equal(t, first.Events, second.Events)
	}
}
