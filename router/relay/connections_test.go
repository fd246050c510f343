package relay

import (
	"testing"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/routes"
)

// Guards against routers that together open many times more connections than an upstream
// accepts, and against an instance's share of 0, which would mean no limit.
func TestMaxConnections(t *testing.T) {
	tests := map[string]struct{ accepted, instances, want int }{
		"few instances":       {370, 5, 46},
		"minInstances":        {370, 8, 46},
		"many instances":      {510, 32, 47},
		"more than accepted":  {100, 301, 1},
		"no limit":            {0, 32, 0},
		"only instance known": {370, 1, 46},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			d := &routes.Document{Services: map[ident.ServiceID]routes.Service{"s": {ID: "s", MaxConnections: c.accepted}}}
			x := &request{Relay: New(Options{Size: func() int { return c.instances }}), Job: &Job{Document: d}, service: "s"}
			got := x.maxConnections()
			if got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
			if c.accepted > 0 && c.instances <= c.accepted && got*c.instances > overcommit*c.accepted {
				t.Errorf("%d instances open %d connections, %d are accepted", c.instances, got*c.instances, c.accepted)
			}
		})
	}
}
