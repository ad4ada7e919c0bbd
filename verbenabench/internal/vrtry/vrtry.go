// Package vrtry runs a deployment on stand-ins under mixed traffic and failures, and
// judges the run by the nine invariants.
package vrtry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/sourcegraph/conc"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenabench/internal/vrfleet"
	"verbenaroute.example/verbenabench/internal/vrinvariant"
	"verbenaroute.example/verbenabench/internal/vrload"
	"verbenaroute.example/verbenabench/internal/vrpause"
	"verbenaroute.example/verbenabench/internal/vrstandin"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

// Options is what one run is made of.
type Options struct {
	Deployment string
	For        time.Duration
	Seed       uint64
	Rate       float64
	Speed      float64
	// Dir keeps settings and logs; empty takes a temporary one that is removed when
	// every invariant held.
	Dir           string
	Race          bool
	InsecurePeers bool
	Out           io.Writer
}

// Defaults of a run.
const (
	DefaultFor  = 40 * time.Second
	DefaultRate = 60

	_readyBound   = 30 * time.Second
	_progressStep = 2 * time.Second
	_burstEvery   = 4 * time.Second
	_burstSize    = 12
	// _listLag is how long after its end a VM leaves the platform's list.
	_listLag = 3 * time.Second
)

// Points of a run, as parts of its length.
const (
	_atChange = 0.25
	_atLeave  = 0.35
	_atKill   = 0.5
	_atStop   = 0.7
)

// Streams that run on a daemon when it is told to shut down.
const (
	_streams       = 16
	_streamTokens  = 200
	_streamsBefore = 250 * time.Millisecond
)

// Daemons of a run that take the command, die or shut down.
const (
	_commanded vrid.DaemonID = "daemon-1"
	_killed    vrid.DaemonID = "daemon-2"
	_stopped   vrid.DaemonID = "daemon-5"
)

// BrokenError says that an invariant did not hold.
type BrokenError struct {
	Names []string
	Dir   string
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("%d invariants did not hold: %v, logs are in %s", len(e.Names), e.Names, e.Dir)
}

// run is the state of one run.
type run struct {
	options  Options
	fleet    *vrfleet.Fleet
	load     *vrload.Generator
	evidence vrinvariant.Evidence
	log      *progress
}

