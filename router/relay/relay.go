// Package relay forwards an admitted request: it picks the upstreams, sends the attempts,
// decides on retries and writes the final response to the client.
package relay

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/late"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/router/budget"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/crash"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/link"
	"tarragonvalve.example/router/meter"
	"tarragonvalve.example/router/mirror"
	"tarragonvalve.example/router/notice"
	"tarragonvalve.example/router/pins"
	"tarragonvalve.example/router/place"
	"tarragonvalve.example/router/poison"
	"tarragonvalve.example/router/probe"
	"tarragonvalve.example/router/quota"
	"tarragonvalve.example/router/routes"
	"tarragonvalve.example/router/speed"
)

const (
	// responseReserve is the part of the client's time kept for the response's way back.
	responseReserve = 20 * time.Millisecond
	// maxBuffered bounds the body, in bytes, of a response that is buffered until it is complete.
	maxBuffered = 4 << 20
	// minInstances is the least number of instances among which an upstream's
	// connections are divided: some that have just started may not be counted yet.
	minInstances = 8
	// overcommit is the factor by which the connections of all instances together may
	// exceed what an upstream accepts: a burst reaches only a few instances at a time.
	// Without it, 60 instead of 4 payments through 23 instances were late, as they
	// waited for connections.
	overcommit = 3
	// lostPauses is how many times the longest pause that a route allows a stream must pause until another
	// upstream is asked to go on. The stream is late already, and the other one would process its prompt again and
	// delay its own streams; clients give up after eight such pauses.
	lostPauses = 3
)

// Job is one admitted request with the results of its admission.
type Job struct {
	// Document is the configuration under which the request was admitted.
	Document *routes.Document
	Route    *routes.Route
	// Account is empty if the route needs no key.
	Account ident.AccountID
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Meta holds the values read from the client's headers.
	Meta   call.Request
	Method string
	// Target is the path and query as the client sent them.
	Target  string
	Host    string
	Header  http.Header
	Body    []byte
	Arrived time.Time
	// Deadline is the earlier end of the client's and the route's timeout.
	Deadline time.Time
	// Recheck returns a *refuse.Error if the request would no longer be admitted. It is
	// called right before each send as long as no upstream may have run the request; nil
	// means no check.
	Recheck func() error
}

// TruncatedError reports a response that ended early after its headers were sent to the client.
type TruncatedError struct {
	Err error
	// Answering is true if an upstream was sending the response until then. Otherwise the request waited for one
	// that goes on with it.
	Answering bool
	// Idle is the time since the client was sent the latest part of the response.
	Idle time.Duration
}

func (e *TruncatedError) Error() string { return "response truncated: " + e.Err.Error() }

func (e *TruncatedError) Unwrap() error { return e.Err }

// Options are the dependencies and settings of a Relay.
type Options struct {
	Syncer   *mirror.Syncer
	Links    *link.Pool
	Codec    call.Codec
	Balancer *place.Balancer
	Probe    *probe.Monitor
	// Notices holds the upstreams' announcements of shutdowns and pauses.
	Notices *notice.Registry
	// Crashes relates the crashes of upstreams to requests.
	Crashes *crash.Monitor
	// Poison knows the prompts that crash upstreams.
	Poison *poison.Registry
	// Pins keeps sessions with the version that serves them.
	Pins *pins.Registry
	// Canary collects the results that decide on a roll-out.
	Canary *canary.Monitor
	// Presence tracks whether the old versions have upstreams during roll-outs.
	Presence *canary.Presence
	// Budget limits retries.
	Budget *budget.Budget
	Meter  *meter.Meter
	// Speed learns how fast the upstreams of engine services are.
	Speed *speed.Registry
	Now   clock.Func
	// Lateness is that of this process.
	Lateness late.Func
	Log      zerolog.Logger
	// Domain is the failure domain of this instance.
	Domain ident.DomainID
	// Values are what 1,000 weighted tokens of a correct response are worth, indexed by the
	// route's priority, in the unit of the models' prices; the last one also serves less
	// urgent routes.
	Values []float64
	// Memory bounds the response bodies that are buffered until they are complete.
	Memory *quota.MemoryLimit
	// Size returns the number of instances that share the upstreams' connection limits.
	Size func() int
}

