// Package vrcommand implements the command line of verbenabench.
package vrcommand

import (
	"github.com/spf13/cobra"

	"verbenaroute.example/verbenabench/internal/vrcost"
	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenabench/internal/vrfuzz"
	"verbenaroute.example/verbenabench/internal/vrmeasure"
	"verbenaroute.example/verbenabench/internal/vrpath"
	"verbenaroute.example/verbenabench/internal/vrrecovery"
	"verbenaroute.example/verbenabench/internal/vrslope"
)

// New returns the root command with all subcommands.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "verbenabench",
		Short:         "Run stand-in servers and experiments for verbenaroute",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newStandin(), newTry(), newScenario(),
		vrmeasure.Command(), vrfuzz.Command(), vrpath.Command(), vrpath.QueryCommand(), vrrecovery.Command(),
		vrcost.Command(), vrcost.PropagationCommand(), vrcost.RealCommand(),
		vrslope.RecordCommand(), vrslope.ClaimCommand(), vrslope.MemoryCommand(),
	)
	return root
}

// deploymentFlags holds the flags that select a deployment and its size.
type deploymentFlags struct {
	name string
	size vrdeploy.Size
}

// register adds the flags to a command.
func (f *deploymentFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&f.name, "deployment", vrdeploy.Shuyuan, "deployment: shuyuan or hayabusa")
	flags.IntVar(&f.size.Models, "models", 0, "number of models, 0 for the deployment's own")
	flags.IntVar(&f.size.Adapters, "adapters", 0, "number of adapters, 0 for the deployment's own")
	flags.IntVar(&f.size.Servers, "servers", 0, "number of language servers, 0 for the deployment's own")
}
