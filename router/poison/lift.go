package poison

import (
	"slices"
	"time"

	"tarragonvalve.example/router/crash"
)

// Evidence describes a quarantine in force and what it is based on.
type Evidence struct {
	Quarantine
	// Crashes are the suspicions of its parts that still count.
	Crashes []Suspicion
}

// List returns the quarantines in force, the latest one first.
func (r *Registry) List() []Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Evidence
	for _, q := range *r.inForce.Load() {
		e := Evidence{Quarantine: q}
		for _, p := range q.Parts {
			if x := r.evidence.suspects[p]; x != nil {
				for _, s := range x.suspicions {
					e.Crashes = append(e.Crashes, s)
				}
			}
		}
		slices.SortFunc(e.Crashes, func(a, b Suspicion) int { return a.At.Compare(b.At) })
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Evidence) int { return b.At.Compare(a.At) })
	return out
}

// Lift ends a quarantine as if an upstream had just survived its parts, which the other routers are told
// as well. It returns the parts, or false if no such quarantine is in force.
func (r *Registry) Lift(k Key, now time.Time) ([]crash.Part, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range *r.inForce.Load() {
		if q.Key() != k {
			continue
		}
		for _, p := range q.Parts {
			r.evidence.survive(p, now)
		}
		r.publish(now)
		return q.Parts, true
	}
	return nil, false
}
