package relay

import (
	"context"
	"errors"
	"strconv"
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/token"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/plan"
	"tarragonvalve.example/entry/policy"
)

const (
	// maxPlans bounds planning again after a generation was caught up.
	maxPlans = 4
	// maxTries bounds the upstreams tried for one step of a plan.
	maxTries = 5
	// retryLater is the time after which a caller may come back when no upstream is left.
	retryLater = time.Second
)

// request is the state of one request.
type request struct {
	Chat
	sink    Sink
	view    *spread.View
	account *envdoc.Account
	session ident.SessionID
	version ident.VersionRef
	head    Head
	claims  *token.Claims
	input   ident.Tokens
	// output is the expected number of output tokens.
	output ident.Tokens
	hashes []uint64
	// weak is the version whose weak answer was escalated; zero for none.
	weak ident.VersionRef
	// sampled is true when the weak answer was offered for rating in place of the accepted one.
	sampled bool

	attempts ident.Attempt
	// ran is what is known of the attempts so far.
	ran refuse.Ran
	// relayed is the output that went to the caller, by the attempt relayedBy.
	relayed   ident.Tokens
	relayedBy *attempt
	texts     int
}

// replan is returned when the generation changed under a plan.
type replan struct{ refusal *refuse.Error }

func (e *replan) Error() string { return "plan again: " + e.refusal.Error() }

// Chat answers one request. Every error that it returns holds a *refuse.Error.
func (r *Relay) Chat(ctx context.Context, c Chat, s Sink) (*Answer, error) {
	r.count.Requests.Add(1)
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	q := &request{Chat: c, sink: s, ran: refuse.NotRun}
	q.input = Estimate(c.Messages)
	q.hashes = Prefixes(c.Messages)
	a, err := r.answer(ctx, q)
	if err == nil {
		r.record(event.RequestEnded, q, map[string]string{"finish": a.FinishReason})
		return a, nil
	}
	e := r.final(ctx, q, err)
	r.count.Refused.Add(1)
	r.record(event.RequestRefused, q, map[string]string{"code": string(e.Code), "ran": string(e.Ran)})
	return nil, e
}

func (r *Relay) answer(ctx context.Context, q *request) (*Answer, error) {
	if r.o.Ledger.Full() {
		return nil, refuse.New(refuse.LedgerFull, refuse.NotRun, "too many receipts wait for the table").After(retryLater)
	}
	var err error
	for range maxPlans {
		var p decision
		p, err = r.plan(ctx, q)
		if err != nil {
			return nil, err
		}
		var a *Answer
		a, err = r.follow(ctx, q, p)
		var again *replan
		if !errors.As(err, &again) {
			return a, err
		}
		r.count.Catches.Add(1)
	}
	return nil, err
}

// plan checks the session and chooses models under the document in force now.
func (r *Relay) plan(ctx context.Context, q *request) (decision, error) {
	q.view = r.o.Control.View()
	d := q.view.Document()
	if d == nil {
		return decision{}, refuse.New(refuse.NoDocument, refuse.NotRun, "no environment document was found yet").After(retryLater)
	}
	a, ok := d.Accounts[q.Account]
	if !ok {
		return decision{}, refuse.New(refuse.Unauthenticated, refuse.NotRun, "the client account is not in the document")
	}
	q.account = a
	if err := r.pin(q); err != nil {
		return decision{}, err
	}
	u := policy.Query{
		View:      q.view,
		Account:   a,
		Task:      q.Task,
		Model:     q.Model,
		Request:   q.ID,
		Session:   q.session,
		Isolated:  r.isolated(),
		Input:     q.input,
		MaxOutput: ident.Tokens(q.MaxTokens),
		TimeLeft:  q.Deadline.Sub(r.o.Now()),
	}
	if q.claims != nil {
		u.Pin = q.claims.Version
	}
	c, err := r.o.Decider.Plan(ctx, u)
	if err != nil {
		return decision{}, err
	}
	q.output = c.Output
	p := decision{pin: c.Pin, moved: c.Moved, steps: stepsOf(c)}
	r.announce(q, p)
	return p, nil
}

// pin verifies the session token, or starts a session.
func (r *Relay) pin(q *request) error {
	if q.session != "" {
		return nil
	}
	if q.Session == "" || q.Session == NewSession {
		q.session = ident.SessionID(NewID())
		return nil
	}
	c, err := r.o.Signer.Verify(q.Session)
	if err != nil || c.Account != q.Account {
		return refuse.New(refuse.SessionInvalid, refuse.NotRun, "the session token is not valid for this client account")
	}
	q.claims = &c
	q.session = c.Session
	return nil
}

func (r *Relay) isolated() bool {
	return r.o.IsolationLimit > 0 && r.o.Now().Sub(r.o.Contact()) > r.o.IsolationLimit
}

func (r *Relay) announce(q *request, p decision) {
	r.promise(q, p.pin, p.moved, len(p.steps) == 1)
	r.record(event.PlanChosen, q, map[string]string{
		"steps":      strconv.Itoa(len(p.steps)),
		"first":      p.steps[0].Version.String(),
		"generation": strconv.FormatUint(uint64(q.view.Generation()), 10),
	})
}

// promise tells the caller which version its session keeps. In a cascade that is
// the version that answers, so it may change until the answer is accepted.
func (r *Relay) promise(q *request, pin ident.VersionRef, moved, settled bool) {
	q.version = pin
	c := token.Claims{Session: q.session, Account: q.Account, Version: pin, Generation: q.view.Generation()}
	q.head = Head{Session: r.o.Signer.Sign(c), Version: pin, Moved: moved, Settled: settled}
	q.sink.Planned(q.head)
}

