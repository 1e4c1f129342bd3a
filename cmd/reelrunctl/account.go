package main

import (
	"context"
	"flag"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/reelrun/reelrun/account"
)

// accountCommand reads logs and calls no node.
func accountCommand(shared *command) *ffcli.Command {
	flags := flag.NewFlagSet("account", flag.ContinueOnError)
	plotFile := flags.String("plot", "", "file for a plot over time, svg or png; default none")
	return &ffcli.Command{
		Name:       "account",
		ShortUsage: "reelrunctl account [-plot FILE] [LOG ...]",
		ShortHelp:  "Show how requests ended by route and window, and why, from the logs of all nodes; without files, standard input.",
		FlagSet:    flags,
		Exec: func(_ context.Context, files []string) error {
			return withLogs(files, func(logs []io.Reader) error {
				summary, err := account.Read(logs...)
				if err != nil {
					return err
				}
				if *plotFile != "" {
					if err := summary.Plot(*plotFile); err != nil {
						return err
					}
				}
				return summary.Write(shared.out)
			})
		},
	}
}
