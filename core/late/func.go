package late

import "time"

// Func returns how late the work of a process runs. Nil means that it is always on time.
type Func func() time.Duration

// Lateness calls f.
func (f Func) Lateness() time.Duration {
	if f == nil {
		return 0
	}
	return f()
}

const (
	// arrivalWaits is how often a request has waited for a processor when its handler begins: to be accepted and to be
	// read.
	arrivalWaits = 2
	// answerWaits is how often it waits afterwards: it is written to its upstream by one goroutine, the answer is read by a
	// second one, passed on by a third one and written by a fourth one.
	answerWaits = 4
)

// Left returns how much is left of the time of a request whose handler begins. It counts from the request's arrival as well
// as a process can tell that is late by lateness, and is false if that is too late to answer in time. Below Level, all of
// the time is left.
func Left(total, lateness time.Duration) (time.Duration, bool) {
	if lateness < Level {
		return total, true
	}
	left := total - arrivalWaits*lateness
	return left, left > answerWaits*lateness
}