// decision is a plan as a list of steps.
type decision struct {
	steps []Step
	pin   ident.VersionRef
	moved bool
}

// Step is one model of a plan.
type Step struct {
	Version ident.VersionRef
	// Below is the mean token log-probability below which an answer is weak and
	// the next step runs. The last step has no use for it.
	Below float64
}

func stepsOf(d policy.Decision) []Step {
	switch p := d.Plan.(type) {
	case plan.Cascade:
		return []Step{{Version: p.First, Below: p.MinLogprob}, {Version: p.EscalateTo}}
	case plan.Single:
		return []Step{{Version: p.Version}}
	default:
		return nil
	}
}

// follow runs the steps of a plan until an answer is good enough. The output
// of all steps but the last is held back, since it may be dropped.
func (r *Relay) follow(ctx context.Context, q *request, p decision) (*Answer, error) {
	for i, s := range p.steps {
		last := i == len(p.steps)-1
		if i > 0 {
			r.promise(q, s.Version, false, last)
		}
		// An answer that the caller gets in one piece is held back too, so that an
		// attempt that breaks can be replaced.
		t, err := r.step(ctx, q, s, last && q.Streaming)
		if err != nil && !last && r.mayEscalate(ctx, q, err) {
			r.escalated(q, s, "failed")
			continue
		}
		if err != nil {
			return nil, err
		}
		if !last && t.end.GetMeanLogprob() < s.Below {
			r.receipt(q, t.attempt, t.end, ledger.RoleAttempt, ledger.OutcomeComplete)
			r.observe(q, t.attempt, t.end)
			r.sampleWeak(q, s, t.end)
			r.escalated(q, s, "weak")
			continue
		}
		return r.accept(q, s, t)
	}
	return nil, refuse.New(refuse.Internal, q.ran, "the plan ended without an answer")
}

// mayEscalate reports whether the next step of a plan may make up for a failed
// one. After an attempt that may have run this is a retry and is charged as one.
func (r *Relay) mayEscalate(ctx context.Context, q *request, err error) bool {
	var again *replan
	if ctx.Err() != nil || q.texts > 0 || errors.As(err, &again) {
		return false
	}
	e, ok := refuse.As(err)
	if !ok || !repeatable(e) {
		return false
	}
	return e.Ran == refuse.NotRun || r.retry(ctx)
}

func (r *Relay) escalated(q *request, s Step, why string) {
	r.count.Escalations.Add(1)
	q.weak = s.Version
	r.record(event.Escalated, q, map[string]string{"from": s.Version.String(), "why": why})
}

// sampleWeak offers half of the weak answers for rating. The rating service rates
// one answer of a request, and weak answers that are never rated would keep the
// prior's quality.
func (r *Relay) sampleWeak(q *request, s Step, e *wire.End) {
	if seed(q.ID, 0)%2 == 0 {
		q.sampled = true
		r.sample(q, s, e)
	}
}

func (r *Relay) sample(q *request, s Step, e *wire.End) {
	if r.o.Sample == nil {
		return
	}
	r.o.Sample(Sample{Chat: q.Chat, Version: s.Version, After: q.weak, Logprob: e.GetMeanLogprob()})
}

func (r *Relay) accept(q *request, s Step, t *taken) (*Answer, error) {
	if !q.head.Settled {
		q.head.Settled = true
		q.sink.Planned(q.head)
	}
	for _, d := range t.held {
		if err := r.pass(q, t.attempt, d); err != nil {
			return nil, refuse.New(refuse.Cancelled, refuse.DidRun, "the caller left")
		}
	}
	r.receipt(q, t.attempt, t.end, ledger.RoleBill, ledger.OutcomeComplete)
	r.observe(q, t.attempt, t.end)
	if !q.sampled {
		r.sample(q, s, t.end)
	}
	return &Answer{
		Head:         q.head,
		FinishReason: t.end.GetFinishReason(),
		Input:        ident.Tokens(t.end.GetInputTokens()),
		Cached:       ident.Tokens(t.end.GetCachedTokens()),
		Output:       ident.Tokens(t.end.GetOutputTokens()),
	}, nil
}

// pass sends one piece of text to the caller.
func (r *Relay) pass(q *request, a *attempt, d *wire.Data) error {
	q.relayed += ident.Tokens(d.GetTokens())
	q.relayedBy = a
	q.texts++
	return q.sink.Text(d.GetText())
}

// final turns an error into the caller's final refusal and settles the bill of
// what was relayed. A request of which an attempt may have run gets a receipt
// for no more than the relayed tokens, so that no agent's receipt is billed instead.
func (r *Relay) final(ctx context.Context, q *request, err error) *refuse.Error {
	if q.texts > 0 {
		q.ran = refuse.DidRun
	}
	e := refuse.From(err, q.ran)
	var again *replan
	if errors.As(err, &again) {
		e = again.refusal
	}
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		e = refuse.New(refuse.DeadlineExceeded, q.ran, "the request's time is over")
	case ctx.Err() != nil:
		e = refuse.New(refuse.Cancelled, q.ran, "the caller left")
	}
	if e.Ran == refuse.NotRun && q.ran != refuse.NotRun {
		c := *e
		c.Ran = q.ran
		e = &c
	}
	if q.ran != refuse.NotRun {
		r.partial(q, e)
	}
	return e
}
