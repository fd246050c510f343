// Package refuse defines the typed refusals that all components return to their callers.
//
// A refusal states whether the refused work was executed. NotRun may be used only with
// proof that the work was not executed and can't be executed later.
package refuse

import (
	"errors"
	"fmt"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/wire"
)

// Ran states whether refused work was executed.
type Ran string

// The values of Ran as callers see them.
const (
	// NotRun means that the work was not executed and never will be.
	NotRun Ran = "not-run"
	// DidRun means that the work was executed, at least in part.
	DidRun Ran = "ran"
	// Unknown means that the work may or may not have been executed.
	Unknown Ran = "unknown"
)

// Code is the machine-readable reason of a refusal, in kebab case.
type Code string

// The codes that callers and operators see.
const (
	BadRequest              Code = "bad-request"
	Unauthenticated         Code = "unauthenticated"
	Forbidden               Code = "forbidden"
	ModelUnknown            Code = "model-unknown"
	ModelNotAllowed         Code = "model-not-allowed"
	ServiceUnknown          Code = "service-unknown"
	ServiceNotAllowed       Code = "service-not-allowed"
	VersionWithdrawn        Code = "version-withdrawn"
	VersionHalted           Code = "version-halted"
	SessionInvalid          Code = "session-invalid"
	SessionVersionWithdrawn Code = "session-version-withdrawn"
	BodyTooLarge            Code = "body-too-large"
	KeyRequired             Code = "idempotency-key-required"
	KeyReused               Code = "key-reused"
	KeyInProgress           Code = "key-in-progress"
	ClaimsUnavailable       Code = "claims-unavailable"
	ClaimUnknown            Code = "claim-unknown"
	ClaimFenced             Code = "claim-fenced"
	RateLimited             Code = "rate-limited"
	Overloaded              Code = "overloaded"
	DeadlineExceeded        Code = "deadline-exceeded"
	RequestTimeout          Code = "request-timeout"
	Cancelled               Code = "cancelled"
	NoUpstream              Code = "no-upstream"
	UpstreamFailed          Code = "upstream-failed"
	PromptQuarantined       Code = "prompt-quarantined"
	StreamBroken            Code = "stream-broken"
	UnknownAttempt          Code = "unknown-attempt"
	Draining                Code = "draining"
	NoDocument              Code = "no-document"
	StaleGeneration         Code = "stale-generation"
	AgentBehind             Code = "agent-behind"
	LedgerFull              Code = "ledger-full"
	FencingTokenOld         Code = "fencing-token-old"
	GenerationConflict      Code = "generation-conflict"
	TableUnavailable        Code = "table-unavailable"
	OutcomeUnknown          Code = "outcome-unknown"
	DocumentInvalid         Code = "document-invalid"
	DigestNotTried          Code = "digest-not-tried"
	NotFound                Code = "not-found"
	Internal                Code = "internal"
)

// Error is a refusal. As finds one in a chain of errors.
type Error struct {
	Code    Code
	Message string
	Ran     Ran
	// RetryAfter is the time after which the client should retry; 0 means that a retry
	// won't help or is not known to help.
	RetryAfter time.Duration
	// Generation is the generation in force at the refusing process; 0 if it is irrelevant.
	Generation ident.Generation
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Ran, e.Message)
}

// New returns a refusal with a formatted message.
func New(c Code, r Ran, format string, args ...any) *Error {
	return &Error{Code: c, Ran: r, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e with the given RetryAfter.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// As returns the first refusal in the chain of err, and false if there is none.
func As(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}

// FromError returns the refusal in err. If there is none, it returns a new refusal with
// the code Internal, the given Ran and the text of err.
func FromError(err error, r Ran) *Error {
	if e, ok := As(err); ok {
		return e
	}
	return New(Internal, r, "%v", err)
}

// ToWire converts e to its protobuf message. RetryAfter is truncated to milliseconds.
func ToWire(e *Error) *wire.Refusal {
	return &wire.Refusal{
		Code:         string(e.Code),
		Message:      e.Message,
		Ran:          ranToWire(e.Ran),
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		Generation:   uint64(e.Generation),
	}
}

// FromWire converts a protobuf message to a refusal. A value of Ran that it doesn't
// support becomes Unknown.
func FromWire(m *wire.Refusal) *Error {
	return &Error{
		Code:       Code(m.GetCode()),
		Message:    m.GetMessage(),
		Ran:        ranFromWire(m.GetRan()),
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
		Generation: ident.Generation(m.GetGeneration()),
	}
}

func ranToWire(r Ran) wire.Ran {
	switch r {
	case NotRun:
		return wire.Ran_RAN_NOT_RUN
	case DidRun:
		return wire.Ran_RAN_RAN
	default:
		return wire.Ran_RAN_UNKNOWN
	}
}

func ranFromWire(r wire.Ran) Ran {
	switch r {
	case wire.Ran_RAN_NOT_RUN:
		return NotRun
	case wire.Ran_RAN_RAN:
		return DidRun
	default:
		return Unknown
	}
}
