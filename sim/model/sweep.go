package model

import (
	"os"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// boundPolicy is the policy name of the bound among the outcomes.
const boundPolicy = "bound"

// Compare runs several policies concurrently on the same requests. It returns their
// outcomes in the order of the policies, followed by the bound.
func Compare(options Options, policies []string) ([]Outcome, error) {
	outcomes := make([]Outcome, len(policies))
	failures := make([]error, len(policies))
	var workers sync.WaitGroup
	for i, policy := range policies {
		workers.Add(1)
		go func() {
			defer workers.Done()
			run := options
			run.Policy = policy
			outcomes[i], failures[i] = Run(run)
		}()
	}
	workers.Wait()
	if err := errors.Join(failures...); err != nil {
		return nil, err
	}
	bound, err := Bound(options)
	if err != nil {
		return nil, err
	}
	return append(outcomes, Outcome{Workload: options.Workload, Seed: options.Seed, Load: options.Load, Policy: boundPolicy, Goodput: bound, VictimGoodput: bound}), nil
}

// sweepLoads are the offered loads of a plot.
var sweepLoads = []float64{0.6, 0.7, 0.8, 0.9, 1.0, 1.1, 1.2, 1.3, 1.4}

// Plot writes plots of goodput and wasted prefill over a load sweep. Each value is the
// mean over the seeds.
func Plot(options Options, policies []string, seeds int, folder string) error {
	const folderMode = 0o755
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "create plot folder")
	}
	goodput, wasted := map[string]plotter.XYs{}, map[string]plotter.XYs{}
	for _, load := range sweepLoads {
		means, err := meanOutcomes(options, policies, load, seeds)
		if err != nil {
			return err
		}
		for policy, mean := range means {
			goodput[policy] = append(goodput[policy], plotter.XY{X: load, Y: mean.Goodput})
			wasted[policy] = append(wasted[policy], plotter.XY{X: load, Y: mean.WastedPrefill})
		}
	}
	names := append(append([]string{}, policies...), boundPolicy)
	if err := savePlot(filepath.Join(folder, options.Workload+"-goodput.svg"), options.Workload+": goodput", names, goodput); err != nil {
		return err
	}
	return savePlot(filepath.Join(folder, options.Workload+"-wasted.svg"), options.Workload+": wasted prefill", policies, wasted)
}

func meanOutcomes(options Options, policies []string, load float64, seeds int) (map[string]Outcome, error) {
	means := map[string]Outcome{}
	for seed := range seeds {
		run := options
		run.Load, run.Seed = load, options.Seed+uint64(seed)
		outcomes, err := Compare(run, policies)
		if err != nil {
			return nil, err
		}
		for _, outcome := range outcomes {
			mean := means[outcome.Policy]
			mean.Goodput += outcome.Goodput / float64(seeds)
			mean.WastedPrefill += outcome.WastedPrefill / float64(seeds)
			means[outcome.Policy] = mean
		}
	}
	return means, nil
}

func savePlot(path, title string, names []string, series map[string]plotter.XYs) error {
	chart := plot.New()
	chart.Title.Text = title
	chart.X.Label.Text = "load"
	chart.Legend.Top = false
	chart.Legend.Left = true
	for i, name := range names {
		line, err := plotter.NewLine(series[name])
		if err != nil {
			return errors.Wrap(err, "create plot line")
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i/len(plotutil.SoftColors))
		chart.Add(line)
		chart.Legend.Add(name, line)
	}
	const width, height = 18 * vg.Centimeter, 12 * vg.Centimeter
	return errors.Wrap(chart.Save(width, height, path), "save "+path)
}
