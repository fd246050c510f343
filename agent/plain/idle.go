package plain

import (
	"context"
	"time"

	"tarragonvalve.example/core/clock"
)

// idleTimer cancels a call when no byte has arrived for limit. Time in which this process did not run doesn't count, as what
// arrived meanwhile hasn't been read. It is not safe for concurrent use.
type idleTimer struct {
	limit  time.Duration
	cancel context.CancelCauseFunc
	timer  *clock.Timer
}

// startIdleTimer returns a timer that cancels the call after the idle timeout.
func (c *Client) startIdleTimer(cancel context.CancelCauseFunc) *idleTimer {
	t := &idleTimer{limit: c.options.IdleTimeout, cancel: cancel}
	t.start()
	return t
}

func (t *idleTimer) start() {
	t.timer = clock.AfterFunc(t.limit, func() { t.cancel(&IdleTimeoutError{Timeout: t.limit}) })
}

// Reset starts the wait again.
func (t *idleTimer) Reset() {
	t.timer.Stop()
	t.start()
}

// Stop ends the wait.
func (t *idleTimer) Stop() { t.timer.Stop() }
