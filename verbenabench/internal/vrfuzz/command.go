package vrfuzz

import (
	"github.com/spf13/cobra"

	"verbenaroute.example/verbenabench/internal/vrcampaign"
	"verbenaroute.example/verbenabench/internal/vrgatefuzz"
)

const (
	// minActions and maxActions limit the number of actions in one plan.
	minActions     = 60
	maxActions     = 400
	defaultSteps   = 20_000
	defaultWorkers = 4
)

// _daemonSystem runs plans against daemons in zones, with fakes of everything else.
var _daemonSystem = vrcampaign.System[Plan, Action]{
	PlanOf:  PlanOf,
	Run:     Run,
	Actions: func(plan Plan) []Action { return plan.Actions },
	With: func(plan Plan, actions []Action) Plan {
		plan.Actions = actions
		return plan
	},
}

// PlanOf returns the plan generated from a seed.
func PlanOf(seed int) Plan { return Plans(minActions, maxActions).Example(seed) }

// Command returns the fuzz subcommand, which runs more plans than the tests do.
func Command() *cobra.Command {
	options := vrcampaign.Options{}
	fault := ""
	trace, gateways := false, false
	command := &cobra.Command{
		Use:   "fuzz",
		Short: "Run reducers against randomly generated faults and check the invariants",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := enableFault(fault); err != nil {
				return err
			}
			if gateways {
				return vrgatefuzz.System.Report(command.OutOrStdout(), options, trace)
			}
			return _daemonSystem.Report(command.OutOrStdout(), options, trace)
		},
	}
	command.Flags().IntVar(&options.Steps, "steps", defaultSteps, "minimum number of actions to perform")
	command.Flags().IntVar(&options.Seed, "seed", 1, "seed of the first plan")
	command.Flags().IntVar(&options.Workers, "workers", defaultWorkers, "number of plans to run concurrently")
	command.Flags().StringVar(&fault, "fault", "", "planted fault to enable (requires the build tag vrfault)")
	command.Flags().BoolVar(&gateways, "gateway", false, "test gateways in front of servers that register themselves")
	command.AddCommand(costsCommand())
	command.Flags().BoolVar(&trace, "trace", false, "print the last events of the minimized failing plan")
	return command
}
