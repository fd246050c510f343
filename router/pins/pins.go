// Package pins keeps sessions that began before a roll-out with the old version until all requests
// move. The requests of a session come through several routers, which tell each other of such
// sessions.
package pins

import (
	"maps"
	"sync"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/mirror"
)

const (
	// sessionTTL is how long after its last request a session is taken to go on: longer than the
	// time after which the users take it to have ended, 5 to 6.5 s.
	sessionTTL = 8 * time.Second
	// spreadTime is how long after a canary's start no session moves to it, so that routers have
	// told each other of the sessions before. It is at most spreadPart of the roll-out's time.
	spreadTime = 1500 * time.Millisecond
	spreadPart = 0.1
	// forwardTTL is how long a session is passed on to other routers.
	forwardTTL = 5 * time.Second
	// maxSessions bounds the sessions of each kind that are remembered; beyond it, further ones
	// are not.
	maxSessions = 16384
	// maxForwarded bounds the sessions in one message.
	maxForwarded = 512
)

// Session is the hash of a session's name.
type Session uint64

// rollout identifies a roll-out.
type rollout struct {
	service ident.ServiceID
	order   uint64
}

// sessionKey identifies a session at a service.
type sessionKey struct {
	service ident.ServiceID
	session Session
}

// pinnedSet holds the sessions that stay with the old version of one roll-out.
type pinnedSet struct {
	// startedAt is when this router first saw the canary, spread how long no session moves to it.
	startedAt time.Time
	spread    time.Duration
	// sessions holds when each became known.
	sessions map[Session]time.Time
}

// served is how a session was served last.
type served struct {
	version fleet.Version
	at      time.Time
}

// Registry holds the sessions that were served lately and those pinned to the old version. It is safe
// for concurrent use.
type Registry struct {
	mu sync.Mutex
	// seen holds how sessions were served last.
	seen   map[sessionKey]served
	pinned map[rollout]*pinnedSet
}

// New returns a registry without sessions.
func New() *Registry {
	return &Registry{seen: map[sessionKey]served{}, pinned: map[rollout]*pinnedSet{}}
}

// Served records that a version serves a session.
func (r *Registry) Served(s ident.ServiceID, x Session, v fleet.Version, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := sessionKey{service: s, session: x}
	if _, ok := r.seen[k]; ok || len(r.seen) < maxSessions {
		r.seen[k] = served{version: v, at: now}
	}
}

// Keeps reports whether a session that the canary's share covers stays with the old version.
func (r *Registry) Keeps(s ident.ServiceID, order uint64, x Session, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pinned[rollout{service: s, order: order}]
	if p == nil {
		// This router has not examined the roll-out yet.
		return true
	}
	if now.Sub(p.startedAt) < p.spread {
		p.add(x, now)
	}
	_, ok := p.sessions[x]
	return ok
}

// add pins a session.
func (p *pinnedSet) add(x Session, now time.Time) {
	if _, ok := p.sessions[x]; !ok && len(p.sessions) < maxSessions {
		p.sessions[x] = now
	}
}

// Update pins the sessions of roll-outs whose canary has started since the last call, drops those of
// other roll-outs, and forgets sessions that have ended.
func (r *Registry) Update(v *mirror.View, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.seen, func(_ sessionKey, x served) bool { return now.Sub(x.at) > sessionTTL })
	current := map[rollout]bool{}
	for s, o := range v.Orders {
		m, ok := v.Progress[s]
		if !ok || m.Progress.Order != o.Revision || m.Progress.Phase != canary.PhaseCanary {
			continue
		}
		k := rollout{service: s, order: o.Origin}
		current[k] = true
		r.start(k, o, m.Progress.Share, now)
	}
	maps.DeleteFunc(r.pinned, func(k rollout, p *pinnedSet) bool {
		// Other routers may see a canary's start first.
		return !current[k] && (!p.startedAt.IsZero() || p.expired(now))
	})
}

// start pins the sessions that the old version served lately and that the canary's share covers. The
// caller holds the lock.
func (r *Registry) start(k rollout, o canary.Order, share ident.Share, now time.Time) {
	p := r.set(k)
	if !p.startedAt.IsZero() {
		return
	}
	p.startedAt = now
	p.spread = min(spreadTime, time.Duration(spreadPart*float64(o.MaxDuration)))
	for x, l := range r.seen {
		if x.service == k.service && l.version != o.To && canary.Covers(share, uint64(x.session)) {
			p.add(x.session, now)
		}
	}
}

// set returns the sessions of a roll-out. The caller holds the lock.
func (r *Registry) set(k rollout) *pinnedSet {
	p := r.pinned[k]
	if p == nil {
		p = &pinnedSet{sessions: map[Session]time.Time{}}
		r.pinned[k] = p
	}
	return p
}

// expired reports whether all sessions became known more than sessionTTL ago.
func (p *pinnedSet) expired(now time.Time) bool {
	for _, at := range p.sessions {
		if now.Sub(at) <= sessionTTL {
			return false
		}
	}
	return true
}

// Pinned lists sessions that stay with the old version of a roll-out.
type Pinned struct {
	Service  ident.ServiceID
	Order    uint64
	Sessions []Session
}

// Report returns the sessions that became known lately, at most maxForwarded, for other routers.
func (r *Registry) Report(now time.Time) []Pinned {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Pinned
	n := 0
	for k, p := range r.pinned {
		x := Pinned{Service: k.service, Order: k.order}
		for s, at := range p.sessions {
			if now.Sub(at) <= forwardTTL && n < maxForwarded {
				x.Sessions = append(x.Sessions, s)
				n++
			}
		}
		if len(x.Sessions) > 0 {
			out = append(out, x)
		}
	}
	return out
}

// Merge takes over the sessions that another router reported.
func (r *Registry) Merge(ps []Pinned, now time.Time) {
	if len(ps) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range ps {
		p := r.set(rollout{service: x.Service, order: x.Order})
		for _, s := range x.Sessions {
			p.add(s, now)
		}
	}
}
