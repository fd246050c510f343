package poison_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/crash"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/poison"
)

// lateReport is a report that arrives some time after the start of a scene.
type lateReport struct {
	poison.Report
	arrives time.Duration
}

// receive merges reports as they arrive and judges the evidence ten times a second until d has passed.
func (s *scene) receive(rs []lateReport, d time.Duration) {
	const interval = 100 * time.Millisecond
	start := s.now
	rs = slices.Clone(rs)
	slices.SortStableFunc(rs, func(a, b lateReport) int { return int(a.arrives - b.arrives) })
	for s.now.Sub(start) < d {
		for len(rs) > 0 && rs[0].arrives <= s.now.Sub(start) {
			s.Merge(rs[0].Report, s.now)
			rs = rs[1:]
		}
		s.wait(interval)
	}
}

// crashAt returns the report of an upstream that crashed some time after the start with requests in progress.
func (s *scene) crashAt(d time.Duration, xs ...crash.Suspect) poison.Report {
	s.n++
	u := fleet.Incarnation{ID: ident.UpstreamID(fmt.Sprint("u", s.n)), StartedMs: 1}
	var r poison.Report
	for _, x := range xs {
		for _, p := range x.Parts {
			r.Suspicions = append(r.Suspicions, poison.Suspicion{Part: p, Upstream: u, Request: x.Request, Began: x.Began, At: s.now.Add(d)})
		}
	}
	return r
}

// survivedAt returns the report that an upstream survived answers with parts that began some time after the start.
func (s *scene) survivedAt(d time.Duration, shared ...string) poison.Report {
	var r poison.Report
	parts := s.prompt(shared...).Parts
	for _, p := range parts {
		r.Survived = append(r.Survived, poison.SurvivedPart{Part: p, At: s.now.Add(d)})
	}
	return r
}

// Reports of other routers arrive after a judgement that needed them. Guards against a sound part that stays
// refused for as long as a quarantine lasts, although the evidence no longer supports it, and against a part that
// crashes upstreams and isn't found since its reports were late.
func TestLateReports(t *testing.T) {
	const late, second = 2500 * time.Millisecond, time.Second
	tests := map[string]struct {
		// prompt, if it is not nil, are the reports that arrive at once, delayed those that arrive late.
		prompt, delayed func(s *scene) []poison.Report
		refused, served [][]string
	}{
		"survived before the crashes": {func(s *scene) []poison.Report {
			return []poison.Report{s.crashAt(0, s.begun("a", "b")), s.crashAt(second/10, s.begun("a", "b")), s.crashAt(second/5, s.begun("a", "b"))}
		}, func(s *scene) []poison.Report {
			return []poison.Report{s.survivedAt(-5*second, "a", "b")}
		}, nil, [][]string{{"a", "b"}}},
		"power failure": {func(s *scene) []poison.Report {
			return []poison.Report{s.crashAt(0, s.begun("a", "b")), s.crashAt(second/10, s.begun("a", "b")), s.crashAt(second/5, s.begun("a", "b"))}
		}, func(s *scene) []poison.Report {
			var rs []poison.Report
			for i := range 8 {
				rs = append(rs, s.crashAt(second/10, s.begun(fmt.Sprint("c", i), fmt.Sprint("d", i))))
			}
			return rs
		}, nil, [][]string{{"a", "b"}}},
		"all crashes of a part": {nil, func(s *scene) []poison.Report {
			return []poison.Report{s.crashAt(0, s.begun("a", "x")), s.crashAt(second/10, s.begun("b", "x")), s.crashAt(second/5, s.begun("c", "x"))}
		}, [][]string{{"a", "x"}, {"d", "x"}}, [][]string{{"a", "b"}}},
		"a crash before those of a power failure": {func(s *scene) []poison.Report {
			rs := []poison.Report{s.crashAt(0, s.begun("a", "x")), s.crashAt(second/10, s.begun("b", "x"))}
			for i := range 12 {
				rs = append(rs, s.crashAt(2*second, s.begun(fmt.Sprint("c", i), fmt.Sprint("d", i))))
			}
			return rs
		}, func(s *scene) []poison.Report {
			return []poison.Report{s.crashAt(second/5, s.begun("c", "x"))}
		}, [][]string{{"a", "x"}, {"d", "x"}}, [][]string{{"c1", "d1"}}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScene()
			var rs []lateReport
			if c.prompt != nil {
				for _, r := range c.prompt(s) {
					rs = append(rs, lateReport{r, 200 * time.Millisecond})
				}
			}
			for _, r := range c.delayed(s) {
				rs = append(rs, lateReport{r, late})
			}
			s.receive(rs, late+1200*time.Millisecond)
			s.checkRefusals(t, c.refused, c.served)
		})
	}
}

