package crash_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/router/crash"
	"tarragonvalve.example/router/fleet"
)

// Guards against a request that counts as survived, or as the cause of a crash, because a process that was stopped notices
// the begin of its answer, the last events and the crash at one time.
func TestLateNotice(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1000, 0)
	u := fleet.Incarnation{ID: "u", StartedMs: 1}
	tests := map[string]struct {
		// began, event and down are when the begin, an event and the crash are noticed; late is the lateness by which the
		// begin, or all that comes after it, is noticed.
		began, event, down   time.Duration
		lateBegan, lateAfter time.Duration
		crashed, survived    string
	}{
		"on time":                             {0, 900 * ms, 950 * ms, 0, 0, "a!", ""},
		"survived":                            {0, 1100 * ms, 1200 * ms, 0, 0, "", "a"},
		"event read 1 s late":                 {0, 1100 * ms, 1100 * ms, 0, time.Second, "a!", ""},
		"event read 5 s late":                 {0, 5100 * ms, 5100 * ms, 0, 5 * time.Second, "a!", ""},
		"event read 0.3 s late, crash later":  {0, 1200 * ms, 1200 * ms, 0, 300 * ms, "a!", ""},
		"event read 0.3 s late, survived":     {0, 1400 * ms, 1400 * ms, 0, 300 * ms, "", "a"},
		"begin and crash noticed 0.3 s late":  {0, 0, 0, 300 * ms, 300 * ms, "a!", ""},
		"begin and crash noticed 5 s late":    {0, 0, 0, 5 * time.Second, 5 * time.Second, "a", ""},
		"begin noticed 5 s late, crash later": {0, 0, 500 * ms, 5 * time.Second, 0, "a", ""},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			r := &recorder{}
			late := c.lateBegan
			m := crash.New(r, func() time.Duration { return late }, zerolog.New(io.Discard))
			a := m.Start(u, prompt("a"), ignore)
			a.Began(start.Add(c.began))
			late = c.lateAfter
			a.Received(start.Add(c.event))
			a.Lost(start.Add(c.down))
			m.Down("u", start.Add(c.down))
			if got := strings.Join(r.crashed, " "); got != c.crashed {
				t.Errorf("crashed under %q, want %q", got, c.crashed)
			}
			if got := strings.Join(r.survived, " "); got != c.survived {
				t.Errorf("survived %q, want %q", got, c.survived)
			}
		})
	}
}
