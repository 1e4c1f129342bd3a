// Command reelrund is the daemon for the product's own interface (completions and operators'
// API). All entry machines run the same program. It is configured by flags and environment
// variables. On the hosting platform, reelrun-router is used instead.
//
// Exit codes: 0 after a planned stop, 1 for a failure, 2 for invalid settings.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/node"
	"github.com/reelrun/reelrun/settings"
)

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	logger := slog.New(slog.NewJSONHandler(os.Stderr, nil))
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
