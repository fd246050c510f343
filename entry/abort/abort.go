// Package abort tells why the context of a request was cancelled before its deadline.
package abort

import (
	"context"
	"errors"
	"time"

	"tarragonvalve.example/core/refuse"
)

// ErrDrained is the cause with which an entry cancels the requests that are open at its drain limit.
var ErrDrained = errors.New("the entry has reached its drain limit")

// retryAfter is the retry delay after a shutdown. The retry uses a new connection, which load balancers
// send to another entry.
const retryAfter = time.Second

// Drained reports whether ctx was cancelled with ErrDrained.
func Drained(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), ErrDrained)
}

// Expired reports whether the deadline of ctx has passed. The timer of ctx may fire after those of agents, which got the
// same deadline and end their streams at that moment.
func Expired(ctx context.Context) bool {
	// The timer may fire between two reads of the error.
	if ctx.Err() != nil {
		return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
	}
	d, ok := ctx.Deadline()
	return ok && !time.Now().Before(d)
}

// Refusal returns the refusal of a request whose context has ended: by its deadline, by the drain limit, otherwise by
// its caller.
func Refusal(ctx context.Context, ran refuse.Ran) *refuse.Error {
	switch {
	case Expired(ctx):
		return refuse.New(refuse.DeadlineExceeded, ran, "the request's time is over")
	case Drained(ctx):
		return refuse.New(refuse.Draining, ran, "this entry stopped before the request had ended").WithRetryAfter(retryAfter)
	default:
		return refuse.New(refuse.Cancelled, ran, "the caller left")
	}
}
