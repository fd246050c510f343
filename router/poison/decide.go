package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tarragonvalve.example/router/crash"
	"tarragonvalve.example/router/fleet"
)

// candidate is a part with the crashes that may be due to it.
type candidate struct {
	part  crash.Part
	known bool
	// settled is true if the first crash was so long ago that other routers have had time to report on the part.
	settled bool
	// requests are those in progress at the crashes; if enough of them had begun to be answered,
	// only these.
	requests map[crashKey]struct{}
	// crashes is the number of upstreams that crashed, or of the different requests under which they
	// did, if that is less; begun counts only requests whose answer had begun.
	crashes, begun int
	// alone counts only upstreams at which no other part was in progress that isn't known.
	alone int
	// repeated is true if enough upstreams crashed, although the requests are few as they were repeated: under requests
	// that had begun, or with no other part in progress that isn't known.
	repeated bool
	// upstreams are the upstreams that crashed, inProgress is the number of requests at them.
	upstreams  map[fleet.Incarnation]struct{}
	inProgress int
	last       time.Time
}

// verdict is a quarantine with the candidate for whose crashes it was decided.
type verdict struct {
	Quarantine
	candidate
}

// decide returns a quarantine that follows from the events up to now and is not among those in force, if
// there is one. The parts that explain the most crashes come first, since they leave fewer crashes
// to be explained by others, and of these the most specific ones.
func (e *evidence) decide(qs []Quarantine, now time.Time) (verdict, bool) {
	if len(e.suspects) == 0 {
		return verdict{}, false
	}
	active := e.activeOf(qs, now)
	w := e.weigh(active, now)
	cs := w.candidates
	for _, c := range cs {
		if w.lacks(c, remembered(qs, c.part)) != lacksNothing {
			continue
		}
		q := Quarantine{At: c.last}
		for _, x := range cs {
			// Of parts that came together each time, any may be the cause. No request has the content
			// of two.
			if x.part == c.part || (!x.part.IsContent() && !c.part.IsContent() && x.known == c.known && x.includes(c)) {
				q.Parts = append(q.Parts, x.part)
			}
		}
		slices.Sort(q.Parts)
		if !slices.ContainsFunc(active, func(a Quarantine) bool { return containsAll(q.Parts, a.Parts) }) {
			return verdict{Quarantine: q, candidate: c}, true
		}
	}
	return verdict{}, false
}

// activeOf returns the quarantines in force of all, without the parts that have proved to be harmless.
func (e *evidence) activeOf(qs []Quarantine, now time.Time) []Quarantine {
	var active []Quarantine
	for _, q := range qs {
		if q = e.withoutHarmless(q); q.active(now) && len(q.Parts) > 0 {
			active = append(active, q)
		}
	}
	return active
}

// weighed is the evidence at one time beside the quarantines in force.
type weighed struct {
	// candidates are the suspected parts, the most suspected ones first.
	candidates []candidate
	// unexplained are the upstreams whose crashes no quarantine explains.
	unexplained map[fleet.Incarnation]struct{}
	rivals      rivals
}

// weigh weighs the evidence beside the quarantines in force.
func (e *evidence) weigh(active []Quarantine, now time.Time) weighed {
	xs := e.explainers(active, now)
	cs := e.candidates(xs, now)
	countAlone(cs)
	return weighed{candidates: cs, unexplained: unexplained(cs, xs), rivals: rivalsOf(cs)}
}

// lacks returns why a candidate isn't guilty. again is true if it was quarantined before.
func (w weighed) lacks(c candidate, again bool) lack {
	switch {
	case !c.settled:
		return lacksTime
	case !c.guilty(again):
		return lacksCrashes
	case float64(len(c.upstreams)) < explainedShare*float64(c.among(w.unexplained)):
		return lacksShare
	case w.rivals.explain(c):
		return lacksRival
	default:
		return lacksNothing
	}
}

// among returns the number of the candidate's upstreams and of others.
func (c candidate) among(others map[fleet.Incarnation]struct{}) int {
	n := len(others)
	for u := range c.upstreams {
		if _, ok := others[u]; !ok {
			n++
		}
	}
	return n
}

