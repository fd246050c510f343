// Package mover carries the decisions about roll-outs to the store.
package mover

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/known"
)

const (
	// interval is how often the roll-outs are looked at.
	interval = 200 * time.Millisecond
	// ranks and rankDelay spread the instances' writes, so that one of them
	// usually is first and the others see it.
	ranks     = 8
	rankDelay = 120 * time.Millisecond
	// secondDelay is added by instances that hear of the store from peers: those
	// that read it themselves are the first to know.
	secondDelay = 1200 * time.Millisecond
	// tallyInterval is the shortest time between two writes of a tally.
	tallyInterval = time.Second
)

// Controller moves roll-outs forward. Its step owns all its state.
type Controller struct {
	node     *known.Syncer
	watch    *canary.Monitor
	instance string
	maxShare func() float64
	log      zerolog.Logger

	// due is when this instance writes a state that it found due.
	due     map[ident.ServiceID]pending
	tallied map[ident.ServiceID]tallied
}

type pending struct {
	phase canary.Phase
	order uint64
	at    time.Time
}

type tallied struct {
	canary.Tally
	at time.Time
}

// New returns a mover of an instance. maxShare is the bound on the share of a canary.
func New(n *known.Syncer, w *canary.Monitor, instance string, maxShare func() float64, l zerolog.Logger) *Controller {
	return &Controller{
		node: n, watch: w, instance: instance, maxShare: maxShare, log: l,
		due: map[ident.ServiceID]pending{}, tallied: map[ident.ServiceID]tallied{},
	}
}

// Name is the name of the step.
func (m *Controller) Name() string { return "roll-outs" }

// Run works until ctx ends.
func (m *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		c := m.node.Changed()
		if !m.step(ctx) {
			// Nothing moves until something changes.
			select {
			case <-ctx.Done():
			case <-c:
			}
			continue
		}
		t := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-c:
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// step looks at all roll-outs once and reports whether one is under way.
func (m *Controller) step(ctx context.Context) bool {
	v := m.node.View()
	moving := false
	for s, o := range v.Orders {
		p, ok := v.Progress[s]
		if ok && p.Progress.Order == o.Revision && p.Progress.Phase.Final() {
			delete(m.due, s)
			continue
		}
		moving = true
		if v.ProgressRead {
			m.move(ctx, v, o)
		}
	}
	return moving
}

func (m *Controller) move(ctx context.Context, v *known.View, o canary.Order) {
	m.saveTally(ctx, o)
	f, ok := m.facts(v, o)
	if !ok {
		return
	}
	a, ok := canary.Decide(f).(canary.Save)
	if !ok {
		delete(m.due, o.Service)
		return
	}
	if !m.isDue(a) {
		return
	}
	err := m.node.SaveProgress(ctx, a.Progress, v.Progress[o.Service].Revision)
	var c *known.ConflictError
	switch {
	case err == nil:
		m.log.Info().Str("service", string(o.Service)).Str("version", string(o.To)).
			Stringer("phase", a.Progress.Phase).Str("reason", a.Reason).Dur("age", f.StoreClock-a.Progress.StartedAt).Msg("roll-out state written")
	case errors.As(err, &c):
		m.log.Info().Str("service", string(o.Service)).Stringer("phase", a.Progress.Phase).Msg("roll-out state was written by another instance")
	default:
		m.log.Warn().Err(err).Str("service", string(o.Service)).Stringer("phase", a.Progress.Phase).Msg("roll-out state not written")
	}
	// Whatever happened, the next view tells the state; until then nothing is repeated.
	m.due[o.Service] = pending{phase: a.Progress.Phase, order: o.Revision, at: time.Now().Add(ranks * rankDelay)}
}

func (m *Controller) facts(v *known.View, o canary.Order) (canary.Inputs, bool) {
	c, ok := m.node.StoreClock()
	if !ok {
		return canary.Inputs{}, false
	}
	f := canary.Inputs{Order: o, StoreClock: c, MaxShare: m.maxShare(), Verdict: m.watch.Verdict(o.Service, o.Revision)}
	if p, ok := v.Progress[o.Service]; ok {
		f.Progress = &p.Progress
	}
	f.OldUpstreams, f.NewUpstreams = count(v.Fleet.Service(o.Service), o.To)
	for _, t := range v.Tallies {
		if t.Service == o.Service {
			f.Tallies = append(f.Tallies, t)
		}
	}
	return f, true
}

func count(us []*fleet.Upstream, to fleet.Version) (old, fresh int) {
	for _, u := range us {
		switch {
		case u.Draining:
		case u.Version == to:
			fresh++
		default:
			old++
		}
	}
	return old, fresh
}

// isDue reports whether it is this instance's turn to write. A reversion is
// written at once by everyone who finds it due.
func (m *Controller) isDue(a canary.Save) bool {
	now := time.Now()
	d, ok := m.due[a.Progress.Service]
	if !ok || d.phase != a.Progress.Phase || d.order != a.Progress.Order {
		delay := time.Duration(xxhash.Sum64String(m.instance)%ranks) * rankDelay
		if !m.node.ReadsStore() {
			delay += secondDelay
		}
		if a.Progress.Phase == canary.PhaseReverted {
			delay = 0
		}
		d = pending{phase: a.Progress.Phase, order: a.Progress.Order, at: now.Add(delay)}
		m.due[a.Progress.Service] = d
	}
	return !now.Before(d.at)
}

// saveTally shares bad answers with the other instances: each alone sees few.
func (m *Controller) saveTally(ctx context.Context, o canary.Order) {
	answers, bad := m.watch.Tally(o.Service, o.Revision)
	last := m.tallied[o.Service]
	if bad == 0 || (last.Order == o.Revision && last.Failed == bad) || time.Since(last.at) < tallyInterval {
		return
	}
	t := canary.Tally{Service: o.Service, Instance: m.instance, Order: o.Revision, Answers: answers, Failed: bad}
	if err := m.node.SaveTally(ctx, t); err != nil {
		m.log.Warn().Err(err).Str("service", string(o.Service)).Msg("tally not written")
		// The old tally stays, so that it is written again after the interval.
		t = last.Tally
	}
	m.tallied[o.Service] = tallied{Tally: t, at: time.Now()}
}
