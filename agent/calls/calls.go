// Package calls runs plain-service calls: it queues them, claims those that may
// run only once, sends them to the service and makes a receipt.
package calls

import (
	"context"
	"errors"
	"net/url"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/agent/gate"
	"tarragonvalve.example/agent/plain"
	"tarragonvalve.example/agent/queue"
	"tarragonvalve.example/agent/sched"
	"tarragonvalve.example/core/claim"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/table"
	"tarragonvalve.example/core/wire"
)

// Claims is the part of claim.Store that an agent uses.
type Claims interface {
	Dispatch(ctx context.Context, k claim.Key, d claim.Dispatch) (*claim.Claim, error)
	Finish(ctx context.Context, c *claim.Claim, r claim.Result) error
	Abandon(ctx context.Context, c *claim.Claim) error
}

// Receipts takes the receipts of calls; ledger.Buffer implements it.
type Receipts interface {
	Add(r ledger.Receipt) error
}

// Options are the parts of a Caller.
type Options struct {
	Service  ident.ServiceID
	Upstream ident.UpstreamID
	Instance ident.InstanceID
	Plain    *plain.Client
	Sched    *sched.Scheduler
	Views    sched.Views
	Claims   Claims
	Receipts Receipts
	Ring     *event.Ring
	Log      zerolog.Logger
	Now      func() time.Time
	// NewToken returns a unique write token.
	NewToken func() table.WriteToken
	// ClaimLimit bounds the write of a claim.
	ClaimLimit time.Duration
	// RecordWait is how long an answer waits for its result to be recorded.
	RecordWait time.Duration
}

// Caller runs calls. It is safe for concurrent use.
type Caller struct {
	options Options
}

// New returns a caller.
func New(o Options) *Caller {
	return &Caller{options: o}
}

// job is one call on its way.
type job struct {
	request  *wire.CallRequest
	work     gate.Work
	rule     *envdoc.CallRule
	price    ident.MicroCents
	ticket   *sched.Ticket
	started  time.Time
	deadline time.Time
}

// Call runs one call.
func (c *Caller) Call(ctx context.Context, q *wire.CallRequest) *wire.CallReply {
	j, ref := c.job(q)
	if ref != nil {
		return c.refused(j, ref)
	}
	// A call that may run only once goes on when its entry is gone: its result
	// has to be recorded for the next call with the same key.
	if !j.rule.Repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	j.ticket, ref = c.options.Sched.Submit(ctx, j.work, sched.Size{Input: 1})
	if ref != nil {
		return c.refused(j, ref)
	}
	if ref := j.ticket.Wait(ctx); ref != nil {
		return c.refused(j, ref)
	}
	var served *queue.Sample
	defer func() { j.ticket.Done(served) }()
	if ref := j.ticket.Check(); ref != nil {
		return c.refused(j, ref)
	}
	j.started = c.options.Now()
	r, ref := c.dispatch(ctx, j)
	if ref != nil {
		return c.refused(j, ref)
	}
	if !r.GetReplayed() {
		took := c.options.Now().Sub(j.started)
		served = &queue.Sample{Input: 1, FirstToken: took, Total: took}
	}
	return &wire.CallReply{Body: &wire.CallReply_Result{Result: r}}
}

func (c *Caller) dispatch(ctx context.Context, j *job) (*wire.CallResult, *refuse.Error) {
	if j.rule.Repeatable {
		return c.repeatable(ctx, j)
	}
	return c.once(ctx, j)
}

func (c *Caller) job(q *wire.CallRequest) (*job, *refuse.Error) {
	now := c.options.Now()
	j := &job{
		request:  q,
		deadline: now.Add(time.Duration(q.GetTimeoutMs()) * time.Millisecond),
		work: gate.Work{
			Account:    ident.AccountID(q.GetAccount()),
			Service:    ident.ServiceID(q.GetService()),
			Method:     q.GetMethod(),
			Generation: ident.Generation(q.GetGeneration()),
		},
	}
	j.work.Deadline = j.deadline
	if j.work.Service != c.options.Service {
		return j, refuse.New(refuse.ServiceUnknown, refuse.NotRun, "check call: this upstream serves %q", c.options.Service)
	}
	p, ok := cleanPath(q.GetPath())
	if !ok {
		return j, refuse.New(refuse.BadRequest, refuse.NotRun, "check call: the path is not in its shortest form")
	}
	j.work.Path = p
	v := c.options.Views.View()
	st := gate.Snapshot{View: v, Now: now}
	if ref := gate.CheckArrival(st, j.work); ref != nil {
		return j, ref
	}
	j.rule = gate.MatchRule(v.Document(), j.work.Service, j.work.Method, p)
	j.price = v.Document().Services[j.work.Service].Price
	if !j.rule.Repeatable && q.GetIdempotencyKey() == "" {
		return j, refuse.New(refuse.KeyRequired, refuse.NotRun, "check call: it must carry an idempotency key")
	}
	return j, nil
}

