// Package routes holds the configuration: the routing table, the services and their limits,
// and the client accounts with their keys.
package routes

import (
	"strings"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
)

// ID is the name of a route.
type ID string

// Kind is the kind of a route's requests. It decides whether they may be retried.
type Kind int

// Kinds of routes.
const (
	// NonIdempotent requests may run at most once. It is the zero value, the safe choice.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a stream of events.
	Stream
)

// String returns the kind's name in logs and metrics.
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

// WeightedService is one of the services that share a route's traffic.
type WeightedService struct {
	Service ident.ServiceID
	// Weight is relative to the sum of the route's weights; 0 or less gets no traffic.
	Weight int
}

// Route is one entry of the routing table.
type Route struct {
	ID ID
	// Host is the Host header of the route's requests.
	Host string
	// Prefix is the beginning of their path.
	Prefix string
	Kind   Kind
	// Timeout bounds the time until the end of the response; 0 means no limit.
	Timeout time.Duration
	// Objective is the target latency of a response, or of a stream's first event.
	Objective time.Duration
	// MaxPause is the target for the longest pause between events.
	MaxPause time.Duration
	// Attempts bounds how often upstreams may run one request.
	Attempts int
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue at another upstream after their last event.
	Resumable bool
	// Models are the models among which the router may choose, the smallest first.
	Models   []ident.ModelID
	Services []WeightedService
}

// Retryable reports whether a request of the route may run again after a run
// whose outcome is unknown.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service is a group of upstreams.
type Service struct {
	ID ident.ServiceID
	// MaxConnections bounds the connections that one upstream accepts from all instances
	// together; 0 means no limit.
	MaxConnections int
	// Engine is true if the upstreams are model engines, false for plain services.
	Engine bool
	// Prices are the models' prices for 1,000 generated tokens.
	Prices map[ident.ModelID]float64
	// CopyRate is the number of cached prompt tokens per ms that one upstream can copy from
	// another; 0 if they can't copy.
	CopyRate float64
	// ColdRate is the rate of requests from all instances together that a cold upstream tolerates; 0 means
	// no limit.
	ColdRate call.Rate
}

// Limits bound what a client may send and how long its connection may be idle.
type Limits struct {
	// MaxBody is the largest length of a request body in bytes; 0 means unset.
	MaxBody int64
	// MaxHeader is the largest length of a request's headers in bytes, HeaderTimeout the time from their first byte in
	// which they must arrive; 0 means unset.
	MaxHeader     int64
	HeaderTimeout time.Duration
	// IdleTimeout is the idle timeout of a connection; 0 means unset.
	IdleTimeout time.Duration
}

// Account is a client account with its API keys.
type Account struct {
	ID   ident.AccountID
	Keys []string
	// Priority overrides the route's priority; negative means unset.
	Priority int
}

// Document is one generation of the configuration. It must not be modified after Index.
type Document struct {
	Generation ident.Generation
	Routes     []Route
	Services   map[ident.ServiceID]Service
	Limits     Limits
	Accounts   []Account
	// Open is true if the configuration has no list of client accounts, so that no route needs a key.
	// A list without accounts is one: no key is accepted then.
	Open bool

	byHost map[string][]*Route
	byKey  map[string]*Account
	pauses map[ident.ServiceID]time.Duration
}

// Index builds the indexes that Match and Account use, and returns the document.
func (d *Document) Index() *Document {
	d.byHost = make(map[string][]*Route)
	d.pauses = make(map[ident.ServiceID]time.Duration)
	for i := range d.Routes {
		r := &d.Routes[i]
		d.byHost[r.Host] = append(d.byHost[r.Host], r)
		for _, w := range r.Services {
			if p := d.pauses[w.Service]; r.MaxPause > 0 && (p == 0 || r.MaxPause < p) {
				d.pauses[w.Service] = r.MaxPause
			}
		}
	}
	d.byKey = make(map[string]*Account)
	for i := range d.Accounts {
		a := &d.Accounts[i]
		for _, k := range a.Keys {
			// A request without a key has the empty one.
			if k != "" {
				d.byKey[k] = a
			}
		}
	}
	return d
}

// StreamPause returns the longest pause between events that all routes to a service bear, or 0 if none states it.
func (d *Document) StreamPause(s ident.ServiceID) time.Duration { return d.pauses[s] }

// Match returns the route of the host whose prefix is the longest one that path begins with.
func (d *Document) Match(host, path string) (*Route, bool) {
	var best *Route
	for _, r := range d.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// RequiresKey reports whether requests of the route need a key: neither the route is public nor the
// configuration open.
func (d *Document) RequiresKey(r *Route) bool {
	return !d.Open && !r.Public
}

// Account returns the client account that holds a key.
func (d *Document) Account(key string) (*Account, bool) {
	a, ok := d.byKey[key]
	return a, ok
}

// PickService picks one of the route's services by their weights. Equal seeds give the same
// service, so that all attempts of one request go to it. It returns false if no service
// has a positive weight.
func (r *Route) PickService(seed uint64) (ident.ServiceID, bool) {
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
