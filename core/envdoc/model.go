// Package envdoc parses, validates, compares and edits the environment document:
// one INI text per environment that defines the client accounts and the models,
// versions and services that each may use, how traffic is split between versions,
// and which versions are rolled out or withdrawn.
package envdoc

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"tarragonvalve.example/core/ident"
)

// MaxBytes is the maximum size of a document in bytes. The table, which stores
// documents, limits an item to 400 KB.
const MaxBytes = 256 << 10

// Objective is what an account optimizes for when plans for a request are compared.
type Objective string

// The values of Objective.
const (
	ObjectiveCost    Objective = "cost"
	ObjectiveLatency Objective = "latency"
)

// OnWithdrawn is how a session continues whose version is withdrawn or halted.
type OnWithdrawn string

// The values of OnWithdrawn.
const (
	// WithdrawnMove moves the session to another version.
	WithdrawnMove OnWithdrawn = "move"
	// WithdrawnRefuse refuses further requests of the session.
	WithdrawnRefuse OnWithdrawn = "refuse"
)

// VersionState is the state of a version in the document.
type VersionState string

// The values of VersionState.
const (
	StateLive      VersionState = "live"
	StateWithdrawn VersionState = "withdrawn"
)

// Digest is the SHA-256 of a document's bytes, in lower-case hex.
type Digest string

// DigestOf returns the digest of a document's bytes.
func DigestOf(b []byte) Digest {
	s := sha256.Sum256(b)
	return Digest(hex.EncodeToString(s[:]))
}

// KeyDigest is the SHA-256 of a caller's or operator's key, in lower-case hex.
type KeyDigest string

// KeyDigestOf returns the digest of a key.
func KeyDigestOf(key string) KeyDigest {
	s := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(s[:]))
}

// Document is a parsed and validated environment document. It is immutable.
type Document struct {
	Name     string
	Digest   Digest
	Raw      []byte
	Accounts map[ident.AccountID]*Account
	Models   map[ident.ModelID]*Model
	Versions map[ident.VersionRef]*Version
	Rollouts map[ident.RolloutID]*Rollout
	Services map[ident.ServiceID]*Service
	Kinds    map[ident.KindID]*UpstreamKind

	// byKey holds the account of each key digest.
	byKey map[KeyDigest]*Account
}

// Account is a client account: section "[account ID]".
type Account struct {
	ID         ident.AccountID
	KeyDigests []KeyDigest
	// Allowed holds the versions that the account may use.
	Allowed map[ident.VersionRef]bool
	// Services holds the plain services that the account may call.
	Services map[ident.ServiceID]bool
	// RequestsPerSecond and TokensPerSecond limit the account over all entries; 0 means no limit.
	RequestsPerSecond float64
	TokensPerSecond   float64
	// Weight is the account's weight in fair queueing, from 1 to 1000.
	Weight int
	// Priority is passed on with each request, from -100 to 100; a higher one is served first.
	Priority  int
	Objective Objective
	// QualityTarget is the fraction of answers that should be good, from 0 to 1.
	QualityTarget float64
	OnWithdrawn   OnWithdrawn
}

// Model is a model: section "[model ID]".
type Model struct {
	ID ident.ModelID
	// Shares holds the fraction of new sessions that each version gets when no
	// roll-out changes it. The shares sum to ident.FullShare, or there are none
	// ("shares = none") if no version of the model takes new sessions.
	Shares map[ident.VersionID]ident.Share
	// Fallback serves the new sessions of a model without shares; zero for none.
	Fallback ident.VersionRef
	// Escalate is the model that a request is escalated to after a weak answer of this one; empty for none.
	Escalate ident.ModelID
}

// Version is a version of a model: section "[version MODEL@VERSION]".
type Version struct {
	Ref   ident.VersionRef
	State VersionState
	// InputPrice and OutputPrice are prices per token.
	InputPrice  ident.MicroCents
	OutputPrice ident.MicroCents
	// QualityPrior is the operator's estimate of the fraction of answers that are rated good, from 0 to 1.
	QualityPrior float64
	// Fallback is the version that replaces this one when it is withdrawn or halted; zero for none.
	Fallback ident.VersionRef
	// HaltsClearedAt clears the halts of the version that were made in this generation or an earlier one.
	HaltsClearedAt ident.Generation
	// CancelRunning also cancels running streams when the version is withdrawn.
	CancelRunning bool
}

// Rollout moves new sessions of a model from one version to another: section "[rollout ID]".
type Rollout struct {
	ID    ident.RolloutID
	Model ident.ModelID
	From  ident.VersionID
	To    ident.VersionID
	// Steps holds the share of To in each step, in ascending order.
	Steps []ident.Share
	// StepTime is the minimum duration of a step.
	StepTime time.Duration
	// ExposureBound is the maximum number of distinct callers' sessions that To may serve before the last step.
	ExposureBound int
	// MinSamples is the minimum number of answers of To in a step before the next step starts.
	MinSamples int
	// FalseAlarmRate is the probability of halting a version that is as good as From.
	FalseAlarmRate float64
}

// SameProgression reports whether two definitions of a roll-out move the same sessions
// in the same steps, so that the step reached under one also holds under the other.
func (r *Rollout) SameProgression(o *Rollout) bool {
	return r.ID == o.ID && r.Model == o.Model && r.From == o.From && r.To == o.To && slices.Equal(r.Steps, o.Steps)
}

// Service is a plain service: section "[service ID]".
type Service struct {
	ID ident.ServiceID
	// Calls holds the rules in the order in which they are matched; a call that matches none is refused.
	Calls []CallRule
	// Price is the price of a call that ran.
	Price ident.MicroCents
}

// CallRule allows calls of a method and path prefix and states whether they may be repeated.
type CallRule struct {
	Method string
	// PathPrefix matches the path after /v1/services/SERVICE, by whole segments.
	PathPrefix string
	Repeatable bool
	// Hedge allows a second call in parallel when the first one is slow; it requires Repeatable.
	Hedge bool
}

// UpstreamKind is a kind of upstream: section "[upstream-kind ID]".
type UpstreamKind struct {
	ID ident.KindID
	// ChecksFencing is true if the engine itself refuses requests with an old fencing token.
	ChecksFencing bool
}

// AccountByKey returns the account that a caller's key belongs to, and false if there is none.
func (d *Document) AccountByKey(key string) (*Account, bool) {
	a, ok := d.byKey[KeyDigestOf(key)]
	return a, ok
}

// Withdrawn reports whether a version is withdrawn or missing in the document.
func (d *Document) Withdrawn(r ident.VersionRef) bool {
	v, ok := d.Versions[r]
	return !ok || v.State == StateWithdrawn
}

// Allows reports whether an account may use a version. An account that the document
// does not define may use none.
func (d *Document) Allows(a ident.AccountID, r ident.VersionRef) bool {
	c, ok := d.Accounts[a]
	return ok && c.Allowed[r]
}
