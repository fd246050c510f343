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
	"tarragonvalve.example/router/choose"
	"tarragonvalve.example/router/events"
	"tarragonvalve.example/router/place"
)

// OrderError reports an event stream whose ids don't follow each other.
type OrderError struct {
	After uint64
	Got   uint64
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("event %d came after event %d", e.Got, e.After)
}

// flow is the state of a stream towards the client.
type flow struct {
	w http.ResponseWriter
	f *http.ResponseController
	// begun is true once the head was sent.
	begun bool
	// last is the id of the last event that the client has; any is false before the first.
	last uint64
	any  bool
}

// stream answers a request by a series of events.
func (t *try) stream(ctx context.Context, w http.ResponseWriter) error {
	f := &flow{w: w, f: http.NewResponseController(w), last: t.Meta.LastEvent, any: t.Meta.Resumes}
	model := t.firstModel()
	for {
		o := t.streamOnce(ctx, f, &model)
		switch o := o.(type) {
		case finished:
			return nil
		case dropped:
			// The next larger model answers; the choice was made in streamOnce.
			continue
		default:
			if !final(o) && t.mayResume(f) && t.again(ctx) {
				if f.begun {
					t.Meter.Resumed()
				}
				continue
			}
			if f.begun {
				return &CutError{Err: t.failure(ctx, o)}
			}
			return t.failure(ctx, o)
		}
	}
}

type (
	// finished means that the client has the whole answer.
	finished struct{}
	// dropped means that an answer was given up for one of a larger model.
	dropped struct{}
)

func (finished) outcome() {}
func (dropped) outcome()  {}

func (t *try) mayResume(f *flow) bool {
	return t.Route.Resumable || !f.begun
}

// firstModel returns the model to start with; empty leaves the client's choice.
func (t *try) firstModel() ident.ModelID {
	ms := t.Route.Models
	if !t.Meta.AnyModel || len(ms) == 0 {
		return ""
	}
	if t.Meta.Resumes {
		// The first events came from an unknown model; the largest suits all.
		return ms[len(ms)-1]
	}
	return ms[0]
}

// smallest reports whether a model's times can be compared: larger ones answer
// other requests and take several times as long.
func (t *try) smallest(m ident.ModelID) bool {
	return len(t.Route.Models) == 0 || m == t.Route.Models[0]
}

// escalate returns the model that shall answer instead, if one is worth its price
// and the budget allows it.
func (t *try) escalate(ctx context.Context, m ident.ModelID, confidence int) (ident.ModelID, bool) {
	ms := t.Route.Models
	if m == "" || len(ms) < 2 || m == ms[len(ms)-1] || !t.Route.Repeatable() {
		return m, false
	}
	larger := ms[len(ms)-1]
	exclude := t.exclude
	t.exclude = nil
	c, ok := t.pick(larger)
	if !ok || !t.worthIt(larger, confidence, c) || !t.again(ctx) {
		t.exclude = exclude
		return m, false
	}
	return larger, true
}

func (t *try) worthIt(larger ident.ModelID, confidence int, c place.Choice) bool {
	r := choose.Request{
		Input: t.Meta.Input, MaxOutput: t.Meta.Output, OutputHint: t.Meta.Hint,
		Value: t.value(), TimeLeft: t.Route.Objective - time.Since(t.Arrived),
	}
	o := choose.Candidate{
		Model: choose.Model{ID: larger, Price: t.Document.Services[t.service].Prices[larger]},
		Delay: c.Delay, QueueDelay: c.QueueDelay,
	}
	return choose.UseLarger(r, confidence, o)
}

// value returns what 1,000 tokens of a right answer are worth at the request's urgency.
func (t *try) value() float64 {
	vs := t.Values
	if len(vs) == 0 {
		return 0
	}
	return vs[min(max(t.Route.Priority, 0), len(vs)-1)]
}

// streamOnce sends the request once and passes on the events.
func (t *try) streamOnce(ctx context.Context, f *flow, model *ident.ModelID) outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	began := time.Now()
	o := t.send(ctx, cancel, *model, call.Send{LastEvent: f.last, Resumes: f.any})
	a, ok := o.(answered)
	if !ok {
		return o
	}
	defer a.End()
	if a.Status != http.StatusOK || !a.Meta.Signed {
		a.end(a.Status < http.StatusInternalServerError)
		return t.streamFailure(f, a)
	}
	if !f.begun {
		if m, yes := t.escalate(ctx, *model, a.Meta.Confidence); yes {
			a.end(true)
			t.Meter.Larger()
			*model = m
			return dropped{}
		}
	}
	if t.smallest(*model) {
		a.latency = time.Since(began)
	}
	r := events.NewReader(a)
	for {
		e, err := r.Next()
		if errors.Is(err, io.EOF) && f.begun {
			a.end(true)
			return finished{}
		}
		if err == nil {
			if !e.Blank {
				a.first.Stop()
				a.heard()
			}
			err = f.pass(t, a, e)
		}
		if err == nil {
			continue
		}
		t.exceeded(err, a.upstream)
		if errors.Is(context.Cause(ctx), context.Canceled) {
			a.left()
		} else {
			a.end(false)
		}
		if cause := context.Cause(ctx); cause != nil {
			// The connection was closed for this reason.
			err = cause
		}
		return lost{err: err}
	}
}

// streamFailure handles an answer that is no stream.
func (t *try) streamFailure(f *flow, a answered) outcome {
	if f.begun || !a.Meta.Signed || a.Status >= http.StatusInternalServerError || a.Status == http.StatusTooManyRequests {
		return lost{err: fmt.Errorf("the upstream answered %d", a.Status)}
	}
	m := t.Memory.NewReservation()
	defer m.Free()
	b, err := t.readAll(a.Answer, m)
	if err != nil {
		t.exceeded(err, a.upstream)
		return lost{err: err}
	}
	maps.Copy(f.w.Header(), t.Codec.Reply(a.Header))
	f.w.WriteHeader(a.Status)
	if _, err := f.w.Write(b); err != nil {
		return lost{err: err}
	}
	return finished{}
}

// pass sends one event to the client.
func (f *flow) pass(t *try, a answered, e events.Event) error {
	if e.Numbered {
		if f.any && e.ID != f.last+1 {
			return &OrderError{After: f.last, Got: e.ID}
		}
		f.last, f.any = e.ID, true
	}
	if !f.begun {
		maps.Copy(f.w.Header(), t.Codec.Reply(a.Header))
		f.w.WriteHeader(a.Status)
		f.begun = true
		t.version = a.upstream.Version
	}
	if _, err := f.w.Write(e.Raw); err != nil {
		return err
	}
	return f.f.Flush()
}
