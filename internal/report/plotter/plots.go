package plotter

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"verbenareach/internal/report/assessor"
	"verbenareach/internal/report/printer"
)

// Sizes of a plot on the page.
const (
	plotWidth  = 4.1 * vg.Inch
	plotHeight = 2.4 * vg.Inch
	barWidth   = 11
)

// Colours that colour-blind readers can tell apart.
var (
	firstTokenColor = color.RGBA{R: 0x1f, G: 0x6f, B: 0xb4, A: 0xff}
	betweenColor    = color.RGBA{R: 0xe0, G: 0x8a, B: 0x1e, A: 0xff}
	completionColor = color.RGBA{R: 0x8c, G: 0x1d, B: 0x10, A: 0xff}
	targetColor     = color.RGBA{R: 0x55, G: 0x60, B: 0x6e, A: 0xff}
)

// burnPlot returns a bar chart of the three burns of each window, side by side.
func burnPlot(s assessor.Series) (*plot.Plot, error) {
	p := newPlot("burn by window")
	p.Y.Min = 0
	groups := []struct {
		name  string
		color color.Color
		burn  func(assessor.Window) float64
	}{
		{"first token", firstTokenColor, func(w assessor.Window) float64 { return w.FirstToken.Burn }},
		{"between tokens", betweenColor, func(w assessor.Window) float64 { return w.BetweenTokens.Burn }},
		{"whole answers", completionColor, func(w assessor.Window) float64 { return w.WholeBurn }},
	}
	var names []string
	for _, w := range s.Windows {
		names = append(names, printer.Duration(w.Length()))
	}
	highest := 1.2
	for i, g := range groups {
		var values plotter.Values
		for _, w := range s.Windows {
			values = append(values, g.burn(w))
			highest = max(highest, g.burn(w)*1.1)
		}
		if len(values) == 0 {
			continue
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return nil, err
		}
		bars.Color = g.color
		bars.LineStyle.Width = 0
		bars.Offset = vg.Points(float64(i-1) * barWidth)
		p.Add(bars)
		p.Legend.Add(g.name, bars)
	}
	p.Add(targetLine(-0.5, 1, float64(len(names))-0.5, 1))
	p.Y.Max = highest * 1.35 // Room for the legend.
	p.Legend.Top = true
	p.Legend.Left = true
	p.NominalX(names...)
	return p, nil
}

// latencyPlot returns the cumulative distribution of a latency. Two dashed lines show the target
// and the objective: a curve that passes above their intersection meets the objective.
func latencyPlot(title string, l assessor.Latency, targetMillis, objective float64) (*plot.Plot, error) {
	p := newPlot(title)
	p.X.Label.Text = "milliseconds"
	p.Y.Label.Text = "share in time, %"
	p.Y.Min, p.Y.Max = 0, 100
	points := cumulative(l)
	if len(points) == 0 {
		p.Title.Text += ": nothing counted"
		p.X.Min, p.X.Max = 0, 1
		return p, nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return nil, err
	}
	line.Color = firstTokenColor
	line.Width = vg.Points(1.5)
	p.Add(line)
	p.X.Min = 0
	p.X.Max = max(l.P99*1.1, targetMillis*1.1, 1)
	if targetMillis > 0 {
		p.Add(targetLine(targetMillis, 0, targetMillis, 100), targetLine(0, objective*100, p.X.Max, objective*100))
	}
	return p, nil
}

// cumulative returns the share of events up to each bucket's upper bound, in per cent.
func cumulative(l assessor.Latency) plotter.XYs {
	if l.Histogram == nil || l.Count == 0 {
		return nil
	}
	points := plotter.XYs{{X: 0, Y: 0}}
	total, sum := float64(l.Histogram.TotalCount()), 0.0
	for _, bar := range l.Histogram.Distribution() {
		if bar.Count == 0 {
			continue
		}
		sum += float64(bar.Count)
		// A histogram's unit is a tenth of a millisecond.
		points = append(points, plotter.XY{X: float64(bar.To) / 10, Y: 100 * sum / total})
	}
	return points
}

// newPlot returns an empty plot in the style of the page.
func newPlot(title string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Title.Padding = vg.Points(6)
	for _, style := range []*text.Style{
		&p.Title.TextStyle, &p.X.Label.TextStyle, &p.Y.Label.TextStyle, &p.X.Tick.Label, &p.Y.Tick.Label, &p.Legend.TextStyle,
	} {
		style.Font.Variant = "Sans"
	}
	p.X.Tick.Marker = plot.TickerFunc(shortTicks)
	p.Y.Tick.Marker = plot.TickerFunc(shortTicks)
	p.Add(plotter.NewGrid())
	return p
}

// shortTicks returns the default ticks with labels of at most four significant digits.
func shortTicks(low, high float64) []plot.Tick {
	ticks := plot.DefaultTicks{}.Ticks(low, high)
	for i, tick := range ticks {
		if tick.Label != "" {
			ticks[i].Label = strconv.FormatFloat(tick.Value, 'g', 4, 64)
		}
	}
	return ticks
}

// seriesPlots returns the plots of one series, in the order of the page.
func seriesPlots(s assessor.Series) ([]*plot.Plot, error) {
	burns, err := burnPlot(s)
	if err != nil || len(s.Windows) == 0 {
		return []*plot.Plot{burns}, err
	}
	// Six hours are long enough for a smooth distribution, and short enough to show the current day.
	w := s.Windows[min(2, len(s.Windows)-1)]
	length := printer.Duration(w.Length())
	first, err := latencyPlot("first token, "+length, w.FirstToken, s.Targets.FirstTokenMillis, s.Targets.Objective)
	if err != nil {
		return nil, err
	}
	between, err := latencyPlot("between tokens, "+length, w.BetweenTokens, s.Targets.BetweenTokensMillis, s.Targets.Objective)
	return []*plot.Plot{burns, first, between}, err
}

// svg renders a plot as an SVG element, without the XML declaration, which is not allowed inside an HTML page.
func svg(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	start := strings.Index(b.String(), "<svg")
	if start < 0 {
		return "", fmt.Errorf("no svg element in the drawing of %q", p.Title.Text)
	}
	// The texts in a plot are constants of this package and numbers, so they need no escaping.
	return template.HTML(b.String()[start:]), nil
}

// targetLine returns a dashed line between two points.
func targetLine(x0, y0, x1, y1 float64) *plotter.Line {
	return &plotter.Line{
		XYs: plotter.XYs{{X: x0, Y: y0}, {X: x1, Y: y1}},
		LineStyle: draw.LineStyle{
			Color: targetColor, Width: vg.Points(1), Dashes: []vg.Length{vg.Points(4), vg.Points(3)},
		},
	}
}
