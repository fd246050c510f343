// Package stager advances roll-outs: it writes the decisions of package canary to the
// store.
package stager

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/mirror"
)

const (
	// interval is how often roll-outs in progress are examined.
	interval = 200 * time.Millisecond
	// writeSlots and writeSlotDelay spread the writes of the instances, so that usually
	// one of them writes first and the others see the result.
	writeSlots     = 8
	writeSlotDelay = 120 * time.Millisecond
	// peerReaderDelay is added by instances that read the store through peers: those that
	// read it themselves see changes first.
	peerReaderDelay = 1200 * time.Millisecond
	// tallyInterval is the shortest time between two writes of a tally.
	tallyInterval = time.Second
)

// Controller advances roll-outs. Only the goroutine of Run uses its state.
type Controller struct {
	syncer   *mirror.Syncer
	monitor  *canary.Monitor
	presence *canary.Presence
	instance string
	maxShare func() float64
	log      zerolog.Logger

	// scheduled holds the next write of this instance for each service, saved the last
	// tally.
	scheduled map[ident.ServiceID]scheduledWrite
	saved     map[ident.ServiceID]savedTally
}

// scheduledWrite is a write of progress that this instance makes at a time.
type scheduledWrite struct {
	phase canary.Phase
	order uint64
	at    time.Time
}

// savedTally is a tally with the time of its last write, successful or not.
type savedTally struct {
	canary.Tally
	at time.Time
}

// New returns a controller for an instance. It keeps p up to date. maxShare returns the largest share of the
// traffic that a canary may get.
func New(n *mirror.Syncer, w *canary.Monitor, p *canary.Presence, instance string, maxShare func() float64, l zerolog.Logger) *Controller {
	return &Controller{
		syncer: n, monitor: w, presence: p, instance: instance, maxShare: maxShare, log: l,
		scheduled: map[ident.ServiceID]scheduledWrite{}, saved: map[ident.ServiceID]savedTally{},
	}
}

// Name implements serve.Component.
func (m *Controller) Name() string { return "roll-outs" }

