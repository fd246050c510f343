package mirror

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/routes"
)

// Guards against an upstream that counts as warm while its entry is on its way, that stays cold although it says
// otherwise, or whose next incarnation inherits the state, and against a limit where the configuration states none.
func TestColdUntil(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	entry := func(born int64, remaining time.Duration) Change {
		return UpstreamChanged{Upstream: &fleet.Upstream{ID: "u", Service: "s", StartedMs: born}, ColdRemaining: remaining}
	}
	type read struct {
		at     time.Duration
		change Change
	}
	tests := map[string]struct {
		reads []read
		rate  call.Rate
		// cold is how long after the first read the upstream is cold; 0 if it isn't.
		cold time.Duration
	}{
		"no time":                   {[]read{{0, entry(1, 0)}}, 20, 0},
		"cold":                      {[]read{{0, entry(1, 10*time.Second)}}, 20, 11800 * time.Millisecond},
		"written again":             {[]read{{0, entry(1, 10*time.Second)}, {time.Second, entry(1, 9*time.Second)}}, 20, 11800 * time.Millisecond},
		"written late":              {[]read{{0, entry(1, 10*time.Second)}, {3 * time.Second, entry(1, 9*time.Second)}}, 20, 13800 * time.Millisecond},
		"warm before the time":      {[]read{{0, entry(1, 10*time.Second)}, {time.Second, entry(1, 0)}}, 20, 2800 * time.Millisecond},
		"warm at the time":          {[]read{{0, entry(1, time.Second)}, {2 * time.Second, entry(1, 0)}}, 20, 2800 * time.Millisecond},
		"warm, written again":       {[]read{{0, entry(1, 10*time.Second)}, {time.Second, entry(1, 0)}, {2 * time.Second, entry(1, 0)}}, 20, 2800 * time.Millisecond},
		"cold again":                {[]read{{0, entry(1, time.Second)}, {time.Minute, entry(1, 0)}, {2 * time.Minute, entry(1, time.Second)}}, 20, 2*time.Minute + 2800*time.Millisecond},
		"restarted":                 {[]read{{0, entry(1, 10*time.Second)}, {time.Second, entry(2, 0)}}, 20, 0},
		"gone":                      {[]read{{0, entry(1, 10*time.Second)}, {time.Second, UpstreamRemoved{ID: "u"}}, {2 * time.Second, entry(1, 0)}}, 20, 0},
		"no rate in the service":    {[]read{{0, entry(1, 10*time.Second)}}, 0, 0},
		"changed by another change": {[]read{{0, entry(1, 10*time.Second)}, {time.Second, EvacuationStarted{Domain: "d", Revision: 1}}}, 20, 11800 * time.Millisecond},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			n := New(nil, nil, func() time.Duration { return 0 }, zerolog.New(io.Discard))
			s := newStoreState()
			s.apply(DocumentChanged{Document: &routes.Document{Generation: 1, Services: map[ident.ServiceID]routes.Service{"s": {ID: "s", ColdRate: c.rate}}}}, 0)
			for _, r := range c.reads {
				n.applyUpdate(s, update{topic: TopicUpstreams, changes: []Change{r.change}, readAt: now.Add(r.at)})
			}
			u := s.view().Fleet.All()["u"]
			last := c.reads[len(c.reads)-1].at
			if cold, want := u.Cold(now.Add(max(c.cold-1, last))), c.cold > 0; cold != want {
				t.Errorf("cold %v before %s, want %v", cold, c.cold, want)
			}
			if u.Cold(now.Add(c.cold)) && c.cold > 0 {
				t.Errorf("still cold after %s", c.cold)
			}
		})
	}
}

// Guards against a line for each heartbeat of a cold upstream, and against a beginning or an end without one.
func TestColdLogs(t *testing.T) {
	var logs bytes.Buffer
	n := New(nil, nil, func() time.Duration { return 0 }, zerolog.New(&logs))
	s := newStoreState()
	s.apply(DocumentChanged{Document: &routes.Document{Generation: 1, Services: map[ident.ServiceID]routes.Service{"s": {ID: "s", ColdRate: 20}}}}, 0)
	now := time.Unix(1_800_000_000, 0)
	cold := map[ident.UpstreamID]bool{}
	count := func(want string) {
		t.Helper()
		got := fmt.Sprint(strings.Count(logs.String(), "upstream listed"), " ", strings.Count(logs.String(), "upstream is cold"), " ", strings.Count(logs.String(), "upstream is no longer cold"))
		if got != want {
			t.Errorf("%s lines for listed, cold and warm, want %s", got, want)
		}
	}
	for i := range 6 {
		left := max(4*time.Second-time.Duration(i)*time.Second, 0)
		n.applyUpdate(s, update{topic: TopicUpstreams, readAt: now, changes: []Change{UpstreamChanged{Upstream: &fleet.Upstream{ID: "u", Service: "s", StartedMs: 1}, ColdRemaining: left}}})
		n.publish(s)
		n.logCold(cold, now)
		now = now.Add(time.Second)
	}
	count("1 1 0")
	if got := n.View().ColdCount(now.Add(-time.Second)); got != 1 {
		t.Errorf("%d cold upstreams, want 1", got)
	}
	now = now.Add(coldMargin)
	n.logCold(cold, now)
	n.logCold(cold, now)
	count("1 1 1")
	if got := n.View().ColdCount(now); got != 0 {
		t.Errorf("%d cold upstreams, want 0", got)
	}
}
