// Package fleet holds the upstreams that registered themselves.
package fleet

import (
	"tarragonvalve.example/core/ident"
)

// Version is the software version of an upstream.
type Version string

// Upstream is one registered server. It is immutable.
type Upstream struct {
	ID      ident.UpstreamID
	Service ident.ServiceID
	// Address is IP:PORT; it may have belonged to an upstream that has ended.
	Address string
	Domain  ident.DomainID
	Version Version
	Slots   int
	// Draining upstreams finish what they have and take nothing new.
	Draining bool
	// StartedMs is the Unix millisecond of the start; another value under the same id is a new incarnation.
	StartedMs int64
}

// Incarnation is one start of an upstream.
type Incarnation struct {
	ID        ident.UpstreamID
	StartedMs int64
}

// Incarnation returns which start of the upstream this is.
func (u *Upstream) Incarnation() Incarnation {
	return Incarnation{ID: u.ID, StartedMs: u.StartedMs}
}

// List holds upstreams by service. It is immutable after New.
type List struct {
	byID      map[ident.UpstreamID]*Upstream
	byService map[ident.ServiceID][]*Upstream
}

// New indexes upstreams.
func New(us map[ident.UpstreamID]*Upstream) *List {
	l := &List{byID: us, byService: map[ident.ServiceID][]*Upstream{}}
	for _, u := range us {
		l.byService[u.Service] = append(l.byService[u.Service], u)
	}
	return l
}

// Service returns the upstreams of a service in no particular order; don't modify it.
func (l *List) Service(s ident.ServiceID) []*Upstream {
	return l.byService[s]
}

// All returns the upstreams by id; don't modify it.
func (l *List) All() map[ident.UpstreamID]*Upstream {
	return l.byID
}
