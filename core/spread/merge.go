package spread

import (
	"cmp"
	"maps"
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
)

// Bounds of the number of halts and steps in a state, since peers can add to both.
// They are far above what one document can name.
const (
	maxHalts = 4096
	maxSteps = 4096
)

// stepKey identifies a roll-out of one generation.
type stepKey struct {
	generation ident.Generation
	rollout    ident.RolloutID
}

// state is the monotone state of an instance. The functions that apply inputs return a
// new state and leave the old one unchanged, so views may share its maps.
type state struct {
	accepted    *AcceptedDocument
	confirmed   ConfirmedBy
	confirmedAt time.Time
	halts       map[ident.VersionRef]Halt
	// steps holds the steps of roll-outs of the generation in force, and of later
	// generations whose document has not arrived yet.
	steps map[stepKey]int
	// rejected counts halts and steps that were dropped at maxHalts or maxSteps.
	rejected uint64
}

// input is an update that the control goroutine applies to the state.
type input interface{ input() }

type (
	// tableRead reports a read, begun at the time at, of the latest accepted document
	// above generation after. accepted is nil if there is none.
	tableRead struct {
		after    ident.Generation
		accepted *AcceptedDocument
		at       time.Time
	}
	// offered holds a document from a peer.
	offered struct{ accepted *AcceptedDocument }
	// confirmed reports that a peer's generation was confirmed by the table at the time
	// at.
	confirmed struct {
		generation ident.Generation
		digest     envdoc.Digest
		at         time.Time
	}
	// halted holds halts that were made here, received from a peer or read from the
	// table.
	halted struct{ halts []Halt }
	// stepped holds roll-out steps that were made here, received from a peer or read
	// from the table.
	stepped struct{ steps map[stepKey]int }
)

func (tableRead) input() {}
func (offered) input()   {}
func (confirmed) input() {}
func (halted) input()    {}
func (stepped) input()   {}

// action is a change of the state that the control goroutine records as an event.
type action interface{ action() }

type (
	// generationChanged reports that a document came into force.
	generationChanged struct{ accepted *AcceptedDocument }
	// versionHalted reports a new halt or one of a higher generation.
	versionHalted struct{ halt Halt }
	// rolloutAdvanced reports a higher step of a roll-out of the generation in force.
	rolloutAdvanced struct {
		rollout ident.RolloutID
		step    int
	}
	// digestMismatch reports that a peer or the table has another document for the
	// generation in force.
	digestMismatch struct {
		generation ident.Generation
		digest     envdoc.Digest
	}
)

func (generationChanged) action() {}
func (versionHalted) action()     {}
func (rolloutAdvanced) action()   {}
func (digestMismatch) action()    {}

func (s state) generation() ident.Generation {
	if s.accepted == nil {
		return 0
	}
	return s.accepted.Generation
}

// apply returns the state after an input and the actions that follow from it.
func apply(s state, e input) (state, []action) {
	switch e := e.(type) {
	case tableRead:
		return applyTableRead(s, e)
	case offered:
		return adopt(s, e.accepted, ConfirmedPeers)
	case confirmed:
		return applyConfirmed(s, e)
	case halted:
		return applyHalts(s, e.halts)
	case stepped:
		return applySteps(s, e.steps)
	}
	return s, nil
}

func applyTableRead(s state, e tableRead) (state, []action) {
	read := e.after
	if e.accepted != nil {
		read = e.accepted.Generation
	}
	s, as := adopt(s, e.accepted, ConfirmedTable)
	// The read does not confirm a document that arrived from a peer while it ran.
	if read != s.generation() {
		return s, as
	}
	s.confirmed = ConfirmedTable
	s.confirmedAt = later(s.confirmedAt, e.at)
	if s.accepted == nil {
		s.confirmed = ConfirmedNone
	}
	return s, as
}

