package caller

import (
	"net/http"
	"time"

	"tarragonvalve.example/core/refuse"
)

const (
	// minLateness is the lateness from which on it counts. Below it, the process is on time.
	minLateness = 100 * time.Millisecond
	// arrivalWaits is how often a request has waited for a processor when its handler begins: to be accepted and to be read.
	arrivalWaits = 2
	// answerWaits is how often it waits afterwards: its call is written by one goroutine, the answer is read by a second one
	// and passed to a third one, which writes it.
	answerWaits = 4
	// lateRetryAfter is the retry delay for a request that a late entry refuses. The retry uses a new connection, which load
	// balancers send to any entry.
	lateRetryAfter = time.Second
)

// lateness returns how late the work of the process runs, 0 if it is on time.
func (a *API) lateness() time.Duration {
	if a.o.Late == nil {
		return 0
	}
	if d := a.o.Late(); d >= minLateness {
		return d
	}
	return 0
}

// deadline returns the deadline of a request, which counts from its arrival as well as the process can tell. It returns a
// *refuse.Error if the process runs too late to answer by then.
func (a *API) deadline(r *http.Request) (time.Time, error) {
	t, err := a.timeout(r)
	if err != nil {
		return time.Time{}, err
	}
	late := a.lateness()
	left := t - arrivalWaits*late
	if left <= answerWaits*late {
		a.tooLate.Add(1)
		return time.Time{}, refuse.New(refuse.Overloaded, refuse.NotRun, "this entry runs too late to answer in time").WithRetryAfter(lateRetryAfter)
	}
	return a.o.Now().Add(left), nil
}
