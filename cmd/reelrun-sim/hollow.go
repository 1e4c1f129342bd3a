package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/reelrun/reelrun/sim/hollow"
)

func hollowCommand() *ffcli.Command {
	flags := flag.NewFlagSet("hollow", flag.ContinueOnError)
	var options hollow.Options
	flags.IntVar(&options.Nodes, "nodes", 8, "number of nodes, rounded up to the same number in each zone")
	flags.IntVar(&options.Zones, "zones", 2, "number of zones")
	flags.IntVar(&options.Servers, "servers", 16, "approximate number of engines")
	flags.IntVar(&options.Tenants, "tenants", 250, "number of tenants")
	flags.IntVar(&options.Models, "models", 1, "number of models")
	flags.DurationVar(&options.Window, "window", 10*time.Second, "time for which the settled fleet is measured")
	flags.IntVar(&options.Trials, "trials", 5, "configuration changes and node failures for each figure")
	memory := flags.Int64("memory-limit", 10<<30, "soft memory limit of the Go runtime in bytes")
	series := flags.String("series", "", "numbers of nodes to measure one after the other, with engines, tenants and models in proportion")
	out := flags.String("out", "out", "folder for the results of a series")
	flags.BoolVar(&options.Failures, "failures", false, "also measure churn, an isolated zone, node failures and the loss of a zone")
	flags.DurationVar(&options.PartitionDuration, "parting", 0, "also measure a partition between two regions that lasts for this time")
	flags.IntVar(&options.Restarts, "restarts", 0, "also measure this number of restarts under load")
	return &ffcli.Command{
		Name: "hollow", ShortUsage: "reelrun-sim hollow [flags]", ShortHelp: "Measure a fleet of hollow nodes in one process.", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			debug.SetMemoryLimit(*memory)
			if *series != "" {
				sizes, err := parseSeries(*series, options)
				if err != nil {
					return err
				}
				return hollow.Series(ctx, os.Stdout, sizes, *out)
			}
			report, err := hollow.Measure(ctx, options)
			if err != nil {
				return err
			}
			data, err := json.Marshal(report)
			if err != nil {
				return errors.Wrap(err, "encode report")
			}
			_, err = fmt.Fprintln(os.Stdout, string(data))
			return errors.Wrap(err, "write report")
		},
	}
}

func parseSeries(list string, options hollow.Options) ([]hollow.Options, error) {
	var sizes []hollow.Options
	for _, text := range split(list) {
		nodes, err := strconv.Atoi(text)
		if err != nil || nodes < 1 {
			return nil, errors.Newf("%q is not a number of nodes", text)
		}
		size := hollow.Scaled(nodes, options.Window, options.Trials, options.Failures)
		size.PartitionDuration, size.Restarts = options.PartitionDuration, options.Restarts
		sizes = append(sizes, size)
	}
	return sizes, nil
}
