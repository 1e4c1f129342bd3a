package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/platform"
	"github.com/reelrun/reelrun/router"
)

// runOnPlatform serves by routes, with the settings file that the platform lays
// out.
func runOnPlatform(ctx context.Context, path string, arguments []string, logger *slog.Logger) int {
	flags := flag.NewFlagSet("reelrund", flag.ContinueOnError)
	check := flags.Bool("check", false, "check the settings file and exit")
	if err := flags.Parse(arguments); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return exitSettings
	}
	parsed, findings, err := platform.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if len(findings) > 0 {
		fmt.Fprintln(os.Stderr, findings)
		return exitSettings
	}
	if *check {
		fmt.Println("settings: ok")
		return 0
	}
	dialer := &net.Dialer{}
	daemon := router.New(router.Options{
		Settings: parsed,
		Logger:   logger,
		Backplane: router.Backplane{
			Store:               platform.NewStore(parsed.StoreAddress, dialer.DialContext),
			Dialect:             platform.NewDialect(dialer.DialContext),
			ConfigurationKind:   platform.KindConfiguration,
			BackendKind:         platform.KindServer,
			DecodeConfiguration: platform.DecodeConfiguration,
			DecodeBackend:       platform.DecodeBackend,
		},
	})
	if err := daemon.Run(ctx); err != nil {
		logger.Error("node failed", "error", err)
		return exitFailure
	}
	return 0
}
