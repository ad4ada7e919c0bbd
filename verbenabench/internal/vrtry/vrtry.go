// Package vrtry runs the daemons of a deployment against stand-in servers, with mixed
// traffic and injected failures, and then checks the nine invariants.
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

// Options configures a run.
type Options struct {
	// Deployment is the name of a deployment of package vrdeploy.
	Deployment string
	// For is the duration of the traffic.
	For  time.Duration
	Seed uint64
	// Rate is the mean number of calls per second, not counting the bursts.
	Rate float64
	// Speed is the factor that the stand-ins divide load and generation times by; zero
	// means 1.
	Speed float64
	// Dir is the directory for settings and logs. If it is empty, a temporary directory is
	// used and removed after a run without violations.
	Dir string
	// Race builds the daemon with the race detector.
	Race bool
	// InsecurePeers disables TLS between the daemons.
	InsecurePeers bool
	Out           io.Writer
}

// Default values of Options, and constants of every run.
const (
	DefaultFor  = 40 * time.Second
	DefaultRate = 60

	_readyTimeout     = 30 * time.Second
	_progressInterval = 2 * time.Second
	_burstInterval    = 4 * time.Second
	_burstSize        = 12
	// _vmRemovalDelay is the time between the kill of a daemon and the removal of its VM
	// from the platform's list.
	_vmRemovalDelay = 3 * time.Second
)

// Times of the injected failures, as fractions of the traffic's duration.
const (
	_atChange = 0.25
	_atLeave  = 0.35
	_atKill   = 0.5
	_atStop   = 0.7
)

// Streams that are in flight on a daemon when it receives SIGTERM.
const (
	_streamCount    = 16
	_streamTokens   = 200
	_streamLeadTime = 250 * time.Millisecond
)

// Daemons that receive the operator's command, are killed or are shut down.
const (
	_commandedDaemon vrid.DaemonID = "daemon-1"
	_killedDaemon    vrid.DaemonID = "daemon-2"
	_stoppedDaemon   vrid.DaemonID = "daemon-5"
)

// InvariantError reports the violated invariants of a run.
type InvariantError struct {
	Names []string
	Dir   string
}

func (e *InvariantError) Error() string {
	return fmt.Sprintf("%d invariants were violated: %v, logs are in %s", len(e.Names), e.Names, e.Dir)
}

// run is the state of one run.
type run struct {
	options   Options
	fleet     *vrfleet.Fleet
	generator *vrload.Generator
	evidence  vrinvariant.Evidence
	log       *progress
}

