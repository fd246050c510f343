package panics

import (
	"testing"
	"time"
)

// Guards against a limit of stacks that never allows a place again, or that remembers places without a bound.
func TestStackLimiter(t *testing.T) {
	start := time.Unix(1000, 0)
	var l Stacks
	for i := range maxPlaces {
		if !l.allows(string(rune('a'+i)), start) {
			t.Fatalf("place %d not allowed", i)
		}
	}
	if l.allows("more", start) {
		t.Error("a place beyond the bound was allowed")
	}
	if l.allows("a", start.Add(stackInterval-1)) {
		t.Error("a place was allowed twice within the interval")
	}
	if !l.allows("a", start.Add(stackInterval)) || len(l.last) != 1 {
		t.Errorf("after the interval %d places are remembered, want the new one", len(l.last))
	}
}
