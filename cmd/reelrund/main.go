// Command reelrund is the router's daemon, the same on every entry machine.
//
// Where the variable REELRUN_SETTINGS names a settings file of the users'
// platform, the daemon serves there; otherwise it takes flags.
//
// Exit codes: 0 after a planned stop, 1 for a failure, 2 for faulty settings.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/logging"
	"github.com/reelrun/reelrun/node"
	"github.com/reelrun/reelrun/platform"
	"github.com/reelrun/reelrun/settings"
)

// logCloseTimeout bounds the wait for the reader of the log at the end.
const logCloseTimeout = 200 * time.Millisecond

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if path := os.Getenv(platform.SettingsVariable); path != "" {
		log := logging.New(os.Stdout, logging.Options{})
		defer log.Close(logCloseTimeout)
		return runOnPlatform(ctx, path, os.Args[1:], log.Logger())
	}
	return runAlone(ctx, slog.New(slog.NewJSONHandler(os.Stderr, nil)))
}

// runAlone serves the product's own interface, with settings in flags and
// environment variables.
func runAlone(ctx context.Context, logger *slog.Logger) int {
	parsed, findings, err := settings.Parse(os.Args[1:], os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if len(findings) > 0 {
		fmt.Fprintln(os.Stderr, findings)
		return exitSettings
	}
	if parsed.Check {
		fmt.Println("settings: ok")
		return 0
	}
	started, err := node.New(parsed, logger)
	if err == nil {
		err = started.Run(ctx)
	}
	if err != nil {
		logger.Error("node failed", "error", err)
		return exitFailure
	}
	return 0
}
