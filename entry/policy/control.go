package policy

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/entry/guard"
	"tarragonvalve.example/entry/limit"
	"tarragonvalve.example/entry/plan"
	"tarragonvalve.example/entry/retry"
)

// inboxSize bounds the messages that wait for the control goroutine.
const inboxSize = 4096

// message is what the control goroutine receives; the sealed cases are below.
type message interface{ message() }

type planQuery struct {
	Query
	reply chan<- planReply
}

type planReply struct {
	decision Decision
	err      error
}

type admission struct {
	account *envdoc.Account
	load    Load
	reply   chan<- admitted
}

type admitted struct {
	estimate ident.Tokens
	err      error
}

type settlement struct {
	account        ident.AccountID
	estimate, used ident.Tokens
}

type retryQuery struct {
	reply chan<- bool
}

type peerUse struct {
	instance ident.InstanceID
	use      map[ident.AccountID]limit.Use
}

type useQuery struct {
	reply chan<- map[ident.AccountID]limit.Use
}

type samplesQuery struct {
	version ident.VersionRef
	reply   chan<- int
}

func (planQuery) message()    {}
func (admission) message()    {}
func (settlement) message()   {}
func (retryQuery) message()   {}
func (peerUse) message()      {}
func (useQuery) message()     {}
func (samplesQuery) message() {}
func (Outcome) message()      {}
func (Rating) message()       {}

// Counters count decisions.
type Counters struct {
	Plans      atomic.Uint64
	Cascades   atomic.Uint64
	Explored   atomic.Uint64
	BelowGoal  atomic.Uint64
	Limited    atomic.Uint64
	RetriesOut atomic.Uint64
	Halts      atomic.Uint64
	// Spared counts findings against versions that have no usable fallback.
	Spared atomic.Uint64
	// Dropped counts observations turned away because the inbox was full.
	Dropped atomic.Uint64
}

// Control steps the decisions of one entry. Run must be running for its other methods to answer.
type Control struct {
	o     Options
	count Counters
	inbox chan message
	halts chan halt

	// The fields below belong to the control goroutine.
	quality *plan.Quality
	limits  *limit.Limiter
	budget  retry.Budget
	watch   *guard.Watch
	speeds  map[ident.VersionRef]speed
	outputs map[ident.TaskID]float64
	exposed map[ident.RolloutID]map[ident.SessionID]struct{}
	halted  map[ident.VersionRef]ident.Generation
	current ident.Generation
}

type halt struct {
	version ident.VersionRef
	reason  string
}

// New returns a control with no observations.
func New(o Options) *Control {
	return &Control{
		o:       o,
		inbox:   make(chan message, inboxSize),
		halts:   make(chan halt, 16),
		quality: plan.NewQuality(),
		limits:  limit.New(),
		budget:  retry.NewBudget(),
		watch:   guard.NewWatch(o.DetectorAlpha),
		speeds:  map[ident.VersionRef]speed{},
		outputs: map[ident.TaskID]float64{},
		exposed: map[ident.RolloutID]map[ident.SessionID]struct{}{},
		halted:  map[ident.VersionRef]ident.Generation{},
	}
}

// Name returns the name of the step in the program's start order.
func (c *Control) Name() string {
	return "policy"
}

// Counters returns the control's counters.
func (c *Control) Counters() *Counters {
	return &c.count
}

// Run steps the decisions until the context ends.
func (c *Control) Run(ctx context.Context) error {
	go c.sendHalts(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-c.inbox:
			c.step(m)
		}
	}
}

// sendHalts passes halts on outside the control goroutine, which does no I/O.
func (c *Control) sendHalts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-c.halts:
			if err := c.o.Halter.Halt(ctx, h.version, h.reason); err != nil {
				c.o.Log.Warn().Err(err).Str("version", h.version.String()).Msg("halt not stored yet")
			}
		}
	}
}

func (c *Control) step(m message) {
	now := c.o.Now()
	switch m := m.(type) {
	case planQuery:
		d, err := c.plan(m.Query)
		m.reply <- planReply{decision: d, err: err}
	case admission:
		m.reply <- c.admit(m, now)
	case settlement:
		c.limits.Settle(m.account, m.estimate, m.used)
	case retryQuery:
		b, ok := c.budget.Take()
		c.budget = b
		if !ok {
			c.count.RetriesOut.Add(1)
		}
		m.reply <- ok
	case peerUse:
		c.limits.Observe(m.instance, m.use, now)
	case useQuery:
		m.reply <- c.limits.Use(now)
	case samplesQuery:
		m.reply <- c.watch.Samples(m.version)
	case Outcome:
		c.observe(m)
	case Rating:
		c.rate(m)
	}
}

