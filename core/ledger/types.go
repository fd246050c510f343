// Package ledger keeps receipts until they are stored in the table and folds
// stored receipts into a bill that counts each request once.
package ledger

import (
	"time"

	"tarragonvalve.example/core/ident"
)

// Role says what a receipt is for.
type Role string

// The roles of a receipt.
const (
	// RoleBill is the entry's receipt for the answer that the caller got.
	RoleBill Role = "bill"
	// RoleAttempt is the agent's receipt for one attempt that ran.
	RoleAttempt Role = "attempt"
)

// Outcome says how a request or attempt ended.
type Outcome string

// The outcomes of a receipt.
const (
	OutcomeComplete  Outcome = "complete"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeBroken    Outcome = "broken"
	OutcomeFailed    Outcome = "failed"
)

// Receipt records the use of one request or attempt.
type Receipt struct {
	Request ident.RequestID `json:"request-id"`
	Role    Role            `json:"role"`
	Attempt ident.Attempt   `json:"attempt"`
	Account ident.AccountID `json:"account"`
	Session ident.SessionID `json:"session,omitempty"`
	// Version or Service is set.
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

// ID identifies a receipt. A doubled receipt has the same one.
type ID struct {
	Request ident.RequestID
	Role    Role
	Attempt ident.Attempt
}

// ID returns the receipt's id.
func (r *Receipt) ID() ID {
	return ID{Request: r.Request, Role: r.Role, Attempt: r.Attempt}
}