// Relay forwards requests to upstreams. It is safe for concurrent use.
type Relay struct {
	Options
}

// New returns a relay that uses o.
func New(o Options) *Relay {
	return &Relay{Options: o}
}

// Serve forwards a request and writes the response to w. If that fails it returns a
// *refuse.Error as long as nothing was written to the client, or a *TruncatedError once
// the response's headers were.
func (r *Relay) Serve(ctx context.Context, w http.ResponseWriter, j *Job) error {
	ctx, stop := context.WithDeadlineCause(ctx, j.Deadline, context.DeadlineExceeded)
	defer stop()
	s, ok := j.Route.PickService(xxhash.Sum64String(string(j.Meta.ID)))
	if !ok {
		return refuse.New(refuse.NoUpstream, refuse.NotRun, "route %s has no service", j.Route.ID).WithRetryAfter(time.Second)
	}
	t := &request{Relay: r, Job: j, service: s, prompt: crash.NewPrompt(s, j.Meta, crash.Content{Account: j.Account, Method: j.Method, Target: j.Target, Body: j.Body})}
	r.Budget.RecordRequest(s, r.Now())
	if err := t.checkPrompt(); err != nil && !t.startTrial(ctx) {
		return err
	}
	if j.Route.Kind == routes.Stream {
		return t.serveStream(ctx, w)
	}
	return t.serveBuffered(ctx, w)
}

// request is the state of one request across all its attempts.
type request struct {
	*Relay
	*Job
	service ident.ServiceID
	prompt  crash.Prompt
	// runs counts the attempts in which an upstream may have run the request.
	runs int
	// attempts counts all attempts, also those that an upstream rejected.
	attempts int
	// mayHaveRun is true once an upstream may have run the request.
	mayHaveRun bool
	// excluded holds the upstreams that have been tried with the present model.
	excluded []ident.UpstreamID
	// retryGranted is a retry that has been taken from the budget and not been used, or nil.
	retryGranted atomic.Pointer[retryGrant]
	// trial is true if the request is sent although a quarantine refuses it.
	trial bool
	// crashes counts the attempts whose upstream may have ended because of the request.
	crashes int
	// permit allows the next attempt if its upstream limits its requests.
	permit notice.Permit
	// rejection is why the last attempt that did not run was rejected or not sent.
	rejection string
	// streamVersion is the version of the upstream that began the stream; it is set once the
	// headers were sent to the client. Only upstreams of the same version can continue it.
	streamVersion fleet.Version
	// assignment is how the last attempt's version was assigned.
	assignment assignment
	// succession continues the stream elsewhere if the present attempt pauses; nil if it is no stream.
	succession *succession
	// waiting is true while the attempt is a successor that has not taken over.
	waiting atomic.Bool
}

// outcome is the result of one attempt. The cases are listed below and in stream.go.
type outcome interface{ outcome() }

type (
	// answered carries the response of an upstream, its body unread, and the attempt, which
	// the receiver must finish or release.
	answered struct {
		*link.Response
		*attempt
	}
	// notRun means that the request did not run: it wasn't sent, or the upstream said so.
	notRun struct{ reason string }
	// unknown means that the request may have run and there is no usable response.
	unknown struct {
		err error
		// answering is true if the upstream had begun to send the response.
		answering bool
	}
	// noUpstream means that no eligible upstream is left.
	noUpstream struct{}
	// inadmissible means that the request is no longer admitted; this attempt sent nothing.
	inadmissible struct{ err *refuse.Error }
)

