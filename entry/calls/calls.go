// Package calls runs calls of plain services. A repeatable call is retried and
// hedged. Any other call needs an idempotency key and runs at most once: the
// agent that sends it first writes a claim on the key to the table.
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
	// maxAttempts bounds the attempts of one call. A hedge counts with the attempt that it doubles.
	maxAttempts = 5
	// retryAfter is the retry-after time of refusals that may be temporary.
	retryAfter = time.Second
	// fenceTimeout bounds the claim write that fences an agent and the reads that
	// follow it. A keyed call reserves this time before its deadline, so that the
	// refusal can say whether the call ran.
	fenceTimeout = 1500 * time.Millisecond
	// maxHedgeDelays bounds the call rules whose latency is tracked; the tracker
	// starts empty again when one more rule would exceed it.
	maxHedgeDelays = 1024
)

// Call is one plain-service call as the caller sent it.
type Call struct {
	ID      ident.RequestID
	Account ident.AccountID
	Service ident.ServiceID
	Method  string
	// Path is the decoded path after /v1/services/SERVICE, which call rules match.
	Path string
	// Target is the escaped path and query that are sent to the upstream.
	Target      string
	ContentType string
	Body        []byte
	// Key is the value of the Idempotency-Key header, empty for none.
	Key      string
	Deadline time.Time
}

// Reply is the response of the service.
type Reply struct {
	StatusCode  int
	ContentType string
	Body        []byte
	// Replayed is true when the response is the recorded result of an earlier call
	// with the same key.
	Replayed bool
}

// Fleet chooses upstreams and records how attempts ended; fleet.Fleet implements it.
type Fleet interface {
	// PickService chooses an upstream of a service; the seed decides the random
	// part of the choice. It returns false when no upstream can take a call.
	PickService(s ident.ServiceID, seed uint64, exclude []ident.UpstreamID) (*agents.Link, bool)
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
	// Full reports that no new chargeable call may start.
	Full() bool
}

// Claims is the part of claim.Store that an entry uses. Only agents write the
// claim that permits sending a call.
type Claims interface {
	Read(ctx context.Context, k claim.Key) (*claim.Claim, error)
	MarkNotRun(ctx context.Context, k claim.Key, m claim.NotRunMark) (*claim.Claim, error)
}

// Budget is the retry budget of this entry; policy.Controller implements it.
type Budget interface {
	// Retry takes one retry or hedge from the budget. It returns false when none is left.
	Retry(ctx context.Context) bool
}

// Options are the dependencies and bounds of an Executor.
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
	// MaxTimeout is the longest timeout that a caller may set for a call.
	MaxTimeout time.Duration
}

// Counters holds the metrics of plain-service calls.
type Counters struct {
	Calls   atomic.Uint64
	Refused atomic.Uint64
	Retries atomic.Uint64
	Hedges  atomic.Uint64
	// Fenced counts keyed calls marked not-run after an attempt without an answer.
	Fenced atomic.Uint64
	// Replayed counts calls answered with a recorded result.
	Replayed atomic.Uint64
	// Unknown counts refused calls of which it is not known whether they ran.
	Unknown atomic.Uint64
	// ReceiptsLost counts receipts that the ledger did not take.
	ReceiptsLost atomic.Uint64
}

// Executor runs plain-service calls. It is safe for concurrent use.
type Executor struct {
	o     Options
	count Counters

	mu     sync.Mutex
	delays map[hedgeKey]retry.HedgeDelay
}

// hedgeKey identifies a call rule by its position in the service's section.
type hedgeKey struct {
	service ident.ServiceID
	rule    int
}

// New returns an executor that has observed no latencies.
func New(o Options) *Executor {
	return &Executor{o: o, delays: map[hedgeKey]retry.HedgeDelay{}}
}

// Counters returns the metrics, which stay live.
func (x *Executor) Counters() *Counters { return &x.count }

// job is a call with its state: the document and rule it runs under and its attempts.
type job struct {
	Call
	view    *spread.View
	service *envdoc.Service
	rule    envdoc.CallRule
	// index is the position of rule in service.Calls.
	index    int
	attempts atomic.Uint32
}

// Call runs a call until its deadline. Every error that it returns is a *refuse.Error.
func (x *Executor) Call(ctx context.Context, c Call) (*Reply, error) {
	x.count.Calls.Add(1)
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	j := &job{Call: c}
	r, err := x.run(ctx, j)
	if err == nil {
		if r.Replayed {
			x.count.Replayed.Add(1)
		}
		x.record(event.RequestEnded, j, nil)
		return r, nil
	}
	e := refuse.FromError(err, refuse.Unknown)
	x.count.Refused.Add(1)
	if e.Ran == refuse.Unknown {
		x.count.Unknown.Add(1)
	}
	x.record(event.RequestRefused, j, map[string]string{"code": string(e.Code), "ran": string(e.Ran)})
	return nil, e
}

