// Package report prints figures as a table with ratios to the first variant of
// each experiment, and draws cost against latency.
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

// Row is one run.
type Row struct {
	Scene   string
	Variant string
	Seed    uint64
	Figures scene.Figures
}

// column is one column of the table.
type column struct {
	name   string
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
	{"short", "%.0f", func(f scene.Figures) float64 { return float64(f.Short) }},
	{"cost", "%.0f", func(f scene.Figures) float64 { return f.Cost }},
	{"attempts", "%.2f", func(f scene.Figures) float64 { return f.Attempts }},
	{"first p50", "%.0f", func(f scene.Figures) float64 { return f.First[0] }},
	{"p95", "%.0f", func(f scene.Figures) float64 { return f.First[1] }},
	{"p99", "%.0f", func(f scene.Figures) float64 { return f.First[2] }},
	{"end p50", "%.0f", func(f scene.Figures) float64 { return f.End[0] }},
	{"p95", "%.0f", func(f scene.Figures) float64 { return f.End[1] }},
	{"p99", "%.0f", func(f scene.Figures) float64 { return f.End[2] }},
	{"long p95", "%.0f", func(f scene.Figures) float64 { return f.Review[1] }},
	{"small p95", "%.0f", func(f scene.Figures) float64 { return f.Small[1] }},
	{"exposed", "%.0f", func(f scene.Figures) float64 { return float64(f.Exposed) }},
	{"halt s", "%.1f", func(f scene.Figures) float64 { return f.Halted.Seconds() }},
	{"last bad s", "%.2f", func(f scene.Figures) float64 { return f.LastBad.Seconds() }},
}

// ratios lists what our variant is compared by.
var ratios = []column{
	{"cost", "", func(f scene.Figures) float64 { return f.Cost }},
	{"goodput", "", func(f scene.Figures) float64 { return f.Goodput }},
	{"first-p95", "", func(f scene.Figures) float64 { return f.First[1] }},
	{"end-p95", "", func(f scene.Figures) float64 { return f.End[1] }},
	{"long-p95", "", func(f scene.Figures) float64 { return f.Review[1] }},
	{"small-p95", "", func(f scene.Figures) float64 { return f.Small[1] }},
	{"exposed", "", func(f scene.Figures) float64 { return float64(f.Exposed) }},
}

// Table returns all runs and, per experiment, the ratios of the first variant to
// each other one as mean and range over the seeds.
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

// ratio compares two variants seed by seed.
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

func names(rows []Row, of func(Row) string) []string {
	var out []string
	for _, r := range rows {
		if !slices.Contains(out, of(r)) {
			out = append(out, of(r))
		}
	}
	return out
}

// Plot draws each run's cost against its p95 to the end.
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
				xy = append(xy, plotter.XY{X: r.Figures.Cost, Y: r.Figures.End[1]})
			}
		}
		lines = append(lines, v, xy)
	}
	if err := plotutil.AddScatters(p, lines...); err != nil {
		return err
	}
	return p.Save(16*vg.Centimeter, 12*vg.Centimeter, path)
}
