package relay

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/mirror"
	"tarragonvalve.example/router/pins"
	"tarragonvalve.example/router/place"
	"tarragonvalve.example/router/routes"
)

// upstreamFilter returns a filter for the upstreams that the request may be sent to now, by
// their announcements and by their version.
func (t *request) upstreamFilter(v *mirror.View) func(u *fleet.Upstream) bool {
	now := time.Now()
	version := t.versionFilter(v, now)
	return func(u *fleet.Upstream) bool { return t.accepting(u, now) && version(u) }
}

// versionFilter returns a filter for the upstreams whose version may serve the request. A
// stream that has begun stays with its version. If no remaining upstream has the version that the
// roll-out assigns, the old one may replace the new one at once, and the new one the old one once
// that counts as gone. A request without a session, which no other request expects at the new
// version, doesn't wait for it while its upstreams accept none.
func (t *request) versionFilter(v *mirror.View, now time.Time) func(u *fleet.Upstream) bool {
	if t.streamVersion != "" {
		t.assignment = assignedBegun
		return func(u *fleet.Upstream) bool { return u.Version == t.streamVersion }
	}
	r := t.rolloutRoute(v)
	t.assignment = assignmentOf(r)
	accept := func(u *fleet.Upstream) bool { return r.Accepts(u.Version) }
	for _, u := range v.Fleet.Service(t.service) {
		if accept(u) && t.remains(u, now) && (t.Meta.Session != "" || !r.Replaceable || t.accepting(u, now)) {
			return accept
		}
	}
	if !r.New && !t.mayReplaceOld(v, now) {
		return accept
	}
	t.assignment = assignedNoneLeft
	return func(*fleet.Upstream) bool { return true }
}

// mayReplaceOld reports whether the version that is being rolled out may get requests of the old one,
// which has no upstream left.
func (t *request) mayReplaceOld(v *mirror.View, now time.Time) bool {
	o, ok := v.Orders[t.service]
	if !ok {
		return true
	}
	c, ok := t.Syncer.StoreClock()
	if !ok {
		return false
	}
	return t.Presence.OldAbsence(o, now).MayReplace(o, t.progress(v), c)
}

// progress returns the progress of the service's roll-out, or nil.
func (t *request) progress(v *mirror.View) *canary.Progress {
	if m, ok := v.Progress[t.service]; ok {
		return &m.Progress
	}
	return nil
}

// assignment is why an attempt may use the versions that it may use, for the log.
type assignment string

const (
	// assignedAny means that there is no roll-out, or that a session may stay where it is.
	assignedAny assignment = "any"
	assignedOld assignment = "old"
	assignedNew assignment = "new"
	// assignedBegun means that a stream continues with the version that began it.
	assignedBegun assignment = "begun"
	// assignedNoneLeft means that no upstream of the assigned version is left.
	assignedNoneLeft assignment = "none-left"
)

// assignmentOf returns the assignment of a route.
func assignmentOf(r canary.Route) assignment {
	switch {
	case r.To == "":
		return assignedAny
	case r.New:
		return assignedNew
	default:
		return assignedOld
	}
}

// rolloutRoute returns which version a roll-out of the service assigns to the request. All
// requests of a session get the same one; a request without a session goes by its id.
func (t *request) rolloutRoute(v *mirror.View) canary.Route {
	o, ok := v.Orders[t.service]
	if !ok {
		return canary.Route{}
	}
	p := t.progress(v)
	s := t.Meta.Session
	if s == "" {
		s = string(t.Meta.ID)
	}
	r := canary.RouteFor(o, p, t.Canary.Verdict(t.service, o.Origin) != "", xxhash.Sum64String(s))
	if r.New && p.Phase == canary.PhaseCanary && t.Meta.Session != "" && t.Pins.Keeps(t.service, o.Origin, t.session(), time.Now()) {
		return canary.Route{To: o.To}
	}
	return r
}

