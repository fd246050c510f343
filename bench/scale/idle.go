package scale

import (
	"context"
	"fmt"
	"net/http"

	"tarragonvalve.example/bench/world"
	"tarragonvalve.example/standin/dynamo"
)

// idleRow is the format of a row of results.
const idleRow = "%-12s %5d %6.0f %8.1f %7.2f %7.2f %7.1f %8.2f %8.2f %7.2f %7.2f %7.1f %8.2f %8.2f %8.2f %8.2f\n"

// Idle measures resource use and table operations without requests, and fits how they grow
// with the size.
func Idle(ctx context.Context, o Options, sizes []Size) error {
	fmt.Fprintln(o.Out, "\nidle: mean per process; cpu in % of a core, rss in MB, in and out in KB/s; table in operations/s of the whole deployment")
	fmt.Fprintf(o.Out, "%-12s %5s %6s %8s %7s %7s %7s %8s %8s %7s %7s %7s %8s %8s %8s %8s\n", "size", "round", "links", "watchers",
		"e.cpu", "e.max", "e.rss", "e.in", "e.out", "a.cpu", "a.max", "a.rss", "a.in", "a.out", "reads", "writes")
	var ps []idleSample
	for _, s := range sizes {
		more, err := idleOf(ctx, o, s)
		if err != nil {
			return fmt.Errorf("measure idle %s: %w", s, err)
		}
		ps = append(ps, more...)
	}
	printIdleFits(o.Out, ps)
	return nil
}

// idleSample holds the measurements of one window without requests. Table reads and writes
// are per second.
type idleSample struct {
	size          Size
	cost          cost
	reads, writes float64
}

func idleOf(ctx context.Context, o Options, s Size) ([]idleSample, error) {
	w, stop, err := deploy(ctx, o, s, idleEngines, 0)
	if err != nil {
		return nil, err
	}
	defer stop()
	var out []idleSample
	links, watchers := s.Links()
	for i := range o.Rounds {
		before, err := tableCounts(ctx, w)
		if err != nil {
			return nil, err
		}
		c, err := measureUsage(w, func() error { return pause(ctx, o.Window) })
		if err != nil {
			return nil, err
		}
		after, err := tableCounts(ctx, w)
		if err != nil {
			return nil, err
		}
		n := o.Window.Seconds()
		p := idleSample{
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

// tableCounts returns the stand-in table's operation counts.
func tableCounts(ctx context.Context, w *world.Deployment) (dynamo.Counts, error) {
	var c struct {
		Table dynamo.Counts `json:"table"`
	}
	err := w.Control(ctx, http.MethodGet, "/counters", nil, &c)
	return c.Table, err
}
