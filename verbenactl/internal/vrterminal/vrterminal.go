// Package vrterminal implements the command line of verbenactl: statements in the query and
// command language, an interactive prompt, audits and reports.
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

// Exit statuses of verbenactl.
const (
	ExitOK = iota
	// ExitFault: an audit found faults, or an error of no other kind occurred.
	ExitFault
	// ExitUsage: the command line, a statement or an input file is malformed.
	ExitUsage
	// ExitRefused: the command was rejected.
	ExitRefused
	// ExitConflict: another change came first.
	ExitConflict
	// ExitUnavailable: no daemon answered in time, or the outcome is not known.
	ExitUnavailable
	// ExitPartial: the answer is incomplete, or a change is not yet in force in every zone.
	ExitPartial
)

// Environment variables, each used when its flag is not given.
const (
	EnvDaemons = "VERBENA_DAEMONS"
	EnvToken   = "VERBENA_TOKEN"
	EnvCAFile  = "VERBENA_AUTHORITY"
)

// Streams holds the standard streams, the environment and the clock of the process.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Interactive says that In is a terminal.
	Interactive bool
	Env         func(string) string
	Now         func() time.Time
}

// StandardStreams returns the streams of the process.
func StandardStreams() Streams {
	return Streams{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr,
		Interactive: term.IsTerminal(int(os.Stdin.Fd())),
		Env:         os.Getenv,
		Now:         time.Now,
	}
}

// PartialError reports that an answer is incomplete.
type PartialError struct{ Missing []string }

func (e *PartialError) Error() string {
	return "the answer is partial:\n  " + strings.Join(e.Missing, "\n  ")
}

// UsageError reports an invalid command line or input file.
type UsageError struct{ Message string }

func (e *UsageError) Error() string { return e.Message }

// FaultError reports that an audit found faults.
type FaultError struct{ Count int }

func (e *FaultError) Error() string { return fmt.Sprintf("%d faults", e.Count) }

// Main runs verbenactl with the given arguments and returns the exit status.
func Main(args []string, streams Streams) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	t := &terminal{streams: streams}
	root := t.rootCommand()
	root.SetArgs(args)
	root.SetOut(streams.Out)
	root.SetErr(streams.Err)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(streams.Err, err)
	}
	return exitStatus(err)
}

var _exitStatuses = map[vrquery.FailureKind]int{
	vrquery.FailureUsage:       ExitUsage,
	vrquery.FailureRefused:     ExitRefused,
	vrquery.FailureConflict:    ExitConflict,
	vrquery.FailureUnavailable: ExitUnavailable,
	vrquery.FailureUndecided:   ExitUnavailable,
}

func exitStatus(err error) int {
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
		return _exitStatuses[failure.Kind]
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

// terminal holds the values of the flags and the client of one invocation.
type terminal struct {
	streams Streams
	daemons []string
	token   string
	caFile  string
	output  string
	file    string
	noWait  bool
	caller  *vrcaller.Caller
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

func (t *terminal) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:               "verbenactl [statement]",
		Short:             "Query and command a fleet of verbenaroute",
		Long:              _help,
		Args:              cobra.ArbitraryArgs,
		SilenceUsage:      true,
		SilenceErrors:     true,
		ValidArgsFunction: completeArgs,
		PersistentPreRunE: func(*cobra.Command, []string) error { return t.configure() },
		RunE:              func(cmd *cobra.Command, args []string) error { return t.run(cmd.Context(), args) },
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&t.daemons, "daemon", nil, "URL of a daemon's operator port; if several are given, they are tried in order")
	flags.StringVar(&t.token, "token", "", "operator's token (preferably set in "+EnvToken+")")
	flags.StringVar(&t.caFile, "authority", "", "PEM file with the certificate of the CA that signs the daemons' certificates")
	flags.StringVar(&t.output, "output", string(vrquery.FormatTable), "table, json or csv")
	root.Flags().StringVarP(&t.file, "file", "f", "", "file with one statement a line, - for the standard input")
	root.Flags().BoolVar(&t.noWait, "no-wait", false, "do not wait until a change is in force in every zone")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &UsageError{Message: err.Error()} })
	root.AddCommand(t.explainCommand(), t.traceCommand(), t.auditCommand(), t.reportCommand(), t.importCommand(), t.exportCommand())
	return root
}

// completeArgs completes a statement in the shell. If the statement is quoted, current holds
// several words, and each completion must repeat all but the last one.
func completeArgs(_ *cobra.Command, args []string, current string) ([]string, cobra.ShellCompDirective) {
	line := strings.Join(append(args, current), " ")
	wordStart := strings.LastIndexByte(current, ' ') + 1
	words := vrquery.Complete(line)
	for i, word := range words {
		words[i] = current[:wordStart] + word
	}
	return words, cobra.ShellCompDirectiveNoFileComp
}

