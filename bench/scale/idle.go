package scale

import (
	"context"
	"fmt"
	"net/http"

	"tarragonvalve.example/bench/world"
	"tarragonvalve.example/standin/dynamo"
)

const idleRow = "%-12s %5d %6.0f %8.1f %7.2f %7.2f %7.1f %8.2f %8.2f %7.2f %7.2f %7.1f %8.2f %8.2f %8.2f %8.2f\n"

// Idle measures the cost of control without any request, and how it grows.
func Idle(ctx context.Context, o Options, sizes []Size) error {
	fmt.Fprintln(o.Out, "\nidle: mean per process; cpu in % of a core, rss in MB, in and out in KB/s; table in operations/s of the whole deployment")
	fmt.Fprintf(o.Out, "%-12s %5s %6s %8s %7s %7s %7s %8s %8s %7s %7s %7s %8s %8s %8s %8s\n", "size", "round", "links", "watchers",
		"e.cpu", "e.max", "e.rss", "e.in", "e.out", "a.cpu", "a.max", "a.rss", "a.in", "a.out", "reads", "writes")
	var ps []point
	for _, s := range sizes {
		more, err := idleOf(ctx, o, s)
		if err != nil {
			return fmt.Errorf("measure idle %s: %w", s, err)
		}
		ps = append(ps, more...)
	}
	fits(o.Out, ps)
	return nil
}

// point is one idle window.
type point struct {
	size          Size
	cost          cost
	reads, writes float64
}

func idleOf(ctx context.Context, o Options, s Size) ([]point, error) {
	w, stop, err := deploy(ctx, o, s, idle, 0)
	if err != nil {
		return nil, err
	}
	defer stop()
	var out []point
	links, watchers := s.Links()
	for i := range o.Rounds {
		before, err := counts(ctx, w)
		if err != nil {
			return nil, err
		}
		c, err := during(w, func() error { return pause(ctx, o.Window) })
		if err != nil {
			return nil, err
		}
		after, err := counts(ctx, w)
		if err != nil {
			return nil, err
		}
		n := o.Window.Seconds()
		p := point{
			size: s, cost: c,
			reads:  float64(after.Gets+after.Queries-before.Gets-before.Queries) / n,
			writes: float64(after.Puts-before.Puts) / n,
		}
		out = append(out, p)
		e, a := c.entry, c.agent
		fmt.Fprintf(o.Out, idleRow, s, i+1, links, watchers, e.cpu, e.maxCPU, e.resident, e.in, e.out,
			a.cpu, a.maxCPU, a.resident, a.in, a.out, p.reads, p.writes)
	}
	return out, nil
}

func counts(ctx context.Context, w *world.World) (dynamo.Counts, error) {
	var c struct {
		Table dynamo.Counts `json:"table"`
	}
	err := w.Control(ctx, http.MethodGet, "/counters", nil, &c)
	return c.Table, err
}
