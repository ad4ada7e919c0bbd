// Command verbenaroute runs the daemon on an entry VM, or a gateway.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrsettings"

	"verbenaroute.example/verbenaroute/internal/vrlog"
	"verbenaroute.example/verbenaroute/internal/vrserve"
)

// Exit codes by type of failure.
const (
	_exitOther    = 1
	_exitSettings = 3
	_exitListen   = 4
	// _exitCutOff is the exit code after a shutdown that timed out.
	_exitCutOff = 5
)

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		for _, line := range formatContext(err) {
			fmt.Fprintln(os.Stderr, line)
		}
		os.Exit(exitCode(err))
	}
}

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "verbenaroute",
		Short:         "Daemon of a serving system for rarely used models",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	var path string
	root.PersistentFlags().StringVar(&path, "config", "verbenaroute.json", "settings file, JSON with comments")
	root.AddCommand(
		newGatewayCommand(),
		newCheckGatewayCommand(),
		&cobra.Command{
			Use:   "serve",
			Short: "Run the daemon until SIGTERM or SIGINT",
			Long: "Run the daemon until SIGTERM or SIGINT, then shut down gracefully.\n" +
				"Exit status: 0 after a complete shutdown, 3 for mistakes in the settings, 4 for an address\n" +
				"that can't be opened, 5 when the shutdown was incomplete, 1 for any other failure.",
			Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error { return withSettingsPath(serve(path), path) },
		},
		&cobra.Command{
			Use:   "check",
			Short: "Check the settings file and print every mistake",
			Args:  cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				if _, err := vrsettings.Load(path); err != nil {
					return withSettingsPath(err, path)
				}
				fmt.Fprintln(cmd.OutOrStdout(), "the settings are valid")
				return nil
			},
		},
	)
	return root
}

// With a small heap garbage collections are frequent, and each one delays requests: a GC
// percentage of 400 instead of 100 halves the 99th percentile of BenchmarkPath. The soft
// memory limit makes collections more frequent again before a daemon reaches the 256 MB
// that it may use.
const (
	_gcPercent   = 400
	_memoryLimit = 192 << 20
)

func serve(path string) error {
	debug.SetGCPercent(_gcPercent)
	debug.SetMemoryLimit(_memoryLimit)
	settings, err := vrsettings.Load(path)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log, flush := vrlog.New(os.Stderr)
	defer flush()
	daemon, err := vrserve.NewDaemon(vrserve.DaemonOptions{Settings: settings, Log: log})
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}

// _settingsKey is the key of the settings file's path in an error's context.
const _settingsKey = "settings"

// withSettingsPath adds the path of the settings file to the error's context.
func withSettingsPath(err error, path string) error {
	if err == nil {
		return nil
	}
	return merry.Wrap(err, merry.NoCaptureStack(), merry.WithValue(_settingsKey, path))
}

// formatContext returns the lines about an error's context that are printed after its
// message.
func formatContext(err error) []string {
	var lines []string
	for key, value := range merry.Values(err) {
		if name, ok := key.(string); ok && name == _settingsKey {
			lines = append(lines, fmt.Sprintf("%s: %v", name, value))
		}
	}
	return lines
}

func exitCode(err error) int {
	var settingsErr *vrconfig.ValidationError
	var listenErr *vrserve.ListenError
	var cutOffErr *vrserve.ShutdownTimeoutError
	switch {
	case errors.As(err, &settingsErr):
		return _exitSettings
	case errors.As(err, &listenErr):
		return _exitListen
	case errors.As(err, &cutOffErr):
		return _exitCutOff
	}
	return _exitOther
}
