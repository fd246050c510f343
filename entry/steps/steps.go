// Package steps decides when a roll-out advances to its next step, and whether its new
// version may take another session.
package steps

import (
	"time"

	"tarragonvalve.example/core/envdoc"
)

// Progress describes the current step of a roll-out. Next ignores Sessions; MayExpose
// ignores Since and Samples.
type Progress struct {
	// Step is the index of the current step.
	Step int
	// Since is when the holder of the roll-out lease first saw the step.
	Since time.Time
	// Samples is the number of answers of the new version that were observed during the
	// step.
	Samples int
	// Sessions is the number of distinct sessions that the new version has served at
	// this entry.
	Sessions int
	// Usable is false when the new version is halted or withdrawn.
	Usable bool
}

// Action is the decision on a roll-out: Hold, Advance or Finished.
type Action interface{ action() }

// Hold keeps the current step.
type Hold struct{ Reason string }

// Advance goes to the step with the index To.
type Advance struct{ To int }

// Finished means that the roll-out is at its last step.
type Finished struct{}

func (Hold) action()     {}
func (Advance) action()  {}
func (Finished) action() {}

// Next decides on a roll-out. It never goes back a step: a degraded version is halted,
// and only a new document makes it usable again.
func Next(r *envdoc.Rollout, p Progress, now time.Time) Action {
	last := len(r.Steps) - 1
	if p.Step >= last {
		return Finished{}
	}
	if !p.Usable {
		return Hold{Reason: "version is halted or withdrawn"}
	}
	if now.Sub(p.Since) < r.StepTime {
		return Hold{Reason: "step time is not over"}
	}
	if p.Samples < r.MinSamples {
		return Hold{Reason: "too few answers in this step"}
	}
	return Advance{To: p.Step + 1}
}

// Membership is the number of live entries and an entry's position among them.
type Membership struct {
	Entries int
	// Rank is the entry's index in the sorted order of all live entries.
	Rank int
}

// MayExpose reports whether the roll-out's new version may take a new session at this
// entry. The exposure bound holds for all entries together: each entry keeps to its
// own share of the bound, so that it holds even while entries can't reach each other.
// The last step has no bound.
func MayExpose(r *envdoc.Rollout, p Progress, f Membership) bool {
	if !p.Usable {
		return false
	}
	if r.ExposureBound == 0 || p.Step >= len(r.Steps)-1 {
		return true
	}
	n := max(f.Entries, 1)
	part := r.ExposureBound / n
	if f.Rank < r.ExposureBound%n {
		part++
	}
	return p.Sessions < part
}
