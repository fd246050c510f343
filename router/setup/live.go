package setup

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// reloadInterval is how often the settings are read again without a signal.
const reloadInterval = 2 * time.Second

// Live holds the settings in force. It is safe for concurrent use.
type Live struct {
	current atomic.Pointer[Settings]
	// signals carries requests to read the settings at once.
	signals <-chan os.Signal
	log     zerolog.Logger
}

// NewLive returns the settings in force at the start.
func NewLive(s *Settings, signals <-chan os.Signal, l zerolog.Logger) *Live {
	v := &Live{signals: signals, log: l}
	v.current.Store(s)
	return v
}

// Bounds returns the bounds in force.
func (v *Live) Bounds() Bounds {
	return v.current.Load().Bounds
}

// Name is the name of the step.
func (v *Live) Name() string { return "settings" }

// Run reads the settings again at each signal and at intervals until ctx ends.
func (v *Live) Run(ctx context.Context) error {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-v.signals:
			v.reload("signal")
		case <-t.C:
			v.reload("interval")
		}
	}
}

// reload replaces the bounds. Addresses and names stay as they are until a restart.
func (v *Live) reload(why string) {
	old := v.current.Load()
	s, err := old.again()
	if err != nil {
		v.log.Warn().Err(err).Str("why", why).Msg("settings not read, the old ones stay in force")
		return
	}
	if s.Bounds == old.Bounds && why != "signal" {
		return
	}
	next := *old
	next.Bounds = s.Bounds
	next.again = s.again
	v.current.Store(&next)
	v.log.Info().Str("why", why).Bool("changed", s.Bounds != old.Bounds).Msg("settings read again")
}
