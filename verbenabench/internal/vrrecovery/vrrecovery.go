// Package vrrecovery measures how a deployment recovers from failures: reservations
// beside killed daemons, the takeover of a zone, starts of many daemons at once and
// partitions from the platform. Targets are those of the design; an experiment that
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

// Options are common to the experiments.
type Options struct {
	Deployment string
	Seed       uint64
	// Dir keeps settings, logs and evidence; empty takes a temporary one that is
	// removed when every target was met.
	Dir string
	Out io.Writer
}

const (
	_readyBound = 30 * time.Second
	_pollEvery  = 100 * time.Millisecond
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

// experiment makes a command of a run.
func experiment(name, short string, options *Options, run func(context.Context) error) *cobra.Command {
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
	// Dir holds the logs, when there are some.
	Dir string
}

func (e *MissedError) Error() string {
	text := "targets missed: " + strings.Join(e.Targets, "; ")
	if e.Dir != "" {
		text += " (logs are in " + e.Dir + ")"
	}
	return text
}

// verdict collects what was measured against a target.
type verdict struct {
	out    io.Writer
	missed []string
}

// target prints a figure with its bound and remembers a miss.
func (v *verdict) target(met bool, format string, arguments ...any) {
	line := fmt.Sprintf(format, arguments...)
	mark := "met   "
	if !met {
		mark = "MISSED"
		v.missed = append(v.missed, line)
	}
	fmt.Fprintf(v.out, "%s  %s\n", mark, line)
}

// say prints a figure without a bound.
func (v *verdict) say(format string, arguments ...any) {
	fmt.Fprintf(v.out, "        "+format+"\n", arguments...)
}

func (v *verdict) err(dir string) error {
	if len(v.missed) == 0 {
		return nil
	}
	return &MissedError{Targets: v.missed, Dir: dir}
}

// site is a deployment that runs, with what is known about it.
type site struct {
	options   *Options
	fleet     *vrfleet.Fleet
	evidence  vrinvariant.Evidence
	verdict   verdict
	dir       string
	temporary bool
	began     time.Time
}

// newSite builds the daemon and starts the stand-ins and every daemon.
func newSite(ctx context.Context, options *Options) (*site, error) {
	deployment, err := vrdeploy.ByName(options.Deployment, vrdeploy.Size{})
	if err != nil {
		return nil, err
	}
	s := &site{options: options, dir: options.Dir, began: time.Now(), verdict: verdict{out: options.Out}}
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
	if err := s.fleet.StartAll(ctx, _readyBound); err != nil {
		s.fleet.Close()
		return nil, err
	}
	s.progress("seed %d, deployment %s: %d daemons are ready", options.Seed, options.Deployment, len(deployment.Daemons))
	return s, nil
}

func (s *site) progress(format string, arguments ...any) {
	fmt.Fprintf(s.options.Out, "%6.1fs  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// load prepares callers of the site.
func (s *site) load() *vrload.Load {
	return vrload.New(vrload.Options{
		Fleet: &s.fleet.Deployment.Fleet, Daemons: s.fleet.Callers(), Seed: s.options.Seed,
	})
}

// judge stops the daemons and holds the run against the invariants.
func (s *site) judge(views []vrload.View) error {
	s.evidence.Views = views
	s.evidence.ShutdownErr = s.fleet.StopAll()
	s.evidence.Journal = s.fleet.World.Journal.After(0)
	if err := s.evidence.ReadRecord(s.fleet.World.Platform.Objects(vrplatform.PrefixRecord)); err != nil {
		return err
	}
	for _, check := range vrinvariant.CheckAll(&s.evidence) {
		s.verdict.target(check.Held(), "%s", check)
	}
	return nil
}

// end returns the verdict and removes a directory that nobody needs.
func (s *site) end() error {
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
