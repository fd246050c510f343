package relay

import (
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/late"
	"tarragonvalve.example/router/events"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/place"
	"tarragonvalve.example/router/speed"
)

// speedTarget returns the service and the model of a request to an engine.
func (t *request) speedTarget(model ident.ModelID) speed.Target {
	if model == "" {
		model = t.Meta.Model
	}
	return speed.Target{Service: t.service, Model: model, Factor: tokenTime(t.Document.Services[t.service], model)}
}

// observedTarget returns what is observed of the speed of an attempt's upstream. It is empty unless the service's upstreams state
// that they share their machines: estimates are used of these only.
func (t *request) observedTarget(u *fleet.Upstream, model ident.ModelID) speed.Target {
	if !t.isEngine() || !t.Speed.Uneven(t.service, time.Now()) {
		return speed.Target{}
	}
	x := t.speedTarget(model)
	x.Upstream, x.Slots = u.ID, u.Slots
	return x
}

// setSpeeds sets what is known of the speed of an engine service's upstreams, and how long its streams may pause, if the
// upstreams state that they share their machines. Others are as fast as each other, and bear the prompts that they get.
func (t *request) setSpeeds(q *place.Query, model ident.ModelID) {
	now := time.Now()
	if !t.Speed.Uneven(t.service, now) {
		return
	}
	q.StreamPause = t.Document.StreamPause(t.service)
	x := t.speedTarget(model)
	q.PromptRate = t.Speed.Estimate(x, now).PromptRate
	q.Speed = func(u *fleet.Upstream, running int) place.Speed {
		x.Upstream, x.Slots = u.ID, u.Slots
		e := t.Speed.Estimate(x, now)
		s := place.Speed{Factor: e.Factor, Crowding: 1}
		if k := e.Knee; k > 0 && running >= k {
			s.Crowding = max(e.Step(running+1)/e.Step(k), 1)
		}
		return s
	}
}

// promptTokens returns the number of prompt tokens that the chosen upstream has to process.
func (t *request) promptTokens(c place.Choice) ident.Tokens {
	n := t.Meta.Input
	if p := t.Meta.Prefix; c.CacheHit && len(p) > 1 {
		for _, x := range p[:len(p)-1] {
			n -= min(x.Tokens, n)
		}
	}
	return n
}

// intervals measures the times of an attempt's events for the speed of its upstream. What arrives while this
// process is late is left out, as it may have come earlier.
type intervals struct {
	began  bool
	last   time.Time
	lastID uint64
	// tokens came since last in events that were followed by others at once.
	tokens int
}

// eventReceived records an event. more is true if further ones have arrived, whose times are unknown: the interval then
// ends with the last of them.
func (i *intervals) eventReceived(o *attempt, e events.Event, more bool) {
	if o.target.Upstream == "" {
		return
	}
	now := time.Now()
	if !i.began {
		i.began, i.last, i.lastID = true, now, e.ID
		o.observePrompt(now)
		return
	}
	// Ids that rise by more than one count tokens. Of an event without one, a step is assumed.
	n := 1
	if e.HasID && e.ID > i.lastID {
		n = int(min(e.ID-i.lastID, speed.MaxEventTokens+1))
		i.lastID = e.ID
	}
	i.tokens += n
	if more {
		return
	}
	if o.Lateness() < late.Level {
		o.Speed.Step(o.target, speed.StepObservation{Took: now.Sub(i.last), Tokens: i.tokens}, now)
	}
	i.last, i.tokens = now, 0
}

// observePrompt records the first event of an attempt. A continued stream is left out: how much of it the upstream has
// cached is unknown.
func (o *attempt) observePrompt(now time.Time) {
	x, ok := o.placement.PromptObservation(now)
	if !ok || o.resumes || o.Lateness() >= late.Level {
		return
	}
	x.Tokens, x.Waiting = o.promptTokens, o.waitingThen
	o.Speed.Prompt(o.target, x, now)
}
