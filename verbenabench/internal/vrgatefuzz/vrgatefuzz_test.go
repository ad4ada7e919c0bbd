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
// decisions about hedged calls and reserved places.
func TestFixedSeedsCoverStalls(t *testing.T) {
	var hedged, reserved, refused, hedgeWon, hedgeLost int
	for seed := 1; seed <= fixedSeedCount && min(hedged, reserved, refused, hedgeWon, hedgeLost) == 0; seed++ {
		for _, line := range Run(PlanOf(seed), true).Lines {
			superseded := strings.Contains(line, " vrevent.SendEnded") && strings.Contains(line, "Result:superseded")
			switch {
			case strings.Contains(line, "Hedge:true") && strings.Contains(line, " vrevent.PlaceReserved"):
				reserved++
			case strings.Contains(line, "Hedge:true"):
				hedged++
			case strings.Contains(line, "Detail:refused"):
				refused++
			case superseded && strings.Contains(line, " Send:1 "):
				hedgeWon++
			case superseded:
				hedgeLost++
			}
		}
	}
	require.Positive(t, hedged, "sends hedged without a reserved place")
	require.Positive(t, hedgeWon, "hedges that brought an answer or an event first")
	require.Positive(t, hedgeLost, "hedges that did not")
	require.Positive(t, reserved, "streams hedged at a reserved place")
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
