package notice_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/notice"
)

// Guards against a limit that outlasts its end, and against one that a delayed response or an old
// statement from another instance sets or ends.
func TestLimitOrder(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	limited := func(s int) notice.Limit { return notice.Limit{Rate: 2, At: at(s)} }
	lifted := func(s int) notice.Limit { return notice.Limit{Lifted: true, At: at(s)} }
	tests := map[string]struct {
		statements []notice.Limit
		want       int
	}{
		"no limit":                       {[]notice.Limit{lifted(1)}, 0},
		"limit":                          {[]notice.Limit{lifted(1), limited(2)}, 1},
		"limit ends":                     {[]notice.Limit{limited(2), lifted(3)}, 0},
		"request sent before":            {[]notice.Limit{limited(2), lifted(1)}, 1},
		"old statement after the end":    {[]notice.Limit{limited(2), lifted(4), limited(3)}, 0},
		"limit starts again":             {[]notice.Limit{limited(2), lifted(4), limited(5)}, 1},
		"the limit is stated repeatedly": {[]notice.Limit{limited(2), limited(4), lifted(3)}, 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			b := notice.New()
			u := upstream("u", 1)
			for _, l := range c.statements {
				b.RecordLimit(u.Incarnation(), l, at(6))
			}
			if got := b.LimitedCount(); got != c.want {
				t.Errorf("%d upstreams with a limit, want %d", got, c.want)
			}
			b.Expire(at(3600))
			if got := b.LimitedCount(); got != 0 {
				t.Error("an hour later the limit still holds")
			}
		})
	}
}

// Guards against a permit that is used too early, after it ran out while the process was paused, or
// for another incarnation.
func TestPermitAllows(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := upstream("u", 1)
	u := v.Incarnation()
	b := notice.New()
	b.RecordLimit(u, notice.Limit{Rate: 0.5, At: now}, now)
	p, ok := b.TakePermit(v, time.Minute, now)
	if !ok {
		t.Fatal("no permit within a minute at a request in two seconds")
	}
	tests := map[string]struct {
		incarnation fleet.Incarnation
		at          time.Time
		want        bool
	}{
		"in its time":       {u, p.From.Add(time.Second), true},
		"too early":         {u, p.From.Add(-time.Millisecond), false},
		"after a pause":     {u, p.Until.Add(time.Millisecond), false},
		"other incarnation": {upstream("u", 2).Incarnation(), p.From, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if got := p.Allows(c.incarnation, c.at); got != c.want {
				t.Errorf("allowed %v, want %v", got, c.want)
			}
		})
	}
	if d := p.Until.Sub(p.From); d > 3*time.Second {
		t.Errorf("the permit holds for %s, longer than a second and an interval", d)
	}
}

// statement is what an upstream stated to some instance, and when.
type statement struct {
	limited bool
	at      time.Time
}

// Upstreams state limits to instances and withdraw them, instances exchange statements late, restart
// and forget, and upstreams restart under their id. Guards against an instance that, of all
// statements that it heard, doesn't follow the newest one about that incarnation, and against
// instances that set each other's limits again and again.
func TestLimitInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		bs := []*notice.Registry{notice.New(), notice.New(), notice.New()}
		// heard holds the newest statement that each instance heard of each incarnation.
		heard := []map[fleet.Incarnation]statement{{}, {}, {}}
		hear := func(i int, u fleet.Incarnation, s statement) {
			if s.at.After(heard[i][u].at) {
				heard[i][u] = s
			}
		}
		// inFlight are messages that have been made and not been received.
		var inFlight [][]notice.StatedLimit
		draw := func() (int, fleet.Incarnation) {
			u := upstream(rapid.SampledFrom([]string{"u1", "u2"}).Draw(t, "upstream"), rapid.Int64Range(1, 2).Draw(t, "born"))
			return rapid.IntRange(0, len(bs)-1).Draw(t, "instance"), u.Incarnation()
		}
		t.Repeat(map[string]func(*rapid.T){
			"state a limit": func(*rapid.T) {
				i, u := draw()
				bs[i].RecordLimit(u, notice.Limit{Rate: 2, At: now}, now)
				hear(i, u, statement{true, now})
			},
			"answer without a limit": func(*rapid.T) {
				i, u := draw()
				sent := now.Add(-time.Duration(rapid.IntRange(0, 4_000).Draw(t, "ms ago")) * time.Millisecond)
				bs[i].RecordLimit(u, notice.Limit{Lifted: true, At: sent}, now)
				hear(i, u, statement{false, sent})
			},
			"send a message": func(*rapid.T) {
				i, _ := draw()
				inFlight = append(inFlight, bs[i].RecentLimits(now))
			},
			"receive a message": func(*rapid.T) {
				if len(inFlight) == 0 {
					return
				}
				k := rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")
				i, _ := draw()
				bs[i].MergeLimits(inFlight[k], now)
				for _, l := range inFlight[k] {
					hear(i, l.Upstream, statement{!l.Lifted, l.At})
				}
				if rapid.Bool().Draw(t, "only once") {
					inFlight = append(inFlight[:k], inFlight[k+1:]...)
				}
			},
			"restart": func(*rapid.T) {
				i, _ := draw()
				bs[i], heard[i] = notice.New(), map[fleet.Incarnation]statement{}
			},
			"time": func(*rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3_000).Draw(t, "ms")) * time.Millisecond)
			},
			"expire": func(*rapid.T) {
				for _, b := range bs {
					b.Expire(now)
				}
			},
			"": func(t *rapid.T) {
				for i, b := range bs {
					for u, s := range heard[i] {
						if got := b.HasLimit(u); got != s.limited {
							t.Fatalf("instance %d, %v: limit %v, want %v by the statement of %s", i, u, got, s.limited, s.at)
						}
					}
				}
			},
		})
	})
}
