// Package steps decides when a roll-out goes to its next step.
package steps

import (
	"time"

	"tarragonvalve.example/core/envdoc"
)

// Progress is what the holder of the roll-out's lease knows of the present step.
type Progress struct {
	// Step is the index of the present step.
	Step int
	// Since is when the holder saw the step begin.
	Since time.Time
	// Samples is the number of answers of the new version that were observed in this step.
	Samples int
	// Sessions is the number of distinct sessions that the new version has served.
	Sessions int
	// Usable is false when the new version is halted or withdrawn.
	Usable bool
}

// Action is what to do with a roll-out; the sealed cases are Hold, Advance and Finished.
type Action interface{ action() }

// Hold keeps the present step.
type Hold struct{ Reason string }

// Advance goes to a step.
type Advance struct{ To int }

// Finished means that the last step is reached.
type Finished struct{}

func (Hold) action()     {}
func (Advance) action()  {}
func (Finished) action() {}

// Next decides on a roll-out. Going back is not among its actions: a bad version
// is halted, and only a new document starts it again.
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

// Membership is an entry's place among the live entries.
type Membership struct {
	Entries int
	// Rank is the entry's index in the sorted ids of all live entries.
	Rank int
}

// MayExpose reports whether a new session may start on the roll-out's new
// version. The bound holds for all entries together: each keeps to its own part
// of it, so that entries that can't reach each other stay within it. The last
// step has no bound.
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
