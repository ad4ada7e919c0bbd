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
	_herdTime = 10 * time.Second
	// _peakReads and _peakWrites are what the platform gives the whole fleet each
	// second, for a zone of the design's size.
	_peakReads  = 2000
	_peakWrites = 300
	// _siteRate is the stand-in's limit of calls a second for nine daemons.
	_siteRate = 400
	// _zoneDaemons and _zoneServers make a zone of the design's size.
	_zoneDaemons = 100
	_zoneServers = 290
)

type herd struct {
	*Options
	daemons int
	servers int
	real    bool
}

func herdCommand(options *Options) *cobra.Command {
	h := &herd{Options: options}
	command := experiment("herd", "Replace all daemons of a zone, or of the fleet, at once", options, h.run)
	command.Flags().IntVar(&h.daemons, "daemons", _zoneDaemons, "daemons of the virtual zone")
	command.Flags().IntVar(&h.servers, "servers", _zoneServers, "language servers of the virtual zone")
	command.Flags().BoolVar(&h.real, "real", true, "run real daemons after the virtual ones")
	return command
}

func (h *herd) run(ctx context.Context) error {
	v := verdict{out: h.Out}
	fmt.Fprintf(h.Out, "virtual time, a zone of %d daemons and %d servers replaced at once\n", h.daemons, h.servers)
	h.virtual(&v)
	if err := v.err(""); err != nil || !h.real {
		return err
	}
	return h.onSite(ctx)
}

// virtual replaces every daemon of a big zone by new VMs.
func (h *herd) virtual(v *verdict) {
	w := vrworld.New(vrworld.Options{
		Seed: h.Seed, Zones: 1, DaemonsPerZone: h.daemons, ServersPerZone: h.servers, Models: _manyModels,
	})
	w.Advance(_warmUp)
	for i, model := range urgentModels(w) {
		w.Send(w.Daemons[i%len(w.Daemons)], prompt(model))
	}
	w.Advance(_warmUp)
	idle := sample(w, _herdTime)
	v.say("idle: %s in %s", describe(idle.total()), _herdTime)
	before := heldModels(w)
	old := len(w.Daemons)
	for _, d := range w.Daemons {
		d.Reclaim()
	}
	for range h.daemons {
		w.AddDaemon(vrworld.ZoneName(0)).Start()
	}
	replaced := w.Now()
	m := sample(w, _herdTime)
	reportMeter(v, m, _peakReads, _peakWrites)
	lost := 0
	after := heldModels(w)
	for model, count := range before {
		lost += max(0, count-after[model])
	}
	v.target(lost == 0, "%d loaded replicas lost (0)", lost)
	v.say("%d replicas more than before", sum(after)-sum(before)+lost)
	ready := func() bool {
		for _, d := range w.Daemons[old:] {
			if !d.Process.Ready {
				return false
			}
		}
		return worldOwner(w, vrworld.ZoneName(0)) != nil
	}
	v.target(w.Until(_readyBound, ready), "every daemon is ready, checked after %s (at most %s)", w.Now().Sub(replaced), _readyBound)
}

func sum(counts map[vrid.ModelID]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

func heldModels(w *vrworld.World) map[vrid.ModelID]int {
	counts := make(map[vrid.ModelID]int)
	for _, e := range w.Engines {
		for model := range e.Models {
			counts[model]++
		}
	}
	return counts
}

// sample counts the virtual platform's calls for a while.
func sample(w *vrworld.World, length time.Duration) *meter {
	m := &meter{every: _pollEvery, samples: []map[string]int{maps.Clone(w.Platform.Calls)}}
	for passed := time.Duration(0); passed < length; passed += m.every {
		w.Advance(m.every)
		m.samples = append(m.samples, maps.Clone(w.Platform.Calls))
	}
	return m
}

// reportMeter holds the peak against what the platform gives.
func reportMeter(v *verdict, m *meter, reads, writes int) {
	byKind, all := m.peak()
	v.say("in %s: %s", _herdTime, describe(m.total()))
	v.say("peak of any second: %s", describe(byKind))
	reading := m.worst(_kindRead) + m.worst(_kindList) + m.worst(_kindVMs)
	writing := m.worst(_kindWrite)
	v.target(reading <= reads, "%d reads in the worst second (at most %d)", reading, reads)
	v.target(writing <= writes, "%d writes in the worst second (at most %d)", writing, writes)
	v.say("%d calls of all kinds in the worst second", all)
}

// onSite replaces one zone's daemons and then all of them, beside traffic.
func (h *herd) onSite(ctx context.Context) error {
	s, err := newSite(ctx, h.Options)
	if err != nil {
		return err
	}
	defer s.fleet.Close()
	const rate, length = 30, 70 * time.Second
	load := vrload.New(vrload.Options{
		Fleet: &s.fleet.Deployment.Fleet, Daemons: s.fleet.Callers(), Seed: h.Seed, Rate: rate, For: length,
	})
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	played := make(chan struct{})
	go func() {
		defer close(played)
		load.Play(traffic, vrload.Plan(vrload.Options{Fleet: &s.fleet.Deployment.Fleet, Seed: h.Seed, Rate: rate, For: length}))
	}()
	if vrpause.For(ctx, _warmUp) != nil {
		return ctx.Err()
	}
	s.verdict.say("before: %s in %s", describe(s.measure(ctx, _herdTime).total()), _herdTime)
	zone := s.fleet.Deployment.Fleet.Zones()[0]
	for _, chosen := range []vrid.ZoneID{zone, ""} {
		if err := s.replace(ctx, chosen); err != nil {
			return err
		}
	}
	stop()
	<-played
	if err := s.judge(load.Wait()); err != nil {
		return err
	}
	return s.end()
}

// replace kills the daemons of a zone, or all, and starts them at once.
func (s *site) replace(ctx context.Context, zone vrid.ZoneID) error {
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
	m := s.measure(ctx, _herdTime)
	reportMeter(&s.verdict, m, _siteRate, _siteRate)
	loads := 0
	for _, entry := range s.fleet.World.Journal.After(uint64(number)) {
		if entry.Kind == vrstandin.JournalLoadStarted && entry.Adapter == "" {
			loads++
		}
	}
	s.verdict.say("%d loads at the weight store", loads)
	refused := m.total()[_kindRefused]
	s.verdict.target(refused == 0, "%d calls beyond the platform's limit (0)", refused)
	for _, daemon := range chosen {
		if err := s.fleet.WaitReady(ctx, daemon, _readyBound); err != nil {
			return err
		}
	}
	return nil
}
