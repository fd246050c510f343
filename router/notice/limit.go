package notice

import (
	"time"

	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/pacer"
)

// limitForwardTTL is how long a statement about a limit is reported to other instances: an upstream
// with a low limit seldom responds, and an instance that has just started needs to know its limit.
const limitForwardTTL = 20 * time.Second

// limitTTL is how long a limit holds that the upstream doesn't state again, and a limit's end is
// remembered, so that an older statement from another instance doesn't set the limit again.
const limitTTL = 10 * time.Minute

// Limit is a statement of an incarnation about the requests that it takes from all instances
// together. The zero value is no statement.
type Limit struct {
	Rate call.Rate
	// Lifted is true if the incarnation stated no limit; Rate is 0 then.
	Lifted bool
	// At orders the statements of an incarnation: the time when the response that states a limit was
	// received, or when the request was sent whose response states none. A response that was
	// delayed thus doesn't end a limit that was stated meanwhile.
	At time.Time
}

// inForce reports whether the statement limits the rate of requests.
func (l Limit) inForce() bool { return !l.At.IsZero() && !l.Lifted }

// expired reports whether the statement is too old to count.
func (l Limit) expired(now time.Time) bool { return l.At.IsZero() || now.Sub(l.At) > limitTTL }

// RecordLimit records a statement of an incarnation, unless a newer one is recorded. It reports
// whether that sets, changes or ends a limit.
func (b *Registry) RecordLimit(i fleet.Incarnation, l Limit, now time.Time) bool {
	changed := false
	b.update(i, now, func(m *record) bool {
		if !l.At.After(m.limit.At) {
			return false
		}
		changed = l.inForce() != m.limit.inForce() || l.Rate != m.limit.Rate
		m.limit = l
		return true
	})
	return changed
}

// SetShare sets this instance's share of the limits.
func (b *Registry) SetShare(s pacer.Share) { b.share.Store(&s) }

// slots returns this instance's slots at an incarnation with record m.
func (b *Registry) slots(i fleet.Incarnation, m record) pacer.Slots {
	return pacer.New(m.limit.Rate, *b.share.Load(), i.ID)
}

// Permit allows one request to an incarnation. The zero value allows none.
type Permit struct {
	Upstream fleet.Incarnation
	// From and Until bound the time in which the request may be sent.
	From, Until time.Time
}

// Allows reports whether the permit allows a request to an incarnation at now.
func (p Permit) Allows(i fleet.Incarnation, now time.Time) bool {
	return p.Upstream == i && !now.Before(p.From) && !now.After(p.Until)
}

// TakePermit returns a permit for a request to an incarnation, usable from now on or at most wait
// later. It returns false if this instance's share of the limit is used up until then. Without a
// limit no permit is needed, and it returns the zero value and true.
func (b *Registry) TakePermit(i fleet.Incarnation, wait time.Duration, now time.Time) (Permit, bool) {
	if !b.HasLimit(i) {
		return Permit{}, true
	}
	var p Permit
	ok := true
	b.update(i, now, func(m *record) bool {
		if !m.limit.inForce() {
			return false
		}
		s := b.slots(i, *m)
		next := s.Next(m.taken, now)
		if next.Sub(now) > wait {
			ok = false
			return false
		}
		m.taken = next
		p = Permit{Upstream: i, From: next, Until: next.Add(s.TTL())}
		return true
	})
	return p, ok
}

// HasLimit reports whether an incarnation has a limit in force.
func (b *Registry) HasLimit(i fleet.Incarnation) bool {
	return (*b.records.Load())[i].limit.inForce()
}

// StatedLimit is the newest statement of an incarnation about its limit.
type StatedLimit struct {
	Upstream fleet.Incarnation
	Limit
}

// RecentLimits returns the statements that were made at most limitForwardTTL ago, at most
// maxForwarded, for other instances.
func (b *Registry) RecentLimits(now time.Time) []StatedLimit {
	var out []StatedLimit
	for i, m := range *b.records.Load() {
		if !m.limit.At.IsZero() && now.Sub(m.limit.At) <= limitForwardTTL && len(out) < maxForwarded {
			out = append(out, StatedLimit{Upstream: i, Limit: m.limit})
		}
	}
	return out
}

// MergeLimits records the statements that another instance reported.
func (b *Registry) MergeLimits(ls []StatedLimit, now time.Time) {
	for _, l := range ls {
		b.RecordLimit(l.Upstream, l.Limit, now)
	}
}

// LimitedCount returns the number of incarnations with a limit in force.
func (b *Registry) LimitedCount() int {
	n := 0
	for _, m := range *b.records.Load() {
		if m.limit.inForce() {
			n++
		}
	}
	return n
}