// configure applies the environment, checks the output format and creates the client. It
// doesn't connect yet.
func (t *terminal) configure() error {
	if len(t.daemons) == 0 && t.streams.Env(EnvDaemons) != "" {
		t.daemons = strings.Split(t.streams.Env(EnvDaemons), ",")
	}
	if t.token == "" {
		t.token = t.streams.Env(EnvToken)
	}
	if t.caFile == "" {
		t.caFile = t.streams.Env(EnvCAFile)
	}
	switch vrquery.Format(t.output) {
	case vrquery.FormatTable, vrquery.FormatJSON, vrquery.FormatCSV:
	default:
		return &vrquery.FormatError{Found: vrquery.Format(t.output)}
	}
	caller, err := vrcaller.New(vrcaller.Options{Daemons: t.daemons, Token: t.token, CAFile: t.caFile})
	t.caller = caller
	return err
}

func (t *terminal) requireDaemon() error {
	if len(t.daemons) > 0 {
		return nil
	}
	return &UsageError{Message: "no daemon is named: use --daemon or " + EnvDaemons}
}

func (t *terminal) run(ctx context.Context, args []string) error {
	switch {
	case t.file != "" && len(args) > 0:
		return &UsageError{Message: "give either a statement or --file, not both"}
	case len(args) > 0:
		return t.runStatement(ctx, strings.Join(args, " "))
	case t.file != "" && t.file != "-":
		file, err := os.Open(t.file)
		if err != nil {
			return &UsageError{Message: err.Error()}
		}
		defer func() { _ = file.Close() }()
		return t.runScript(ctx, t.file, file)
	case t.file == "-" || !t.streams.Interactive:
		return t.runScript(ctx, "line", t.streams.In)
	}
	return t.runPrompt(ctx)
}

// runScript runs one statement per line and stops at the first that fails. It continues
// after a partial answer, and returns the last one's error at the end.
func (t *terminal) runScript(ctx context.Context, name string, input io.Reader) error {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, vrquery.MaxStatementBytes)
	var partial error
	for lineNumber := 1; scanner.Scan(); lineNumber++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		err := t.runStatement(ctx, line)
		if exitStatus(err) == ExitPartial {
			partial = err
			continue
		}
		if err != nil {
			return fmt.Errorf("%s:%d:\n%w", name, lineNumber, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return &UsageError{Message: fmt.Sprintf("%s: %v", name, err)}
	}
	return partial
}

// runStatement runs one query or command. It is parsed locally first, so that a malformed
// one fails without a request to a daemon.
func (t *terminal) runStatement(ctx context.Context, text string) error {
	parsed, err := vrquery.Parse(text)
	if err != nil {
		return err
	}
	if err := t.requireDaemon(); err != nil {
		return err
	}
	if parsed.IsCommand() {
		response, err := t.caller.Command(ctx, vrquery.CommandRequest{Command: text, NoWait: t.noWait})
		if err != nil {
			return err
		}
		return t.writeCommandResponse(response)
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

// writeCommandResponse writes the result of a command. A change that is not yet in force in
// every zone is a PartialError unless the operator passed --no-wait.
func (t *terminal) writeCommandResponse(response *vrquery.CommandResponse) error {
	if vrquery.Format(t.output) == vrquery.FormatJSON {
		encoder := json.NewEncoder(t.streams.Out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(response); err != nil {
			return err
		}
	} else {
		t.writeCommandText(response)
	}
	if response.State != vrquery.CommandAccepted || t.noWait {
		return nil
	}
	partial := &PartialError{}
	for _, zone := range response.Zones {
		if !zone.InForce {
			partial.Missing = append(partial.Missing, fmt.Sprintf("zone %s has version %d, not yet %d", zone.Zone, zone.Version, response.To))
		}
	}
	if len(partial.Missing) == 0 {
		partial.Missing = []string{"the platform does not say which zones have the version"}
	}
	return partial
}

func (t *terminal) writeCommandText(response *vrquery.CommandResponse) {
	switch response.State {
	case vrquery.CommandUnchanged:
		fmt.Fprintf(t.streams.Out, "nothing to change, version %d is already so\n", response.From)
		return
	case vrquery.CommandExplained:
		fmt.Fprintf(t.streams.Out, "version %d would become %d:\n", response.From, response.To)
	case vrquery.CommandInForce:
		fmt.Fprintf(t.streams.Out, "version %d is in force in %d zones:\n", response.To, len(response.Zones))
	case vrquery.CommandAccepted:
		fmt.Fprintf(t.streams.Out, "version %d is accepted:\n", response.To)
	}
	for _, change := range response.Changes {
		fmt.Fprintf(t.streams.Out, "  %s\n", change)
	}
}
