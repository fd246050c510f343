package place_test

import (
	"fmt"
	"testing"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/place"
)

func upstreams(n int) []*fleet.Upstream {
	var us []*fleet.Upstream
	for i := range n {
		us = append(us, &fleet.Upstream{
			ID: ident.UpstreamID(fmt.Sprintf("u%d", i)), Service: "llm", Slots: 64,
			Domain: ident.DomainID([]string{"a", "b", "c"}[i%3]),
		})
	}
	return us
}

func engine() place.Query {
	return place.Query{Domain: "a", Engine: true, Input: 2000, TokenTime: 0.3, Bytes: 3000}
}

var start = time.Unix(1000, 0)

// arrivals simulates n requests at intervals of gap and returns how many each upstream
// got. An upstream takes work for each request, 40 ms if it isn't in the map.
func arrivals(t *testing.T, us []*fleet.Upstream, q place.Query, n int, gap time.Duration, work map[ident.UpstreamID]time.Duration) map[ident.UpstreamID]int {
	t.Helper()
	type running struct {
		at *place.Attempt
		to time.Time
	}
	b := place.New("a")
	now := start
	var open []running
	got := map[ident.UpstreamID]int{}
	for range n {
		now = now.Add(gap)
		rest := open[:0]
		for _, r := range open {
			if r.to.After(now) {
				rest = append(rest, r)
				continue
			}
			r.at.ResponseStarted(r.to)
			r.at.End()
		}
		open = rest
		c, ok := b.Pick(us, q, now)
		if !ok {
			t.Fatal("no upstream")
		}
		got[c.Upstream.ID]++
		w := work[c.Upstream.ID]
		if w == 0 {
			w = 40 * time.Millisecond
		}
		open = append(open, running{b.Start(c, now), now.Add(w)})
	}
	return got
}

// One of the failure domain's three upstreams takes ten times longer under steady load.
// Guards against a slow upstream that keeps its share of the requests.
func TestSlowUpstream(t *testing.T) {
	us := upstreams(9)
	got := arrivals(t, us, engine(), 600, 10*time.Millisecond, map[ident.UpstreamID]time.Duration{"u0": 400 * time.Millisecond})
	if got["u0"] > 60 {
		t.Errorf("the slow upstream got %d of 600: %v", got["u0"], got)
	}
	if got["u3"]+got["u6"] < 300 {
		t.Errorf("the healthy upstreams of the domain got %d and %d of 600", got["u3"], got["u6"])
	}
}

// Requests arrive in one failure domain faster than its upstreams serve them. Guards
// against requests that stay in the overloaded domain and against ones that leave it
// without need.
func TestBurstSpillsOver(t *testing.T) {
	us := upstreams(9)
	lowLoad := arrivals(t, us, engine(), 200, 60*time.Millisecond, nil)
	if n := lowLoad["u0"] + lowLoad["u3"] + lowLoad["u6"]; n < 190 {
		t.Errorf("low load: %d of 200 stayed in the domain", n)
	}
	work := map[ident.UpstreamID]time.Duration{}
	for _, u := range us {
		work[u.ID] = 500 * time.Millisecond
	}
	burst := arrivals(t, us, engine(), 200, 2*time.Millisecond, work)
	if n := burst["u0"] + burst["u3"] + burst["u6"]; n > 150 {
		t.Errorf("burst: %d of 200 stayed in the domain", n)
	}
}

// Many requests share a long prefix. Guards against instances that send them to different
// upstreams, and against an owner of the prefix that gets them all although it is
// overloaded.
func TestPrefixOwner(t *testing.T) {
	us := upstreams(9)
	q := engine()
	q.PrefixKey, q.Cached, q.Input, q.TokenTime = "large/thing", 5000, 8000, 3
	first, ok := place.New("a").Pick(us, q, start)
	if !ok || !first.CacheHit {
		t.Fatalf("first choice %+v, want a cache hit", first)
	}
	for _, d := range []ident.DomainID{"b", "c"} {
		q.Domain = d
		if c, _ := place.New("a").Pick(us, q, start); c.Upstream != first.Upstream {
			t.Errorf("domain %s: owner %s, want %s", d, c.Upstream.ID, first.Upstream.ID)
		}
	}
	b := place.New("a")
	q.Domain = "a"
	atOwner := 0
	for range 12 {
		c, _ := b.Pick(us, q, start)
		b.Start(c, start)
		if c.Upstream == first.Upstream {
			atOwner++
		}
	}
	if atOwner < 2 || atOwner > 8 {
		t.Errorf("the owner got %d of 12 simultaneous requests, want 2 to 8", atOwner)
	}
	q.TokenTime, q.Cached, q.Input = 0.3, 200, 800
	if c, _ := place.New("a").Pick(us, q, start); c.Upstream.Domain != "a" {
		t.Error("a request with a short prefix left the domain")
	}
}

