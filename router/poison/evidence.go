package poison

import (
	"maps"
	"slices"
	"time"

	"tarragonvalve.example/router/crash"
	"tarragonvalve.example/router/fleet"
)

const (
	// evidenceTTL is how long a crash, or an answer that an upstream survived, counts.
	evidenceTTL = time.Minute
	// begunCrashes is the number of crashes, under as many different requests that the upstreams
	// had just begun to answer, that show that a part causes them. Two may be a coincidence.
	begunCrashes = 3
	// waitingCrashes is the same if upstreams crash before they begin to answer, under several parts that aren't
	// known: then all requests in progress are suspects.
	waitingCrashes = 5
	// repeatedRequests and repeatedUpstreams are the numbers of requests and of upstreams that show the same if the
	// requests are repeated: one alone may crash upstreams by its content. After the fifth crash under a part the
	// users allow three more requests with it.
	repeatedRequests, repeatedUpstreams = 2, 5
	// knownCrashes is the number of crashes in a row that are needed for a part that upstreams
	// survived within evidenceTTL: a part that many prompts share is often in progress at a crash.
	knownCrashes = 6
	// recurringPart and recurringContent are the numbers of crashes from which on a part that isn't known,
	// or content, may explain those under other parts.
	recurringPart    = 2
	recurringContent = 3
	// explainedShare is the least share of all crashes that a part must explain: if many upstreams
	// end for another reason, such as the power of a rack, parts that are often in progress are so
	// at several of them.
	explainedShare = 1.0 / 3
	// fewDelay and manyDelay are the time from the first crash under a part to a decision on it, up
	// to manyRouters and beyond. Until then other routers report whether upstreams survived it: the
	// suspicion has to reach them and their report to come back.
	fewDelay    = time.Second
	manyDelay   = 2 * time.Second
	manyRouters = 40
	// timeTolerance is the least difference by which a time that another router states replaces an
	// earlier one. Times are sent as ages and get later by each transfer.
	timeTolerance = time.Second
	// maxSuspicions and maxSurvived bound the evidence.
	maxSuspicions = 4096
	maxSurvived   = 16384
)

// Suspicion states that an upstream crashed with a request in progress whose prompt holds a part.
type Suspicion struct {
	Part     crash.Part
	Upstream fleet.Incarnation
	Request  crash.RequestHash
	// Began is true if the upstream had just begun to answer the request.
	Began bool
	At    time.Time
}

// crashKey identifies a request in progress at a crash.
type crashKey struct {
	upstream fleet.Incarnation
	request  crash.RequestHash
}

// suspect holds the suspicions of one part.
type suspect struct {
	// since is when the first of them became known to this router.
	since      time.Time
	suspicions map[crashKey]Suspicion
}

// has reports whether a request with the part was in progress at the crash of an upstream.
func (x *suspect) has(i fleet.Incarnation) bool {
	for k := range x.suspicions {
		if k.upstream == i {
			return true
		}
	}
	return false
}

// evidence is what speaks for and against the parts of prompts.
type evidence struct {
	suspects map[crash.Part]*suspect
	// crashedAt holds when the first router noticed the crash of an upstream: some notice it when they next send to it.
	crashedAt map[fleet.Incarnation]time.Time
	// count is the number of all suspicions.
	count int
	// routers is the number of routers.
	routers int
	// changed is true if the evidence changed after changedAt.
	changed   bool
	changedAt time.Time
	// changedFrom is the time of the earliest event on which the evidence has changed since it was judged.
	changedFrom time.Time
	// survived holds when the latest answer began that an upstream survived.
	survived map[crash.Part]time.Time
}

func newEvidence() evidence {
	return evidence{suspects: map[crash.Part]*suspect{}, crashedAt: map[fleet.Incarnation]time.Time{}, survived: map[crash.Part]time.Time{}}
}

// mayCause returns the upstreams with a request with a part in progress when they crashed, up to now, and those of them
// whose request had begun to be answered, which are all if crashes under the part come before that.
func (e *evidence) mayCause(p crash.Part, now time.Time) (here, begun map[fleet.Incarnation]struct{}) {
	here, begun = map[fleet.Incarnation]struct{}{}, map[fleet.Incarnation]struct{}{}
	x := e.suspects[p]
	if x == nil {
		return here, begun
	}
	for k, s := range x.suspicions {
		if e.crashedAt[k.upstream].After(now) {
			continue
		}
		here[k.upstream] = struct{}{}
		if s.Began {
			begun[k.upstream] = struct{}{}
		}
	}
	if len(begun) == 0 {
		begun = here
	}
	return here, begun
}

