package guard

import (
	"tarragonvalve.example/core/ident"
)

// heldAnswers is the number of a version's latest observations that are kept out of
// its own reference, so that a change is tested against observations from before it.
const heldAnswers = 200

// maxVersions bounds the versions that one Monitor tests; documents have a few dozen.
const maxVersions = 1000

// Monitor tests all versions: the new version of a roll-out against the old one, and
// every version against its own past. It is not safe for concurrent use.
type Monitor struct {
	alpha float64
	// references holds all observations of a version, for comparison with the version
	// that replaces it.
	references map[ident.VersionRef]*Reference
	// pooled holds the failures of all versions. It is the reference of a version with
	// too short a past, since failures are rare in any version.
	pooled *Reference
	// past holds a version's observations except the latest ones, which are in held.
	past      map[ident.VersionRef]*Reference
	held      map[ident.VersionRef][]Observation
	rollouts  map[ident.VersionRef]*Guard
	detectors map[ident.VersionRef]*Guard
}

// NewMonitor returns a monitor whose tests of a version against its own past have at
// least 1/alpha observations between false alarms on average.
func NewMonitor(alpha float64) *Monitor {
	return &Monitor{
		alpha:      alpha,
		references: map[ident.VersionRef]*Reference{},
		pooled:     NewReference(),
		past:       map[ident.VersionRef]*Reference{},
		held:       map[ident.VersionRef][]Observation{},
		rollouts:   map[ident.VersionRef]*Guard{},
		detectors:  map[ident.VersionRef]*Guard{},
	}
}

// Rollout is the old version that a version in roll-out is compared with, and the
// false-alarm rate of the comparison in this process. A zero From means that there is
// no roll-out.
type Rollout struct {
	From           ident.VersionRef
	FalseAlarmRate float64
}

// Observe adds an answer, or a rating, of a version and returns the verdict on the
// version. A version in roll-out is compared with its own past as well, because it may
// degrade long after the start of the roll-out.
func (w *Monitor) Observe(v ident.VersionRef, r Rollout, o Observation) Verdict {
	if r.From != (ident.VersionRef{}) {
		if b, ok := w.rollout(v, r).Observe(reference(w.references, r.From), o).(Degraded); ok {
			return b
		}
	}
	if len(w.detectors) >= maxVersions && w.detectors[v] == nil {
		return Healthy{}
	}
	d, ok := w.detectors[v]
	if !ok {
		d = NewDetector(w.alpha)
		w.detectors[v] = d
	}
	out := d.Observe(w.baseline(v), o)
	if o.Rating == nil {
		w.pooled.Observe(Observation{Failed: o.Failed})
	}
	reference(w.references, v).Observe(o)
	w.holdBack(v, o)
	return out
}

// Samples returns the weighted number of answers of a version in roll-out that were
// compared with the old version, at most referenceWindow.
func (w *Monitor) Samples(v ident.VersionRef) int {
	g, ok := w.rollouts[v]
	if !ok {
		return 0
	}
	return g.Count()
}

// Reset deletes the observations of a version whose halt was cleared, except its failures
// in the pooled reference.
func (w *Monitor) Reset(v ident.VersionRef) {
	delete(w.references, v)
	delete(w.past, v)
	delete(w.held, v)
	delete(w.rollouts, v)
	delete(w.detectors, v)
}

func (w *Monitor) rollout(v ident.VersionRef, r Rollout) *Guard {
	g, ok := w.rollouts[v]
	if !ok {
		g = New(r.FalseAlarmRate)
		w.rollouts[v] = g
	}
	return g
}

func reference(m map[ident.VersionRef]*Reference, v ident.VersionRef) *Reference {
	r, ok := m[v]
	if !ok {
		r = NewReference()
		m[v] = r
	}
	return r
}

// baseline returns a version's own past, or the pooled failures while that is too
// short.
func (w *Monitor) baseline(v ident.VersionRef) *Reference {
	if r := reference(w.past, v); r.Count() >= minReference {
		return r
	}
	return w.pooled
}

// holdBack queues an observation and moves the oldest one to the version's past when
// the queue is full.
func (w *Monitor) holdBack(v ident.VersionRef, o Observation) {
	w.held[v] = append(w.held[v], o)
	if h := w.held[v]; len(h) > heldAnswers {
		reference(w.past, v).Observe(h[0])
		w.held[v] = h[1:]
	}
}
