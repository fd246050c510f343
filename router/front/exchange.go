package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"tarragonvalve.example/core/ending"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/router/relay"
)

// passedOn states whether a request was passed on to an upstream, as far as the router knows.
type passedOn string

const (
	passedOnNo      passedOn = "no"
	passedOnYes     passedOn = "yes"
	passedOnUnknown passedOn = "unknown"
)

// exchange is a request and its answer, as far as they concern the end of the client's connection.
type exchange struct {
	header http.Header
	// conn is the client's connection; nil if the request does not come from a Server.
	conn *clientConn
	// arrived is when the request's first byte could have been read, or when it reached the handler if it had been read
	// together with the one before.
	arrived time.Time
	// waited is how long the request waited for this process before it reached the handler.
	waited time.Duration
	// headRefused is true if there is no memory for the request's headers.
	headRefused bool
	// closeDelimited is true if an answer without a length ends with its connection (HTTP/1.0).
	closeDelimited bool
	// sending is true once the request was about to be sent to an upstream.
	sending atomic.Bool
	// cut is true once the handler has ended in the middle of the answer.
	cut atomic.Bool
	// reported is true once the end of the connection was logged.
	reported atomic.Bool
	// outcome is how the handler ended; nil before that.
	outcome atomic.Pointer[outcome]
}

// outcome is how the handler of a request ended.
type outcome struct {
	err error
	// cancelled is the cause of the end of the request's context; nil if it had not ended.
	cancelled error
}

// exchangeOf returns the exchange in progress on the connection of the request with context ctx. It returns an unused
// one if the request does not come from a Server.
func exchangeOf(ctx context.Context) *exchange {
	if c, ok := ctx.Value(connKey{}).(*clientConn); ok {
		if x := c.current(); x != nil {
			return x
		}
	}
	return &exchange{arrived: time.Now()}
}

// checked records the result of the last check before a send, and returns it.
func (x *exchange) checked(err error) error {
	if err == nil {
		x.sending.Store(true)
	}
	return err
}

// truncation returns how the answer was truncated, or nil if it wasn't.
func (x *exchange) truncation() *relay.TruncatedError {
	var e *relay.TruncatedError
	if o := x.outcome.Load(); o == nil || !errors.As(o.err, &e) {
		return nil
	}
	return e
}

// end records how the handler ended.
func (x *exchange) end(ctx context.Context, err error) {
	x.outcome.Store(&outcome{err: err, cancelled: context.Cause(ctx)})
}

// incomplete returns why the client doesn't have the complete answer, and false if it has. writeErr is the error
// of a write to the client, clientEnd that of a read which shows that the client closed its side; both may be nil.
func (x *exchange) incomplete(writeErr, clientEnd error) (end, bool) {
	o := x.outcome.Load()
	if o == nil {
		o = &outcome{}
	}
	cut := x.truncation() != nil
	drained := errors.Is(o.cancelled, errDrained)
	r, _ := refuse.As(o.err)
	switch {
	case cut && drained:
		return end{cause: ending.DrainEnded, err: o.err}, true
	case errors.Is(writeErr, os.ErrDeadlineExceeded):
		return end{cause: ending.WriteDeadline, err: writeErr}, true
	case errors.Is(writeErr, net.ErrClosed):
		return end{cause: ending.ServerClosed, err: writeErr}, true
	case writeErr != nil:
		return end{cause: ending.ClientGone, err: writeErr}, true
	case o.err != nil && clientEnd != nil:
		return end{cause: ending.ClientGone, err: o.err}, true
	case cut && r != nil && r.Code == refuse.DeadlineExceeded:
		return end{cause: ending.DeadlinePassed, err: o.err}, true
	case cut:
		return end{cause: ending.UpstreamBrokeOff, err: o.err}, true
	default:
		return end{}, false
	}
}

// passedOn returns whether the request was passed on. An answer that was complete or truncated comes from an
// upstream, and a refusal states whether it proves that none ran the request.
func (x *exchange) passedOn() passedOn {
	if !x.sending.Load() {
		return passedOnNo
	}
	o := x.outcome.Load()
	if o == nil {
		return passedOnUnknown
	}
	if o.err == nil || x.truncation() != nil {
		return passedOnYes
	}
	if r, ok := refuse.As(o.err); ok && r.Ran == refuse.NotRun {
		return passedOnNo
	}
	return passedOnUnknown
}
