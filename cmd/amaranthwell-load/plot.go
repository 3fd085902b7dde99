package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of the plots.
const (
	plotWidth   = 16 * vg.Centimeter
	plotHeight  = 10 * vg.Centimeter
	textBar     = 40 // Characters of the longest bar.
	longestText = 10 // The ratio of the longest bar.
)

// percentiles are the points of a curve.
var percentiles = []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9}

// A curve is the distribution of response over ideal of one phase and version.
type curve struct {
	name string
	// ratios holds the ratio at each of percentiles.
	ratios []float64
}

// addCurve adds the curve of the routes that a phase does not disturb.
func (r *run) addCurve(s scenario, p phase, w *window) {
	disturbed := p.disturbed(r.bench.fleet)
	record := w.sum(func(route string) bool { return route != disturbed })
	c := curve{name: r.bench.version + " " + p.name}
	for _, percentile := range percentiles {
		c.ratios = append(c.ratios, record.ratio(percentile))
	}
	writeText(os.Stderr, s.name, c)
	r.curves = append(r.curves, c)
}

// writeText draws a curve as a text plot.
func writeText(w io.Writer, scenario string, c curve) {
	fmt.Fprintf(w, "%s: %s, response over ideal\n", scenario, c.name)
	for i, p := range percentiles {
		ratio := c.ratios[i]
		length := int(min(ratio, longestText) / longestText * textBar)
		fmt.Fprintf(w, "  p%-5v %8.3f %s\n", p, ratio, strings.Repeat("#", length))
	}
}

// plot draws the curves of a scenario to a file in the output directory.
func (c *runCommand) plot(s scenario, curves []curve) error {
	p := plot.New()
	p.Title.Text = s.name
	p.X.Label.Text = "response over ideal"
	p.Y.Label.Text = "percentile"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	var lines []any
	for _, one := range curves {
		points := make(plotter.XYs, 0, len(percentiles))
		for i, percentile := range percentiles {
			if one.ratios[i] > 0 {
				points = append(points, plotter.XY{X: one.ratios[i], Y: percentile})
			}
		}
		if len(points) > 0 {
			lines = append(lines, one.name, points)
		}
	}
	if len(lines) == 0 {
		return nil // A logarithmic axis cannot be drawn without a value.
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(c.Output, s.name+"."+c.Plot))
}
