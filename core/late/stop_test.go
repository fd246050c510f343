package late_test

import (
	"os/exec"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/late"
)

// Guards against requests that are refused because of a stop that was over before they came, against ones that waited
// through a stop and count as new, and against a process that is late again and again and takes requests between its stops.
func TestWaited(t *testing.T) {
	tests := map[string]struct {
		beats []beat
		// since is the time since the last heartbeat.
		since time.Duration
		want  time.Duration
	}{
		"on time":                         {[]beat{{50 * ms, 0}, {50 * ms, 0}}, 50 * ms, 0},
		"stopped, not noticed":            {[]beat{{50 * ms, 0}}, 650 * ms, 600 * ms},
		"just after a stop":               {[]beat{{650 * ms, 0}}, 2 * ms, 600 * ms},
		"a heartbeat that came at once":   {[]beat{{650 * ms, 0}, {1 * ms, 0}}, 2 * ms, 600 * ms},
		"100 ms after a stop":             {[]beat{{650 * ms, 0}, {50 * ms, 0}, {50 * ms, 0}}, 0, 0},
		"what waited is counted later":    {[]beat{{650 * ms, 0}, {20 * ms, 600 * ms}, {50 * ms, 0}}, 30 * ms, 0},
		"what waited has not begun":       {[]beat{{650 * ms, 0}, {20 * ms, 0}, {50 * ms, 600 * ms}}, 30 * ms, 600 * ms},
		"goroutines wait longer":          {[]beat{{650 * ms, 0}, {20 * ms, 700 * ms}, {50 * ms, 0}}, 0, 700 * ms},
		"goroutines go on waiting":        {[]beat{{650 * ms, 0}, {50 * ms, 500 * ms}, {50 * ms, 0}, {50 * ms, 300 * ms}, {50 * ms, 0}}, 0, 600 * ms},
		"goroutines wait without a stop":  {[]beat{{50 * ms, 300 * ms}, {50 * ms, 0}, {50 * ms, 0}}, 0, 300 * ms},
		"stopped again":                   {[]beat{{650 * ms, 0}, {50 * ms, 0}, {50 * ms, 0}, {250 * ms, 0}, {50 * ms, 0}, {50 * ms, 0}}, 0, 200 * ms},
		"stopped again and again":         {[]beat{{650 * ms, 0}, {50 * ms, 0}, {50 * ms, 0}, {650 * ms, 0}, {50 * ms, 0}, {50 * ms, 0}}, 0, 600 * ms},
		"stopped again, not noticed":      {[]beat{{650 * ms, 0}, {50 * ms, 0}, {50 * ms, 0}}, 250 * ms, 200 * ms},
		"late before the stop":            {[]beat{{50 * ms, 200 * ms}, {50 * ms, 0}, {650 * ms, 0}, {50 * ms, 0}, {50 * ms, 0}}, 0, 600 * ms},
		"stopped again after a long time": {[]beat{{650 * ms, 0}, {50 * ms, 0}, {50 * ms, 0}, {50 * ms, 0}, {50 * ms, 0}, {50 * ms, 0}, {50 * ms, 0}, {650 * ms, 0}, {50 * ms, 0}, {50 * ms, 0}}, 0, 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Second
			a := late.New(func() time.Duration { return now }, zerolog.Nop())
			a.Beat(0)
			for _, b := range c.beats {
				now += b.after
				a.Beat(b.wait)
			}
			now += c.since
			if got := a.Waited(); got != c.want {
				t.Errorf("waited %s, want %s", got, c.want)
			}
		})
	}
}

// Guards against requests that begin after a stop by the system and are refused because of it, and against ones that waited
// through it and are taken.
func TestRequestAfterStop(t *testing.T) {
	const (
		timeout = 1500 * ms
		stops   = 5
	)
	a := late.New(late.Monotonic(), zerolog.Nop())
	go a.Run(t.Context())
	for range stops {
		// The process is on time before the stop.
		time.Sleep(8 * late.Interval)
		if err := exec.Command("sh", "-c", "kill -STOP $PPID; sleep 0.6; kill -CONT $PPID").Run(); err != nil {
			t.Fatal(err)
		}
		if left, ok := late.Left(timeout, a.Waited()); ok {
			t.Fatalf("a request that waited through the stop is taken with %s", left)
		}
		time.Sleep(2*late.Interval + 10*ms)
		// A busy machine may have stopped the process once more.
		if left, ok := late.Left(timeout, a.Waited()); ok && left == timeout {
			return
		}
	}
	t.Errorf("a request that came 0.1 s after a stop was refused, after each of %d", stops)
}
