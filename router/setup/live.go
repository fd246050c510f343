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

// settleTime is how long changed settings must stay the same before they come into force: a file that is being
// written may be valid, with a bound missing or a number half written.
const settleTime = 250 * time.Millisecond

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
	settle := time.NewTimer(settleTime)
	settle.Stop()
	defer settle.Stop()
	var c candidate
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-v.signals:
			c.signalled = true
		case <-t.C:
		case <-settle.C:
		}
		c = v.reload(c, time.Now())
		if !c.since.IsZero() {
			settle.Reset(settleTime)
		}
	}
}

// candidate holds bounds that were read and are not in force yet.
type candidate struct {
	bounds Bounds
	// since is when they were first read; it is zero if there are none.
	since time.Time
	// signalled is true if a signal asked for the reload.
	signalled bool
}

// trigger returns what asked for the reload.
func (c candidate) trigger() string {
	if c.signalled {
		return "signal"
	}
	return "interval"
}

// reload reads the settings and replaces the bounds once they have been the same for settleTime; the other settings
// change only by a restart. If they can't be read, the old ones stay in force. It takes the present candidate
// and returns the next one.
func (v *Live) reload(c candidate, now time.Time) candidate {
	old := v.current.Load()
	s, err := old.reread()
	if err != nil {
		v.log.Warn().Err(err).Str("why", c.trigger()).Msg("settings not read, the old ones stay in force")
		return candidate{}
	}
	if s.Bounds == old.Bounds {
		if c.signalled {
			v.log.Info().Str("why", c.trigger()).Bool("changed", false).Msg("settings reloaded")
		}
		return candidate{}
	}
	if c.since.IsZero() || c.bounds != s.Bounds {
		return candidate{bounds: s.Bounds, since: now, signalled: c.signalled}
	}
	if now.Sub(c.since) < settleTime {
		return c
	}
	next := *old
	next.Bounds = s.Bounds
	next.reread = s.reread
	v.current.Store(&next)
	v.log.Info().Str("why", c.trigger()).Bool("changed", true).Msg("settings reloaded")
	return candidate{}
}
