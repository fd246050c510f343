package caller

import (
	"net/http"
	"time"

	"tarragonvalve.example/core/late"
	"tarragonvalve.example/core/refuse"
)

// lateRetryAfter is the retry delay for a request that a late entry refuses. The retry uses a new connection, which load
// balancers send to any entry.
const lateRetryAfter = time.Second

// deadline returns the deadline of a request, which counts from its arrival as well as the process can tell. It returns a
// *refuse.Error if the process runs too late to answer by then.
func (a *API) deadline(r *http.Request) (time.Time, error) {
	t, err := a.timeout(r)
	if err != nil {
		return time.Time{}, err
	}
	left, ok := late.Left(t, a.o.Late.Lateness())
	if !ok {
		a.tooLate.Add(1)
		return time.Time{}, refuse.New(refuse.Overloaded, refuse.NotRun, "this entry runs too late to answer in time").WithRetryAfter(lateRetryAfter)
	}
	return a.o.Now().Add(left), nil
}
