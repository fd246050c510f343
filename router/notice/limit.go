package notice

import (
	"time"

	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/fleet"
)

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
	if l.Lifted && (*b.records.Load())[i].limit.At.IsZero() {
		// Most responses state no limit; they need no lock.
		return false
	}
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
