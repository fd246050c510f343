package mirror

import (
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/fleet"
)

// coldMargin is how much longer than its entry says an upstream counts as cold: one and a half times the
// heartbeat of 1.2 s at which entries are written, as they arrive late.
const coldMargin = 1800 * time.Millisecond

// coldUntil returns until when an upstream is cold by an entry that was read at now; old is the upstream as known
// before, or nil. An entry without a time ends the cold state of the same incarnation after coldMargin at the latest.
func coldUntil(old *fleet.Upstream, c UpstreamChanged, now time.Time) time.Time {
	end := now.Add(coldMargin)
	switch {
	case c.ColdRemaining > 0:
		return end.Add(c.ColdRemaining)
	case old == nil || old.Incarnation() != c.Upstream.Incarnation() || !now.Before(old.ColdUntil):
		return time.Time{}
	case old.ColdUntil.Before(end):
		return old.ColdUntil
	default:
		return end
	}
}

// withCold returns a change with the time until which its upstream is cold if it is about an upstream.
func (s *storeState) withCold(c Change, now time.Time) Change {
	x, ok := c.(UpstreamChanged)
	if !ok {
		return c
	}
	until := coldUntil(s.upstreams[x.Upstream.ID], x, now)
	if until.IsZero() {
		return c
	}
	u := *x.Upstream
	u.ColdUntil = until
	x.Upstream = &u
	return x
}

// onlyColdChanged reports whether a change repeats the entry of an upstream but for the time until which it is
// cold. Entries of cold upstreams are written at each heartbeat.
func (s *storeState) onlyColdChanged(c Change) bool {
	x, ok := c.(UpstreamChanged)
	if !ok {
		return false
	}
	old := s.upstreams[x.Upstream.ID]
	if old == nil || (old.ColdUntil.IsZero() && x.Upstream.ColdUntil.IsZero()) {
		return false
	}
	a, b := *old, *x.Upstream
	a.ColdUntil, b.ColdUntil = time.Time{}, time.Time{}
	return a == b
}

// coldRate returns the rate of requests that an upstream tolerates while it is cold; 0 means no limit.
func (s *storeState) coldRate(u *fleet.Upstream) call.Rate {
	if s.document == nil || u.ColdUntil.IsZero() {
		return 0
	}
	return s.document.Services[u.Service].ColdRate
}

// ColdCount returns the number of upstreams that limit their requests at now because they are cold.
func (v *View) ColdCount(now time.Time) int {
	n := 0
	for _, u := range v.Fleet.All() {
		if u.Cold(now) {
			n++
		}
	}
	return n
}

// logCold logs which upstreams have become cold, or are no longer, since the last call. cold holds those that
// were.
func (n *Syncer) logCold(cold map[ident.UpstreamID]bool, now time.Time) {
	us := n.View().Fleet.All()
	for id, u := range us {
		switch is := u.Cold(now); {
		case is && !cold[id]:
			cold[id] = true
			n.log.Info().Str("upstream", string(id)).Int64("born", u.StartedMs).Dur("remaining", u.ColdUntil.Sub(now)).
				Float64("rate", float64(u.ColdRate)).Msg("upstream is cold and takes few requests per second from all routers")
		case !is && cold[id]:
			delete(cold, id)
			n.log.Info().Str("upstream", string(id)).Int64("born", u.StartedMs).Msg("upstream is no longer cold")
		}
	}
	for id := range cold {
		if us[id] == nil {
			delete(cold, id)
		}
	}
}