// cleanPath returns the decoded path of a target. Dot segments and doubled
// slashes are rejected: the service may resolve them to another path than the
// one whose rule was checked.
func cleanPath(target string) (string, bool) {
	u, err := url.ParseRequestURI(target)
	if err != nil || u.Host != "" || !strings.HasPrefix(u.Path, "/") {
		return "", false
	}
	clean := path.Clean(u.Path)
	if strings.HasSuffix(u.Path, "/") && clean != "/" {
		clean += "/"
	}
	return u.Path, clean == u.Path
}

// repeatable sends a call that may run more than once; it needs no claim.
func (c *Caller) repeatable(ctx context.Context, j *job) (*wire.CallResult, *refuse.Error) {
	r, err := c.send(ctx, j)
	if err != nil {
		return nil, c.failure(ctx, j, err)
	}
	c.receipt(j, ledger.OutcomeComplete)
	return result(r), nil
}

func (c *Caller) send(ctx context.Context, j *job) (*plain.Result, error) {
	return c.options.Plain.Do(ctx, c.call(j))
}

func (c *Caller) call(j *job) plain.Call {
	q := j.request
	c.record(j, event.AttemptStarted, map[string]string{"attempt": strconv.Itoa(int(q.GetAttempt()))})
	return plain.Call{
		Method:      q.GetMethod(),
		Path:        q.GetPath(),
		ContentType: q.GetContentType(),
		Body:        q.GetBody(),
		Key:         q.GetIdempotencyKey(),
		Request:     q.GetRequestId(),
	}
}

// failure turns an error of the service into a refusal that says whether the call ran.
func (c *Caller) failure(ctx context.Context, j *job, err error) *refuse.Error {
	var (
		n *plain.NotRunError
		l *plain.TooLargeError
	)
	switch {
	case errors.As(err, &n):
		return refuse.New(refuse.UpstreamFailed, refuse.NotRun, "%v", err)
	case errors.As(err, &l):
		c.receipt(j, ledger.OutcomeComplete)
		return refuse.New(refuse.UpstreamFailed, refuse.DidRun, "%v", err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		c.receipt(j, ledger.OutcomeFailed)
		return refuse.New(refuse.DeadlineExceeded, refuse.Unknown, "call the service: no answer before the deadline")
	}
	c.receipt(j, ledger.OutcomeFailed)
	return refuse.New(refuse.UpstreamFailed, refuse.Unknown, "%v", err)
}

func result(r *plain.Result) *wire.CallResult {
	return &wire.CallResult{StatusCode: uint32(r.StatusCode), ContentType: r.ContentType, Body: r.Body}
}

// receipt notes a call. One whose outcome is unknown has no price.
func (c *Caller) receipt(j *job, o ledger.Outcome) {
	r := ledger.Receipt{
		Request:  ident.RequestID(j.request.GetRequestId()),
		Role:     ledger.RoleAttempt,
		Attempt:  ident.Attempt(j.request.GetAttempt()),
		Account:  j.work.Account,
		Service:  j.work.Service,
		Direct:   true,
		Outcome:  o,
		Instance: c.options.Instance,
		Upstream: c.options.Upstream,
		At:       c.options.Now(),
	}
	if o == ledger.OutcomeComplete {
		r.Price = j.price
	}
	if err := c.options.Receipts.Add(r); err != nil {
		c.options.Log.Error().Err(err).Str("request", string(r.Request)).Msg("keep receipt")
	}
	c.record(j, event.AttemptEnded, map[string]string{"outcome": string(o)})
}

func (c *Caller) refused(j *job, ref *refuse.Error) *wire.CallReply {
	if ref.Generation == 0 {
		ref.Generation = c.options.Views.View().Generation()
	}
	c.record(j, event.WorkRefused, map[string]string{"code": string(ref.Code), "ran": string(ref.Ran)})
	return &wire.CallReply{Body: &wire.CallReply_Refusal{Refusal: refuse.ToWire(ref)}}
}

func (c *Caller) record(j *job, k event.Kind, fields map[string]string) {
	c.options.Ring.Record(event.Event{
		Kind:    k,
		Request: ident.RequestID(j.request.GetRequestId()),
		Account: j.work.Account,
		Fields:  fields,
	})
}
