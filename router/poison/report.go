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
	// maxForwarded bounds the suspicions in one message, and the survived parts.
	maxForwarded = 64
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
	for p, x := range r.evidence.suspects {
		recent := false
		for _, s := range x.suspicions {
			if now.Sub(s.At) <= forwardTTL {
				out.Suspicions = append(out.Suspicions, s)
				recent = true
			}
		}
		if at, ok := r.evidence.survived[p]; ok && recent && len(out.Survived) < maxForwarded {
			out.Survived = append(out.Survived, SurvivedPart{Part: p, At: at})
		}
	}
	for _, q := range r.quarantines {
		for _, p := range q.Parts {
			if at, ok := r.evidence.survived[p]; ok && at.After(q.At) && len(out.Survived) < maxForwarded {
				out.Survived = append(out.Survived, SurvivedPart{Part: p, At: at})
			}
		}
	}
	if len(out.Suspicions) > maxForwarded {
		slices.SortFunc(out.Suspicions, func(a, b Suspicion) int {
			if a.Began != b.Began {
				if a.Began {
					return -1
				}
				return 1
			}
			return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Part, b.Part))
		})
		out.Suspicions = out.Suspicions[:maxForwarded]
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
		if len(q.Parts) > 0 {
			r.add(q, now)
		}
	}
}
