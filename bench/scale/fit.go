package scale

import (
	"errors"
	"fmt"
	"io"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// errTooFewSizes reports fewer different sizes than factors.
var errTooFewSizes = errors.New("fewer different sizes than factors")

// fit returns the least-squares factors of ys by the columns of xs, and the
// largest difference between a measured and a fitted value.
func fit(xs [][]float64, ys []float64) ([]float64, float64, error) {
	n := len(xs[0])
	if distinct(xs) < n {
		return nil, 0, errTooFewSizes
	}
	a := mat.NewDense(len(xs), n, nil)
	for i, x := range xs {
		a.SetRow(i, x)
	}
	var c mat.VecDense
	if err := c.SolveVec(a, mat.NewVecDense(len(ys), ys)); err != nil {
		return nil, 0, err
	}
	worst := 0.0
	for i, x := range xs {
		got := 0.0
		for j := range x {
			got += x[j] * c.AtVec(j)
		}
		worst = max(worst, math.Abs(got-ys[i]))
	}
	return c.RawVector().Data, worst, nil
}

// distinct returns the number of different rows.
func distinct(xs [][]float64) int {
	var out [][]float64
	for _, x := range xs {
		if !slices.ContainsFunc(out, func(y []float64) bool { return slices.Equal(x, y) }) {
			out = append(out, x)
		}
	}
	return len(out)
}

// fitLine is a fit that is printed on one line: the figure y of a sample as a linear
// function of its factors x.
type fitLine[P any] struct {
	name    string
	factors string
	x       func(p P) []float64
	y       func(p P) float64
}

// printFits prints the factors of each fit and its largest difference from a sample.
func printFits[P any](out io.Writer, ps []P, lines []fitLine[P]) {
	for _, l := range lines {
		var xs [][]float64
		var ys []float64
		for _, p := range ps {
			xs = append(xs, l.x(p))
			ys = append(ys, l.y(p))
		}
		c, worst, err := fit(xs, ys)
		if err != nil {
			fmt.Fprintf(out, "fit %-14s %s: not determined by these sizes\n", l.name, l.factors)
			continue
		}
		fmt.Fprintf(out, "fit %-14s %s:", l.name, l.factors)
		for _, v := range c {
			fmt.Fprintf(out, " %.4g", v)
		}
		fmt.Fprintf(out, "  (largest difference %.3g)\n", worst)
	}
}

// printIdleFits prints how the figures of idle deployments depend on their size.
func printIdleFits(out io.Writer, ps []idleSample) {
	entry := func(p idleSample) []float64 {
		l, _ := p.size.Links()
		return []float64{1, l, float64(p.size.Entries + p.size.Agents)}
	}
	agent := func(p idleSample) []float64 {
		_, n := p.size.Links()
		return []float64{1, n}
	}
	all := func(p idleSample) []float64 {
		return []float64{float64(p.size.Entries), float64(p.size.Agents)}
	}
	const perEntry, perAgent, perRole = "= base, per link, per listed instance", "= base, per watching entry", "= per entry, per agent"
	printFits(out, ps, []fitLine[idleSample]{
		{"entry cpu %", perEntry, entry, func(p idleSample) float64 { return p.cost.entry.cpu }},
		{"entry rss MB", perEntry, entry, func(p idleSample) float64 { return p.cost.entry.resident }},
		{"entry in KB/s", perEntry, entry, func(p idleSample) float64 { return p.cost.entry.in }},
		{"entry out KB/s", perEntry, entry, func(p idleSample) float64 { return p.cost.entry.out }},
		{"agent cpu %", perAgent, agent, func(p idleSample) float64 { return p.cost.agent.cpu }},
		{"agent rss MB", perAgent, agent, func(p idleSample) float64 { return p.cost.agent.resident }},
		{"agent in KB/s", perAgent, agent, func(p idleSample) float64 { return p.cost.agent.in }},
		{"agent out KB/s", perAgent, agent, func(p idleSample) float64 { return p.cost.agent.out }},
		{"table reads/s", perRole, all, func(p idleSample) float64 { return p.reads }},
		{"table writes/s", perRole, all, func(p idleSample) float64 { return p.writes }},
	})
}
