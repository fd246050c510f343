package notice_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/notice"
	"tarragonvalve.example/router/pacer"
)

// coldRouter is one of the routers that share the rate of a cold upstream.
type coldRouter struct {
	*notice.Registry
	// skew is how far its clock is ahead.
	skew    time.Duration
	stopped bool
	// upstream is the upstream as the router knows it.
	upstream *fleet.Upstream
	// permits are those of requests that were placed and not been sent.
	permits []notice.Permit
}

// send sends a request right before which the router checks the permit p, or takes one. It reports whether it was sent.
func (r *coldRouter) send(p notice.Permit, now time.Time) bool {
	now = now.Add(r.skew)
	if p.AllowsUpstream(r.upstream, now) {
		return true
	}
	_, ok := r.TakePermit(r.upstream, 0, now)
	return ok
}

// Routers with different clocks and any ranks start, stop, are cut off and disagree on their number, and an upstream turns
// cold while requests are under way to it. Guards against more requests in a second than the cold upstream tolerates, all
// routers together.
func TestColdPermits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			rate, routers   = 20.0, 29
			factor, surplus = 1.5, 5.0
			tick            = 20 * time.Millisecond
		)
		start := time.Unix(1_800_000_000, 0)
		now := start
		newRouter := func(known bool) *coldRouter {
			r := &coldRouter{Registry: notice.New(), upstream: upstream("u", 1), skew: time.Duration(rapid.IntRange(0, 10_000).Draw(t, "skew ms")) * time.Millisecond}
			r.upstream.ColdRate = rate
			if known {
				r.SetShare(pacer.Share{Rank: rapid.IntRange(0, 60).Draw(t, "rank"), Size: 1, Bound: routers})
			} else {
				// A router that starts, or starts cut off, takes itself for one of a few.
				r.SetShare(pacer.Share{Rank: 3, Size: 1})
			}
			return r
		}
		rs := make([]*coldRouter, routers)
		for i := range rs {
			rs[i] = newRouter(true)
		}
		coldFrom := start.Add(time.Hour)
		var sent []time.Time
		pass := func(d time.Duration, busy bool) {
			for end := now.Add(d); now.Before(end); now = now.Add(tick) {
				for _, r := range rs {
					if r.stopped || !busy {
						continue
					}
					p := notice.Permit{}
					if len(r.permits) > 0 {
						p, r.permits = r.permits[0], r.permits[1:]
					}
					for r.send(p, now) {
						p = notice.Permit{}
						if now.Before(coldFrom) {
							break
						}
						sent = append(sent, now)
					}
				}
			}
		}
		router := func() *coldRouter { return rs[rapid.IntRange(0, len(rs)-1).Draw(t, "router")] }
		turnCold := func() {
			if now.Before(coldFrom) {
				coldFrom = now
			}
			for _, r := range rs {
				c := *r.upstream
				c.ColdUntil = now.Add(r.skew).Add(time.Hour)
				r.upstream = &c
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"load":  func(t *rapid.T) { pass(time.Duration(rapid.IntRange(1, 1_500).Draw(t, "ms"))*time.Millisecond, true) },
			"pause": func(t *rapid.T) { pass(time.Duration(rapid.IntRange(1, 1_500).Draw(t, "ms"))*time.Millisecond, false) },
			"turn cold": func(*rapid.T) {
				turnCold()
			},
			"place a request": func(*rapid.T) {
				r := router()
				if p, ok := r.TakePermit(r.upstream, 300*time.Millisecond, now.Add(r.skew)); ok && len(r.permits) < 3 {
					r.permits = append(r.permits, p)
				}
			},
			"stop":         func(*rapid.T) { router().stopped = true },
			"be cut off":   func(*rapid.T) { router().SetShare(pacer.Share{Rank: 0, Size: 1, Bound: routers}) },
			"overestimate": func(*rapid.T) { router().SetShare(pacer.Share{Rank: 5, Size: 60, Bound: 60}) },
			"another rank": func(t *rapid.T) {
				router().SetShare(pacer.Share{Rank: rapid.IntRange(0, 60).Draw(t, "rank"), Size: 29, Bound: routers})
			},
			"expire": func(*rapid.T) { r := router(); r.Expire(now.Add(r.skew)) },
			"state a limit": func(*rapid.T) {
				r := router()
				r.RecordLimit(r.upstream.Incarnation(), notice.Limit{Rate: 40, At: now}, now)
			},
			"start": func(*rapid.T) {
				// A stopped router starts again: it has a share only once it knows the number.
				for i, r := range rs {
					if !r.stopped {
						continue
					}
					u := r.upstream
					rs[i] = newRouter(false)
					rs[i].upstream = u
					return
				}
			},
			"": func(t *rapid.T) {
				for k, s := range sent {
					end, _ := slices.BinarySearchFunc(sent, s.Add(time.Second), time.Time.Compare)
					if float64(end-k) > factor*rate+surplus {
						t.Fatalf("%d requests in the second from %s on, allowed %.0f", end-k, s.Sub(start), factor*rate+surplus)
					}
				}
			},
		})
	})
}

