// Command reelrun-router serves by routes on the users' platform, the same on every entry
// machine. The variable REELRUN_SETTINGS names the settings file that the platform lays
// out.
//
// It is a program of its own beside reelrund, which serves the product's own interface:
// it does without that one's libraries, which are half of a small node's memory.
//
// Exit codes: 0 after a planned stop, 1 for a failure, 2 for faulty settings.
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
	"github.com/reelrun/reelrun/clock"
	"github.com/reelrun/reelrun/heaplimit"
	"github.com/reelrun/reelrun/logging"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/platform"
	"github.com/reelrun/reelrun/router"
	"github.com/reelrun/reelrun/settings"
)

// logCloseTimeout bounds the wait for the reader of the log at the end.
const logCloseTimeout = 200 * time.Millisecond

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() { os.Exit(run(os.Args[1:])) }

// run returns the exit code.
func run(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// Taken before anything else and until the process ends: a hangup while it starts or
	// stops must not end it.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	given, err := parseFlags(arguments)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		return exitSettings
	}
	path := os.Getenv(platform.SettingsVariable)
	parsed, err := readSettings(path, given)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if given.check {
		fmt.Println("settings: ok")
		return 0
	}
	log := logging.New(os.Stdout, logging.Options{})
	defer log.Close(logCloseTimeout)
	logger := log.Logger().With("node", parsed.Name)
	// Libraries that write to the log of the process write to this one: net/http does so of
	// answers that nobody asked for.
	slog.SetDefault(logger)
	counting, err := clock.Boot()
	if err != nil {
		logger.Error("node failed", "error", err)
		return exitFailure
	}
	daemon := newRouter(parsed, given, counting, logger)
	go heaplimit.Run(ctx, parsed.MemoryBytes)
	go followSettings(ctx, path, hangups, daemon, logger)
	if err := daemon.Run(ctx); err != nil {
		logger.Error("node failed", "error", err)
		return exitFailure
	}
	return 0
}

// flagValues are what the command line says.
type flagValues struct {
	check     bool
	placement router.Placement
	keepRoles bool
}

// parseFlags reads the command line. The flag package prints what is wrong with it.
func parseFlags(arguments []string) (flagValues, error) {
	var given flagValues
	flags := flag.NewFlagSet("reelrun-router", flag.ContinueOnError)
	flags.Usage = func() {
		_, _ = fmt.Fprintf(flags.Output(), "%s=FILE reelrun-router [flags]\n", platform.SettingsVariable)
		flags.PrintDefaults()
	}
	flags.BoolVar(&given.check, "check", false, "check the settings file and exit")
	flags.StringVar((*string)(&given.placement), "placement", string(router.PlacementCoordinator),
		"who chooses engines: coordinator (one node a service), or reservation (each node asks the engines)")
	flags.BoolVar(&given.keepRoles, "keep-roles", false, "leave the roles of engines as they are")
	return given, flags.Parse(arguments)
}

// readSettings reads the settings file. All findings are reported together, those of the
// command line included.
func readSettings(path string, given flagValues) (*settings.Router, error) {
	var findings api.Findings
	if given.placement != router.PlacementCoordinator && given.placement != router.PlacementReservation {
		findings.Addf("-placement", "%q is neither coordinator nor reservation", given.placement)
	}
	if path == "" {
		findings.Addf(platform.SettingsVariable, "names no settings file")
		return nil, findingsError(findings)
	}
	parsed, found, err := platform.ReadSettings(path)
	if err != nil {
		return nil, err
	}
	return parsed, findingsError(append(findings, found...))
}

// findingsError returns all findings as one error, or nil.
func findingsError(findings api.Findings) error {
	if len(findings) == 0 {
		return nil
	}
	return errors.New(findings.String())
}

// newRouter connects the daemon to the platform.
func newRouter(parsed *settings.Router, given flagValues, counting *clock.Clock, logger *slog.Logger) *router.Router {
	dialer := &net.Dialer{}
	var daemon *router.Router
	pacer := func(kind objectapi.Kind) platform.WatchPace {
		wait, pause := daemon.WatchTiming(kind)
		return platform.WatchPace{Wait: wait, Pause: pause}
	}
	store := platform.NewStore(parsed.StoreAddress, dialer.DialContext, pacer)
	store.Observe(func(operation platform.Operation, kind objectapi.Kind) {
		daemon.CountStoreCall(string(operation), kind)
	})
	daemon = router.New(router.Options{
		Settings:  parsed,
		Placement: given.placement,
		KeepRoles: given.keepRoles,
		Logger:    logger,
		Clock:     counting,
		Environment: router.Environment{
			Store:               store,
			Dialect:             platform.NewDialect(dialer.DialContext, counting),
			ConfigurationKind:   platform.KindConfiguration,
			BackendKind:         platform.KindServer,
			DecodeConfiguration: platform.DecodeConfiguration,
			DecodeBackend:       platform.DecodeBackend,
		},
	})
	return daemon
}
