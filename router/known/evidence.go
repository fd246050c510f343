package known

import "time"

// clockReset is the apparent age of an answer above which the store's clock is
// taken to have started anew. Stale answers are some seconds old, not a minute.
const clockReset = time.Minute

// clockEstimate tells as of which local time an answer of the store is current. A
// stale answer carries an old reading of the store's steady clock.
type clockEstimate struct {
	// offset is the largest known lower bound of store clock minus local clock.
	offset time.Duration
	set    bool
}

// AsOf returns the local time at which the answer's content was current: when
// the question was sent, or earlier if the store's clock says so.
func (e *clockEstimate) AsOf(sent, received, store time.Duration) time.Duration {
	low := store - received
	if !e.set || low > e.offset || e.offset-low > clockReset {
		e.offset = low
		e.set = true
	}
	return min(sent, store-e.offset)
}
