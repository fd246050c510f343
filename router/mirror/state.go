// Package mirror keeps this instance's copy of the platform's store up to date: the
// configuration, the upstreams and the roll-outs, and how old the copy may be. It reads
// from the store or from peers that do.
package mirror

import (
	"maps"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/routes"
)

// outageGrace is how long upstreams that vanish right after an outage of the store are
// kept: their entries may have expired during the outage and return within about two
// seconds (see the users' letter).
const outageGrace = 2200 * time.Millisecond

const (
	// endedTTL is how long an upstream that ended is remembered, so that a store that comes back from
	// a copy doesn't bring it back. Copies are some seconds old.
	endedTTL = 5 * time.Minute
	// maxEnded bounds the ended upstreams that are remembered; beyond it, further ones are not.
	maxEnded = 4096
	// doubtTime is how long the content of a copy that contradicts newer knowledge must stay in the
	// store until it counts: the operator and the upstreams write again what the copy lacks, and the
	// entries of upstreams that ended expire after three heartbeat intervals of 1.2 s.
	doubtTime = 5 * time.Second
)

// View is an immutable snapshot of the store's content.
type View struct {
	// Document is nil until the configuration was read.
	Document *routes.Document
	// ordersAsOf is the local time as of which Document and Orders are current, so that nobody takes
	// the age of one configuration for that of another; it is valid if ordersRead is true.
	ordersAsOf time.Duration
	ordersRead bool
	Fleet      *fleet.List
	Orders     map[ident.ServiceID]canary.Order
	Progress   map[ident.ServiceID]ProgressChanged
	Tallies    []canary.Tally
	// Evacuated are the evacuated failure domains in the order of their names. The upstreams there are
	// listed as draining.
	Evacuated []ident.DomainID
	// Trials are the trials of quarantines.
	Trials TrialsChanged
	// ProgressRead is true once the progress of roll-outs was read.
	ProgressRead bool
	// UpstreamsRead is true once the upstreams were read.
	UpstreamsRead bool
	// Complete is true once enough was read to serve requests: the configuration and the upstreams, and if
	// there were roll-outs then, their progress, without which nothing says which version may serve.
	Complete bool
}

// ConfigAge returns the largest possible age of the view's configuration at a local time. The second
// result is false until the configuration was read.
func (v *View) ConfigAge(now time.Duration) (time.Duration, bool) {
	return now - v.ordersAsOf, v.ordersRead
}

// tallyKey identifies a tally: each instance has one for each service.
type tallyKey struct {
	service  ident.ServiceID
	instance string
}

// storeState is the content of the store as read so far. It is owned by the goroutine of
// processUpdates.
type storeState struct {
	document  *routes.Document
	upstreams map[ident.UpstreamID]*fleet.Upstream
	// missing holds the upstreams that vanished after an outage and the time when they
	// are dropped.
	missing       map[ident.UpstreamID]time.Duration
	orders        map[ident.ServiceID]canary.Order
	progress      map[ident.ServiceID]ProgressChanged
	tallies       map[tallyKey]canary.Tally
	trials        TrialsChanged
	upstreamsRead bool
	// progressRead is true once the progress of roll-outs was read.
	progressRead bool
	// complete is as in View.
	complete bool
	// ended holds the upstreams that ended and when.
	ended map[fleet.Incarnation]time.Duration
	// doubted holds content of a copy that contradicts newer knowledge, by what it is about.
	doubted map[doubtKey]doubt
	// former holds the revisions that the order of a service had before restores.
	former map[ident.ServiceID][]uint64
	evacuations
	// graceEnd is the time until which vanished upstreams are kept after an outage.
	graceEnd time.Duration
	// ordersAsOf is the local time as of which the configuration and the orders are current; it is
	// valid if ordersRead is true.
	ordersAsOf time.Duration
	ordersRead bool
}

func newStoreState() *storeState {
	return &storeState{
		upstreams: map[ident.UpstreamID]*fleet.Upstream{},
		missing:   map[ident.UpstreamID]time.Duration{},
		orders:    map[ident.ServiceID]canary.Order{},
		progress:  map[ident.ServiceID]ProgressChanged{},
		tallies:   map[tallyKey]canary.Tally{},
		ended:     map[fleet.Incarnation]time.Duration{},
		doubted:   map[doubtKey]doubt{},
		former:    map[ident.ServiceID][]uint64{},

		evacuations: newEvacuations(),
	}
}

// renewOrders records as of when the orders are current if an update holds them. It reports whether that
// has changed.
func (s *storeState) renewOrders(u update) bool {
	if u.topic != TopicOrders || (s.ordersRead && u.asOf <= s.ordersAsOf) {
		return false
	}
	s.ordersAsOf, s.ordersRead = u.asOf, true
	return true
}

