// Package notice records what upstreams announce in their responses: that they are
// leaving, until when they want no requests from this instance, or which rate of requests they take
// from all instances together.
package notice

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/pacer"
)

const (
	// MaxPause bounds the time for which an upstream can ask for no requests: a wrong
	// value must not exclude it permanently.
	MaxPause = 10 * time.Minute
	// leavingTTL is how long a leaving incarnation is remembered. During an outage of the
	// store its entry there may expire and return.
	leavingTTL = 10 * time.Minute
	// maxNotices bounds the incarnations that are remembered; beyond it, new ones are
	// ignored.
	maxNotices = 1024
	// forwardTTL is how long a leaving upstream is reported to other instances: a few
	// exchanges with the largest number of listeners.
	forwardTTL = 5 * time.Second
	// maxForwarded bounds the leaving upstreams in one message to another instance.
	maxForwarded = 64
)

// Availability states whether an upstream may get requests. Its cases are the types below.
type Availability interface{ availability() }

type (
	// Available upstreams may get requests.
	Available struct{}
	// Leaving upstreams stop soon and get no new requests.
	Leaving struct{}
	// Paused upstreams want no requests from this instance until a given time.
	Paused struct{ Until time.Time }
	// Limited upstreams limit their requests or are cold, and this instance has used its share until a given time.
	Limited struct{ Until time.Time }
)

func (Available) availability() {}
func (Leaving) availability()   {}
func (Paused) availability()    {}
func (Limited) availability()   {}

// record holds the notices of one incarnation. The zero value has none.
type record struct {
	// leavingSince is when this instance first received a notice, from the upstream or from
	// another instance, that the incarnation is leaving; zero if it isn't.
	leavingSince time.Time
	// pausedUntil is the time from which the incarnation takes requests again.
	pausedUntil time.Time
	// limit is the newest statement of the incarnation about its rate of requests.
	limit Limit
	// taken is the slot that this instance used last, under a limit or while the upstream was cold.
	taken time.Time
}

// leaving reports whether the first notice that the incarnation is leaving was received at
// most ttl ago.
func (m record) leaving(now time.Time, ttl time.Duration) bool {
	return !m.leavingSince.IsZero() && now.Sub(m.leavingSince) <= ttl
}

// expired reports whether the record no longer has a notice that counts.
func (m record) expired(now time.Time) bool {
	return !m.leaving(now, leavingTTL) && !now.Before(m.pausedUntil) && m.limit.expired(now) && now.Sub(m.taken) > limitTTL
}

// Registry holds the notices of all upstreams. A notice applies to one incarnation: it
// doesn't apply to an upstream that restarts under its id, even if its clock went back. A
// Registry is safe for concurrent use; Availability takes no lock.
type Registry struct {
	mu      sync.Mutex // guards writes
	records atomic.Pointer[map[fleet.Incarnation]record]
	// share is this instance's share of the limits.
	share atomic.Pointer[pacer.Share]
}

// New returns a registry without notices.
func New() *Registry {
	b := &Registry{}
	b.records.Store(&map[fleet.Incarnation]record{})
	b.share.Store(&pacer.Share{})
	return b
}

// Availability returns whether an upstream may get requests now.
func (b *Registry) Availability(u *fleet.Upstream, now time.Time) Availability {
	m := (*b.records.Load())[u.Incarnation()]
	switch {
	case !m.leavingSince.IsZero():
		return Leaving{}
	case now.Before(m.pausedUntil):
		return Paused{Until: m.pausedUntil}
	case paced(u, m, now):
		next, _, ok := b.next(u, m, now)
		if !ok {
			return Limited{Until: now.Add(unknownShareWait)}
		}
		if next.After(now) {
			return Limited{Until: next}
		}
		return Available{}
	default:
		return Available{}
	}
}

// MarkLeaving records that an incarnation is leaving, and reports whether this is new.
func (b *Registry) MarkLeaving(i fleet.Incarnation, now time.Time) bool {
	return b.update(i, now, func(m *record) bool {
		if !m.leavingSince.IsZero() {
			return false
		}
		m.leavingSince = now
		return true
	})
}

// MarkPaused records that an incarnation wants no requests for d, at most MaxPause,
// and reports whether that ends later than the pause recorded so far.
func (b *Registry) MarkPaused(i fleet.Incarnation, d time.Duration, now time.Time) bool {
	until := now.Add(min(d, MaxPause))
	return b.update(i, now, func(m *record) bool {
		if !until.After(m.pausedUntil) {
			return false
		}
		m.pausedUntil = until
		return true
	})
}

// update replaces the record of an incarnation if f changes it. It returns false if f
// doesn't or maxNotices is reached.
func (b *Registry) update(i fleet.Incarnation, now time.Time, f func(m *record) bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := *b.records.Load()
	m, ok := old[i]
	if !f(&m) {
		return false
	}
	next := maps.Clone(old)
	if !ok && len(next) >= maxNotices {
		dropExpired(next, now)
		if len(next) >= maxNotices {
			return false
		}
	}
	next[i] = m
	b.records.Store(&next)
	return true
}

// dropExpired deletes the expired records.
func dropExpired(ms map[fleet.Incarnation]record, now time.Time) {
	maps.DeleteFunc(ms, func(_ fleet.Incarnation, m record) bool { return m.expired(now) })
}

// RecentlyLeaving returns the incarnations that were first recorded as leaving at most
// forwardTTL ago, at most maxForwarded, for other instances.
func (b *Registry) RecentlyLeaving(now time.Time) []fleet.Incarnation {
	var out []fleet.Incarnation
	for i, m := range *b.records.Load() {
		if m.leaving(now, forwardTTL) && len(out) < maxForwarded {
			out = append(out, i)
		}
	}
	return out
}

// MergeLeaving records incarnations that another instance reported as leaving. Those
// already recorded keep their time, so that instances don't forward a notice to each other
// forever.
func (b *Registry) MergeLeaving(is []fleet.Incarnation, now time.Time) {
	for _, i := range is {
		b.MarkLeaving(i, now)
	}
}

// Expire drops expired notices.
func (b *Registry) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := *b.records.Load()
	next := maps.Clone(old)
	dropExpired(next, now)
	if len(next) < len(old) {
		b.records.Store(&next)
	}
}
