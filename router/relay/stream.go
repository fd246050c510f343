package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/choose"
	"tarragonvalve.example/router/events"
	"tarragonvalve.example/router/place"
)

// OrderError reports an event whose id doesn't follow its predecessor's.
type OrderError struct {
	// After is the id of the last event that was passed on.
	After uint64
	Got   uint64
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("event %d came after event %d", e.Got, e.After)
}

// clientStream is the client's side of a stream, across the attempts that feed it.
type clientStream struct {
	w  http.ResponseWriter
	rc *http.ResponseController
	// headersSent is true once the headers were sent.
	headersSent bool
	// lastEvent is the id of the last event with an id that the client has; it is valid if
	// hasEvent is true.
	lastEvent uint64
	hasEvent  bool
	// sparse is true if the first two events of the stream show that its ids rise by more than one.
	// Otherwise each id must be the one after its predecessor's, so that a missing event is seen.
	sparse bool
	// count is the number of events with an id that were passed on.
	count int
	// sentAt is when the latest event was passed on.
	sentAt time.Time
	// unflushed is true if events were passed on that are not yet sent.
	unflushed bool
	// continues is true until the first event of an attempt that continues after lastEvent.
	continues bool
}

// serveStream serves a request of a streaming route: it passes on each event when it is
// complete, and continues an interrupted stream at another upstream if the route allows that.
func (t *request) serveStream(ctx context.Context, w http.ResponseWriter) error {
	f := &clientStream{w: w, rc: http.NewResponseController(w), lastEvent: t.Meta.LastEvent, hasEvent: t.Meta.Resumes}
	model := t.firstModel()
	o := t.sendStream(ctx, f, &model)
	for {
		switch x := o.(type) {
		case completed:
			return nil
		case superseded:
			t = x.request
			o = x.serve(f)
			continue
		case escalated:
			// sendStream has set the larger model, which serves the next attempt.
		default:
			if !isFinal(o) && t.canResume(f) && t.takeRetry(ctx) {
				if f.headersSent {
					t.Meter.StreamResumed()
				}
				break
			}
			if f.headersSent {
				u, _ := o.(unknown)
				return &TruncatedError{Err: t.refusal(ctx, o), Answering: u.answering, Idle: time.Since(f.sentAt)}
			}
			return t.refusal(ctx, o)
		}
		o = t.sendStream(ctx, f, &model)
	}
}

type (
	// completed means that the client has the complete response.
	completed struct{}
	// escalated means that a response was abandoned before its first event to ask a larger model.
	escalated struct{}
)

func (completed) outcome() {}
func (escalated) outcome() {}

// canResume reports whether another attempt can continue the stream.
func (t *request) canResume(f *clientStream) bool {
	return t.Route.Resumable || !f.headersSent
}

// firstModel returns the model of the first attempt; empty means the one that the client named.
func (t *request) firstModel() ident.ModelID {
	ms := t.Route.Models
	if !t.Meta.AnyModel || len(ms) == 0 {
		return ""
	}
	if t.Meta.Resumes {
		// The model that sent the earlier events is unknown; the largest can continue any model's stream.
		return ms[len(ms)-1]
	}
	return ms[0]
}

// escalate decides by the confidence that model m reported whether the route's largest
// model is to serve the request instead. It returns true with that model if it is worth its
// price and the retry budget allows it, and then also clears the excluded upstreams.
func (t *request) escalate(ctx context.Context, m ident.ModelID, confidence int) (ident.ModelID, bool) {
	ms := t.Route.Models
	if m == "" || len(ms) < 2 || m == ms[len(ms)-1] || !t.Route.Retryable() {
		return m, false
	}
	larger := ms[len(ms)-1]
	exclude := t.excluded
	t.excluded = nil
	c, ok := t.pick(larger)
	if !ok || !t.worthEscalating(larger, confidence, c) || !t.takePermit(c.Upstream) || !t.takeRetry(ctx) {
		t.excluded = exclude
		return m, false
	}
	return larger, true
}

