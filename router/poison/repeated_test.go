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
			for _, ps := range c.refused {
				if !s.refuses(ps...) {
					t.Errorf("%v is served", ps)
				}
			}
			for _, ps := range c.served {
				if s.refuses(ps...) {
					t.Errorf("%v is refused", ps)
				}
			}
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
