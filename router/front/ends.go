package front

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ending"
	"tarragonvalve.example/core/panics"
	"tarragonvalve.example/router/call"
)

// end is the end of a connection without a complete answer.
type end struct {
	cause ending.Cause
	err   error
	// status is that of an answer that net/http wrote by itself; 0 means none.
	status int
}

// endReporter logs and counts the connections that end without a complete answer. It is safe for
// concurrent use.
type endReporter struct {
	gate *Gate
	// count is called once for each end; nil counts nothing.
	count func(ending.Cause)
	// requestID returns the id in a request's headers; nil means that ids are not logged.
	requestID func(http.Header) call.ID
	log       zerolog.Logger
	stacks    panics.Stacks
	arrivals  arrivals
	// waiting bounds the connections that have sent no whole head, headLimits returns the bounds of a head.
	waiting    *waiting
	headLimits func() headLimits
	// closed is true once all connections are closed at the end of the process.
	closed atomic.Bool
}

// report logs and counts an end. x is nil if no request had been read. An exchange is reported once.
func (r *endReporter) report(n end, x *exchange) {
	if x != nil && !x.reported.CompareAndSwap(false, true) {
		return
	}
	r.add(n.cause)
	if n.cause == ending.Idle {
		return
	}
	l := r.line(n.cause, x)
	if n.err != nil {
		l = l.AnErr("error", n.err)
	}
	if n.status != 0 {
		l = l.Int("status", n.status)
	}
	l.Msg(message(n.cause))
}

// add counts an end.
func (r *endReporter) add(c ending.Cause) {
	if r.count != nil {
		r.count(c)
	}
}

// line returns a log line with the fields of an end, which must be sent with message. x is nil if no request had
// been read.
func (r *endReporter) line(c ending.Cause, x *exchange) *zerolog.Event {
	e := r.log.WithLevel(c.Level()).Str("cause", string(c))
	if x != nil {
		if r.requestID != nil {
			e = e.Str("request", string(r.requestID(x.header)))
		}
		e = e.Str("passed-on", string(x.passedOn()))
		if u := x.truncation(); u != nil {
			e = e.Bool("answering", u.Answering).Dur("idle", u.Idle)
		}
	}
	if d, ok := r.gate.stoppedFor(); ok {
		e = e.Dur("since-stop", d)
		if x != nil {
			e = e.Dur("arrived", d-time.Since(x.arrived))
		}
	}
	return e
}

// message returns the message of the lines of a cause. Each cause has its own, as the log limits the rate of
// lines by message, and one cause must not use up the lines of the others.
func message(c ending.Cause) string { return "connection ended: " + string(c) }
