package vrpath

import (
	"time"

	"github.com/spf13/cobra"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
)

// Command returns `verbenabench path`.
func Command() *cobra.Command {
	options := Options{}
	command := &cobra.Command{
		Use:   "path",
		Short: "Measure the latency that one daemon adds to an engine call",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			options.Out = command.OutOrStdout()
			_, err := Run(command.Context(), options)
			return err
		},
	}
	const (
		defaultRate     = 500
		defaultDuration = 10 * time.Second
		defaultSpeed    = 100_000
	)
	flags := command.Flags()
	flags.StringVar(&options.Deployment, "deployment", vrdeploy.Shuyuan, "deployment: shuyuan or hayabusa")
	flags.IntSliceVar(&options.DeclaredCounts, "declared", []int{65, 8730}, "numbers of declared models and adapters to measure with")
	flags.IntVar(&options.Rate, "rate", defaultRate, "requests per second on each path (direct and through the daemon)")
	flags.Float64Var(&options.Speed, "speed", defaultSpeed, "speedup factor of the stand-in engine")
	flags.DurationVar(&options.For, "for", defaultDuration, "duration of each run")
	return command
}
