package caller

import (
	"net/http"
	"testing"
	"time"

	"tarragonvalve.example/core/refuse"
)

// Guards against requests that a late entry takes although it can't answer them in time, against ones that it refuses
// although it can, and against a deadline that counts from when the request was read.
func TestRequestsOfLateEntry(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		late, timeout time.Duration
		// left is the time until the deadline, 0 for a refused request.
		left time.Duration
	}{
		"on time":                {20 * ms, 1500 * ms, 1500 * ms},
		"on time, short time":    {99 * ms, 50 * ms, 50 * ms},
		"late, in time":          {200 * ms, 1500 * ms, 1100 * ms},
		"late, too late":         {250 * ms, 1500 * ms, 0},
		"late, time is over":     {time.Second, 1500 * ms, 0},
		"late, has time for all": {5 * time.Second, time.Minute, 50 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFake(t)
			a := f.api()
			a.o.Late = func() time.Duration { return c.late }
			r, err := http.NewRequest(http.MethodGet, "/v1/models", nil)
			if err != nil {
				t.Fatal(err)
			}
			a.o.DefaultTimeout = c.timeout
			at, err := a.deadline(r)
			if c.left == 0 {
				if e, ok := refuse.As(err); !ok || e.Code != refuse.Overloaded || e.Ran != refuse.NotRun || a.TooLate() != 1 {
					t.Errorf("got %v, %d counted", err, a.TooLate())
				}
				return
			}
			if err != nil || at.Sub(a.o.Now()) != c.left {
				t.Errorf("deadline in %s, %v, want in %s", at.Sub(a.o.Now()), err, c.left)
			}
		})
	}
}
