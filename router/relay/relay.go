// Package relay drives one request of a client: which upstreams it is sent to,
// what is repeated, and what the client gets in the end.
package relay

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/router/budget"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/clock"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/known"
	"tarragonvalve.example/router/link"
	"tarragonvalve.example/router/meter"
	"tarragonvalve.example/router/notice"
	"tarragonvalve.example/router/place"
	"tarragonvalve.example/router/pulse"
	"tarragonvalve.example/router/quota"
	"tarragonvalve.example/router/routes"
)

const (
	// answerReserve is left of the client's time for the answer's way back.
	answerReserve = 20 * time.Millisecond
	// maxWhole bounds an answer that is held until it is complete.
	maxWhole = 4 << 20
	// leastInstances is the least number of instances among which an upstream's
	// connections are divided: others may have started that are not known yet.
	leastInstances = 8
	// overcommit is how many times more connections all instances together may open
	// than an upstream accepts: bursts meet few of them at a time. Without it payments
	// of 23 instances waited for connections (60 late in place of 4).
	overcommit = 3
)

// Job is one admitted request.
type Job struct {
	Document *routes.Document
	Route    *routes.Route
	Account  ident.AccountID
	// Priority is the urgency, 0 first.
	Priority int
	Meta     call.Request
	Method   string
	Target   string
	Host     string
	Header   http.Header
	Body     []byte
	Arrived  time.Time
	// Deadline is when the client, or the route's time, is over.
	Deadline time.Time
	// Valid returns a *refuse.Error if the request would no longer be admitted. It is
	// asked before a request that has not run is sent; nil admits always.
	Valid func() error
}

// CutError reports an answer that was broken off after its head was sent.
type CutError struct {
	Err error
}

func (e *CutError) Error() string { return "answer cut: " + e.Err.Error() }

func (e *CutError) Unwrap() error { return e.Err }

// Options are the parts that a Relay uses.
type Options struct {
	Node  *known.Syncer
	Links *link.Pool
	Codec call.Codec
	Book  *place.Balancer
	Pulse *pulse.Monitor
	// Notices holds what upstreams said of themselves.
	Notices *notice.Registry
	Watch   *canary.Monitor
	Budget  *budget.Budget
	Meter   *meter.Meter
	Now     clock.Func
	Log     zerolog.Logger
	Domain  ident.DomainID
	// Values are what 1,000 tokens of a right answer are worth, by the priority of
	// the route, in the unit of the models' prices.
	Values []float64
	// Memory bounds the answers that are held until they are complete.
	Memory *quota.MemoryLimit
	// Size returns the number of instances that share the upstreams' limits.
	Size func() int
}

// Relay drives requests. It is safe for concurrent use.
type Relay struct {
	Options
}

// New returns a relay.
func New(o Options) *Relay {
	return &Relay{Options: o}
}

// Serve answers a request. It returns a *refuse.Error if nothing was sent to the
// client yet, and a *CutError if the answer's head was.
func (r *Relay) Serve(ctx context.Context, w http.ResponseWriter, j *Job) error {
	ctx, stop := context.WithDeadlineCause(ctx, j.Deadline, context.DeadlineExceeded)
	defer stop()
	s, ok := j.Route.Service(xxhash.Sum64String(string(j.Meta.ID)))
	if !ok {
		return refuse.New(refuse.NoUpstream, refuse.NotRun, "route %s has no service", j.Route.ID).After(time.Second)
	}
	t := &try{Relay: r, Job: j, service: s}
	r.Budget.RecordRequest(s, r.Now())
	if j.Route.Kind == routes.Stream {
		return t.stream(ctx, w)
	}
	return t.whole(ctx, w)
}

// try is the state of one request.
type try struct {
	*Relay
	*Job
	service ident.ServiceID
	// sent counts the upstreams that may have run the request.
	sent int
	// offers counts all sends, also those that an upstream rejected.
	offers int
	// ran is true once an upstream may have run the request.
	ran     bool
	exclude []ident.UpstreamID
	// granted is true while a repeat was taken from the budget and not yet used.
	granted atomic.Bool
	// reason is why the last upstream did not take the request.
	reason string
	// version is set once an answer has begun; it can only go on at the same version.
	version fleet.Version
}

// outcome is the result of one send; the sealed cases are below.
type outcome interface{ outcome() }

type (
	// answered carries an answer of an upstream, its body unread.
	answered struct {
		*link.Answer
		*offer
	}
	// rejected means that the request did not run.
	rejected struct{ reason string }
	// lost means that the request may have run and no answer came.
	lost struct{ err error }
	// none means that no upstream is left to try.
	none struct{}
	// invalid means that the request is no longer admitted; nothing was sent.
	invalid struct{ err *refuse.Error }
)

func (answered) outcome() {}
func (rejected) outcome() {}
func (lost) outcome()     {}
func (none) outcome()     {}
func (invalid) outcome()  {}

// offer is a request on its way to one upstream.
type offer struct {
	*try
	upstream *fleet.Upstream
	attempt  *place.Attempt
	wait     *pulse.Attempt
	// first ends the attempt if its answer doesn't begin in time.
	first *time.Timer
	among int
	// latency is the time to the answer if it can be compared with others.
	latency time.Duration
}

// began records the answer's head.
func (o *offer) began() {
	now := time.Now()
	o.wait.HeadReceived(now)
	o.attempt.ResponseStarted(now)
}

// heard records content of the answer.
func (o *offer) heard() {
	o.wait.BodyReceived(time.Now())
}

// end records how the offer ended. It must be called once.
func (o *offer) end(ok bool) {
	o.left()
	o.Book.RecordOutcome(o.upstream.ID, ok, o.among, time.Now())
	o.observe(o.upstream, !ok, o.latency)
}

