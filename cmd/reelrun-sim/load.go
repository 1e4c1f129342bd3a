package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/reelrun/reelrun/sim/load"
	"github.com/reelrun/reelrun/tlsfiles"
)

// errViolations is returned if responses violated guarantees, so that the command exits with a failure.
var errViolations = errors.New("responses violated guarantees")

func loadCommand() *ffcli.Command {
	flags := flag.NewFlagSet("load", flag.ContinueOnError)
	nodes := flags.String("nodes", "", "callers' addresses of the nodes, separated by commas; https:// before an address means TLS")
	authority := flags.String("authority", "", "PEM file with the authority of the nodes' certificates; default: the authorities of the system")
	workloads := flags.String("workloads", "", "workload files, separated by commas")
	engines := flags.String("engines", "", "addresses of the stand-in engines, for their ledgers")
	services := flags.String("services", "", "addresses of the stand-in services, for their ledgers")
	requests := flags.Int("requests", 600, "number of requests")
	rate := flags.Float64("rate", 40, "requests per second")
	seed := flags.Uint64("seed", 1, "seed of arrivals, kinds and prompts")
	settle := flags.Duration("settle", 3*time.Second, "time after the last response until the ledgers are read")
	report := flags.String("report", "", "file for the verdict as JSON")
	return &ffcli.Command{
		Name: "load", ShortUsage: "reelrun-sim load [flags]", ShortHelp: "Send a workload and verify the responses.", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			workload, err := load.Read(split(*workloads)...)
			if err != nil {
				return err
			}
			tlsConfig, err := tlsfiles.ClientConfig(*authority)
			if err != nil {
				return err
			}
			results, err := load.Run(ctx, load.Options{Workload: workload, TLS: tlsConfig, Nodes: split(*nodes), Requests: *requests, Rate: *rate, Seed: *seed})
			if err != nil {
				return err
			}
			time.Sleep(*settle)
			ledgers, err := load.ReadLedgers(ctx, split(*engines), split(*services))
			if err != nil {
				return err
			}
			return reportVerdict(load.Evaluate(results, ledgers), *report)
		},
	}
}

func reportVerdict(verdict *load.Verdict, report string) error {
	data, err := json.MarshalIndent(verdict, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode verdict")
	}
	if report != "" {
		const ownerReadWrite = 0o600
		if err := os.WriteFile(report, append(data, '\n'), ownerReadWrite); err != nil {
			return errors.Wrap(err, "write verdict")
		}
	}
	for _, violation := range verdict.Violations {
		fmt.Fprintln(os.Stderr, "violation:", violation)
	}
	fmt.Println(verdict.Summary())
	if verdict.Failed() {
		return errViolations
	}
	return nil
}

func split(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
