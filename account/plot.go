package account

import (
	"image/color"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 12 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// eventColor is the color of the lines that mark events.
var eventColor = color.Gray{Y: 200}

// Plot draws memory utilization, waiting requests, rejections and engines by role over the windows,
// with a vertical line for each event. The file extension, svg or png, selects the format.
func (a *Account) Plot(file string) error {
	drawn := plot.New()
	drawn.X.Label.Text = "seconds"
	drawn.Legend.Top = true
	if len(a.Windows) == 0 {
		return errors.New("no windows in the logs")
	}
	if err := a.drawEvents(drawn); err != nil {
		return err
	}
	series := map[string]plotter.XYs{}
	for _, window := range a.Windows {
		second := window.Start.Sub(a.Windows[0].Start).Seconds()
		point := func(name string, value float64) {
			series[name] = append(series[name], plotter.XY{X: second, Y: value})
		}
		total := window.AllEngines()
		point("memory, percent", float64(total.MemoryPercent))
		point("waiting", float64(total.Waiting))
		point("refused in 2 s", float64(window.Total().Rejected))
		point("prefill engines", float64(total.Prefill))
		point("decode engines", float64(total.Decode))
	}
	lines := []any{}
	for _, name := range []string{"memory, percent", "waiting", "refused in 2 s", "prefill engines", "decode engines"} {
		lines = append(lines, name, series[name])
	}
	if err := plotutil.AddLines(drawn, lines...); err != nil {
		return errors.Wrap(err, "draw lines")
	}
	return errors.Wrap(drawn.Save(plotWidth, plotHeight, file), "save plot")
}

// drawEvents marks events by vertical lines.
func (a *Account) drawEvents(drawn *plot.Plot) error {
	const top = 100
	for _, event := range a.Events {
		second := event.Time.Sub(a.Windows[0].Start).Seconds()
		if second < 0 {
			continue
		}
		mark, err := plotter.NewLine(plotter.XYs{{X: second, Y: 0}, {X: second, Y: top}})
		if err != nil {
			return errors.Wrap(err, "draw event")
		}
		mark.Color = eventColor
		drawn.Add(mark)
	}
	return nil
}
