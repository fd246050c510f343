package front

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/router/clock"
	"tarragonvalve.example/router/mirror"
)

// Guards against a shutdown whose end moves with settings that change meanwhile: SIGKILL follows by those at SIGTERM.
func TestGracePeriodOfShutdown(t *testing.T) {
	grace := 8 * time.Second
	g := NewGate(mirror.New(nil, nil, clock.Boot, zerolog.Nop()), clock.Boot, func() time.Duration { return time.Second }, func() time.Duration { return grace })
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
