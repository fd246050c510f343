package probe

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/standin/pause"
)

// Guards against an upstream that counts as silent because this process was stopped during its check.
func TestCheckWhileStopped(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	defer func() { dialer.Control = nil }()
	for _, d := range []time.Duration{300 * time.Millisecond, time.Second, 5 * time.Second} {
		t.Run(d.String(), func(t *testing.T) {
			dialer.Control = func(_, _ string, _ syscall.RawConn) error {
				return pause.Self(d)
			}
			if err := dial(t.Context(), l.Addr().String()); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// Guards against upstreams that are checked, and streams that are continued elsewhere, because this process didn't run
// and read nothing, and against silence that isn't found as soon as before while it runs on time.
func TestSilenceOfLateProcess(t *testing.T) {
	const ms = time.Millisecond
	every := func(gap time.Duration, n int) []time.Duration { return slices.Repeat([]time.Duration{gap}, n) }
	tests := map[string]struct {
		// scans are the times between two examinations, received is the number of those after which the upstream sends
		// the last event.
		scans           []time.Duration
		received        int
		checked, stalls bool
	}{
		"on time, silent for 0.4 s": {every(100*ms, 5), 1, false, false},
		"on time, silent for 0.5 s": {every(100*ms, 6), 1, true, false},
		"on time, silent for 1.1 s": {every(100*ms, 12), 1, true, true},
		"stopped for 0.3 s":         {[]time.Duration{100 * ms, 300 * ms, 100 * ms}, 1, false, false},
		"stopped for 1 s":           {[]time.Duration{100 * ms, time.Second, 100 * ms}, 1, false, false},
		"stopped for 5 s":           {[]time.Duration{100 * ms, 5 * time.Second, 100 * ms}, 1, false, false},
		"stopped after 0.4 s":       {append(every(100*ms, 5), 5*time.Second), 1, false, false},
		"silent after a stop":       {append([]time.Duration{5 * time.Second}, every(100*ms, 12)...), 1, true, true},
		"5 ms of each 50 ms":        {every(145*ms, 3), 0, false, false},
		"late by 0.4 s, silent 2 s": {every(500*ms, 4), 0, false, false},
		"late by 0.4 s, silent 4 s": {every(500*ms, 8), 0, true, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			u := &fleet.Upstream{ID: "u", Address: "10.0.0.1:1"}
			list := fleet.New(map[ident.UpstreamID]*fleet.Upstream{"u": u})
			now := time.Unix(100, 0)
			m := New(&marks{}, func() *fleet.List { return list }, zerolog.Nop())
			m.work = clock.NewWork(now)
			stalled := false
			w := m.Start(u, 0, func(err error) { stalled = stalled || errors.Is(err, ErrStalled) }, now)
			w.BodyReceived(now)
			checked := false
			for i, d := range c.scans {
				now = now.Add(d)
				if len(m.dueChecks(now)) > 0 {
					checked = true
				}
				if i+1 == c.received {
					w.BodyReceived(now)
				}
			}
			if checked != c.checked || stalled != c.stalls {
				t.Errorf("checked %v, stalled %v", checked, stalled)
			}
		})
	}
}
