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
		full      bool
		waited    time.Duration
		preferred bool
		want      bool
	}{
		"long wait, no queue":        {false, false, time.Second, false, true},
		"fresh":                      {true, false, 75 * ms, false, true},
		"queued":                     {true, false, 76 * ms, false, false},
		"queued, preferred":          {true, true, 300 * ms, true, true},
		"queued for long, preferred": {true, true, 301 * ms, true, false},
		"fresh, no room":             {true, true, 0, false, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if got := admit.Takes(c.standing, c.full, c.waited, c.preferred); got != c.want {
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

// Guards against a bound on open requests that refuses without a queue, keeps what the process answers in time away, or
// lets requests wait in the process.
func TestFlow(t *testing.T) {
	tests := map[string]struct {
		standing bool
		// answers begin in the last second, each usual after its request was taken.
		answers int
		usual   time.Duration
		open    int
		lateFor time.Duration
		want    bool
	}{
		"no queue":               {false, 99, 100 * ms, 1000, 499 * ms, false},
		"late for long":          {false, 99, 100 * ms, 1000, 500 * ms, true},
		"nothing known":          {true, 0, 0, 5, 0, false},
		"few":                    {true, 1, 10 * ms, 15, 0, false},
		"answered in time":       {true, 499, 100 * ms, 149, 0, false},
		"more than that":         {true, 499, 100 * ms, 150, 0, true},
		"slow upstreams":         {true, 19, 5 * time.Second, 103, 0, false},
		"more than slow ones do": {true, 19, 5 * time.Second, 104, 0, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var f admit.Flow
			start := time.Unix(1000, 0)
			for i := range c.answers {
				f.Answered(start.Add(time.Duration(i)*time.Second/time.Duration(c.answers)), c.usual)
			}
			f.Update(start.Add(999*ms-c.lateFor), c.standing, 80*ms)
			f.Update(start.Add(999*ms), c.standing, 80*ms)
			f.Answered(start.Add(999*ms), c.usual)
			if got := f.Full(start.Add(999*ms), c.open); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