// outageEnded records the first response of the store after an outage.
func (s *storeState) outageEnded(now time.Duration) {
	s.graceEnd = now + outageGrace
}

// apply applies a change and reports whether the view changed.
func (s *storeState) apply(c Change, now time.Duration) bool {
	switch c := c.(type) {
	case DocumentChanged:
		if s.document != nil && c.Document.Generation <= s.document.Generation {
			return false
		}
		s.document = c.Document
	case RolloutOrdered:
		return s.applyOrder(c.Order)
	case ProgressChanged:
		return s.applyProgress(c)
	case TallyChanged:
		s.tallies[tallyKey{c.Tally.Service, c.Tally.Instance}] = c.Tally
	case TrialsChanged:
		if c.Revision <= s.trials.Revision {
			return false
		}
		c.Trials = c.Trials.Merge(s.trials.Trials)
		s.trials = c
	case UpstreamChanged:
		delete(s.doubted, doubtKey{upstream: c.Upstream.ID})
		delete(s.ended, c.Upstream.Incarnation())
		s.upstreams[c.Upstream.ID] = c.Upstream
		delete(s.missing, c.Upstream.ID)
	case UpstreamRemoved:
		return s.removeUpstream(c.ID, now)
	case EvacuationStarted:
		return s.startEvacuation(c)
	case EvacuationEnded:
		return s.endEvacuation(c.Domain, now)
	case InvalidRecord:
		return false
	}
	return true
}

// removeUpstream removes an upstream, at the end of the grace time if there was an outage
// and it isn't draining. It reports whether the view changed.
func (s *storeState) removeUpstream(id ident.UpstreamID, now time.Duration) bool {
	delete(s.doubted, doubtKey{upstream: id})
	u := s.upstreams[id]
	if u == nil {
		return false
	}
	if now < s.graceEnd && !u.Draining {
		if _, ok := s.missing[id]; !ok {
			s.missing[id] = s.graceEnd
		}
		return false
	}
	s.drop(u, now)
	return true
}

// drop removes an upstream and remembers that it ended.
func (s *storeState) drop(u *fleet.Upstream, now time.Duration) {
	delete(s.upstreams, u.ID)
	delete(s.missing, u.ID)
	if len(s.ended) < maxEnded {
		s.ended[u.Incarnation()] = now
	}
}

// reset removes the upstreams that are missing in a snapshot. It reports whether the view
// changed.
func (s *storeState) reset(cs []Change, now time.Duration) bool {
	kept := make(map[ident.UpstreamID]bool, len(cs))
	for _, c := range cs {
		if u, ok := c.(UpstreamChanged); ok {
			kept[u.Upstream.ID] = true
		}
	}
	changed := !s.upstreamsRead
	s.upstreamsRead = true
	for id := range s.upstreams {
		if !kept[id] && s.removeUpstream(id, now) {
			changed = true
		}
	}
	return changed
}

// expire drops missing upstreams whose grace time is over, and applies what was in doubt for long
// enough. It reports whether the view changed.
func (s *storeState) expire(now time.Duration) bool {
	changed := false
	for id, t := range s.missing {
		if now >= t {
			s.drop(s.upstreams[id], now)
			changed = true
		}
	}
	maps.DeleteFunc(s.ended, func(_ fleet.Incarnation, at time.Duration) bool { return now-at > endedTTL })
	changed = s.expireEvacuations(now) || changed
	return s.applyDoubted(now) || changed
}

// view returns a copy of the state.
func (s *storeState) view() *View {
	us := make(map[ident.UpstreamID]*fleet.Upstream, len(s.upstreams))
	for id, u := range s.upstreams {
		us[id] = s.listed(u)
	}
	os := make(map[ident.ServiceID]canary.Order, len(s.orders))
	for id, o := range s.orders {
		os[id] = o
	}
	ps := make(map[ident.ServiceID]ProgressChanged, len(s.progress))
	for id, p := range s.progress {
		ps[id] = p
	}
	s.complete = s.complete || (s.document != nil && s.upstreamsRead && (s.progressRead || len(s.orders) == 0))
	v := &View{
		Complete: s.complete, Document: s.document, ordersAsOf: s.ordersAsOf, ordersRead: s.ordersRead, Fleet: fleet.New(us), Orders: os, Progress: ps,
		Trials: s.trials, Evacuated: s.evacuatedDomains(), UpstreamsRead: s.upstreamsRead, ProgressRead: s.progressRead,
	}
	for _, t := range s.tallies {
		v.Tallies = append(v.Tallies, t)
	}
	return v
}