// candidates returns the suspected parts, the most suspected ones first.
func (e *evidence) candidates(xs []explainer, now time.Time) []candidate {
	var cs []candidate
	for p, x := range e.suspects {
		c := candidate{part: p, known: e.known(p, now)}
		all, begun := map[crashKey]struct{}{}, map[crashKey]struct{}{}
		for k, s := range x.suspicions {
			at := e.crashedAt[k.upstream]
			if at.After(now) || now.Sub(at) > evidenceTTL || !at.After(e.survived[p]) {
				continue
			}
			if (!s.Began && e.known(p, at)) || explained(s, c.known, xs) {
				continue
			}
			all[k] = struct{}{}
			c.settled = c.settled || now.Sub(at) >= e.judgeDelay()
			if s.Began {
				begun[k] = struct{}{}
			}
			if at.After(c.last) {
				c.last = at
			}
		}
		if len(all) == 0 {
			continue
		}
		c.crashes, c.begun, c.requests = countCrashes(p, all), countCrashes(p, begun), all
		c.repeated = crashedByRepeats(begun)
		if c.begun >= begunCrashes {
			c.requests = begun
		}
		c.upstreams, c.inProgress = upstreamsOf(all), len(all)
		cs = append(cs, c)
	}
	slices.SortFunc(cs, func(a, b candidate) int {
		return cmp.Or(compareKnown(a.known, b.known), cmp.Compare(b.begun, a.begun), cmp.Compare(b.crashes, a.crashes), cmp.Compare(len(a.requests), len(b.requests)), cmp.Compare(a.part, b.part))
	})
	return cs
}

// guilty reports whether the crashes show that the part causes them. again is true if it was
// quarantined before.
func (c candidate) guilty(again bool) bool {
	switch {
	case c.known:
		return c.begun >= knownCrashes
	case again:
		return c.begun > 0
	default:
		return c.begun >= begunCrashes || c.repeated || c.alone >= begunCrashes || c.crashes >= waitingCrashes
	}
}

// countAlone sets alone, and repeated, for the candidates: a request that waits is as telling as one whose answer had begun
// if all others at the upstream have parts that were survived.
func countAlone(cs []candidate) {
	unknown := map[fleet.Incarnation]int{}
	for _, c := range cs {
		if c.known || c.part.IsContent() {
			continue
		}
		for u := range c.upstreams {
			unknown[u]++
		}
	}
	for i, c := range cs {
		if c.known || c.part.IsContent() {
			continue
		}
		left := map[crashKey]struct{}{}
		for k := range c.requests {
			if unknown[k.upstream] == 1 {
				left[k] = struct{}{}
			}
		}
		cs[i].alone = countCrashes(c.part, left)
		cs[i].repeated = c.repeated || crashedByRepeats(left)
	}
}

// rivals are the candidates that may explain the crashes under parts in frequent use, whose requests are in
// progress at each crash, whatever its cause.
type rivals struct {
	// upstreams are those that crashed under a part that isn't known and recurs.
	upstreams map[fleet.Incarnation]struct{}
	// silent are the candidates that recur and never began to be answered: their crashes come before the first
	// byte.
	silent []candidate
}

// rivalsOf returns the rivals among all candidates.
func rivalsOf(cs []candidate) rivals {
	r := rivals{upstreams: map[fleet.Incarnation]struct{}{}}
	for _, c := range cs {
		if !c.recurs() {
			continue
		}
		maps.Copy(r.upstreams, c.upstreams)
		if c.begun == 0 {
			r.silent = append(r.silent, c)
		}
	}
	return r
}

// explain reports whether the rivals explain the crashes under a candidate better than it does: all but a few under
// a part that is known, and those under another part if one of them was there each time with fewer requests.
func (r rivals) explain(c candidate) bool {
	if !c.known {
		return c.begun > 0 && slices.ContainsFunc(r.silent, func(o candidate) bool {
			return o.inProgress < c.inProgress && containsKeys(o.upstreams, c.upstreams)
		})
	}
	left := map[crashKey]struct{}{}
	for k := range c.requests {
		if _, ok := r.upstreams[k.upstream]; !ok {
			left[k] = struct{}{}
		}
	}
	return countCrashes(c.part, left) < knownCrashes
}

// recurs reports whether a candidate that isn't known was in progress at crashes more often than by chance:
// under different requests, and for content, which a repeat carries to a second upstream, once more.
func (c candidate) recurs() bool {
	if c.part.IsContent() {
		return c.crashes >= recurringContent
	}
	return !c.known && c.crashes >= recurringPart
}

// explainer holds the upstreams at whose crashes requests with all parts of a quarantine were in progress.
type explainer struct {
	Quarantine
	// waiting are those that explain the crashes under requests that had not begun, begun those that explain others.
	waiting, begun map[fleet.Incarnation]struct{}
	// own are the requests of a quarantine of content.
	own map[crashKey]Suspicion
}

