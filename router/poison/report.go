package poison

import (
	"cmp"
	"slices"
	"time"

	"tarragonvalve.example/router/crash"
)

const (
	// forwardTTL is how long a suspicion is passed on to other routers: a few exchanges with the
	// largest number of listeners.
	forwardTTL = 4 * time.Second
	// maxForwarded bounds the suspicions in one message, maxForwardedSurvived the survived parts.
	maxForwarded         = 64
	maxForwardedSurvived = 128
)

// SurvivedPart states when the latest answer began that an upstream survived.
type SurvivedPart struct {
	Part crash.Part
	At   time.Time
}

// Report is what a router tells others. Reports may come late, twice and in any order.
type Report struct {
	Suspicions  []Suspicion
	Survived    []SurvivedPart
	Quarantines []Quarantine
}

// Report returns the recent suspicions, what is known in favor of the suspected parts, and the
// quarantines.
func (r *Registry) Report(now time.Time) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Report{Quarantines: slices.Clone(r.quarantines)}
	for _, p := range r.evidence.recent(now, forwardTTL) {
		for k, s := range r.evidence.suspects[p].suspicions {
			if now.Sub(s.At) <= forwardTTL && len(out.Suspicions) < maxForwarded {
				s.At = r.evidence.crashedAt[k.upstream]
				out.Suspicions = append(out.Suspicions, s)
			}
		}
	}
	// A survival that is reported late corrects a quarantine for longer than crashes are passed on.
	out.Survived = r.evidence.survivedOf(r.evidence.recent(now, correctionTime))
	for _, q := range r.quarantines {
		for _, p := range q.Parts {
			if at, ok := r.evidence.survived[p]; ok && at.After(q.At) && len(out.Survived) < maxForwardedSurvived {
				out.Survived = append(out.Survived, SurvivedPart{Part: p, At: at})
			}
		}
	}
	return out
}

// recent returns the parts with suspicions that are at most ttl old, the most telling ones first: those that
// aren't known and those with the most suspicions.
func (e *evidence) recent(now time.Time, ttl time.Duration) []crash.Part {
	var ps []crash.Part
	for p, x := range e.suspects {
		for _, s := range x.suspicions {
			if now.Sub(s.At) <= ttl {
				ps = append(ps, p)
				break
			}
		}
	}
	slices.SortFunc(ps, func(a, b crash.Part) int {
		return cmp.Or(compareKnown(e.known(a, now), e.known(b, now)), cmp.Compare(len(e.suspects[b].suspicions), len(e.suspects[a].suspicions)), cmp.Compare(a, b))
	})
	return ps
}

// survivedOf returns when the latest answers to prompts with parts began that upstreams survived. The
// parts with the most suspicions come first, as decisions on them are near.
func (e *evidence) survivedOf(ps []crash.Part) []SurvivedPart {
	ps = slices.Clone(ps)
	slices.SortStableFunc(ps, func(a, b crash.Part) int {
		return cmp.Compare(len(e.suspects[b].suspicions), len(e.suspects[a].suspicions))
	})
	var out []SurvivedPart
	for _, p := range ps {
		if at, ok := e.survived[p]; ok && len(out) < maxForwardedSurvived {
			out = append(out, SurvivedPart{Part: p, At: at})
		}
	}
	return out
}

// Merge takes over another router's report.
func (r *Registry) Merge(x Report, now time.Time) {
	if len(x.Suspicions)+len(x.Survived)+len(x.Quarantines) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range x.Survived {
		if s.At.Sub(r.evidence.survived[s.Part]) > timeTolerance {
			r.evidence.survive(s.Part, s.At)
		}
	}
	for _, s := range x.Suspicions {
		r.evidence.suspect(s, now)
	}
	for _, q := range x.Quarantines {
		if len(q.Parts) > 0 && !r.isRefuted(q) {
			q.reportedAt = now
			if r.add(q, now) {
				r.evidence.change(q.At)
			}
		}
	}
}