// worthEscalating reports whether a response of the larger model, at the upstream in c, is
// likely worth its price, given the confidence of the smaller model's response.
func (t *request) worthEscalating(larger ident.ModelID, confidence int, c place.Choice) bool {
	r := choose.Request{
		Input: t.Meta.Input, MaxOutput: t.Meta.Output, OutputHint: t.Meta.OutputHint,
		Value: t.tokenValue(), TimeLeft: t.Route.Objective - time.Since(t.Arrived),
	}
	o := choose.Candidate{
		Model: choose.Model{ID: larger, Price: t.Document.Services[t.service].Prices[larger]},
		Delay: c.Delay, QueueDelay: c.QueueDelay,
	}
	return choose.UseLarger(r, confidence, o)
}

// tokenValue returns what 1,000 weighted tokens of a correct response are worth at the route's
// priority, in the unit of the models' prices. It returns 0 without Options.Values.
func (t *request) tokenValue() float64 {
	vs := t.Values
	if len(vs) == 0 {
		return 0
	}
	return vs[min(max(t.Route.Priority, 0), len(vs)-1)]
}

// sendStream makes one attempt and passes on its events. It replaces model by a larger one
// when it returns escalated.
func (t *request) sendStream(ctx context.Context, f *clientStream, model *ident.ModelID) outcome {
	client := ctx
	ctx, cancel := context.WithCancelCause(client)
	defer cancel(nil)
	t.succession = &succession{ctx: client, cancel: cancel, model: *model, begun: f.headersSent, lastEvent: f.lastEvent, sparse: f.sparse}
	o := t.send(ctx, cancel, *model, call.Outbound{LastEvent: f.lastEvent, Resumes: f.hasEvent})
	a, ok := o.(answered)
	if !ok {
		return o
	}
	defer a.End()
	if a.Status != http.StatusOK || !a.Meta.HasReceipt {
		a.finish(a.Status < http.StatusInternalServerError)
		return t.handleNonStream(f, a)
	}
	a.reportFirstResponse()
	if !f.headersSent {
		if m, yes := t.escalate(ctx, *model, a.Meta.Confidence); yes {
			a.finish(true)
			t.Meter.Escalated()
			*model = m
			return escalated{}
		}
	}
	f.continues = f.hasEvent
	return t.forwardEvents(ctx, f, a, events.NewReader(a), pacing{attempt: a.attempt}, nil)
}

// forwardEvents passes on the events of an attempt until one fails; err is the failure of an earlier one. The
// caller must end a.
func (t *request) forwardEvents(ctx context.Context, f *clientStream, a answered, r *events.Reader, pace pacing, err error) outcome {
	for err == nil {
		var e events.Event
		e, err = r.Next()
		if errors.Is(err, io.EOF) && f.headersSent {
			a.verdict.Completed()
			a.finish(true)
			if x := t.succession.finish(t, false); x != nil {
				x.discard()
			}
			return completed{}
		}
		if err != nil && context.Cause(ctx) == nil {
			a.connectionLost()
		}
		if err == nil {
			if !e.CommentOnly {
				a.responseTimer.Stop()
				a.eventReceived()
			}
			more := r.Ready()
			if !e.CommentOnly {
				pace.eventReceived(e, more)
			}
			err = t.succession.forward(f, func() error { return f.forward(t, a, e, more) })
		}
	}
	// The events before one that isn't passed on may have waited for it to be sent with it.
	if x := f.flush(); x != nil {
		err = errors.Join(err, x)
	}
	t.recordLimit(err, a.upstream)
	if errors.Is(context.Cause(ctx), context.Canceled) {
		a.release()
	} else {
		a.finish(false)
	}
	if x := t.succession.finish(t, true); x != nil {
		return superseded{successor: x}
	}
	if cause := context.Cause(ctx); cause != nil {
		// The read failed because the context's end closed the connection.
		err = cause
	}
	return unknown{err: err, answering: true}
}

