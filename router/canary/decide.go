package canary

import (
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/entry/guard"
	"tarragonvalve.example/router/fleet"
)

const (
	// shiftAt is the part of an order's time after which all requests go to the new
	// version. Sessions may change to it only in the second half.
	shiftAt = 0.55
	// completeAt is the part after which a roll-out is completed. It leaves old requests
	// time to end before the old upstreams stop, and some time for the write itself.
	completeAt = 0.85
	// minShiftPart is the least part of an order's time between the move of all requests and
	// completion. Until then a version that the canary's few requests didn't show to be bad can
	// still be reverted; afterwards the old upstreams have stopped.
	minShiftPart = 0.15
	// forceShiftAt is the part after which all requests move even if few new upstreams
	// are listed.
	forceShiftAt = 0.93
	// minCapacity is the number of new upstreams, relative to the old ones, that is
	// needed to move all requests.
	minCapacity = 0.5
	// provenPart is the part of an order's time for which most new upstreams must have been up before
	// all requests move: some faults show only some seconds after an upstream's start, and an
	// upstream that crashes and starts again hides them once more.
	provenPart = 0.4
	// provenBy is the part after which a roll-out whose upstreams are not proven is reverted: the rest
	// is needed to move all requests and to complete it.
	provenBy = 0.8
	// maxAge is the age of the inputs up to which a roll-out advances. A router that was stopped, or has lost the store,
	// may not have read what others saw meanwhile. It is above the age that contents read through another router have.
	maxAge = 2500 * time.Millisecond
	// maxYoung is the largest part of the new upstreams that may have been up for less.
	maxYoung = 0.25
	// canaryUpstreams is the traffic of a canary as a multiple of that of one old
	// upstream: enough to judge it, and so little that hardly any session changes its
	// version.
	canaryUpstreams = 0.6
	// exposurePart is the part of the permitted exposure that a canary may use.
	exposurePart = 0.6
	// minShare is the least share of a canary, so that every roll-out gets some traffic.
	minShare ident.Share = 50
	// minSharedFailures is the number of failures, over all instances, from which a
	// roll-out is reverted if they are also at least minSharedFailureRate of the responses
	// that the same instances saw.
	minSharedFailures = 6
	// minSharedFailureRate is the least part of these responses that must have failed.
	minSharedFailureRate = 0.3
)

// Action is the next action of an instance for a roll-out. Its cases are the types below.
type Action interface{ action() }

type (
	// Wait does nothing for now.
	Wait struct{}
	// Save writes new progress under the condition that no other instance did since it
	// was read.
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
	// Progress is nil until an instance has started the order.
	Progress *Progress
	// Lost is true if the store has lost the progress.
	Lost bool
	// StoreClock is the current time of the store's clock.
	StoreClock time.Duration
	// Age is the age of what was read from the store.
	Age time.Duration
	// Verdict is this instance's reason to call the new version bad, or empty.
	Verdict string
	// Tallies are the counts of all instances.
	Tallies []Tally
	// OldUpstreams and NewUpstreams are the numbers of upstreams that take requests.
	OldUpstreams, NewUpstreams int
	// YoungUpstreams are the new ones that have been up for less than ProvenAge of the order.
	YoungUpstreams int
	// MaxShare is the permitted exposure: the largest share of the requests that a canary
	// may get.
	MaxShare float64
}

// ProvenAge returns how long an upstream of the new version must have been up to count as proven.
func (o Order) ProvenAge() time.Duration {
	return partOf(o, provenPart)
}

// partOf returns a part of an order's time.
func partOf(o Order, part float64) time.Duration {
	return time.Duration(part * float64(o.MaxDuration))
}

// CountUpstreams sets the numbers of upstreams of both versions, without draining ones.
func (f *Inputs) CountUpstreams(us []*fleet.Upstream, now time.Time) {
	f.OldUpstreams, f.NewUpstreams, f.YoungUpstreams = 0, 0, 0
	for _, u := range us {
		switch {
		case u.Draining:
		case u.Version != f.Order.To:
			f.OldUpstreams++
		default:
			f.NewUpstreams++
			if u.StartedMs > 0 && now.Sub(time.UnixMilli(u.StartedMs)) < f.Order.ProvenAge() {
				f.YoungUpstreams++
			}
		}
	}
}

