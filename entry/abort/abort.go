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

// Refusal returns the refusal of a request whose context was cancelled: by the drain limit, otherwise
// by its caller. It does not tell deadlines apart.
func Refusal(ctx context.Context, ran refuse.Ran) *refuse.Error {
	if Drained(ctx) {
		return refuse.New(refuse.Draining, ran, "this entry stopped before the request had ended").WithRetryAfter(retryAfter)
	}
	return refuse.New(refuse.Cancelled, ran, "the caller left")
}
