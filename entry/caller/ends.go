package caller

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/entry/abort"
)

// Cause is why a caller got no complete answer, in kebab case.
type Cause string

// The causes that operators see in logs and metrics. A refusal that was sent before any part of an answer
// is complete.
const (
	// HandlerPanic means that the code that serves requests panicked.
	HandlerPanic Cause = "handler-panic"
	// DrainEnded means that the answer had begun and was ended at the drain limit.
	DrainEnded Cause = "drain-ended"
	// UpstreamBrokeOff means that the answer had begun and can't be continued.
	UpstreamBrokeOff Cause = "upstream-broke-off"
	// DeadlinePassed means that the answer had begun and the time of the request was over.
	DeadlinePassed Cause = "deadline-passed"
	// ClientGone means that the caller closed or reset its connection, or its sending side, before it had
	// the answer.
	ClientGone Cause = "client-gone"
	// WriteDeadline means that the caller did not read the answer in time.
	WriteDeadline Cause = "write-deadline"
)

// Causes returns all causes.
func Causes() []Cause {
	return []Cause{HandlerPanic, DrainEnded, UpstreamBrokeOff, DeadlinePassed, ClientGone, WriteDeadline}
}

// newCounters returns a counter for each cause.
func newCounters() map[Cause]*atomic.Uint64 {
	out := map[Cause]*atomic.Uint64{}
	for _, c := range Causes() {
		out[c] = &atomic.Uint64{}
	}
	return out
}

// Incomplete returns how many callers got no complete answer for a cause.
func (a *API) Incomplete(c Cause) uint64 { return a.incomplete[c].Load() }

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
func (x *exchange) cause(ctx context.Context) Cause {
	switch {
	case errors.Is(x.err, os.ErrDeadlineExceeded):
		return WriteDeadline
	case x.broken == nil && x.err == nil:
		return ""
	case abort.Drained(ctx):
		return DrainEnded
	case x.err != nil || x.broken.Code == refuse.Cancelled:
		return ClientGone
	case x.broken.Code == refuse.DeadlineExceeded:
		return DeadlinePassed
	default:
		return UpstreamBrokeOff
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
func (a *API) report(c Cause, x *exchange) {
	a.incomplete[c].Add(1)
	e := a.o.Log.WithLevel(c.level()).Str("cause", string(c)).Str("request", string(x.id)).Bool("answer-begun", x.begun)
	if d, stopping := a.o.StoppedFor(); stopping {
		e = e.Dur("since-stop-ms", d)
	}
	if x.broken != nil {
		e = e.Str("code", string(x.broken.Code)).Str("ran", string(x.broken.Ran))
	}
	e.AnErr("error", x.err).Msg("a caller got no complete answer")
}

// level returns the level of the log lines of a cause. What callers bring about is no warning.
func (c Cause) level() zerolog.Level {
	switch c {
	case HandlerPanic:
		return zerolog.ErrorLevel
	case ClientGone:
		return zerolog.InfoLevel
	default:
		return zerolog.WarnLevel
	}
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
	a.report(HandlerPanic, x)
	if x.begun {
		panic(http.ErrAbortHandler)
	}
	clear(x.Header())
	a.refuse(x, x.id, refuse.New(refuse.Internal, refuse.Unknown, "the entry failed while it served the request"))
}
