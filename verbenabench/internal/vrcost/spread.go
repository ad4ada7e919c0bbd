package vrcost

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"verbenaroute.example/verbenabench/internal/vrstat"
	"verbenaroute.example/verbenabench/internal/vrworld"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

// SpreadOptions of the measurement of configuration changes.
type SpreadOptions struct {
	// Daemons are the sizes of the fleet, in three zones.
	Daemons []int
	Changes int
	// Kill is how many daemons die in the moment of each change; they start again later.
	Kill int
	Seed uint64
	Out  io.Writer
}

// SpreadPoint is the time from a change's acceptance until the last living daemon that
// was ready before holds it.
type SpreadPoint struct {
	Daemons int
	Times   []time.Duration
	// Missed counts the changes that were not in force within spreadLimit.
	Missed int
}

const (
	spreadLimit = 30 * time.Second
	// changePause lets killed daemons return before the next change.
	changePause = 15 * time.Second
	spreadZones = 3
)

// Spread measures every size.
func Spread(options SpreadOptions) []SpreadPoint {
	fmt.Fprintf(options.Out, "%d changes each, %d daemons killed in the moment of each change, seed %d\n",
		options.Changes, options.Kill, options.Seed)
	fmt.Fprintf(options.Out, "%8s %10s %10s %10s %8s\n", "daemons", "p50", "p99", "max", "missed")
	var points []SpreadPoint
	for _, daemons := range options.Daemons {
		point := spread(options, daemons)
		q := vrstat.QuantilesOf(point.Times)
		fmt.Fprintf(options.Out, "%8d %10s %10s %10s %8d\n", point.Daemons,
			q.P50.Round(time.Millisecond), q.P99.Round(time.Millisecond), q.Max.Round(time.Millisecond), point.Missed)
		points = append(points, point)
	}
	return points
}

func spread(options SpreadOptions, daemons int) SpreadPoint {
	world := vrworld.New(vrworld.Options{
		Seed: options.Seed, Zones: spreadZones, DaemonsPerZone: daemons / spreadZones, ServersPerZone: daemons / spreadZones,
	})
	point := SpreadPoint{Daemons: len(world.Daemons)}
	world.Advance(changePause)
	for i := range options.Changes {
		took, ok := change(world, options.Kill, i)
		if !ok {
			point.Missed++
			continue
		}
		point.Times = append(point.Times, took)
	}
	return point
}

// change makes one change at a random daemon, kills others in that moment, and waits
// until it is in force.
func change(world *vrworld.World, kill, number int) (time.Duration, bool) {
	order := world.Random().Perm(len(world.Daemons))
	proposer := world.Daemons[order[0]]
	if !proposer.Process.Alive() {
		return 0, false
	}
	proposal := proposer.Propose(func(fleet *vrconfig.Fleet) {
		fleet.Models[0].ReplicasPerZone = 1 + number%2
	})
	if proposal == nil {
		return 0, false
	}
	for _, index := range order[1 : 1+kill] {
		world.Daemons[index].Kill()
		world.After(changePause/2, world.Daemons[index].Start)
	}
	decided := func() bool { return proposal.Decision != 0 }
	if !world.Until(spreadLimit, decided) || proposal.Decision != vrevent.ConfigAccepted {
		return 0, false
	}
	accepted := world.Now()
	ok := world.Until(spreadLimit, func() bool { return inForce(world, proposal.Index.Fleet.Version) })
	took := world.Now().Sub(accepted)
	world.Advance(changePause)
	return took, ok
}

// inForce reports whether every ready daemon holds the version.
func inForce(world *vrworld.World, version vrid.ConfigVersion) bool {
	for _, daemon := range world.Daemons {
		if !daemon.Process.Alive() || !daemon.Process.Ready {
			continue
		}
		if index := daemon.Process.State.Configuration(); index == nil || index.Fleet.Version < version {
			return false
		}
	}
	return true
}

// SpreadCommand returns `verbenabench config-spread`.
func SpreadCommand() *cobra.Command {
	options := SpreadOptions{}
	command := &cobra.Command{
		Use:   "config-spread",
		Short: "Measure the time from a change's acceptance to the last daemon, with relays killed",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			options.Out = command.OutOrStdout()
			Spread(options)
			return nil
		},
	}
	const defaultChanges = 100
	flags := command.Flags()
	flags.IntSliceVar(&options.Daemons, "daemons", []int{9, 27, 54, 99}, "daemons in three zones")
	flags.IntVar(&options.Changes, "changes", defaultChanges, "changes of each size")
	flags.IntVar(&options.Kill, "kill", 2, "daemons killed in the moment of each change")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed")
	return command
}
