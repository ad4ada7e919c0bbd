package vrrecovery

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/spf13/cobra"

	"verbenaroute.example/verbenabench/internal/vrload"
	"verbenaroute.example/verbenabench/internal/vrpause"
	"verbenaroute.example/verbenabench/internal/vrstandin"
	"verbenaroute.example/verbenabench/internal/vrworld"
	"verbenaroute.example/verbenacore/vrid"
)

const (
	_sampleDuration = 10 * time.Second
	// _maxReads and _maxWrites are the platform calls per second that the whole fleet may
	// make, with a zone of the design's size.
	_maxReads  = 2000
	_maxWrites = 300
	// _realCallLimit is the stand-in platform's limit in calls per second for nine daemons.
	_realCallLimit = 400
	// _zoneDaemons and _zoneServers are the size of a zone in the design.
	_zoneDaemons = 100
	_zoneServers = 290
)

// herd replaces many daemons at once and measures the resulting burst of platform calls.
type herd struct {
	*Options
	daemons int
	servers int
	real    bool
}

func herdCommand(options *Options) *cobra.Command {
	h := &herd{Options: options}
	command := newExperiment("herd", "Replace all daemons of a zone, or of the fleet, at once", options, h.run)
	command.Flags().IntVar(&h.daemons, "daemons", _zoneDaemons, "number of daemons in the virtual zone")
	command.Flags().IntVar(&h.servers, "servers", _zoneServers, "number of language servers in the virtual zone")
	command.Flags().BoolVar(&h.real, "real", true, "also measure real daemons after the virtual ones")
	return command
}

func (h *herd) run(ctx context.Context) error {
	v := verdict{out: h.Out}
	fmt.Fprintf(h.Out, "virtual time, a zone of %d daemons and %d servers replaced at once\n", h.daemons, h.servers)
	h.runVirtual(&v)
	if err := v.err(""); err != nil || !h.real {
		return err
	}
	return h.runReal(ctx)
}

// runVirtual replaces every daemon of a large zone with new VMs, in virtual time.
func (h *herd) runVirtual(v *verdict) {
	w := vrworld.New(vrworld.Options{
		Seed: h.Seed, Zones: 1, DaemonsPerZone: h.daemons, ServersPerZone: h.servers, Models: _manyModels,
	})
	w.Advance(_warmUp)
	for i, model := range urgentModels(w) {
		w.Send(w.Daemons[i%len(w.Daemons)], prompt(model))
	}
	w.Advance(_warmUp)
	idle := sample(w, _sampleDuration)
	v.info("idle: %s in %s", describe(idle.total()), _sampleDuration)
	before := loadedReplicas(w)
	old := len(w.Daemons)
	for _, d := range w.Daemons {
		d.Reclaim()
	}
	for range h.daemons {
		w.AddDaemon(vrworld.ZoneName(0)).Start()
	}
	replaced := w.Now()
	m := sample(w, _sampleDuration)
	reportMeter(v, m, _maxReads, _maxWrites)
	lost := 0
	after := loadedReplicas(w)
	for model, count := range before {
		lost += max(0, count-after[model])
	}
	v.check(lost == 0, "%d loaded replicas lost (0)", lost)
	v.info("%d replicas more than before", sum(after)-sum(before)+lost)
	ready := func() bool {
		for _, d := range w.Daemons[old:] {
			if !d.Process.Ready {
				return false
			}
		}
		return zoneOwner(w, vrworld.ZoneName(0)) != nil
	}
	v.check(w.Until(_readyTimeout, ready), "every daemon is ready, checked after %s (at most %s)", w.Now().Sub(replaced), _readyTimeout)
}

