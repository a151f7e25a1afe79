package experimenter

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth   = 16 * vg.Centimeter
	plotHeight  = 11 * vg.Centimeter
	glyphRadius = 4
	// minShown is drawn for 0, which a logarithmic axis can't show.
	minShown = 0.1
)

// metric is the value on the vertical axis of a plot.
type metric struct {
	file  string
	label string
	value func(Summary) float64
}

// WritePlots plots, for each load, preemptions, stall time and the 99th percentile of
// the time between tokens against throughput, as SVG files in a folder.
func WritePlots(folder string, rows []Row) error {
	metrics := []metric{
		{"preemptions", "preemptions", func(s Summary) float64 { return s.Preemptions }},
		{"stalls", "stall time, s", func(s Summary) float64 { return s.StallSeconds }},
		{"between", "99th percentile between tokens, ms", func(s Summary) float64 { return s.BetweenTokens.P99 }},
	}
	byLoad := make(map[string][]Summary)
	for _, s := range Summaries(rows) {
		byLoad[s.Load] = append(byLoad[s.Load], s)
	}
	for load, list := range byLoad {
		for _, m := range metrics {
			name := strings.ReplaceAll(load, " ", "-") + "-" + m.file + ".svg"
			if err := writePlot(filepath.Join(folder, name), load, list, m); err != nil {
				return err
			}
		}
	}
	return nil
}

func writePlot(path, load string, list []Summary, m metric) error {
	p := plot.New()
	p.Title.Text = "Load: " + load
	p.X.Label.Text = "tokens a second, 4 engines"
	p.Y.Label.Text = m.label + fmt.Sprintf(" (%.1f stands for 0)", minShown)
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, s := range list {
		point, err := plotter.NewScatter(plotter.XYs{{X: s.TokensPerSecond, Y: max(m.value(s), minShown)}})
		if err != nil {
			return eris.Wrap(err, "plot")
		}
		point.Color, point.Shape, point.Radius = plotutil.Color(i), plotutil.Shape(i), glyphRadius
		p.Add(point)
		p.Legend.Add(s.Policy, point)
	}
	// A logarithmic axis needs a positive, non-empty range, also if all values are equal.
	p.Y.Min, p.Y.Max = minShown, max(p.Y.Max, 10*minShown)
	p.X.Min = 0
	return eris.Wrap(p.Save(plotWidth, plotHeight, path), "plot")
}
