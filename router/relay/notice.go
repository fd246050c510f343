package relay

import (
	"math/rand/v2"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/link"
	"tarragonvalve.example/router/notice"
)

// ClosedError reports an upstream that may not get a request after all.
type ClosedError struct {
	Upstream ident.UpstreamID
	Reason   string
}

func (e *ClosedError) Error() string {
	return "send to upstream " + string(e.Upstream) + ": " + e.Reason
}

// notices records what an answer says of its upstream.
func (o *offer) notices(a *link.Answer) {
	now := time.Now()
	i := o.upstream.Incarnation()
	if a.Meta.Leaving && o.Notices.MarkLeaving(i, now) {
		o.Links.Leave(o.upstream.Address)
		o.Log.Info().Str("upstream", string(i.ID)).Int64("born", i.StartedMs).Str("request", string(o.Meta.ID)).
			Msg("upstream says that it leaves, it gets nothing new")
	}
	if a.Meta.Quiet > 0 && o.Notices.MarkBackingOff(i, a.Meta.Quiet, now) {
		o.Log.Info().Str("upstream", string(i.ID)).Dur("quiet", a.Meta.Quiet).Str("request", string(o.Meta.ID)).
			Msg("upstream wants no requests for a time")
	}
}

// open reports whether an upstream may get requests by what it said itself.
func (t *try) open(u *fleet.Upstream, now time.Time) bool {
	_, ok := t.Notices.Availability(u, now).(notice.Available)
	return ok
}

// stays reports whether an upstream goes on serving.
func (t *try) stays(u *fleet.Upstream, now time.Time) bool {
	_, leaving := t.Notices.Availability(u, now).(notice.Leaving)
	return !u.Draining && !leaving
}

// permit says why a request must not be sent to the chosen upstream after all. The
// choice may be old: a connection had to be made, or the process was paused.
func (t *try) permit(u *fleet.Upstream) error {
	now := time.Now()
	if t.Deadline.Sub(now) <= answerReserve {
		return &ClosedError{Upstream: u.ID, Reason: "the client's time is over"}
	}
	if !t.ran && t.Valid != nil {
		if err := t.Valid(); err != nil {
			return err
		}
	}
	x := t.Node.View().Fleet.All()[u.ID]
	if x == nil || x.Address != u.Address || x.Incarnation() != u.Incarnation() || x.Draining {
		return &ClosedError{Upstream: u.ID, Reason: "it has left the list meanwhile"}
	}
	switch s := t.Notices.Availability(u, now).(type) {
	case notice.Leaving:
		return &ClosedError{Upstream: u.ID, Reason: "it leaves"}
	case notice.BackingOff:
		return &ClosedError{Upstream: u.ID, Reason: "it wants no requests for " + s.Until.Sub(now).String()}
	default:
		return nil
	}
}

const (
	// openingSpread and openingPart spread clients that come back once an upstream opens
	// again: over a part of the time that they wait, at least over openingSpread.
	openingSpread = 200 * time.Millisecond
	openingPart   = 0.25
)

// opening returns when the first upstream of the service takes requests again, if all
// that stay want none now.
func (t *try) opening(now time.Time) (time.Duration, bool) {
	var first time.Time
	for _, u := range t.Node.View().Fleet.Service(t.service) {
		if !t.stays(u, now) {
			continue
		}
		q, ok := t.Notices.Availability(u, now).(notice.BackingOff)
		if !ok {
			return 0, false
		}
		if first.IsZero() || q.Until.Before(first) {
			first = q.Until
		}
	}
	if first.IsZero() {
		return 0, false
	}
	d := first.Sub(now)
	return d + rand.N(max(openingSpread, time.Duration(openingPart*float64(d)))), true
}
