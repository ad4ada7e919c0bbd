package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

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
		RunE: func(*cobra.Command, []string) error { return runGateway(path) },
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
	log, flush := vrlog.New(os.Stdout)
	defer flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	return vrnode.New(settings, log).Run(ctx)
}
