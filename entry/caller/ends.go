package caller

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync/atomic"

	"tarragonvalve.example/core/ending"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/entry/abort"
)

// newCounters returns a counter for each cause.
func newCounters() map[ending.Cause]*atomic.Uint64 {
	out := map[ending.Cause]*atomic.Uint64{}
	for _, c := range ending.OfAnswers() {
		out[c] = &atomic.Uint64{}
	}
	return out
}

// Incomplete returns how many callers got no complete answer for a cause.
func (a *API) Incomplete(c ending.Cause) uint64 { return a.incomplete[c].Load() }

// exchange is a request with its answer as far as it was written. Its methods are not safe for concurrent use.
type exchange struct {
	http.ResponseWriter

	id ident.RequestID
	// begun is true once the head of the answer was written.
	begun bool
	// err is the error of the first write that failed.
	err error
	// broken is the refusal that ended an answer that had begun, or of which the caller left.
	broken *refuse.Error
}

func (x *exchange) WriteHeader(code int) {
	x.begun = true
	x.ResponseWriter.WriteHeader(code)
}

func (x *exchange) Write(b []byte) (int, error) {
	x.begun = true
	n, err := x.ResponseWriter.Write(b)
	x.failed(err)
	return n, err
}

// FlushError is for http.ResponseController.
func (x *exchange) FlushError() error {
	err := http.NewResponseController(x.ResponseWriter).Flush()
	x.failed(err)
	return err
}

// Unwrap is for http.ResponseController.
func (x *exchange) Unwrap() http.ResponseWriter { return x.ResponseWriter }

// failed records the error of a write.
func (x *exchange) failed(err error) {
	if x.err == nil && !errors.Is(err, http.ErrNotSupported) && !errors.Is(err, http.ErrBodyNotAllowed) {
		x.err = err
	}
}

// refused records the refusal of the request. One that is sent before any part of an answer is complete,
// unless the caller has left.
func (x *exchange) refused(e *refuse.Error) {
	if x.begun || e.Code == refuse.Cancelled {
		x.broken = e
	}
}

// cause returns why the answer is not complete; it is empty for a complete one. ctx is the request's.
func (x *exchange) cause(ctx context.Context) ending.Cause {
	switch {
	case errors.Is(x.err, os.ErrDeadlineExceeded):
		return ending.WriteDeadline
	case x.broken == nil && x.err == nil:
		return ""
	case abort.Drained(ctx):
		return ending.DrainEnded
	case x.err != nil || x.broken.Code == refuse.Cancelled:
		return ending.ClientGone
	case x.broken.Code == refuse.DeadlineExceeded:
		return ending.DeadlinePassed
	default:
		return ending.UpstreamBrokeOff
	}
}

// finish sends what is buffered of an answer, and reports an answer that is not complete.
func (a *API) finish(x *exchange, r *http.Request) {
	if x.err == nil {
		_ = x.FlushError()
	}
	if c := x.cause(r.Context()); c != "" {
		a.report(c, x)
	}
}

// report logs and counts an answer that is not complete.
func (a *API) report(c ending.Cause, x *exchange) {
	a.incomplete[c].Add(1)
	e := a.o.Log.WithLevel(c.Level()).Str("cause", string(c)).Str("request", string(x.id)).Bool("answer-begun", x.begun)
	if d, stopping := a.o.StoppedFor(); stopping {
		e = e.Dur("since-stop-ms", d)
	}
	if x.broken != nil {
		e = e.Str("code", string(x.broken.Code)).Str("ran", string(x.broken.Ran))
	}
	e.AnErr("error", x.err).Msg("a caller got no complete answer")
}

// recoverPanic reports a panic of a handler and refuses its request. If the answer has begun, it closes the
// connection, so that the answer does not look complete.
func (a *API) recoverPanic(x *exchange) {
	p := recover()
	if p == nil {
		return
	}
	if p == http.ErrAbortHandler { //nolint:errorlint // net/http compares the value itself
		panic(p)
	}
	a.o.Panics.Report(p, "request", string(x.id))
	a.report(ending.HandlerPanic, x)
	if x.begun {
		panic(http.ErrAbortHandler)
	}
	clear(x.Header())
	a.refuse(x, x.id, refuse.New(refuse.Internal, refuse.Unknown, "the entry failed while it served the request"))
}
