package scale

import (
	"errors"
	"fmt"
	"io"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// errFew reports fewer sizes than factors.
var errFew = errors.New("fewer different sizes than factors")

// fit returns the least-squares factors of ys by the columns of xs, and the
// largest difference between a measured and a fitted value.
func fit(xs [][]float64, ys []float64) ([]float64, float64, error) {
	n := len(xs[0])
	if distinct(xs) < n {
		return nil, 0, errFew
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

func distinct(xs [][]float64) int {
	var out [][]float64
	for _, x := range xs {
		if !slices.ContainsFunc(out, func(y []float64) bool { return slices.Equal(x, y) }) {
			out = append(out, x)
		}
	}
	return len(out)
}

// line is one figure that is fitted.
type line[P any] struct {
	name    string
	factors string
	x       func(p P) []float64
	y       func(p P) float64
}

func printFits[P any](out io.Writer, ps []P, lines []line[P]) {
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

func fits(out io.Writer, ps []point) {
	entry := func(p point) []float64 {
		l, _ := p.size.Links()
		return []float64{1, l, float64(p.size.Entries + p.size.Agents)}
	}
	agent := func(p point) []float64 {
		_, n := p.size.Links()
		return []float64{1, n}
	}
	all := func(p point) []float64 {
		return []float64{float64(p.size.Entries), float64(p.size.Agents)}
	}
	const perEntry, perAgent, perRole = "= base, per link, per listed instance", "= base, per watching entry", "= per entry, per agent"
	printFits(out, ps, []line[point]{
		{"entry cpu %", perEntry, entry, func(p point) float64 { return p.cost.entry.cpu }},
		{"entry rss MB", perEntry, entry, func(p point) float64 { return p.cost.entry.resident }},
		{"entry in KB/s", perEntry, entry, func(p point) float64 { return p.cost.entry.in }},
		{"entry out KB/s", perEntry, entry, func(p point) float64 { return p.cost.entry.out }},
		{"agent cpu %", perAgent, agent, func(p point) float64 { return p.cost.agent.cpu }},
		{"agent rss MB", perAgent, agent, func(p point) float64 { return p.cost.agent.resident }},
		{"agent in KB/s", perAgent, agent, func(p point) float64 { return p.cost.agent.in }},
		{"agent out KB/s", perAgent, agent, func(p point) float64 { return p.cost.agent.out }},
		{"table reads/s", perRole, all, func(p point) float64 { return p.reads }},
		{"table writes/s", perRole, all, func(p point) float64 { return p.writes }},
	})
}
