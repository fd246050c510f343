package mirror

import (
	"maps"
	"slices"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/fleet"
)

// maxEvacuated bounds the evacuations that are known; rows beyond it count as rows that can't be decoded.
const maxEvacuated = 1024

// evacuation is an evacuation in force.
type evacuation struct {
	revision Revision
	// until is the local time at which the evacuation ends unless the store holds its row again; 0 if the
	// store holds it.
	until time.Duration
}

// endedEvacuation is an evacuation that was removed.
type endedEvacuation struct {
	// version is that of the row. A copy of the store returns the row under the same one, while a row that
	// is written again has a higher one.
	version uint64
	at      time.Duration
}

// evacuations are the evacuations in force and those that ended within endedTTL, by failure domain.
type evacuations struct {
	evacuated       map[ident.DomainID]evacuation
	evacuationEnded map[ident.DomainID]endedEvacuation
}

func newEvacuations() evacuations {
	return evacuations{evacuated: map[ident.DomainID]evacuation{}, evacuationEnded: map[ident.DomainID]endedEvacuation{}}
}

// startEvacuation applies the row of an evacuation and reports whether the view changed.
func (s *storeState) startEvacuation(c EvacuationStarted) bool {
	k := doubtKey{domain: c.Domain}
	if d, ok := s.doubted[k]; ok && d.change == c {
		return false
	}
	delete(s.doubted, k)
	delete(s.evacuationEnded, c.Domain)
	_, ok := s.evacuated[c.Domain]
	s.evacuated[c.Domain] = evacuation{revision: c.Revision}
	return !ok
}

// withoutKept returns the changes of an update, and apart from them the evacuations that a peer keeps although
// the store lost them.
func (u *update) withoutKept() (cs []Change, kept []EvacuationStarted) {
	cs = make([]Change, 0, len(u.changes))
	for _, c := range u.changes {
		if x, ok := c.(EvacuationStarted); ok && x.Revision.Era() < u.era {
			kept = append(kept, x)
			continue
		}
		cs = append(cs, c)
	}
	return cs, kept
}

// keepEvacuation applies the row of an evacuation that a peer passes on although the store lost it, and
// reports whether the view changed.
func (s *storeState) keepEvacuation(c EvacuationStarted, now time.Duration) bool {
	if _, ok := s.evacuated[c.Domain]; ok || s.isEndedEvacuation(c) || len(s.evacuated) >= maxEvacuated {
		return false
	}
	s.evacuated[c.Domain] = evacuation{revision: c.Revision, until: now + doubtTime}
	return true
}

// endEvacuation applies the removal of an evacuation and reports whether the view changed.
func (s *storeState) endEvacuation(d ident.DomainID, now time.Duration) bool {
	delete(s.doubted, doubtKey{domain: d})
	e, ok := s.evacuated[d]
	if !ok {
		return false
	}
	delete(s.evacuated, d)
	if len(s.evacuationEnded) < maxEnded {
		s.evacuationEnded[d] = endedEvacuation{version: e.revision.Version(), at: now}
	}
	return true
}

// isEndedEvacuation reports whether the row of a copy is that of an evacuation that has ended since.
func (s *storeState) isEndedEvacuation(c EvacuationStarted) bool {
	e, ok := s.evacuationEnded[c.Domain]
	return ok && e.version == c.Revision.Version()
}

// resetEvacuations ends the evacuations that a snapshot of the orders lacks. Those that the first snapshot
// after a restore lacks stay in force for doubtTime. It reports whether the view changed.
func (s *storeState) resetEvacuations(u update, now time.Duration) bool {
	held := map[ident.DomainID]bool{}
	for _, c := range u.changes {
		switch c := c.(type) {
		case EvacuationStarted:
			held[c.Domain] = c.Revision.Era() >= u.era
		case InvalidRecord:
			held[c.Domain] = true
		}
	}
	maps.DeleteFunc(s.doubted, func(k doubtKey, _ doubt) bool { return k.domain != "" && !held[k.domain] })
	changed := false
	for d, e := range s.evacuated {
		switch {
		case held[d] || e.until != 0:
		case u.restored:
			e.until = now + doubtTime
			s.evacuated[d] = e
		default:
			changed = s.endEvacuation(d, now) || changed
		}
	}
	return changed
}

// expireEvacuations ends the evacuations that the store lost and that weren't written again within
// doubtTime. It reports whether the view changed.
func (s *storeState) expireEvacuations(now time.Duration) bool {
	before := len(s.evacuated)
	maps.DeleteFunc(s.evacuated, func(_ ident.DomainID, e evacuation) bool { return e.until != 0 && now >= e.until })
	maps.DeleteFunc(s.evacuationEnded, func(_ ident.DomainID, e endedEvacuation) bool { return now-e.at > endedTTL })
	return len(s.evacuated) < before
}

// bounded returns a change, or an InvalidRecord in place of an evacuation beyond maxEvacuated.
func (s *storeState) bounded(c Change) Change {
	x, ok := c.(EvacuationStarted)
	if !ok || len(s.evacuated) < maxEvacuated {
		return c
	}
	if _, ok := s.evacuated[x.Domain]; ok {
		return c
	}
	return InvalidRecord{Key: string(x.Domain), Reason: "too many failure domains are evacuated", Domain: x.Domain}
}

// evacuatedDomains returns the evacuated failure domains in the order of their names.
func (s *storeState) evacuatedDomains() []ident.DomainID {
	return slices.Sorted(maps.Keys(s.evacuated))
}

// listed returns an upstream as the view lists it: as draining if its failure domain is evacuated, and with the
// rate of its service if it is cold. The state keeps the entry as it is, so that the upstream serves again after the
// evacuation.
func (s *storeState) listed(u *fleet.Upstream) *fleet.Upstream {
	_, evacuated := s.evacuated[u.Domain]
	rate := s.coldRate(u)
	if (!evacuated || u.Draining) && rate == u.ColdRate {
		return u
	}
	x := *u
	x.Draining = u.Draining || evacuated
	x.ColdRate = rate
	return &x
}