// judgeDelay returns how long a decision on a part waits for other routers.
func (e *evidence) judgeDelay() time.Duration {
	if e.routers > manyRouters {
		return manyDelay
	}
	return fewDelay
}

// known reports whether an upstream survived a part within evidenceTTL. Content counts as unknown: it
// isn't often in progress by chance.
func (e *evidence) known(p crash.Part, now time.Time) bool {
	at, ok := e.survived[p]
	return ok && now.Sub(at) <= evidenceTTL && !p.IsContent()
}

// compareKnown orders parts that aren't known before those that are.
func compareKnown(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// suspect records a suspicion. Requests that had not begun count only for parts that aren't known, so one of them
// for each upstream is enough for a known part.
func (e *evidence) suspect(s Suspicion, now time.Time) {
	if now.Sub(s.At) > evidenceTTL {
		return
	}
	if at, ok := e.crashedAt[s.Upstream]; !ok || s.At.Before(at) {
		e.crashedAt[s.Upstream] = s.At
		e.change(s.At)
	}
	x := e.suspects[s.Part]
	if x == nil {
		x = &suspect{since: now, suspicions: map[crashKey]Suspicion{}}
	}
	k := crashKey{upstream: s.Upstream, request: s.Request}
	old, ok := x.suspicions[k]
	if ok && (old.Began || !s.Began) {
		return
	}
	if !s.Began && e.known(s.Part, s.At) && x.has(s.Upstream) {
		return
	}
	if !ok {
		if e.count >= maxSuspicions {
			return
		}
		e.count++
	}
	e.change(e.crashedAt[s.Upstream])
	x.suspicions[k] = s
	e.suspects[s.Part] = x
}

// change records that the evidence on events from a time on has changed.
func (e *evidence) change(from time.Time) {
	e.changed = true
	if from.Before(e.changedFrom) {
		e.changedFrom = from
	}
}

// since returns when the first suspicion of a part became known to this router.
func (e *evidence) since(p crash.Part) time.Time {
	if x := e.suspects[p]; x != nil {
		return x.since
	}
	return time.Time{}
}

// survive records that an upstream survived an answer to a prompt with a part.
func (e *evidence) survive(p crash.Part, began time.Time) {
	old, ok := e.survived[p]
	if ok && !began.After(old) {
		return
	}
	if x := e.suspects[p]; x != nil && e.clears(x, old, began) {
		e.change(e.first(x))
	}
	if !ok && len(e.survived) >= maxSurvived {
		for x := range e.survived {
			delete(e.survived, x)
			break
		}
	}
	e.survived[p] = began
}

// clears reports whether an answer that an upstream survived, after an earlier one, counts for a suspected part.
func (e *evidence) clears(x *suspect, old, began time.Time) bool {
	for k := range x.suspicions {
		at := e.crashedAt[k.upstream]
		if (at.After(old) && !at.After(began)) || at.Sub(old) > evidenceTTL-correctionTime {
			return true
		}
	}
	return false
}

// expire drops evidence that no longer counts.
func (e *evidence) expire(now time.Time) {
	for p, x := range e.suspects {
		maps.DeleteFunc(x.suspicions, func(_ crashKey, s Suspicion) bool {
			old := now.Sub(s.At) > evidenceTTL+correctionTime
			if old {
				e.count--
			}
			return old
		})
		if len(x.suspicions) == 0 {
			delete(e.suspects, p)
		}
	}
	maps.DeleteFunc(e.crashedAt, func(_ fleet.Incarnation, at time.Time) bool { return now.Sub(at) > 2*evidenceTTL })
	// A harmless part is needed for as long as a quarantine with it, which then ends at once.
	maps.DeleteFunc(e.survived, func(_ crash.Part, at time.Time) bool { return now.Sub(at) > quarantineTTL })
}

// withoutHarmless returns the quarantine without the parts that upstreams survived after its latest
// crash.
func (e *evidence) withoutHarmless(q Quarantine) Quarantine {
	harmless := func(p crash.Part) bool { return e.survived[p].After(q.At) }
	if slices.ContainsFunc(q.Parts, harmless) {
		q.Parts = slices.DeleteFunc(slices.Clone(q.Parts), harmless)
	}
	return q
}