// handleNonStream handles a response that isn't a stream. If nothing was sent to the client
// yet, it passes on a response with a receipt and a status below 500 other than 429. The
// outcome of any other one is unknown.
func (t *request) handleNonStream(f *clientStream, a answered) outcome {
	if f.headersSent || !a.Meta.HasReceipt || a.Status >= http.StatusInternalServerError || a.Status == http.StatusTooManyRequests {
		return unknown{err: fmt.Errorf("the upstream answered %d", a.Status)}
	}
	m := t.Memory.NewReservation()
	defer m.Free()
	b, err := t.readBody(a.Response, m)
	if err != nil {
		t.recordLimit(err, a.upstream)
		return unknown{err: err}
	}
	maps.Copy(f.w.Header(), t.Codec.ClientHeaders(a.Header))
	f.w.WriteHeader(a.Status)
	if _, err := f.w.Write(b); err != nil {
		return unknown{err: err}
	}
	return completed{}
}

// forward writes one event to the client, with the headers before the first. It is sent at once unless more events are
// ready, which one write sends with it: a router that runs late, or whose upstream sends several at a time, needs fewer.
// It returns an *OrderError if the event doesn't follow the last one, and errNotContinued if an attempt
// to continue the stream begins with something else than an event with an id, such as an error's text.
func (f *clientStream) forward(t *request, a answered, e events.Event, more bool) error {
	if f.continues && !e.CommentOnly {
		if !e.HasID {
			return errNotContinued
		}
		f.continues = false
	}
	if e.HasID {
		if !f.follows(t, e.ID) {
			return &OrderError{After: f.lastEvent, Got: e.ID}
		}
		f.lastEvent, f.hasEvent = e.ID, true
		f.count++
	}
	if !f.headersSent {
		maps.Copy(f.w.Header(), t.Codec.ClientHeaders(a.Header))
		f.w.WriteHeader(a.Status)
		f.headersSent = true
		t.streamVersion = a.upstream.Version
	}
	f.sentAt = time.Now()
	if _, err := f.w.Write(e.Raw); err != nil {
		return err
	}
	f.unflushed = true
	if more {
		return nil
	}
	return f.flush()
}

// flush sends the events that were passed on.
func (f *clientStream) flush() error {
	if !f.unflushed {
		return nil
	}
	f.unflushed = false
	return f.rc.Flush()
}

// follows reports whether an event with an id may be passed on next. A missing event can't be seen in a sparse
// stream, so the ids must show that it is one: they neither begin at 1 nor go on with the next number.
func (f *clientStream) follows(t *request, id uint64) bool {
	if f.count == 1 && !t.Meta.Resumes && f.lastEvent > 1 && id > f.lastEvent+1 {
		f.sparse = true
	}
	return !f.hasEvent || isNext(f.lastEvent, id, f.sparse)
}

// isNext reports whether the event id follows the event last of a stream, which may be sparse.
func isNext(last, id uint64, sparse bool) bool {
	return id == last+1 || (sparse && id > last)
}

// errNotContinued reports a response to a continued stream that doesn't continue it.
var errNotContinued = errors.New("the answer doesn't continue the stream")

// pacedEvents is the number of events whose mean interval is reported: few, so that a slow version
// shows before its streams end.
const pacedEvents = 3

// pacing measures the interval between the first events of a stream, and those of all for the upstream's speed.
type pacing struct {
	*attempt
	count     int
	first     time.Time
	intervals intervals
}

// eventReceived records an event and reports the mean interval after pacedEvents. more is true if further events have arrived.
func (p *pacing) eventReceived(e events.Event, more bool) {
	p.intervals.eventReceived(p.attempt, e, more)
	p.count++
	switch p.count {
	case 1:
		p.first = time.Now()
	case pacedEvents:
		p.reportTiming(canary.EventInterval, p.first, (pacedEvents-1)*time.Second)
	}
}
