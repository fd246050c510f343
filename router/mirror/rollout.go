package mirror

import (
	"slices"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/canary"
)

// applyOrder applies a roll-out order and reports whether the view changed. An order that the store
// lost in a restore and that the operator wrote again has another revision, but goes on as it was.
func (s *storeState) applyOrder(o canary.Order) bool {
	old, ok := s.orders[o.Service]
	if ok && o.Revision <= old.Revision {
		return false
	}
	delete(s.doubted, doubtKey{order: o.Service})
	if ok && Revision(o.Revision).Era() > Revision(old.Revision).Era() && sameContent(o, old) {
		o.Origin = old.Origin
		s.rebind(old, o.Revision)
	} else {
		delete(s.former, o.Service)
	}
	s.orders[o.Service] = o
	return true
}

// sameContent reports whether two orders ask for the same.
func sameContent(a, b canary.Order) bool {
	a.Revision, a.Origin = b.Revision, b.Origin
	return a == b
}

// rebind makes the progress and the tallies of an order those of a revision.
func (s *storeState) rebind(old canary.Order, to uint64) {
	s.former[old.Service] = append(s.former[old.Service], old.Revision)
	if p, ok := s.progress[old.Service]; ok && p.Progress.Order == old.Revision {
		p.Progress.Order = to
		p.Lost = true
		s.progress[old.Service] = p
	}
	for k, t := range s.tallies {
		if k.service == old.Service && t.Order == old.Revision {
			t.Order = to
			s.tallies[k] = t
		}
	}
}

// applyProgress applies the progress of a roll-out and reports whether the view changed. Progress
// that is behind the known one was lost in a restore, or written by a router that didn't know it.
func (s *storeState) applyProgress(c ProgressChanged) bool {
	p, ok := s.progress[c.Progress.Service]
	if ok && c.Revision <= p.Revision {
		return false
	}
	if o := s.orders[c.Progress.Service]; slices.Contains(s.former[c.Progress.Service], c.Progress.Order) {
		// A router wrote it before it knew the order's new revision.
		c.Progress.Order = o.Revision
		c.Lost = true
	}
	if ok && isAhead(p.Progress, c.Progress) {
		c = ProgressChanged{Progress: p.Progress, Revision: c.Revision, Lost: true}
	}
	s.progress[c.Progress.Service] = c
	return true
}

// isAhead reports whether progress a is further than b.
func isAhead(a, b canary.Progress) bool {
	return a.Order > b.Order || (a.Order == b.Order && a.Phase > b.Phase)
}

// markLost marks the progress of roll-outs, and the trials, that the first snapshot after a restore
// lacks.
func (s *storeState) markLost(cs []Change) {
	held := map[ident.ServiceID]bool{}
	trials := false
	for _, c := range cs {
		switch c := c.(type) {
		case ProgressChanged:
			held[c.Progress.Service] = true
		case TrialsChanged:
			trials = true
		}
	}
	if !trials {
		s.trials.Revision = 0
	}
	for id, p := range s.progress {
		if !held[id] {
			p.Revision, p.Lost = 0, true
			s.progress[id] = p
		}
	}
}
