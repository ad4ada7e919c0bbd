// Package vrrecovery measures how a deployment recovers from failures: reservations while
// daemons are killed, the takeover of a zone, the start of many daemons at once and
// partitions from the platform. The targets are those of the design; an experiment that
// misses one returns an error.
package vrrecovery

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenabench/internal/vrfleet"
	"verbenaroute.example/verbenabench/internal/vrinvariant"
	"verbenaroute.example/verbenabench/internal/vrload"
	"verbenaroute.example/verbenacore/vrplatform"
)

// Options holds the options common to all experiments.
type Options struct {
	Deployment string
	Seed       uint64
	// Dir is the directory for settings, logs and evidence. If it is empty, a temporary
	// directory is used and removed when every target is met.
	Dir string
	Out io.Writer
}

const (
	_readyTimeout = 30 * time.Second
	_pollInterval = 100 * time.Millisecond
)

// Command returns `verbenabench recovery`.
func Command() *cobra.Command {
	command := &cobra.Command{
		Use:   "recovery",
		Short: "Measure the recovery from failures against the targets of the design",
	}
	options := &Options{}
	flags := command.PersistentFlags()
	flags.StringVar(&options.Deployment, "deployment", vrdeploy.Shuyuan, "deployment: shuyuan or hayabusa")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the traffic and of the failures")
	flags.StringVar(&options.Dir, "dir", "", "directory for settings, logs and evidence, empty for a temporary one")
	command.AddCommand(
		reservationsCommand(options), takeoverCommand(options), herdCommand(options), partitionCommand(options),
	)
	return command
}

// newExperiment returns the command that runs an experiment until it ends or is interrupted.
func newExperiment(name, short string, options *Options, run func(context.Context) error) *cobra.Command {
	return &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			options.Out = command.OutOrStdout()
			return run(ctx)
		},
	}
}

// MissedError lists the targets that were missed.
type MissedError struct {
	Targets []string
	// Dir is the directory that holds the logs, or empty if there are none.
	Dir string
}

func (e *MissedError) Error() string {
	text := "targets missed: " + strings.Join(e.Targets, "; ")
	if e.Dir != "" {
		text += " (logs are in " + e.Dir + ")"
	}
	return text
}

// verdict prints measured figures and collects the missed targets.
type verdict struct {
	out    io.Writer
	missed []string
}

// check prints a figure with its target and records a miss.
func (v *verdict) check(met bool, format string, arguments ...any) {
	line := fmt.Sprintf(format, arguments...)
	mark := "met   "
	if !met {
		mark = "MISSED"
		v.missed = append(v.missed, line)
	}
	fmt.Fprintf(v.out, "%s  %s\n", mark, line)
}

// info prints a figure that has no target.
func (v *verdict) info(format string, arguments ...any) {
	fmt.Fprintf(v.out, "        "+format+"\n", arguments...)
}

func (v *verdict) err(dir string) error {
	if len(v.missed) == 0 {
		return nil
	}
	return &MissedError{Targets: v.missed, Dir: dir}
}

// testbed is a running deployment of real daemons, with the evidence collected about it.
type testbed struct {
	options   *Options
	fleet     *vrfleet.Fleet
	evidence  vrinvariant.Evidence
	verdict   verdict
	dir       string
	temporary bool
	began     time.Time
}

// newTestbed builds the daemon and starts the stand-ins and every daemon.
func newTestbed(ctx context.Context, options *Options) (*testbed, error) {
	deployment, err := vrdeploy.ByName(options.Deployment, vrdeploy.Size{})
	if err != nil {
		return nil, err
	}
	s := &testbed{options: options, dir: options.Dir, began: time.Now(), verdict: verdict{out: options.Out}}
	if s.dir == "" {
		if s.dir, err = os.MkdirTemp("", "verbenabench-"); err != nil {
			return nil, err
		}
		s.temporary = true
	}
	program, err := vrfleet.Build(ctx, s.dir, false)
	if err != nil {
		return nil, err
	}
	s.fleet, err = vrfleet.New(vrfleet.Options{Deployment: deployment, Program: program, Dir: s.dir, Speed: 1})
	if err != nil {
		return nil, err
	}
	s.evidence = vrinvariant.NewEvidence(deployment)
	if err := s.fleet.StartAll(ctx, _readyTimeout); err != nil {
		s.fleet.Close()
		return nil, err
	}
	s.progress("seed %d, deployment %s: %d daemons are ready", options.Seed, options.Deployment, len(deployment.Daemons))
	return s, nil
}

func (s *testbed) progress(format string, arguments ...any) {
	fmt.Fprintf(s.options.Out, "%6.1fs  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// load returns a load generator for the daemons of the testbed.
func (s *testbed) load() *vrload.Generator {
	return vrload.New(vrload.Options{
		Fleet: &s.fleet.Deployment.Fleet, Daemons: s.fleet.Callers(), Seed: s.options.Seed,
	})
}

// checkInvariants stops the daemons and checks the run against the invariants.
func (s *testbed) checkInvariants(views []vrload.Result) error {
	s.evidence.Results = views
	s.evidence.ShutdownErr = s.fleet.StopAll()
	s.evidence.Journal = s.fleet.World.Journal.After(0)
	if err := s.evidence.ReadRecord(s.fleet.World.Platform.Objects(vrplatform.PrefixRecord)); err != nil {
		return err
	}
	for _, check := range vrinvariant.CheckAll(&s.evidence) {
		s.verdict.check(check.Held(), "%s", check)
	}
	return nil
}

// finish returns the verdict. It saves the evidence if a target was missed, and otherwise
// removes a temporary directory.
func (s *testbed) finish() error {
	err := s.verdict.err(s.dir)
	if err != nil {
		if saveErr := s.evidence.Save(s.dir); saveErr != nil {
			return fmt.Errorf("%w; the evidence was not saved: %w", err, saveErr)
		}
		return err
	}
	if s.temporary {
		return os.RemoveAll(s.dir)
	}
	return nil
}
