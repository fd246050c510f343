// Package copies keeps enough copies of each version loaded. It orders loads when a
// version has too few copies or all of them are busy, and makes room by unloading
// versions that have copies to spare.
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
	// busyFor is how long all copies of a version must be busy before it gets another:
	// loading takes seconds to minutes, so short peaks are not followed.
	busyFor = 10 * time.Second
	// idleFor is how long a spare copy must be idle before it may be unloaded.
	idleFor = 5 * time.Minute
	// loadLimit is how long an ordered load may take before it counts as failed.
	loadLimit = 5 * time.Minute
	// maxLoads bounds the loads under way, since the weight store is limited in rate.
	maxLoads = 2
	// maxVersions bounds the versions on one upstream; its memory is not reported.
	maxVersions = 4
)

// Upstream is a model engine as its agent last reported it.
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

func (u *Upstream) busy() bool {
	return u.Slots > 0 && u.Running >= u.Slots && u.Queued > 0
}

// Order is what an engine should do; the sealed cases are Load and Unload.
type Order interface{ order() }

// Load asks an upstream to load a version.
type Load struct {
	Upstream ident.UpstreamID
	Version  ident.VersionRef
}

// Unload asks an upstream to give up a version that has copies elsewhere.
type Unload struct {
	Upstream ident.UpstreamID
	Version  ident.VersionRef
}

func (Load) order()   {}
func (Unload) order() {}

// State is what is known of earlier orders and of how long versions are busy or idle.
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

// Next returns the orders to give now and the state after them. A version that
// sessions may still be pinned to keeps its last copy.
func Next(s State, v *spread.View, us []Upstream, now time.Time) (State, []Order) {
	d := v.Document()
	if d == nil || len(us) == 0 {
		return s, nil
	}
	p := &planner{state: s.clone(), view: v, wanted: wanted(v), now: now, upstreams: us}
	p.settle()
	var out []Order
	for _, r := range p.wanted {
		p.time(r)
		if o := p.need(r); o != nil {
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

type planner struct {
	state     State
	view      *spread.View
	wanted    []ident.VersionRef
	now       time.Time
	upstreams []Upstream
}

// settle forgets loads that ended or took too long.
func (p *planner) settle() {
	maps.DeleteFunc(p.state.pending, func(l Load, at time.Time) bool {
		if p.now.Sub(at) > loadLimit {
			return true
		}
		i := slices.IndexFunc(p.upstreams, func(u Upstream) bool { return u.ID == l.Upstream })
		return i < 0 || p.upstreams[i].has(l.Version)
	})
}

// time keeps how long a version has been busy or idle.
func (p *planner) time(r ident.VersionRef) {
	on := p.on(r)
	busy := len(on) > 0 && !slices.ContainsFunc(on, func(u *Upstream) bool { return !u.busy() })
	idle := !slices.ContainsFunc(on, func(u *Upstream) bool { return u.Running > 0 || u.Queued > 0 })
	mark(p.state.busySince, r, busy, p.now)
	mark(p.state.idleSince, r, idle, p.now)
}

func mark(m map[ident.VersionRef]time.Time, r ident.VersionRef, is bool, now time.Time) {
	if !is {
		delete(m, r)
		return
	}
	if _, ok := m[r]; !ok {
		m[r] = now
	}
}

// need returns the order that brings a version nearer to its copies, nil for none.
func (p *planner) need(r ident.VersionRef) Order {
	n := len(p.on(r))
	for l := range p.state.pending {
		if l.Version == r {
			n++
		}
	}
	want := min(minCopies, len(p.upstreams))
	if at, ok := p.state.busySince[r]; ok && p.now.Sub(at) >= busyFor {
		want = max(want, n+1)
	}
	if n >= want || len(p.state.pending) >= maxLoads {
		return nil
	}
	return p.place(r)
}

// place chooses the least loaded upstream without the version, first in failure
// domains that have no copy. When all are full it makes room on one.
func (p *planner) place(r ident.VersionRef) Order {
	covered := map[ident.DomainID]bool{}
	for _, u := range p.on(r) {
		covered[u.Domain] = true
	}
	var free []*Upstream
	for i := range p.upstreams {
		u := &p.upstreams[i]
		if _, ok := p.state.pending[Load{Upstream: u.ID, Version: r}]; !ok && !u.has(r) {
			free = append(free, u)
		}
	}
	slices.SortFunc(free, func(a, b *Upstream) int {
		return cmp.Or(
			cmp.Compare(rank(covered[a.Domain]), rank(covered[b.Domain])),
			cmp.Compare(a.Running+a.Queued, b.Running+b.Queued),
			cmp.Compare(len(a.Loaded), len(b.Loaded)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	for _, u := range free {
		if len(u.Loaded)+p.loading(u.ID) < maxVersions {
			l := Load{Upstream: u.ID, Version: r}
			p.state.pending[l] = p.now
			return l
		}
	}
	for _, u := range free {
		if x, ok := p.spare(u); ok {
			return Unload{Upstream: u.ID, Version: x}
		}
	}
	return nil
}

func rank(covered bool) int {
	if covered {
		return 1
	}
	return 0
}

func (p *planner) loading(u ident.UpstreamID) int {
	n := 0
	for l := range p.state.pending {
		if l.Upstream == u {
			n++
		}
	}
	return n
}

// spare returns a version on an upstream that keeps enough copies without it: one
// that the document no longer wants and that is not the last, or one that was idle
// for long and has more than the wanted copies.
func (p *planner) spare(u *Upstream) (ident.VersionRef, bool) {
	for _, r := range u.Loaded {
		n := len(p.on(r))
		if !slices.Contains(p.wanted, r) && (n > 1 || p.view.Document().Withdrawn(r)) {
			return r, true
		}
		at, idle := p.state.idleSince[r]
		if n > minCopies && idle && p.now.Sub(at) >= idleFor {
			return r, true
		}
	}
	return ident.VersionRef{}, false
}

func (p *planner) on(r ident.VersionRef) []*Upstream {
	var out []*Upstream
	for i := range p.upstreams {
		if p.upstreams[i].has(r) {
			out = append(out, &p.upstreams[i])
		}
	}
	return out
}

// wanted lists the usable versions that may get new sessions: those with a share,
// the new versions of roll-outs, and the fallbacks of both.
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
		if ok && isKnown(d, r) && v.Usable(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b ident.VersionRef) int { return cmp.Compare(a.String(), b.String()) })
	return out
}

func isKnown(d *envdoc.Document, r ident.VersionRef) bool {
	_, ok := d.Versions[r]
	return ok
}