// Run runs once and returns an error unless every invariant held.
func Run(ctx context.Context, options Options) error {
	deployment, err := vrdeploy.ByName(options.Deployment, vrdeploy.Size{})
	if err != nil {
		return err
	}
	dir, temporary, err := directory(options.Dir)
	if err != nil {
		return err
	}
	log := newProgress(options.Out)
	log.say("seed %d, deployment %s, %s at %g calls a second", options.Seed, options.Deployment, options.For, options.Rate)
	program, err := vrfleet.Build(ctx, dir, options.Race)
	if err != nil {
		return err
	}
	fleet, err := vrfleet.New(vrfleet.Options{
		Deployment: deployment, Program: program, Dir: dir, Speed: options.Speed, InsecurePeers: options.InsecurePeers,
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	r := &run{options: options, fleet: fleet, log: log, evidence: vrinvariant.NewEvidence(deployment)}
	if err := r.play(ctx); err != nil {
		return fmt.Errorf("%w (logs are in %s)", err, dir)
	}
	if err := r.report(dir); err != nil {
		return err
	}
	if temporary {
		return os.RemoveAll(dir)
	}
	return nil
}

func directory(wanted string) (dir string, temporary bool, err error) {
	if wanted != "" {
		return wanted, false, nil
	}
	dir, err = os.MkdirTemp("", "verbenabench-")
	return dir, true, err
}

// play starts the daemons, sends the traffic and stops the daemons.
func (r *run) play(ctx context.Context) error {
	began := time.Now()
	if err := r.fleet.StartAll(ctx, _readyBound); err != nil {
		return err
	}
	r.log.say("%d daemons ready after %s", len(r.fleet.Deployment.Daemons), time.Since(began).Round(time.Millisecond))
	r.load = vrload.New(vrload.Options{
		Fleet: &r.fleet.Deployment.Fleet, Daemons: r.fleet.Callers(), Seed: r.options.Seed, Rate: r.options.Rate,
		Duration: r.options.For, BurstEvery: _burstEvery, BurstSize: _burstSize,
	})
	failures := r.traffic(ctx)
	if err := ctx.Err(); err != nil {
		return err
	}
	r.log.say("traffic ended, daemons shut down")
	r.evidence.ShutdownErr = errors.Join(failures, r.fleet.StopAll())
	r.evidence.Journal = r.fleet.World.Journal.After(0)
	return r.evidence.ReadRecord(r.fleet.World.Platform.Objects(vrplatform.PrefixRecord))
}

// traffic runs the load beside the failures and returns what went wrong with the
// shutdown in the middle.
func (r *run) traffic(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var beside conc.WaitGroup
	var failures error
	beside.Go(func() { failures = r.failures(ctx) })
	beside.Go(func() { r.watch(ctx) })
	r.evidence.Results = r.load.Run(ctx)
	cancel()
	beside.Wait()
	return failures
}

// failures changes the configuration, lets a server leave, kills one daemon and shuts
// another one down.
func (r *run) failures(ctx context.Context) error {
	steps := []struct {
		at   float64
		name string
		act  func(context.Context) error
	}{
		{_atChange, "an operator changes the configuration", r.change},
		{_atLeave, "a language server begins to leave", r.leave},
		{_atKill, string(_killed) + " is killed", r.kill},
		{_atStop, string(_stopped) + " shuts down", r.stop},
	}
	began := time.Now()
	var failures []error
	for _, step := range steps {
		at := time.Duration(step.at * float64(r.options.For))
		if vrpause.For(ctx, at-time.Since(began)) != nil {
			break
		}
		r.log.say("%s", step.name)
		failures = append(failures, step.act(ctx))
	}
	return errors.Join(failures...)
}

// change gives a command to a daemon that is neither killed nor stopped later.
func (r *run) change(ctx context.Context) error {
	answer, err := r.fleet.Command(ctx, _commanded, "set rank deferred worth 2")
	if err != nil {
		return fmt.Errorf("command at %s: %w", _commanded, err)
	}
	r.evidence.ConfigChangedAt, r.evidence.ConfigVersion = time.Now(), answer.To
	return nil
}

func (r *run) leave(context.Context) error {
	for _, server := range r.fleet.Deployment.Servers {
		if server.Zone == r.fleet.Deployment.Fleet.Zones()[1] {
			return r.fleet.World.Apply(vrstandin.Fault{Kind: vrstandin.FaultServerLeave, Server: server.ID})
		}
	}
	return nil
}

func (r *run) kill(ctx context.Context) error {
	r.evidence.Killed[_killed] = time.Now()
	if err := r.fleet.Kill(_killed); err != nil {
		return err
	}
	r.load.MarkDown(_killed)
	if err := vrpause.For(ctx, _listLag); err != nil {
		return err
	}
	return r.removeVM(_killed)
}

func (r *run) removeVM(daemon vrid.DaemonID) error {
	return r.fleet.World.Apply(vrstandin.Fault{Kind: vrstandin.FaultVMRemove, VM: vrplatform.VM{ID: vrid.VMID(daemon)}})
}

// stop shuts a daemon down while streams run on it.
func (r *run) stop(ctx context.Context) error {
	planner := vrload.NewPlanner(&r.fleet.Deployment.Fleet, r.options.Seed+1, nil)
	for range _streams {
		call := planner.ForModel(r.fleet.Deployment.Fleet.Models[0].ID, "")
		call.Daemon, call.Stream, call.MaxTokens = _stopped, true, _streamTokens
		r.load.Start(ctx, call)
	}
	if err := vrpause.For(ctx, _streamsBefore); err != nil {
		return err
	}
	r.evidence.Stopping[_stopped] = time.Now()
	if err := r.fleet.Terminate(_stopped); err != nil {
		return err
	}
	r.load.MarkDown(_stopped)
	if err := r.fleet.WaitExit(_stopped); err != nil {
		return err
	}
	return r.removeVM(_stopped)
}

// watch prints a line now and then.
func (r *run) watch(ctx context.Context) {
	for vrpause.For(ctx, _progressStep) == nil {
		sent, ended := r.load.Progress()
		loads := 0
		for _, entry := range r.fleet.World.Journal.After(0) {
			if entry.Kind == vrstandin.JournalLoaded && entry.Adapter == "" {
				loads++
			}
		}
		r.log.say("%d calls sent, %d ended, %d models loaded", sent, ended, loads)
	}
}

// report prints the table and the verdicts.
func (r *run) report(dir string) error {
	writeTable(r.options.Out, &r.evidence)
	fmt.Fprintln(r.options.Out)
	checks := vrinvariant.CheckAll(&r.evidence)
	var broken []string
	for _, check := range checks {
		fmt.Fprintln(r.options.Out, check)
		if !check.Held() {
			broken = append(broken, check.Name)
		}
	}
	if len(broken) > 0 || r.options.Dir != "" {
		if err := r.evidence.Save(dir); err != nil {
			return err
		}
	}
	if len(broken) > 0 {
		return &BrokenError{Names: broken, Dir: dir}
	}
	fmt.Fprintln(r.options.Out, "every invariant held")
	return nil
}

// progress prints lines with the time since the start.
type progress struct {
	out   io.Writer
	began time.Time
}

func newProgress(out io.Writer) *progress { return &progress{out: out, began: time.Now()} }

func (p *progress) say(format string, arguments ...any) {
	fmt.Fprintf(p.out, "%6.1fs  %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, arguments...))
}
