package boot

import (
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/late"
	"tarragonvalve.example/core/logger"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/entry/setup"
)

// newClock returns the clock of the meter, which is monotonic.
func newClock() late.Clock {
	start := time.Now()
	// The meter takes 0 for no reading.
	return func() time.Duration { return time.Since(start) + 1 }
}

func newLateness(n late.Clock, l zerolog.Logger) *late.Meter {
	return late.New(n, logger.Part(l, "lateness"))
}

// unseen returns the time since the process was last seen to run before an event that it notices now.
func unseen(m *late.Meter, now late.Clock) time.Duration {
	t, ok := m.RanBefore()
	if !ok {
		return 0
	}
	return max(now()-t, 0)
}

func newReadiness(s *setup.Settings, n *spread.Replica, m *late.Meter, c late.Clock) *readiness {
	return &readiness{
		replica:        n,
		isolationLimit: s.Entry.IsolationLimit,
		drainTime:      s.Entry.DrainNotice + s.Entry.DrainLimit,
		now:            time.Now,
		unseen:         func() time.Duration { return unseen(m, c) },
	}
}
