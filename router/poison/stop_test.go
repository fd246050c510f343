package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/crash"
	"tarragonvalve.example/router/fleet"
)

type noAttempts struct{}

func (noAttempts) CancelWaiting(func(crash.Prompt) bool, error) {}

// Guards against a quarantine that a stopped router decides on before it has read the reports of others, which show that
// upstreams survived the part, and against one that comes later than before while the router runs on time.
func TestJudgementOfStoppedRouter(t *testing.T) {
	const part = crash.Part(7)
	for name, c := range map[string]struct {
		// stop is how long the router is stopped just after the crashes; report is whether another router's report, read
		// after that, shows that upstreams survive the part.
		stop   time.Duration
		report bool
		want   int
	}{
		"on time":                     {decideInterval, false, 1},
		"on time, survived elsewhere": {decideInterval, true, 0},
		"0.3 s, survived elsewhere":   {300 * time.Millisecond, true, 0},
		"1 s, survived elsewhere":     {time.Second, true, 0},
		"5 s, survived elsewhere":     {5 * time.Second, true, 0},
		"5 s":                         {5 * time.Second, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			x := &Component{Registry: New(zerolog.Nop()), Attempts: noAttempts{}, work: clock.NewWork(now)}
			step := func(d time.Duration) int {
				now = now.Add(d)
				x.step(now)
				return x.Count()
			}
			step(decideInterval)
			for i := range begunCrashes {
				u := fleet.Incarnation{ID: ident.UpstreamID(fmt.Sprint("u", i)), StartedMs: 1}
				x.mu.Lock()
				x.evidence.suspect(Suspicion{Part: part, Upstream: u, Request: crash.RequestHash(i), Began: true, At: now}, now)
				x.mu.Unlock()
			}
			crashed := now
			if step(c.stop) > 0 {
				t.Error("quarantined before the reports of others could be read")
			}
			if c.report {
				x.Merge(Report{Survived: []SurvivedPart{{Part: part, At: crashed.Add(time.Millisecond)}}}, now)
			}
			steps := int(fewDelay / decideInterval)
			for i := range steps + 1 {
				if n := step(decideInterval); n > 0 && i < steps-2 {
					t.Errorf("quarantined %s after the stop", now.Sub(crashed)-c.stop)
				}
			}
			if x.Count() != c.want {
				t.Errorf("%d quarantines, want %d", x.Count(), c.want)
			}
		})
	}
}
