package serve

import (
	"context"
	"time"
)

// Every calls f after each interval until ctx ends and returns nil then. Calls
// don't overlap: an interval that ends during a call is followed at once.
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