// left records an end that says nothing about the upstream.
func (o *offer) left() {
	o.first.Stop()
	o.wait.Done()
	o.attempt.End()
}

// pick places the request for a model.
func (t *try) pick(model ident.ModelID) (place.Choice, bool) {
	v := t.Node.View()
	return t.Book.Pick(v.Fleet.Service(t.service), t.query(v, model), time.Now())
}

// send places the request and sends it once. The offer of an answered outcome
// must be ended by the caller. cancel ends the attempt early.
func (t *try) send(ctx context.Context, cancel context.CancelCauseFunc, model ident.ModelID, s call.Send) outcome {
	c, ok := t.pick(model)
	if !ok {
		return none{}
	}
	u := c.Upstream
	t.exclude = append(t.exclude, u.ID)
	t.offers++
	began := time.Now()
	o := &offer{try: t, upstream: u, attempt: t.Book.Start(c, began), among: c.ServiceSize}
	end := t.giveUp(u, cancel)
	o.wait = t.Pulse.Start(u, t.Route.MaxPause, end, began)
	o.first = time.AfterFunc(max(t.Route.Objective, minAttempt), func() {
		if end != nil {
			end(errLate)
		}
	})
	s.Left = time.Until(t.Deadline) - answerReserve
	s.Upstream = u.ID
	if c.CopySource != nil {
		s.Source = c.CopySource.Address
	}
	s.Account = t.Account
	s.Model = model
	s.Priority = -1
	if t.engine() {
		s.Priority = min(t.Priority, maxPriority)
	}
	a, err := t.Links.Send(ctx, &link.Message{
		Address: u.Address, Method: t.Method, Target: t.Target, Host: t.Host,
		Header: t.Codec.Outgoing(t.Header, s), Body: t.Body, ID: t.Meta.ID,
		Once: !t.Route.Repeatable(), Connections: t.connections(),
		Permit: func() error { return t.permit(u) },
	})
	r := t.judge(ctx, a, err, o)
	t.record(c, model, r, time.Since(began))
	return r
}

// judge says what an exchange proves, and ends the offer unless it was answered.
func (t *try) judge(ctx context.Context, a *link.Answer, err error, o *offer) outcome {
	var n *link.NotSentError
	var d *link.DialError
	var v *refuse.Error
	switch {
	case errors.As(err, &v):
		o.left()
		return invalid{err: v}
	case errors.As(err, &n):
		if errors.As(err, &d) && ctx.Err() == nil {
			t.Pulse.ConnectFailed(o.upstream)
		}
		o.left()
		t.reason = n.Err.Error()
		return rejected{reason: t.reason}
	case err != nil:
		t.exceeded(err, o.upstream)
		t.ranOnce()
		if errors.Is(context.Cause(ctx), context.Canceled) {
			// The client left; that says nothing about the upstream.
			o.left()
		} else {
			o.attempt.TimedOut(time.Now())
			o.end(false)
		}
		return lost{err: err}
	}
	o.began()
	o.notices(a)
	if a.Meta.Loaded {
		o.attempt.LoadReported(a.Meta.Load, time.Now())
	}
	if a.Meta.NotRun {
		drain(a)
		// A full upstream is no failing one.
		o.left()
		t.reason = http.StatusText(a.Status)
		return rejected{reason: t.reason}
	}
	t.ranOnce()
	o.attempt.PromptProcessed(time.Now())
	if a.Meta.Encoded {
		a.End()
		o.end(false)
		return lost{err: errEncoded}
	}
	return answered{Answer: a, offer: o}
}

// connections returns this instance's part of the connections that an upstream
// accepts; 0 means no bound.
func (t *try) connections() int {
	n := t.Document.Services[t.service].MaxConnections
	if n <= 0 {
		return 0
	}
	return max(min(n/leastInstances, overcommit*n/max(t.Size(), 1)), 1)
}

// ranOnce records that an upstream may have run the request.
func (t *try) ranOnce() {
	t.sent++
	t.ran = true
}

var errEncoded = errors.New("the answer's body is encoded, so it isn't the upstream's")

// maxPriority is the least urgent rank that engines know.
const maxPriority = 9

// failure is the final answer when no upstream gave one.
func (t *try) failure(ctx context.Context, o outcome) error {
	ran := refuse.Unknown
	if !t.ran {
		ran = refuse.NotRun
	}
	switch o := o.(type) {
	case rejected, none:
		if t.ran {
			break
		}
		if d, ok := t.opening(time.Now()); ok {
			return refuse.New(refuse.Overloaded, ran, "all upstreams of service %s want no requests now", t.service).After(d)
		}
		if t.reason != "" {
			return refuse.New(refuse.Overloaded, ran, "no upstream took the request: %s", t.reason).After(retryFull)
		}
		return refuse.New(refuse.NoUpstream, ran, "no upstream of service %s is known", t.service).After(retryNone)
	case invalid:
		if !t.ran {
			return o.err
		}
	case lost:
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return refuse.New(refuse.DeadlineExceeded, ran, "no answer of an upstream in time")
		}
		return refuse.New(refuse.UpstreamFailed, ran, "%v", o.err)
	}
	return refuse.New(refuse.UpstreamFailed, ran, "the request may have run and no upstream answered")
}

const (
	// retryFull is when a client may come back after all upstreams were full.
	retryFull = 300 * time.Millisecond
	// retryNone is when a client may come back if no upstream was known.
	retryNone = time.Second
)

// drain reads the rest of a short answer so that its connection can be kept.
func drain(a *link.Answer) {
	var b [512]byte
	for range 8 {
		if _, err := a.Read(b[:]); err != nil {
			break
		}
	}
	a.End()
}
