// Package calls runs plain-service calls: it queues them, writes a claim for those that
// may run only once, sends them to the service and adds their receipts.
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

	"tarragonvalve.example/agent/excess"
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

// Claims writes claims; claim.Store implements it.
type Claims interface {
	Dispatch(ctx context.Context, k claim.Key, d claim.Dispatch) (*claim.Claim, error)
	Finish(ctx context.Context, c *claim.Claim, r claim.Result) error
	Abandon(ctx context.Context, c *claim.Claim) error
}

// Receipts stores the receipts of calls; ledger.Buffer implements it.
type Receipts interface {
	Add(r ledger.Receipt) error
}

// Options configures an Executor.
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
	// Excess reports answers that exceed a bound; nil reports none.
	Excess *excess.Reporter
	Now    func() time.Time
	// NewToken returns a new, unique write token for a claim.
	NewToken func() table.WriteToken
	// ClaimTimeout bounds the write of a claim before its call is sent.
	ClaimTimeout time.Duration
	// RecordTimeout bounds the writes to a claim after that: of the result, which the answer
	// waits for, and of the mark that the call was not sent.
	RecordTimeout time.Duration
}

// Executor runs plain-service calls. It is safe for concurrent use.
type Executor struct {
	options Options
}

// New returns an executor.
func New(o Options) *Executor {
	return &Executor{options: o}
}

// execution holds the data of one call from its check to its answer.
type execution struct {
	request   *wire.CallRequest
	work      gate.Work
	rule      *envdoc.CallRule
	price     ident.MicroCents
	ticket    *sched.Ticket
	startedAt time.Time
	deadline  time.Time
}

// Call checks, queues and runs one call, and returns its result or a refusal.
func (x *Executor) Call(ctx context.Context, q *wire.CallRequest) *wire.CallReply {
	j, ref := x.prepare(q)
	if ref != nil {
		return x.refusalReply(j, ref)
	}
	// A call that may run only once continues after its entry disconnects: its result must
	// be recorded for the next call with the same key.
	if !j.rule.Repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	j.ticket, ref = x.options.Sched.Submit(ctx, j.work, sched.Size{Input: 1})
	if ref != nil {
		return x.refusalReply(j, ref)
	}
	if ref := j.ticket.Wait(ctx); ref != nil {
		return x.refusalReply(j, ref)
	}
	var sample *queue.Sample
	defer func() { j.ticket.Done(sample) }()
	if ref := j.ticket.Check(); ref != nil {
		return x.refusalReply(j, ref)
	}
	j.startedAt = x.options.Now()
	r, ref := x.dispatch(ctx, j)
	if ref != nil {
		return x.refusalReply(j, ref)
	}
	if !r.GetReplayed() {
		took := x.options.Now().Sub(j.startedAt)
		sample = &queue.Sample{Input: 1, FirstToken: took, Total: took}
	}
	return &wire.CallReply{Body: &wire.CallReply_Result{Result: r}}
}

func (x *Executor) dispatch(ctx context.Context, j *execution) (*wire.CallResult, *refuse.Error) {
	if j.rule.Repeatable {
		return x.runRepeatable(ctx, j)
	}
	return x.runOnce(ctx, j)
}