// Guards against requests to an upstream that is unresponsive, draining, already tried,
// refused by the caller or failing, and against no choice if all are unresponsive.
func TestUnusableUpstreams(t *testing.T) {
	us := upstreams(3)
	for i := range us {
		us[i].Domain = "a"
	}
	tests := map[string]func(b *place.Balancer, q *place.Query){
		"unresponsive": func(b *place.Balancer, _ *place.Query) { b.SetUnresponsive("u0", true) },
		"draining":     func(*place.Balancer, *place.Query) { us[0].Draining = true },
		"tried":        func(_ *place.Balancer, q *place.Query) { q.Exclude = []ident.UpstreamID{"u0"} },
		"refused": func(_ *place.Balancer, q *place.Query) {
			q.Accept = func(u *fleet.Upstream) bool { return u.ID != "u0" }
		},
		"failing": func(b *place.Balancer, _ *place.Query) {
			for range 5 {
				b.RecordOutcome("u0", false, 3, start)
			}
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			us[0].Draining = false
			b := place.New("a")
			q := engine()
			prepare(b, &q)
			for range 50 {
				c, ok := b.Pick(us, q, start)
				if !ok || c.Upstream.ID == "u0" {
					t.Fatalf("chose %+v", c.Upstream)
				}
				b.Start(c, start)
			}
		})
	}
	us[0].Draining = false
	b := place.New("a")
	for _, u := range us {
		b.SetUnresponsive(u.ID, true)
	}
	if _, ok := b.Pick(us, engine(), start); !ok {
		t.Error("no upstream was chosen although unresponsive ones are left")
	}
}

// Guards against requests to an upstream that reports a full load, and against a report
// that is still used after its lifetime.
func TestLoadReports(t *testing.T) {
	us := upstreams(2)
	us[1].Domain = "a"
	b := place.New("a")
	q := engine()
	c, _ := b.Pick(us, q, start)
	a := b.Start(c, start)
	a.ResponseStarted(start.Add(30 * time.Millisecond))
	a.LoadReported(call.Load{Running: 64, Waiting: 10, Slots: 64}, start)
	a.End()
	if d, _ := b.Pick(us, q, start.Add(time.Second)); d.Upstream == c.Upstream {
		t.Error("a full upstream was chosen")
	}
	d, _ := b.Pick(us, q, start.Add(time.Minute))
	if d.Cost > 100 {
		t.Errorf("an expired load report is still used: cost %.0f ms", d.Cost)
	}
}

// Thirty instances with equally old information about 40 upstreams see the same one
// slightly less loaded. Guards against all of them choosing that one.
func TestEqualInformationSpreads(t *testing.T) {
	us := upstreams(40)
	got := map[ident.UpstreamID]int{}
	for range 30 {
		b := place.New("a")
		var ss []place.Sample
		for i, u := range us {
			ss = append(ss, place.Sample{Upstream: u.ID, Load: call.Load{Running: min(i, 1), Slots: 64}, HasLoad: true, At: start})
		}
		b.MergeSamples(ss, start)
		c, ok := b.Pick(us, engine(), start)
		if !ok {
			t.Fatal("no upstream")
		}
		got[c.Upstream.ID]++
	}
	if got["u0"] > 15 {
		t.Errorf("%d of 30 instances chose the same upstream", got["u0"])
	}
	if len(got) < 5 {
		t.Errorf("only %d upstreams were chosen: %v", len(got), got)
	}
}

// Only one of many upstreams may be used, or only one is responsive. Guards against a
// random draw that misses it.
func TestOnlyUsableUpstreamFound(t *testing.T) {
	us := upstreams(200)
	q := engine()
	q.Accept = func(u *fleet.Upstream) bool { return u.ID == "u150" }
	if c, ok := place.New("a").Pick(us, q, start); !ok || c.Upstream.ID != "u150" {
		t.Errorf("got %+v, want the only permitted upstream", c.Upstream)
	}
	b := place.New("a")
	for _, u := range us {
		if u.ID != "u77" {
			b.SetUnresponsive(u.ID, true)
		}
	}
	if c, ok := b.Pick(us, engine(), start); !ok || c.Upstream.ID != "u77" {
		t.Errorf("got %+v, want the only responsive upstream", c.Upstream)
	}
}