func (answered) outcome()     {}
func (notRun) outcome()       {}
func (unknown) outcome()      {}
func (noUpstream) outcome()   {}
func (inadmissible) outcome() {}

// pick chooses an upstream to serve the request by a model. It returns false if none is eligible.
func (t *request) pick(model ident.ModelID) (place.Choice, bool) {
	v := t.Syncer.View()
	return t.Balancer.Pick(t.candidates(v), t.query(v, model), time.Now())
}

// send picks an upstream and sends the request to it once. The caller must finish or release
// the attempt in an answered outcome. send arranges for cancel, which must cancel ctx, to be
// called if the attempt is to end early in favor of a retry. s needs only the fields of a
// resumed stream; send sets the others.
func (t *request) send(ctx context.Context, cancel context.CancelCauseFunc, model ident.ModelID, s call.Outbound) outcome {
	c, ok := t.choose(ctx, model)
	if !ok {
		return noUpstream{}
	}
	u := c.Upstream
	t.excluded = append(t.excluded, u.ID)
	t.attempts++
	began := time.Now()
	if t.Meta.Session != "" {
		t.Pins.Served(t.service, t.session(), u.Version, began)
	}
	o := &attempt{
		request: t, upstream: u, began: began, placement: t.Balancer.Start(c, began), serviceSize: c.ServiceSize, nominal: c.Nominal,
		target: t.observedTarget(u, model), promptTokens: t.promptTokens(c), resumes: s.Resumes,
	}
	cancelAttempt := t.cancelForRetry(u, cancel)
	o.progress = t.Probe.Start(u, lostPauses*t.Route.MaxPause, cancelAttempt, began)
	o.verdict = t.Crashes.Start(u.Incarnation(), t.prompt, cancel)
	o.responseTimer = clock.AfterFunc(max(t.Route.Objective, minAttemptTime), func() {
		if cancelAttempt != nil {
			cancelAttempt(errLate)
		}
	})
	s.Timeout = time.Until(t.Deadline) - responseReserve
	s.Upstream = u.ID
	if c.CopySource != nil {
		s.Source = c.CopySource.Address
	}
	s.Account = t.Account
	s.Model = model
	s.Priority = -1
	if t.isEngine() {
		s.Priority = min(t.Priority, maxPriority)
	}
	a, err := t.Links.Send(ctx, &link.Request{
		Address: u.Address, Method: t.Method, Target: t.Target, Host: t.Host,
		Header: t.Codec.UpstreamHeaders(t.Header, s), Body: t.Body, ID: t.Meta.ID,
		NonIdempotent: !t.Route.Retryable(), MaxConnections: t.maxConnections(),
		Recheck: func() error { return t.recheck(u) },
	})
	r := t.classify(ctx, a, err, o)
	t.logAttempt(c, model, r, time.Since(began))
	return r
}

// classify derives the outcome of a send. It finishes or releases the attempt unless the
// outcome is answered.
func (t *request) classify(ctx context.Context, a *link.Response, err error, o *attempt) outcome {
	var n *link.NotSentError
	var d *link.DialError
	var v *refuse.Error
	switch {
	case errors.As(err, &v):
		o.release()
		return inadmissible{err: v}
	case errors.As(err, &n):
		if errors.As(err, &d) && ctx.Err() == nil {
			t.Probe.ConnectFailed(o.upstream)
		}
		o.release()
		t.rejection = n.Err.Error()
		return notRun{reason: t.rejection}
	case err != nil:
		t.recordLimit(err, o.upstream)
		t.markRun()
		if cause := context.Cause(ctx); errors.Is(cause, context.Canceled) || errors.Is(cause, poison.ErrQuarantined) {
			// The client closed its connection, or the request must not run anywhere: neither is
			// a fault of the upstream.
			o.release()
		} else {
			if context.Cause(ctx) == nil {
				o.connectionLost()
			}
			if now := time.Now(); !o.Canary.MeasuresLate(now) {
				o.placement.TimedOut(now)
			}
			o.finish(false)
		}
		return unknown{err: err}
	}
	o.status = a.Status
	o.headersReceived()
	o.recordNotices(a)
	if a.Meta.HasLoad {
		now := time.Now()
		o.placement.LoadReported(a.Meta.Load, now)
		o.Speed.Reported(o.upstream.ID, a.Meta.Load, now)
		o.waitingThen = a.Meta.Load.Waiting
	}
	if a.Meta.NotRun {
		o.verdict.Received(time.Now())
		drain(a)
		// A rejection under load doesn't count as a failure of the upstream.
		o.release()
		t.rejection = http.StatusText(a.Status)
		return notRun{reason: t.rejection}
	}
	t.markRun()
	o.verdict.Began(time.Now())
	o.placement.PromptProcessed(time.Now())
	if a.Meta.Encoded {
		a.End()
		o.finish(false)
		return unknown{err: errEncoded}
	}
	return answered{Response: a, attempt: o}
}

