// Package poison finds the parts of prompts, and the whole requests, that crash upstreams, from the
// crashes that all routers report, and keeps such requests from upstreams.
package poison

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/core/serve"
	"tarragonvalve.example/router/crash"
)

const (
	// quarantineTTL is how long requests with a part that crashes upstreams are refused. After
	// that a few of them show whether the part still does.
	quarantineTTL = 10 * time.Minute
	// rememberTTL is how long a quarantine is remembered. Until then the first crash under its
	// parts sets it in force again.
	rememberTTL = time.Hour
	// decideInterval is how often the evidence is judged.
	decideInterval = 100 * time.Millisecond
	// maxQuarantines bounds the quarantines that are remembered; beyond it, the oldest is dropped.
	maxQuarantines = 64
)

// ErrQuarantined ends attempts whose prompt has a part that was found to crash upstreams.
var ErrQuarantined = errors.New("the prompt has a part that crashes upstreams")

// Quarantine keeps requests from upstreams whose prompts hold all of some parts. It has several
// parts if they came together in each crash, so that any of them may be the cause.
type Quarantine struct {
	// Parts are in ascending order.
	Parts []crash.Part
	// At is the time of the latest crash that it is based on.
	At time.Time
	// reportedAt is when another router reported it; zero if this router found it.
	reportedAt time.Time
}

// active reports whether the quarantine is in force unless a part of it proves to be harmless.
func (q Quarantine) active(now time.Time) bool { return now.Sub(q.At) < quarantineTTL }

// EndsIn returns the time until the quarantine ends by itself.
func (q Quarantine) EndsIn(now time.Time) time.Duration {
	return max(q.At.Add(quarantineTTL).Sub(now), 0)
}

// blocks reports whether a request holds all parts.
func (q Quarantine) blocks(p crash.Prompt) bool {
	return !slices.ContainsFunc(q.Parts, func(x crash.Part) bool { return x != p.Content && !slices.Contains(p.Parts, x) })
}

// Canceler ends attempts at upstreams.
type Canceler interface {
	// CancelWaiting ends the attempts with certain prompts whose answer hasn't begun.
	CancelWaiting(match func(p crash.Prompt) bool, cause error)
}

// Registry holds the evidence and the quarantines that follow from it. It is safe for concurrent
// use; Check takes no lock. It implements crash.Observer.
type Registry struct {
	log zerolog.Logger

	mu       sync.Mutex // guards all below but inForce
	evidence evidence
	// judgedAt is when the evidence was judged last.
	judgedAt time.Time
	// quarantines are those that are remembered, without the effect of survived answers.
	quarantines []Quarantine
	timeline    timeline
	// refuted holds the times of quarantines that don't follow from all evidence.
	refuted map[Key]time.Time
	// trialAt is when this router began its latest trial, or tried to.
	trialAt time.Time
	// logged is the evidence against suspected parts as it was logged last.
	logged map[crash.Part]progress
	// inForce are the quarantines in force, without the parts that have proved to be harmless.
	inForce atomic.Pointer[[]Quarantine]
}

// New returns a registry without evidence.
func New(l zerolog.Logger) *Registry {
	r := &Registry{log: l, evidence: newEvidence(), timeline: newTimeline(), refuted: map[Key]time.Time{}}
	r.inForce.Store(&[]Quarantine{})
	return r
}

// Crashed implements crash.Observer.
func (r *Registry) Crashed(x crash.Report, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range x.Suspects {
		for _, p := range s.Parts {
			r.evidence.suspect(Suspicion{Part: p, Upstream: x.Upstream, Request: s.Request, Began: s.Began, At: now}, now)
		}
		r.evidence.suspect(Suspicion{Part: s.Content, Upstream: x.Upstream, Request: s.Request, Began: s.Began, At: now}, now)
	}
}

// Survived implements crash.Observer. Survivals of content count only if it is suspected: it is of use
// for nothing else, and there is much of it.
func (r *Registry) Survived(p crash.Prompt, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range p.Parts {
		r.evidence.survive(x, began)
	}
	if r.evidence.suspects[p.Content] != nil || remembered(r.quarantines, p.Content) {
		r.evidence.survive(p.Content, began)
	}
}

// Suspected reports whether an upstream crashed with the same content in progress and none has survived
// it since.
func (r *Registry) Suspected(p crash.Prompt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.evidence.suspects[p.Content]
	if x == nil {
		return false
	}
	for _, s := range x.suspicions {
		if s.At.After(r.evidence.survived[p.Content]) {
			return true
		}
	}
	return false
}

// Check returns how long a request is still refused, or 0 if it isn't.
func (r *Registry) Check(p crash.Prompt, now time.Time) time.Duration {
	for _, q := range *r.inForce.Load() {
		if q.blocks(p) {
			return q.EndsIn(now)
		}
	}
	return 0
}

