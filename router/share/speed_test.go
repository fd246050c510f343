package share

import (
	"math"
	"testing"
	"time"

	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/place"
	"tarragonvalve.example/router/speed"
)

// Guards against fields of a summary, or the pace of a load, that are lost between routers, and against a message with more
// summaries than a router takes.
func TestSpeedEncoding(t *testing.T) {
	now := time.Unix(1000, 0)
	var ss []speed.Summary
	for i := range speed.MaxSummaries + 3 {
		ss = append(ss, speed.Summary{
			Origin: math.MaxUint64, Sequence: uint64(i + 1), Model: "small", Factor: 2, At: now.Add(-time.Second),
			Prompt: speed.Mean{Value: -4.5, Weight: 3}, Idle: speed.Mean{Value: 3, Weight: 1}, Running: speed.Mean{Value: 0.5, Weight: 2},
			Steps: []speed.BandMean{{Mean: speed.Mean{Value: 1.25, Weight: 4}, Band: 11}},
		})
	}
	sample := place.Sample{Upstream: "u1", HasLoad: true, Load: call.Load{Running: 3, Slots: 8, Pace: 250}, At: now, Speed: ss}
	got := decodeSamples(encodeSamples([]place.Sample{sample}, now), now)[0]
	if got.Load != sample.Load {
		t.Errorf("load %+v, want %+v", got.Load, sample.Load)
	}
	if len(got.Speed) != speed.MaxSummaries {
		t.Fatalf("%d summaries, want %d", len(got.Speed), speed.MaxSummaries)
	}
	for i, s := range got.Speed {
		w := ss[i]
		if s.Origin != w.Origin || s.Sequence != w.Sequence || s.Model != w.Model || s.Factor != w.Factor || !s.At.Equal(w.At) ||
			s.Prompt != w.Prompt || s.Idle != w.Idle || s.Running != w.Running || len(s.Steps) != 1 || s.Steps[0] != w.Steps[0] {
			t.Errorf("got %+v, want %+v", s, w)
		}
	}
}
