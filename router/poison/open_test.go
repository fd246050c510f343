package poison_test

import (
	"fmt"
	"testing"
	"time"
)

// openSettled is the time after which a verdict is due.
const openSettled = 1100 * time.Millisecond

// Guards against a part that was survived within the last minute, then crashes each upstream, and is never found as its
// requests are repeated: their contents explain all crashes under a known part.
func TestKnownPartHiddenByRepeats(t *testing.T) {
	s := newScene()
	s.survive("a", "b")
	s.survive("a", "x")
	for range 6 {
		s.repeat(3, s.begun("a", "x"), "a", "b")
		s.survive("a", "b")
		s.wait(openSettled)
	}
	if !s.refuses("c", "x") {
		t.Error("served after 18 crashes in a row under 6 requests")
	}
}

// Guards against a part that crashes upstreams before the first byte, beside first parts that nobody knows, and is found
// only after five different requests of three crashes each.
func TestWaitingPartBesideUnknownParts(t *testing.T) {
	s := newScene()
	s.survive("a", "b")
	for i := range 4 {
		s.repeat(3, s.waiting(fmt.Sprint("c", i), "x"), "a", "b")
		s.survive("a", "b")
		s.wait(openSettled)
	}
	if !s.refuses("d", "x") {
		t.Error("served after 12 crashes under 4 requests")
	}
}

// Guards against a part that isn't found after crashes that a quarantine explains, since they count among those of which it
// must explain a third.
func TestPartAfterExplainedCrashes(t *testing.T) {
	s := newScene()
	s.survive("a", "b")
	for i := range 5 {
		s.repeat(3, s.begun("a", fmt.Sprint("e", i)), "a", "b")
		s.survive("a", "b")
		s.wait(openSettled)
	}
	for range 5 {
		s.crash(s.begun("a", "y"))
		s.survive("a", "b")
	}
	s.wait(openSettled)
	if !s.refuses("c", "y") {
		t.Error("served after 5 crashes under 5 requests")
	}
}
