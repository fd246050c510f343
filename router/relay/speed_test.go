package relay

import (
	"testing"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/events"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/place"
	"tarragonvalve.example/router/speed"
)

// Guards against streams whose times aren't observed, and against times that don't belong to the upstream: of events that
// arrived together, of a late process, of continued streams and of plain services.
func TestIntervals(t *testing.T) {
	tests := map[string]struct {
		late    time.Duration
		resumes bool
		plain   bool
		more    []bool // whether further events had arrived, by event
		want    uint64
	}{
		"stream":         {more: []bool{false, false, false}, want: 3},
		"events at once": {more: []bool{false, true, false}, want: 2},
		"late process":   {late: time.Second, more: []bool{false, false}},
		"continued":      {resumes: true, more: []bool{false, false}, want: 1},
		"plain service":  {plain: true, more: []bool{false, false}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			u := &fleet.Upstream{ID: "u1", Service: "llm", Slots: 48}
			r := speed.NewRegistry()
			r.UpdateUpstreams(fleet.New(map[ident.UpstreamID]*fleet.Upstream{u.ID: u}))
			began := time.Now().Add(-50 * time.Millisecond)
			r.Reported(u.ID, call.Load{Running: 4, Slots: 48}, time.Now())
			o := &attempt{
				request:   &request{Relay: New(Options{Speed: r, Lateness: func() time.Duration { return c.late }})},
				placement: place.New("a").Start(place.Choice{Upstream: u}, began), resumes: c.resumes, promptTokens: 2368,
			}
			if !c.plain {
				o.target = speed.Target{Service: "llm", Upstream: u.ID, Model: "small", Slots: 48}
			}
			var i intervals
			for k, more := range c.more {
				time.Sleep(time.Millisecond)
				i.eventReceived(o, events.Event{ID: uint64(9 * (k + 1)), HasID: true}, more)
			}
			if n := r.Stats(time.Now()).Observations; n != c.want {
				t.Errorf("%d observations, want %d", n, c.want)
			}
		})
	}
}
