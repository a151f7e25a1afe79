// Package plotter renders the burn report as one self-contained HTML page.
package plotter

import (
	"embed"
	"fmt"
	"html/template"
	"io"

	"verbenareach/internal/report/assessor"
	"verbenareach/internal/report/printer"
)

// maxPlottedSeries bounds the series with plots; the table lists all series.
const maxPlottedSeries = 12

//go:embed page.html
var pageFile embed.FS

var pageTemplate = template.Must(template.New("page.html").Funcs(template.FuncMap{
	"duration": printer.Duration,
	"goal":     printer.Goal,
	"millis":   printer.Millis,
	"budget":   printer.Budget,
	"rate":     printer.Rate,
	"seconds":  func(s float64) string { return printer.Millis(s * 1000) },
}).ParseFS(pageFile, "page.html"))

type (
	// page is the data of the template.
	page struct {
		Report assessor.Report
		Drawn  []drawing
	}

	// drawing is one series with its plots as SVG elements.
	drawing struct {
		Series assessor.Series
		Plots  []template.HTML
	}
)

// Write writes the report as an HTML page that loads no other file and runs no script.
func Write(w io.Writer, r assessor.Report) error {
	p := page{Report: r}
	for _, s := range r.Series[:min(len(r.Series), maxPlottedSeries)] {
		d, err := drawSeries(s)
		if err != nil {
			return fmt.Errorf("draw %s/%s: %w", s.Workspace, s.Model, err)
		}
		p.Drawn = append(p.Drawn, d)
	}
	return pageTemplate.Execute(w, p)
}

func drawSeries(s assessor.Series) (drawing, error) {
	d := drawing{Series: s}
	plots, err := seriesPlots(s)
	if err != nil {
		return d, err
	}
	for _, p := range plots {
		picture, err := svg(p)
		if err != nil {
			return d, err
		}
		d.Plots = append(d.Plots, picture)
	}
	return d, nil
}