// A prompt of 50,000 tokens arrives while all upstreams but one are busy. Guards against
// placing it behind other requests.
func TestLongPromptFindsIdle(t *testing.T) {
	us := upstreams(60)
	q := place.Query{Domain: "a", Engine: true, Input: 50_000, TokenTime: 3, Bytes: 3000}
	b := place.New("a")
	for _, u := range us {
		if u.ID != "u30" {
			b.Start(place.Choice{Upstream: u}, start)
		}
	}
	b.SetRemoteBacklog(backlog(us, "u30", 800), start)
	if c, _ := b.Pick(us, q, start); c.Upstream.ID != "u30" {
		t.Errorf("a long prompt went to %s, which is busy", c.Upstream.ID)
	}
}

// backlog returns the same backlog of other instances for all upstreams but the idle one.
func backlog(us []*fleet.Upstream, idle ident.UpstreamID, work float64) []place.Backlog {
	var bs []place.Backlog
	for _, u := range us {
		if u.ID != idle {
			bs = append(bs, place.Backlog{Upstream: u.ID, Work: work, Attempts: 1})
		}
	}
	return bs
}

// The upstream that holds a prompt's prefix is busy. Guards against processing the prefix
// again where it can be copied, and against copies from an upstream with another model
// version or between engines that can't copy.
func TestCopiedPrefix(t *testing.T) {
	us := upstreams(3)
	q := engine()
	q.PrefixKey, q.Cached, q.Input, q.TokenTime, q.CopyRate = "large/thing", 5000, 8000, 3, 3900
	prepare := func() *place.Balancer {
		b := place.New("a")
		first := place.Choice{Upstream: us[1]}
		for _, u := range us {
			if c, _ := b.Pick([]*fleet.Upstream{u}, q, start); u == us[1] {
				first = c
			}
		}
		a := b.Start(first, start)
		a.ResponseStarted(start)
		a.PromptProcessed(start)
		return b
	}
	b := prepare()
	if c, _ := b.Pick(us, q, start); c.Upstream != us[1] || !c.CacheHit || c.CopySource != nil {
		t.Errorf("idle holder: chose %s, cached %v", c.Upstream.ID, c.CacheHit)
	}
	b.SetRemoteBacklog([]place.Backlog{{Upstream: "u1", Work: 2000, Attempts: 3}}, start)
	c, _ := b.Pick(us, q, start)
	if c.Upstream == us[1] || c.CopySource != us[1] {
		t.Errorf("busy holder: chose %s, source %v", c.Upstream.ID, c.CopySource)
	}
	if c, _ := b.Pick(us, q, start.Add(time.Minute)); c.CopySource != nil {
		t.Error("a prefix that was processed a minute ago is copied")
	}
	q.CopyRate = 0
	if c, _ := b.Pick(us, q, start); c.CopySource != nil {
		t.Error("a prefix is copied between engines that can't copy")
	}
	q.CopyRate = 3900
	us[1].Version = "other"
	if c, _ := b.Pick(us, q, start); c.CopySource != nil {
		t.Error("a prefix is copied from another model version")
	}
}

// Ten of 60 upstreams fail all requests. Guards against a limit on ejected upstreams that
// is computed from the few that were compared instead of all of the service.
func TestManyFailing(t *testing.T) {
	us := upstreams(60)
	b := place.New("a")
	for range 5 {
		for _, u := range us[:10] {
			c, _ := b.Pick(us, engine(), start)
			b.RecordOutcome(u.ID, false, c.ServiceSize, start)
		}
	}
	for range 200 {
		c, ok := b.Pick(us, engine(), start)
		if !ok || c.Upstream.ID < "u10" && len(c.Upstream.ID) == 2 {
			t.Fatalf("a failing upstream was chosen: %s", c.Upstream.ID)
		}
	}
}

// Many of 103 routers send a long prompt before they receive each other's backlog,
// and all see the same few of 160 engines as the fastest. Guards against routers that all choose the
// same engine (site ilmek-nakis-large: a tenth of the design reviews were late).
func TestLongPromptsSpread(t *testing.T) {
	var us []*fleet.Upstream
	for i := range 160 {
		us = append(us, &fleet.Upstream{ID: ident.UpstreamID(fmt.Sprintf("u%d", i)), Service: "llm", Slots: 48, Domain: "a"})
	}
	sent := map[ident.UpstreamID]int{}
	for range 100 {
		b := place.New("a")
		var samples []place.Sample
		for i, u := range us {
			samples = append(samples, place.Sample{Upstream: u.ID, Responses: 20, LogSlowdown: 0.001 * float64(i), Domain: "a", At: start})
		}
		b.MergeSamples(samples, start)
		c, ok := b.Pick(us, place.Query{Domain: "a", Engine: true, Input: 20_000, TokenTime: 3}, start)
		if !ok {
			t.Fatal("no upstream chosen")
		}
		sent[c.Upstream.ID]++
	}
	for id, n := range sent {
		if n > 10 {
			t.Errorf("%d of 100 prompts went to %s", n, id)
		}
	}
}
