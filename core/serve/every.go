package serve

import (
	"context"
	"time"
)

// Every calls f once per interval, first after one interval, until ctx ends, and
// returns nil. Calls don't overlap: if one outlasts the interval, the next follows
// at once, and further intervals that ended meanwhile are skipped.
func Every(ctx context.Context, interval time.Duration, f func(ctx context.Context)) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			f(ctx)
		}
	}
}
