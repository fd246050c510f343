package place_test

import (
	"testing"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/place"
)

// Load: upstreams of one service differ in speed, and some slow down before they are full. Guards against a request that is
// sent to an upstream as if it were as fast as the others, since it is idle or was not used for some time.
func TestUpstreamsOfDifferentSpeed(t *testing.T) {
	slow := func(factor float64) func(*fleet.Upstream, int) place.Speed {
		return func(u *fleet.Upstream, _ int) place.Speed {
			if u.ID == "u0" {
				return place.Speed{Factor: factor, Crowding: 1}
			}
			return place.Speed{Factor: 1, Crowding: 1}
		}
	}
	// knee makes work take 1.8 times as long from a number of running requests on.
	knee := func(from int) func(*fleet.Upstream, int) place.Speed {
		return func(_ *fleet.Upstream, running int) place.Speed {
			if running >= from {
				return place.Speed{Factor: 1, Crowding: 1.8}
			}
			return place.Speed{Factor: 1, Crowding: 1}
		}
	}
	long := place.Query{Domain: "a", Engine: true, Input: 24_000, StreamPause: 1200 * time.Millisecond}
	tests := map[string]struct {
		input int
		// rate is the learned prompt rate, in tokens per ms.
		rate  float64
		speed func(*fleet.Upstream, int) place.Speed
		// streams are the streams at u0.
		streams int
		want    ident.UpstreamID
	}{
		"nothing known":              {24_000, 0, nil, 0, "u0"},
		"idle, but slow":             {24_000, 0, slow(1.8), 0, "u1"},
		"slow, for a short prompt":   {300, 0, slow(1.3), 0, "u0"},
		"below the knee":             {2000, 0, knee(4), 3, "u0"},
		"beyond the knee":            {2000, 0, knee(3), 3, "u1"},
		"fast service":               {24_000, 250, nil, 2, "u0"},
		"service slower than usual":  {6000, 10, nil, 2, "u1"},
		"service as fast as assumed": {6000, 92, nil, 2, "u0"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			us := upstreams(2)
			b := place.New("a")
			stream(b, us[0], c.streams, start)
			q := long
			q.Input, q.PromptRate, q.Speed = ident.Tokens(c.input), c.rate, c.speed
			x, ok := b.Pick(us, q, start.Add(50*time.Millisecond))
			if !ok || x.Upstream.ID != c.want {
				t.Errorf("got %v, want %s", x.Upstream, c.want)
			}
			// Versions are compared by the nominal time, which must not depend on the upstream.
			if c.speed != nil && c.streams == 0 {
				q.Speed = nil
				y, _ := b.Pick(us[1:], q, start.Add(50*time.Millisecond))
				q.Speed = c.speed
				z, _ := b.Pick(us[:1], q, start.Add(50*time.Millisecond))
				if y.Nominal != z.Nominal {
					t.Errorf("nominal delay %s at the slow upstream, %s at another", z.Nominal, y.Nominal)
				}
			}
		})
	}
}

// Load: an upstream that is always slow gets few requests. Guards against one that counts as fast again whenever nothing
// was sent to it for some seconds, and against a slow spell that is remembered as lasting.
func TestSlowdownReturnsToUsual(t *testing.T) {
	us := upstreams(2)
	for name, c := range map[string]struct {
		usual float64
		want  ident.UpstreamID
	}{"always slow": {1.8, "u1"}, "slow for a moment": {1, "u0"}} {
		t.Run(name, func(t *testing.T) {
			b := place.New("a")
			q := engine()
			q.Input = 24_000
			now := start
			for range 20 {
				x, _ := b.Pick(us[:1], q, now)
				a := b.Start(x, now)
				now = now.Add(3 * x.Nominal)
				a.ResponseStarted(now)
				a.End()
			}
			if x, _ := b.Pick(us, q, now); x.Upstream.ID != "u1" {
				t.Errorf("right after the slow spell: got %s", x.Upstream.ID)
			}
			q.Speed = func(u *fleet.Upstream, _ int) place.Speed {
				if u.ID == "u0" {
					return place.Speed{Factor: c.usual, Crowding: 1}
				}
				return place.Speed{Factor: 1, Crowding: 1}
			}
			if x, _ := b.Pick(us, q, now.Add(time.Minute)); x.Upstream.ID != c.want {
				t.Errorf("a minute later: got %s, want %s", x.Upstream.ID, c.want)
			}
		})
	}
}
