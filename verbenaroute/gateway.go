package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"verbenaroute.example/verbenacore/vrsettings"

	"verbenaroute.example/verbenaroute/internal/vrlog"
	"verbenaroute.example/verbenaroute/internal/vrnode"
)

// _settingsEnv is the environment variable with the path of a gateway's settings file.
const _settingsEnv = "VERBENAROUTE_NODE_FILE"

// _gatewayGCPercent is the GC percentage (GOGC, the heap growth between two collections) of
// a gateway, whose heap is a few megabytes.
const _gatewayGCPercent = 200

func newGatewayCommand() *cobra.Command {
	path := os.Getenv(_settingsEnv)
	command := &cobra.Command{
		Use:   "gateway",
		Short: "Run a gateway in front of servers that register in the platform's store",
		Long: "Run a gateway until SIGTERM or SIGINT, then shut down gracefully. Its settings file is\n" +
			"named by --settings or by " + _settingsEnv + ".",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return withSettingsPath(runGateway(path), path) },
	}
	command.Flags().StringVar(&path, "settings", path, "settings file, JSON with comments")
	return command
}

func newCheckGatewayCommand() *cobra.Command {
	path := os.Getenv(_settingsEnv)
	command := &cobra.Command{
		Use:   "check-gateway",
		Short: "Check a gateway's settings file and print every mistake",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := vrsettings.LoadGateway(path, os.Getenv); err != nil {
				return withSettingsPath(err, path)
			}
			fmt.Fprintln(cmd.OutOrStdout(), "the settings are valid")
			return nil
		},
	}
	command.Flags().StringVar(&path, "settings", path, "settings file, JSON with comments")
	return command
}

func runGateway(path string) error {
	// SIGHUP stays caught until the process exits. Its default action would end the process, and
	// with it all open calls, during the start or a graceful shutdown.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	settings, err := vrsettings.LoadGateway(path, os.Getenv)
	if err != nil {
		return err
	}
	debug.SetGCPercent(_gatewayGCPercent)
	debug.SetMemoryLimit(int64(settings.Memory) * 3 / 4)
	output := vrlog.NewBoundedWriter(os.Stdout)
	defer output.Close(_flushTimeout)
	log := vrlog.NewBoundedLogger(output)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	node := vrnode.New(settings, log, output.Dropped)
	go watchSettings(ctx, path, hangup, node, log)
	return node.Run(ctx)
}

// _flushTimeout bounds writing the remaining log lines at exit.
const _flushTimeout = 200 * time.Millisecond

// _settingsPollInterval is the interval at which the settings file is checked for changes,
// because it may change without a SIGHUP.
const _settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings on a signal and when the file has changed. If the new
// settings are invalid, the error is logged and the active settings are kept. If the file
// can't be read, it is read again at the next signal or poll. A gateway that shuts down keeps its
// settings.
func watchSettings(ctx context.Context, path string, hangup <-chan os.Signal, node *vrnode.Node, log *zap.Logger) {
	ticker := time.NewTicker(_settingsPollInterval)
	defer ticker.Stop()
	lastRead, _ := os.ReadFile(path)
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			signaled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err != nil || (!signaled && bytes.Equal(data, lastRead)) {
			continue
		}
		lastRead = data
		settings, err := vrsettings.ParseGateway(data, os.Getenv)
		if err != nil {
			log.Error("cannot reload settings, using the previous ones", vrlog.Error(err))
			continue
		}
		node.Reload(settings)
	}
}