// Decide returns the next action for a roll-out. The first instance to write it decides
// for all, since the others then see a changed row. A phase never goes back.
func Decide(f Inputs) Action {
	p := f.Progress
	if p != nil && p.Order > f.Order.Revision {
		// The operator has replaced the order, which this instance hasn't read yet.
		return Wait{}
	}
	if p == nil || p.Order != f.Order.Revision {
		return start(f)
	}
	if f.Lost {
		return Save{Progress: *p, Reason: "lost by the store"}
	}
	if p.Phase.Final() {
		return Wait{}
	}
	if f.Verdict != "" {
		return transition(*p, PhaseReverted, f.Verdict)
	}
	if failsAcrossInstances(f) {
		return transition(*p, PhaseReverted, "too many failed responses across instances")
	}
	if slowAcrossInstances(f) {
		return transition(*p, PhaseReverted, "too many slow responses across instances")
	}
	age := f.StoreClock - p.StartedAt
	part := age.Seconds() / max(f.Order.MaxDuration.Seconds(), 1)
	enough := f.NewUpstreams > 0 && float64(f.NewUpstreams) >= minCapacity*float64(f.OldUpstreams)
	proven := float64(f.YoungUpstreams) <= maxYoung*float64(f.NewUpstreams)
	switch {
	case f.Age > maxAge:
		return Wait{}
	case p.Phase == PhaseCanary && part >= provenBy && !proven:
		return transition(*p, PhaseReverted, "not proven: the new upstreams have started again too lately")
	case p.Phase == PhaseCanary && part >= shiftAt && proven && (enough || (part >= forceShiftAt && f.NewUpstreams > 0)):
		s := transition(*p, PhaseShift, "no fault seen")
		s.Progress.ShiftedAt = f.StoreClock
		return s
	case p.Phase == PhaseShift && part >= completeAt && f.StoreClock-p.ShiftedAt >= partOf(f.Order, minShiftPart):
		return transition(*p, PhaseCompleted, "no fault seen")
	}
	return Wait{}
}

// start returns the first progress of an order.
func start(f Inputs) Action {
	return Save{Reason: "ordered", Progress: Progress{
		Service: f.Order.Service, To: f.Order.To, Order: f.Order.Revision,
		Phase: PhaseCanary, StartedAt: f.StoreClock, Share: share(f),
	}}
}

// share returns the canary's share of the sessions.
func share(f Inputs) ident.Share {
	s := canaryUpstreams / float64(max(f.OldUpstreams, 1))
	s = min(s, f.MaxShare*exposurePart)
	return max(ident.Share(s*float64(ident.FullShare)), minShare)
}

// transition returns progress with another phase.
func transition(p Progress, to Phase, reason string) Save {
	p.Phase = to
	return Save{Progress: p, Reason: reason}
}

// failsAcrossInstances reports whether the failures of all instances together call for a reversion.
func failsAcrossInstances(f Inputs) bool {
	t := f.Total()
	return t.Failed >= minSharedFailures && float64(t.Failed) >= minSharedFailureRate*float64(t.Responses)
}

// Total returns the responses and failures of the new version at all instances.
func (f Inputs) Total() Tally {
	s := Tally{Service: f.Order.Service, Order: f.Order.Revision}
	for _, t := range f.Tallies {
		if t.Order == f.Order.Revision {
			s.Responses += t.Responses
			s.Failed += t.Failed
		}
	}
	return s
}

// slowAcrossInstances reports whether the times of all instances together call for a reversion.
func slowAcrossInstances(f Inputs) bool {
	var after, before guard.Counts
	for _, t := range f.Tallies {
		if t.Order == f.Order.Revision {
			after = after.Plus(t.Slowness.counts())
			before = before.Plus(t.SlownessBefore.counts())
		}
	}
	return guard.Excess(guard.SignalLatency, after, before) >= minEvidence
}

// Route selects the versions that a request may use.
type Route struct {
	// To is the version that the order names; it is empty without an order.
	To fleet.Version
	// New is true if the request goes to version To, false if it goes to any other
	// version.
	New bool
	// Replaceable is true if the request goes to version To and the old one still runs, so that it
	// can serve the request as well.
	Replaceable bool
}

// Accepts reports whether a version may get the request.
func (r Route) Accepts(v fleet.Version) bool {
	return r.To == "" || (v == r.To) == r.New
}

// Covers reports whether a share covers what a seed stands for.
func Covers(share ident.Share, seed uint64) bool {
	return seed%uint64(ident.FullShare) < uint64(share)
}

// RouteFor returns the route of a request. Equal seeds give the same route at all
// instances, so that a session keeps its version without communication. halted is true if
// this instance found the new version bad, which counts before the reversion is written.
func RouteFor(o Order, p *Progress, halted bool, seed uint64) Route {
	r := Route{To: o.To}
	if p == nil || p.Order != o.Revision {
		return r
	}
	switch p.Phase {
	case PhaseCanary:
		r.New = !halted && Covers(p.Share, seed)
	case PhaseShift:
		r.New = !halted
	case PhaseCompleted:
		r.New = true
	case PhaseReverted:
	}
	r.Replaceable = r.New && !p.Phase.Final()
	return r
}
