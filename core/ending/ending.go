// Package ending names why a client got no complete answer.
package ending

import "github.com/rs/zerolog"

// Cause is why a client's answer or connection ended early, in kebab case.
type Cause string

// The causes that operators see in logs and metrics. A refusal that was sent before any part of an answer is complete.
const (
	// HandlerPanic means that the code that serves requests panicked.
	HandlerPanic Cause = "handler-panic"
	// DrainEnded means that the answer had begun and was cut at the end of a drain.
	DrainEnded Cause = "drain-ended"
	// UpstreamBrokeOff means that the answer had begun and can't be continued: its upstream broke it off, was silent or
	// sent what may not be passed on.
	UpstreamBrokeOff Cause = "upstream-broke-off"
	// DeadlinePassed means that the answer had begun and the request's time was over.
	DeadlinePassed Cause = "deadline-passed"
	// ClientGone means that the client closed or reset its connection, or its sending side, before it had
	// the answer.
	ClientGone Cause = "client-gone"
	// WriteDeadline means that the client did not read the answer in time.
	WriteDeadline Cause = "write-deadline"
	// ClosedWhileIdle means that an idle connection was closed while the headers of a request arrived on it.
	ClosedWhileIdle Cause = "closed-while-idle"
	// ServerClosed means that the connection was closed at the end of the process.
	ServerClosed Cause = "server-closed"
	// ProtocolError means that net/http refused what the client sent without a call of the handler.
	ProtocolError Cause = "protocol-error"
	// HeaderTimeout means that the client did not send the headers of its request in time.
	HeaderTimeout Cause = "header-timeout"
	// TooManyWaiting means that the connection was closed because too many wait for the headers of their requests.
	TooManyWaiting Cause = "too-many-waiting"
	// Idle means that a connection was closed on which no request arrived.
	Idle Cause = "idle"
)

// OfAnswers returns the causes for which an answer may end early.
func OfAnswers() []Cause {
	return []Cause{HandlerPanic, DrainEnded, UpstreamBrokeOff, DeadlinePassed, ClientGone, WriteDeadline}
}

// OfConnections returns the causes for which a connection may end without an answer, those of answers included.
func OfConnections() []Cause {
	return append(OfAnswers(), ClosedWhileIdle, ServerClosed, ProtocolError, HeaderTimeout, TooManyWaiting, Idle)
}

// Level returns the level of the log lines of a cause. What clients bring about is no warning.
func (c Cause) Level() zerolog.Level {
	switch c {
	case HandlerPanic:
		return zerolog.ErrorLevel
	case ClientGone, ProtocolError, HeaderTimeout:
		return zerolog.InfoLevel
	default:
		return zerolog.WarnLevel
	}
}
