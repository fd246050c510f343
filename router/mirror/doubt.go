package mirror

import (
	"time"

	"tarragonvalve.example/core/ident"
)

// doubtKey names what a doubted change is about.
type doubtKey struct {
	upstream ident.UpstreamID
}

// doubt is a change that contradicts newer knowledge. It counts if the store still holds it at until.
type doubt struct {
	change Change
	until  time.Duration
}

// withoutDoubted returns the changes of the first snapshot after a restore without those that
// contradict what was known before. They are kept until the store has had time to learn what the copy
// lacks.
func (s *storeState) withoutDoubted(cs []Change, now time.Duration) []Change {
	out := make([]Change, 0, len(cs))
	for _, c := range cs {
		if k, ok := s.contradiction(c); ok {
			s.doubted[k] = doubt{change: c, until: now + doubtTime}
			continue
		}
		out = append(out, c)
	}
	return out
}

// contradiction returns what a change of a copy is about if it takes back what was known before.
func (s *storeState) contradiction(c Change) (doubtKey, bool) {
	u, ok := c.(UpstreamChanged)
	if !ok {
		return doubtKey{}, false
	}
	k := doubtKey{upstream: u.Upstream.ID}
	if _, ok := s.ended[u.Upstream.Incarnation()]; ok {
		return k, true
	}
	x := s.upstreams[u.Upstream.ID]
	if x == nil {
		return k, false
	}
	return k, x.StartedMs > u.Upstream.StartedMs || (x.StartedMs == u.Upstream.StartedMs && x.Draining && !u.Upstream.Draining)
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
