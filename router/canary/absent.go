package canary

import (
	"sync"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/fleet"
)

// absenceLimit is how long no upstream of a service's old version may be listed until that version
// counts as gone: upstreams that crash are back after some seconds.
const absenceLimit = 10 * time.Second

// Absence describes how long no upstream of a service's old version has been listed.
type Absence struct {
	Duration time.Duration
	// Seen is true if this instance saw such an upstream before.
	Seen bool
}

// MayReplace reports whether the new version may get the requests that a roll-out assigns to the old
// one while no upstream of the old version is left. clock is the current time of the store's clock.
// Within the time of the order the new version is not proven, so that the requests wait for the old
// upstreams, unless this instance has never seen one.
func (a Absence) MayReplace(o Order, p *Progress, clock time.Duration) bool {
	if a.Duration < absenceLimit {
		return false
	}
	over := p != nil && p.Order == o.Revision && clock-p.StartedAt >= o.MaxDuration
	return over || !a.Seen || a.Duration >= o.MaxDuration
}

// Presence tracks whether services with an order have upstreams of their old version. It is safe for
// concurrent use.
type Presence struct {
	mu       sync.Mutex
	services map[ident.ServiceID]*presence
}

// presence is what is known of one service's old version.
type presence struct {
	to fleet.Version
	// absentSince is when the list first had no upstream of it; zero while it has one.
	absentSince time.Time
	seen        bool
}

// NewPresence returns a Presence without observations.
func NewPresence() *Presence {
	return &Presence{services: map[ident.ServiceID]*presence{}}
}

// Update takes the orders and the list of upstreams in force.
func (p *Presence) Update(orders map[ident.ServiceID]Order, l *fleet.List, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s, o := range orders {
		x := p.services[s]
		if x == nil || x.to != o.To {
			x = &presence{to: o.To}
			p.services[s] = x
		}
		x.update(l.Service(s), now)
	}
	for s := range p.services {
		if _, ok := orders[s]; !ok {
			delete(p.services, s)
		}
	}
}

// update takes the upstreams of the service.
func (x *presence) update(us []*fleet.Upstream, now time.Time) {
	for _, u := range us {
		if u.Version != x.to && !u.Draining {
			x.seen, x.absentSince = true, time.Time{}
			return
		}
	}
	if x.absentSince.IsZero() {
		x.absentSince = now
	}
}

// OldAbsence returns the absence of the old version, as seen from an order. It is 0 until Update has
// seen the order.
func (p *Presence) OldAbsence(o Order, now time.Time) Absence {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.services[o.Service]
	switch {
	case x == nil || x.to != o.To:
		return Absence{}
	case x.absentSince.IsZero():
		return Absence{Seen: true}
	default:
		return Absence{Duration: now.Sub(x.absentSince), Seen: x.seen}
	}
}
