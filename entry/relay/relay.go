// Package relay drives one model request: session pin, plan, upstream choice,
// attempts, frame checks, resume, escalation, retries and receipts.
package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/token"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/agents"
	"tarragonvalve.example/entry/policy"
)

// Chat is one chat completion as the caller asked for it.
type Chat struct {
	ID      ident.RequestID
	Account ident.AccountID
	Task    ident.TaskID
	// Model is a model, MODEL@VERSION or "auto".
	Model string
	// Session is the caller's session token, empty for a new session.
	Session     string
	Messages    []*wire.Message
	MaxTokens   uint32
	Temperature float64
	Streaming   bool
	Deadline    time.Time
}

// Head is what is known of an answer before its first text.
type Head struct {
	// Session is the signed token that pins the session.
	Session string
	Version ident.VersionRef
	// Moved is true when the session left a withdrawn or halted version.
	Moved bool
	// Settled is false while another version may still answer.
	Settled bool
}

// NewSession in place of a session token starts a session whose first turn gets no
// cascade, so that a version that meets the account's target alone is pinned.
const NewSession = "new"

// Sink receives the answer. Planned comes before the first Text and may come
// again when the plan changes before any text was relayed.
type Sink interface {
	Planned(h Head)
	Text(s string) error
}

// Answer is a complete answer. Its text went to the sink.
type Answer struct {
	Head
	FinishReason string
	Input        ident.Tokens
	Cached       ident.Tokens
	Output       ident.Tokens
}

// Decider takes the routing decisions; policy.Controller implements it.
type Decider interface {
	Plan(ctx context.Context, q policy.Query) (policy.Decision, error)
	// Retry reports whether the budget has a retry left, and spends it.
	Retry(ctx context.Context) bool
	Observe(o policy.Outcome)
}

// PickInfo describes an attempt that needs an upstream.
type PickInfo struct {
	Version  ident.VersionRef
	Input    ident.Tokens
	Output   ident.Tokens
	Prefixes []uint64
	Seed     uint64
	Account  *envdoc.Account
	Exclude  []ident.UpstreamID
}

// Fleet chooses upstreams and learns how attempts ended.
type Fleet interface {
	Pick(p PickInfo) (*agents.Link, bool)
	Ended(u ident.UpstreamID, ok bool)
}

// Control is the part of spread.Replica that the relay reads.
type Control interface {
	View() *spread.View
}

// Ledger takes receipts.
type Ledger interface {
	Add(r ledger.Receipt) error
	Full() bool
}

// Signer signs and verifies session tokens.
type Signer interface {
	Sign(c token.Claims) string
	Verify(t string) (token.Claims, error)
}

// Sample is a whole answer that may be rated.
type Sample struct {
	Chat    Chat
	Version ident.VersionRef
	// After is the version whose weak answer this one replaces; zero for a first answer.
	After   ident.VersionRef
	Logprob float64
}

// Options are the parts that a relay works with.
type Options struct {
	Instance ident.InstanceID
	Control  Control
	Fleet    Fleet
	Decider  Decider
	Signer   Signer
	Ledger   Ledger
	Ring     *event.Ring
	Log      zerolog.Logger
	Now      func() time.Time
	// IsolationLimit is the time without confirmation by table or peers after
	// which no session starts on a version in roll-out.
	IsolationLimit time.Duration
	// Contact returns when the table or a peer last answered.
	Contact func() time.Time
	// Sample learns of every whole answer that may be rated; it must not block.
	Sample func(s Sample)
}

// Counters count what happened to requests and frames.
type Counters struct {
	Requests    atomic.Uint64
	Refused     atomic.Uint64
	Attempts    atomic.Uint64
	Retries     atomic.Uint64
	Resumes     atomic.Uint64
	Escalations atomic.Uint64
	Broken      atomic.Uint64
	// Crossed counts frames of another request or attempt, Late those at an
	// earlier position and Gaps those at a later position than expected.
	Crossed     atomic.Uint64
	Late        atomic.Uint64
	Gaps        atomic.Uint64
	Catches     atomic.Uint64
	LedgerDrops atomic.Uint64
}

// Relay drives requests. It is safe for concurrent use.
type Relay struct {
	o     Options
	count Counters
	side  sync.WaitGroup
}

// New returns a relay.
func New(o Options) *Relay {
	return &Relay{o: o}
}

// Counters returns the relay's counters.
func (r *Relay) Counters() *Counters {
	return &r.count
}

// Wait returns when no clean-up of an ended request is running, or the context ends.
func (r *Relay) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		r.side.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (r *Relay) record(k event.Kind, q *request, fields map[string]string) {
	r.o.Ring.Record(event.Event{
		Kind:    k,
		Request: q.ID,
		Session: q.session,
		Account: q.Account,
		Version: q.version,
		Fields:  fields,
	})
}
