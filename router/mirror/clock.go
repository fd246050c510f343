package mirror

import "time"

// clockReset is the apparent age of a response above which the store's clock is assumed
// to have restarted. Stale responses are some seconds old, not a minute.
const clockReset = time.Minute

const (
	// driftWindow is how long the offset is kept although all responses of that time are behind it.
	driftWindow = time.Minute
	// maxDrift bounds how fast the local clock and the store's drift apart: crystals are within 100 ppm.
	maxDrift = 500e-6
	// maxDriftStep bounds the drift that is allowed for at the end of a window, which may include an
	// outage, so that a stale response doesn't count as fresh afterwards.
	maxDriftStep = maxStaleness / 2
)

// clockEstimate estimates the offset between the store's clock and the local one, to find
// the local time as of which a response of the store is current. A stale response carries an
// old reading of the store's monotonic clock.
type clockEstimate struct {
	// offset is the largest lower bound of the store's clock minus the local clock, less the drift
	// since it was found.
	offset time.Duration
	set    bool
	// best is the largest lower bound since windowAt, a reading of the local clock.
	best     time.Duration
	windowAt time.Duration
}

// AsOf returns the local time as of which the content of a response is current: the time
// when the request was sent, or an earlier one if the store's clock in the response is
// behind. All arguments and results but store are readings of the local clock.
func (e *clockEstimate) AsOf(sent, received, store time.Duration) time.Duration {
	low := store - received
	if !e.set || low > e.offset || e.offset-low > clockReset {
		e.set, e.offset, e.best, e.windowAt = true, low, low, received
	}
	asOf := min(sent, store-e.offset)
	e.best = max(e.best, low)
	if past := received - e.windowAt; past >= driftWindow {
		drift := min(time.Duration(maxDrift*float64(past)), maxDriftStep)
		e.offset, e.best, e.windowAt = max(e.best, e.offset-drift), low, received
	}
	return asOf
}
