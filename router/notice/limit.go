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

// Share returns this instance's share of the limits.
func (b *Registry) Share() pacer.Share { return *b.share.Load() }

// next returns the time of this instance's first slot at an upstream with record m that is usable at now or later, and
// how long it is usable. It returns false if the instance has no slot, as the number of instances that share the rate of a
// cold upstream isn't known. The upstream must be paced.
func (b *Registry) next(u *fleet.Upstream, m record, now time.Time) (at time.Time, ttl time.Duration, ok bool) {
	share := b.Share()
	if !u.Cold(now) {
		s := pacer.New(m.limit.Rate, share, u.ID)
		return s.Next(m.taken, now), s.TTL(), true
	}
	r := u.ColdRate
	if m.limit.inForce() {
		r = min(r, m.limit.Rate)
	}
	s, ok := pacer.NewCold(r, share, u.ID)
	if !ok {
		return time.Time{}, 0, false
	}
	return s.Next(m.taken, now), s.TTL(), true
}

// paced reports whether requests to an upstream with record m need permits at now.
func paced(u *fleet.Upstream, m record, now time.Time) bool {
	return m.limit.inForce() || u.Cold(now)
}

// unknownShareWait is the time after which to ask again for a slot at a cold upstream while the number of instances isn't
// known. It becomes a client's Retry-After, and another instance may have a slot at once.
const unknownShareWait = time.Second

// Permit allows one request to an incarnation. The zero value allows none.
type Permit struct {
	Upstream fleet.Incarnation
	// From and Until bound the time in which the request may be sent.
	From, Until time.Time
	// Cold is true if the upstream was cold when the permit was taken. Other permits don't allow requests to cold
	// upstreams, which take fewer.
	Cold bool
}

// Allows reports whether the permit allows a request to an incarnation at now.
func (p Permit) Allows(i fleet.Incarnation, now time.Time) bool {
	return p.Upstream == i && !now.Before(p.From) && !now.After(p.Until)
}

// AllowsUpstream reports whether the permit allows a request to an upstream at now.
func (p Permit) AllowsUpstream(u *fleet.Upstream, now time.Time) bool {
	return p.Allows(u.Incarnation(), now) && (p.Cold || !u.Cold(now))
}

// TakePermit returns a permit for a request to an upstream, usable from now on or at most wait
// later. It returns false if this instance's share of the limit is used up until then, or isn't known
// and the upstream is cold. If the upstream has no limit and isn't cold no permit is needed, and it returns
// the zero value and true.
func (b *Registry) TakePermit(u *fleet.Upstream, wait time.Duration, now time.Time) (Permit, bool) {
	if !b.Paced(u, now) {
		return Permit{}, true
	}
	var p Permit
	needed := true
	taken := b.update(u.Incarnation(), now, func(m *record) bool {
		if needed = paced(u, *m, now); !needed {
			return false
		}
		next, ttl, ok := b.next(u, *m, now)
		if !ok || next.Sub(now) > wait {
			return false
		}
		m.taken = next
		p = Permit{Upstream: u.Incarnation(), From: next, Until: next.Add(ttl), Cold: u.Cold(now)}
		return true
	})
	if !taken {
		// A permit that can't be recorded is none: the slot would be used again.
		return Permit{}, !needed
	}
	return p, true
}

// Paced reports whether requests to an upstream need permits at now: it has a limit in force, or is cold.
func (b *Registry) Paced(u *fleet.Upstream, now time.Time) bool {
	return paced(u, (*b.records.Load())[u.Incarnation()], now)
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
