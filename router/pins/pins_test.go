package pins_test

import (
	"testing"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/mirror"
	"tarragonvalve.example/router/pins"
)

// view returns a view with a roll-out to v2 in a phase, with a share of all sessions.
func view(p canary.Phase) *mirror.View {
	o := canary.Order{Service: "s", To: "v2", MaxDuration: time.Minute, Revision: 7, Origin: 7}
	return &mirror.View{
		Orders:   map[ident.ServiceID]canary.Order{"s": o},
		Progress: map[ident.ServiceID]mirror.ProgressChanged{"s": {Progress: canary.Progress{Service: "s", To: "v2", Order: 7, Phase: p, Share: ident.FullShare}}},
	}
}

// Guards against sessions that move although they began before the canary or while routers told each
// other of such sessions, and against sessions that never move.
func TestKeeps(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	before := func(r *pins.Registry) { r.Update(&mirror.View{}, at(-1)) }
	tests := map[string]struct {
		run  func(r *pins.Registry)
		want bool
	}{
		"roll-out not examined":        {before, true},
		"new session":                  {func(r *pins.Registry) { r.Update(view(canary.PhaseCanary), at(0)) }, false},
		"served before":                {func(r *pins.Registry) { r.Served("s", 1, "v1", at(-5)); r.Update(view(canary.PhaseCanary), at(0)) }, true},
		"served by the new one before": {func(r *pins.Registry) { r.Served("s", 1, "v2", at(-5)); r.Update(view(canary.PhaseCanary), at(0)) }, false},
		"ended before":                 {func(r *pins.Registry) { r.Served("s", 1, "v1", at(-9)); r.Update(view(canary.PhaseCanary), at(0)) }, false},
		"of another service":           {func(r *pins.Registry) { r.Served("x", 1, "v1", at(-5)); r.Update(view(canary.PhaseCanary), at(0)) }, false},
		"at once after the start":      {func(r *pins.Registry) { r.Update(view(canary.PhaseCanary), at(0)); r.Keeps("s", 7, 1, at(1)) }, true},
		"of another router": {func(r *pins.Registry) {
			r.Update(view(canary.PhaseCanary), at(0))
			r.Merge([]pins.Pinned{{Service: "s", Order: 7, Sessions: []pins.Session{1}}}, at(1))
		}, true},
		"of a router that saw it first": {func(r *pins.Registry) {
			r.Merge([]pins.Pinned{{Service: "s", Order: 7, Sessions: []pins.Session{1}}}, at(-1))
			r.Update(&mirror.View{}, at(-0.5))
			r.Update(view(canary.PhaseCanary), at(0))
		}, true},
		"of another order": {func(r *pins.Registry) {
			r.Update(view(canary.PhaseCanary), at(0))
			r.Merge([]pins.Pinned{{Service: "s", Order: 6, Sessions: []pins.Session{1}}}, at(1))
		}, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			r := pins.New()
			c.run(r)
			if got := r.Keeps("s", 7, 1, at(3)); got != c.want {
				t.Errorf("keeps %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against sessions that are passed on for ever, or kept after the canary.
func TestReportEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	r := pins.New()
	r.Served("s", 1, "v1", now)
	r.Update(view(canary.PhaseCanary), now)
	if n := len(r.Report(now.Add(time.Second))); n != 1 {
		t.Errorf("%d reports after a second, want 1", n)
	}
	if n := len(r.Report(now.Add(time.Minute))); n != 0 {
		t.Errorf("%d reports after a minute, want none", n)
	}
	r.Update(view(canary.PhaseShift), now.Add(time.Second))
	if n := len(r.Report(now.Add(time.Second))); n != 0 {
		t.Errorf("%d reports after the canary, want none", n)
	}
}
