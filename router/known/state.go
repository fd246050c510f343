// Package known holds what an instance knows from the platform's store: the
// configuration, the upstreams and the roll-outs, and how fresh that is.
package known

import (
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/routes"
)

// returnGrace is how long upstreams that vanish right after an outage of the
// store are kept: their entries may have lapsed meanwhile and come back within
// about two seconds (users' letter).
const returnGrace = 2200 * time.Millisecond

// View is an immutable snapshot of what is known.
type View struct {
	// Document is nil until a configuration was read.
	Document *routes.Document
	Fleet    *fleet.List
	Orders   map[ident.ServiceID]canary.Order
	Progress map[ident.ServiceID]ProgressChanged
	Tallies  []canary.Tally
	// ProgressRead is true once the states of roll-outs were read.
	ProgressRead bool
	// UpstreamsRead is true once the upstreams were read.
	UpstreamsRead bool
}

// tallyKey names a tally: each instance has one for each service.
type tallyKey struct {
	service  ident.ServiceID
	instance string
}

// state is owned by the control goroutine.
type state struct {
	document  *routes.Document
	upstreams map[ident.UpstreamID]*fleet.Upstream
	// doubtful upstreams are missing since an outage; the value is when they are dropped.
	doubtful map[ident.UpstreamID]time.Duration
	orders   map[ident.ServiceID]canary.Order
	progress map[ident.ServiceID]ProgressChanged
	tallies  map[tallyKey]canary.Tally
	listed   bool
	// progressRead is true once the states of roll-outs were read.
	progressRead bool
	// graceEnd is when missing entries count as gone again after an outage.
	graceEnd time.Duration
}

func newState() *state {
	return &state{
		upstreams: map[ident.UpstreamID]*fleet.Upstream{},
		doubtful:  map[ident.UpstreamID]time.Duration{},
		orders:    map[ident.ServiceID]canary.Order{},
		progress:  map[ident.ServiceID]ProgressChanged{},
		tallies:   map[tallyKey]canary.Tally{},
	}
}

// returned records the first answer of the store after an outage.
func (s *state) returned(now time.Duration) {
	s.graceEnd = now + returnGrace
}

// apply applies a change and reports whether the view changed.
func (s *state) apply(c Change, now time.Duration) bool {
	switch c := c.(type) {
	case DocumentChanged:
		if s.document != nil && c.Document.Generation <= s.document.Generation {
			return false
		}
		s.document = c.Document
	case RolloutOrdered:
		if o, ok := s.orders[c.Order.Service]; ok && c.Order.Revision <= o.Revision {
			return false
		}
		s.orders[c.Order.Service] = c.Order
	case ProgressChanged:
		if p, ok := s.progress[c.Progress.Service]; ok && c.Revision <= p.Revision {
			return false
		}
		s.progress[c.Progress.Service] = c
	case TallyChanged:
		s.tallies[tallyKey{c.Tally.Service, c.Tally.Instance}] = c.Tally
	case UpstreamChanged:
		s.upstreams[c.Upstream.ID] = c.Upstream
		delete(s.doubtful, c.Upstream.ID)
	case UpstreamRemoved:
		return s.gone(c.ID, now)
	case InvalidRecord:
		return false
	}
	return true
}

func (s *state) gone(id ident.UpstreamID, now time.Duration) bool {
	u := s.upstreams[id]
	if u == nil {
		return false
	}
	if now < s.graceEnd && !u.Draining {
		if _, ok := s.doubtful[id]; !ok {
			s.doubtful[id] = s.graceEnd
		}
		return false
	}
	delete(s.upstreams, id)
	delete(s.doubtful, id)
	return true
}

// reset removes the upstreams that a snapshot no longer holds.
func (s *state) reset(cs []Change, now time.Duration) bool {
	kept := make(map[ident.UpstreamID]bool, len(cs))
	for _, c := range cs {
		if u, ok := c.(UpstreamChanged); ok {
			kept[u.Upstream.ID] = true
		}
	}
	changed := !s.listed
	s.listed = true
	for id := range s.upstreams {
		if !kept[id] && s.gone(id, now) {
			changed = true
		}
	}
	return changed
}

// expire drops doubtful upstreams whose time is over.
func (s *state) expire(now time.Duration) bool {
	changed := false
	for id, t := range s.doubtful {
		if now >= t {
			delete(s.upstreams, id)
			delete(s.doubtful, id)
			changed = true
		}
	}
	return changed
}

func (s *state) view() *View {
	us := make(map[ident.UpstreamID]*fleet.Upstream, len(s.upstreams))
	for id, u := range s.upstreams {
		us[id] = u
	}
	os := make(map[ident.ServiceID]canary.Order, len(s.orders))
	for id, o := range s.orders {
		os[id] = o
	}
	ps := make(map[ident.ServiceID]ProgressChanged, len(s.progress))
	for id, p := range s.progress {
		ps[id] = p
	}
	v := &View{
		Document: s.document, Fleet: fleet.New(us), Orders: os, Progress: ps,
		UpstreamsRead: s.listed, ProgressRead: s.progressRead,
	}
	for _, t := range s.tallies {
		v.Tallies = append(v.Tallies, t)
	}
	return v
}
