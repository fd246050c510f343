package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/fleet"
)

// takeRetry reports whether the request may be sent once more: enough of the client's time
// and another attempt are left, the request may run again, and the retry budget allows it.
// It uses the retry that cancelForRetry took from the budget, or takes one itself.
func (t *request) takeRetry(ctx context.Context) bool {
	if ctx.Err() != nil || time.Until(t.Deadline) < 2*responseReserve {
		return false
	}
	if t.runs >= t.Route.Attempts || (t.mayHaveRun && !t.Route.Retryable()) {
		return false
	}
	if !t.retryGranted.Swap(false) && !t.Budget.TakeRetry(t.service, t.Now()) {
		t.Meter.RetryDenied()
		t.Log.Warn().Str("request", string(t.Meta.ID)).Str("service", string(t.service)).
			Int("attempt", t.attempts).Msg("repeat not allowed by the retry budget")
		return false
	}
	return true
}

// isFinal reports whether a retry after this outcome is pointless.
func isFinal(o outcome) bool {
	switch o.(type) {
	case noUpstream, inadmissible:
		return true
	default:
		return false
	}
}

// cancelForRetry returns a function that cancels the present attempt if, and only if, the
// request can be retried at another upstream: an upstream that sends nothing may
// still respond, so this alone doesn't end an attempt. It returns nil if a retry is ruled out already. The
// function may be called from any goroutine.
func (t *request) cancelForRetry(u *fleet.Upstream, cancel context.CancelCauseFunc) func(error) {
	if !t.Route.Retryable() || t.runs+1 >= t.Route.Attempts {
		return nil
	}
	tried := slices.Clone(t.excluded)
	return func(cause error) {
		if time.Until(t.Deadline) < 2*responseReserve || !t.hasAlternative(u, tried) || !t.Budget.TakeRetry(t.service, t.Now()) {
			return
		}
		t.retryGranted.Store(true)
		cancel(cause)
	}
}

// hasAlternative reports whether the service has an upstream of u's version that accepts
// requests and is not in tried.
func (t *request) hasAlternative(u *fleet.Upstream, tried []ident.UpstreamID) bool {
	now := time.Now()
	for _, x := range t.Syncer.View().Fleet.Service(t.service) {
		if !x.Draining && t.accepting(x, now) && x.Version == u.Version && !slices.Contains(tried, x.ID) {
			return true
		}
	}
	return false
}

// errLate is the cause of an attempt canceled by responseTimer.
var errLate = errors.New("the answer did not begin in time")
