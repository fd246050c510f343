package admit_test

import (
	"testing"
	"time"

	"tarragonvalve.example/router/admit"
)

const ms = time.Millisecond

// leave is n requests, one each 5 ms from a time on, that have waited.
type leave struct {
	from   time.Duration
	n      int
	waited time.Duration
}

// Guards against refusals by a router on time, and against a queue that stands and isn't noticed, or is gone and still
// refuses.
func TestQueue(t *testing.T) {
	tests := map[string]struct {
		leaves []leave
		at     time.Duration
		want   bool
	}{
		"no request":                        {nil, 0, false},
		"on time":                           {[]leave{{0, 100, 5 * ms}}, 500 * ms, false},
		"a processor's share":               {[]leave{{0, 100, 75 * ms}}, 500 * ms, false},
		"one pause":                         {[]leave{{0, 10, 300 * ms}, {50 * ms, 40, ms}}, 250 * ms, false},
		"queued for less than the interval": {[]leave{{0, 20, 300 * ms}}, 100 * ms, false},
		"queued":                            {[]leave{{0, 22, 80 * ms}}, 110 * ms, true},
		"few, far apart":                    {[]leave{{0, 1, 80 * ms}, {100 * ms, 1, 80 * ms}, {200 * ms, 1, 80 * ms}}, 201 * ms, false},
		"some fresh":                        {[]leave{{0, 22, 80 * ms}, {110 * ms, 4, ms}, {130 * ms, 4, 80 * ms}}, 150 * ms, true},
		"fresh for less than the hold":      {[]leave{{0, 22, 80 * ms}, {110 * ms, 190, ms}}, 1100 * ms, true},
		"gone":                              {[]leave{{0, 22, 80 * ms}, {110 * ms, 200, ms}}, 1105 * ms, false},
		"one pause after that":              {[]leave{{0, 22, 80 * ms}, {3000 * ms, 5, 80 * ms}}, 3030 * ms, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			var q admit.Queue
			for _, l := range c.leaves {
				for i := range l.n {
					q.Add(start.Add(l.from+time.Duration(i)*5*ms), l.waited)
				}
			}
			if got := q.Standing(start.Add(c.at)); got != c.want {
				t.Errorf("standing %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against refusals without a standing queue, of fresh requests, or of preferred ones before others.
func TestTakes(t *testing.T) {
	tests := map[string]struct {
		standing  bool
		waited    time.Duration
		preferred bool
		want      bool
	}{
		"long wait, no queue":        {false, time.Second, false, true},
		"fresh":                      {true, 75 * ms, false, true},
		"queued":                     {true, 76 * ms, false, false},
		"queued, preferred":          {true, 300 * ms, true, true},
		"queued for long, preferred": {true, 301 * ms, true, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if got := admit.Takes(c.standing, c.waited, c.preferred); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against requests that are taken and answered late, and against refusals of what would be in time.
func TestInTime(t *testing.T) {
	tests := map[string]struct {
		left, fastest, waited, lateness time.Duration
		want                            bool
	}{
		"time over":                   {0, 0, 0, 0, false},
		"on time, little left":        {10 * ms, 5 * ms, 0, 0, true},
		"route takes longer, on time": {10 * ms, 11 * ms, 75 * ms, 75 * ms, true},
		"route takes longer, late":    {100 * ms, 60 * ms, 76 * ms, 76 * ms, false},
		"back as late as it came in":  {500 * ms, 60 * ms, 450 * ms, 800 * ms, false},
		"process on time again":       {500 * ms, 60 * ms, 450 * ms, 20 * ms, true},
		"came in on time":             {500 * ms, 60 * ms, 20 * ms, 800 * ms, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if got := admit.InTime(c.left, c.fastest, c.waited, c.lateness); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against routers that aren't ready for an eighth of the time, in which users count a duty as missed, for longer
// than 2 s at a time, or after a short queue.
func TestPause(t *testing.T) {
	for _, random := range []float64{0, 0.5, 0.999} {
		var p admit.Pause
		const step, end = 10 * ms, 200 * time.Second
		var paused, longest, run time.Duration
		for past := time.Duration(0); past < end; past += step {
			now := time.Unix(1000, 0).Add(past)
			p.Update(now, true, random)
			if !p.Paused(now) {
				run = 0
				continue
			}
			if past < time.Second {
				t.Fatalf("random %g: paused after %s", random, past)
			}
			paused += step
			run += step
			longest = max(longest, run)
		}
		if paused == 0 || paused >= end/8 || longest > 2*time.Second+step {
			t.Errorf("random %g: paused for %s of %s, at most %s at a time", random, paused, end, longest)
		}
	}
}

// Guards against a router that is on time again and still says that it isn't ready, and against a queue that didn't last
// and has one pause later.
func TestPauseEnds(t *testing.T) {
	start := time.Unix(1000, 0)
	var p admit.Pause
	p.Update(start, true, 0)
	p.Update(start.Add(1200*ms), true, 0)
	if !p.Paused(start.Add(1200 * ms)) {
		t.Fatal("not paused")
	}
	p.Update(start.Add(1300*ms), false, 0)
	if p.Paused(start.Add(1300 * ms)) {
		t.Error("paused without a queue")
	}
	p.Update(start.Add(1400*ms), true, 0)
	if p.Paused(start.Add(1400 * ms)) {
		t.Error("paused at the begin of a queue")
	}
}
