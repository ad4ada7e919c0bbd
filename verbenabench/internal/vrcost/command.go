package vrcost

import (
	"time"

	"github.com/spf13/cobra"
)

// Command returns `verbenabench control-cost`.
func Command() *cobra.Command {
	options := Options{}
	command := &cobra.Command{
		Use:   "control-cost",
		Short: "Measure messages, bytes, platform calls and CPU time of idle daemons in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			options.Out = command.OutOrStdout()
			Run(options)
			return nil
		},
	}
	const (
		defaultServers  = 3
		defaultDuration = 30 * time.Second
	)
	flags := command.Flags()
	flags.IntSliceVar(&options.Daemons, "daemons", []int{9, 27, 54, 108}, "numbers of daemons in one zone")
	flags.IntVar(&options.ServersPerDaemon, "servers", defaultServers, "servers per daemon")
	flags.IntSliceVar(&options.Zones, "zones", []int{3, 7, 14, 21}, "numbers of zones")
	flags.DurationVar(&options.For, "for", defaultDuration, "duration of each run in virtual time")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed")
	return command
}