// maxConnections returns how many connections to an upstream this instance may open: its share
// of those that the upstream accepts, at least 1, or 0 if the service has no limit.
func (t *request) maxConnections() int {
	n := t.Document.Services[t.service].MaxConnections
	if n <= 0 {
		return 0
	}
	return max(min(n/minInstances, overcommit*n/max(t.Size(), 1)), 1)
}

// ran states whether the request has run.
func (t *request) ran() refuse.Ran {
	if t.mayHaveRun {
		return refuse.Unknown
	}
	return refuse.NotRun
}

// markRun records that an upstream may have run the request.
func (t *request) markRun() {
	t.runs++
	t.mayHaveRun = true
}

var errEncoded = errors.New("the answer's body is encoded, so it isn't the upstream's")

// maxPriority is the least urgent priority that model engines accept.
const maxPriority = 9

// refusal returns the refusal of a request without a usable response. o is the last
// attempt's outcome.
func (t *request) refusal(ctx context.Context, o outcome) error {
	ran := t.ran()
	switch o := o.(type) {
	case notRun, noUpstream:
		if t.mayHaveRun {
			break
		}
		if d, ok := t.untilAccepting(time.Now()); ok {
			return refuse.New(refuse.Overloaded, ran, "all upstreams of service %s want no more requests now", t.service).WithRetryAfter(d)
		}
		if t.rejection != "" {
			return refuse.New(refuse.Overloaded, ran, "no upstream took the request: %s", t.rejection).WithRetryAfter(retryAfterRejection)
		}
		if t.assignment == assignedOld {
			return refuse.New(refuse.NoUpstream, ran, "no upstream of the old version of service %s is known, and the new one is not proven", t.service).WithRetryAfter(retryNoUpstream)
		}
		return refuse.New(refuse.NoUpstream, ran, "no upstream of service %s is known", t.service).WithRetryAfter(retryNoUpstream)
	case inadmissible:
		if !t.mayHaveRun {
			return o.err
		}
	case unknown:
		if err, ok := refuse.As(t.checkPrompt()); ok {
			return err
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return refuse.New(refuse.DeadlineExceeded, ran, "no answer of an upstream in time")
		}
		return refuse.New(refuse.UpstreamFailed, ran, "%v", o.err)
	}
	return refuse.New(refuse.UpstreamFailed, ran, "the request may have run and no upstream answered")
}

const (
	// retryAfterRejection is the Retry-After of a request that no upstream ran, after a
	// rejection or a failed send.
	retryAfterRejection = 300 * time.Millisecond
	// retryNoUpstream is the Retry-After of a request for which no upstream was found.
	retryNoUpstream = time.Second
)

// drain reads up to 4 KiB of a response's body, so that the connection of a short response
// can be reused, and ends the response.
func drain(a *link.Response) {
	var b [512]byte
	for range 8 {
		if _, err := a.Read(b[:]); err != nil {
			break
		}
	}
	a.End()
}