func sum(counts map[vrid.ModelID]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

func loadedReplicas(w *vrworld.World) map[vrid.ModelID]int {
	counts := make(map[vrid.ModelID]int)
	for _, e := range w.Engines {
		for model := range e.Models {
			counts[model]++
		}
	}
	return counts
}

// sample samples the call counts of the virtual platform for the given duration.
func sample(w *vrworld.World, length time.Duration) *meter {
	m := &meter{interval: _pollInterval, samples: []map[string]int{maps.Clone(w.Platform.Calls)}}
	for passed := time.Duration(0); passed < length; passed += m.interval {
		w.Advance(m.interval)
		m.samples = append(m.samples, maps.Clone(w.Platform.Calls))
	}
	return m
}

// reportMeter checks the peak call rates against the allowed reads and writes per second.
func reportMeter(v *verdict, m *meter, reads, writes int) {
	byKind, all := m.peak()
	v.info("in %s: %s", _sampleDuration, describe(m.total()))
	v.info("peak of any second: %s", describe(byKind))
	reading := m.maxPerSecond(_kindRead) + m.maxPerSecond(_kindList) + m.maxPerSecond(_kindVMs)
	writing := m.maxPerSecond(_kindWrite)
	v.check(reading <= reads, "%d reads in the worst second (at most %d)", reading, reads)
	v.check(writing <= writes, "%d writes in the worst second (at most %d)", writing, writes)
	v.info("%d calls of all kinds in the worst second", all)
}

// runReal replaces the real daemons of one zone and then all of them, under traffic.
func (h *herd) runReal(ctx context.Context) error {
	s, err := newTestbed(ctx, h.Options)
	if err != nil {
		return err
	}
	defer s.fleet.Close()
	const rate, length = 30, 70 * time.Second
	load := vrload.New(vrload.Options{
		Fleet: &s.fleet.Deployment.Fleet, Daemons: s.fleet.Callers(), Seed: h.Seed, Rate: rate, Duration: length,
	})
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	trafficDone := make(chan struct{})
	go func() {
		defer close(trafficDone)
		load.SendPlan(traffic, vrload.Plan(vrload.Options{Fleet: &s.fleet.Deployment.Fleet, Seed: h.Seed, Rate: rate, Duration: length}))
	}()
	if vrpause.For(ctx, _warmUp) != nil {
		return ctx.Err()
	}
	s.verdict.info("before: %s in %s", describe(s.measure(ctx, _sampleDuration).total()), _sampleDuration)
	zone := s.fleet.Deployment.Fleet.Zones()[0]
	for _, chosen := range []vrid.ZoneID{zone, ""} {
		if err := s.replace(ctx, chosen); err != nil {
			return err
		}
	}
	stop()
	<-trafficDone
	if err := s.checkInvariants(load.Wait()); err != nil {
		return err
	}
	return s.finish()
}

// replace kills all daemons of a zone, or of the fleet if zone is empty, and then starts
// them all at once.
func (s *testbed) replace(ctx context.Context, zone vrid.ZoneID) error {
	var chosen []vrid.DaemonID
	for _, daemon := range s.fleet.Deployment.Daemons {
		if zone == "" || daemon.Zone == zone {
			chosen = append(chosen, daemon.ID)
		}
	}
	s.progress("%d daemons are replaced at once", len(chosen))
	number := len(s.fleet.World.Journal.After(0))
	for _, daemon := range chosen {
		if _, before := s.evidence.Killed[daemon]; !before {
			s.evidence.Killed[daemon] = time.Now()
		}
		if err := s.fleet.Kill(daemon); err != nil {
			return err
		}
	}
	for _, daemon := range chosen {
		if err := s.fleet.Start(daemon); err != nil {
			return err
		}
	}
	m := s.measure(ctx, _sampleDuration)
	reportMeter(&s.verdict, m, _realCallLimit, _realCallLimit)
	loads := 0
	for _, entry := range s.fleet.World.Journal.After(uint64(number)) {
		if entry.Kind == vrstandin.JournalLoadStarted && entry.Adapter == "" {
			loads++
		}
	}
	s.verdict.info("%d loads at the weight store", loads)
	refused := m.total()[_kindRefused]
	s.verdict.check(refused == 0, "%d calls beyond the platform's limit (0)", refused)
	for _, daemon := range chosen {
		if err := s.fleet.WaitReady(ctx, daemon, _readyTimeout); err != nil {
			return err
		}
	}
	return nil
}
