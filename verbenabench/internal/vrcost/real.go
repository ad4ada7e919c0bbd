package vrcost

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenabench/internal/vrfleet"
	"verbenaroute.example/verbenabench/internal/vrpause"
	"verbenaroute.example/verbenabench/internal/vrscrape"
	"verbenaroute.example/verbenacore/vrid"
)

// RealOptions configures a measurement with real daemons on loopback.
type RealOptions struct {
	// Deployment is the name of a deployment of vrdeploy.
	Deployment string
	// Daemons lists the numbers of daemons to measure with.
	Daemons []int
	// ServersPerDaemon is the number of language servers per daemon.
	ServersPerDaemon int
	// For is the duration of the measured part of a run.
	For time.Duration
	Out io.Writer
}

// startTimeout bounds the wait until all daemons are ready.
const startTimeout = time.Minute

// RunReal starts a deployment with each number of daemons, leaves it idle and prints the
// CPU time, memory and peer traffic of its daemons.
func RunReal(ctx context.Context, options RealOptions) error {
	program, dir, remove, err := vrfleet.BuildTemporary(ctx, false)
	if err != nil {
		return err
	}
	defer remove()
	fmt.Fprintf(options.Out, "%8s %8s %12s %12s %12s %12s %12s %12s\n",
		"daemons", "servers", "core % p50", "core % max", "MiB p50", "MiB max", "peer B/s p50", "peer B/s max")
	for _, daemons := range options.Daemons {
		if err := measureReal(ctx, options, program, fmt.Sprintf("%s/%d", dir, daemons), daemons); err != nil {
			return fmt.Errorf("%d daemons: %w", daemons, err)
		}
	}
	return nil
}

// measureReal runs one idle deployment and prints a row of the table.
func measureReal(ctx context.Context, options RealOptions, program, dir string, daemons int) error {
	deployment, err := vrdeploy.ByName(options.Deployment, vrdeploy.Size{
		Daemons: daemons, Servers: daemons * options.ServersPerDaemon,
	})
	if err != nil {
		return err
	}
	fleet, err := vrfleet.New(vrfleet.Options{Deployment: deployment, Program: program, Dir: dir})
	if err != nil {
		return err
	}
	defer fleet.Close()
	if err := fleet.StartAll(ctx, startTimeout); err != nil {
		return err
	}
	if err := vrpause.For(ctx, settleTime); err != nil {
		return err
	}
	before, err := scrapeAll(fleet)
	if err != nil {
		return err
	}
	if err := vrpause.For(ctx, options.For); err != nil {
		return err
	}
	after, err := scrapeAll(fleet)
	if err != nil {
		return err
	}
	printReal(options, deployment, before, after)
	return fleet.StopAll()
}

// scrapeAll reads the process and traffic metrics of every daemon.
func scrapeAll(fleet *vrfleet.Fleet) (map[vrid.DaemonID]vrscrape.Usage, error) {
	client := &http.Client{Timeout: 10 * time.Second}
	usages := make(map[vrid.DaemonID]vrscrape.Usage)
	for _, daemon := range fleet.Deployment.Daemons {
		usage, err := vrscrape.Read(client, fleet.Ports[daemon.ID].Operators)
		if err != nil {
			return nil, err
		}
		usages[daemon.ID] = usage
	}
	return usages, nil
}

// printReal prints the median and the maximum over all daemons.
func printReal(options RealOptions, deployment *vrdeploy.Deployment, before, after map[vrid.DaemonID]vrscrape.Usage) {
	var cpuPercent, memoryMiB, peerRate []float64
	for id, usage := range after {
		const percent = 100
		cpuPercent = append(cpuPercent, percent*(usage.CPU-before[id].CPU).Seconds()/options.For.Seconds())
		memoryMiB = append(memoryMiB, float64(usage.Memory)/float64(vrid.MiB))
		peerBytes := usage.Sum("verbenaroute_peer_bytes_total") - before[id].Sum("verbenaroute_peer_bytes_total")
		peerRate = append(peerRate, peerBytes/options.For.Seconds())
	}
	for _, values := range [][]float64{cpuPercent, memoryMiB, peerRate} {
		slices.Sort(values)
	}
	last := len(cpuPercent) - 1
	fmt.Fprintf(options.Out, "%8d %8d %12.2f %12.2f %12.1f %12.1f %12.0f %12.0f\n", len(after),
		len(deployment.Servers), cpuPercent[last/2], cpuPercent[last], memoryMiB[last/2], memoryMiB[last], peerRate[last/2], peerRate[last])
}

// RealCommand returns `verbenabench daemon-cost`.
func RealCommand() *cobra.Command {
	options := RealOptions{}
	command := &cobra.Command{
		Use:   "daemon-cost",
		Short: "Measure CPU time, memory and peer traffic of real idle daemons on loopback",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			options.Out = command.OutOrStdout()
			return RunReal(command.Context(), options)
		},
	}
	const defaultDuration = 15 * time.Second
	flags := command.Flags()
	flags.StringVar(&options.Deployment, "deployment", vrdeploy.Shuyuan, "deployment: shuyuan or hayabusa")
	flags.IntSliceVar(&options.Daemons, "daemons", []int{9, 27, 54, 108}, "numbers of daemons in three zones")
	flags.IntVar(&options.ServersPerDaemon, "servers", 1, "language servers per daemon")
	flags.DurationVar(&options.For, "for", defaultDuration, "duration of each measurement")
	return command
}
