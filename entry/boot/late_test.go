package boot

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/late"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/entry/setup"
)

// Guards against an entry that refuses requests because of a stop that was over before they came, and against one that takes
// those that waited through it.
func TestRequestsAfterStop(t *testing.T) {
	const ms = time.Millisecond
	s, err := setup.Read("../testdata/entry.ini", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Second
	a := late.New(func() time.Duration { return now }, zerolog.Nop())
	p := &readiness{now: time.Now, unseen: func() time.Duration { return 0 }}
	api := newCallerAPI(s, spread.New(spread.Options{Instance: "entry-1"}), nil, nil, nil, p, nil, nil, a, zerolog.Nop())
	code := func() refuse.Code {
		r := httptest.NewRequest(http.MethodGet, "/v1/models", http.NoBody)
		r.Header.Set("Tarragonvalve-Timeout-Ms", "1500")
		w := httptest.NewRecorder()
		api.ServeHTTP(w, r)
		// Requests that are taken are refused later, as there is no document.
		for _, c := range []refuse.Code{refuse.Overloaded, refuse.NoDocument} {
			if strings.Contains(w.Body.String(), `"code":"`+string(c)+`"`) {
				return c
			}
		}
		t.Fatalf("got %d %s", w.Code, w.Body)
		return ""
	}
	beat := func(after time.Duration) {
		now += after
		a.Beat(0)
	}
	a.Beat(0)
	beat(600*ms + late.Interval)
	if c := code(); c != refuse.Overloaded {
		t.Errorf("%s as the stop ends, want %s", c, refuse.Overloaded)
	}
	beat(late.Interval)
	beat(late.Interval)
	if c := code(); c != refuse.NoDocument {
		t.Errorf("%s after the stop, want that it is taken", c)
	}
}
