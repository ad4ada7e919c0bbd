// Package vrrecovery measures how a deployment recovers from failures: killed daemons
// while callers make reservations, the death of a zone's owner, the replacement of many
// daemons at once and a zone's partition from the platform. The targets come from the
// design; an experiment that misses one returns an error.
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
	// Deployment is the name of a deployment of vrdeploy.
	Deployment string
	// Seed is the seed of the traffic and of the failures.
	Seed uint64
	// Dir is the directory for settings, logs and evidence. If it is empty, a temporary
	// directory is used and removed when every target is met.
	Dir string
	Out io.Writer
}

const (
	// _readyTimeout bounds the wait until started daemons are ready.
	_readyTimeout = 30 * time.Second
	// _pollInterval is the interval at which daemons and call counters are polled.
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

// newExperiment returns the command that runs an experiment until it ends or a signal
// interrupts it.
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

// MissedTargetsError lists the targets that were missed.
type MissedTargetsError struct {
	Targets []string
	// Dir is the directory that holds the logs and the evidence, or empty if there are none.
	Dir string
}

func (e *MissedTargetsError) Error() string {
	text := "targets missed: " + strings.Join(e.Targets, "; ")
	if e.Dir != "" {
		text += " (logs are in " + e.Dir + ")"
	}
	return text
}

// verdict prints the measured figures and collects the missed targets.
type verdict struct {
	out    io.Writer
	missed []string
}

// check prints a figure with its target, and records the target as missed unless met is
// set.
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

// err returns a MissedTargetsError if a target was missed.
func (v *verdict) err(dir string) error {
	if len(v.missed) == 0 {
		return nil
	}
	return &MissedTargetsError{Targets: v.missed, Dir: dir}
}

// testbed is a running deployment of real daemons, with the evidence for the invariant
// checks.
type testbed struct {
	options  *Options
	fleet    *vrfleet.Fleet
	evidence vrinvariant.Evidence
	verdict  verdict
	dir      string
	// temporary is set if dir is a temporary directory.
	temporary bool
	began     time.Time
}

// newTestbed builds the daemon's program, starts the stand-ins and every daemon, and waits
// until all daemons are ready.
func newTestbed(ctx context.Context, options *Options) (*testbed, error) {
	deployment, err := vrdeploy.ByName(options.Deployment, vrdeploy.Size{})
	if err != nil {
		return nil, err
	}
	tb := &testbed{options: options, dir: options.Dir, began: time.Now(), verdict: verdict{out: options.Out}}
	if tb.dir == "" {
		if tb.dir, err = os.MkdirTemp("", "verbenabench-"); err != nil {
			return nil, err
		}
		tb.temporary = true
	}
	program, err := vrfleet.Build(ctx, tb.dir, false)
	if err != nil {
		return nil, err
	}
	tb.fleet, err = vrfleet.New(vrfleet.Options{Deployment: deployment, Program: program, Dir: tb.dir, Speed: 1})
	if err != nil {
		return nil, err
	}
	tb.evidence = vrinvariant.NewEvidence(deployment)
	if err := tb.fleet.StartAll(ctx, _readyTimeout); err != nil {
		tb.fleet.Close()
		return nil, err
	}
	tb.progress("seed %d, deployment %s: %d daemons are ready", options.Seed, options.Deployment, len(deployment.Daemons))
	return tb, nil
}

// progress prints a message with the time since the start of the run.
func (tb *testbed) progress(format string, arguments ...any) {
	fmt.Fprintf(tb.options.Out, "%6.1fs  %s\n", time.Since(tb.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// newGenerator returns a load generator for the daemons of the testbed.
func (tb *testbed) newGenerator() *vrload.Generator {
	return vrload.New(vrload.Options{
		Fleet: &tb.fleet.Deployment.Fleet, Daemons: tb.fleet.CallerAddresses(), Seed: tb.options.Seed,
	})
}

// checkInvariants stops the daemons and checks the run against the invariants. Each
// invariant is a target of the verdict.
func (tb *testbed) checkInvariants(results []vrload.Result) error {
	tb.evidence.Results = results
	tb.evidence.ShutdownErr = tb.fleet.StopAll()
	tb.evidence.Journal = tb.fleet.World.Journal.After(0)
	if err := tb.evidence.ReadRecord(tb.fleet.World.Platform.Objects(vrplatform.PrefixRecord)); err != nil {
		return err
	}
	for _, check := range vrinvariant.CheckAll(&tb.evidence) {
		tb.verdict.check(check.Held(), "%s", check)
	}
	return nil
}

// finish returns the verdict. It saves the evidence if a target was missed, and otherwise
// removes a temporary directory.
func (tb *testbed) finish() error {
	err := tb.verdict.err(tb.dir)
	if err != nil {
		if saveErr := tb.evidence.Save(tb.dir); saveErr != nil {
			return fmt.Errorf("%w; the evidence was not saved: %w", err, saveErr)
		}
		return err
	}
	if tb.temporary {
		return os.RemoveAll(tb.dir)
	}
	return nil
}
