package front

import (
	"net/http"

	"github.com/rs/zerolog"

	"tarragonvalve.example/router/call"
)

// Cause is why a client's connection ended without a complete answer, in kebab case.
type Cause string

// The causes that operators see in logs and metrics.
const (
	// HandlerPanic means that the code that serves requests panicked.
	HandlerPanic Cause = "handler-panic"
)

// Causes returns all causes.
func Causes() []Cause {
	return []Cause{HandlerPanic}
}

// endReporter logs and counts the connections that end without a complete answer. It is safe for
// concurrent use.
type endReporter struct {
	gate *Gate
	// count is called once for each end; nil counts nothing.
	count func(Cause)
	// requestID returns the id in a request's headers; nil means that ids are not logged.
	requestID func(http.Header) call.ID
	log       zerolog.Logger
	stacks    stackLimiter
}

// report counts an end and adds its fields to a log line, which the caller must send with message. x is
// nil if no request had been read.
func (r *endReporter) report(e *zerolog.Event, c Cause, x *exchange) *zerolog.Event {
	if r.count != nil {
		r.count(c)
	}
	e = e.Str("cause", string(c))
	if x != nil {
		if r.requestID != nil {
			e = e.Str("request", string(r.requestID(x.header)))
		}
		e = e.Str("passed-on", string(x.passedOn()))
	}
	if d, ok := r.gate.stoppedFor(); ok {
		e = e.Dur("since-stop", d)
	}
	return e
}

// message returns the message of the lines of a cause. Each cause has its own, as the log limits the rate of
// lines by message, and one cause must not use up the lines of the others.
func message(c Cause) string { return "connection ended: " + string(c) }
