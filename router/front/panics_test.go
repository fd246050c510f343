package front

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"tarragonvalve.example/core/ending"
)

// Guards against a panic of the code that serves requests that leaves its client without an answer, or that no
// log line and no counter shows.
func TestHandlerPanic(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		handler http.HandlerFunc
		// status is that of the answer; 0 means that the answer must be cut.
		status   int
		passedOn string
	}{
		"before the answer": {func(http.ResponseWriter, *http.Request) { panic("no answer") }, 502, "no"},
		"of the runtime": {func(_ http.ResponseWriter, q *http.Request) {
			_ = []string{}[len(q.Header)]
		}, 502, "no"},
		"after the send": {func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("Content-Length", "7")
			exchangeOf(q.Context()).checked(nil)
			panic("no answer")
		}, 502, "unknown"},
		"within the answer": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "7")
			w.Write([]byte("whole"))
			panic("half an answer")
		}, 0, "no"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serveClients(t, time.Second, c.handler)
			status, body, err := answer(s.dial(order))
			if c.status == 0 && err == nil {
				t.Errorf("got the whole answer %d %q", status, body)
			}
			if c.status != 0 && (err != nil || status != c.status || !strings.Contains(body, `"ran":"unknown"`)) {
				t.Errorf("got %d %q %v, want %d with an unknown outcome", status, body, err, c.status)
			}
			l := s.await("cause", "handler-panic")
			if l["request"] != "1" || l["passed-on"] != c.passedOn || l["answer-begun"] != (c.status == 0) {
				t.Errorf("line %v", l)
			}
			if p, _ := l["place"].(string); !strings.HasPrefix(p, "tarragonvalve.example/router/front.TestHandlerPanic.") {
				t.Errorf("place %q is not that of the panic", p)
			}
			if x, _ := l["stack"].(string); !strings.Contains(x, "panics_test.go") {
				t.Errorf("stack %q does not show the panic", x)
			}
			if cs := s.counted(); len(cs) != 1 || cs[0] != ending.HandlerPanic {
				t.Errorf("counted %v", cs)
			}
		})
	}
}

// Guards against a log that a panic at each request fills with stacks, and against a panic whose line is left out
// since its place had one before.
func TestPanicStacks(t *testing.T) {
	t.Parallel()
	s := serveClients(t, time.Second, func(_ http.ResponseWriter, q *http.Request) {
		if q.Header.Get("Other") != "" {
			panic("other")
		}
		panic("same")
	})
	for range 3 {
		answer(s.dial(order))
	}
	answer(s.dial(strings.Replace(order, "\r\n", "\r\nOther: 1\r\n", 1)))
	ls := s.lines("cause", "handler-panic")
	var stacks []bool
	for _, l := range ls {
		stacks = append(stacks, l["stack"] != nil)
	}
	if len(ls) != 4 || !stacks[0] || stacks[1] || stacks[2] || !stacks[3] {
		t.Errorf("stacks %v, want one for each of the two places", stacks)
	}
}
