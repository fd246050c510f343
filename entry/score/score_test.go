package score_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/entry/score"
)

var now = time.Unix(1000, 0)

func fleet(n int) []*score.Upstream {
	out := make([]*score.Upstream, 0, n)
	for i := range n {
		out = append(out, &score.Upstream{
			ID:          ident.UpstreamID(fmt.Sprintf("u%03d", i)),
			Delay:       time.Duration(i%3) * 500 * time.Microsecond,
			Slots:       8,
			Running:     i % 8,
			InputRate:   4000,
			OutputRate:  40,
			StatusAt:    now,
			Outstanding: &score.Outstanding{},
		})
	}
	return out
}

// Guards against picking an ejected or already tried upstream while another one is
// eligible.
func TestPickHonoursExclusion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		us := fleet(rapid.IntRange(1, 60).Draw(t, "fleet"))
		r := score.Request{Input: 100, Output: 100, Seed: rapid.Uint64().Draw(t, "seed")}
		eligible := 0
		for _, u := range us {
			switch rapid.IntRange(0, 2).Draw(t, "state") {
			case 0:
				u.Ejected = true
			case 1:
				r.Exclude = append(r.Exclude, u.ID)
			default:
				eligible++
			}
		}
		c, ok := score.Pick(us, r, now)
		if eligible > 0 && (!ok || c.Upstream.Ejected) {
			t.Fatalf("picked %+v with %d eligible upstreams", c.Upstream, eligible)
		}
		for _, x := range r.Exclude {
			if ok && c.Upstream.ID == x {
				t.Fatalf("picked excluded upstream %s", x)
			}
		}
	})
}

// Guards against a prompt that is sent away from the upstream with its cached prefix
// although all are equally loaded.
func TestPickPrefersCachedPrefix(t *testing.T) {
	us := fleet(8)
	for _, u := range us {
		u.Running = 0
		u.Delay = 0
	}
	us[5].Prefixes = map[uint64]struct{}{42: {}}
	c, ok := score.Pick(us, score.Request{
		Input: 4000, Output: 10, Prefixes: []uint64{42}, PrefixTokens: 3000, FirstTokenWeight: 0.5,
	}, now)
	if !ok || c.Upstream.ID != us[5].ID {
		t.Fatalf("picked %v, want %s", c.Upstream, us[5].ID)
	}
}

// Guards against herding: while statuses don't change, the entry's own outstanding
// work must spread the picks over the upstreams instead of all going to the one that
// was least loaded.
func TestPickSpreadsUnderStaleReports(t *testing.T) {
	const seed, requests = 5, 160
	t.Logf("seed %d", seed)
	r := rand.New(rand.NewPCG(seed, 1))
	us := fleet(20)
	for _, u := range us {
		u.Running = 4
	}
	us[0].Running = 0
	got := map[ident.UpstreamID]int{}
	for range requests {
		c, _ := score.Pick(us, score.Request{Input: 500, Output: 100, Seed: r.Uint64()}, now)
		c.Upstream.Outstanding.Start(500)
		got[c.Upstream.ID]++
	}
	most := 0
	for _, n := range got {
		most = max(most, n)
	}
	if most > 3*requests/len(us) {
		t.Errorf("one upstream got %d of %d requests over %d upstreams", most, requests, len(us))
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 150, 600, 2400} {
		b.Run(fmt.Sprintf("fleet-%d", n), func(b *testing.B) {
			us := fleet(n)
			r := score.Request{Input: 500, Output: 200, Prefixes: []uint64{1, 2, 3}, PrefixTokens: 64}
			b.ReportAllocs()
			for i := range b.N {
				r.Seed = uint64(i)
				if _, ok := score.Pick(us, r, now); !ok {
					b.Fatal("no choice")
				}
			}
		})
	}
}
