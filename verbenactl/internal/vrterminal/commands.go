package vrterminal

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"verbenaroute.example/verbenacore/vrcodec"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrquery"

	"verbenaroute.example/verbenactl/internal/vraudit"
	"verbenaroute.example/verbenactl/internal/vrburn"
	"verbenaroute.example/verbenactl/internal/vrtrace"
)

func (t *terminal) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:               "explain command",
		Short:             "Show what a command would change",
		Args:              cobra.MinimumNArgs(1),
		ValidArgsFunction: completeArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			text := strings.TrimPrefix(strings.Join(args, " "), "explain ")
			return t.runStatement(cmd.Context(), "explain "+text)
		},
	}
}

// traceCommand reads collected log lines and needs no daemon.
func (t *terminal) traceCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "trace request [file...]",
		Aliases: []string{"explain"},
		Short:   "Explain from the gateways' log lines why a request ended",
		Long: "Explain why the request with this id ended, from the JSON log lines of the gateways.\n" +
			"Give one file for each daemon, or the lines on the standard input.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			log := &vrtrace.Log{}
			for _, path := range args[1:] {
				if err := addLogFile(log, path); err != nil {
					return err
				}
			}
			if len(args) == 1 {
				if err := log.Add("-", t.streams.In); err != nil {
					return err
				}
			}
			explanation, err := log.Explain(args[0])
			if err != nil {
				return err
			}
			return explanation.Write(t.streams.Out)
		},
	}
}

func addLogFile(log *vrtrace.Log, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return log.Add(filepath.Base(path), file)
}

func (t *terminal) auditCommand() *cobra.Command {
	audit := &cobra.Command{Use: "audit", Short: "Check the record"}
	var since string
	var zones []string
	verify := &cobra.Command{
		Use:   "verify",
		Short: "Recompute the hash chains, find altered, missing and duplicate entries, compare claims with outcomes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := t.requireDaemon(); err != nil {
				return err
			}
			options := vraudit.Options{Progress: t.streams.Err, Now: t.streams.Now()}
			if since != "" {
				from, err := vrquery.ParseTime(since, t.streams.Now())
				if err != nil {
					return err
				}
				options.Since = from
			}
			for _, zone := range zones {
				options.Zones = append(options.Zones, vrid.ZoneID(zone))
			}
			result, err := vraudit.Run(cmd.Context(), t.caller, options)
			if err != nil {
				return err
			}
			return t.writeAuditResult(result)
		},
	}
	verify.Flags().StringVar(&since, "since", "", "skip earlier hours, for example 30d or 2026-01-31; default is the whole record")
	verify.Flags().StringSliceVar(&zones, "zone", nil, "check only these zones")
	audit.AddCommand(verify)
	return audit
}

func (t *terminal) writeAuditResult(result *vraudit.Result) error {
	if vrquery.Format(t.output) == vrquery.FormatJSON {
		encoder := json.NewEncoder(t.streams.Out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(result); err != nil {
			return err
		}
	} else {
		result.Write(t.streams.Out)
	}
	if !result.OK() {
		return &FaultError{Count: len(result.Record.Findings) + len(result.Claims.Mismatches)}
	}
	return nil
}

func (t *terminal) reportCommand() *cobra.Command {
	report := &cobra.Command{Use: "report", Short: "Write reports"}
	var since, out string
	burn := &cobra.Command{
		Use:   "burn",
		Short: "Write an HTML page that shows what used up the error budgets, when and why",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := t.requireDaemon(); err != nil {
				return err
			}
			from, err := vrquery.ParseTime(since, t.streams.Now())
			if err != nil {
				return err
			}
			report, err := vrburn.Collect(cmd.Context(), t.caller, vrburn.Options{From: from, Until: t.streams.Now()})
			if err != nil {
				return err
			}
			if err := writeReportPage(out, report); err != nil {
				return err
			}
			fmt.Fprintln(t.streams.Out, out)
			if len(report.Missing) > 0 {
				return &PartialError{Missing: report.Missing}
			}
			return nil
		},
	}
	burn.Flags().StringVar(&since, "since", "24h", "start of the report, for example 24h or 2026-01-31")
	burn.Flags().StringVar(&out, "out", "burn.html", "file to write")
	report.AddCommand(burn)
	return report
}

func writeReportPage(path string, report *vrburn.Report) error {
	page, err := report.HTML()
	if err != nil {
		return err
	}
	const fileMode = 0o644
	return os.WriteFile(path, page, fileMode)
}

func (t *terminal) importCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "import file",
		Short: "Replace the whole configuration by a JSON document, or set the first one of a new fleet",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := t.requireDaemon(); err != nil {
				return err
			}
			data, err := os.ReadFile(args[0])
			if err != nil {
				return &UsageError{Message: err.Error()}
			}
			fleet := &vrconfig.Fleet{}
			if err := vrcodec.DecodeStrictJSON(data, fleet); err != nil {
				return &UsageError{Message: fmt.Sprintf("%s: %v", args[0], err)}
			}
			response, err := t.caller.Command(cmd.Context(), vrquery.CommandRequest{Document: fleet})
			if err != nil {
				return err
			}
			return t.writeCommandResponse(response)
		},
	}
}

func (t *terminal) exportCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "export",
		Short: "Write the configuration in force as JSON",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := t.requireDaemon(); err != nil {
				return err
			}
			fleet, err := t.caller.Configuration(cmd.Context())
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(t.streams.Out)
			encoder.SetIndent("", "  ")
			return encoder.Encode(fleet)
		},
	}
}

// promptTimeout limits the time of one statement at the prompt.
const promptTimeout = 2 * time.Minute
