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
	"tarragonvalve.example/entry/abort"
	"tarragonvalve.example/entry/plan"
	"tarragonvalve.example/entry/policy"
)

const (
	// maxPlans bounds the plans of one request: a plan is made again when an agent
	// refused an attempt because its generation or halts differ.
	maxPlans = 4
	// maxUpstreams bounds the upstreams tried for one step of a plan.
	maxUpstreams = 5
	// retryAfter is the retry-after time of refusals that may be temporary.
	retryAfter = time.Second
)

// request is a chat completion with its state.
type request struct {
	Chat
	sink    Sink
	view    *spread.View
	account *envdoc.Account
	session ident.SessionID
	// version is the one that the session is pinned to.
	version ident.VersionRef
	head    Head
	// tokenClaims holds the content of the caller's session token, nil for a new session.
	tokenClaims *token.Claims
	// input and output are the expected tokens.
	input  ident.Tokens
	output ident.Tokens
	// prefixes are the hashes of the prompt's prefixes, the longest first.
	prefixes []uint64
	// escalatedFrom is the version whose weak or failed answer was escalated; zero for none.
	escalatedFrom ident.VersionRef
	// sampled is true when the weak answer was offered for rating, so that the
	// accepted one must not be.
	sampled bool

	// attempts is the number of attempts so far, of all steps and plans.
	attempts ident.Attempt
	// ran is what is known of all attempts so far.
	ran refuse.Ran
	// relayed is the number of output tokens that went to the caller, and relayedBy
	// the attempt that they are from; textCount is the number of pieces of text.
	relayed   ident.Tokens
	relayedBy *attempt
	textCount int
}

// replanError reports that an agent refused an attempt because its generation or
// halts differed from this entry's. Both have exchanged state since, so that the
// plan must be made again.
type replanError struct{ refusal *refuse.Error }

func (e *replanError) Error() string { return "plan again: " + e.refusal.Error() }

// Chat answers a request until its deadline. Every error that it returns is a
// *refuse.Error. The bill covers the text that went to the sink.
func (r *Relay) Chat(ctx context.Context, c Chat, s Sink) (*Answer, error) {
	r.count.Requests.Add(1)
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	q := &request{Chat: c, sink: s, ran: refuse.NotRun}
	q.input = EstimateTokens(c.Messages)
	q.prefixes = PrefixHashes(c.Messages)
	a, err := r.answer(ctx, q)
	if err == nil {
		r.record(event.RequestEnded, q, map[string]string{"finish": a.FinishReason})
		return a, nil
	}
	e := r.finalRefusal(ctx, q, err)
	r.count.Refused.Add(1)
	r.record(event.RequestRefused, q, map[string]string{"code": string(e.Code), "ran": string(e.Ran)})
	return nil, e
}

// answer plans the request and runs the plan, and does so again after a replanError.
func (r *Relay) answer(ctx context.Context, q *request) (*Answer, error) {
	if r.o.Ledger.Full() {
		return nil, refuse.New(refuse.LedgerFull, refuse.NotRun, "too many receipts wait for the table").WithRetryAfter(retryAfter)
	}
	var err error
	for range maxPlans {
		var p decision
		p, err = r.plan(ctx, q)
		if err != nil {
			return nil, err
		}
		var a *Answer
		a, err = r.runPlan(ctx, q, p)
		var again *replanError
		if !errors.As(err, &again) {
			return a, err
		}
		r.count.CatchUps.Add(1)
	}
	return nil, err
}

