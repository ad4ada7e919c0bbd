// Package vrterminal is the command line of verbenactl: statements of the operators'
// language, a prompt, audits and reports.
package vrterminal

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrquery"

	"verbenaroute.example/verbenactl/internal/vrcaller"
)

// Exit statuses by kind.
const (
	ExitOK = iota
	// ExitFault: an audit found faults, or something unexpected failed.
	ExitFault
	ExitUsage
	ExitRefused
	ExitConflict
	ExitUnavailable
	ExitPartial
)

// Names of environment variables.
const (
	EnvDaemons   = "VERBENA_DAEMONS"
	EnvToken     = "VERBENA_TOKEN"
	EnvAuthority = "VERBENA_AUTHORITY"
)

// Streams are the files of the process and what it knows of them.
type Streams struct {
	In          io.Reader
	Out         io.Writer
	Err         io.Writer
	Interactive bool
	Env         func(string) string
	Now         func() time.Time
}

// Standard returns the streams of the process.
func Standard() Streams {
	return Streams{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr,
		Interactive: term.IsTerminal(int(os.Stdin.Fd())),
		Env:         os.Getenv,
		Now:         time.Now,
	}
}

// PartialError says that an answer leaves something out.
type PartialError struct{ Missing []string }

func (e *PartialError) Error() string {
	return "the answer is partial:\n  " + strings.Join(e.Missing, "\n  ")
}

// UsageError says that the command line is wrong.
type UsageError struct{ Message string }

func (e *UsageError) Error() string { return e.Message }

// FaultError says that an audit found faults.
type FaultError struct{ Count int }

func (e *FaultError) Error() string { return fmt.Sprintf("%d faults", e.Count) }

// Main runs the command line and returns the exit status.
func Main(args []string, streams Streams) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	t := &terminal{streams: streams}
	root := t.command()
	root.SetArgs(args)
	root.SetOut(streams.Out)
	root.SetErr(streams.Err)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(streams.Err, err)
	}
	return exitOf(err)
}

var _exits = map[vrquery.FailureKind]int{
	vrquery.FailureUsage:       ExitUsage,
	vrquery.FailureRefused:     ExitRefused,
	vrquery.FailureConflict:    ExitConflict,
	vrquery.FailureUnavailable: ExitUnavailable,
	vrquery.FailureUndecided:   ExitUnavailable,
}

func exitOf(err error) int {
	var failure *vrquery.Failure
	var syntax *vrquery.SyntaxError
	var usage *UsageError
	var format *vrquery.FormatError
	var check *vrconfig.ValidationError
	var unreachable *vrcaller.UnreachableError
	var partial *PartialError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &failure):
		return _exits[failure.Kind]
	case errors.As(err, &syntax), errors.As(err, &usage), errors.As(err, &format):
		return ExitUsage
	case errors.As(err, &check):
		return ExitRefused
	case errors.As(err, &unreachable), errors.Is(err, context.DeadlineExceeded):
		return ExitUnavailable
	case errors.As(err, &partial):
		return ExitPartial
	}
	return ExitFault
}

type terminal struct {
	streams   Streams
	daemons   []string
	token     string
	authority string
	output    string
	file      string
	noWait    bool
	caller    *vrcaller.Caller
}

const _help = `verbenactl asks and changes a fleet of verbenaroute through any of its daemons.

  verbenactl 'show requests where rank = urgent since 2h by model'
  verbenactl explain 'set replicas summary@3 4'
  verbenactl 'set replicas summary@3 4'
  verbenactl -f changes.txt
  verbenactl                      (a prompt with history and completion)

Daemons, token and authority come from flags or from VERBENA_DAEMONS (separated by
commas), VERBENA_TOKEN and VERBENA_AUTHORITY.

Exit status: 0 done, 1 faults found or failed, 2 malformed, 3 refused, 4 another change
came first, 5 unavailable, 6 partial.`

func (t *terminal) command() *cobra.Command {
	root := &cobra.Command{
		Use:               "verbenactl [statement]",
		Short:             "Query and command a fleet of verbenaroute",
		Long:              _help,
		Args:              cobra.ArbitraryArgs,
		SilenceUsage:      true,
		SilenceErrors:     true,
		ValidArgsFunction: completeArgs,
		PersistentPreRunE: func(*cobra.Command, []string) error { return t.connect() },
		RunE:              func(cmd *cobra.Command, args []string) error { return t.run(cmd.Context(), args) },
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&t.daemons, "daemon", nil, "URL of a daemon's operator port; several are tried in turn")
	flags.StringVar(&t.token, "token", "", "operator's token (better in "+EnvToken+")")
	flags.StringVar(&t.authority, "authority", "", "PEM file that signs the daemons' certificates")
	flags.StringVar(&t.output, "output", string(vrquery.FormatTable), "table, json or csv")
	root.Flags().StringVarP(&t.file, "file", "f", "", "file with one statement a line, - for the standard input")
	root.Flags().BoolVar(&t.noWait, "no-wait", false, "do not wait until a change is in force in every zone")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &UsageError{Message: err.Error()} })
	root.AddCommand(t.explainCommand(), t.traceCommand(), t.auditCommand(), t.reportCommand(), t.importCommand(), t.exportCommand())
	return root
}

