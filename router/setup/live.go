package setup

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// reloadInterval is how often the settings are reloaded without a signal.
const reloadInterval = 2 * time.Second

// Live holds the settings in force and reloads them. It is safe for concurrent use.
type Live struct {
	current atomic.Pointer[Settings]
	// signals triggers a reload for each signal received.
	signals <-chan os.Signal
	log     zerolog.Logger
}

// NewLive returns a Live with the initial settings s. Run reloads them at each signal.
func NewLive(s *Settings, signals <-chan os.Signal, l zerolog.Logger) *Live {
	v := &Live{signals: signals, log: l}
	v.current.Store(s)
	return v
}

// Bounds returns the reloadable settings in force.
func (v *Live) Bounds() Bounds {
	return v.current.Load().Bounds
}

// Name implements serve.Component.
func (v *Live) Name() string { return "settings" }

// Run reloads the settings at each signal and at each reloadInterval until ctx ends. It
// always returns nil.
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

// reload reads the settings and replaces the bounds; the other settings change only by a
// restart. If they can't be read, the old ones stay in force. trigger is signal or interval.
func (v *Live) reload(trigger string) {
	old := v.current.Load()
	s, err := old.reread()
	if err != nil {
		v.log.Warn().Err(err).Str("why", trigger).Msg("settings not read, the old ones stay in force")
		return
	}
	if s.Bounds == old.Bounds && trigger != "signal" {
		return
	}
	next := *old
	next.Bounds = s.Bounds
	next.reread = s.reread
	v.current.Store(&next)
	v.log.Info().Str("why", trigger).Bool("changed", s.Bounds != old.Bounds).Msg("settings reloaded")
}
