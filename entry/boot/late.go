package boot

import (
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/late"
	"tarragonvalve.example/core/logger"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/entry/setup"
)

func newLateness(l zerolog.Logger) *late.Meter {
	return late.New(late.Monotonic(), logger.Part(l, "lateness"))
}

func newReadiness(s *setup.Settings, n *spread.Replica, m *late.Meter) *readiness {
	return &readiness{
		replica:        n,
		isolationLimit: s.Entry.IsolationLimit,
		drainTime:      s.Entry.DrainNotice + s.Entry.DrainLimit,
		now:            time.Now,
		unseen:         m.Unseen,
	}
}
