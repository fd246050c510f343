package gossip

import (
	"testing"
	"time"

	"tarragonvalve.example/router/pacer"
)

// Guards against a router that takes a larger share of a cold upstream than the number of routers allows: before it knows
// the number, while it is cut off, by the number of a peer that has just started, and by one side of a cut.
func TestBoundOfRouters(t *testing.T) {
	type step struct {
		// at is the time since the start.
		at time.Duration
		// stated is the number that a peer states; 0 means that it states none. count is the own one.
		stated, count int
		want          int
	}
	tests := map[string]struct {
		root   bool
		others bool
		steps  []step
	}{
		"starts":                        {false, false, []step{{0, 0, 1, 0}, {time.Second, 29, 1, 0}, {4 * time.Second, 29, 1, 0}, {6 * time.Second, 29, 1, 29}}},
		"starts cut off":                {false, false, []step{{0, 0, 1, 0}, {time.Minute, 0, 1, 0}, {time.Hour, 0, 1, 0}}},
		"is cut off":                    {false, false, []step{{0, 29, 1, 0}, {6 * time.Second, 29, 1, 29}, {time.Minute, 0, 1, 29}, {5 * time.Hour, 0, 1, 29}}},
		"root restarts":                 {false, false, []step{{0, 29, 1, 0}, {6 * time.Second, 29, 1, 29}, {20 * time.Second, 10, 1, 29}, {40 * time.Second, 10, 1, 29}}},
		"one side of a cut":             {false, false, []step{{0, 29, 1, 0}, {6 * time.Second, 29, 1, 29}, {10 * time.Minute, 15, 15, 29}, {59 * time.Minute, 15, 15, 29}}},
		"fewer routers for long":        {false, false, []step{{0, 29, 1, 0}, {6 * time.Second, 29, 1, 29}, {62 * time.Minute, 8, 8, 8}}},
		"more routers":                  {false, false, []step{{0, 29, 1, 0}, {6 * time.Second, 29, 1, 29}, {7 * time.Second, 30, 1, 30}}},
		"more routers while cut off":    {false, false, []step{{0, 2, 1, 0}, {6 * time.Second, 2, 1, 2}, {time.Minute, 0, 5, 5}}},
		"root":                          {true, true, []step{{0, 0, 1, 0}, {2 * time.Second, 0, 20, 0}, {5 * time.Second, 0, 29, 29}}},
		"root whom nobody asks":         {true, true, []step{{0, 0, 1, 0}, {5 * time.Second, 0, 1, minRouters}, {2 * time.Hour, 0, 1, minRouters}}},
		"only router of the deployment": {true, false, []step{{0, 0, 1, 0}, {5 * time.Second, 0, 1, 1}}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1_800_000_000, 0)
			p := ranking{startedAt: start, root: c.root}
			if c.others {
				p.leastBound = minRouters
			}
			for _, s := range c.steps {
				now := start.Add(s.at)
				if s.stated > 0 {
					// The peer stated the number before too, but for the first time.
					p.set(pacer.Share{Rank: 3, Size: s.stated}, now)
				}
				if got := p.ownShare(s.count, now).Bound; got != s.want {
					t.Errorf("after %s: at most %d routers, want %d", s.at, got, s.want)
				}
			}
		})
	}
}
