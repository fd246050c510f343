// Package report prints the figures of experiments as tables, with the ratios of each
// experiment's first variant to the others, and plots cost against latency.
package report

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"tarragonvalve.example/bench/scene"
)

// Row holds the figures of one run.
type Row struct {
	Scene   string
	Variant string
	Seed    uint64
	Figures scene.Figures
}

// column is a column of the table, or a figure whose ratio is printed.
type column struct {
	name string
	// format is the fmt verb of a value; empty for ratios, which have a common format.
	format string
	value  func(f scene.Figures) float64
}

var columns = []column{
	{"requests", "%.0f", func(f scene.Figures) float64 { return float64(f.Requests) }},
	{"answered", "%.0f", func(f scene.Figures) float64 { return float64(f.Answered) }},
	{"refused", "%.0f", func(f scene.Figures) float64 { return float64(f.Refused) }},
	{"failed", "%.0f", func(f scene.Figures) float64 { return float64(f.Failed) }},
	{"good/s", "%.1f", func(f scene.Figures) float64 { return f.Goodput }},
	{"quality", "%.3f", func(f scene.Figures) float64 { return f.Quality }},
	{"target", "%.3f", func(f scene.Figures) float64 { return f.Target }},
	{"short", "%.0f", func(f scene.Figures) float64 { return float64(f.BelowTarget) }},
	{"cost", "%.0f", func(f scene.Figures) float64 { return f.Cost }},
	{"attempts", "%.2f", func(f scene.Figures) float64 { return f.Attempts }},
	{"first p50", "%.0f", func(f scene.Figures) float64 { return f.FirstTokenMS[0] }},
	{"p95", "%.0f", func(f scene.Figures) float64 { return f.FirstTokenMS[1] }},
	{"p99", "%.0f", func(f scene.Figures) float64 { return f.FirstTokenMS[2] }},
	{"end p50", "%.0f", func(f scene.Figures) float64 { return f.EndMS[0] }},
	{"p95", "%.0f", func(f scene.Figures) float64 { return f.EndMS[1] }},
	{"p99", "%.0f", func(f scene.Figures) float64 { return f.EndMS[2] }},
	{"long p95", "%.0f", func(f scene.Figures) float64 { return f.ReviewEndMS[1] }},
	{"small p95", "%.0f", func(f scene.Figures) float64 { return f.SmallEndMS[1] }},
	{"exposed", "%.0f", func(f scene.Figures) float64 { return float64(f.Exposed) }},
	{"halt s", "%.1f", func(f scene.Figures) float64 { return f.HaltedAfter.Seconds() }},
	{"last bad s", "%.2f", func(f scene.Figures) float64 { return f.LastBad.Seconds() }},
}

// ratios lists the figures by which the first variant is compared with the others.
var ratios = []column{
	{"cost", "", func(f scene.Figures) float64 { return f.Cost }},
	{"goodput", "", func(f scene.Figures) float64 { return f.Goodput }},
	{"first-p95", "", func(f scene.Figures) float64 { return f.FirstTokenMS[1] }},
	{"end-p95", "", func(f scene.Figures) float64 { return f.EndMS[1] }},
	{"long-p95", "", func(f scene.Figures) float64 { return f.ReviewEndMS[1] }},
	{"small-p95", "", func(f scene.Figures) float64 { return f.SmallEndMS[1] }},
	{"exposed", "", func(f scene.Figures) float64 { return float64(f.Exposed) }},
}

// Table returns a table of all runs for each experiment, followed by the ratios of the
// first variant to each other one as the mean and the range over the seeds.
func Table(rows []Row) string {
	var b strings.Builder
	for _, name := range names(rows, func(r Row) string { return r.Scene }) {
		of := slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return r.Scene != name })
		fmt.Fprintf(&b, "\n%s (times in ms, cost in micro-cents per answer)\n", name)
		w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprint(w, "variant\tseed\t")
		for _, c := range columns {
			fmt.Fprint(w, c.name, "\t")
		}
		fmt.Fprintln(w)
		for _, r := range of {
			fmt.Fprintf(w, "%s\t%d\t", r.Variant, r.Seed)
			for _, c := range columns {
				fmt.Fprintf(w, c.format+"\t", c.value(r.Figures))
			}
			fmt.Fprintln(w)
		}
		_ = w.Flush()
		writeRatios(&b, of)
	}
	return b.String()
}

// writeRatios writes the ratios of the first variant to each other one.
func writeRatios(b *strings.Builder, rows []Row) {
	vs := names(rows, func(r Row) string { return r.Variant })
	for _, v := range vs[1:] {
		fmt.Fprintf(b, "  %s / %s:", vs[0], v)
		for _, c := range ratios {
			if m, low, high, ok := ratio(rows, vs[0], v, c); ok {
				fmt.Fprintf(b, " %s %.2f [%.2f %.2f]", c.name, m, low, high)
			}
		}
		fmt.Fprintln(b)
	}
}

// ratio returns the mean and range of the ratios of two variants, one ratio per seed. It
// skips seeds for which the other variant's figure is 0; ok is false if none is left.
func ratio(rows []Row, ours, other string, c column) (mean, low, high float64, ok bool) {
	low, high = math.Inf(1), math.Inf(-1)
	n := 0.0
	for _, a := range rows {
		for _, b := range rows {
			if a.Variant != ours || b.Variant != other || a.Seed != b.Seed || c.value(b.Figures) == 0 {
				continue
			}
			x := c.value(a.Figures) / c.value(b.Figures)
			mean += x
			low, high = min(low, x), max(high, x)
			n++
		}
	}
	return mean / max(n, 1), low, high, n > 0
}

// names returns the distinct values of a field in the order of the rows.
func names(rows []Row, of func(Row) string) []string {
	var out []string
	for _, r := range rows {
		if !slices.Contains(out, of(r)) {
			out = append(out, of(r))
		}
	}
	return out
}

// Plot writes a plot of the cost and the p95 time to the end of each run to an image file.
func Plot(rows []Row, path string) error {
	p := plot.New()
	p.Title.Text = "cost and latency, " + time.Now().Format(time.DateOnly)
	p.X.Label.Text = "cost per answer, micro-cents"
	p.Y.Label.Text = "p95 to the end, ms"
	var lines []any
	for _, v := range names(rows, func(r Row) string { return r.Variant }) {
		var xy plotter.XYs
		for _, r := range rows {
			if r.Variant == v {
				xy = append(xy, plotter.XY{X: r.Figures.Cost, Y: r.Figures.EndMS[1]})
			}
		}
		lines = append(lines, v, xy)
	}
	if err := plotutil.AddScatters(p, lines...); err != nil {
		return err
	}
	return p.Save(16*vg.Centimeter, 12*vg.Centimeter, path)
}
