// Package refuse holds the typed refusals that every part returns to its caller.
//
// A refusal says whether the work ran. Only code that holds proof that the work
// did not run, and can't run later, may use NotRun.
package refuse

import (
	"errors"
	"fmt"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/wire"
)

// Ran says whether refused work ran.
type Ran string

// The values of Ran as callers see them.
const (
	NotRun  Ran = "not-run"
	DidRun  Ran = "ran"
	Unknown Ran = "unknown"
)

// Code is a machine-readable reason, in kebab case.
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

// Error is a refusal. It is matched with errors.As.
type Error struct {
	Code    Code
	Message string
	Ran     Ran
	// RetryAfter tells the client when to come back; 0 means that repeating won't help or is not known to.
	RetryAfter time.Duration
	// Generation is the generation in force at the refusing process; 0 if it does not matter.
	Generation ident.Generation
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Ran, e.Message)
}

// New returns a refusal with a formatted message.
func New(c Code, r Ran, format string, args ...any) *Error {
	return &Error{Code: c, Ran: r, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e with a time to retry after.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// As returns the refusal in err, if there is one.
func As(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}

// FromError returns the refusal in err, or an Internal one with the given Ran.
func FromError(err error, r Ran) *Error {
	if e, ok := As(err); ok {
		return e
	}
	return New(Internal, r, "%v", err)
}

// ToWire converts e to its message.
func ToWire(e *Error) *wire.Refusal {
	return &wire.Refusal{
		Code:         string(e.Code),
		Message:      e.Message,
		Ran:          ranToWire(e.Ran),
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		Generation:   uint64(e.Generation),
	}
}

// FromWire converts a message to a refusal.
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
