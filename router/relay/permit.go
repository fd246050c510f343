package relay

import (
	"context"
	"slices"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/notice"
	"tarragonvalve.example/router/place"
)

const (
	// permitWaitShare is the part of a route's objective that a request may wait until an upstream
	// that limits its requests or is cold takes it, so that it can still be answered within the objective.
	permitWaitShare = 0.25
	// maxChoices bounds how often an upstream is chosen for one attempt: of requests that come at
	// once, all but one lose the permit of the upstream that suits them best.
	maxChoices = 16
)

// choose picks an upstream for an attempt and takes a permit if that upstream limits its requests or is cold.
// If all eligible upstreams do and the permits are used up, it waits for the next one. It returns
// false if there is none, or none soon enough.
func (t *request) choose(ctx context.Context, model ident.ModelID) (place.Choice, bool) {
	for range maxChoices {
		c, ok := t.pick(model)
		if !ok {
			break
		}
		if t.takePermit(c.Upstream) {
			return c, true
		}
	}
	if !t.awaitPermit(ctx) {
		return place.Choice{}, false
	}
	c, ok := t.pick(model)
	return c, ok && t.takePermit(c.Upstream)
}

// takePermit reports whether u takes a request now, and keeps the permit for it.
func (t *request) takePermit(u *fleet.Upstream) bool {
	now := time.Now()
	if t.permit.AllowsUpstream(u, now) {
		return true
	}
	p, ok := t.Notices.TakePermit(u, 0, now)
	if ok {
		t.permit = p
	}
	return ok
}

// usePermit uses the permit for a request to u up. It takes one if u has stated a limit or become cold since it
// was chosen or the permit has run out, and returns an *UnavailableError if there is none.
func (t *request) usePermit(u *fleet.Upstream, now time.Time) error {
	p := t.permit
	t.permit = notice.Permit{}
	if p.AllowsUpstream(u, now) {
		return nil
	}
	if _, ok := t.Notices.TakePermit(u, 0, now); ok {
		return nil
	}
	return &UnavailableError{Upstream: u.ID, Reason: "its limit of requests is used up"}
}

// awaitPermit waits for the first permit at an eligible upstream and takes it. It returns false at
// once if there is none within permitWaitShare of the objective, and at the end of ctx.
func (t *request) awaitPermit(ctx context.Context) bool {
	now := time.Now()
	wait := min(time.Duration(permitWaitShare*float64(t.Route.Objective)), t.Deadline.Sub(now)-2*responseReserve)
	v := t.Syncer.View()
	version := t.versionFilter(v, now)
	var first *fleet.Upstream
	end := now.Add(wait)
	for _, u := range v.Fleet.Service(t.service) {
		if u.Draining || slices.Contains(t.excluded, u.ID) || !version(u) {
			continue
		}
		if l, ok := t.Notices.Availability(u, now).(notice.Limited); ok && l.Until.Before(end) {
			first, end = u, l.Until
		}
	}
	if first == nil {
		return false
	}
	p, ok := t.Notices.TakePermit(first, wait, now)
	if !ok {
		return false
	}
	timer := time.NewTimer(p.From.Sub(now))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		t.permit = p
		return true
	}
}
