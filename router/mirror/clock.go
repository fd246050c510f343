package mirror

import "time"

// clockReset is the apparent age of a response above which the store's clock is assumed
// to have restarted. Stale responses are some seconds old, not a minute.
const clockReset = time.Minute

// clockEstimate estimates the offset between the store's clock and the local one, to find
// the local time as of which a response of the store is current. A stale response carries an
// old reading of the store's monotonic clock.
type clockEstimate struct {
	// offset is the largest lower bound so far of the store's clock minus the local clock.
	offset time.Duration
	set    bool
}

// AsOf returns the local time as of which the content of a response is current: the time
// when the request was sent, or an earlier one if the store's clock in the response is
// behind. All arguments and results but store are readings of the local clock.
func (e *clockEstimate) AsOf(sent, received, store time.Duration) time.Duration {
	low := store - received
	if !e.set || low > e.offset || e.offset-low > clockReset {
		e.offset = low
		e.set = true
	}
	return min(sent, store-e.offset)
}
