// Package copies keeps enough copies of each version loaded. It orders a load when a
// version has too few copies or all of them are busy, and makes room for it by
// unloading a version that has copies to spare.
package copies

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/spread"
)

const (
	// minCopies lets a version survive the loss of one upstream.
	minCopies = 2
	// busyThreshold is how long all copies of a version must be busy before another one
	// is loaded: loading takes seconds to minutes, so it doesn't help in short peaks.
	busyThreshold = 10 * time.Second
	// idleThreshold is how long all copies of a version must be idle before a spare one
	// may be unloaded.
	idleThreshold = 5 * time.Minute
	// loadTimeout is the time after which an ordered load counts as failed.
	loadTimeout = 5 * time.Minute
	// maxLoads bounds the loads in progress, because the weight store limits its rate.
	maxLoads = 2
	// maxVersions bounds the versions on one upstream, in place of its memory, which is
	// not reported.
	maxVersions = 4
)

// Upstream is a model engine as of its agent's latest status.
type Upstream struct {
	ID      ident.UpstreamID
	Domain  ident.DomainID
	Loaded  []ident.VersionRef
	Slots   int
	Running int
	Queued  int
}

func (u *Upstream) has(r ident.VersionRef) bool {
	return slices.Contains(u.Loaded, r)
}

// busy reports whether all slots are in use and requests are queued.
func (u *Upstream) busy() bool {
	return u.Slots > 0 && u.Running >= u.Slots && u.Queued > 0
}

// Order is an instruction to a model engine: Load or Unload.
type Order interface{ order() }

// Load orders an upstream to load a version.
type Load struct {
	Upstream ident.UpstreamID
	Version  ident.VersionRef
}

// Unload orders an upstream to unload a version that has copies elsewhere or is
// withdrawn.
type Unload struct {
	Upstream ident.UpstreamID
	Version  ident.VersionRef
}

func (Load) order()   {}
func (Unload) order() {}

// State holds the loads in progress and the times since which versions are busy or
// idle.
type State struct {
	pending   map[Load]time.Time
	busySince map[ident.VersionRef]time.Time
	idleSince map[ident.VersionRef]time.Time
}

// NewState returns a state without orders.
func NewState() State {
	return State{
		pending:   map[Load]time.Time{},
		busySince: map[ident.VersionRef]time.Time{},
		idleSince: map[ident.VersionRef]time.Time{},
	}
}

// Next returns the orders to give now and the state after them. At most one order is
// returned per version. The last copy of a version stays loaded unless the version is
// withdrawn, because sessions may be pinned to it.
func Next(s State, v *spread.View, us []Upstream, now time.Time) (State, []Order) {
	d := v.Document()
	if d == nil || len(us) == 0 {
		return s, nil
	}
	p := &planner{state: s.clone(), view: v, wanted: wanted(v), now: now, upstreams: us}
	p.expirePending()
	var out []Order
	for _, r := range p.wanted {
		p.trackActivity(r)
		if o := p.nextOrder(r); o != nil {
			out = append(out, o)
		}
	}
	return p.state, out
}

func (s State) clone() State {
	return State{
		pending:   maps.Clone(s.pending),
		busySince: maps.Clone(s.busySince),
		idleSince: maps.Clone(s.idleSince),
	}
}

// planner computes the orders of one call of Next.
type planner struct {
	state     State
	view      *spread.View
	wanted    []ident.VersionRef
	now       time.Time
	upstreams []Upstream
}

// expirePending removes the loads that are done, whose upstream is gone, or that
// exceeded loadTimeout.
func (p *planner) expirePending() {
	maps.DeleteFunc(p.state.pending, func(l Load, at time.Time) bool {
		if p.now.Sub(at) > loadTimeout {
			return true
		}
		i := slices.IndexFunc(p.upstreams, func(u Upstream) bool { return u.ID == l.Upstream })
		return i < 0 || p.upstreams[i].has(l.Version)
	})
}

// trackActivity records since when all copies of a version are busy, or idle.
func (p *planner) trackActivity(r ident.VersionRef) {
	on := p.holders(r)
	busy := len(on) > 0 && !slices.ContainsFunc(on, func(u *Upstream) bool { return !u.busy() })
	idle := !slices.ContainsFunc(on, func(u *Upstream) bool { return u.Running > 0 || u.Queued > 0 })
	setSince(p.state.busySince, r, busy, p.now)
	setSince(p.state.idleSince, r, idle, p.now)
}

