package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tarragonvalve.example/router/crash"
	"tarragonvalve.example/router/fleet"
)

const (
	// forwardTTL is how long a suspicion is passed on to other routers: a few exchanges with the
	// largest number of listeners.
	forwardTTL = 4 * time.Second
	// maxSampled is the number of requests with a part at one upstream that are passed on.
	maxSampled = 3
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
	out.Suspicions = r.evidence.forwarded(now)
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

// forwarded returns the suspicions for one message. Those of parts that aren't known, and of content that was in
// progress at several crashes, come first. Of the requests with a part at one upstream, those with the lowest hashes
// stand for all, the same at each router. If there are more than a message holds, each one takes others, so that a part
// with few suspicions gets through.
func (e *evidence) forwarded(now time.Time) []Suspicion {
	first, later := map[crashKey][]Suspicion{}, map[crashKey][]Suspicion{}
	chosen := map[crashKey]struct{}{}
	ps := e.recent(now, forwardTTL)
	for _, p := range ps {
		// Content is in progress once at an upstream, and says nothing of the requests to choose.
		if p.IsContent() {
			continue
		}
		for _, k := range e.suspects[p].sample() {
			chosen[k] = struct{}{}
		}
	}
	for _, p := range ps {
		x, to := e.suspects[p], first
		if e.known(p, now) || (p.IsContent() && len(x.suspicions) == 1) {
			to = later
		}
		for k, s := range x.suspicions {
			if _, ok := chosen[k]; (ok || p.IsContent()) && now.Sub(s.At) <= forwardTTL {
				s.At = e.crashedAt[k.upstream]
				to[k] = append(to[k], s)
			}
		}
	}
	var out []Suspicion
	// The order of a map's keys differs from message to message.
	for _, m := range []map[crashKey][]Suspicion{first, later} {
		for _, ss := range m {
			out = append(out, ss...)
		}
	}
	return out[:min(len(out), maxForwarded)]
}

// sample returns, for each upstream, the requests with the lowest hashes.
func (x *suspect) sample() []crashKey {
	ks := slices.Collect(maps.Keys(x.suspicions))
	slices.SortFunc(ks, func(a, b crashKey) int { return cmp.Compare(a.request, b.request) })
	count := map[fleet.Incarnation]int{}
	return slices.DeleteFunc(ks, func(k crashKey) bool {
		count[k.upstream]++
		return count[k.upstream] > maxSampled
	})
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
