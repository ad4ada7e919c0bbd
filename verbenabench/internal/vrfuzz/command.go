package vrfuzz

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/conc/pool"
	"github.com/spf13/cobra"
)

const (
	// actionsLow and actionsHigh bound the actions of one plan.
	actionsLow    = 60
	actionsHigh   = 400
	minimizeRuns  = 300
	traceTail     = 60
	defaultSteps  = 20_000
	defaultWorker = 4
)

// errViolated ends the command with a failure.
var errViolated = errors.New("an invariant was broken")

// Options of a campaign.
type Options struct {
	// Steps is the number of actions to carry out at least.
	Steps int
	// Seed is that of the first plan; the next ones count on.
	Seed    int
	Workers int
}

// Failure is a plan that broke an invariant.
type Failure struct {
	Seed   int
	Plan   Plan
	Result Result
}

// Summary is the end of a campaign.
type Summary struct {
	Plans   int
	Actions int
	Events  uint64
	Failure *Failure
}

// PlanOf is the plan of a seed.
func PlanOf(seed int) Plan { return Plans(actionsLow, actionsHigh).Example(seed) }

// Campaign runs plans of consecutive seeds until enough actions were carried out or an
// invariant broke. The failure with the lowest seed is returned.
func Campaign(options Options) Summary {
	var (
		summary Summary
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
				plan := PlanOf(seed)
				result := Run(plan, false)
				mu.Lock()
				summary.add(seed, plan, result)
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	return summary
}

func (s *Summary) add(seed int, plan Plan, result Result) {
	s.Plans++
	s.Actions += result.Actions
	s.Events += result.Events
	if result.Violation != nil && (s.Failure == nil || seed < s.Failure.Seed) {
		s.Failure = &Failure{Seed: seed, Plan: plan, Result: result}
	}
}

// Command returns the command that runs the fuzz test for longer.
func Command() *cobra.Command {
	options := Options{}
	fault := ""
	trace := false
	command := &cobra.Command{
		Use:   "fuzz",
		Short: "Run reducers against drawn faults and check the invariants",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := plant(fault); err != nil {
				return err
			}
			return report(command.OutOrStdout(), options, trace)
		},
	}
	command.Flags().IntVar(&options.Steps, "steps", defaultSteps, "number of actions to carry out")
	command.Flags().IntVar(&options.Seed, "seed", 1, "seed of the first plan")
	command.Flags().IntVar(&options.Workers, "workers", defaultWorker, "number of plans at once")
	command.Flags().StringVar(&fault, "fault", "", "planted fault to switch on (needs the build tag vrfault)")
	command.AddCommand(costsCommand())
	command.Flags().BoolVar(&trace, "trace", false, "print the last events of the minimal plan")
	return command
}

func report(out io.Writer, options Options, trace bool) error {
	summary := Campaign(options)
	fmt.Fprintf(out, "plans %d, steps %d, events %d, first seed %d\n", summary.Plans, summary.Actions, summary.Events, options.Seed)
	failure := summary.Failure
	if failure == nil {
		fmt.Fprintln(out, "violations 0")
		return nil
	}
	fmt.Fprintf(out, "violation in seed %d after %d steps: %v\n", failure.Seed, failure.Result.Actions, failure.Result.Violation)
	minimal := Minimize(failure.Plan, failure.Result.Violation.Invariant, minimizeRuns)
	result := Run(minimal, trace)
	fmt.Fprintf(out, "minimal plan:\n%sends with: %v\n", minimal, result.Violation)
	for _, line := range result.Lines[max(0, len(result.Lines)-traceTail):] {
		fmt.Fprintln(out, line)
	}
	return errViolated
}
