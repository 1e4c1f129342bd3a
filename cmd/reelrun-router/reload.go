package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/platform"
	"github.com/reelrun/reelrun/router"
)

// settingsInterval is the time between two reads of the settings file without a signal.
const settingsInterval = 5 * time.Second

// watchSettings reads the settings file again on each SIGHUP and at intervals.
func watchSettings(ctx context.Context, path string, hangups <-chan os.Signal, daemon *router.Router, logger *slog.Logger) {
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
