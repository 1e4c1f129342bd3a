package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/reelrun/reelrun/sim/model"
	"github.com/reelrun/reelrun/sim/modelcheck"
	"github.com/reelrun/reelrun/sim/sitemodel"
)

func compareCommand() *ffcli.Command {
	flags := flag.NewFlagSet("compare", flag.ContinueOnError)
	options := model.Options{Parameters: model.DefaultParameters()}
	flags.StringVar(&options.Workload, "workload", "fisio-xela", "fisio-xela, amrc or fleet; "+strings.Join(sitemodel.Sites(), " or ")+" for the engines of the supported deployments")
	flags.Uint64Var(&options.Seed, "seed", 1, "first seed")
	seeds := flags.Int("seeds", 1, "number of seeds, from the first one up")
	flags.Float64Var(&options.Load, "load", 1, "offered load; 1 fills the decode pool on average")
	policy := flags.String("policy", "all", "a policy, all, or ablations")
	flags.DurationVar(&options.Length, "length", 120*time.Second, "virtual time over which requests arrive")
	flags.BoolVar(&options.Flood, "flood", false, "add a tenant that floods the fleet with requests")
	flags.BoolVar(&options.Fail, "fail", false, "remove a decode engine at peak load")
	format := flags.String("format", "table", "table or json")
	check := flags.Bool("check", false, "compare the model with stand-in engines behind real nodes on one trace, in real time")
	plot := flags.String("plot", "", "folder for plots over a load sweep, instead of one load")
	return &ffcli.Command{
		Name: "compare", ShortUsage: "reelrun-sim compare [flags]", ShortHelp: "Compare routing policies in virtual time.", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			if *check {
				return checkModel(ctx, modelcheck.Options{Seed: options.Seed, Load: options.Load, Requests: checkRequests})
			}
			if slices.Contains(sitemodel.Sites(), options.Workload) {
				return compareSite(options, *policy, *seeds, *format)
			}
			policies := selectPolicies(*policy)
			if *plot != "" {
				return model.Plot(options, policies, *seeds, *plot)
			}
			var outcomes []model.Outcome
			for seed := options.Seed; seed < options.Seed+uint64(*seeds); seed++ {
				run := options
				run.Seed = seed
				compared, err := model.Compare(run, policies)
				if err != nil {
					return err
				}
				outcomes = append(outcomes, compared...)
			}
			if *format == "json" {
				return writeOutcomes(outcomes)
			}
			return tabulate(outcomes)
		},
	}
}

// compareSite simulates policies with the engines of one of the supported deployments.
func compareSite(options model.Options, policy string, seeds int, format string) error {
	policies := []string{policy}
	if policy == "all" {
		policies = sitemodel.Policies()
	}
	var outcomes []sitemodel.Outcome
	for seed := options.Seed; seed < options.Seed+uint64(seeds); seed++ {
		for _, name := range policies {
			outcome, err := sitemodel.Run(sitemodel.Options{
				Site: options.Workload, Policy: name, Seed: seed, Load: options.Load, Length: options.Length,
			})
			if err != nil {
				return err
			}
			outcomes = append(outcomes, outcome)
		}
	}
	if format == "json" {
		return writeOutcomes(outcomes)
	}
	return tabulateSite(outcomes)
}

func tabulateSite(outcomes []sitemodel.Outcome) error {
	const padding = 2
	table := tabwriter.NewWriter(os.Stdout, 0, 0, padding, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "site\tseed\tload\tpolicy\tworth\tin time\tlate\trefused\twasted\tpreemptions\t")
	for _, o := range outcomes {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%.2f\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t\n",
			o.Site, o.Seed, o.Load, o.Policy, o.Score, o.InTime, o.Late, o.Rejected, o.WastedPrefill, o.Preemptions)
	}
	return errors.Wrap(table.Flush(), "write table")
}

// checkRequests is the number of requests in the trace for -check, which lasts about half a minute.
const checkRequests = 300

func checkModel(ctx context.Context, options modelcheck.Options) error {
	report, err := modelcheck.Check(ctx, options)
	if err != nil {
		return err
	}
	return errors.Wrap(json.NewEncoder(os.Stdout).Encode(report), "write report")
}

func selectPolicies(name string) []string {
	switch name {
	case "all":
		return model.Policies()
	case "ablations":
		return model.Ablations()
	default:
		return []string{name}
	}
}

func writeOutcomes[O any](outcomes []O) error {
	encoder := json.NewEncoder(os.Stdout)
	for _, outcome := range outcomes {
		if err := encoder.Encode(outcome); err != nil {
			return errors.Wrap(err, "write outcome")
		}
	}
	return nil
}

func tabulate(outcomes []model.Outcome) error {
	const padding = 2
	table := tabwriter.NewWriter(os.Stdout, 0, 0, padding, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "workload\tseed\tload\tpolicy\tgoodput\twasted\trefused\tlate\tjain\tttft p95\ttbt p95\tvictims\t")
	for _, o := range outcomes {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%.2f\t%s\t%.3f\t%.4f\t%.3f\t%.3f\t%.3f\t%.2f\t%.4f\t%.3f\t\n",
			o.Workload, o.Seed, o.Load, o.Policy, o.Goodput, o.WastedPrefill, o.Rejected, o.Late, o.Jain, o.TTFTP95, o.TBTP95, o.VictimGoodput)
	}
	return errors.Wrap(table.Flush(), "write table")
}
