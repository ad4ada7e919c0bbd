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

// PropagationOptions configures the measurement of configuration propagation.
type PropagationOptions struct {
	// Daemons lists the fleet sizes to measure with; each fleet spans three zones.
	Daemons []int
	// Changes is the number of configuration changes at each fleet size.
	Changes int
	// Kills is the number of random daemons killed right after each change is proposed, so
	// that some daemons lose the relay that would pass the change on. The killed ones
	// restart after half of changeInterval.
	Kills int
	Seed  uint64
	Out   io.Writer
}

// PropagationPoint is the result for one fleet size.
type PropagationPoint struct {
	Daemons int
	// Times holds, for each change, the time from its acceptance until every daemon that
	// is alive and ready has it.
	Times []time.Duration
	// Missed counts the changes that could not be proposed, were not accepted, or were not
	// in force within propagationTimeout of their acceptance.
	Missed int
}

const (
	// propagationTimeout bounds the wait for the decision on a change, and then the wait
	// until the change is in force.
	propagationTimeout = 30 * time.Second
	// changeInterval gives killed daemons time to restart before the next change.
	changeInterval   = 15 * time.Second
	propagationZones = 3
)

// RunPropagation measures the propagation of configuration changes at every fleet size and
// prints a table.
func RunPropagation(options PropagationOptions) []PropagationPoint {
	fmt.Fprintf(options.Out, "%d changes per fleet size, %d daemons killed right after each is proposed, seed %d\n",
		options.Changes, options.Kills, options.Seed)
	fmt.Fprintf(options.Out, "%8s %10s %10s %10s %8s\n", "daemons", "p50", "p99", "max", "missed")
	var points []PropagationPoint
	for _, daemons := range options.Daemons {
		point := measurePropagation(options, daemons)
		q := vrstat.QuantilesOf(point.Times)
		fmt.Fprintf(options.Out, "%8d %10s %10s %10s %8d\n", point.Daemons,
			q.P50.Round(time.Millisecond), q.P99.Round(time.Millisecond), q.Max.Round(time.Millisecond), point.Missed)
		points = append(points, point)
	}
	return points
}

// measurePropagation applies the changes to a fleet with the given number of daemons, one
// after the other.
func measurePropagation(options PropagationOptions, daemons int) PropagationPoint {
	world := vrworld.New(vrworld.Options{
		Seed: options.Seed, Zones: propagationZones, DaemonsPerZone: daemons / propagationZones, ServersPerZone: daemons / propagationZones,
	})
	point := PropagationPoint{Daemons: len(world.Daemons)}
	world.Advance(changeInterval)
	for i := range options.Changes {
		took, ok := applyChange(world, options.Kills, i)
		if !ok {
			point.Missed++
			continue
		}
		point.Times = append(point.Times, took)
	}
	return point
}

// applyChange proposes one configuration change at a random daemon, kills other daemons
// right after it, and waits until every ready daemon has the change. It returns the time
// from the acceptance, and whether the change was in force in time.
func applyChange(world *vrworld.World, kills, index int) (time.Duration, bool) {
	permutation := world.Random().Perm(len(world.Daemons))
	proposer := world.Daemons[permutation[0]]
	if !proposer.Process.Alive() {
		return 0, false
	}
	proposal := proposer.Propose(func(fleet *vrconfig.Fleet) {
		fleet.Models[0].ReplicasPerZone = 1 + index%2
	})
	if proposal == nil {
		return 0, false
	}
	for _, i := range permutation[1 : 1+kills] {
		world.Daemons[i].Kill()
		world.After(changeInterval/2, world.Daemons[i].Start)
	}
	decided := func() bool { return proposal.Decision != 0 }
	if !world.Until(propagationTimeout, decided) || proposal.Decision != vrevent.ConfigAccepted {
		return 0, false
	}
	accepted := world.Now()
	ok := world.Until(propagationTimeout, func() bool { return inForce(world, proposal.Index.Fleet.Version) })
	took := world.Now().Sub(accepted)
	world.Advance(changeInterval)
	return took, ok
}

// inForce reports whether every ready daemon has at least the given configuration version.
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

// PropagationCommand returns `verbenabench config-spread`.
func PropagationCommand() *cobra.Command {
	options := PropagationOptions{}
	command := &cobra.Command{
		Use:   "config-spread",
		Short: "Measure how fast configuration changes reach all daemons while some are killed",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			options.Out = command.OutOrStdout()
			RunPropagation(options)
			return nil
		},
	}
	const defaultChanges = 100
	flags := command.Flags()
	flags.IntSliceVar(&options.Daemons, "daemons", []int{9, 27, 54, 99}, "numbers of daemons in three zones")
	flags.IntVar(&options.Changes, "changes", defaultChanges, "changes at each fleet size")
	flags.IntVar(&options.Kills, "kill", 2, "daemons killed right after each change is proposed")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed")
	return command
}
