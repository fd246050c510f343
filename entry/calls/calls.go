// Package calls runs plain-service calls: repeatable ones with retries and
// hedges, others at most once under a claim.
package calls

import (
	"context"
	"errors"
	"hash/fnv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/claim"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/agents"
	"tarragonvalve.example/entry/retry"
)

const (
	// maxTries bounds the agents tried for one call.
	maxTries = 5
	// retryLater is the time after which a caller may come back when no agent is left.
	retryLater = time.Second
	// fenceLimit bounds the write that fences an agent and the reads around it.
	// A keyed call reserves it at the end of its time, so that the answer can be truthful.
	fenceLimit = 1500 * time.Millisecond
	// maxHedgeDelays bounds the call rules whose latency is tracked.
	maxHedgeDelays = 1024
)

// Call is one plain-service call as the caller made it.
type Call struct {
	ID      ident.RequestID
	Account ident.AccountID
	Service ident.ServiceID
	Method  string
	// Path is the decoded path after /v1/services/SERVICE, Target the path and query as they are sent.
	Path        string
	Target      string
	ContentType string
	Body        []byte
	// Key is the Idempotency-Key, empty for none.
	Key      string
	Deadline time.Time
}

// Reply is the service's answer.
type Reply struct {
	StatusCode  int
	ContentType string
	Body        []byte
	// Replayed is true when an earlier call with the same key recorded the result.
	Replayed bool
}

// Fleet chooses upstreams and learns how calls ended.
type Fleet interface {
	PickService(s ident.ServiceID, seed uint64, exclude []ident.UpstreamID) (*agents.Link, bool)
	Ended(u ident.UpstreamID, ok bool)
}

// Control is the part of spread.Node that calls read.
type Control interface {
	View() *spread.View
}

// Ledger takes receipts.
type Ledger interface {
	Add(r ledger.Receipt) error
	Full() bool
}

// Claims is the part of claim.Book that an entry uses. Only agents dispatch.
type Claims interface {
	Read(ctx context.Context, k claim.Key) (*claim.Claim, error)
	MarkNotRun(ctx context.Context, k claim.Key, m claim.NotRunMark) (*claim.Claim, error)
}

// Budget is the retry budget of the entry; policy.Controller implements it.
type Budget interface {
	// Retry reports whether the budget has a retry or hedge left, and spends it.
	Retry(ctx context.Context) bool
}

// Options are the parts that calls work with.
type Options struct {
	Instance ident.InstanceID
	Control  Control
	Fleet    Fleet
	Claims   Claims
	Ledger   Ledger
	Budget   Budget
	Ring     *event.Ring
	Log      zerolog.Logger
	Now      func() time.Time
	// MaxTimeout is the longest time that a caller may allow for a call.
	MaxTimeout time.Duration
}

// Counters count what happened to calls.
type Counters struct {
	Calls       atomic.Uint64
	Refused     atomic.Uint64
	Retries     atomic.Uint64
	Hedges      atomic.Uint64
	Fenced      atomic.Uint64
	Replayed    atomic.Uint64
	Unknown     atomic.Uint64
	LedgerDrops atomic.Uint64
}

// Desk runs plain-service calls. It is safe for concurrent use.
type Desk struct {
	o     Options
	count Counters

	mu     sync.Mutex
	delays map[hedgeKey]retry.HedgeDelay
}

type hedgeKey struct {
	service ident.ServiceID
	rule    int
}

// New returns a desk.
func New(o Options) *Desk {
	return &Desk{o: o, delays: map[hedgeKey]retry.HedgeDelay{}}
}

// Counters returns the desk's counters.
func (d *Desk) Counters() *Counters { return &d.count }

// job is the state of one call.
type job struct {
	Call
	view     *spread.View
	service  *envdoc.Service
	rule     envdoc.CallRule
	index    int
	attempts atomic.Uint32
}

// Call runs one call. Every error that it returns holds a *refuse.Error.
func (d *Desk) Call(ctx context.Context, c Call) (*Reply, error) {
	d.count.Calls.Add(1)
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	j := &job{Call: c}
	r, err := d.run(ctx, j)
	if err == nil {
		if r.Replayed {
			d.count.Replayed.Add(1)
		}
		d.record(event.RequestEnded, j, nil)
		return r, nil
	}
	e := refuse.From(err, refuse.Unknown)
	d.count.Refused.Add(1)
	if e.Ran == refuse.Unknown {
		d.count.Unknown.Add(1)
	}
	d.record(event.RequestRefused, j, map[string]string{"code": string(e.Code), "ran": string(e.Ran)})
	return nil, e
}

func (d *Desk) run(ctx context.Context, j *job) (*Reply, error) {
	if err := d.match(j); err != nil {
		return nil, err
	}
	if d.o.Ledger.Full() {
		return nil, refuse.New(refuse.LedgerFull, refuse.NotRun, "too many receipts wait for the table").After(retryLater)
	}
	if !j.rule.Repeatable {
		return d.once(ctx, j)
	}
	return d.repeatable(ctx, j)
}