// Run advances roll-outs until ctx ends.
func (m *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		c := m.syncer.Changed()
		if !m.step(ctx) {
			// Without a roll-out in progress, wait for a change of the view.
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

// step examines all roll-outs once and reports whether one is in progress.
func (m *Controller) step(ctx context.Context) bool {
	v := m.syncer.View()
	m.monitor.CheckLateness(time.Now())
	if v.UpstreamsRead {
		m.presence.Update(v.Orders, v.Fleet, time.Now())
	}
	inProgress := false
	for s, o := range v.Orders {
		p, ok := v.Progress[s]
		if ok && p.Progress.Order == o.Revision && p.Progress.Phase.Final() && !p.Lost {
			delete(m.scheduled, s)
			continue
		}
		inProgress = true
		if v.ProgressRead {
			m.advance(ctx, v, o)
		}
	}
	return inProgress
}

// advance writes the tally and the next progress of a roll-out if they are due.
func (m *Controller) advance(ctx context.Context, v *mirror.View, o canary.Order) {
	m.saveTally(ctx, v, o)
	f, ok := m.inputs(v, o)
	if !ok {
		return
	}
	a, ok := canary.Decide(f).(canary.Save)
	if !ok {
		delete(m.scheduled, o.Service)
		return
	}
	if !m.isDue(a) {
		return
	}
	err := m.syncer.SaveProgress(ctx, a.Progress, v.Progress[o.Service].Revision)
	var c *mirror.ConflictError
	switch {
	case err == nil:
		m.log.Info().Str("service", string(o.Service)).Str("version", string(o.To)).
			Stringer("phase", a.Progress.Phase).Str("reason", a.Reason).Dur("age", f.StoreClock-a.Progress.StartedAt).
			Func(m.counts(f)).Msg("roll-out state written")
	case errors.As(err, &c):
		m.log.Info().Str("service", string(o.Service)).Stringer("phase", a.Progress.Phase).Str("reason", a.Reason).Msg("roll-out state was written by another instance")
	default:
		m.log.Warn().Err(err).Str("service", string(o.Service)).Stringer("phase", a.Progress.Phase).Msg("roll-out state not written")
	}
	// Whether the write succeeded shows in the next view. Until then it isn't repeated.
	m.scheduled[o.Service] = scheduledWrite{phase: a.Progress.Phase, order: o.Revision, at: time.Now().Add(writeSlots * writeSlotDelay)}
}

// counts returns a function that adds what a decision is based on to a log line: the upstreams of both
// versions, this instance's responses of both, and those of the new version at all instances.
func (m *Controller) counts(f canary.Inputs) func(e *zerolog.Event) {
	t := m.monitor.Tally(f.Order.Service, f.Order.Origin)
	before := m.monitor.OldErrors(f.Order.Service)
	all := f.Total()
	return func(e *zerolog.Event) {
		e.Int("old-upstreams", f.OldUpstreams).Int("new-upstreams", f.NewUpstreams).Int("young-upstreams", f.YoungUpstreams).
			Int("responses", t.Responses).Int("failed", t.Failed).
			Int("old-responses", int(before.All)).Int("old-failed", int(before.Bad)).
			Int("all-responses", all.Responses).Int("all-failed", all.Failed)
	}
}

// inputs returns the inputs of a decision. It returns false until the store's clock was read.
func (m *Controller) inputs(v *mirror.View, o canary.Order) (canary.Inputs, bool) {
	c, ok := m.syncer.StoreClock()
	if !ok {
		return canary.Inputs{}, false
	}
	age, ok := m.syncer.ConfigAge()
	if !ok {
		return canary.Inputs{}, false
	}
	f := canary.Inputs{Order: o, StoreClock: c, Age: age, MaxShare: m.maxShare(), Verdict: m.monitor.Verdict(o.Service, o.Origin)}
	if p, ok := v.Progress[o.Service]; ok {
		f.Progress, f.Lost = &p.Progress, p.Lost
	}
	f.CountUpstreams(v.Fleet.Service(o.Service), time.Now())
	for _, t := range v.Tallies {
		if t.Service == o.Service {
			f.Tallies = append(f.Tallies, t)
		}
	}
	return f, true
}

// isDue reports whether this instance may write now. A reversion is written at once by
// every instance that finds it necessary.
func (m *Controller) isDue(a canary.Save) bool {
	now := time.Now()
	d, ok := m.scheduled[a.Progress.Service]
	if !ok || d.phase != a.Progress.Phase || d.order != a.Progress.Order {
		delay := time.Duration(xxhash.Sum64String(m.instance)%writeSlots) * writeSlotDelay
		if !m.syncer.ReadsStore() {
			delay += peerReaderDelay
		}
		if a.Progress.Phase == canary.PhaseReverted {
			delay = 0
		}
		d = scheduledWrite{phase: a.Progress.Phase, order: a.Progress.Order, at: now.Add(delay)}
		m.scheduled[a.Progress.Service] = d
	}
	return !now.Before(d.at)
}

// saveTally writes what this instance counted for the other instances, since each instance alone
// sees few responses. It writes nothing if the failures haven't changed nor, while the version is a
// canary, the times: after that each instance sees enough.
func (m *Controller) saveTally(ctx context.Context, v *mirror.View, o canary.Order) {
	t := m.monitor.Tally(o.Service, o.Origin)
	t.Instance, t.Order = m.instance, o.Revision
	last := m.saved[o.Service]
	if last.Order != o.Revision {
		last.Tally = canary.Tally{}
	}
	p := v.Progress[o.Service].Progress
	isCanary := p.Order == o.Revision && p.Phase == canary.PhaseCanary
	changed := t.Failed != last.Failed || (isCanary && t.Slowness != last.Slowness)
	if !changed || time.Since(last.at) < tallyInterval {
		return
	}
	saved := savedTally{Tally: t, at: time.Now()}
	if err := m.syncer.SaveTally(ctx, t); err != nil {
		m.log.Warn().Err(err).Str("service", string(o.Service)).Msg("tally not written")
		// The previous tally stays recorded, so that the write is repeated after
		// tallyInterval.
		saved.Tally = last.Tally
	}
	m.saved[o.Service] = saved
}
