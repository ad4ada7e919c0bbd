package vrcommand

import (
	"fmt"

	"github.com/spf13/cobra"

	"verbenaroute.example/verbenabench/internal/vrfleet"
	"verbenaroute.example/verbenabench/internal/vrscenario"
)

func newScenario() *cobra.Command {
	options := vrscenario.Options{}
	race := false
	command := &cobra.Command{
		Use:   "scenario FILE.txtar …",
		Short: "Run scripted failure scenarios on real daemons",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, files []string) error {
			program, _, remove, err := vrfleet.BuildTemporary(command.Context(), race)
			if err != nil {
				return err
			}
			defer remove()
			options.Program = program
			options.Files = files
			failed := vrscenario.Run(options, command.OutOrStdout())
			if failed > 0 {
				return fmt.Errorf("%d of %d scenarios failed", failed, len(files))
			}
			return nil
		},
	}
	command.Flags().Uint64Var(&options.Seed, "seed", 1, "seed of the traffic")
	command.Flags().BoolVar(&race, "race", false, "build the daemon with the race detector")
	return command
}
