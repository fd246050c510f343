package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/notice"
	"tarragonvalve.example/router/probe"
)

// takeRetry reports whether the request may be sent once more: enough of the client's time
// and another attempt are left, the request may run again, and the retry budget allows it.
// It uses the retry that cancelForRetry took from the budget, or takes one itself.
func (t *request) takeRetry(ctx context.Context) bool {
	if ctx.Err() != nil || time.Until(t.Deadline) < 2*responseReserve {
		return false
	}
	if t.checkPrompt() != nil || (t.trial && t.mayHaveRun) {
		return false
	}
	if t.crashes >= maxCrashes {
		t.awaitCheck(ctx)
	}
	if t.crashes > 0 && t.Poison.Suspected(t.prompt) {
		t.Log.Warn().Str("request", string(t.Meta.ID)).Int("crashes", t.crashes).Msg("not repeated, upstreams may crash under it")
		return false
	}
	if t.runs >= t.Route.Attempts || (t.mayHaveRun && !t.Route.Retryable()) {
		return false
	}
	if g := t.retryGranted.Swap(nil); g != nil {
		t.permit = g.permit
		return true
	}
	if !t.Budget.TakeRetry(t.service, t.Now()) {
		t.Meter.RetryDenied()
		t.Log.Warn().Str("request", string(t.Meta.ID)).Str("service", string(t.service)).
			Int("attempt", t.attempts).Msg("repeat not allowed by the retry budget")
		return false
	}
	return true
}

const (
	// maxCrashes is the number of attempts that lost their connections before an answer began from
	// which it is waited until it is known whether their upstreams ended.
	maxCrashes = 2
	// checkTime is the time from the loss of a connection until it is known whether its upstream
	// ended: the monitor examines upstreams every 100 ms, and a refused connection takes some ms.
	checkTime = 150 * time.Millisecond
)

// awaitCheck waits until it is known whether the upstream of the last attempt ended.
func (t *request) awaitCheck(ctx context.Context) {
	timer := time.NewTimer(checkTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
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
// still respond, so this alone doesn't end an attempt. A stream that pauses stays until another
// upstream continues it. It returns nil if a retry is ruled out already. The
// function may be called from any goroutine.
func (t *request) cancelForRetry(u *fleet.Upstream, cancel context.CancelCauseFunc) func(error) {
	if !t.Route.Retryable() || t.runs+1 >= t.Route.Attempts {
		return nil
	}
	tried := slices.Clone(t.excluded)
	return func(cause error) {
		if t.waiting.Load() {
			// The stream is safe at its holder, so no further upstream is asked for it.
			if !errors.Is(cause, errLate) {
				cancel(cause)
			}
			return
		}
		if errors.Is(cause, probe.ErrStalled) {
			t.succession.start(t, u, tried)
			return
		}
		if time.Until(t.Deadline) < 2*responseReserve {
			return
		}
		p, ok := t.takeAlternative(u, tried)
		if !ok || !t.Budget.TakeRetry(t.service, t.Now()) {
			return
		}
		t.retryGranted.Store(&retryGrant{permit: p})
		cancel(cause)
	}
}

// takeAlternative reports whether the service has an upstream of u's version that accepts
// requests and is not in tried. The permit is for it, if it limits its requests.
func (t *request) takeAlternative(u *fleet.Upstream, tried []ident.UpstreamID) (notice.Permit, bool) {
	now := time.Now()
	var limited []*fleet.Upstream
	for _, x := range t.Syncer.View().Fleet.Service(t.service) {
		if x.Draining || x.Version != u.Version || slices.Contains(tried, x.ID) {
			continue
		}
		if _, ok := t.Notices.Availability(x, now).(notice.Available); !ok {
			continue
		}
		if !t.Notices.Paced(x, now) {
			return notice.Permit{}, true
		}
		limited = append(limited, x)
	}
	for _, x := range limited {
		if p, ok := t.Notices.TakePermit(x, 0, now); ok {
			return p, true
		}
	}
	return notice.Permit{}, false
}

// retryGrant is a retry taken from the budget, with a permit if its upstream limits its requests.
type retryGrant struct{ permit notice.Permit }

// errLate is the cause of an attempt canceled by responseTimer.
var errLate = errors.New("the answer did not begin in time")
