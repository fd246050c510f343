package relay

import (
	"math/rand/v2"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/link"
	"tarragonvalve.example/router/notice"
)

// UnavailableError reports that right before a send the chosen upstream was no longer
// eligible, or the client's time was over. Nothing was sent.
type UnavailableError struct {
	Upstream ident.UpstreamID
	Reason   string
}

func (e *UnavailableError) Error() string {
	return "send to upstream " + string(e.Upstream) + ": " + e.Reason
}

// recordNotices records a response's announcement that its upstream shuts down, that it wants no
// requests for a time, or which rate of requests it takes.
func (o *attempt) recordNotices(a *link.Response) {
	now := time.Now()
	i := o.upstream.Incarnation()
	if a.Meta.Leaving && o.Notices.MarkLeaving(i, now) {
		o.Links.CloseIdle(o.upstream.Address)
		o.Log.Info().Str("upstream", string(i.ID)).Int64("born", i.StartedMs).Str("request", string(o.Meta.ID)).
			Msg("upstream announced its shutdown, no new requests are sent to it")
	}
	if a.Meta.RetryAfter > 0 && o.Notices.MarkPaused(i, a.Meta.RetryAfter, now) {
		o.Log.Info().Str("upstream", string(i.ID)).Dur("quiet", a.Meta.RetryAfter).Str("request", string(o.Meta.ID)).
			Msg("upstream asked for a pause by Retry-After, no requests are sent to it until then")
	}
	switch l := a.Meta.Limit.(type) {
	case call.Limited:
		if o.Notices.RecordLimit(i, notice.Limit{Rate: l.Rate, At: now}, now) {
			o.Log.Info().Str("upstream", string(i.ID)).Int64("born", i.StartedMs).Float64("rate", float64(l.Rate)).Str("request", string(o.Meta.ID)).
				Msg("upstream limits the requests per second that it takes from all routers")
		}
	case call.Unlimited:
		if o.Notices.HasLimit(i) && o.Notices.RecordLimit(i, notice.Limit{Lifted: true, At: o.began}, now) {
			o.Log.Info().Str("upstream", string(i.ID)).Int64("born", i.StartedMs).Str("request", string(o.Meta.ID)).
				Msg("upstream no longer limits its requests")
		}
	}
}

// accepting reports whether u takes a request at now: it has announced neither a shutdown nor a
// pause that is still in force, and either this instance's share of its limit isn't used up or the
// request has a permit.
func (t *request) accepting(u *fleet.Upstream, now time.Time) bool {
	switch t.Notices.Availability(u, now).(type) {
	case notice.Available:
		return true
	case notice.Limited:
		return t.permit.AllowsUpstream(u, now)
	default:
		return false
	}
}

// remains reports whether u is neither registered as draining nor has announced its shutdown. A
// paused or limited upstream remains.
func (t *request) remains(u *fleet.Upstream, now time.Time) bool {
	_, leaving := t.Notices.Availability(u, now).(notice.Leaving)
	return !u.Draining && !leaving
}

// recheck returns why the request must no longer be sent to u, or nil: an
// *UnavailableError, a *refuse.Error if its prompt crashes upstreams, or the error of Job.Recheck if
// no upstream may have run the request yet. Since u was picked, a connection had to be made and the
// process may have been paused.
func (t *request) recheck(u *fleet.Upstream) error {
	now := time.Now()
	if t.Deadline.Sub(now) <= responseReserve {
		return &UnavailableError{Upstream: u.ID, Reason: "the client's time is over"}
	}
	if err := t.checkPrompt(); err != nil {
		return err
	}
	if !t.mayHaveRun && t.Recheck != nil {
		if err := t.Recheck(); err != nil {
			return err
		}
	}
	x := t.Syncer.View().Fleet.All()[u.ID]
	if x == nil || x.Address != u.Address || x.Incarnation() != u.Incarnation() || x.Draining {
		return &UnavailableError{Upstream: u.ID, Reason: "it has left the list meanwhile"}
	}
	switch s := t.Notices.Availability(u, now).(type) {
	case notice.Leaving:
		return &UnavailableError{Upstream: u.ID, Reason: "it leaves"}
	case notice.Paused:
		return &UnavailableError{Upstream: u.ID, Reason: "it wants no requests for " + s.Until.Sub(now).String()}
	}
	return t.usePermit(x, now)
}

const (
	// minPauseJitter and pauseJitterFraction bound the random delay added to a client's
	// Retry-After, so that clients don't all return at the moment an upstream accepts
	// requests again: up to this fraction of the wait, and at least up to minPauseJitter.
	minPauseJitter      = 200 * time.Millisecond
	pauseJitterFraction = 0.25
)

// untilAccepting returns the time, with jitter, until the first upstream of the service
// accepts requests again. It returns false unless there is a remaining upstream and all
// remaining ones have asked for a pause or have a limit that is used up.
func (t *request) untilAccepting(now time.Time) (time.Duration, bool) {
	var first time.Time
	for _, u := range t.Syncer.View().Fleet.Service(t.service) {
		if !t.remains(u, now) {
			continue
		}
		var until time.Time
		switch q := t.Notices.Availability(u, now).(type) {
		case notice.Paused:
			until = q.Until
		case notice.Limited:
			until = q.Until
		default:
			return 0, false
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	if first.IsZero() {
		return 0, false
	}
	d := first.Sub(now)
	return d + rand.N(max(minPauseJitter, time.Duration(pauseJitterFraction*float64(d)))), true
}
