package front

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/core/late"
	"tarragonvalve.example/router/mirror"
)

// Guards against a shutdown whose end moves with settings that change meanwhile: SIGKILL follows by those at SIGTERM.
func TestGracePeriodOfShutdown(t *testing.T) {
	grace := 8 * time.Second
	g := NewGate(mirror.New(nil, nil, clock.Boot, zerolog.Nop()), clock.Boot, late.New(late.Clock(clock.Boot), zerolog.Nop()), func() time.Duration { return time.Second }, func() time.Duration { return grace })
	g.Stop()
	grace = time.Second
	g.Stop()
	if d := g.drainTime(); d != 8*time.Second-stopMargin {
		t.Errorf("the drain takes %s after the grace period became shorter", d)
	}
	if !g.Admits(time.Second) {
		t.Error("a request of 1 s is refused at the start of the shutdown")
	}
}

// Guards against a shutdown that is counted from later than its signal, as the process didn't run for a while or saw other
// events first.
func TestStopCountsFromLastRun(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		// runs are the times at which the process is seen to run, noticed that of the stop.
		runs                 []time.Duration
		noticed, least, most time.Duration
	}{
		"never seen to run":             {nil, 1000 * ms, 0, 0},
		"runs steadily":                 {[]time.Duration{900 * ms, 950 * ms}, 960 * ms, 10 * ms, 2 * late.Interval},
		"paused, signal first":          {[]time.Duration{900 * ms, 950 * ms}, 1650 * ms, 700 * ms, 700*ms + 2*late.Interval},
		"paused, seen to run before it": {[]time.Duration{900 * ms, 950 * ms, 1650 * ms}, 1651 * ms, 700 * ms, 700*ms + 2*late.Interval},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var now time.Duration
			clock := func() time.Duration { return now }
			m := late.New(clock, zerolog.Nop())
			g := NewGate(nil, clock, m, nil, func() time.Duration { return 8 * time.Second })
			for _, now = range c.runs {
				m.Beat(0)
			}
			now = c.noticed
			g.Stop()
			if past, ok := g.stoppedFor(); !ok || past < c.least || past > c.most {
				t.Errorf("stopped for %s, want %s to %s", past, c.least, c.most)
			}
		})
	}
}

// Guards against requests that are cut before the part of the grace period that is kept for the last answers, as the shutdown
// counts from a heartbeat before its signal.
func TestCutsAfterLatestSignal(t *testing.T) {
	const ms = time.Millisecond
	for name, grace := range map[string]time.Duration{"2 s": 2 * time.Second, "3 s": 3 * time.Second, "4 s": 4 * time.Second, "8 s": 8 * time.Second} {
		t.Run(name, func(t *testing.T) {
			now := time.Second
			clock := func() time.Duration { return now }
			m := late.New(clock, zerolog.Nop())
			g := NewGate(nil, clock, m, nil, func() time.Duration { return grace })
			m.Beat(0)
			now += late.Interval
			m.Beat(0)
			now += 49 * ms
			g.Stop()
			signalled := now
			now = signalled + grace - min(stopMargin, time.Duration(float64(grace)*stopMarginFraction)) - ms
			if past, _ := g.stoppedFor(); past > g.drainTime() {
				t.Errorf("the drain is over %s after the signal", now-signalled)
			}
			if g.drainTime() >= grace {
				t.Errorf("the drain takes %s of %s", g.drainTime(), grace)
			}
		})
	}
}
