// Package envdoc holds the environment document: one INI text per environment
// that says which models and versions each client account may use, how traffic
// is shared, and what is rolled out or withdrawn.
package envdoc

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"tarragonvalve.example/core/ident"
)

// MaxBytes is the largest document: the table stores items of at most 400 KB.
const MaxBytes = 256 << 10

// Objective says what an account weighs most when plans are compared.
type Objective string

// The objectives.
const (
	ObjectiveCost    Objective = "cost"
	ObjectiveLatency Objective = "latency"
)

// OnWithdrawn says what happens to a session whose version is withdrawn or halted.
type OnWithdrawn string

// The behaviours of OnWithdrawn.
const (
	WithdrawnMove   OnWithdrawn = "move"
	WithdrawnRefuse OnWithdrawn = "refuse"
)

// VersionState is the state of a version in the document.
type VersionState string

// The states of a version.
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

	byKey map[KeyDigest]*Account
}

// Account is a client account: section "[account ID]".
type Account struct {
	ID         ident.AccountID
	KeyDigests []KeyDigest
	// Allowed lists the versions that the account may use.
	Allowed  map[ident.VersionRef]bool
	Services map[ident.ServiceID]bool
	// RequestsPerSecond and TokensPerSecond limit the account over all entries; 0 means no limit.
	RequestsPerSecond float64
	TokensPerSecond   float64
	// Weight is the account's part in fair queueing, at least 1.
	Weight        int
	Priority      int
	Objective     Objective
	QualityTarget float64
	OnWithdrawn   OnWithdrawn
}

// Model is a model: section "[model ID]". Shares hold the part of new sessions
// of each version without roll-outs and sum up to ident.FullShare. They are
// empty ("shares = none") for a model that takes no new sessions by itself.
type Model struct {
	ID     ident.ModelID
	Shares map[ident.VersionID]ident.Share
	// Fallback serves new sessions of a model without shares; zero for none.
	Fallback ident.VersionRef
	// Escalate names the model that a weak answer of this one escalates to; empty for none.
	Escalate ident.ModelID
}

// Version is a version of a model: section "[version MODEL@VERSION]".
type Version struct {
	Ref   ident.VersionRef
	State VersionState
	// InputPrice and OutputPrice are for one token.
	InputPrice  ident.MicroCents
	OutputPrice ident.MicroCents
	// QualityPrior is the operator's estimate of the part of answers rated good, from 0 to 1.
	QualityPrior float64
	// Fallback serves when this version is withdrawn or halted; zero for none.
	Fallback ident.VersionRef
	// HaltsClearedAt voids halts made in this generation or an earlier one.
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
	// Steps are the shares of To, rising.
	Steps []ident.Share
	// StepTime is how long a step lasts at least.
	StepTime time.Duration
	// ExposureBound is the largest number of distinct callers' sessions that To may serve before the last step.
	ExposureBound int
	// MinSamples is the number of answers of To that a step needs before the next.
	MinSamples int
	// FalseAlarmRate is the probability of halting a version that is as good as From.
	FalseAlarmRate float64
}

// SameProgression reports whether two definitions move the same sessions in the same
// steps, so that progress in one holds in the other.
func (r *Rollout) SameProgression(o *Rollout) bool {
	return r.ID == o.ID && r.Model == o.Model && r.From == o.From && r.To == o.To && slices.Equal(r.Steps, o.Steps)
}

// Service is a plain service: section "[service ID]".
type Service struct {
	ID ident.ServiceID
	// Calls are matched in order; a call that matches none is refused.
	Calls []CallRule
	// Price is for one call that ran.
	Price ident.MicroCents
}

// CallRule says whether calls of a method and path may be repeated.
// PathPrefix matches the path after /v1/services/SERVICE.
type CallRule struct {
	Method     string
	PathPrefix string
	Repeatable bool
	// Hedge allows a second, parallel call when the first is late; only with Repeatable.
	Hedge bool
}

// UpstreamKind is a kind of upstream: section "[upstream-kind ID]".
type UpstreamKind struct {
	ID ident.KindID
	// ChecksFencing is true where the engine itself refuses an old fencing token.
	ChecksFencing bool
}

// AccountByKey returns the account that a caller's key belongs to.
func (d *Document) AccountByKey(key string) (*Account, bool) {
	a, ok := d.byKey[KeyDigestOf(key)]
	return a, ok
}

// Withdrawn reports whether the document withdraws a version or does not know it.
func (d *Document) Withdrawn(r ident.VersionRef) bool {
	v, ok := d.Versions[r]
	return !ok || v.State == StateWithdrawn
}

// Allows reports whether an account may use a version.
func (d *Document) Allows(a ident.AccountID, r ident.VersionRef) bool {
	c, ok := d.Accounts[a]
	return ok && c.Allowed[r]
}
