package guard

import (
	"tarragonvalve.example/core/ident"
)

// lag is how many of a version's own answers are held back before they enter
// its reference, so that a change is tested against answers from before it.
const lag = 200

// maxVersions bounds the versions that one Watch follows; documents hold a few dozen.
const maxVersions = 1000

// Monitor follows all versions: a roll-out's new version against its old one, and
// every other version against its own past. The owner serializes its use.
type Monitor struct {
	alpha float64
	// references hold all answers of a version, for comparison with the version that replaces it.
	references map[ident.VersionRef]*Reference
	// pool holds the errors of all versions. It stands in for the past of a version
	// with few answers: errors are rare whatever the version.
	pool *Reference
	// past holds a version's answers but for the latest, which are in held.
	past      map[ident.VersionRef]*Reference
	held      map[ident.VersionRef][]Observation
	rollouts  map[ident.VersionRef]*Guard
	detectors map[ident.VersionRef]*Guard
}

// NewMonitor returns a watch whose detectors have an average of 1/alpha answers between false alarms.
func NewMonitor(alpha float64) *Monitor {
	return &Monitor{
		alpha:      alpha,
		references: map[ident.VersionRef]*Reference{},
		pool:       NewReference(),
		past:       map[ident.VersionRef]*Reference{},
		held:       map[ident.VersionRef][]Observation{},
		rollouts:   map[ident.VersionRef]*Guard{},
		detectors:  map[ident.VersionRef]*Guard{},
	}
}

// Rollout names the version that a version in roll-out is compared with, and the
// false-alarm rate of the roll-out for this process. A zero From means no roll-out.
type Rollout struct {
	From           ident.VersionRef
	FalseAlarmRate float64
}

// Observe adds an answer of a version and returns the verdict on that version.
// A version in roll-out is also compared with its own past: it may turn bad long
// after it was found sound.
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
	out := d.Observe(w.pastOf(v), o)
	if o.Rating == nil {
		w.pool.Observe(Observation{Failed: o.Failed})
	}
	reference(w.references, v).Observe(o)
	w.hold(v, o)
	return out
}

// Samples returns the number of answers of a version in roll-out.
func (w *Monitor) Samples(v ident.VersionRef) int {
	g, ok := w.rollouts[v]
	if !ok {
		return 0
	}
	return g.Count()
}

// Forget drops what is known of a version, for one whose halt was cleared.
func (w *Monitor) Forget(v ident.VersionRef) {
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

func (w *Monitor) pastOf(v ident.VersionRef) *Reference {
	if r := reference(w.past, v); r.Count() >= minReference {
		return r
	}
	return w.pool
}

func (w *Monitor) hold(v ident.VersionRef, o Observation) {
	w.held[v] = append(w.held[v], o)
	if h := w.held[v]; len(h) > lag {
		reference(w.past, v).Observe(h[0])
		w.held[v] = h[1:]
	}
}