// plan checks the account and session and chooses the models by the document in
// force now. It announces the version to the sink.
func (r *Relay) plan(ctx context.Context, q *request) (decision, error) {
	q.view = r.o.Control.View()
	d := q.view.Document()
	if d == nil {
		return decision{}, refuse.New(refuse.NoDocument, refuse.NotRun, "no environment document was found yet").WithRetryAfter(retryAfter)
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
	if q.tokenClaims != nil {
		u.Pin = q.tokenClaims.Version
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

// pin sets the session from the caller's token, or starts one. It refuses a token
// that is not valid or belongs to another account.
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
	q.tokenClaims = &c
	q.session = c.Session
	return nil
}

// isolated reports whether there was no contact to the table or a peer for IsolationLimit.
func (r *Relay) isolated() bool {
	return r.o.IsolationLimit > 0 && r.o.Now().Sub(r.o.LastContact()) > r.o.IsolationLimit
}

// announce sets the head of the answer by a plan and records the plan.
func (r *Relay) announce(q *request, p decision) {
	r.setPin(q, p.pin, p.moved, len(p.steps) == 1)
	r.record(event.PlanChosen, q, map[string]string{
		"steps":      strconv.Itoa(len(p.steps)),
		"first":      p.steps[0].Version.String(),
		"generation": strconv.FormatUint(uint64(q.view.Generation()), 10),
	})
}

// setPin pins the session to a version and passes the head with the new session
// token to the sink. A cascade pins the version that answers, so the pin may change
// until the answer is accepted.
func (r *Relay) setPin(q *request, pin ident.VersionRef, moved, final bool) {
	q.version = pin
	c := token.Claims{Session: q.session, Account: q.Account, Version: pin, Generation: q.view.Generation()}
	q.head = Head{Session: r.o.Signer.Sign(c), Version: pin, Moved: moved, Final: final}
	q.sink.SetHead(q.head)
}

// decision is a policy.Decision with the plan as a list of steps.
type decision struct {
	steps []Step
	// pin is the version that the session keeps; moved is true when it left a
	// withdrawn or halted version.
	pin   ident.VersionRef
	moved bool
}

// Step is one version of a plan.
type Step struct {
	Version ident.VersionRef
	// MinLogprob is the mean token log-probability below which an answer is weak and
	// the next step runs. It is not used in the last step.
	MinLogprob float64
}

// stepsOf returns the steps of a plan: two for a cascade, otherwise one.
func stepsOf(d policy.Decision) []Step {
	switch p := d.Plan.(type) {
	case plan.Cascade:
		return []Step{{Version: p.First, MinLogprob: p.MinLogprob}, {Version: p.EscalateTo}}
	case plan.Single:
		return []Step{{Version: p.Version}}
	default:
		return nil
	}
}

// runPlan runs the steps of a plan until an answer is not weak. The output of all
// steps but the last is buffered, since the caller must not see a rejected answer.
func (r *Relay) runPlan(ctx context.Context, q *request, p decision) (*Answer, error) {
	for i, s := range p.steps {
		last := i == len(p.steps)-1
		if i > 0 {
			r.setPin(q, s.Version, false, last)
		}
		// An answer that the caller gets in one piece is buffered too, so that a broken
		// attempt leaves no part of its answer with the caller.
		t, err := r.runStep(ctx, q, s, last && q.Streaming)
		if err != nil && !last && r.mayEscalate(ctx, q, err) {
			r.escalated(q, s, "failed")
			continue
		}
		if err != nil {
			return nil, err
		}
		if !last && t.end.GetMeanLogprob() < s.MinLogprob {
			r.addReceipt(q, t.attempt, t.end, ledger.RoleAttempt, ledger.OutcomeComplete)
			r.observe(q, t.attempt, t.end)
			r.sampleWeak(q, s, t.end)
			r.escalated(q, s, "weak")
			continue
		}
		return r.accept(q, s, t)
	}
	return nil, refuse.New(refuse.Internal, q.ran, "the plan ended without an answer")
}

// mayEscalate reports whether the next step of a plan may run after a failed one. If
// an attempt of the failed step may have run, this takes a retry from the budget.
func (r *Relay) mayEscalate(ctx context.Context, q *request, err error) bool {
	var again *replanError
	if ctx.Err() != nil || q.textCount > 0 || errors.As(err, &again) {
		return false
	}
	e, ok := refuse.As(err)
	if !ok || !repeatable(e) {
		return false
	}
	return e.Ran == refuse.NotRun || r.retry(ctx)
}

// escalated records that the next step runs instead of s, whose answer was weak or failed.
func (r *Relay) escalated(q *request, s Step, why string) {
	r.count.Escalations.Add(1)
	q.escalatedFrom = s.Version
	r.record(event.Escalated, q, map[string]string{"from": s.Version.String(), "why": why})
}

// sampleWeak offers half of the weak answers for rating, in place of the accepted
// ones, since the rating service rates only one answer of a request. If weak answers
// were never rated, their estimated quality would stay the prior.
func (r *Relay) sampleWeak(q *request, s Step, e *wire.End) {
	if seed(q.ID, 0)%2 == 0 {
		q.sampled = true
		r.sample(q, s, e)
	}
}

// sample offers an answer for rating.
func (r *Relay) sample(q *request, s Step, e *wire.End) {
	if r.o.Sample == nil {
		return
	}
	r.o.Sample(Sample{Chat: q.Chat, Version: s.Version, EscalatedFrom: q.escalatedFrom, Logprob: e.GetMeanLogprob()})
}

// accept sends the buffered text of a complete answer, bills it and returns the answer.
func (r *Relay) accept(q *request, s Step, t *completed) (*Answer, error) {
	if !q.head.Final {
		q.head.Final = true
		q.sink.SetHead(q.head)
	}
	for _, d := range t.buffered {
		if err := r.relayText(q, t.attempt, d); err != nil {
			return nil, refuse.New(refuse.Cancelled, refuse.DidRun, "the caller left")
		}
	}
	r.addReceipt(q, t.attempt, t.end, ledger.RoleBill, ledger.OutcomeComplete)
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

// relayText sends one piece of text to the sink and counts it as relayed.
func (r *Relay) relayText(q *request, a *attempt, d *wire.Data) error {
	q.relayed += ident.Tokens(d.GetTokens())
	q.relayedBy = a
	q.textCount++
	return q.sink.Text(d.GetText())
}

// finalRefusal turns an error into the refusal that the caller gets. A deadline that
// passed, a caller that disconnected and the drain limit take precedence over the error. If an
// attempt may have run, it adds a billing receipt for only the relayed tokens;
// without one, the receipt of the agent would be billed.
func (r *Relay) finalRefusal(ctx context.Context, q *request, err error) *refuse.Error {
	if q.textCount > 0 {
		q.ran = refuse.DidRun
	}
	e := refuse.FromError(err, q.ran)
	var again *replanError
	if errors.As(err, &again) {
		e = again.refusal
	}
	switch {
	case abort.Expired(ctx):
		e = refuse.New(refuse.DeadlineExceeded, q.ran, "the request's time is over")
	case abort.Drained(ctx) && q.textCount > 0:
		r.count.Broken.Add(1)
		e = refuse.New(refuse.StreamBroken, q.ran, "the stream can't be continued: this entry stopped")
	case ctx.Err() != nil:
		e = abort.Refusal(ctx, q.ran)
	}
	if e.Ran == refuse.NotRun && q.ran != refuse.NotRun {
		c := *e
		c.Ran = q.ran
		e = &c
	}
	if q.ran != refuse.NotRun {
		r.billPartial(ctx, q, e)
	}
	return e
}