// session returns the hash of the request's session. RouteFor goes by the same one.
func (t *request) session() pins.Session {
	return pins.Session(xxhash.Sum64String(t.Meta.Session))
}

// reportResult reports the result of an attempt to the canary analysis.
func (t *request) reportResult(u *fleet.Upstream, failed bool) {
	o := t.Syncer.View().Orders[t.service]
	t.Canary.Observe(canary.Response{Service: t.service, New: isNew(o, u), Failed: failed}, o.Origin)
}

// reportTiming reports the time since t, a time of the attempt's response, as a multiple of unit to the canary analysis.
func (o *attempt) reportTiming(m canary.Measure, t time.Time, unit time.Duration) {
	x := o.Syncer.View().Orders[o.service]
	o.Canary.ObserveTiming(canary.Timing{
		Service: o.service, New: isNew(x, o.upstream), Measure: m,
		Value: o.takenSince(t).Seconds() / unit.Seconds(), Noticed: time.Since(t).Seconds() / unit.Seconds(),
	}, x.Origin)
}

// reportFirstResponse reports the time until the attempt's response started.
func (o *attempt) reportFirstResponse() {
	o.reportTiming(canary.FirstResponse, o.began, max(o.nominal, time.Millisecond))
}

// takenSince returns the time since t, less what the lateness of this process may have added to it.
func (o *attempt) takenSince(t time.Time) time.Duration {
	return max(time.Since(t)-o.Lateness(), 0)
}

// isNew reports whether u has the version that an order rolls out.
func isNew(o canary.Order, u *fleet.Upstream) bool {
	return o.To != "" && u.Version == o.To
}

// isEngine reports whether the service's upstreams are model engines.
func (t *request) isEngine() bool {
	return t.Document.Services[t.service].Engine
}

// candidates returns the service's upstreams without those in evacuated failure domains, from which nothing
// is copied either.
func (t *request) candidates(v *mirror.View) []*fleet.Upstream {
	us := v.Fleet.Service(t.service)
	if len(v.Evacuated) == 0 {
		return us
	}
	out := make([]*fleet.Upstream, 0, len(us))
	for _, u := range us {
		if !slices.Contains(v.Evacuated, u.Domain) {
			out = append(out, u)
		}
	}
	return out
}

// query describes the request to the placement. An empty model stands for the one that the
// client named. The prompt's last part belongs to the request or its session alone, so
// only the parts before it count as shared.
func (t *request) query(v *mirror.View, model ident.ModelID) place.Query {
	s := t.Document.Services[t.service]
	if model == "" {
		model = t.Meta.Model
	}
	q := place.Query{
		Domain: t.Domain, Accept: t.upstreamFilter(v), Exclude: t.excluded,
		CopyRate: s.CopyRate, Input: t.Meta.Input, TokenTime: tokenTime(s, model), Engine: s.Engine, PlainWork: plainWorkMs,
		Bytes: len(t.Body) + int(t.Meta.OutputHint)*bytesPerToken + plainBytes,
	}
	if s.Engine {
		t.setSpeeds(&q, model)
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
	// plainWorkMs is the typical processing time, in ms, of a request to a plain service.
	plainWorkMs = 50
	// plainBytes is the typical size, in bytes, of the headers of a request and its response
	// together with a short response body.
	plainBytes = 800
	// bytesPerToken is the typical size, in bytes, of a generated token in an event stream.
	bytesPerToken = 10
	// maxTokenTime is the time per token of a service's most expensive model relative to the
	// reference model; the other models' times are proportional to their prices.
	maxTokenTime = 3.0
)

// tokenTime estimates a model's time per token relative to the reference model from its
// price. It returns 1 if the service has no prices.
func tokenTime(s routes.Service, m ident.ModelID) float64 {
	top := 0.0
	for _, p := range s.Prices {
		top = max(top, p)
	}
	if top == 0 {
		return 1
	}
	return maxTokenTime * s.Prices[m] / top
}
