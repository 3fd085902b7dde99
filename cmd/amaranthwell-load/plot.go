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

// Sizes of the image plots and the text plots.
const (
	plotWidth     = 16 * vg.Centimeter
	plotHeight    = 10 * vg.Centimeter
	textBarLength = 40 // Characters in the longest bar.
	textBarRatio  = 10 // The ratio at which a bar has its full length.
)

// percentiles holds the percentiles at which a curve has points.
var percentiles = []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9}

// A curve is the distribution of the ratio of response time to ideal response time
// in one phase with one version.
type curve struct {
	label string
	// ratios holds the ratio at each percentile of percentiles.
	ratios []float64
}

// addCurve appends a curve to r.curves, and writes it to standard error as a text plot.
// The curve is that of all routes except the one with the flood or the cancellation waves
// of p.
func (r *run) addCurve(s scenario, p phase, w *window) {
	disturbed := p.disturbedRoute(r.cluster.fleet)
	record := w.sum(func(route string) bool { return route != disturbed })
	c := curve{label: r.cluster.version + " " + p.name}
	for _, percentile := range percentiles {
		c.ratios = append(c.ratios, record.ratio(percentile))
	}
	writeText(os.Stderr, s.name, c)
	r.curves = append(r.curves, c)
}

// writeText writes a curve as a text plot.
func writeText(w io.Writer, scenario string, c curve) {
	fmt.Fprintf(w, "%s: %s, response over ideal\n", scenario, c.label)
	for i, p := range percentiles {
		ratio := c.ratios[i]
		length := int(min(ratio, textBarRatio) / textBarRatio * textBarLength)
		fmt.Fprintf(w, "  p%-5v %8.3f %s\n", p, ratio, strings.Repeat("#", length))
	}
}

// plot writes an image with the curves of a scenario to the output directory. It
// writes no file if the curves have no points.
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
			lines = append(lines, one.label, points)
		}
	}
	if len(lines) == 0 {
		return nil // A logarithmic axis cannot be drawn without a positive value.
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(c.Output, s.name+"."+c.Plot))
}
