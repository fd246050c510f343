package abort_test

import (
	"context"
	"testing"
	"time"

	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/entry/abort"
)

// expiring is a context whose deadline has passed and whose timer fires after some reads of its error.
type expiring struct {
	context.Context

	reads int
}

func (e *expiring) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

func (e *expiring) Err() error {
	e.reads--
	if e.reads >= 0 {
		return nil
	}
	return context.DeadlineExceeded
}

// Guards against a request whose time is over and whose refusal says that its caller left, as the timer of its
// deadline fires while the cause is determined.
func TestExpiredWhileAsked(t *testing.T) {
	for reads := range 4 {
		c := &expiring{Context: t.Context(), reads: reads}
		if !abort.Expired(c) {
			t.Errorf("fires after %d reads: not expired", reads)
		}
	}
	c := &expiring{Context: t.Context()}
	if e := abort.Refusal(c, refuse.Unknown); e.Code != refuse.DeadlineExceeded || e.Ran != refuse.Unknown {
		t.Errorf("refused with %v", e)
	}
}

// Guards against a caller that left or a drain that is reported as the end of the request's time.
func TestRefusalOfCancelled(t *testing.T) {
	for name, c := range map[string]struct {
		cause error
		code  refuse.Code
	}{
		"caller left": {context.Canceled, refuse.Cancelled},
		"drained":     {abort.ErrDrained, refuse.Draining},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			cancel(c.cause)
			ctx, stop := context.WithTimeout(ctx, 0)
			defer stop()
			if e := abort.Refusal(ctx, refuse.Unknown); e.Code != c.code || abort.Expired(ctx) {
				t.Errorf("refused with %v, expired %t", e, abort.Expired(ctx))
			}
		})
	}
}