// world draws what happens to some upstreams: reports by the time at which the first router has them.
func (s *scene) world(t *rapid.T, parts []string) []lateReport {
	const span = 3000 // ms
	at := func(label string) time.Duration {
		return time.Duration(rapid.IntRange(0, span).Draw(t, label)) * time.Millisecond
	}
	var rs []lateReport
	for range rapid.IntRange(3, 12).Draw(t, "crashes") {
		var xs []crash.Suspect
		for range rapid.IntRange(1, 3).Draw(t, "requests") {
			first, second := rapid.SampledFrom(parts).Draw(t, "first"), rapid.SampledFrom(parts).Draw(t, "second")
			xs = append(xs, crash.Suspect{Prompt: s.prompt(first, second), Began: rapid.Bool().Draw(t, "began")})
		}
		d := at("crash")
		// Routers have different requests at an upstream and notice its crash at different times.
		for _, x := range s.crashAt(d, xs...).Suspicions {
			noticed := d + time.Duration(rapid.IntRange(0, 500).Draw(t, "noticed"))*time.Millisecond
			x.At = s.now.Add(noticed)
			rs = append(rs, lateReport{poison.Report{Suspicions: []poison.Suspicion{x}}, noticed})
		}
	}
	for _, p := range parts {
		if rapid.Bool().Draw(t, "survived") {
			d := at("survival")
			rs = append(rs, lateReport{s.survivedAt(d, p), d})
		}
	}
	return rs
}

// checkSame fails the test if two routers don't refuse the same requests.
func checkSame(t *rapid.T, parts []string, s, o *scene) {
	t.Helper()
	for _, p := range parts {
		for _, q := range parts {
			if a, b := s.refuses(p, q), o.refuses(p, q); a != b {
				t.Fatalf("%s,%s is refused: %t with prompt reports, %t with late ones", p, q, a, b)
			}
		}
	}
}

// Two routers get the same reports with different delays, in any order. Guards against outcomes that depend on which
// reports had arrived when a part was judged first.
func TestOrderOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most, settled = 4000, 9 * time.Second // most in ms
		parts := []string{"a", "b", "x", "y"}
		prompt, late := newScene(), newScene()
		rs := prompt.world(t, parts)
		late.n = prompt.n
		var delayed []lateReport
		for _, r := range rs {
			delayed = append(delayed, lateReport{r.Report, r.arrives + time.Duration(rapid.IntRange(0, most).Draw(t, "delay"))*time.Millisecond})
		}
		prompt.receive(rs, settled)
		late.receive(delayed, settled)
		checkSame(t, parts, prompt, late)
	})
}

// Three routers have a part of the evidence each and exchange it, with what they found, after long pauses. Guards
// against a quarantine by a part of the evidence that the routers go on telling each other.
func TestExchangesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const interval, settled, most = 100 * time.Millisecond, 9 * time.Second, 15 // most in intervals
		parts := []string{"a", "b", "x", "y"}
		all, routers := newScene(), []*scene{newScene(), newScene(), newScene()}
		rs := all.world(t, parts)
		owned := make([][]lateReport, len(routers))
		for _, r := range rs {
			i := rapid.IntRange(0, len(routers)-1).Draw(t, "router")
			owned[i] = append(owned[i], r)
		}
		next := make([]int, len(routers))
		for n := range int(settled / interval) {
			at := time.Duration(n) * interval
			for i, s := range routers {
				for _, r := range owned[i] {
					if r.arrives >= at && r.arrives < at+interval {
						s.Merge(r.Report, s.now)
					}
				}
				if i > 0 && n >= next[i] {
					next[i] = n + rapid.IntRange(1, most).Draw(t, "pause")
					own := s.Report(s.now)
					s.Merge(routers[0].Report(s.now), s.now)
					routers[0].Merge(own, s.now)
				}
				s.wait(interval)
			}
		}
		all.receive(rs, settled)
		for _, s := range routers {
			s.n = all.n
			checkSame(t, parts, all, s)
		}
	})
}
