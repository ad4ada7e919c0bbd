package vrrecovery

import (
	"context"
	"strings"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"

	"verbenaroute.example/verbenabench/internal/vrfleet"
	"verbenaroute.example/verbenabench/internal/vrload"
	"verbenaroute.example/verbenabench/internal/vrpause"
	"verbenaroute.example/verbenabench/internal/vrstandin"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

const (
	// _configTarget is the maximum time until a configuration is in force in every reachable
	// zone.
	_configTarget  = 7 * time.Second
	_reconcileTime = 20 * time.Second
)

// partition measures how a zone recovers after it was cut off from the platform.
type partition struct {
	*Options
	cut  time.Duration
	rate float64
}

func partitionCommand(options *Options) *cobra.Command {
	p := &partition{Options: options}
	command := newExperiment("partition", "Cut a zone off from the platform and let it return", options, p.run)
	command.Flags().DurationVar(&p.cut, "cut", time.Minute, "duration of the partition")
	command.Flags().Float64Var(&p.rate, "rate", 40, "calls per second")
	return command
}

func (p *partition) run(ctx context.Context) error {
	s, err := newTestbed(ctx, p.Options)
	if err != nil {
		return err
	}
	defer s.fleet.Close()
	loadOptions := vrload.Options{
		Fleet: &s.fleet.Deployment.Fleet, Daemons: s.fleet.Callers(), Seed: p.Seed, Rate: p.rate,
		Duration: p.cut + _reconcileTime + _warmUp,
	}
	load := vrload.New(loadOptions)
	var views []vrload.Result
	var traffic conc.WaitGroup
	traffic.Go(func() { views = load.Run(ctx) })
	failure := p.cutZone(ctx, s)
	traffic.Wait()
	if failure != nil {
		return failure
	}
	if err := s.checkInvariants(views); err != nil {
		return err
	}
	return s.finish()
}

// cutZone cuts the zone off from the platform, changes the configuration meanwhile and
// waits until the zone has caught up.
func (p *partition) cutZone(ctx context.Context, s *testbed) error {
	zone := s.fleet.Deployment.Fleet.Zones()[0]
	if vrpause.For(ctx, _warmUp) != nil {
		return ctx.Err()
	}
	s.progress("%s loses the platform", zone)
	fault := vrstandin.Fault{Kind: vrstandin.FaultZoneCut, Zone: zone, For: vrid.Duration(p.cut)}
	began := time.Now()
	if err := s.fleet.World.Apply(fault); err != nil {
		return err
	}
	if vrpause.For(ctx, p.cut/2) != nil {
		return ctx.Err()
	}
	// The invariant check expects every zone to have a change after 7 s, so the change of
	// this run is checked here.
	daemons := s.fleet.Deployment.Daemons
	if _, err := s.fleet.Command(ctx, daemons[len(daemons)-1].ID, "set rank deferred worth 2"); err != nil {
		return err
	}
	if vrpause.For(ctx, time.Until(began.Add(p.cut))) != nil {
		return ctx.Err()
	}
	healed := time.Now()
	s.progress("%s has the platform again", zone)
	s.awaitFirstWrites(ctx, zone, healed)
	return nil
}

// awaitFirstWrites waits for the zone's first write of each kind after the partition and
// checks its delay against _configTarget.
func (s *testbed) awaitFirstWrites(ctx context.Context, zone vrid.ZoneID, healed time.Time) {
	kinds := []struct{ name, prefix string }{
		{"lease", vrplatform.LeaseKey(zone)},
		{"acknowledgement of the configuration", vrplatform.PrefixConfigAck + string(zone)},
		{"record", vrplatform.PrefixRecord + string(zone) + "/"},
	}
	for _, kind := range kinds {
		after := _reconcileTime
		_ = vrfleet.Until(ctx, _reconcileTime, func() bool {
			at, found := s.firstWrite(kind.prefix, healed)
			if found {
				after = at.Sub(healed)
			}
			return found
		})
		s.verdict.check(after <= _configTarget, "%s: first write after %s (at most %s)", kind.name, after.Round(time.Millisecond), _configTarget)
	}
	for _, daemon := range s.fleet.Deployment.Daemons {
		if daemon.Zone == zone {
			s.verdict.check(s.fleet.Ready(daemon.ID), "%s is ready after the partition", daemon.ID)
		}
	}
}

// firstWrite returns the time of the first write under a key prefix after the given time.
func (s *testbed) firstWrite(prefix string, after time.Time) (time.Time, bool) {
	for _, entry := range s.fleet.World.Journal.After(0) {
		if entry.Kind == vrstandin.JournalWrite && strings.HasPrefix(entry.Object, prefix) && entry.At.After(after) {
			return entry.At, true
		}
	}
	return time.Time{}, false
}
