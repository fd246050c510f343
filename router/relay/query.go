package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/known"
	"tarragonvalve.example/router/place"
	"tarragonvalve.example/router/routes"
)

// accept returns which upstreams the request may use now.
func (t *try) accept(v *known.View) func(u *fleet.Upstream) bool {
	now := time.Now()
	version := t.acceptVersion(v, now)
	return func(u *fleet.Upstream) bool { return t.open(u, now) && version(u) }
}

// acceptVersion returns which upstreams' versions the request may use. If the roll-out
// leaves no upstream, any version may answer.
func (t *try) acceptVersion(v *known.View, now time.Time) func(u *fleet.Upstream) bool {
	if t.version != "" {
		return func(u *fleet.Upstream) bool { return u.Version == t.version }
	}
	r := t.rollout(v)
	accept := func(u *fleet.Upstream) bool { return r.Accepts(u.Version) }
	for _, u := range v.Fleet.Service(t.service) {
		if t.stays(u, now) && accept(u) {
			return accept
		}
	}
	return func(*fleet.Upstream) bool { return true }
}

// rollout returns which side of a roll-out the request belongs to.
func (t *try) rollout(v *known.View) canary.Route {
	o, ok := v.Orders[t.service]
	if !ok {
		return canary.Route{}
	}
	var p *canary.Progress
	if m, ok := v.Progress[t.service]; ok {
		p = &m.Progress
	}
	s := t.Meta.Session
	if s == "" {
		s = string(t.Meta.ID)
	}
	return canary.RouteFor(o, p, t.Watch.Verdict(t.service, o.Revision) != "", xxhash.Sum64String(s))
}

// observe tells the watch how an attempt ended; latency is 0 if it can't be compared.
func (t *try) observe(u *fleet.Upstream, failed bool, latency time.Duration) {
	o := t.Node.View().Orders[t.service]
	t.Watch.Observe(canary.Answer{
		Service: t.service, New: o.To != "" && u.Version == o.To, Failed: failed, Latency: latency,
	}, o.Revision)
}

// engine reports whether the service's upstreams are model servers.
func (t *try) engine() bool {
	return t.Document.Services[t.service].Engine
}

func (t *try) query(v *known.View, model ident.ModelID) place.Query {
	s := t.Document.Services[t.service]
	if model == "" {
		model = t.Meta.Model
	}
	q := place.Query{
		Domain: t.Domain, Accept: t.accept(v), Exclude: t.exclude,
		CopyRate: s.CopyRate, Input: t.Meta.Input, TokenTime: pace(s, model), Engine: s.Engine, PlainWork: plainWork,
		Bytes: len(t.Body) + int(t.Meta.Hint)*bytesPerToken + plainBytes,
	}
	if n := len(t.Meta.Prefix); n > 1 {
		q.PrefixKey = string(model) + "/" + t.Meta.Prefix[n-2].ID
		for _, p := range t.Meta.Prefix[:n-1] {
			q.Cached += p.Tokens
		}
	}
	return q
}

const (
	// plainWork is the usual work, in ms, of a request to an upstream that is no model server.
	plainWork = 50
	// plainBytes is the usual size of the heads and of a short answer.
	plainBytes = 800
	// bytesPerToken is the usual size of a generated token in an event stream.
	bytesPerToken = 10
	// largestPace is the time of a token of a service's dearest model against the
	// reference; the others' times follow their prices.
	largestPace = 3.0
)

// pace estimates the time of a model's token relative to the reference model.
func pace(s routes.Service, m ident.ModelID) float64 {
	top := 0.0
	for _, p := range s.Prices {
		top = max(top, p)
	}
	if top == 0 {
		return 1
	}
	return largestPace * s.Prices[m] / top
}
