package mirror

import (
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/fleet"
)

// doubtKey names what a doubted change is about: an upstream, the roll-out order of a service, or the
// evacuation of a failure domain.
type doubtKey struct {
	upstream ident.UpstreamID
	order    ident.ServiceID
	domain   ident.DomainID
}

// doubt is a change that contradicts newer knowledge. It counts if the store still holds it at until.
type doubt struct {
	change Change
	until  time.Duration
}

// withoutDoubted returns the changes of the first snapshot after a restore without those that
// contradict what was known before. They are kept until the store has had time to learn what the copy
// lacks.
func (s *storeState) withoutDoubted(cs []Change, now time.Duration, readAt time.Time) []Change {
	out := make([]Change, 0, len(cs))
	for _, c := range cs {
		if k, ok := s.contradiction(c); ok {
			s.doubted[k] = doubt{change: s.withCold(c, readAt), until: now + doubtTime}
			continue
		}
		out = append(out, c)
	}
	return out
}

// contradiction returns what a change of a copy is about, and whether it takes back what was known
// before.
func (s *storeState) contradiction(c Change) (doubtKey, bool) {
	switch c := c.(type) {
	case UpstreamChanged:
		return doubtKey{upstream: c.Upstream.ID}, s.isOutdated(c.Upstream)
	case RolloutOrdered:
		o, ok := s.orders[c.Order.Service]
		return doubtKey{order: c.Order.Service}, ok && !sameContent(o, c.Order)
	case EvacuationStarted:
		return doubtKey{domain: c.Domain}, s.isEndedEvacuation(c)
	default:
		return doubtKey{}, false
	}
}

// isOutdated reports whether an upstream has ended, announced its shutdown or restarted since its
// entry was written.
func (s *storeState) isOutdated(u *fleet.Upstream) bool {
	if _, ok := s.ended[u.Incarnation()]; ok {
		return true
	}
	x := s.upstreams[u.ID]
	if x == nil {
		return false
	}
	return x.StartedMs > u.StartedMs || (x.StartedMs == u.StartedMs && x.Draining && !u.Draining)
}

// applyDoubted applies the changes that the store still holds after doubtTime. It reports whether the
// view changed.
func (s *storeState) applyDoubted(now time.Duration) bool {
	changed := false
	for k, d := range s.doubted {
		if now < d.until {
			continue
		}
		delete(s.doubted, k)
		if s.apply(d.change, now) {
			changed = true
		}
	}
	return changed
}
