package vrcommand

import (
	"encoding/json"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenabench/internal/vrstandin"
)

// standinFlags holds the flags of the command standin.
type standinFlags struct {
	deploymentFlags
	speed   float64
	control string
	// settings is the directory for the daemons' settings. If it is empty, none are written.
	settings      string
	insecurePeers bool
}

func newStandin() *cobra.Command {
	flags := &standinFlags{}
	command := &cobra.Command{
		Use:   "standin",
		Short: "Run stand-ins for the platform and the back ends until interrupted",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return runStandin(command, flags) },
	}
	flags.register(command)
	command.Flags().Float64Var(&flags.speed, "speed", 1, "speedup factor of loads and responses")
	command.Flags().StringVar(&flags.control, "control", "", "address of the control port, empty for a free port")
	command.Flags().StringVar(&flags.settings, "write-settings", "", "directory to write the daemons' settings to, empty to write none")
	command.Flags().BoolVar(&flags.insecurePeers, "insecure-peers", false, "write settings without certificates")
	return command
}

// runStandin starts the stand-ins, prints their addresses as one line of JSON and serves
// until SIGINT or SIGTERM.
func runStandin(command *cobra.Command, flags *standinFlags) error {
	deployment, err := vrdeploy.ByName(flags.name, flags.size)
	if err != nil {
		return err
	}
	ports, err := vrdeploy.ReservePorts(deployment.Daemons)
	if err != nil {
		return err
	}
	world, err := vrstandin.Start(vrstandin.Options{
		Deployment: deployment, Ports: ports, Speed: flags.speed, Control: flags.control,
	})
	if err != nil {
		return err
	}
	if flags.settings != "" {
		_, err := deployment.WriteSettings(vrdeploy.SettingsOptions{
			Dir: flags.settings, Platforms: world.Addresses.Platforms, Ports: ports, InsecurePeers: flags.insecurePeers,
		})
		if err != nil {
			world.Close()
			return err
		}
	}
	line, err := json.Marshal(world.Addresses)
	if err != nil {
		world.Close()
		return err
	}
	fmt.Fprintln(command.OutOrStdout(), string(line))
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	world.Serve(ctx)
	return nil
}
