// Command reelrun-router routes requests on the hosting platform. All entry machines run the
// same program. The environment variable REELRUN_SETTINGS contains the path of the settings
// file that the platform provides.
//
// The program is separate from reelrund, which serves the product's own interface, so that the
// libraries of that interface are not linked into it: they take half of a small node's memory.
//
// Exit codes: 0 after a planned stop, 1 for a failure, 2 for invalid settings.
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

// logCloseTimeout bounds the wait at exit until the queued log lines are written.
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
	// The handler is registered first and stays until the process ends, so that a SIGHUP during
	// start or stop does not terminate the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	values, err := parseFlags(arguments)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		return exitSettings
	}
	path := os.Getenv(platform.SettingsVariable)
	parsed, err := readSettings(path, values)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if values.check {
		fmt.Println("settings: ok")
		return 0
	}
	log := logging.New(os.Stdout, logging.Options{})
	defer log.Close(logCloseTimeout)
	logger := log.Logger().With("node", parsed.Name)
	// Libraries write to the default logger: net/http logs responses that belong to no request.
	slog.SetDefault(logger)
	bootClock, err := clock.Boot()
	if err != nil {
		logger.Error("node failed", "error", err)
		return exitFailure
	}
	daemon := newRouter(parsed, values, bootClock, logger)
	go heaplimit.Run(ctx, parsed.MemoryBytes)
	go watchSettings(ctx, path, hangups, daemon, logger)
	if err := daemon.Run(ctx); err != nil {
		logger.Error("node failed", "error", err)
		return exitFailure
	}
	return 0
}

// flagValues holds the values of the command-line flags.
type flagValues struct {
	check     bool
	placement router.Placement
	keepRoles bool
}

// parseFlags parses the command line. The flag package prints its errors.
func parseFlags(arguments []string) (flagValues, error) {
	var values flagValues
	flags := flag.NewFlagSet("reelrun-router", flag.ContinueOnError)
	flags.Usage = func() {
		_, _ = fmt.Fprintf(flags.Output(), "%s=FILE reelrun-router [flags]\n", platform.SettingsVariable)
		flags.PrintDefaults()
	}
	flags.BoolVar(&values.check, "check", false, "check the settings file and exit")
	flags.StringVar((*string)(&values.placement), "placement", string(router.PlacementCoordinator),
		"how engines are chosen: coordinator (by one node per service), or reservation (each node asks the engines)")
	flags.BoolVar(&values.keepRoles, "keep-roles", false, "leave the roles of engines as they are")
	return values, flags.Parse(arguments)
}

// readSettings reads the settings file. It reports all findings together, including those about
// the command line.
func readSettings(path string, values flagValues) (*settings.Router, error) {
	var findings api.Findings
	if values.placement != router.PlacementCoordinator && values.placement != router.PlacementReservation {
		findings.Addf("-placement", "%q is neither coordinator nor reservation", values.placement)
	}
	if path == "" {
		findings.Addf(platform.SettingsVariable, "is not set")
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

// newRouter creates the router and connects it to the platform.
func newRouter(parsed *settings.Router, values flagValues, bootClock *clock.Clock, logger *slog.Logger) *router.Router {
	dialer := &net.Dialer{}
	var daemon *router.Router
	watchPace := func(kind objectapi.Kind) platform.WatchPace {
		wait, pause := daemon.WatchTiming(kind)
		return platform.WatchPace{Wait: wait, Pause: pause}
	}
	store := platform.NewStore(parsed.StoreAddress, dialer.DialContext, watchPace)
	store.Observe(func(operation platform.Operation, kind objectapi.Kind) {
		daemon.CountStoreCall(string(operation), kind)
	})
	store.ObserveEpoch(func(epoch int64) { daemon.StoreEpoch(epoch) })
	daemon = router.New(router.Options{
		Settings:  parsed,
		Placement: values.placement,
		KeepRoles: values.keepRoles,
		Logger:    logger,
		Clock:     bootClock,
		Environment: router.Environment{
			Store:               store,
			Dialect:             platform.NewDialect(dialer.DialContext, bootClock),
			ConfigurationKind:   platform.KindConfiguration,
			BackendKind:         platform.KindServer,
			DecodeConfiguration: platform.DecodeConfiguration,
			DecodeBackend:       platform.DecodeBackend,
		},
	})
	return daemon
}
