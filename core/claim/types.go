// Package claim keeps claims of keyed non-idempotent calls in the table, so that
// each such call is dispatched at most once.
package claim

import (
	"time"

	"tarragonvalve.example/core/ident"
)

// State is the state of a claim. It only moves forward, except that a call
// marked not-run may be dispatched by a later attempt.
type State string

// The states of a claim; a claim that was never made has no row.
const (
	StateDispatched State = "dispatched"
	StateDone       State = "done"
	StateNotRun     State = "not-run"
)

// MaxResultBytes is the largest recorded result.
const MaxResultBytes = 64 << 10

// Key names one keyed call.
type Key struct {
	Account ident.AccountID
	Service ident.ServiceID
	// Idempotency is the caller's Idempotency-Key.
	Idempotency string
}

// BodyDigest is the SHA-256 of method, path and body, in lower-case hex.
type BodyDigest string

// Result is a recorded answer of a plain service.
type Result struct {
	StatusCode  int    `json:"status-code"`
	ContentType string `json:"content-type"`
	Body        []byte `json:"body"`
	// Truncated is true when the body was larger than MaxResultBytes and was not kept.
	Truncated bool `json:"truncated,omitempty"`
}

// Claim is a claim as it stands in the table.
type Claim struct {
	Key      Key              `json:"-"`
	Revision ident.Revision   `json:"-"`
	State    State            `json:"state"`
	Digest   BodyDigest       `json:"digest"`
	Request  ident.RequestID  `json:"request-id"`
	Upstream ident.UpstreamID `json:"upstream,omitempty"`
	// At is when the call was dispatched, by the agent's clock.
	At     time.Time `json:"at,omitzero"`
	Result *Result   `json:"result,omitempty"`
}
