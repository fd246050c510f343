package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/fleet"
)

// again reports whether another upstream may be tried, and spends the budget for it.
func (t *try) again(ctx context.Context) bool {
	if ctx.Err() != nil || time.Until(t.Deadline) < 2*answerReserve {
		return false
	}
	if t.sent >= t.Route.Attempts || (t.ran && !t.Route.Repeatable()) {
		return false
	}
	if !t.granted.Swap(false) && !t.Budget.TakeRetry(t.service, t.Now()) {
		t.Meter.Denied()
		t.Log.Warn().Str("request", string(t.Meta.ID)).Str("service", string(t.service)).
			Int("attempt", t.offers).Msg("repeat not allowed by the retry budget")
		return false
	}
	return true
}

// final reports whether an outcome leaves nothing to repeat.
func final(o outcome) bool {
	switch o.(type) {
	case none, invalid:
		return true
	default:
		return false
	}
}

// giveUp returns a function that ends the present attempt if, and only if, the
// request may go on elsewhere: a server's silence alone is no reason to end an
// answer. It returns nil if that is ruled out already. The function may be called
// from any goroutine.
func (t *try) giveUp(u *fleet.Upstream, cancel context.CancelCauseFunc) func(error) {
	if !t.Route.Repeatable() || t.sent+1 >= t.Route.Attempts {
		return nil
	}
	tried := slices.Clone(t.exclude)
	return func(cause error) {
		if time.Until(t.Deadline) < 2*answerReserve || !t.another(u, tried) || !t.Budget.TakeRetry(t.service, t.Now()) {
			return
		}
		t.granted.Store(true)
		cancel(cause)
	}
}

// another reports whether an upstream of the same version was not tried yet.
func (t *try) another(u *fleet.Upstream, tried []ident.UpstreamID) bool {
	now := time.Now()
	for _, x := range t.Node.View().Fleet.Service(t.service) {
		if !x.Draining && t.open(x, now) && x.Version == u.Version && !slices.Contains(tried, x.ID) {
			return true
		}
	}
	return false
}

var errLate = errors.New("the answer did not begin in time")
