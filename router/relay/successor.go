package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/events"
	"tarragonvalve.example/router/fleet"
)

// succession lets another upstream continue a stream whose upstream pauses. The attempt that holds the
// stream goes on until the first event of its successor has arrived: while all other upstreams are full
// the stream stays where it is.
type succession struct {
	// ctx is the context of the client's request, cancel ends the attempt that holds the stream.
	ctx    context.Context
	cancel context.CancelCauseFunc
	model  ident.ModelID

	mu sync.Mutex // guards all below
	// begun is true once the client has a part of the stream, lastEvent is the id of its last event, and
	// sparse is as in clientStream.
	begun, sparse bool
	lastEvent     uint64
	// latest is the state of the request after the latest successor that has not taken over.
	latest *request
	// running is the successor that is being asked; nil if there is none.
	running *successor
	// winner is the successor that has taken over.
	winner *successor
	// closed is true once no successor may take over any more.
	closed bool
}

// successor is an attempt to continue a stream.
type successor struct {
	answered
	// request is the state with which the stream goes on.
	request *request
	// after is the id of the last event before the continuation, sparse is as in clientStream.
	after  uint64
	sparse bool
	reader *events.Reader
	first  events.Event
	ctx    context.Context
	cancel context.CancelCauseFunc
	// done is closed when it is known whether it takes over.
	done chan struct{}
}

// superseded means that a successor has taken the stream over.
type superseded struct{ *successor }

func (superseded) outcome() {}

// errSuperseded is the cause of the end of an attempt whose successor has taken over.
var errSuperseded = errors.New("another upstream continues the stream")

// forward passes an event on by f, unless a successor has taken over.
func (s *succession) forward(c *clientStream, f func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.winner != nil {
		return errSuperseded
	}
	err := f()
	s.begun, s.lastEvent, s.sparse = c.headersSent, c.lastEvent, c.sparse
	return err
}

// start asks another upstream than u and those in tried to continue the stream, unless one is being asked. It
// doesn't block: while an event is passed on, the stream doesn't pause.
func (s *succession) start(t *request, u *fleet.Upstream, tried []ident.UpstreamID) {
	if !s.mu.TryLock() {
		return
	}
	defer s.mu.Unlock()
	if s.closed || !s.begun || s.running != nil || s.winner != nil || t.trial {
		return
	}
	if s.latest != nil {
		t = s.latest
		tried = t.excluded
	}
	if t.runs >= t.Route.Attempts || t.checkPrompt() != nil || time.Until(t.Deadline) < 2*responseReserve {
		return
	}
	p, ok := t.takeAlternative(u, tried)
	if !ok || !t.Budget.TakeRetry(t.service, t.Now()) {
		return
	}
	next := t.fork()
	next.permit = p
	x := &successor{request: next, after: s.lastEvent, sparse: s.sparse, done: make(chan struct{})}
	x.ctx, x.cancel = context.WithCancelCause(s.ctx)
	next.succession = &succession{ctx: s.ctx, cancel: x.cancel, model: s.model, begun: true, lastEvent: s.lastEvent, sparse: s.sparse}
	s.running = x
	go s.run(x)
}

// fork returns a copy of the request's state for a successor. The lost connections are counted apart, as the
// attempt that holds the stream may lose its own meanwhile.
func (t *request) fork() *request {
	n := &request{
		Relay: t.Relay, Job: t.Job, service: t.service, prompt: t.prompt, runs: t.runs, attempts: t.attempts, mayHaveRun: t.mayHaveRun,
		excluded: slices.Clone(t.excluded), rejection: t.rejection, streamVersion: t.streamVersion, assignment: t.assignment,
	}
	n.waiting.Store(true)
	return n
}

// run asks an upstream to continue the stream and lets it take over if it does.
func (s *succession) run(x *successor) {
	defer close(x.done)
	if x.begin(s.model) && s.takeOver(x) {
		return
	}
	x.cancel(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running, s.latest = nil, x.request
}

// begin sends the request and reads the first event of the continuation. It returns false if there is none,
// and has then ended the attempt.
func (x *successor) begin(m ident.ModelID) bool {
	o, ok := x.request.send(x.ctx, x.cancel, m, call.Outbound{LastEvent: x.after, Resumes: true}).(answered)
	if !ok {
		return false
	}
	x.answered = o
	if o.Status != http.StatusOK || !o.Meta.HasReceipt {
		o.finish(o.Status < http.StatusInternalServerError)
		o.End()
		return false
	}
	o.reportFirstResponse()
	x.reader = events.NewReader(o)
	if x.readFirst() {
		return true
	}
	if errors.Is(context.Cause(x.ctx), context.Canceled) {
		o.release()
	} else {
		o.finish(false)
	}
	o.End()
	return false
}

// readFirst reads the first event of the continuation. It returns false unless it follows the last event.
func (x *successor) readFirst() bool {
	for {
		e, err := x.reader.Next()
		switch {
		case err != nil:
			if context.Cause(x.ctx) == nil {
				x.connectionLost()
			}
			x.request.recordLimit(err, x.upstream)
			return false
		case e.CommentOnly:
			continue
		}
		x.responseTimer.Stop()
		x.eventReceived()
		x.first = e
		return e.HasID && isNext(x.after, e.ID, x.sparse)
	}
}

// takeOver lets a successor take over, unless the attempt that holds the stream has gone on meanwhile.
func (s *succession) takeOver(x *successor) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.lastEvent != x.after || s.ctx.Err() != nil {
		x.release()
		x.End()
		return false
	}
	x.request.waiting.Store(false)
	s.running, s.winner = nil, x
	s.cancel(errSuperseded)
	return true
}

// finish ends the succession and returns the successor that takes the stream over, if there is one. If the
// attempt that held the stream has failed it waits for a successor that is being asked and can still take over.
// t gets the state after those that did not.
func (s *succession) finish(t *request, failed bool) *successor {
	s.mu.Lock()
	x := s.running
	wait := failed && x != nil && x.after == s.lastEvent
	s.closed = !wait
	s.mu.Unlock()
	if x != nil {
		if wait {
			// From now on it is the only attempt, which a retry may replace like any other.
			x.request.waiting.Store(false)
		} else {
			x.cancel(context.Canceled)
		}
		<-x.done
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if n := s.latest; n != nil {
		t.runs, t.attempts, t.excluded, t.rejection = n.runs, n.attempts, n.excluded, n.rejection
		t.crashes += n.crashes
		t.retryGranted.Store(n.retryGranted.Swap(nil))
	}
	if s.winner != nil {
		s.winner.request.crashes += t.crashes
	}
	return s.winner
}

// serve passes on the stream from the first event of the successor on.
func (x *successor) serve(c *clientStream) outcome {
	defer x.cancel(nil)
	defer x.End()
	t := x.request
	t.Meter.StreamResumed()
	t.Log.Info().Str("request", string(t.Meta.ID)).Str("upstream", string(x.upstream.ID)).Uint64("after", x.after).Msg("another upstream continues a stream that paused")
	pace := pacing{attempt: x.attempt}
	pace.eventReceived(x.first, false)
	err := t.succession.forward(c, func() error { return c.forward(t, x.answered, x.first, false) })
	return t.forwardEvents(x.ctx, c, x.answered, x.reader, pace, err)
}

// discard ends a successor that is not needed.
func (x *successor) discard() {
	x.release()
	x.End()
	x.cancel(nil)
}
