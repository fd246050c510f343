package place_test

import (
	"testing"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/place"
)

// stream lets an upstream begin responses to n requests, which then send events.
func stream(b *place.Balancer, u *fleet.Upstream, n int, now time.Time) {
	for range n {
		a := b.Start(place.Choice{Upstream: u, Nominal: 30 * time.Millisecond}, now)
		a.ResponseStarted(now.Add(30 * time.Millisecond))
	}
}

// Load: long prompts arrive while upstreams stream to unequal numbers of clients. Guards against streams that pause for
// longer than their route allows since a long prompt was placed beside them, although another upstream had few
// streams and a little more work.
func TestLongPromptBesideStreams(t *testing.T) {
	const long, short = 24_000, 500
	tests := map[string]struct {
		query place.Query
		// streams are the streams at each upstream, loads what it reports.
		streams []int
		loads   map[int]call.Load
		// waiting is the number of upstreams from the first one on at which a prompt of 300 ms waits.
		waiting int
		want    ident.UpstreamID
	}{
		"few streams before no work": {place.Query{Domain: "a", Engine: true, Input: long}, []int{8, 8, 1}, nil, 0, "u2"},
		"few streams with a prompt that waits": {
			place.Query{Domain: "a", Engine: true, Input: long}, []int{0, 8, 8}, nil, 1, "u0",
		},
		"few streams in another failure domain": {place.Query{Domain: "a", Engine: true, Input: long}, []int{6, 6, 6, 6, 0}, nil, 0, "u4"},
		"streams of other instances": {
			place.Query{Domain: "a", Engine: true, Input: long}, []int{0, 0, 2}, map[int]call.Load{0: {Running: 9}, 1: {Running: 9}, 2: {Running: 2}}, 0, "u2",
		},
		"short prompt stays in its failure domain": {place.Query{Domain: "a", Engine: true, Input: short}, []int{3, 0, 0}, nil, 0, "u0"},
		"short prompt after a long one":            {place.Query{Domain: "a", Engine: true, Input: short}, []int{0, 2, 2}, nil, 1, "u1"},
		"small model":                              {place.Query{Domain: "a", Engine: true, Input: 6000, TokenTime: 0.1}, []int{3, 0, 0}, nil, 0, "u0"},
		"streams that bear long pauses": {
			place.Query{Domain: "a", Engine: true, Input: 12_000, StreamPause: 20 * time.Second}, []int{2, 0, 0}, nil, 0, "u0",
		},
		"streams that bear short pauses": {
			place.Query{Domain: "a", Engine: true, Input: 12_000, StreamPause: 400 * time.Millisecond}, []int{2, 0, 0}, nil, 0, "u1",
		},
		"plain service": {place.Query{Domain: "a", PlainWork: 900}, []int{3, 0, 0}, nil, 0, "u0"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			us := upstreams(len(c.streams))
			b := place.New("a")
			now := start
			for i, n := range c.streams {
				stream(b, us[i], n, now)
				if i < c.waiting {
					x := place.Query{Domain: us[i].Domain, Engine: true, Input: 300 * 92}
					y, ok := b.Pick(us[i:i+1], x, now)
					if !ok {
						t.Fatal("no upstream")
					}
					b.Start(y, now)
				}
				if l, ok := c.loads[i]; ok {
					a := b.Start(place.Choice{Upstream: us[i]}, now)
					a.LoadReported(l, now)
					a.End()
				}
			}
			if c.query.StreamPause == 0 {
				c.query.StreamPause = 1200 * time.Millisecond
			}
			x, ok := b.Pick(us, c.query, now.Add(50*time.Millisecond))
			if !ok || x.Upstream.ID != c.want {
				t.Errorf("got %v, want %s", x.Upstream, c.want)
			}
		})
	}
}