// explainers returns what the quarantines explain of the crashes up to now.
func (e *evidence) explainers(active []Quarantine, now time.Time) []explainer {
	var xs []explainer
	for _, q := range active {
		x := explainer{Quarantine: q}
		for i, p := range q.Parts {
			waiting, begun := e.mayCause(p, now)
			if i == 0 {
				x.waiting, x.begun = waiting, begun
				continue
			}
			x.waiting, x.begun = intersect(x.waiting, waiting), intersect(x.begun, begun)
		}
		if c := e.suspects[q.Parts[0]]; c != nil && q.Parts[0].IsContent() {
			x.own = c.suspicions
		}
		xs = append(xs, x)
	}
	return xs
}

// intersect returns the keys that both have.
func intersect[K comparable](a, b map[K]struct{}) map[K]struct{} {
	out := map[K]struct{}{}
	for k := range a {
		if _, ok := b[k]; ok {
			out[k] = struct{}{}
		}
	}
	return out
}

// explained reports whether a quarantine without the suspicion's part explains the crash at least as
// well: requests with its parts were in progress too. Content doesn't explain that of other requests:
// if two came together each time, either may be the cause. Nor does it explain that of the parts of a
// request whose content is quarantined, unless they are known: one of them may be the cause, and the other
// contents may have come with it by chance.
func explained(s Suspicion, known bool, xs []explainer) bool {
	own := !known && slices.ContainsFunc(xs, func(x explainer) bool {
		_, ok := x.own[crashKey{upstream: s.Upstream, request: s.Request}]
		return ok
	})
	return slices.ContainsFunc(xs, func(x explainer) bool {
		if ((s.Part.IsContent() || own) && x.Parts[0].IsContent()) || slices.Contains(x.Parts, s.Part) {
			return false
		}
		us := x.waiting
		if s.Began {
			us = x.begun
		}
		_, ok := us[s.Upstream]
		return ok
	})
}

// countCrashes returns the number of different upstreams that crashed under a part, or of different requests if that is
// less. Each crash under the same content counts, be it by a repeat of one request or by another one.
func countCrashes(p crash.Part, ks map[crashKey]struct{}) int {
	us := len(upstreamsOf(ks))
	if p.IsContent() {
		return us
	}
	return min(us, len(requestsOf(ks)))
}

// crashedByRepeats reports whether enough upstreams crashed under more than one request.
func crashedByRepeats(ks map[crashKey]struct{}) bool {
	return len(requestsOf(ks)) >= repeatedRequests && len(upstreamsOf(ks)) >= repeatedUpstreams
}

// requestsOf returns the different requests.
func requestsOf(ks map[crashKey]struct{}) map[crash.RequestHash]struct{} {
	rs := map[crash.RequestHash]struct{}{}
	for k := range ks {
		rs[k.request] = struct{}{}
	}
	return rs
}

// upstreamsOf returns the upstreams that crashed under requests.
func upstreamsOf(ks map[crashKey]struct{}) map[fleet.Incarnation]struct{} {
	us := map[fleet.Incarnation]struct{}{}
	for k := range ks {
		us[k.upstream] = struct{}{}
	}
	return us
}

// unexplained returns the upstreams that crashed under candidates and whose crash no quarantine explains.
func unexplained(cs []candidate, xs []explainer) map[fleet.Incarnation]struct{} {
	us := map[fleet.Incarnation]struct{}{}
	for _, c := range cs {
		maps.Copy(us, c.upstreams)
	}
	for _, x := range xs {
		for u := range x.begun {
			delete(us, u)
		}
	}
	return us
}

// includes reports whether all requests of another candidate held this one's part too.
func (c candidate) includes(o candidate) bool { return containsKeys(c.requests, o.requests) }

// containsKeys reports whether a has all keys of b.
func containsKeys[K comparable](a, b map[K]struct{}) bool {
	for k := range b {
		if _, ok := a[k]; !ok {
			return false
		}
	}
	return true
}

// remembered reports whether a quarantine, in force or not, consists of the part.
func remembered(qs []Quarantine, p crash.Part) bool {
	return slices.ContainsFunc(qs, func(q Quarantine) bool { return len(q.Parts) == 1 && q.Parts[0] == p })
}

// containsAll reports whether ps holds all of xs.
func containsAll(ps, xs []crash.Part) bool {
	return !slices.ContainsFunc(xs, func(x crash.Part) bool { return !slices.Contains(ps, x) })
}
