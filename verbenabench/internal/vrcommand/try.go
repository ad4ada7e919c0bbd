package vrcommand

import (
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenabench/internal/vrtry"
)

func newTry() *cobra.Command {
	options := vrtry.Options{}
	seconds := 0
	command := &cobra.Command{
		Use:   "try",
		Short: "Run nine daemons against stand-ins with mixed traffic and failures, and check every invariant",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			options.For = time.Duration(seconds) * time.Second
			options.Out = command.OutOrStdout()
			return vrtry.Run(ctx, options)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.Deployment, "deployment", vrdeploy.Shuyuan, "deployment: shuyuan or hayabusa")
	flags.IntVar(&seconds, "seconds", int(vrtry.DefaultFor/time.Second), "duration of the traffic in seconds")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the traffic")
	flags.Float64Var(&options.Rate, "rate", vrtry.DefaultRate, "mean calls per second, not counting bursts")
	flags.Float64Var(&options.Speed, "speed", 1, "speedup factor of loads and responses")
	flags.StringVar(&options.Dir, "dir", "", "directory for settings and logs, empty for a temporary one")
	flags.BoolVar(&options.Race, "race", false, "build the daemon with the race detector")
	flags.BoolVar(&options.InsecurePeers, "insecure-peers", false, "run the daemons without TLS between them")
	return command
}