// completeArgs completes the statement in the shell.
func completeArgs(_ *cobra.Command, args []string, part string) ([]string, cobra.ShellCompDirective) {
	line := strings.Join(append(args, part), " ")
	cut := strings.LastIndexByte(part, ' ') + 1
	words := vrquery.Complete(line)
	for i, word := range words {
		words[i] = part[:cut] + word
	}
	return words, cobra.ShellCompDirectiveNoFileComp
}

func (t *terminal) connect() error {
	if len(t.daemons) == 0 && t.streams.Env(EnvDaemons) != "" {
		t.daemons = strings.Split(t.streams.Env(EnvDaemons), ",")
	}
	if t.token == "" {
		t.token = t.streams.Env(EnvToken)
	}
	if t.authority == "" {
		t.authority = t.streams.Env(EnvAuthority)
	}
	switch vrquery.Format(t.output) {
	case vrquery.FormatTable, vrquery.FormatJSON, vrquery.FormatCSV:
	default:
		return &vrquery.FormatError{Found: vrquery.Format(t.output)}
	}
	caller, err := vrcaller.New(vrcaller.Options{Daemons: t.daemons, Token: t.token, Authority: t.authority})
	t.caller = caller
	return err
}

func (t *terminal) needDaemon() error {
	if len(t.daemons) > 0 {
		return nil
	}
	return &UsageError{Message: "no daemon is named: use --daemon or " + EnvDaemons}
}

func (t *terminal) run(ctx context.Context, args []string) error {
	switch {
	case t.file != "" && len(args) > 0:
		return &UsageError{Message: "either a statement or a file"}
	case len(args) > 0:
		return t.statement(ctx, strings.Join(args, " "))
	case t.file != "" && t.file != "-":
		file, err := os.Open(t.file)
		if err != nil {
			return &UsageError{Message: err.Error()}
		}
		defer func() { _ = file.Close() }()
		return t.script(ctx, t.file, file)
	case t.file == "-" || !t.streams.Interactive:
		return t.script(ctx, "line", t.streams.In)
	}
	return t.prompt(ctx)
}

// script runs statements until one fails. A partial answer doesn't end it.
func (t *terminal) script(ctx context.Context, name string, from io.Reader) error {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, vrquery.MaxStatementBytes)
	var partial error
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		err := t.statement(ctx, line)
		if exitOf(err) == ExitPartial {
			partial = err
			continue
		}
		if err != nil {
			return fmt.Errorf("%s:%d:\n%w", name, number, err)
		}
	}
	if err := lines.Err(); err != nil {
		return &UsageError{Message: fmt.Sprintf("%s: %v", name, err)}
	}
	return partial
}

// statement runs one query or command. A malformed one is found before a daemon is
// asked.
func (t *terminal) statement(ctx context.Context, text string) error {
	parsed, err := vrquery.Parse(text)
	if err != nil {
		return err
	}
	if err := t.needDaemon(); err != nil {
		return err
	}
	if parsed.IsCommand() {
		answer, err := t.caller.Command(ctx, vrquery.CommandRequest{Command: text, NoWait: t.noWait})
		if err != nil {
			return err
		}
		return t.showAnswer(answer)
	}
	table, err := t.caller.Query(ctx, text)
	if err != nil {
		return err
	}
	if err := table.Write(t.streams.Out, vrquery.Format(t.output)); err != nil {
		return err
	}
	if len(table.Missing) > 0 {
		return &PartialError{Missing: table.Missing}
	}
	return nil
}

// showAnswer writes how a command ended. A change that is not in force everywhere is
// partial unless the operator asked not to wait.
func (t *terminal) showAnswer(answer *vrquery.CommandResponse) error {
	if vrquery.Format(t.output) == vrquery.FormatJSON {
		encoder := json.NewEncoder(t.streams.Out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(answer); err != nil {
			return err
		}
	} else {
		t.describe(answer)
	}
	if answer.State != vrquery.CommandAccepted || t.noWait {
		return nil
	}
	partial := &PartialError{}
	for _, zone := range answer.Zones {
		if !zone.InForce {
			partial.Missing = append(partial.Missing, fmt.Sprintf("zone %s has version %d, not yet %d", zone.Zone, zone.Version, answer.To))
		}
	}
	if len(partial.Missing) == 0 {
		partial.Missing = []string{"the platform does not say which zones have the version"}
	}
	return partial
}

func (t *terminal) describe(answer *vrquery.CommandResponse) {
	switch answer.State {
	case vrquery.CommandUnchanged:
		fmt.Fprintf(t.streams.Out, "nothing to change, version %d is already so\n", answer.From)
		return
	case vrquery.CommandExplained:
		fmt.Fprintf(t.streams.Out, "version %d would become %d:\n", answer.From, answer.To)
	case vrquery.CommandInForce:
		fmt.Fprintf(t.streams.Out, "version %d is in force in %d zones:\n", answer.To, len(answer.Zones))
	case vrquery.CommandAccepted:
		fmt.Fprintf(t.streams.Out, "version %d is accepted:\n", answer.To)
	}
	for _, change := range answer.Changes {
		fmt.Fprintf(t.streams.Out, "  %s\n", change)
	}
}
