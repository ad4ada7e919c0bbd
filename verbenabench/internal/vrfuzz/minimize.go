package vrfuzz

import "slices"

// Minimize removes actions from a plan while it still breaks the same invariant. It
// carries out at most the given number of runs.
func Minimize(plan Plan, invariant string, runs int) Plan {
	fails := func(actions []Action) bool {
		runs--
		candidate := plan
		candidate.Actions = actions
		found := Run(candidate, false).Violation
		return found != nil && found.Invariant == invariant
	}
	actions := plan.Actions
	for size := len(actions) / 2; size > 0 && runs > 0; {
		removed := false
		for start := 0; start < len(actions) && runs > 0; {
			shorter := slices.Delete(slices.Clone(actions), start, min(start+size, len(actions)))
			if fails(shorter) {
				actions, removed = shorter, true
				continue
			}
			start += size
		}
		if !removed || size > 1 {
			size /= 2
		}
	}
	plan.Actions = actions
	return plan
}
