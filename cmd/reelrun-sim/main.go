// Command reelrun-sim provides stand-ins for the platform, the model engines and the plain
// services, a load generator, and experiments.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	root := &ffcli.Command{
		ShortUsage: "reelrun-sim <platform|engine|service|certificates|load|hollow|compare> [flags]",
		ShortHelp:  "Rehearse reelrun without engines.",
		FlagSet:    flag.NewFlagSet("reelrun-sim", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			platformCommand(), engineCommand(), serviceCommand(), certificatesCommand(), loadCommand(), hollowCommand(), compareCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.Parse(os.Args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return exitUsage
	}
	if err := root.Run(ctx); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitUsage
		}
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}
