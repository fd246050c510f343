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

// message is received by the control goroutine. The implementations are the types of
// this file with a message method, Outcome and Rating.
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
	size    RequestSize
	reply   chan<- admissionReply
}

type admissionReply struct {
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

type peerDemand struct {
	instance ident.InstanceID
	demand   map[ident.AccountID]limit.Demand
}

type demandQuery struct {
	reply chan<- map[ident.AccountID]limit.Demand
}

type samplesQuery struct {
	version ident.VersionRef
	reply   chan<- int
}

func (planQuery) message()    {}
func (admission) message()    {}
func (settlement) message()   {}
func (retryQuery) message()   {}
func (peerDemand) message()   {}
func (demandQuery) message()  {}
func (samplesQuery) message() {}
func (Outcome) message()      {}
func (Rating) message()       {}

// Counters count decisions and observations. They are safe for concurrent use.
type Counters struct {
	Plans            atomic.Uint64
	Cascades         atomic.Uint64
	Explored         atomic.Uint64
	BelowGoal        atomic.Uint64
	Limited          atomic.Uint64
	RetriesExhausted atomic.Uint64
	Halts            atomic.Uint64
	// HaltsSkipped counts degraded verdicts on versions that were not halted for lack
	// of a usable fallback.
	HaltsSkipped atomic.Uint64
	// Dropped counts messages that were dropped because the inbox was full.
	Dropped atomic.Uint64
}

// Controller makes the routing decisions of one entry. Its methods are safe for
// concurrent use. Run is the control goroutine: the queries, which take a context,
// wait for its answer until the context ends; the methods that record something never
// block.
type Controller struct {
	o     Options
	count Counters
	inbox chan message
	halts chan halt

	// Only the control goroutine accesses the fields below.
	quality    *plan.QualityStats
	limits     *limit.Limiter
	budget     retry.Budget
	monitor    *guard.Monitor
	latencies  map[ident.VersionRef]latency
	outputs    map[ident.TaskID]float64
	exposed    map[ident.RolloutID]map[ident.SessionID]struct{}
	halted     map[ident.VersionRef]ident.Generation
	generation ident.Generation
}

type halt struct {
	version ident.VersionRef
	reason  string
}

// New returns a controller without observations.
func New(o Options) *Controller {
	return &Controller{
		o:         o,
		inbox:     make(chan message, inboxSize),
		halts:     make(chan halt, 16),
		quality:   plan.NewQualityStats(),
		limits:    limit.New(),
		budget:    retry.NewBudget(),
		monitor:   guard.NewMonitor(o.DetectorAlpha),
		latencies: map[ident.VersionRef]latency{},
		outputs:   map[ident.TaskID]float64{},
		exposed:   map[ident.RolloutID]map[ident.SessionID]struct{}{},
		halted:    map[ident.VersionRef]ident.Generation{},
	}
}

// Name implements serve.Component.
func (c *Controller) Name() string {
	return "policy"
}

// Counters returns the controller's counters.
func (c *Controller) Counters() *Counters {
	return &c.count
}

// Run handles queries and observations until the context ends. It returns nil.
func (c *Controller) Run(ctx context.Context) error {
	go c.sendHalts(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-c.inbox:
			c.handle(m)
		}
	}
}

// sendHalts applies halts in a goroutine of its own, because the control goroutine
// does no I/O.
func (c *Controller) sendHalts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-c.halts:
			if err := c.o.Halter.Halt(ctx, h.version, h.reason); err != nil {
				c.o.Log.Warn().Err(err).Str("version", h.version.String()).Msg("halt not applied to the control state")
			}
		}
	}
}

func (c *Controller) handle(m message) {
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
			c.count.RetriesExhausted.Add(1)
		}
		m.reply <- ok
	case peerDemand:
		c.limits.ObservePeer(m.instance, m.demand, now)
	case demandQuery:
		m.reply <- c.limits.Demand(now)
	case samplesQuery:
		m.reply <- c.monitor.Samples(m.version)
	case Outcome:
		c.observe(m)
	case Rating:
		c.observeRating(m)
	}
}

