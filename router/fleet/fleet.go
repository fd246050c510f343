// Package fleet holds the list of registered upstreams.
package fleet

import (
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
)

// Version is the software version of an upstream.
type Version string

// Upstream is one registered upstream. It must not be modified.
type Upstream struct {
	ID      ident.UpstreamID
	Service ident.ServiceID
	// Address is IP:PORT; it may have belonged to an upstream that has ended.
	Address string
	// Domain is the failure domain of the upstream.
	Domain  ident.DomainID
	Version Version
	// Slots is the number of requests that the upstream can run at a time.
	Slots int
	// Draining upstreams finish their requests and accept no new ones.
	Draining bool
	// StartedMs is the start time in Unix milliseconds, or 0 if it is unknown. Another value
	// under the same id is a new incarnation.
	StartedMs int64
	// ColdUntil is the time until which the upstream tolerates only ColdRate; zero if it isn't cold.
	ColdUntil time.Time
	// ColdRate is the rate of requests from all instances together that the upstream tolerates while it is
	// cold; 0 means no limit.
	ColdRate call.Rate
}

// Cold reports whether the upstream limits its requests at now because it is cold.
func (u *Upstream) Cold(now time.Time) bool {
	return u.ColdRate > 0 && now.Before(u.ColdUntil)
}

// Incarnation identifies one start of an upstream, which may restart under the same id.
type Incarnation struct {
	ID        ident.UpstreamID
	StartedMs int64
}

// Incarnation returns the id and start time of the upstream.
func (u *Upstream) Incarnation() Incarnation {
	return Incarnation{ID: u.ID, StartedMs: u.StartedMs}
}

// List holds upstreams by id and by service. It is immutable.
type List struct {
	byID      map[ident.UpstreamID]*Upstream
	byService map[ident.ServiceID][]*Upstream
}

// New returns a list of the upstreams us. It keeps the map, which must not be modified.
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