// prepare checks a call before it is queued: the service, the path, the document and the
// idempotency key. The execution is not nil even with a refusal.
func (x *Executor) prepare(q *wire.CallRequest) (*execution, *refuse.Error) {
	now := x.options.Now()
	j := &execution{
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
	if j.work.Service != x.options.Service {
		return j, refuse.New(refuse.ServiceUnknown, refuse.NotRun, "check call: this upstream serves %q", x.options.Service)
	}
	p, ok := cleanPath(q.GetPath())
	if !ok {
		return j, refuse.New(refuse.BadRequest, refuse.NotRun, "check call: the path is not in its shortest form")
	}
	j.work.Path = p
	v := x.options.Views.View()
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

// cleanPath returns the decoded path of a request target. It rejects targets with a host,
// dot segments or double slashes: the service may resolve them to another path than the one
// whose rule was checked.
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

// runRepeatable sends a call that may run more than once and so needs no claim.
func (x *Executor) runRepeatable(ctx context.Context, j *execution) (*wire.CallResult, *refuse.Error) {
	r, err := x.send(ctx, j)
	if err != nil {
		return nil, x.failureOf(ctx, j, err)
	}
	x.addReceipt(j, ledger.OutcomeComplete)
	return toWire(r), nil
}

func (x *Executor) send(ctx context.Context, j *execution) (*plain.Result, error) {
	return x.options.Plain.Do(ctx, x.beginCall(j))
}

// beginCall records the start of the attempt and returns the call to send.
func (x *Executor) beginCall(j *execution) plain.Call {
	q := j.request
	x.record(j, event.AttemptStarted, map[string]string{"attempt": strconv.Itoa(int(q.GetAttempt()))})
	return plain.Call{
		Method:         q.GetMethod(),
		Path:           q.GetPath(),
		ContentType:    q.GetContentType(),
		Body:           q.GetBody(),
		IdempotencyKey: q.GetIdempotencyKey(),
		Request:        q.GetRequestId(),
	}
}

// failureOf converts an error of the client into a refusal that says whether the call ran.
// It adds a receipt unless the call is proven not to have run.
func (x *Executor) failureOf(ctx context.Context, j *execution, err error) *refuse.Error {
	var (
		n *plain.NotRunError
		l *plain.TooLargeError
	)
	x.options.Excess.Report(ident.RequestID(j.request.GetRequestId()), err)
	switch {
	case errors.As(err, &n):
		return refuse.New(refuse.UpstreamFailed, refuse.NotRun, "%v", err)
	case errors.As(err, &l):
		x.addReceipt(j, ledger.OutcomeComplete)
		return refuse.New(refuse.UpstreamFailed, refuse.DidRun, "%v", err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		x.addReceipt(j, ledger.OutcomeFailed)
		return refuse.New(refuse.DeadlineExceeded, refuse.Unknown, "call the service: no answer before the deadline")
	}
	x.addReceipt(j, ledger.OutcomeFailed)
	return refuse.New(refuse.UpstreamFailed, refuse.Unknown, "%v", err)
}

// toWire converts an answer of the service.
func toWire(r *plain.Result) *wire.CallResult {
	return &wire.CallResult{StatusCode: uint32(r.StatusCode), ContentType: r.ContentType, Body: r.Body}
}

// addReceipt adds the receipt of a call. A call with an unknown outcome is not charged.
func (x *Executor) addReceipt(j *execution, o ledger.Outcome) {
	r := ledger.Receipt{
		Request:  ident.RequestID(j.request.GetRequestId()),
		Role:     ledger.RoleAttempt,
		Attempt:  ident.Attempt(j.request.GetAttempt()),
		Account:  j.work.Account,
		Service:  j.work.Service,
		Direct:   true,
		Outcome:  o,
		Instance: x.options.Instance,
		Upstream: x.options.Upstream,
		At:       x.options.Now(),
	}
	if o == ledger.OutcomeComplete {
		r.Price = j.price
	}
	if err := x.options.Receipts.Add(r); err != nil {
		x.options.Log.Error().Err(err).Str("request", string(r.Request)).Msg("keep receipt")
	}
	x.record(j, event.AttemptEnded, map[string]string{"outcome": string(o)})
}

// refusalReply records a refusal and wraps it in a reply.
func (x *Executor) refusalReply(j *execution, ref *refuse.Error) *wire.CallReply {
	if ref.Generation == 0 {
		ref.Generation = x.options.Views.View().Generation()
	}
	x.record(j, event.WorkRefused, map[string]string{"code": string(ref.Code), "ran": string(ref.Ran)})
	return &wire.CallReply{Body: &wire.CallReply_Refusal{Refusal: refuse.ToWire(ref)}}
}

func (x *Executor) record(j *execution, k event.Kind, fields map[string]string) {
	x.options.Ring.Record(event.Event{
		Kind:    k,
		Request: ident.RequestID(j.request.GetRequestId()),
		Account: j.work.Account,
		Fields:  fields,
	})
}
