// Package relay answers chat completions. It pins sessions to versions, gets a plan
// of one or two models, chooses upstreams, checks the frames of each attempt,
// resumes broken streams, escalates weak answers to the next model, retries, and
// adds receipts.
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
	"tarragonvalve.example/core/late"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/token"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/agents"
	"tarragonvalve.example/entry/policy"
)

// Chat is one chat completion request of a caller.
type Chat struct {
	ID      ident.RequestID
	Account ident.AccountID
	Task    ident.TaskID
	// Model is a model, MODEL@VERSION or "auto".
	Model string
	// Session is the caller's session token; it is empty or NewSession for a new session.
	Session  string
	Messages []*wire.Message
	// MaxTokens bounds the output in tokens.
	MaxTokens   uint32
	Temperature float64
	// Streaming is true when text is sent to the caller as it arrives.
	Streaming bool
	Deadline  time.Time
}

// Head holds the data of an answer that the caller gets before its text.
type Head struct {
	// Session is the signed token that pins the session to Version.
	Session string
	Version ident.VersionRef
	// Moved is true when the session left a withdrawn or halted version.
	Moved bool
	// Final is false while another version of a cascade may still answer.
	Final bool
}

// NewSession in place of a session token starts a session whose first turn gets no
// cascade, so that a version that meets the account's target alone is pinned.
const NewSession = "new"

// Sink receives an answer.
type Sink interface {
	// SetHead is called before the first Text, and again when the plan changes
	// before any text was relayed or the head becomes final.
	SetHead(h Head)
	// Text passes on the next piece of text. An error ends the request.
	Text(s string) error
}

// Answer describes a complete answer, whose text went to the sink.
type Answer struct {
	Head
	FinishReason string
	Input        ident.Tokens
	// Cached is the part of Input that the engine had in its prefix cache.
	Cached ident.Tokens
	Output ident.Tokens
}

// Decider makes the routing decisions; policy.Controller implements it.
type Decider interface {
	// Plan chooses the models for a request, or returns a *refuse.Error.
	Plan(ctx context.Context, q policy.Query) (policy.Decision, error)
	// Retry takes one retry from the budget. It returns false when none is left.
	Retry(ctx context.Context) bool
	// Observe records the outcome of an attempt.
	Observe(o policy.Outcome)
}

// PickInfo describes an attempt for which an upstream is chosen.
type PickInfo struct {
	Version ident.VersionRef
	// Input and Output are the expected tokens.
	Input  ident.Tokens
	Output ident.Tokens
	// Prefixes are the hashes of the prompt's prefixes, the longest first.
	Prefixes []uint64
	// Seed decides the random part of the choice.
	Seed    uint64
	Account *envdoc.Account
	// Exclude holds the upstreams that were tried already.
	Exclude []ident.UpstreamID
}

// Fleet chooses upstreams and records how attempts ended; fleet.Fleet implements it.
type Fleet interface {
	// Pick returns the link to an upstream, or false when none can serve the version.
	Pick(p PickInfo) (*agents.Link, bool)
	// Ended reports an attempt to outlier detection.
	Ended(u ident.UpstreamID, ok bool)
}

// Control provides the current environment document and generation.
type Control interface {
	View() *spread.View
}

// Ledger buffers receipts until they are stored.
type Ledger interface {
	// Add returns an error when the buffer can't take the receipt.
	Add(r ledger.Receipt) error
	// Full reports that no new chargeable request may start.
	Full() bool
}

// Signer signs and verifies session tokens.
type Signer interface {
	Sign(c token.Claims) string
	Verify(t string) (token.Claims, error)
}

// Sample is a complete answer that may be rated.
type Sample struct {
	Chat    Chat
	Version ident.VersionRef
	// EscalatedFrom is the version whose weak or failed answer this one replaces; zero for a
	// first answer.
	EscalatedFrom ident.VersionRef
	// Logprob is the mean token log-probability of the answer.
	Logprob float64
}

// Options are the dependencies and bounds of a Relay.
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
	// IsolationLimit is the time without contact to the table or a peer after which
	// no session starts on a version in roll-out; 0 means no limit.
	IsolationLimit time.Duration
	// LastContact returns when the table or a peer last answered.
	LastContact func() time.Time
	// Sample, which may be nil, is called with every complete answer that may be
	// rated. It must not block.
	Sample func(s Sample)
	// Late returns how late the work of this process runs. What agents sent while the process did not run is read before
	// their streams count as silent.
	Late late.Func
}

// Counters holds the metrics of requests and frames.
type Counters struct {
	Requests    atomic.Uint64
	Refused     atomic.Uint64
	Attempts    atomic.Uint64
	Retries     atomic.Uint64
	Resumes     atomic.Uint64
	Escalations atomic.Uint64
	// Broken counts streams that ended with stream-broken after some text.
	Broken atomic.Uint64
	// Crossed counts frames of another request or attempt, Late those at an
	// earlier position and Gaps those at a later position than expected.
	Crossed atomic.Uint64
	Late    atomic.Uint64
	Gaps    atomic.Uint64
	// CatchUps counts plans made again after an exchange of state with an agent.
	CatchUps atomic.Uint64
	// ReceiptsLost counts receipts that the ledger did not take.
	ReceiptsLost atomic.Uint64
}

// Relay answers requests. It is safe for concurrent use.
type Relay struct {
	o     Options
	count Counters
	// cleanups waits for goroutines that cancel attempts of ended requests.
	cleanups sync.WaitGroup
}

// New returns a relay.
func New(o Options) *Relay {
	return &Relay{o: o}
}

// Counters returns the metrics, which stay live.
func (r *Relay) Counters() *Counters {
	return &r.count
}

// Wait waits until no goroutine still cancels attempts of ended requests, or until
// ctx ends.
func (r *Relay) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		r.cleanups.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// record records an event of a request.
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