func (c *Control) admit(m admission, now time.Time) admitted {
	a := m.account
	l := limit.Limits{Requests: a.RequestsPerSecond, Tokens: a.TokensPerSecond}
	e := m.load.Input + c.expected(m.load.Task, m.load.MaxOutput)
	d, ok := c.limits.Allow(a.ID, l, e, now)
	if !ok {
		c.count.Limited.Add(1)
		return admitted{err: refuse.New(refuse.RateLimited, refuse.NotRun, "account %s is over its limit", a.ID).WithRetryAfter(d)}
	}
	c.budget = c.budget.Request()
	return admitted{estimate: e}
}

// Plan chooses how a request is answered. It returns a *refuse.Error when nothing may answer it.
func (c *Control) Plan(ctx context.Context, q Query) (Decision, error) {
	r, err := ask(ctx, c, func(ch chan<- planReply) message { return planQuery{Query: q, reply: ch} })
	if err != nil {
		return Decision{}, err
	}
	return r.decision, r.err
}

// Admit counts a request against its account's limits and returns the tokens that
// it was counted with, for Settle. It returns a *refuse.Error with a time to retry
// after when the account is over its limits.
func (c *Control) Admit(ctx context.Context, a *envdoc.Account, l Load) (ident.Tokens, error) {
	r, err := ask(ctx, c, func(ch chan<- admitted) message {
		return admission{account: a, load: l, reply: ch}
	})
	if err != nil {
		return 0, err
	}
	return r.estimate, r.err
}

// Settle corrects the estimate of an admitted request by the tokens that it used.
func (c *Control) Settle(a ident.AccountID, estimate, used ident.Tokens) {
	c.tell(settlement{account: a, estimate: estimate, used: used})
}

// Retry reports whether the budget has a retry or hedge left, and spends it.
func (c *Control) Retry(ctx context.Context) bool {
	ok, err := ask(ctx, c, func(ch chan<- bool) message { return retryQuery{reply: ch} })
	return err == nil && ok
}

// Use returns the demand of each account at this entry, for the exchange.
func (c *Control) Use(ctx context.Context) map[ident.AccountID]limit.Use {
	u, _ := ask(ctx, c, func(ch chan<- map[ident.AccountID]limit.Use) message { return useQuery{reply: ch} })
	return u
}

// Samples returns the number of answers of a version in roll-out seen by this entry.
func (c *Control) Samples(ctx context.Context, v ident.VersionRef) int {
	n, _ := ask(ctx, c, func(ch chan<- int) message { return samplesQuery{version: v, reply: ch} })
	return n
}

// Peer records the demand that another entry exchanged.
func (c *Control) Peer(i ident.InstanceID, u map[ident.AccountID]limit.Use) {
	c.tell(peerUse{instance: i, use: u})
}

// Observe records an attempt that ended. It never blocks; when the inbox is full the observation is dropped.
func (c *Control) Observe(o Outcome) {
	c.tell(o)
}

// Rated records a late rating.
func (c *Control) Rated(r Rating) {
	c.tell(r)
}

func (c *Control) tell(m message) {
	select {
	case c.inbox <- m:
	default:
		c.count.Dropped.Add(1)
	}
}

// ask sends a query and waits for the reply until the context ends.
func ask[T any](ctx context.Context, c *Control, build func(chan<- T) message) (T, error) {
	ch := make(chan T, 1)
	var zero T
	select {
	case c.inbox <- build(ch):
	case <-ctx.Done():
		return zero, ended(ctx)
	}
	select {
	case r := <-ch:
		return r, nil
	case <-ctx.Done():
		return zero, ended(ctx)
	}
}

func ended(ctx context.Context) error {
	return refuse.New(refuse.DeadlineExceeded, refuse.NotRun, "wait for a routing decision: %v", ctx.Err())
}

// halt stops a version on this entry's own evidence, once per generation.
func (c *Control) halt(v ident.VersionRef, b guard.Bad) {
	g := c.o.View().Generation()
	if at, ok := c.halted[v]; ok && at >= g {
		return
	}
	c.halted[v] = g
	reason := fmt.Sprintf("%s: rate %.3f against %.3f, evidence %.0f", b.Signal, b.Rate, b.Reference, b.Evidence)
	select {
	case c.halts <- halt{version: v, reason: reason}:
		c.count.Halts.Add(1)
		c.o.Log.Warn().Str("version", v.String()).Str("reason", reason).Msg("version halted")
		c.o.Ring.Record(event.Event{Kind: event.VersionHalted, Version: v, Fields: map[string]string{"reason": reason}})
	default:
		// The queue is full; the next bad answer tries again.
		delete(c.halted, v)
	}
}
