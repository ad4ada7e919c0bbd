// Package vrcampaign runs random plans of consecutive seeds until one violates an invariant,
// and minimizes the plan that did.
package vrcampaign

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"
)

const (
	maxMinimizeRuns = 300
	maxTraceLines   = 60
)

// ErrViolated is returned by a campaign's report when a plan violated an invariant.
var ErrViolated = errors.New("an invariant was broken")

// Violation describes the violation of an invariant.
type Violation struct {
	Invariant string
	At        time.Time
	Problem   string
}

func (v *Violation) Error() string {
	return fmt.Sprintf("%s at %s: %s", v.Invariant, v.At.Format("15:04:05.000"), v.Problem)
}

// Result is the outcome of one run of a plan.
type Result struct {
	Violation *Violation
	// Actions counts the actions that were executed, Events the events that were reduced.
	Actions int
	Events  uint64
	// Digest is a hash over all events. It is the same in every run of a plan.
	Digest uint64
	// Lines is the trace of the run, if it was requested.
	Lines []string
}

// Options configures a campaign.
type Options struct {
	// Steps is the minimum number of actions to execute.
	Steps int
	// Seed is the seed of the first plan; each later plan has the next higher seed.
	Seed    int
	Workers int
}

// System is the system that a campaign tests. P is the type of its plans, A that of their
// actions.
type System[P fmt.Stringer, A any] struct {
	// PlanOf returns the plan of a seed.
	PlanOf func(seed int) P
	// Run executes a plan and stops at the first violation. trace requests the trace lines.
	Run func(plan P, trace bool) Result
	// Actions returns the actions of a plan, With a copy of the plan with other actions.
	Actions func(plan P) []A
	With    func(plan P, actions []A) P
}

// Failure is a plan that violated an invariant.
type Failure[P any] struct {
	Seed   int
	Plan   P
	Result Result
}

// Summary is the outcome of a campaign.
type Summary[P any] struct {
	Plans   int
	Actions int
	Events  uint64
	Failure *Failure[P]
}

// Campaign runs plans of consecutive seeds until enough actions were executed or an
// invariant was violated. Of several failures, the summary holds the one with the lowest
// seed.
func (s System[P, A]) Campaign(options Options) Summary[P] {
	var (
		summary Summary[P]
		mu      sync.Mutex
		next    atomic.Int64
	)
	next.Store(int64(options.Seed))
	done := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return summary.Failure != nil || summary.Actions >= options.Steps
	}
	workers := pool.New()
	for range max(1, options.Workers) {
		workers.Go(func() {
			for !done() {
				seed := int(next.Add(1) - 1)
				plan := s.PlanOf(seed)
				result := s.Run(plan, false)
				mu.Lock()
				summary.add(seed, plan, result)
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	return summary
}

func (s *Summary[P]) add(seed int, plan P, result Result) {
	s.Plans++
	s.Actions += result.Actions
	s.Events += result.Events
	if result.Violation != nil && (s.Failure == nil || seed < s.Failure.Seed) {
		s.Failure = &Failure[P]{Seed: seed, Plan: plan, Result: result}
	}
}

// Minimize removes actions from a plan as long as it still violates the same invariant. It
// executes at most the given number of runs.
func (s System[P, A]) Minimize(plan P, invariant string, runs int) P {
	violates := func(actions []A) bool {
		runs--
		violation := s.Run(s.With(plan, actions), false).Violation
		return violation != nil && violation.Invariant == invariant
	}
	actions := s.Actions(plan)
	for size := len(actions) / 2; size > 0 && runs > 0; {
		removed := false
		for start := 0; start < len(actions) && runs > 0; {
			shorter := slices.Delete(slices.Clone(actions), start, min(start+size, len(actions)))
			if violates(shorter) {
				actions, removed = shorter, true
				continue
			}
			start += size
		}
		if !removed || size > 1 {
			size /= 2
		}
	}
	return s.With(plan, actions)
}

// Report runs a campaign and writes its outcome to out, with trace also the last events of
// the minimized plan. It returns ErrViolated if an invariant was violated.
func (s System[P, A]) Report(out io.Writer, options Options, trace bool) error {
	summary := s.Campaign(options)
	fmt.Fprintf(out, "plans %d, steps %d, events %d, first seed %d\n", summary.Plans, summary.Actions, summary.Events, options.Seed)
	failure := summary.Failure
	if failure == nil {
		fmt.Fprintln(out, "violations 0")
		return nil
	}
	fmt.Fprintf(out, "violation in seed %d after %d steps: %v\n", failure.Seed, failure.Result.Actions, failure.Result.Violation)
	minimal := s.Minimize(failure.Plan, failure.Result.Violation.Invariant, maxMinimizeRuns)
	result := s.Run(minimal, trace)
	fmt.Fprintf(out, "minimal plan:\n%sends with: %v\n", minimal, result.Violation)
	for _, line := range result.Lines[max(0, len(result.Lines)-maxTraceLines):] {
		fmt.Fprintln(out, line)
	}
	return ErrViolated
}
