// Package claim stores claims in the table. A claim is the row of an idempotency key
// that a process writes before it sends a non-idempotent call, so that each such call
// is sent at most once.
package claim

import (
	"time"

	"tarragonvalve.example/core/ident"
)

// State is the state of a claim. A dispatched claim becomes done or not-run; a done
// claim never changes; a not-run claim may be dispatched again by a later attempt.
type State string

// The states of a claim. A key without a claim has no row.
const (
	// StateDispatched means that the call may have been sent and that no result is
	// recorded.
	StateDispatched State = "dispatched"
	// StateDone means that the result of the call is recorded.
	StateDone State = "done"
	// StateNotRun means that no process sent the call under an earlier revision of the
	// claim.
	StateNotRun State = "not-run"
)

// MaxResultBytes bounds the body of a recorded result. A larger body is not recorded.
const MaxResultBytes = 64 << 10

// Key identifies a call by its client account, its service and its idempotency key.
type Key struct {
	Account ident.AccountID
	Service ident.ServiceID
	// Idempotency is the value of the caller's Idempotency-Key header.
	Idempotency string
}

// CallDigest is the SHA-256 of a call's method, path with query, and body, in
// lower-case hex.
type CallDigest string

// Result is the recorded answer of a plain service.
type Result struct {
	StatusCode  int    `json:"status-code"`
	ContentType string `json:"content-type"`
	Body        []byte `json:"body"`
	// Truncated is true when the body was larger than MaxResultBytes and was not
	// recorded.
	Truncated bool `json:"truncated,omitempty"`
}

// Claim is a claim as it was last read from or written to the table.
type Claim struct {
	Key      Key              `json:"-"`
	Revision ident.Revision   `json:"-"`
	State    State            `json:"state"`
	Digest   CallDigest       `json:"digest"`
	Request  ident.RequestID  `json:"request-id"`
	Upstream ident.UpstreamID `json:"upstream,omitempty"`
	// At is when the call was dispatched, by the agent's clock.
	At     time.Time `json:"at,omitzero"`
	Result *Result   `json:"result,omitempty"`
}