// run matches a call to a rule of the document and runs it as the rule says.
func (x *Executor) run(ctx context.Context, j *job) (*Reply, error) {
	if err := x.match(j); err != nil {
		return nil, err
	}
	if x.o.Ledger.Full() {
		return nil, refuse.New(refuse.LedgerFull, refuse.NotRun, "too many receipts wait for the table").WithRetryAfter(retryAfter)
	}
	if !j.rule.Repeatable {
		return x.callOnce(ctx, j)
	}
	return x.callRepeatable(ctx, j)
}

// match sets the view, service and rule of a call from the document in force now.
// It returns a refusal when the document does not allow the call.
func (x *Executor) match(j *job) error {
	j.view = x.o.Control.View()
	doc := j.view.Document()
	if doc == nil {
		return refuse.New(refuse.NoDocument, refuse.NotRun, "no environment document was found yet").WithRetryAfter(retryAfter)
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

// pick chooses an upstream. The seed is the same for every entry that runs the
// same attempt of a request.
func (x *Executor) pick(j *job, tried []ident.UpstreamID) (*agents.Link, bool) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(j.ID))
	_, _ = h.Write([]byte{byte(j.attempts.Load())})
	return x.o.Fleet.PickService(j.Service, h.Sum64(), tried)
}

// send makes one attempt through one agent. The error is either a *refuse.Error
// or an error of the connection, after which it is unknown whether the call ran.
// The revision is that of the claim that the agent's write must find.
func (x *Executor) send(ctx context.Context, j *job, l *agents.Link, revision ident.Revision) (*wire.CallResult, error) {
	done := l.Begin(0)
	defer done()
	c, err := l.Conn()
	if err != nil {
		return nil, refuse.New(refuse.UpstreamFailed, refuse.NotRun, "the link has ended")
	}
	n := j.attempts.Add(1)
	x.record(event.AttemptStarted, j, map[string]string{"upstream": string(l.Upstream())})
	t, _ := ctx.Deadline()
	left := t.Sub(x.o.Now())
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
		Clock:          uint64(x.o.Ring.Clock().Next()),
		Entry:          string(x.o.Instance),
	})
	if err != nil {
		if ctx.Err() == nil {
			x.o.Fleet.Ended(l.Upstream(), false)
		}
		return nil, err
	}
	l.Observe(r.GetStatus(), x.o.Now())
	switch b := r.GetBody().(type) {
	case *wire.CallReply_Result:
		x.o.Fleet.Ended(l.Upstream(), true)
		return b.Result, nil
	case *wire.CallReply_Refusal:
		return nil, refuse.FromWire(b.Refusal)
	default:
		return nil, errors.New("the agent's reply is empty")
	}
}

// catchUp exchanges state with an agent that refused an attempt because its generation
// differed from this entry's. It reports whether the exchange succeeded and the document
// in force now still allows the call; the attempt may then be repeated at the same agent.
// It returns false for any other refusal.
func (x *Executor) catchUp(ctx context.Context, j *job, l *agents.Link, e *refuse.Error) bool {
	if e.Ran != refuse.NotRun || e.Code != refuse.StaleGeneration && e.Code != refuse.AgentBehind {
		return false
	}
	if l.CatchUp(ctx) != nil {
		return false
	}
	return x.match(j) == nil
}

func replyOf(r *wire.CallResult) *Reply {
	return &Reply{
		StatusCode:  int(r.GetStatusCode()),
		ContentType: r.GetContentType(),
		Body:        r.GetBody(),
		Replayed:    r.GetReplayed(),
	}
}

// addReceipt adds the billing receipt of a call that ran.
func (x *Executor) addReceipt(j *job, u ident.UpstreamID, attempt uint32) {
	err := x.o.Ledger.Add(ledger.Receipt{
		Request:  j.ID,
		Role:     ledger.RoleBill,
		Attempt:  ident.Attempt(attempt),
		Account:  j.Account,
		Service:  j.Service,
		Price:    j.service.Price,
		Direct:   true,
		Outcome:  ledger.OutcomeComplete,
		Instance: x.o.Instance,
		Upstream: u,
		At:       x.o.Now(),
	})
	if err != nil {
		x.count.ReceiptsLost.Add(1)
		x.o.Log.Error().Err(err).Str("request", string(j.ID)).Msg("can't add receipt to the ledger")
	}
}

// record records an event of a call.
func (x *Executor) record(k event.Kind, j *job, f map[string]string) {
	x.o.Ring.Record(event.Event{Kind: k, Request: j.ID, Account: j.Account, Fields: f})
}