// match finds the rule of a call under the document in force now.
func (d *Desk) match(j *job) error {
	j.view = d.o.Control.View()
	doc := j.view.Document()
	if doc == nil {
		return refuse.New(refuse.NoDocument, refuse.NotRun, "no environment document was found yet").After(retryLater)
	}
	s, ok := doc.Services[j.Service]
	if !ok {
		return refuse.New(refuse.ServiceUnknown, refuse.NotRun, "service %q does not exist", j.Service)
	}
	a, ok := doc.Accounts[j.Account]
	if !ok || !a.Services[j.Service] {
		return refuse.New(refuse.ServiceNotAllowed, refuse.NotRun, "the account may not use service %q", j.Service)
	}
	j.service = s
	for i, r := range s.Calls {
		if r.Method == j.Method && strings.HasPrefix(j.Path, r.PathPrefix) {
			j.rule = r
			j.index = i
			if !r.Repeatable && j.Key == "" {
				return refuse.New(refuse.KeyRequired, refuse.NotRun, "this call must carry the header Idempotency-Key")
			}
			return nil
		}
	}
	return refuse.New(refuse.ServiceNotAllowed, refuse.NotRun, "service %q has no call %s with this path", j.Service, j.Method)
}

func (d *Desk) pick(j *job, tried []ident.UpstreamID) (*agents.Link, bool) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(j.ID))
	_, _ = h.Write([]byte{byte(j.attempts.Load())})
	return d.o.Fleet.PickService(j.Service, h.Sum64(), tried)
}

// send makes one attempt at one agent. The error is a *refuse.Error from the
// agent, or that of the connection, which leaves open whether the call ran.
func (d *Desk) send(ctx context.Context, j *job, l *agents.Link, revision ident.Revision) (*wire.CallResult, error) {
	done := l.Begin(0)
	defer done()
	c, err := l.Conn()
	if err != nil {
		return nil, refuse.New(refuse.UpstreamFailed, refuse.NotRun, "the link has ended")
	}
	n := j.attempts.Add(1)
	d.record(event.AttemptStarted, j, map[string]string{"upstream": string(l.Upstream())})
	t, _ := ctx.Deadline()
	left := t.Sub(d.o.Now())
	r, err := c.Agent.Call(ctx, &wire.CallRequest{
		RequestId:      string(j.ID),
		Attempt:        n,
		Account:        string(j.Account),
		Service:        string(j.Service),
		Method:         j.Method,
		Path:           j.Target,
		ContentType:    j.ContentType,
		Body:           j.Body,
		IdempotencyKey: j.Key,
		Repeatable:     j.rule.Repeatable,
		ClaimRevision:  uint64(revision),
		TimeoutMs:      max(left.Milliseconds(), 1),
		Generation:     uint64(j.view.Generation()),
		Clock:          uint64(d.o.Ring.Clock().Next()),
		Entry:          string(d.o.Instance),
	})
	if err != nil {
		if ctx.Err() == nil {
			d.o.Fleet.Ended(l.Upstream(), false)
		}
		return nil, err
	}
	l.Observe(r.GetStatus(), d.o.Now())
	switch b := r.GetBody().(type) {
	case *wire.CallReply_Result:
		d.o.Fleet.Ended(l.Upstream(), true)
		return b.Result, nil
	case *wire.CallReply_Refusal:
		return nil, refuse.FromWire(b.Refusal)
	default:
		return nil, errors.New("the agent's reply is empty")
	}
}

// caught reports whether a refusal is about generations, and whether both sides agree now.
func (d *Desk) caught(ctx context.Context, j *job, l *agents.Link, e *refuse.Error) bool {
	if e.Ran != refuse.NotRun || e.Code != refuse.StaleGeneration && e.Code != refuse.AgentBehind {
		return false
	}
	if l.CatchUp(ctx) != nil {
		return false
	}
	return d.match(j) == nil
}

func reply(r *wire.CallResult) *Reply {
	return &Reply{
		StatusCode:  int(r.GetStatusCode()),
		ContentType: r.GetContentType(),
		Body:        r.GetBody(),
		Replayed:    r.GetReplayed(),
	}
}

// bill adds the receipt of a call that ran.
func (d *Desk) bill(j *job, u ident.UpstreamID, attempt uint32) {
	err := d.o.Ledger.Add(ledger.Receipt{
		Request:  j.ID,
		Role:     ledger.RoleBill,
		Attempt:  ident.Attempt(attempt),
		Account:  j.Account,
		Service:  j.Service,
		Price:    j.service.Price,
		Direct:   true,
		Outcome:  ledger.OutcomeComplete,
		Instance: d.o.Instance,
		Upstream: u,
		At:       d.o.Now(),
	})
	if err != nil {
		d.count.LedgerDrops.Add(1)
		d.o.Log.Error().Err(err).Str("request", string(j.ID)).Msg("receipt was not kept")
	}
}

func (d *Desk) record(k event.Kind, j *job, f map[string]string) {
	d.o.Ring.Record(event.Event{Kind: k, Request: j.ID, Account: j.Account, Fields: f})
}
