package uplink

import (
	"errors"
	"testing"
	"time"
)

const ms = time.Millisecond

// peer is a simulated connection.
type peer struct {
	// written is written in each interval before until, and at once at the start.
	written, atOnce int64
	until           int
	// acked is the most that is acknowledged in an interval.
	acked int64
	rtt   time.Duration
}

// simulate returns how a link stands after n intervals, and at how many of them it was full.
func simulate(stated float64, n int, ps ...peer) (State, int) {
	l := link{stated: stated}
	fs := make([]*flow, len(ps))
	now := time.Second
	var s State
	full := 0
	rs := make([]reading, len(ps))
	for i := range n {
		var sum step
		for k, p := range ps {
			if fs[k] == nil {
				fs[k] = &flow{}
				rs[k].sent, rs[k].rtt = p.atOnce, p.rtt
			}
			if i < p.until {
				rs[k].sent += p.written
			}
			rs[k].acked += min(p.acked, rs[k].sent-rs[k].acked)
			rs[k].queued = rs[k].sent - rs[k].acked
			x := fs[k].observe(now, rs[k])
			sum.acked += x.acked
			sum.prompt += x.prompt
			sum.late += x.late
			sum.held += x.held
		}
		s = l.observe(now, sum, fs)
		if s.Full() {
			full++
		}
		now += interval
	}
	return s, full
}

// many returns n peers like p, and then others.
func many(n int, p peer, others ...peer) []peer {
	var ps []peer
	for range n {
		ps = append(ps, p)
	}
	return append(ps, others...)
}

// Guards against a full link that is not known as such, and against a free one that counts as full because of long
// paths, or of peers that read slowly or not at all.
func TestLinkState(t *testing.T) {
	const always = 1000
	fast := peer{written: 8000, until: always, acked: 8000}
	tests := map[string]struct {
		stated float64
		peers  []peer
		n      int
		// full is how the link stands in the end, ever whether it was full at any time.
		full, ever bool
	}{
		"idle":                                  {0, nil, 20, false, false},
		"all is acknowledged":                   {0, many(20, fast), 40, false, false},
		"answers wait on many connections":      {0, many(20, peer{atOnce: 8000, acked: 1000}), 5, true, true},
		"a quarter of a second of it":           {0, many(20, peer{atOnce: 80_000, acked: 1000}), 5, true, true},
		"all answers have arrived":              {0, many(20, peer{atOnce: 8000, acked: 1000}), 40, false, true},
		"long answers, for long":                {0, many(20, peer{atOnce: 800_000, acked: 1000}), 60, true, true},
		"beside small ones that pass":           {0, many(20, peer{atOnce: 800_000, acked: 1000}, many(5, peer{written: 400, until: always, acked: 400})...), 60, true, true},
		"one peer that doesn't read":            {0, many(10, fast, peer{atOnce: 1 << 20}), 40, false, false},
		"only one peer, that reads slowly":      {0, []peer{{atOnce: 1 << 20, acked: 1000}}, 40, false, false},
		"several that read slowly, others fast": {0, many(10, fast, many(5, peer{atOnce: 1 << 20, acked: 5000})...), 40, false, false},
		"several that don't read":               {0, many(10, peer{atOnce: 1 << 20}), 40, false, false},
		"several that read a little":            {1_250_000, many(4, peer{atOnce: 1 << 20, acked: 250}), 40, false, false},
		"far peers":                             {0, many(10, peer{atOnce: 8000, acked: 4000, rtt: 200 * ms}), 8, false, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s, full := simulate(c.stated, c.n, c.peers...)
			if s.Full() != c.full || (full > 0) != c.ever {
				t.Errorf("full at the end: %v, want %v; at any time: want %v, got %d of %d samples", s.Full(), c.full, c.ever, full, c.n)
			}
			if !c.full && s.Delay() != 0 {
				t.Errorf("delay %s of a link that isn't full", s.Delay())
			}
		})
	}
}

// Guards against a rate of a full link that isn't the one at which peers acknowledge.
func TestLinkRate(t *testing.T) {
	s, _ := simulate(0, 20, many(20, peer{atOnce: 80_000, acked: 1000})...)
	if want := 20 * 1000 / interval.Seconds(); s.rate < 0.9*want || s.rate > 1.1*want {
		t.Errorf("rate %.0f, want %.0f", s.rate, want)
	}
}

// Guards against requests that are admitted although their answers would come too late, and against refusals that a
// short queue, a stream or a long time-out doesn't call for.
func TestAdmit(t *testing.T) {
	full := func(n int) State {
		s := State{rate: 400_000}
		for range n {
			s.queues = append(s.queues, 8000)
		}
		return s
	}
	tests := map[string]struct {
		state State
		need  Need
		// before is the number of requests admitted before, whose answers have not begun.
		before  int
		refused bool
	}{
		"free link":                      {State{}, Need{Route: "read", Left: 100 * ms}, 500, false},
		"short queue":                    {full(10), Need{Route: "read", Left: 1500 * ms}, 0, false},
		"long queue":                     {full(50), Need{Route: "read", Left: 1500 * ms}, 0, true},
		"long queue, more time":          {full(50), Need{Route: "read", Left: 10 * time.Second}, 0, false},
		"answers that are yet to come":   {full(10), Need{Route: "read", Left: 1500 * ms}, 40, true},
		"stream":                         {full(50), Need{Route: "chat", Stream: true, Left: 1500 * ms}, 0, false},
		"small answer":                   {full(50), Need{Route: "small", Left: 1500 * ms}, 0, false},
		"long body":                      {full(10), Need{Route: "small", Body: 400_000, Left: 1500 * ms}, 0, true},
		"body of unknown length":         {full(10), Need{Route: "small", Body: -1, Left: 1500 * ms}, 0, false},
		"route without an answer so far": {full(10), Need{Route: "new", Left: 1500 * ms}, 0, false},
		"no time left":                   {full(3), Need{Route: "read", Left: 0}, 0, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			b := &book{usual: map[string]float64{"read": 8000, "small": 300}}
			for range c.before {
				if _, err := b.admit(State{}, Need{Route: "read", Left: time.Second}); err != nil {
					t.Fatal(err)
				}
			}
			_, err := b.admit(c.state, c.need)
			var f *FullError
			if errors.As(err, &f) != c.refused || (err != nil) != c.refused {
				t.Errorf("got %v, refused: want %v", err, c.refused)
			}
		})
	}
}

// Guards against refusals, which are small, that lower the size of answers that is expected: the link would be overcommitted.
func TestUsualSize(t *testing.T) {
	b := &book{}
	for i, written := range []int64{8000, 300, 8000, 300} {
		x, err := b.admit(State{}, Need{Route: "read", Left: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		b.wrote(x, written)
		b.end(x, i%2 == 0)
	}
	if got := b.usual["read"]; got != 8000 {
		t.Errorf("usual size %.0f, want 8000", got)
	}
}

// Guards against requests that count as yet to be answered after their end, which would refuse all later ones.
func TestBookIsEvenAtTheEnd(t *testing.T) {
	b := &book{}
	for _, written := range [][]int64{{8000}, {100, 200}, {20_000, 20_000}, nil} {
		x, err := b.admit(State{}, Need{Route: "read", Left: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		for _, n := range written {
			b.wrote(x, n)
		}
		b.end(x, true)
		if b.load != (load{}) {
			t.Errorf("after %v: %+v left", written, b.load)
		}
	}
}
