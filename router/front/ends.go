package front

import (
	"net/http"
	"sync/atomic"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/panics"
	"tarragonvalve.example/router/call"
)

// Cause is why a client's connection ended without a complete answer, in kebab case.
type Cause string

// The causes that operators see in logs and metrics.
const (
	// HandlerPanic means that the code that serves requests panicked.
	HandlerPanic Cause = "handler-panic"
	// DrainEnded means that the answer had begun and was cut at the end of a drain.
	DrainEnded Cause = "drain-ended"
	// UpstreamBrokeOff means that the answer had begun and its upstream broke it off, or that the router gave it up
	// since the upstream was silent or sent what may not be passed on.
	UpstreamBrokeOff Cause = "upstream-broke-off"
	// DeadlinePassed means that the answer had begun and the request's time was over.
	DeadlinePassed Cause = "deadline-passed"
	// ClientGone means that the client closed or reset its connection, or its sending side, before it had
	// the answer.
	ClientGone Cause = "client-gone"
	// WriteDeadline means that the client did not read the answer in time.
	WriteDeadline Cause = "write-deadline"
	// ClosedWhileIdle means that the router closed an idle connection while the headers of a request arrived on it.
	ClosedWhileIdle Cause = "closed-while-idle"
	// ServerClosed means that the connection was closed at the end of the process.
	ServerClosed Cause = "server-closed"
	// ProtocolError means that net/http refused what the client sent without a call of the handler.
	ProtocolError Cause = "protocol-error"
	// HeaderTimeout means that the client did not send the headers of its request in time.
	HeaderTimeout Cause = "header-timeout"
	// Idle means that the router closed a connection on which no request arrived. It is counted and not logged.
	Idle Cause = "idle"
)

// Causes returns all causes.
func Causes() []Cause {
	return []Cause{
		HandlerPanic, DrainEnded, UpstreamBrokeOff, DeadlinePassed, ClientGone, WriteDeadline, ClosedWhileIdle,
		ServerClosed, ProtocolError, HeaderTimeout, Idle,
	}
}

// level returns the level of the log lines of a cause. What clients bring about is no warning.
func (c Cause) level() zerolog.Level {
	switch c {
	case HandlerPanic:
		return zerolog.ErrorLevel
	case ClientGone, ProtocolError, HeaderTimeout:
		return zerolog.InfoLevel
	default:
		return zerolog.WarnLevel
	}
}

// end is the end of a connection without a complete answer.
type end struct {
	cause Cause
	err   error
	// status is that of an answer that net/http wrote by itself; 0 means none.
	status int
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
	stacks    panics.Stacks
	// closed is true once all connections are closed at the end of the process.
	closed atomic.Bool
}

// report logs and counts an end. x is nil if no request had been read. An exchange is reported once.
func (r *endReporter) report(n end, x *exchange) {
	if x != nil && !x.reported.CompareAndSwap(false, true) {
		return
	}
	r.add(n.cause)
	if n.cause == Idle {
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
func (r *endReporter) add(c Cause) {
	if r.count != nil {
		r.count(c)
	}
}

// line returns a log line with the fields of an end, which must be sent with message. x is nil if no request had
// been read.
func (r *endReporter) line(c Cause, x *exchange) *zerolog.Event {
	e := r.log.WithLevel(c.level()).Str("cause", string(c))
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