// Run performs one run and returns an *InvariantError if an invariant was violated.
func Run(ctx context.Context, options Options) error {
	deployment, err := vrdeploy.ByName(options.Deployment, vrdeploy.Size{})
	if err != nil {
		return err
	}
	dir, temporary, err := resolveDir(options.Dir)
	if err != nil {
		return err
	}
	log := newProgress(options.Out)
	log.printf("seed %d, deployment %s, %s at %g calls per second", options.Seed, options.Deployment, options.For, options.Rate)
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
	if err := r.execute(ctx); err != nil {
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

// resolveDir returns path, or a new temporary directory if path is empty.
func resolveDir(path string) (dir string, temporary bool, err error) {
	if path != "" {
		return path, false, nil
	}
	dir, err = os.MkdirTemp("", "verbenabench-")
	return dir, true, err
}

// execute starts the daemons, runs the traffic and the failures, shuts the daemons down and
// collects the evidence.
func (r *run) execute(ctx context.Context) error {
	began := time.Now()
	if err := r.fleet.StartAll(ctx, _readyTimeout); err != nil {
		return err
	}
	r.log.printf("%d daemons ready after %s", len(r.fleet.Deployment.Daemons), time.Since(began).Round(time.Millisecond))
	r.generator = vrload.New(vrload.Options{
		Fleet: &r.fleet.Deployment.Fleet, Daemons: r.fleet.CallerAddresses(), Seed: r.options.Seed, Rate: r.options.Rate,
		Duration: r.options.For, BurstEvery: _burstInterval, BurstSize: _burstSize,
	})
	failures := r.runTraffic(ctx)
	if err := ctx.Err(); err != nil {
		return err
	}
	r.log.printf("traffic ended, shutting down the daemons")
	r.evidence.ShutdownErr = errors.Join(failures, r.fleet.StopAll())
	r.evidence.Journal = r.fleet.World.Journal.After(0)
	return r.evidence.ReadRecord(r.fleet.World.Platform.Objects(vrplatform.PrefixRecord))
}

// runTraffic runs the traffic while it injects failures in the background. It returns the
// errors of the steps that inject them, such as an unclean shutdown of a daemon.
func (r *run) runTraffic(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var background conc.WaitGroup
	var failures error
	background.Go(func() { failures = r.injectFailures(ctx) })
	background.Go(func() { r.reportProgress(ctx) })
	r.evidence.Results = r.generator.Run(ctx)
	cancel()
	background.Wait()
	return failures
}

// injectFailures changes the configuration, makes a server leave, kills one daemon and shuts
// another one down. It stops early if ctx ends.
func (r *run) injectFailures(ctx context.Context) error {
	steps := []struct {
		at   float64
		name string
		act  func(context.Context) error
	}{
		{_atChange, "an operator changes the configuration", r.changeConfig},
		{_atLeave, "a language server begins to leave", r.leaveServer},
		{_atKill, string(_killedDaemon) + " is killed", r.killDaemon},
		{_atStop, string(_stoppedDaemon) + " shuts down", r.stopDaemon},
	}
	began := time.Now()
	var failures []error
	for _, step := range steps {
		at := time.Duration(step.at * float64(r.options.For))
		if vrpause.For(ctx, at-time.Since(began)) != nil {
			break
		}
		r.log.printf("%s", step.name)
		failures = append(failures, step.act(ctx))
	}
	return errors.Join(failures...)
}

// changeConfig sends a command to a daemon that is neither killed nor stopped later.
func (r *run) changeConfig(ctx context.Context) error {
	answer, err := r.fleet.Command(ctx, _commandedDaemon, "set rank deferred worth 2")
	if err != nil {
		return fmt.Errorf("command at %s: %w", _commandedDaemon, err)
	}
	r.evidence.ConfigChangedAt, r.evidence.ConfigVersion = time.Now(), answer.To
	return nil
}

// leaveServer makes one server of the second zone announce that it is leaving.
func (r *run) leaveServer(context.Context) error {
	for _, server := range r.fleet.Deployment.Servers {
		if server.Zone == r.fleet.Deployment.Fleet.Zones()[1] {
			return r.fleet.World.Apply(vrstandin.Fault{Kind: vrstandin.FaultServerLeave, Server: server.ID})
		}
	}
	return nil
}

// killDaemon kills a daemon and later removes its VM from the platform's list.
func (r *run) killDaemon(ctx context.Context) error {
	r.evidence.Killed[_killedDaemon] = time.Now()
	if err := r.fleet.Kill(_killedDaemon); err != nil {
		return err
	}
	r.generator.MarkDown(_killedDaemon)
	if err := vrpause.For(ctx, _vmRemovalDelay); err != nil {
		return err
	}
	return r.removeVM(_killedDaemon)
}

// removeVM removes the VM of a daemon from the platform's list.
func (r *run) removeVM(daemon vrid.DaemonID) error {
	return r.fleet.World.Apply(vrstandin.Fault{Kind: vrstandin.FaultVMRemove, VM: vrplatform.VM{ID: vrid.VMID(daemon)}})
}

// stopDaemon shuts a daemon down while streams are in flight on it, and then removes its VM
// from the platform's list.
func (r *run) stopDaemon(ctx context.Context) error {
	planner := vrload.NewPlanner(&r.fleet.Deployment.Fleet, r.options.Seed+1, nil)
	for range _streamCount {
		call := planner.ForModel(r.fleet.Deployment.Fleet.Models[0].ID, "")
		call.Daemon, call.Stream, call.MaxTokens = _stoppedDaemon, true, _streamTokens
		r.generator.Start(ctx, call)
	}
	if err := vrpause.For(ctx, _streamLeadTime); err != nil {
		return err
	}
	r.evidence.Stopping[_stoppedDaemon] = time.Now()
	if err := r.fleet.Terminate(_stoppedDaemon); err != nil {
		return err
	}
	r.generator.MarkDown(_stoppedDaemon)
	if err := r.fleet.WaitExit(_stoppedDaemon); err != nil {
		return err
	}
	return r.removeVM(_stoppedDaemon)
}

// reportProgress prints the progress at a fixed interval until ctx ends.
func (r *run) reportProgress(ctx context.Context) {
	for vrpause.For(ctx, _progressInterval) == nil {
		sent, ended := r.generator.Progress()
		loads := 0
		for _, entry := range r.fleet.World.Journal.After(0) {
			if entry.Kind == vrstandin.JournalLoaded && entry.Adapter == "" {
				loads++
			}
		}
		r.log.printf("%d calls sent, %d ended, %d models loaded", sent, ended, loads)
	}
}

// report prints the table and the result of each check. It saves the evidence to dir if an
// invariant was violated or a directory was requested.
func (r *run) report(dir string) error {
	writeTable(r.options.Out, &r.evidence)
	fmt.Fprintln(r.options.Out)
	checks := vrinvariant.CheckAll(&r.evidence)
	var violated []string
	for _, check := range checks {
		fmt.Fprintln(r.options.Out, check)
		if !check.Held() {
			violated = append(violated, check.Name)
		}
	}
	if len(violated) > 0 || r.options.Dir != "" {
		if err := r.evidence.Save(dir); err != nil {
			return err
		}
	}
	if len(violated) > 0 {
		return &InvariantError{Names: violated, Dir: dir}
	}
	fmt.Fprintln(r.options.Out, "every invariant held")
	return nil
}

// progress prints lines prefixed with the time since the start of the run.
type progress struct {
	out   io.Writer
	began time.Time
}

func newProgress(out io.Writer) *progress { return &progress{out: out, began: time.Now()} }

func (p *progress) printf(format string, arguments ...any) {
	fmt.Fprintf(p.out, "%6.1fs  %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, arguments...))
}