// setSince keeps the time at which a condition became true for a version, and deletes
// it when the condition is false.
func setSince(m map[ident.VersionRef]time.Time, r ident.VersionRef, is bool, now time.Time) {
	if !is {
		delete(m, r)
		return
	}
	if _, ok := m[r]; !ok {
		m[r] = now
	}
}

// nextOrder returns the order that a version with too few copies needs, nil for none.
func (p *planner) nextOrder(r ident.VersionRef) Order {
	n := len(p.holders(r))
	for l := range p.state.pending {
		if l.Version == r {
			n++
		}
	}
	want := min(minCopies, len(p.upstreams))
	if at, ok := p.state.busySince[r]; ok && p.now.Sub(at) >= busyThreshold {
		want = max(want, n+1)
	}
	if n >= want || len(p.state.pending) >= maxLoads {
		return nil
	}
	return p.placeCopy(r)
}

// placeCopy orders a load on the least loaded upstream without the version, with
// preference to failure domains that have no copy. When all these upstreams are full
// it orders an unload on one of them instead.
func (p *planner) placeCopy(r ident.VersionRef) Order {
	covered := map[ident.DomainID]bool{}
	for _, u := range p.holders(r) {
		covered[u.Domain] = true
	}
	var candidates []*Upstream
	for i := range p.upstreams {
		u := &p.upstreams[i]
		if _, ok := p.state.pending[Load{Upstream: u.ID, Version: r}]; !ok && !u.has(r) {
			candidates = append(candidates, u)
		}
	}
	slices.SortFunc(candidates, func(a, b *Upstream) int {
		return cmp.Or(
			cmp.Compare(rank(covered[a.Domain]), rank(covered[b.Domain])),
			cmp.Compare(a.Running+a.Queued, b.Running+b.Queued),
			cmp.Compare(len(a.Loaded), len(b.Loaded)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	for _, u := range candidates {
		if len(u.Loaded)+p.pendingOn(u.ID) < maxVersions {
			l := Load{Upstream: u.ID, Version: r}
			p.state.pending[l] = p.now
			return l
		}
	}
	for _, u := range candidates {
		if x, ok := p.evictable(u); ok {
			return Unload{Upstream: u.ID, Version: x}
		}
	}
	return nil
}

// rank sorts failure domains without a copy first.
func rank(covered bool) int {
	if covered {
		return 1
	}
	return 0
}

// pendingOn returns the number of loads in progress on an upstream.
func (p *planner) pendingOn(u ident.UpstreamID) int {
	n := 0
	for l := range p.state.pending {
		if l.Upstream == u {
			n++
		}
	}
	return n
}

// evictable returns a version that may be unloaded from an upstream: one that is not
// wanted any more and has another copy or is withdrawn, or one that has more than
// minCopies copies and was idle for idleThreshold.
func (p *planner) evictable(u *Upstream) (ident.VersionRef, bool) {
	for _, r := range u.Loaded {
		n := len(p.holders(r))
		if !slices.Contains(p.wanted, r) && (n > 1 || p.view.Document().Withdrawn(r)) {
			return r, true
		}
		at, idle := p.state.idleSince[r]
		if n > minCopies && idle && p.now.Sub(at) >= idleThreshold {
			return r, true
		}
	}
	return ident.VersionRef{}, false
}

// holders returns the upstreams that have loaded a version.
func (p *planner) holders(r ident.VersionRef) []*Upstream {
	var out []*Upstream
	for i := range p.upstreams {
		if p.upstreams[i].has(r) {
			out = append(out, &p.upstreams[i])
		}
	}
	return out
}

// wanted returns the usable versions that may get new sessions, sorted: versions with
// a share, the new versions of roll-outs, and the fallbacks of both.
func wanted(v *spread.View) []ident.VersionRef {
	d := v.Document()
	set := map[ident.VersionRef]bool{}
	for id, m := range d.Models {
		for x, s := range m.Shares {
			set[ident.VersionRef{Model: id, Version: x}] = s > 0
		}
		set[m.Fallback] = true
	}
	for _, r := range d.Rollouts {
		set[ident.VersionRef{Model: r.Model, Version: r.To}] = true
	}
	for r := range maps.Clone(set) {
		if c, ok := d.Versions[r]; ok && set[r] {
			set[c.Fallback] = true
		}
	}
	var out []ident.VersionRef
	for r, ok := range set {
		if ok && inDocument(d, r) && v.Usable(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b ident.VersionRef) int { return cmp.Compare(a.String(), b.String()) })
	return out
}

func inDocument(d *envdoc.Document, r ident.VersionRef) bool {
	_, ok := d.Versions[r]
	return ok
}