// adopt brings a document into force if its generation is above the one in force, and
// ignores it otherwise.
func adopt(s state, a *AcceptedDocument, by ConfirmedBy) (state, []action) {
	if a == nil {
		return s, nil
	}
	if a.Generation == s.generation() && a.Document.Digest != s.accepted.Document.Digest {
		return s, []action{digestMismatch{generation: a.Generation, digest: a.Document.Digest}}
	}
	if a.Generation <= s.generation() {
		return s, nil
	}
	s.steps = carrySteps(s, a)
	s.accepted = a
	s.confirmed = by
	s.confirmedAt = time.Time{}
	return s, []action{generationChanged{accepted: a}}
}

// carrySteps returns the steps that apply after the change to a newer document. A
// roll-out that both documents define alike keeps its step: most promotions don't
// concern it, and with hundreds of promotions a day a roll-out that each one restarted
// would never finish.
func carrySteps(s state, a *AcceptedDocument) map[stepKey]int {
	steps := cloneMap(s.steps)
	for k, n := range s.steps {
		if k.generation >= a.Generation {
			continue
		}
		delete(steps, k)
		if s.accepted == nil || k.generation != s.generation() {
			continue
		}
		before, now := s.accepted.Document.Rollouts[k.rollout], a.Document.Rollouts[k.rollout]
		if before == nil || now == nil || !before.SameProgression(now) {
			continue
		}
		c := stepKey{generation: a.Generation, rollout: k.rollout}
		steps[c] = max(steps[c], n)
	}
	return steps
}

func applyConfirmed(s state, e confirmed) (state, []action) {
	if s.accepted == nil || e.generation != s.generation() {
		return s, nil
	}
	if e.digest != s.accepted.Document.Digest {
		return s, []action{digestMismatch{generation: e.generation, digest: e.digest}}
	}
	s.confirmedAt = later(s.confirmedAt, e.at)
	return s, nil
}

func applyHalts(s state, halts []Halt) (state, []action) {
	var as []action
	cloned := false
	for _, h := range halts {
		old, ok := s.halts[h.Version]
		if ok && compareHalts(h, old) <= 0 {
			continue
		}
		if !ok && len(s.halts) >= maxHalts {
			s.rejected++
			continue
		}
		if !cloned {
			s.halts = cloneMap(s.halts)
			cloned = true
		}
		s.halts[h.Version] = h
		if !ok || h.Generation > old.Generation {
			as = append(as, versionHalted{halt: h})
		}
	}
	return s, as
}

// compareHalts orders the halts of one version. The halt of the highest generation
// wins, since it is cleared last; the other criteria only make the result independent
// of the order of merges.
func compareHalts(a, b Halt) int {
	return cmp.Or(
		cmp.Compare(a.Generation, b.Generation),
		cmp.Compare(b.At.UnixMilli(), a.At.UnixMilli()),
		cmp.Compare(a.Instance, b.Instance),
		cmp.Compare(a.Reason, b.Reason),
	)
}

func applySteps(s state, steps map[stepKey]int) (state, []action) {
	var as []action
	cloned := false
	for k, n := range steps {
		old, ok := s.steps[k]
		if k.generation < s.generation() || n <= 0 || (ok && n <= old) {
			continue
		}
		if !ok && len(s.steps) >= maxSteps {
			s.rejected++
			continue
		}
		if !cloned {
			s.steps = cloneMap(s.steps)
			cloned = true
		}
		s.steps[k] = n
		if k.generation == s.generation() {
			as = append(as, rolloutAdvanced{rollout: k.rollout, step: n})
		}
	}
	return s, as
}

// view returns the snapshot that traffic goroutines read.
func (s state) view() *View {
	steps := map[ident.RolloutID]int{}
	for k, n := range s.steps {
		if k.generation == s.generation() {
			steps[k.rollout] = n
		}
	}
	return &View{
		Accepted:    s.accepted,
		ConfirmedBy: s.confirmed,
		ConfirmedAt: s.confirmedAt,
		Halts:       s.halts,
		Steps:       steps,
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// cloneMap returns a copy of m, an empty map for nil.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}