// Guards against a permit for a warm upstream that is used once it is cold, against the higher of two rates, and against
// requests to a cold upstream without a permit while the number of routers isn't known or the registry is full.
func TestColdPermit(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	cold := upstream("u", 1)
	cold.ColdRate, cold.ColdUntil = 20, now.Add(time.Minute)
	warm := upstream("u", 1)
	warm.ColdRate, warm.ColdUntil = 20, now.Add(-time.Minute)
	known := pacer.Share{Size: 1, Bound: 1}
	// count returns how many permits the registry gives out in 10 s.
	count := func(b *notice.Registry, u *fleet.Upstream) int {
		n := 0
		for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
			if _, ok := b.TakePermit(u, 0, now.Add(at)); ok {
				n++
			}
		}
		return n
	}
	tests := map[string]struct {
		upstream    *fleet.Upstream
		share       pacer.Share
		limit       float64
		least, most int
	}{
		"cold":                   {cold, known, 0, 195, 210},
		"lower limit":            {cold, known, 2, 18, 22},
		"higher limit":           {cold, known, 100, 195, 210},
		"warm":                   {warm, known, 0, 1000, 1000},
		"warm with a limit":      {warm, known, 2, 18, 24},
		"number isn't known":     {cold, pacer.Share{Size: 1}, 0, 0, 0},
		"warm, number not known": {warm, pacer.Share{Size: 1}, 0, 1000, 1000},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			b := notice.New()
			b.SetShare(c.share)
			if c.limit > 0 {
				b.RecordLimit(c.upstream.Incarnation(), notice.Limit{Rate: 2, At: now}, now)
				if c.limit != 2 {
					b.RecordLimit(c.upstream.Incarnation(), notice.Limit{Rate: 100, At: now.Add(1)}, now)
				}
			}
			_, limited := b.Availability(c.upstream, now).(notice.Limited)
			if want := c.most == 0; limited != want {
				t.Errorf("limited %v, want %v", limited, want)
			}
			if n := count(b, c.upstream); n < c.least || n > c.most {
				t.Errorf("%d permits in 10 s, want %d to %d", n, c.least, c.most)
			}
		})
	}
	b := notice.New()
	b.SetShare(known)
	b.RecordLimit(warm.Incarnation(), notice.Limit{Rate: 2, At: now}, now)
	if p, _ := b.TakePermit(warm, 0, now); !p.AllowsUpstream(warm, now) || p.AllowsUpstream(cold, now) {
		t.Error("a permit of the warm upstream counts while it is cold, or doesn't while it is warm")
	}
	full := notice.New()
	full.SetShare(known)
	for i := range 1024 {
		full.MarkLeaving(fleet.Incarnation{ID: "other", StartedMs: int64(i)}, now)
	}
	if n := count(full, cold); n > 0 {
		t.Errorf("%d permits that can't be recorded", n)
	}
}
