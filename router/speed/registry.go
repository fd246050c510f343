package speed

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/fleet"
)

const (
	// staleAfter is the time without an observation after which an upstream counts as not observed. It is below
	// evidenceTime, in which it returns to what is usual for its service.
	staleAfter = 6 * time.Second
	// unevenTTL is how long a service counts as uneven after an upstream stated a pace.
	unevenTTL = time.Minute
)

// Registry holds what is known of the upstreams of all services. It is safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	services map[ident.ServiceID]*service
	// serviceOf is the service of each listed upstream.
	serviceOf map[ident.UpstreamID]ident.ServiceID
	count     int // number of upstreams in all services
	// origin and sequence identify the next summary of this instance.
	origin, sequence uint64
	// instances is the number of those that exchange summaries, drainable how many may be drained beside others, as of
	// drainedAt.
	instances int
	drainable float64
	drainedAt int64
	seen      seenSet
	stats     Stats
}

// Stats counts what a registry has taken.
type Stats struct {
	// Observations were counted, Skipped could not be: queued behind too much, or without a reported load.
	Observations, Skipped uint64
	// Merged is the number of summaries of other instances that were added.
	Merged uint64
	// Upstreams is the number of upstreams of which anything is known, Stale of how many of them nothing was observed for
	// staleAfter, and Slow how many take at least 1.25 times as long as the median of their service.
	Upstreams, Stale, Slow int
}

// slowFactor is the factor from which an upstream counts as slow in Stats.
const slowFactor = 1.25

// NewRegistry returns a registry without observations.
func NewRegistry() *Registry {
	return &Registry{services: map[ident.ServiceID]*service{}, serviceOf: map[ident.UpstreamID]ident.ServiceID{}, origin: rand.Uint64(), seen: seenSet{}}
}

// Prompt records the first event of a response.
func (r *Registry) Prompt(t Target, o PromptObservation, now time.Time) {
	r.observe(&t, func(s *service, room bool) bool { return s.observePrompt(&t, &o, now.UnixNano(), room) })
}

// Step records an event of a stream.
func (r *Registry) Step(t Target, o StepObservation, now time.Time) {
	r.observe(&t, func(s *service, room bool) bool { return s.observeStep(&t, &o, now.UnixNano(), room) })
}

// observe records an observation of a target by f, which gets whether there is room for another upstream and reports whether
// the observation counts.
func (r *Registry) observe(t *Target, f func(s *service, room bool) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(t.Service)
	if s == nil {
		r.stats.Skipped++
		return
	}
	n := len(s.upstreams)
	if f(s, r.count < MaxUpstreams) {
		r.stats.Observations++
	} else {
		r.stats.Skipped++
	}
	r.count += len(s.upstreams) - n
}

// Reported records the load that an upstream reported at a time. Upstreams that are not listed are ignored.
func (r *Registry) Reported(id ident.UpstreamID, l call.Load, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u := r.upstream(id); u != nil {
		if l.Pace > 0 {
			r.services[r.serviceOf[id]].pacedAt = at
		}
		u.report(l, at.UnixNano())
	}
}

// Uneven reports whether upstreams of a service have lately stated a pace: they share their machines with others, so that
// their speed differs and varies.
func (r *Registry) Uneven(id ident.ServiceID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[id]
	return s != nil && !s.pacedAt.IsZero() && now.Sub(s.pacedAt) <= unevenTTL
}

// Estimate returns what is expected of a target.
func (r *Registry) Estimate(t Target, now time.Time) Estimate {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(t.Service)
	if s == nil {
		s = newService()
	}
	return s.estimate(&t, now.UnixNano())
}

// stale reports whether nothing was observed of the upstream for staleAfter.
func (u *upstream) stale(now int64) bool {
	return now-u.observedAt >= int64(staleAfter)
}

// UpdateUpstreams takes the list of upstreams and drops what is known of others. Listed ones without observations are kept, so
// that Stats counts them.
func (r *Registry) UpdateUpstreams(l *fleet.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := l.All()
	clear(r.serviceOf)
	for id, s := range r.services {
		for u := range s.upstreams {
			if x := listed[u]; x == nil || x.Service != id {
				delete(s.upstreams, u)
				r.count--
			}
		}
		if len(s.upstreams) == 0 {
			delete(r.services, id)
		}
	}
	for id, x := range listed {
		s := r.service(x.Service)
		if s == nil {
			continue
		}
		u := s.upstreams[id]
		if u == nil {
			if r.count >= MaxUpstreams {
				continue
			}
			u = &upstream{}
			s.upstreams[id] = u
			r.count++
		}
		if x.Slots > 0 {
			u.slots = min(x.Slots, maxSlots)
		}
		r.serviceOf[id] = x.Service
	}
}

// Stats returns the counts.
func (r *Registry) Stats(now time.Time) Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.stats
	x.Upstreams = r.count
	for _, s := range r.services {
		s.refresh(now.UnixNano())
		for _, u := range s.upstreams {
			// The speed of plain services isn't observed; they have no models.
			if len(s.models) > 0 && u.stale(now.UnixNano()) {
				x.Stale++
			}
			if u.factor >= math.Log(slowFactor) {
				x.Slow++
			}
		}
	}
	return x
}

// service returns the state of a service; nil if there are too many.
func (r *Registry) service(id ident.ServiceID) *service {
	s := r.services[id]
	if s == nil && len(r.services) < maxServices {
		s = newService()
		r.services[id] = s
	}
	return s
}

// upstream returns the state of a listed or observed upstream, or nil.
func (r *Registry) upstream(id ident.UpstreamID) *upstream {
	if s := r.services[r.serviceOf[id]]; s != nil {
		return s.upstreams[id]
	}
	return nil
}
