package spread

import (
	"cmp"
	"maps"
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
)

// Bounds of the state that peers can add. Both are far above what one document can name.
const (
	maxHalts = 4096
	maxSteps = 4096
)

// stepKey names the progress of a roll-out within one generation.
type stepKey struct {
	generation ident.Generation
	rollout    ident.RolloutID
}

// state is the monotone state of an instance. Updates return a new state and leave
// the old one as it was, so that views may share its maps.
type state struct {
	accepted    *AcceptedDocument
	confirmed   ConfirmedBy
	confirmedAt time.Time
	halts       map[ident.VersionRef]Halt
	// steps holds the steps of the generation in force and of later ones whose document is not here yet.
	steps map[stepKey]int
	// rejected counts halts and steps that exceeded a bound.
	rejected uint64
}

// input is what the control goroutine applies to the state.
type input interface{ input() }

type (
	// tableRead reports a read of the accepted documents above generation after, begun at the time at.
	tableRead struct {
		after    ident.Generation
		accepted *AcceptedDocument
		at       time.Time
	}
	// offered holds a document from a peer.
	offered struct{ accepted *AcceptedDocument }
	// confirmed reports a peer's confirmation of a generation by the table.
	confirmed struct {
		generation ident.Generation
		digest     envdoc.Digest
		at         time.Time
	}
	// halted holds halts made here, by a peer or read from the table.
	halted struct{ halts []Halt }
	// stepped holds roll-out steps made here, by a peer or read from the table.
	stepped struct{ steps map[stepKey]int }
)

func (tableRead) input() {}
func (offered) input()   {}
func (confirmed) input() {}
func (halted) input()    {}
func (stepped) input()   {}

// action is what the control goroutine does after an update.
type action interface{ action() }

type (
	// generationChanged says that a document came into force.
	generationChanged struct{ accepted *AcceptedDocument }
	// versionHalted says that a halt was added.
	versionHalted struct{ halt Halt }
	// rolloutAdvanced says that a roll-out of the generation in force moved on.
	rolloutAdvanced struct {
		rollout ident.RolloutID
		step    int
	}
	// digestMismatch says that a peer knows another document under the same generation.
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

// apply returns the state after an input and what follows from it.
func apply(s state, e input) (state, []action) {
	switch e := e.(type) {
	case tableRead:
		return applyTable(s, e)
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

func applyTable(s state, e tableRead) (state, []action) {
	read := e.after
	if e.accepted != nil {
		read = e.accepted.Generation
	}
	s, as := adopt(s, e.accepted, ConfirmedTable)
	// A document that arrived from a peer during the read is not confirmed by it.
	if read != s.generation() {
		return s, as
	}
	s.confirmed = ConfirmedTable
	s.confirmedAt = latest(s.confirmedAt, e.at)
	if s.accepted == nil {
		s.confirmed = ConfirmedNone
	}
	return s, as
}

// adopt brings a document into force if it is newer; a lower generation is ignored.
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

// carrySteps returns the steps that hold for a newer document. A roll-out that both
// documents define alike keeps its step: most promotions don't concern it, and
// with hundreds a day it would never finish if each one started it again.
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
		if before == nil || now == nil || !before.SameCourse(now) {
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
	s.confirmedAt = latest(s.confirmedAt, e.at)
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

// compareHalts orders the halts of one version. The one of the higher generation
// binds longest; the rest of the order only makes the merge independent of its order.
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

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}