// SetRouters sets the number of routers that report to each other.
func (r *Registry) SetRouters(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.routers = n
}

// Count returns the number of quarantines in force.
func (r *Registry) Count() int { return len(*r.inForce.Load()) }

// Component judges the evidence of a Registry at intervals. It implements serve.Component.
type Component struct {
	*Registry
	// Attempts ends the attempts that a new quarantine concerns.
	Attempts Canceler

	// work steps at each judgement.
	work clock.Work
}

// Name implements serve.Component.
func (c *Component) Name() string { return "poison" }

// Run judges the evidence until ctx ends. It always returns nil.
func (c *Component) Run(ctx context.Context) error {
	c.work = clock.NewWork(time.Now())
	return serve.Every(ctx, decideInterval, func(context.Context) { c.step(time.Now()) })
}

// step judges the evidence once. Time in which this process didn't run is none in which other routers' reports could have
// been read.
func (c *Component) step(now time.Time) {
	if d := c.work.Step(now, decideInterval); d > 0 {
		c.postpone(d)
	}
	for _, q := range c.Update(now) {
		c.Attempts.CancelWaiting(q.blocks, ErrQuarantined)
	}
}

// postpone extends the waits for other routers' reports by d.
func (r *Registry) postpone(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.changedAt = r.evidence.changedAt.Add(d)
	for _, x := range r.evidence.suspects {
		x.since = x.since.Add(d)
	}
	for i, q := range r.quarantines {
		if !q.reportedAt.IsZero() {
			r.quarantines[i].reportedAt = q.reportedAt.Add(d)
		}
	}
}

// Update judges the evidence and returns the quarantines that have come into force since the last
// call, by this router's decision or another's.
func (r *Registry) Update(now time.Time) []Quarantine {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.evidence.changed {
		r.evidence.changed, r.evidence.changedAt = false, now
	}
	// Evidence that doesn't change leads to no other decision once it has settled.
	if r.judgedAt.Sub(r.evidence.changedAt) <= r.evidence.judgeDelay()+judgeStep {
		r.judge(now)
		r.logProgress(now)
	}
	r.judgedAt = now
	return r.publish(now)
}

// Expire drops evidence and quarantines that no longer count.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.expire(now)
	r.quarantines = slices.DeleteFunc(r.quarantines, func(q Quarantine) bool { return now.Sub(q.At) > rememberTTL })
	maps.DeleteFunc(r.refuted, func(_ Key, at time.Time) bool { return now.Sub(at) > rememberTTL })
}

// add records a quarantine, or the later time of one that is recorded, and reports whether that changed anything. The
// caller holds the lock.
func (r *Registry) add(q Quarantine, now time.Time) bool {
	for i, x := range r.quarantines {
		if slices.Equal(x.Parts, q.Parts) {
			if q.At.Sub(x.At) > timeTolerance {
				r.quarantines[i] = q
				return true
			}
			return false
		}
	}
	if now.Sub(q.At) > rememberTTL {
		return false
	}
	r.quarantines = append(r.quarantines, q)
	if len(r.quarantines) > maxQuarantines {
		slices.SortFunc(r.quarantines, func(a, b Quarantine) int { return b.At.Compare(a.At) })
		r.quarantines = r.quarantines[:maxQuarantines]
	}
	return true
}

// publish derives the quarantines in force and returns the new ones. The caller holds the lock.
func (r *Registry) publish(now time.Time) []Quarantine {
	old := *r.inForce.Load()
	next := []Quarantine{}
	var added []Quarantine
	for _, q := range r.quarantines {
		q = r.evidence.withoutHarmless(q)
		if !q.active(now) || len(q.Parts) == 0 {
			continue
		}
		next = append(next, q)
		if !slices.ContainsFunc(old, func(x Quarantine) bool { return slices.Equal(x.Parts, q.Parts) }) {
			added = append(added, q)
			r.log.Warn().Uints64("parts", hashes(q.Parts)).Dur("age", now.Sub(q.At)).Msg("prompt parts or requests crash upstreams and are refused")
		}
	}
	for _, q := range old {
		if !slices.ContainsFunc(next, func(x Quarantine) bool { return slices.Equal(x.Parts, q.Parts) }) {
			r.log.Warn().Uints64("parts", hashes(q.Parts)).Msg("prompt parts or requests are allowed again")
		}
	}
	r.inForce.Store(&next)
	return added
}

// hashes converts parts for the log.
func hashes(ps []crash.Part) []uint64 {
	var out []uint64
	for _, p := range ps {
		out = append(out, uint64(p))
	}
	return out
}
