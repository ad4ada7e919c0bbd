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
	// _sampleDuration is how long platform calls are sampled while daemons idle and after a
	// replacement.
	_sampleDuration = 10 * time.Second
	// _maxReads and _maxWrites are the platform calls per second that the design allows the
	// whole fleet. The virtual zone has the design's size and must stay within them.
	_maxReads  = 2000
	_maxWrites = 300
	// _realCallLimit is the stand-in platform's limit in calls per second, which is scaled
	// down to nine daemons.
	_realCallLimit = 400
	// _zoneDaemons and _zoneServers are the size of a zone that the system is designed for.
	_zoneDaemons = 100
	_zoneServers = 290
)

// herd replaces many daemons at once and measures the thundering herd: the burst of
// platform calls when they all start together.
type herd struct {
	*Options
	daemons int
	servers int
	// real also runs the experiment with real daemons.
	real bool
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

// runVirtual reclaims the VMs of all daemons of a large zone and starts daemons on as many
// new VMs, in virtual time.
func (h *herd) runVirtual(v *verdict) {
	w := vrworld.New(vrworld.Options{
		Seed: h.Seed, Zones: 1, DaemonsPerZone: h.daemons, ServersPerZone: h.servers, Models: _manyModels,
	})
	w.Advance(_warmUp)
	for i, model := range urgentModels(w) {
		w.Send(w.Daemons[i%len(w.Daemons)], urgentRequest(model))
	}
	w.Advance(_warmUp)
	idle := sampleVirtualCalls(w, _sampleDuration)
	v.info("idle: %s in %s", formatCounts(idle.total()), _sampleDuration)
	before := loadedReplicas(w)
	oldCount := len(w.Daemons)
	for _, d := range w.Daemons {
		d.Reclaim()
	}
	for range h.daemons {
		w.AddDaemon(vrworld.ZoneName(0)).Start()
	}
	replaced := w.Now()
	samples := sampleVirtualCalls(w, _sampleDuration)
	checkCallRates(v, samples, _maxReads, _maxWrites)
	lost := 0
	after := loadedReplicas(w)
	for model, count := range before {
		lost += max(0, count-after[model])
	}
	v.check(lost == 0, "%d loaded replicas lost (0)", lost)
	v.info("%d loaded replicas added", sum(after)-sum(before)+lost)
	ready := func() bool {
		for _, d := range w.Daemons[oldCount:] {
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

// loadedReplicas returns the number of servers that have each model loaded.
func loadedReplicas(w *vrworld.World) map[vrid.ModelID]int {
	counts := make(map[vrid.ModelID]int)
	for _, e := range w.Engines {
		for model := range e.Models {
			counts[model]++
		}
	}
	return counts
}

// sampleVirtualCalls samples the virtual platform's call counts for the given duration of
// virtual time.
func sampleVirtualCalls(w *vrworld.World, length time.Duration) *callSamples {
	samples := &callSamples{interval: _pollInterval, counts: []map[string]int{maps.Clone(w.Platform.Calls)}}
	for passed := time.Duration(0); passed < length; passed += samples.interval {
		w.Advance(samples.interval)
		samples.counts = append(samples.counts, maps.Clone(w.Platform.Calls))
	}
	return samples
}

// checkCallRates checks the peak call rates against the allowed reads and writes per
// second. Reads include lists. The peaks of single reads, object lists and VM lists are
// added even if they fall into different seconds, so the checked sum is an upper bound.
func checkCallRates(v *verdict, samples *callSamples, reads, writes int) {
	byKind, all := samples.peakPerSecond()
	v.info("in %s: %s", _sampleDuration, formatCounts(samples.total()))
	v.info("peak in one second, by kind: %s", formatCounts(byKind))
	reading := samples.maxPerSecond(_kindRead) + samples.maxPerSecond(_kindList) + samples.maxPerSecond(_kindVMs)
	writing := samples.maxPerSecond(_kindWrite)
	v.check(reading <= reads, "%d reads in the worst second (at most %d)", reading, reads)
	v.check(writing <= writes, "%d writes in the worst second (at most %d)", writing, writes)
	v.info("%d calls of all kinds in the worst second", all)
}

// runReal replaces the real daemons of one zone and then all of them, under traffic.
func (h *herd) runReal(ctx context.Context) error {
	tb, err := newTestbed(ctx, h.Options)
	if err != nil {
		return err
	}
	defer tb.fleet.Close()
	const rate, length = 30, 70 * time.Second
	generator := vrload.New(vrload.Options{
		Fleet: &tb.fleet.Deployment.Fleet, Daemons: tb.fleet.CallerAddresses(), Seed: h.Seed, Rate: rate, Duration: length,
	})
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	trafficDone := make(chan struct{})
	go func() {
		defer close(trafficDone)
		generator.SendPlan(traffic, vrload.Plan(vrload.Options{Fleet: &tb.fleet.Deployment.Fleet, Seed: h.Seed, Rate: rate, Duration: length}))
	}()
	if vrpause.For(ctx, _warmUp) != nil {
		return ctx.Err()
	}
	tb.verdict.info("before: %s in %s", formatCounts(tb.sampleCalls(ctx, _sampleDuration).total()), _sampleDuration)
	zone := tb.fleet.Deployment.Fleet.Zones()[0]
	for _, target := range []vrid.ZoneID{zone, ""} {
		if err := tb.replace(ctx, target); err != nil {
			return err
		}
	}
	stop()
	<-trafficDone
	if err := tb.checkInvariants(generator.Wait()); err != nil {
		return err
	}
	return tb.finish()
}

// replace kills all daemons of a zone, or of the fleet if zone is empty, starts them all at
// once and checks the burst of platform calls.
func (tb *testbed) replace(ctx context.Context, zone vrid.ZoneID) error {
	var chosen []vrid.DaemonID
	for _, daemon := range tb.fleet.Deployment.Daemons {
		if zone == "" || daemon.Zone == zone {
			chosen = append(chosen, daemon.ID)
		}
	}
	tb.progress("%d daemons are replaced at once", len(chosen))
	journalLength := len(tb.fleet.World.Journal.After(0))
	for _, daemon := range chosen {
		if _, before := tb.evidence.Killed[daemon]; !before {
			tb.evidence.Killed[daemon] = time.Now()
		}
		if err := tb.fleet.Kill(daemon); err != nil {
			return err
		}
	}
	for _, daemon := range chosen {
		if err := tb.fleet.Start(daemon); err != nil {
			return err
		}
	}
	samples := tb.sampleCalls(ctx, _sampleDuration)
	checkCallRates(&tb.verdict, samples, _realCallLimit, _realCallLimit)
	// Loads of adapters are not counted.
	loads := 0
	for _, entry := range tb.fleet.World.Journal.After(uint64(journalLength)) {
		if entry.Kind == vrstandin.JournalLoadStarted && entry.Adapter == "" {
			loads++
		}
	}
	tb.verdict.info("%d models loaded from the weight store", loads)
	refused := samples.total()[_kindRefused]
	tb.verdict.check(refused == 0, "%d calls refused by the platform's rate limit (0)", refused)
	for _, daemon := range chosen {
		if err := tb.fleet.WaitReady(ctx, daemon, _readyTimeout); err != nil {
			return err
		}
	}
	return nil
}
