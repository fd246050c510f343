package entry

import (
	"time"

	"tarragonvalve.example/core/refuse"
)

const (
	// minLateness is the lateness from which on it counts. Below it, the process is on time.
	minLateness = 100 * time.Millisecond
	// arrivalWaits is how often work has waited for a processor when its handler begins: to be read and to be handled.
	arrivalWaits = 2
	// answerWaits is how often it waits afterwards: it is sent to the upstream by one goroutine, the answer is read by a
	// second one, passed on by a third one and written by a fourth one.
	answerWaits = 4
)

// timeLeft returns how much of the time of new work is left, which counts from its arrival as well as the process can tell.
// late is how late the work of the process runs. It returns a refusal if that is too late to answer in time.
func timeLeft(timeoutMs int64, late time.Duration) (int64, *refuse.Error) {
	if late < minLateness {
		return timeoutMs, nil
	}
	left := time.Duration(timeoutMs)*time.Millisecond - arrivalWaits*late
	if left <= answerWaits*late {
		return 0, refuse.New(refuse.Overloaded, refuse.NotRun, "accept work: this agent runs too late to answer in time")
	}
	return left.Milliseconds(), nil
}

// late returns how late the work of this process runs.
func (s *Server) late() time.Duration {
	if s.options.Late == nil {
		return 0
	}
	return s.options.Late()
}
