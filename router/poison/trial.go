package poison

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonvalve.example/router/crash"
)

const (
	// trialTime is the least time between two trials of all routers, of whatever quarantines: an
	// upstream is known to have survived settleTime of package crash after it began to answer, or to
	// have crashed, and other routers hear of it.
	trialTime = 2 * time.Second
	// sharedTrialDelay is how much later than others a request is tried that several quarantines refuse. A survival
	// ends all of them, a crash says of none that it is right; but if all requests are such, nothing else can.
	sharedTrialDelay = 500 * time.Millisecond
	// maxTrials bounds the trials of one quarantine. The users allow three more requests after the
	// grace; one of them is left for a request that was on its way.
	maxTrials = 2
	// trialsTTL is how long a trial counts for maxTrials.
	trialsTTL = quarantineTTL
	// maxTried bounds the quarantines whose trials are kept; beyond it, the oldest is dropped.
	maxTried = maxQuarantines
)

// trialDelays are the times from the latest crash or trial to the next trial: the first one when the
// upstreams that crashed have mostly started again, which ends a wrong quarantine soon, the second one
// within a minute of a mend.
var trialDelays = [maxTrials]time.Duration{2500 * time.Millisecond, 45 * time.Second}

// Key identifies a quarantine by its parts, the same at all routers.
type Key string

// Key returns the quarantine's key.
func (q Quarantine) Key() Key {
	h := xxhash.New()
	for _, p := range q.Parts {
		_, _ = h.WriteString(p.String() + ",")
	}
	return Key(strconv.FormatUint(h.Sum64(), 16))
}

// Tried counts the trials of one quarantine.
type Tried struct {
	Count int
	// At is the store's clock at the latest one.
	At time.Duration
}

// Trials are the trials of all quarantines. The routers share them through one row of the store that is
// only written under the condition that no other router wrote it since: so the bounds hold for all of
// them, also when they are cut off from one another. It is immutable.
type Trials struct {
	// LastAt is the store's clock at the latest trial.
	LastAt time.Duration
	Tried  map[Key]Tried
}

// Next returns the time from now until the next trial of a request that quarantines refuse may begin, or false if
// there is none before they end: each of them must allow one. One that several refuse says less, and waits for
// sharedTrialDelay for one that a single one of them refuses. clock is the store's clock at now.
func (t Trials) Next(qs []Quarantine, now time.Time, clock time.Duration) (time.Duration, bool) {
	wait := time.Duration(math.MinInt64)
	for _, q := range qs {
		d, ok := t.next(q, now, clock)
		if !ok {
			return 0, false
		}
		wait = max(wait, d)
	}
	if len(qs) > 1 {
		wait += sharedTrialDelay
	}
	return max(wait, 0), true
}

// next returns the time from now until the next trial of one quarantine, which is negative if it is overdue, or
// false if there is none.
func (t Trials) next(q Quarantine, now time.Time, clock time.Duration) (time.Duration, bool) {
	x := t.tried(q.Key(), clock)
	if x.Count >= maxTrials {
		return 0, false
	}
	wait := trialDelays[x.Count] - now.Sub(q.At)
	if x.Count > 0 {
		wait = max(wait, trialDelays[x.Count]-(clock-x.At))
	}
	if len(t.Tried) > 0 {
		wait = max(wait, trialTime-(clock-t.LastAt))
	}
	return wait, true
}

// tried returns the trials of a quarantine that still count.
func (t Trials) tried(k Key, clock time.Duration) Tried {
	if x := t.Tried[k]; clock-x.At < trialsTTL {
		return x
	}
	return Tried{}
}

// copyTried returns a copy of the trials by quarantine that may be changed.
func (t Trials) copyTried() map[Key]Tried {
	if t.Tried == nil {
		return map[Key]Tried{}
	}
	return maps.Clone(t.Tried)
}

// With returns the trials with one more of each of some quarantines.
func (t Trials) With(qs []Quarantine, clock time.Duration) Trials {
	out := Trials{LastAt: clock, Tried: t.copyTried()}
	for _, q := range qs {
		k := q.Key()
		out.Tried[k] = Tried{Count: t.tried(k, clock).Count + 1, At: clock}
	}
	for len(out.Tried) > maxTried {
		oldest := qs[0].Key()
		for i, y := range out.Tried {
			if y.At < out.Tried[oldest].At {
				oldest = i
			}
		}
		delete(out.Tried, oldest)
	}
	return out
}

// Merge returns the later trials of both: a store that comes back from a copy may lack some.
func (t Trials) Merge(o Trials) Trials {
	out := Trials{LastAt: max(t.LastAt, o.LastAt), Tried: o.copyTried()}
	for k, x := range t.Tried {
		if x.At >= out.Tried[k].At {
			out.Tried[k] = x
		}
	}
	return out
}

// Blocking returns the quarantines in force that refuse a request.
func (r *Registry) Blocking(p crash.Prompt, now time.Time) []Quarantine {
	var qs []Quarantine
	for _, q := range *r.inForce.Load() {
		if q.active(now) && q.blocks(p) {
			qs = append(qs, q)
		}
	}
	return qs
}

// BeginTrial reports whether this router may begin a trial: it begins one at a time, so that a crowd of
// requests that come when one is due writes to the store once.
func (r *Registry) BeginTrial(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.trialAt) < trialTime {
		return false
	}
	r.trialAt = now
	return true
}

// until returns the time until the last of the quarantines ends by itself.
func until(qs []Quarantine, now time.Time) time.Duration {
	last := slices.MaxFunc(qs, func(a, b Quarantine) int { return a.At.Compare(b.At) })
	return last.EndsIn(now)
}

// RetryAfter returns when a request that quarantines refuse may be tried again: at its next trial, or when they
// end.
func (t Trials) RetryAfter(qs []Quarantine, now time.Time, clock time.Duration) time.Duration {
	d := until(qs, now)
	if next, ok := t.Next(qs, now, clock); ok {
		d = min(d, next)
	}
	return d
}
