package place_test

import (
	"testing"
	"time"

	"tarragonvalve.example/router/place"
)

// Guards against a late router whose times make others avoid a sound upstream or revert its version, and against one that
// loses its own view of which upstreams are slow.
func TestLateTimesAreNotShared(t *testing.T) {
	us := upstreams(1)
	for name, c := range map[string]struct {
		started func(a *place.Attempt, now time.Time)
		shared  int
	}{
		"on time": {(*place.Attempt).ResponseStarted, 1},
		"late":    {(*place.Attempt).ResponseStartedLate, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := place.New("a")
			before, _ := b.Pick(us, engine(), start)
			now := start.Add(10 * before.Nominal)
			c.started(b.Start(before, start), now)
			b.RecordOutcome(us[0].ID, true, len(us), now)
			responses, successes := 0, 0
			for _, s := range b.DrainSamples() {
				responses, successes = responses+s.Responses, successes+s.Successes
			}
			if responses != c.shared || successes != 1 {
				t.Errorf("shared %d times and %d successes, want %d and 1", responses, successes, c.shared)
			}
			if after, _ := b.Pick(us, engine(), now); after.Delay <= before.Delay {
				t.Errorf("predicts %s after a slow response, %s before", after.Delay, before.Delay)
			}
		})
	}
}
