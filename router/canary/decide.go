package canary

import (
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/fleet"
)

const (
	// shiftAt is the part of an order's time after which all work moves. Sessions
	// may change to the new version only in the second half.
	shiftAt = 0.55
	// completeAt leaves old work the time to end before the old upstreams stop,
	// and some time for the write itself.
	completeAt = 0.85
	// lastCall is when a roll-out is completed even if few new upstreams are listed.
	lastCall = 0.93
	// minCapacity is the number of new upstreams, as a part of the old ones, to move all work to.
	minCapacity = 0.5
	// canaryUpstreams is how many upstreams' worth of traffic a canary gets: enough
	// to judge it, few enough that hardly any session changes its version.
	canaryUpstreams = 0.6
	// bound is the part of the permitted exposure that a canary may use.
	bound = 0.6
	// minCanary lets every roll-out see some traffic.
	minCanary ident.Share = 50
	// sharedBad is the number of bad answers, over all instances, that reverts a
	// roll-out if they are also a large part of the answers of those who saw them.
	sharedBad = 6
	// sharedRate is that part.
	sharedRate = 0.3
)

// Action is what an instance does next about a roll-out; the sealed cases are below.
type Action interface{ action() }

type (
	// Wait does nothing for now.
	Wait struct{}
	// Save writes a new state under the condition that no one else did.
	Save struct {
		Progress Progress
		Reason   string
	}
)

func (Wait) action() {}
func (Save) action() {}

// Inputs are what a decision depends on.
type Inputs struct {
	Order Order
	// Progress is nil until an instance took the order up.
	Progress *Progress
	// StoreClock is the store's clock.
	StoreClock time.Duration
	// Verdict is this instance's finding about the new version, or empty.
	Verdict string
	// Tallies are the findings of all instances.
	Tallies []Tally
	// OldUpstreams and NewUpstreams are the numbers of upstreams that take work.
	OldUpstreams, NewUpstreams int
	// MaxShare bounds the canary: the deployment's bound on exposure.
	MaxShare float64
}

// Decide returns what to do about a roll-out. Whichever instance writes first
// decides for all; a state never goes back.
func Decide(f Inputs) Action {
	p := f.Progress
	if p == nil || p.Order != f.Order.Revision {
		return begin(f)
	}
	if p.Phase.Final() {
		return Wait{}
	}
	if f.Verdict != "" {
		return move(*p, PhaseReverted, f.Verdict)
	}
	if shared(f) {
		return move(*p, PhaseReverted, "bad answers at several instances")
	}
	age := f.StoreClock - p.StartedAt
	part := age.Seconds() / max(f.Order.MaxDuration.Seconds(), 1)
	enough := f.NewUpstreams > 0 && float64(f.NewUpstreams) >= minCapacity*float64(f.OldUpstreams)
	switch {
	case p.Phase == PhaseCanary && part >= shiftAt && (enough || (part >= lastCall && f.NewUpstreams > 0)):
		return move(*p, PhaseShift, "no fault seen")
	case p.Phase == PhaseShift && part >= completeAt:
		return move(*p, PhaseCompleted, "no fault seen")
	}
	return Wait{}
}

func begin(f Inputs) Action {
	return Save{Reason: "ordered", Progress: Progress{
		Service: f.Order.Service, To: f.Order.To, Order: f.Order.Revision,
		Phase: PhaseCanary, StartedAt: f.StoreClock, Share: share(f),
	}}
}

// share returns the canary's part of the sessions.
func share(f Inputs) ident.Share {
	s := canaryUpstreams / float64(max(f.OldUpstreams, 1))
	s = min(s, f.MaxShare*bound)
	return max(ident.Share(s*float64(ident.FullShare)), minCanary)
}

func move(p Progress, to Phase, reason string) Action {
	p.Phase = to
	return Save{Progress: p, Reason: reason}
}

func shared(f Inputs) bool {
	answers, bad := 0, 0
	for _, t := range f.Tallies {
		if t.Order == f.Order.Revision {
			answers += t.Answers
			bad += t.Failed
		}
	}
	return bad >= sharedBad && float64(bad) >= sharedRate*float64(answers)
}

// Route tells which versions a request may use.
type Route struct {
	// To is the version that an order names; it is empty without an order.
	To fleet.Version
	// New is true if the request goes to To, false if it goes to any other version.
	New bool
}

// Accepts reports whether a version may get the request.
func (r Route) Accepts(v fleet.Version) bool {
	return r.To == "" || (v == r.To) == r.New
}

// RouteFor returns the route of a request. Equal seeds go the same way at all
// instances, so that a session keeps its version without any message. halted is
// this instance's finding that the new version is bad, also before it is written.
func RouteFor(o Order, p *Progress, halted bool, seed uint64) Route {
	r := Route{To: o.To}
	if p == nil || p.Order != o.Revision {
		return r
	}
	switch p.Phase {
	case PhaseCanary:
		r.New = !halted && seed%uint64(ident.FullShare) < uint64(p.Share)
	case PhaseShift:
		r.New = !halted
	case PhaseCompleted:
		r.New = true
	case PhaseReverted:
	}
	return r
}
