package scale

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// adminPaths holds the paths of requests by operators that involve all processes or the
// table.
var adminPaths = []string{"/status", "/events?limit=100", "/history"}

// AdminRequests measures the duration of the requests in adminPaths at one entry, for each
// size.
func AdminRequests(ctx context.Context, o Options, sizes []Size) error {
	fmt.Fprintln(o.Out, "\nask: milliseconds per operators' question at one entry")
	fmt.Fprintf(o.Out, "%-12s %6s", "size", "times")
	for _, q := range adminPaths {
		fmt.Fprintf(o.Out, " %20s p50 max", q)
	}
	fmt.Fprintln(o.Out)
	for _, s := range sizes {
		if err := adminRequestsOf(ctx, o, s); err != nil {
			return fmt.Errorf("measure questions %s: %w", s, err)
		}
	}
	return nil
}

func adminRequestsOf(ctx context.Context, o Options, s Size) error {
	w, stop, err := deploy(ctx, o, s, idleEngines, 0)
	if err != nil {
		return err
	}
	defer stop()
	fmt.Fprintf(o.Out, "%-12s %6d", s, o.Rounds)
	var failed []error
	for _, q := range adminPaths {
		var times []float64
		for range o.Rounds {
			start := time.Now()
			if err := w.Operator(ctx, http.MethodGet, w.Admins[0], q, nil); err != nil {
				failed = append(failed, err)
				continue
			}
			times = append(times, float64(time.Since(start).Microseconds())/1000)
		}
		if len(times) == 0 {
			return errors.Join(failed...)
		}
		fmt.Fprintf(o.Out, " %20.1f %7.1f", median(times), slices.Max(times))
	}
	fmt.Fprintln(o.Out)
	for _, err := range failed {
		fmt.Fprintln(o.Out, "       failed:", err)
	}
	return ctx.Err()
}
