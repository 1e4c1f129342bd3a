package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/platform"
	"github.com/reelrun/reelrun/router"
)

// runOnPlatform serves by routes, with the settings file that the platform lays
// out.
func runOnPlatform(ctx context.Context, path string, arguments []string, logger *slog.Logger) int {
	flags := flag.NewFlagSet("reelrund", flag.ContinueOnError)
	check := flags.Bool("check", false, "check the settings file and exit")
	placement := flags.String("placement", string(router.PlacementCoordinator),
		"who chooses engines: coordinator (one node a service), or reservation (each node asks the engines)")
	keepRoles := flags.Bool("keep-roles", false, "leave the roles of engines as they are")
	if err := flags.Parse(arguments); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return exitSettings
	}
	parsed, findings, err := platform.ReadSettings(path)
	if *placement != string(router.PlacementCoordinator) && *placement != string(router.PlacementReservation) {
		findings.Addf("-placement", "%q is neither coordinator nor reservation", *placement)
	}
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
	logger = logger.With("node", parsed.Name)
	dialer := &net.Dialer{}
	var daemon *router.Router
	watchWait := func(kind objectapi.Kind, afterChange bool) time.Duration { return daemon.WatchWait(kind, afterChange) }
	daemon = router.New(router.Options{
		Settings:  parsed,
		Placement: router.Placement(*placement),
		KeepRoles: *keepRoles,
		Logger:    logger,
		Backplane: router.Backplane{
			Store:               platform.NewStore(parsed.StoreAddress, dialer.DialContext, watchWait),
			Dialect:             platform.NewDialect(dialer.DialContext),
			ConfigurationKind:   platform.KindConfiguration,
			BackendKind:         platform.KindServer,
			DecodeConfiguration: platform.DecodeConfiguration,
			DecodeBackend:       platform.DecodeBackend,
		},
	})
	go followSettings(ctx, path, daemon, logger)
	if err := daemon.Run(ctx); err != nil {
		logger.Error("node failed", "error", err)
		return exitFailure
	}
	return 0
}

// settingsInterval is how often the settings file is read again without a signal.
const settingsInterval = 5 * time.Second

// followSettings reads the settings file again at SIGHUP and at intervals.
func followSettings(ctx context.Context, path string, daemon *router.Router, logger *slog.Logger) {
	// The signal stays taken until the process ends: a hangup during a planned stop
	// must not end it.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
		parsed, findings, err := platform.ReadSettings(path)
		if err != nil || len(findings) > 0 {
			logger.Error("settings not reloaded", "error", errors.CombineErrors(err, findingsError(findings)).Error())
			continue
		}
		daemon.Reload(parsed)
	}
}

func findingsError(findings api.Findings) error {
	if len(findings) == 0 {
		return nil
	}
	return errors.New(findings.String())
}
