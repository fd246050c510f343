package late

import "time"

// stop is the latest stop of a process.
type stop struct {
	// single is true if the process was on time for a window before the stop, and since then but for the stop's effects.
	single bool
	// ended is the first heartbeat after the stop, length by how much it was overdue.
	ended, length time.Duration
	// latest is the latest heartbeat that was late, 0 before it.
	latest time.Duration
}

// add adds a heartbeat. It reports whether a single stop is over: the process has run for an Interval, in which what waited
// through the stop has begun, and on time since the heartbeat before.
func (s *stop) add(now, overdue, wait time.Duration) (over bool) {
	switch {
	case max(overdue, wait) < Level:
		return s.single && now-s.ended >= Interval
	case overdue >= Level:
		s.single = s.latest == 0 || now-overdue-s.latest > window
		s.ended, s.length = now, overdue
	default:
		s.single = s.single && s.explains(now, wait)
	}
	s.latest = now
	return false
}

// explains reports whether goroutines waited for that long because of the stop: a wait that ended within an Interval after it
// is counted by a heartbeat at most another one later.
func (s *stop) explains(now, wait time.Duration) bool {
	return now-s.ended <= 2*Interval && wait <= s.length+Interval
}
