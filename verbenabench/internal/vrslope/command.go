package vrslope

import (
	"time"

	"github.com/spf13/cobra"
)

// defaultCalls is enough calls to fill more than one segment of claims and outcomes.
const defaultCalls = 4000

// RecordCommand returns `verbenabench record-cost`.
func RecordCommand() *cobra.Command {
	options := RecordOptions{}
	command := newCommand("record-cost", "Measure record bytes and platform writes of a group of daemons",
		func(command *cobra.Command) error {
			options.Out = command.OutOrStdout()
			_, err := Record(options)
			return err
		})
	const defaultFor = 5 * time.Minute
	flags := command.Flags()
	flags.IntSliceVar(&options.Rates, "rates", []int{1, 5, 25, 100}, "requests a second at one daemon")
	flags.DurationSliceVar(&options.Periods, "periods",
		[]time.Duration{2 * time.Second, 5 * time.Second, 15 * time.Second}, "ages at which a block is closed")
	flags.DurationVar(&options.Duration, "for", defaultFor, "virtual time of each run")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed")
	return command
}

// ClaimCommand returns `verbenabench claim-cost`.
func ClaimCommand() *cobra.Command {
	options := ClaimOptions{}
	command := newCommand("claim-cost", "Measure platform writes and the added wait of calls that must not run twice",
		func(command *cobra.Command) error {
			options.Out = command.OutOrStdout()
			_, err := Claim(options)
			return err
		})
	flags := command.Flags()
	flags.IntSliceVar(&options.Rates, "rates", []int{1, 10, 100, 1000}, "calls a second in one shard")
	flags.IntVar(&options.Calls, "calls", defaultCalls, "calls of each run")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed")
	return command
}

// MemoryCommand returns `verbenabench memory-cost`.
func MemoryCommand() *cobra.Command {
	options := MemoryOptions{}
	command := newCommand("memory-cost", "Measure the memory of a reducer with many declared models and adapters",
		func(command *cobra.Command) error {
			options.Out = command.OutOrStdout()
			_, err := Memory(options)
			return err
		})
	const defaultReducers = 9
	flags := command.Flags()
	flags.IntSliceVar(&options.Declared, "declared", []int{65, 1000, 4000, 8730}, "numbers of declared models and adapters")
	flags.IntVar(&options.Reducers, "reducers", defaultReducers, "reducers held at once")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed")
	return command
}

func newCommand(use, short string, run func(*cobra.Command) error) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return run(command) },
	}
}
