// Package ledger buffers receipts until they are stored in the table, and computes
// bills from stored receipts, in which each request counts once.
package ledger

import (
	"time"

	"tarragonvalve.example/core/ident"
)

// Role tells the receipt of a request from the receipt of one of its attempts.
type Role string

// The roles of a receipt.
const (
	// RoleBill is the entry's receipt for the answer that the caller got.
	RoleBill Role = "bill"
	// RoleAttempt is the receipt for one attempt that ran: the agent's, or the entry's
	// for an answer that it replaced by a better model's.
	RoleAttempt Role = "attempt"
)

// Outcome is how a request or attempt ended.
type Outcome string

// The outcomes of a receipt.
const (
	// OutcomeComplete means that the upstream completed its answer.
	OutcomeComplete Outcome = "complete"
	// OutcomeCancelled means that the caller, the deadline or a shutdown ended a model
	// request.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeBroken means that the answer broke off after a part of it.
	OutcomeBroken Outcome = "broken"
	// OutcomeFailed means that there was no answer.
	OutcomeFailed Outcome = "failed"
)

// Receipt records the tokens, price and outcome of one request or attempt.
type Receipt struct {
	Request ident.RequestID `json:"request-id"`
	Role    Role            `json:"role"`
	Attempt ident.Attempt   `json:"attempt"`
	Account ident.AccountID `json:"account"`
	Session ident.SessionID `json:"session,omitempty"`
	// Version is set for a model request, Service for a call of a plain service.
	Version ident.VersionRef `json:"version,omitzero"`
	Service ident.ServiceID  `json:"service,omitempty"`
	Input   ident.Tokens     `json:"input-tokens"`
	Output  ident.Tokens     `json:"output-tokens"`
	Price   ident.MicroCents `json:"price-micro-cents"`
	// Direct is true for an attempt whose output went straight to the caller.
	Direct   bool             `json:"direct"`
	Outcome  Outcome          `json:"outcome"`
	Instance ident.InstanceID `json:"instance"`
	Upstream ident.UpstreamID `json:"upstream,omitempty"`
	At       time.Time        `json:"at"`
}

// ID identifies a receipt. Repeats of a receipt have the same ID.
type ID struct {
	Request ident.RequestID
	Role    Role
	Attempt ident.Attempt
}

// ID returns the receipt's id.
func (r *Receipt) ID() ID {
	return ID{Request: r.Request, Role: r.Role, Attempt: r.Attempt}
}
