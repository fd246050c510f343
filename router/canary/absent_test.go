package canary_test

import (
	"testing"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/fleet"
)

// list returns a list of one upstream of the service llm for each version.
func list(versions ...fleet.Version) *fleet.List {
	us := map[ident.UpstreamID]*fleet.Upstream{}
	for _, v := range versions {
		us[ident.UpstreamID(v)] = &fleet.Upstream{ID: ident.UpstreamID(v), Service: "llm", Version: v}
	}
	return fleet.New(us)
}

// Incident EXPOSURE: guards against a new version that replaces an old one whose upstreams are only
// restarting, and against a service that is refused for ever since its old version is gone.
func TestMayReplace(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		// before and after are the versions that are listed before and from start on; before is
		// empty for an instance that starts then.
		before, after []fleet.Version
		// absent is the time since start, age that since the canary began; a negative one stands
		// for an order that no instance has started.
		absent, age time.Duration
		phase       canary.Phase
		want        bool
	}{
		"restart":                       {[]fleet.Version{"v1", "v2"}, []fleet.Version{"v2"}, 9 * time.Second, 15 * time.Second, canary.PhaseCanary, false},
		"long absence in the time":      {[]fleet.Version{"v1", "v2"}, []fleet.Version{"v2"}, 15 * time.Second, 19 * time.Second, canary.PhaseCanary, false},
		"the time is over":              {[]fleet.Version{"v1", "v2"}, []fleet.Version{"v2"}, 11 * time.Second, 20 * time.Second, canary.PhaseCanary, true},
		"found bad, in the time":        {[]fleet.Version{"v1", "v2"}, []fleet.Version{"v2"}, 15 * time.Second, 19 * time.Second, canary.PhaseReverted, false},
		"found bad, the time is over":   {[]fleet.Version{"v1", "v2"}, []fleet.Version{"v2"}, 11 * time.Second, time.Hour, canary.PhaseReverted, true},
		"restart after the time":        {[]fleet.Version{"v1", "v2"}, []fleet.Version{"v2"}, 9 * time.Second, time.Hour, canary.PhaseReverted, false},
		"instance has just started":     {nil, []fleet.Version{"v2"}, 9 * time.Second, 15 * time.Second, canary.PhaseCanary, false},
		"never seen by this instance":   {nil, []fleet.Version{"v2"}, 10 * time.Second, 15 * time.Second, canary.PhaseCanary, true},
		"order never started":           {[]fleet.Version{"v1", "v2"}, []fleet.Version{"v2"}, 19 * time.Second, -1, canary.PhaseCanary, false},
		"order never started, for long": {[]fleet.Version{"v1", "v2"}, []fleet.Version{"v2"}, 20 * time.Second, -1, canary.PhaseCanary, true},
		"present":                       {[]fleet.Version{"v2"}, []fleet.Version{"v1", "v2"}, time.Hour, time.Hour, canary.PhaseReverted, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := canary.NewPresence()
			orders := map[ident.ServiceID]canary.Order{"llm": order}
			if c.before != nil {
				p.Update(orders, list(c.before...), start.Add(-time.Minute))
			}
			p.Update(orders, list(c.after...), start)
			var x *canary.Progress
			if c.age >= 0 {
				x = progress(c.phase)
			}
			a := p.OldAbsence(order, start.Add(c.absent))
			if got := a.MayReplace(order, x, 100*time.Second+c.age); got != c.want {
				t.Errorf("absent for %s: %v, want %v", a.Duration, got, c.want)
			}
		})
	}
}
