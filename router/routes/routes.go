// Package routes holds the configuration in force: which requests go to which
// service, under which limits, and which client account holds a key.
package routes

import (
	"strings"
	"time"

	"tarragonvalve.example/core/ident"
)

// ID is the name of a route.
type ID string

// Kind says what may be repeated of a route's requests.
type Kind int

// Kinds of routes.
const (
	// Once is a request that may run at most once.
	Once Kind = iota
	// Idempotent is a request that may run more than once.
	Idempotent
	// Stream is a request answered by a series of events.
	Stream
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "once"
	}
}

// Weighted is one of the services that share a route's traffic.
type Weighted struct {
	Service ident.ServiceID
	Weight  int
}

// Route is one entry of the routing table.
type Route struct {
	ID     ID
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time until the final answer; 0 means no bound.
	Timeout time.Duration
	// Objective is the time within which an answer, or its first event, is on time.
	Objective time.Duration
	// MaxPause is the longest pause between events that is still on time.
	MaxPause time.Duration
	// Attempts bounds the upstreams that one request may run on.
	Attempts int
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue at another upstream after their last event.
	Resumable bool
	// Models are the models among which the system may choose, the smallest first.
	Models   []ident.ModelID
	Services []Weighted
}

// Repeatable reports whether a request of the route may run again after a run
// whose outcome is unknown.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service is a group of upstreams.
type Service struct {
	ID ident.ServiceID
	// MaxConnections bounds the connections that one upstream accepts from all instances together; 0 means no bound.
	MaxConnections int
	// Engine is true for services of model servers.
	Engine bool
	// Prices are the models' prices for 1,000 generated tokens.
	Prices map[ident.ModelID]float64
	// CopyRate is the number of cached prompt tokens that one upstream copies from
	// another in a ms; 0 if they can't.
	CopyRate float64
}

// Limits bound what a client may send.
type Limits struct {
	Body int64
	Idle time.Duration
}

// Account is a client account with its keys.
type Account struct {
	ID   ident.AccountID
	Keys []string
	// Priority takes precedence over the route's priority; negative means unset.
	Priority int
}

// Document is one accepted configuration. It is immutable after New.
type Document struct {
	Generation ident.Generation
	Routes     []Route
	Services   map[ident.ServiceID]Service
	Limits     Limits
	Accounts   []Account

	byHost map[string][]*Route
	byKey  map[string]*Account
}

// Index prepares the document for look-ups and returns it.
func (d *Document) Index() *Document {
	d.byHost = make(map[string][]*Route)
	for i := range d.Routes {
		r := &d.Routes[i]
		d.byHost[r.Host] = append(d.byHost[r.Host], r)
	}
	d.byKey = make(map[string]*Account)
	for i := range d.Accounts {
		a := &d.Accounts[i]
		for _, k := range a.Keys {
			d.byKey[k] = a
		}
	}
	return d
}

// Match returns the route of the host with the longest prefix of path.
func (d *Document) Match(host, path string) (*Route, bool) {
	var best *Route
	for _, r := range d.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// Keyed reports whether requests of the route need a key.
func (d *Document) Keyed(r *Route) bool {
	return len(d.Accounts) > 0 && !r.Public
}

// Account returns the client account that holds a key.
func (d *Document) Account(key string) (*Account, bool) {
	a, ok := d.byKey[key]
	return a, ok
}

// Service picks the service of a request from the route's weights. Equal seeds
// pick equal services, so that the repeats of one request stay together.
func (r *Route) Service(seed uint64) (ident.ServiceID, bool) {
	total := 0
	for _, w := range r.Services {
		total += max(w.Weight, 0)
	}
	if total == 0 {
		return "", false
	}
	n := int(seed % uint64(total))
	for _, w := range r.Services {
		n -= max(w.Weight, 0)
		if n < 0 {
			return w.Service, true
		}
	}
	return "", false
}