func (c *Controller) admit(m admission, now time.Time) admissionReply {
	a := m.account
	l := limit.Limits{Requests: a.RequestsPerSecond, Tokens: a.TokensPerSecond}
	e := m.size.Input + c.expectedOutput(m.size.Task, m.size.MaxOutput)
	d, ok := c.limits.Allow(a.ID, l, e, now)
	if !ok {
		c.count.Limited.Add(1)
		return admissionReply{err: refuse.New(refuse.RateLimited, refuse.NotRun, "account %s is over its limit", a.ID).WithRetryAfter(d)}
	}
	c.budget = c.budget.Deposit()
	return admissionReply{estimate: e}
}

// Plan returns the plan of a request. It returns a *refuse.Error when no version may
// answer it, or when the context ends before the decision.
func (c *Controller) Plan(ctx context.Context, q Query) (Decision, error) {
	r, err := query(ctx, c, func(ch chan<- planReply) message { return planQuery{Query: q, reply: ch} })
	if err != nil {
		return Decision{}, err
	}
	return r.decision, r.err
}

// Admit charges a request to its account's limits and returns the estimated tokens
// that it was charged, for Settle. It returns a *refuse.Error, with the time after
// which a retry may be admitted, when the account exceeds its limits.
func (c *Controller) Admit(ctx context.Context, a *envdoc.Account, l RequestSize) (ident.Tokens, error) {
	r, err := query(ctx, c, func(ch chan<- admissionReply) message {
		return admission{account: a, size: l, reply: ch}
	})
	if err != nil {
		return 0, err
	}
	return r.estimate, r.err
}

// Settle replaces the estimated tokens of an admitted request by the tokens that it
// used.
func (c *Controller) Settle(a ident.AccountID, estimate, used ident.Tokens) {
	c.send(settlement{account: a, estimate: estimate, used: used})
}

// Retry reports whether the budget allows one more retry or hedge, and takes it from
// the budget.
func (c *Controller) Retry(ctx context.Context) bool {
	ok, err := query(ctx, c, func(ch chan<- bool) message { return retryQuery{reply: ch} })
	return err == nil && ok
}

// Demand returns the demand of each account at this entry, for the exchange with other
// entries. It returns nil when the context ends first.
func (c *Controller) Demand(ctx context.Context) map[ident.AccountID]limit.Demand {
	u, _ := query(ctx, c, func(ch chan<- map[ident.AccountID]limit.Demand) message { return demandQuery{reply: ch} })
	return u
}

// Samples returns the number of answers of a version in roll-out that this entry has
// compared with the old version, as guard.Monitor counts them; 0 when the context ends
// first.
func (c *Controller) Samples(ctx context.Context, v ident.VersionRef) int {
	n, _ := query(ctx, c, func(ch chan<- int) message { return samplesQuery{version: v, reply: ch} })
	return n
}

// ObservePeer records the demand that another entry reported. It is dropped when the
// inbox is full.
func (c *Controller) ObservePeer(i ident.InstanceID, u map[ident.AccountID]limit.Demand) {
	c.send(peerDemand{instance: i, demand: u})
}

// Observe records an attempt that ended. It is dropped when the inbox is full.
func (c *Controller) Observe(o Outcome) {
	c.send(o)
}

// ObserveRating records the rating of an answer. It is dropped when the inbox is full.
func (c *Controller) ObserveRating(r Rating) {
	c.send(r)
}

// send passes a message to the control goroutine without blocking. When the inbox is
// full it counts the message as dropped.
func (c *Controller) send(m message) {
	select {
	case c.inbox <- m:
	default:
		c.count.Dropped.Add(1)
	}
}

// query sends a message with a reply channel and waits for the reply. It returns a
// *refuse.Error when the context ends first.
func query[T any](ctx context.Context, c *Controller, build func(chan<- T) message) (T, error) {
	ch := make(chan T, 1)
	var zero T
	select {
	case c.inbox <- build(ch):
	case <-ctx.Done():
		return zero, deadlineError(ctx)
	}
	select {
	case r := <-ch:
		return r, nil
	case <-ctx.Done():
		return zero, deadlineError(ctx)
	}
}

func deadlineError(ctx context.Context) error {
	return refuse.New(refuse.DeadlineExceeded, refuse.NotRun, "wait for a routing decision: %v", ctx.Err())
}

// halt requests a halt of a version on this entry's own observations, at most once per
// generation.
func (c *Controller) halt(v ident.VersionRef, b guard.Degraded) {
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
		// The queue is full; the next degraded verdict tries again.
		delete(c.halted, v)
	}
}
