package late_test

import (
	"bytes"
	"os/exec"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/late"
)

const ms = time.Millisecond

// beat is a heartbeat some time after the one before.
type beat struct{ after, wait time.Duration }

// Guards against a process that was stopped, or had no processor time, and doesn't know it within a quarter of a
// second, and against one that counts as late after it has caught up.
func TestLateness(t *testing.T) {
	tests := map[string]struct {
		beats []beat
		// since is the time since the last heartbeat.
		since time.Duration
		want  time.Duration
	}{
		"on time":                           {[]beat{{50 * ms, 0}, {50 * ms, 0}}, 50 * ms, 0},
		"stopped, not noticed by the meter": {[]beat{{50 * ms, 0}}, 850 * ms, 800 * ms},
		"stopped":                           {[]beat{{850 * ms, 0}}, 0, 800 * ms},
		"stopped a while ago":               {[]beat{{850 * ms, 0}, {50 * ms, 0}, {50 * ms, 0}}, 0, 800 * ms},
		"caught up":                         {[]beat{{850 * ms, 0}, {100 * ms, 0}, {100 * ms, 0}, {100 * ms, 0}}, 0, 50 * ms},
		"goroutines wait":                   {[]beat{{50 * ms, 300 * ms}, {50 * ms, 20 * ms}}, 0, 300 * ms},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Second
			m := late.New(func() time.Duration { return now }, zerolog.Nop())
			m.Beat(0)
			for _, b := range c.beats {
				now += b.after
				m.Beat(b.wait)
			}
			now += c.since
			if got := m.Lateness(); got != c.want {
				t.Errorf("lateness %s, want %s", got, c.want)
			}
		})
	}
}

// Guards against lateness that operators can't see, or that has a line for each heartbeat.
func TestLatenessLogged(t *testing.T) {
	var b bytes.Buffer
	now := time.Second
	m := late.New(func() time.Duration { return now }, zerolog.New(&b))
	for _, d := range []time.Duration{0, 300 * ms, 300 * ms, 60 * ms, 50 * ms, 50 * ms, 50 * ms, 50 * ms, 50 * ms, 50 * ms} {
		now += d
		m.Beat(0)
	}
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], "work runs late") || !strings.Contains(lines[1], "work runs on time again") {
		t.Errorf("got:\n%s", b.String())
	}
	if m.Episodes() != 1 {
		t.Errorf("%d episodes, want 1", m.Episodes())
	}
}

// Guards against a stopped process that counts a signal from after it runs again, because it had heartbeats before it
// noticed the signal.
func TestUnseen(t *testing.T) {
	tests := map[string]struct {
		beats []time.Duration
		// since is the time since the last heartbeat.
		since time.Duration
		want  time.Duration
	}{
		"just started":                 {nil, 20 * ms, 20 * ms},
		"on time":                      {[]time.Duration{50 * ms, 50 * ms, 50 * ms}, 20 * ms, 70 * ms},
		"just after a heartbeat":       {[]time.Duration{50 * ms, 50 * ms}, 0, 50 * ms},
		"stopped":                      {[]time.Duration{50 * ms}, 1000 * ms, 1000 * ms},
		"a heartbeat after the stop":   {[]time.Duration{50 * ms, 1000 * ms}, 2 * ms, 1002 * ms},
		"two heartbeats after it":      {[]time.Duration{50 * ms, 1000 * ms, 1 * ms}, 2 * ms, 1003 * ms},
		"several heartbeats after it":  {[]time.Duration{50 * ms, 1000 * ms, 1 * ms, 9 * ms, 10 * ms}, 2 * ms, 1022 * ms},
		"a while after the stop":       {[]time.Duration{50 * ms, 1000 * ms, 30 * ms, 50 * ms}, 10 * ms, 60 * ms},
		"stopped again after a moment": {[]time.Duration{50 * ms, 1000 * ms, 1 * ms, 500 * ms, 1 * ms}, 2 * ms, 503 * ms},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Second
			m := late.New(func() time.Duration { return now }, zerolog.Nop())
			m.Beat(0)
			for _, d := range c.beats {
				now += d
				m.Beat(0)
			}
			now += c.since
			if got := m.Unseen(); got != c.want {
				t.Errorf("unseen for %s, want %s", got, c.want)
			}
		})
	}
}

// Guards against a meter that doesn't notice that its process was stopped by the system.
func TestStoppedProcess(t *testing.T) {
	m := late.New(late.Monotonic(), zerolog.Nop())
	go m.Run(t.Context())
	time.Sleep(4 * late.Interval)
	stop := "kill -STOP $PPID; sleep 0.6; kill -CONT $PPID"
	if err := exec.Command("sh", "-c", stop).Run(); err != nil {
		t.Fatal(err)
	}
	if got := m.Lateness(); got < 400*ms {
		t.Errorf("lateness %s after a stop of 0.6 s", got)
	}
}

// Guards against a silent stream that is never ended because the process runs late all the time, and against one that is
// ended before what arrived while the process was stopped is read.
func TestSilenceWhileLate(t *testing.T) {
	for name, c := range map[string]struct{ late, want time.Duration }{
		"on time":       {0, 3 * time.Second},
		"always late":   {time.Second, 4 * time.Second},
		"very long ago": {time.Hour, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				at := time.Now()
				ended := make(chan struct{})
				s := late.NewSilence(3*time.Second, func() time.Duration { return c.late }, func() { close(ended) })
				defer s.Stop()
				<-ended
				if took := time.Since(at); took != c.want {
					t.Errorf("ended after %s, want %s", took, c.want)
				}
			})
		})
	}
}
