package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the full fleet, as the users expect it.
const (
	fullNodes   = 410
	fullZones   = 7
	fullServers = 600
	fullTenants = 13000
	fullModels  = 18
)

// Scaled returns the options of a fleet with the given number of nodes. The other
// sizes are those of the full fleet, scaled in proportion.
func Scaled(nodes int, window time.Duration, trials int, failures bool) Options {
	share := float64(nodes) / fullNodes
	scaled := func(full int) int { return max(int(math.Round(share*float64(full))), 1) }
	return Options{
		Nodes: nodes, Zones: min(fullZones, max(nodes/4, 1)), Servers: max(scaled(fullServers), enginesPerPool), Tenants: scaled(fullTenants),
		Models: scaled(fullModels), Window: window, Trials: trials, Failures: failures,
	}
}

// Fit is a linear regression of a measured quantity against the nodes per zone.
type Fit struct {
	Quantity string `json:"quantity"`
	// Intercept and Slope describe the line; StandardError is that of the slope.
	Intercept     float64 `json:"intercept"`
	Slope         float64 `json:"slope_per_zone_node"`
	StandardError float64 `json:"slope_standard_error"`
}

// quantity is one measured quantity of a report.
type quantity struct {
	name  string
	value func(*Report) float64
}

var quantities = []quantity{
	{"bytes_sent_per_s", func(r *Report) float64 { return r.BytesSent }},
	{"frames_per_s", func(r *Report) float64 { return r.Frames }},
	{"heap_bytes", func(r *Report) float64 { return r.HeapBytes }},
	{"goroutines", func(r *Report) float64 { return r.Goroutines }},
	{"processor_share", func(r *Report) float64 { return r.ProcessorShare }},
	{"platform_reads_per_s", func(r *Report) float64 { return r.PlatformReads }},
}

// Series measures fleets of several sizes, writes capacity.json and capacity.svg
// into a folder, and prints each report and the fits.
func Series(ctx context.Context, out io.Writer, sizes []Options, folder string) error {
	const folderMode, fileMode = 0o755, 0o600
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "create folder")
	}
	var reports []*Report
	for _, size := range sizes {
		report, err := Measure(ctx, size)
		if err != nil {
			return errors.Wrapf(err, "%d nodes", size.Nodes)
		}
		line, err := json.Marshal(report)
		if err != nil {
			return errors.Wrap(err, "encode report")
		}
		if _, err := fmt.Fprintln(out, string(line)); err != nil {
			return errors.Wrap(err, "write report")
		}
		reports = append(reports, report)
	}
	fits := fitAll(reports)
	for _, fitted := range fits {
		if _, err := fmt.Fprintf(out, "%-22s %12.4g %+.4g (±%.2g) for each node of a zone\n", fitted.Quantity, fitted.Intercept, fitted.Slope, fitted.StandardError); err != nil {
			return errors.Wrap(err, "write fit")
		}
	}
	data, err := json.MarshalIndent(map[string]any{"reports": reports, "fits": fits}, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode series")
	}
	if err := os.WriteFile(filepath.Join(folder, "capacity.json"), data, fileMode); err != nil {
		return errors.Wrap(err, "write series")
	}
	return drawSeries(reports, filepath.Join(folder, "capacity.svg"))
}

func fitAll(reports []*Report) []Fit {
	var zoneNodes []float64
	for _, report := range reports {
		zoneNodes = append(zoneNodes, float64(report.Nodes)/float64(report.Zones))
	}
	fits := make([]Fit, 0, len(quantities))
	for _, column := range quantities {
		var values []float64
		for _, report := range reports {
			values = append(values, column.value(report))
		}
		intercept, slope := stat.LinearRegression(zoneNodes, values, nil, false)
		fits = append(fits, Fit{column.name, intercept, slope, slopeError(zoneNodes, values, intercept, slope)})
	}
	return fits
}

// slopeError returns the standard error of a fitted slope; zero for fewer than three points.
func slopeError(x, y []float64, intercept, slope float64) float64 {
	const parameters = 2
	if len(x) <= parameters {
		return 0
	}
	mean := stat.Mean(x, nil)
	residuals, squares := 0.0, 0.0
	for i := range x {
		residual := y[i] - intercept - slope*x[i]
		residuals += residual * residual
		squares += (x[i] - mean) * (x[i] - mean)
	}
	if squares == 0 {
		return 0
	}
	return math.Sqrt(residuals / float64(len(x)-parameters) / squares)
}

// drawSeries plots each quantity as a share of its value at the largest fleet.
func drawSeries(reports []*Report, path string) error {
	drawn := plot.New()
	drawn.Title.Text = "cost per node against the size of the fleet, relative to the largest fleet"
	drawn.X.Label.Text = "nodes"
	drawn.Legend.Top = true
	drawn.Legend.Left = true
	for i, column := range quantities {
		largest := column.value(reports[len(reports)-1])
		if largest == 0 {
			continue
		}
		points := make(plotter.XYs, len(reports))
		for j, report := range reports {
			points[j] = plotter.XY{X: float64(report.Nodes), Y: column.value(report) / largest}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrap(err, "create line")
		}
		line.Color = plotutil.Color(i)
		drawn.Add(line)
		drawn.Legend.Add(column.name, line)
	}
	const width, height = 18 * vg.Centimeter, 12 * vg.Centimeter
	return errors.Wrap(drawn.Save(width, height, path), "save plot")
}
