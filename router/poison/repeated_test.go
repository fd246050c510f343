package poison_test

import (
	"testing"
	"time"

	"tarragonvalve.example/router/crash"
)

// Guards against a part of prompts that goes on crashing upstreams since each request with it is repeated: the request
// is quarantined after three crashes, which then no longer counted against the part, and the next request with the part
// needed three crashes of its own.
func TestPartHiddenByRepeatedRequests(t *testing.T) {
	const settled = 1100 * time.Millisecond
	tests := map[string]struct {
		run             func(s *scene)
		refused, served [][]string
	}{
		"two requests, three crashes each": {func(s *scene) {
			s.survive("a", "b")
			for range 2 {
				s.repeat(3, s.begun("a", "x"), "a", "b")
				s.survive("a", "b")
				s.wait(settled)
			}
		}, [][]string{{"a", "x"}, {"c", "x"}}, [][]string{{"a", "b"}, {"a"}}},
		"a third one after a verdict on the first": {func(s *scene) {
			s.survive("a", "b")
			s.repeat(3, s.begun("a", "x"), "a", "b")
			s.wait(settled)
			s.crash(s.begun("a", "x"))
			s.survive("a", "b")
			s.crash(s.begun("a", "x"))
		}, [][]string{{"a", "x"}, {"c", "x"}}, [][]string{{"a", "b"}, {"a"}}},
		"four crashes under one, the fifth under another": {func(s *scene) {
			s.survive("a", "b")
			s.repeat(4, s.begun("a", "x"), "a", "b")
			s.survive("a", "b")
			s.wait(settled)
			s.crash(s.begun("a", "x"), s.begun("a", "b"))
			s.survive("a", "b")
		}, [][]string{{"a", "x"}, {"c", "x"}}, [][]string{{"a", "b"}, {"a"}}},
		"crashes before an answer, all other parts known": {func(s *scene) {
			s.survive("a", "b")
			for range 2 {
				s.repeat(3, s.waiting("a", "x"), "a", "b")
				s.wait(settled)
			}
		}, [][]string{{"a", "x"}, {"c", "x"}}, [][]string{{"a", "b"}, {"a"}}},
		"all parts unknown": {func(s *scene) {
			for range 2 {
				s.repeat(3, s.begun("a", "x"), "a", "b")
				s.wait(settled)
			}
			s.survive("a", "b")
		}, [][]string{{"a", "x"}, {"c", "x"}}, [][]string{{"a", "b"}, {"a"}}},
		"beside sound requests that are repeated too": {func(s *scene) {
			s.survive("a", "b")
			for range 3 {
				x, y, z := s.begun("a", "x"), s.begun("a", "b"), s.begun("a", "b")
				for range 3 {
					s.crash(x, y, z)
				}
				s.survive("a", "b")
				s.wait(settled)
			}
		}, [][]string{{"a", "x"}, {"c", "x"}}, [][]string{{"a", "b"}, {"a"}}},
		"pairs at the same upstreams": {func(s *scene) {
			s.survive("a", "b")
			for range 4 {
				p, q := s.begun("a", "x"), s.begun("a", "x")
				for range 3 {
					s.crash(p, q, s.begun("a", "b"))
				}
				s.survive("a", "b")
				s.wait(settled)
			}
		}, [][]string{{"a", "x"}, {"c", "x"}}, [][]string{{"a", "b"}, {"a"}}},
		"one request alone": {func(s *scene) {
			s.survive("a", "b")
			s.repeat(6, s.begun("a", "x"), "a", "b")
			s.survive("a", "b")
		}, nil, [][]string{{"a", "x"}, {"c", "x"}, {"a", "b"}}},
		"another part beside a request that crashes upstreams": {func(s *scene) {
			s.survive("a", "b")
			x := s.begun("a", "x")
			s.crash(x)
			for range 2 {
				s.crash(x, s.begun("a", "y"))
				s.survive("a", "b")
			}
			s.wait(settled)
			for range 2 {
				s.crash(x, s.begun("a", "y"))
				s.survive("a", "b")
			}
		}, nil, [][]string{{"a", "y"}, {"c", "y"}, {"a", "b"}}},
		"two requests that share a part which is survived": {func(s *scene) {
			for range 2 {
				s.repeat(3, s.begun("a", "x"), "a", "b")
				s.survive("a", "b")
				s.survive("a", "x")
				s.wait(settled)
			}
		}, nil, [][]string{{"a", "x"}, {"a", "b"}}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScene()
			c.run(s)
			s.wait(settled)
			s.checkRefusals(t, c.refused, c.served)
		})
	}
}

// repeat reports the crashes of n upstreams under one request that is repeated, beside a sound one.
func (s *scene) repeat(n int, x crash.Suspect, sound ...string) {
	for range n {
		s.crash(x, s.begun(sound...))
	}
}

// Two routers each see a part of the crashes. Guards against a router that doesn't relate a request to its parts in
// another's report, so that a verdict on the request takes the crashes from its part.
func TestPartHiddenByRepeatsAtOtherRouters(t *testing.T) {
	a, b := newScene(), newScene()
	b.n = 1000
	a.survive("a", "b")
	for i := range 2 {
		a.repeat(3, a.begun("a", "x"), "a", "b")
		a.survive("a", "b")
		b.now = a.now
		b.Merge(a.Report(a.now), b.now)
		a.wait(1100 * time.Millisecond)
		b.wait(1100 * time.Millisecond)
		if i == 0 && b.refuses("c", "x") {
			t.Error("the part is refused after one request")
		}
	}
	if !b.refuses("c", "x") {
		t.Error("the other router serves the part")
	}
	if b.refuses("a", "b") {
		t.Error("the other router refuses a sound part")
	}
}

// Guards against a verdict on repeated requests after fewer crashes than the users count, and none after as many.
func TestCrashesOfRepeatedRequests(t *testing.T) {
	for n, want := range map[int]bool{1: false, 2: true} {
		s := newScene()
		s.survive("a", "b")
		for _, k := range []int{3, n} {
			s.repeat(k, s.begun("a", "y"), "a", "b")
			s.survive("a", "b")
			s.wait(1100 * time.Millisecond)
		}
		if s.refuses("c", "y") != want {
			t.Errorf("%d crashes under two requests: refused %v", 3+n, !want)
		}
	}
}

// Guards against a verdict on repeated requests that a late report of a survival doesn't withdraw.
func TestLateReportOfRepeatedRequests(t *testing.T) {
	const each, arrives = 100 * time.Millisecond, 200 * time.Millisecond
	s := newScene()
	s.survive("a", "b")
	p, q := s.begun("a", "y"), s.begun("a", "y")
	var rs []lateReport
	for i, x := range []crash.Suspect{p, p, p, q, q} {
		rs = append(rs, lateReport{s.crashAt(time.Duration(i)*each, x), arrives})
	}
	late := s.survivedAt(-5*time.Second, "y")
	s.receive(rs, 2500*time.Millisecond)
	if !s.refuses("c", "y") {
		t.Error("not refused before the late report")
	}
	s.Merge(late, s.now)
	s.receive(nil, 2*time.Second)
	if s.refuses("c", "y") {
		t.Error("refused after the late report")
	}
}
