// Package notice keeps what upstreams say of themselves in their answers: that they
// are leaving, and until when they want no requests from this instance.
package notice

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"tarragonvalve.example/router/fleet"
)

const (
	// MaxBackOff bounds the time for which an upstream can keep requests off: a
	// wrong value must not take it out for good.
	MaxBackOff = 10 * time.Minute
	// leaveLife is how long an incarnation that left is remembered. Its entry may lapse
	// and return while the store is away.
	leaveLife = 10 * time.Minute
	// maxMarks bounds the incarnations remembered; what comes beyond is not.
	maxMarks = 1024
	// passLife is how long other instances are told of an upstream that leaves: a few
	// exchanges with the largest number of listeners.
	passLife = 5 * time.Second
	// maxPassed bounds the upstreams in one message to another instance.
	maxPassed = 64
)

// Availability says whether an upstream may get requests; the sealed cases are below.
type Availability interface{ state() }

type (
	// Available upstreams may get requests.
	Available struct{}
	// Leaving upstreams end soon and get nothing new.
	Leaving struct{}
	// BackingOff upstreams want no requests from this instance for a time.
	BackingOff struct{ Until time.Time }
)

func (Available) state()  {}
func (Leaving) state()    {}
func (BackingOff) state() {}

// mark is what is known of one incarnation. The zero value says nothing.
type mark struct {
	// leftAt is when it was first heard that the incarnation leaves.
	leftAt time.Time
	// until is when a quiet time ends.
	until time.Time
}

// leaving reports whether the incarnation said that it leaves, at most life ago.
func (m mark) leaving(now time.Time, life time.Duration) bool {
	return !m.leftAt.IsZero() && now.Sub(m.leftAt) <= life
}

func (m mark) expired(now time.Time) bool {
	return !m.leaving(now, leaveLife) && !now.Before(m.until)
}

// Registry holds the notices of all upstreams. A notice concerns one incarnation: an
// upstream that starts again under its id is free of it, also if its clock went back.
// A Registry is safe for concurrent use; State takes no lock.
type Registry struct {
	mu    sync.Mutex // guards writes
	marks atomic.Pointer[map[fleet.Incarnation]mark]
}

// New returns a board without notices.
func New() *Registry {
	b := &Registry{}
	b.marks.Store(&map[fleet.Incarnation]mark{})
	return b
}

// Availability returns whether an upstream may get requests now.
func (b *Registry) Availability(u *fleet.Upstream, now time.Time) Availability {
	m := (*b.marks.Load())[u.Incarnation()]
	switch {
	case !m.leftAt.IsZero():
		return Leaving{}
	case now.Before(m.until):
		return BackingOff{Until: m.until}
	default:
		return Available{}
	}
}

// MarkLeaving records that an incarnation leaves, and reports whether that is news.
func (b *Registry) MarkLeaving(i fleet.Incarnation, now time.Time) bool {
	return b.change(i, now, func(m *mark) bool {
		if !m.leftAt.IsZero() {
			return false
		}
		m.leftAt = now
		return true
	})
}

// MarkBackingOff records that an incarnation wants no requests for a time, and reports whether
// that ends later than what was known.
func (b *Registry) MarkBackingOff(i fleet.Incarnation, d time.Duration, now time.Time) bool {
	until := now.Add(min(d, MaxBackOff))
	return b.change(i, now, func(m *mark) bool {
		if !until.After(m.until) {
			return false
		}
		m.until = until
		return true
	})
}

// change replaces the mark of an incarnation if f changes it.
func (b *Registry) change(i fleet.Incarnation, now time.Time, f func(m *mark) bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := *b.marks.Load()
	m, ok := old[i]
	if !f(&m) {
		return false
	}
	next := maps.Clone(old)
	if !ok && len(next) >= maxMarks {
		drop(next, now)
		if len(next) >= maxMarks {
			return false
		}
	}
	next[i] = m
	b.marks.Store(&next)
	return true
}

func drop(ms map[fleet.Incarnation]mark, now time.Time) {
	maps.DeleteFunc(ms, func(_ fleet.Incarnation, m mark) bool { return m.expired(now) })
}

// RecentlyLeaving returns the incarnations that were first heard to leave a short time ago, for
// other instances.
func (b *Registry) RecentlyLeaving(now time.Time) []fleet.Incarnation {
	var out []fleet.Incarnation
	for i, m := range *b.marks.Load() {
		if m.leaving(now, passLife) && len(out) < maxPassed {
			out = append(out, i)
		}
	}
	return out
}

// MergeLeaving records incarnations that another instance heard to leave. What is known already
// keeps its time, so that no notice goes round for ever.
func (b *Registry) MergeLeaving(is []fleet.Incarnation, now time.Time) {
	for _, i := range is {
		b.MarkLeaving(i, now)
	}
}

// Expire drops notices whose time is over.
func (b *Registry) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := *b.marks.Load()
	next := maps.Clone(old)
	drop(next, now)
	if len(next) < len(old) {
		b.marks.Store(&next)
	}
}
