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

// _settingsVariable names the settings file of a gateway.
const _settingsVariable = "VERBENAROUTE_NODE_FILE"

// _gatewayCollect is the heap growth, in percent, between two collections of a gateway,
// whose heap is a few megabytes.
const _gatewayCollect = 200

func newGatewayCommand() *cobra.Command {
	path := os.Getenv(_settingsVariable)
	command := &cobra.Command{
		Use:   "gateway",
		Short: "Run a gateway before servers that register in the platform's store",
		Long: "Run a gateway until SIGTERM or SIGINT, then shut down gracefully. Its settings file is\n" +
			"named by --settings or by " + _settingsVariable + ".",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return inSettings(runGateway(path), path) },
	}
	command.Flags().StringVar(&path, "settings", path, "settings file, JSON with comments")
	return command
}

func newCheckGatewayCommand() *cobra.Command {
	path := os.Getenv(_settingsVariable)
	command := &cobra.Command{
		Use:   "check-gateway",
		Short: "Check a gateway's settings file and print every mistake",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := vrsettings.LoadGateway(path); err != nil {
				return inSettings(err, path)
			}
			fmt.Fprintln(cmd.OutOrStdout(), "the settings are valid")
			return nil
		},
	}
	command.Flags().StringVar(&path, "settings", path, "settings file, JSON with comments")
	return command
}

func runGateway(path string) error {
	settings, err := vrsettings.LoadGateway(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(_gatewayCollect)
	debug.SetMemoryLimit(int64(settings.Memory) * 3 / 4)
	output := vrlog.NewBoundedWriter(os.Stdout)
	defer output.Close(flushTime)
	log := vrlog.NewBoundedLogger(output)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	node := vrnode.New(settings, log, output.Dropped)
	go followSettings(ctx, path, node, log)
	return node.Run(ctx)
}

// flushTime bounds the writing of the last log lines.
const flushTime = 200 * time.Millisecond

// settingsInterval is the pause between two looks at the settings file, which also changes
// without a signal.
const settingsInterval = 2 * time.Second

// followSettings reloads the settings on SIGHUP and when the file has changed. A file that
// can't be used is logged, and the settings in force stay.
func followSettings(ctx context.Context, path string, node *vrnode.Node, log *zap.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	held, _ := os.ReadFile(path)
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
		if err != nil || (!signaled && bytes.Equal(data, held)) {
			continue
		}
		held = data
		settings, err := vrsettings.ParseGateway(data)
		if err != nil {
			log.Error("settings not reloaded", vrlog.Error(err))
			continue
		}
		node.Reload(settings)
	}
}
