package link

import (
	"fmt"
	"testing"
	"time"
)

// Guards against an upstream whose connections are closed after each answer for ever, and against
// an address that is forgotten while it still sends bytes that belong to no answer.
func TestSuspects(t *testing.T) {
	s := suspects{}
	start := time.Now()
	s.add("a", start)
	s.add("a", start.Add(excessMemory/2))
	if !s.takeReport("a", start) || s.takeReport("a", start.Add(excessMemory)) {
		t.Error("not reported once")
	}
	tests := map[string]struct {
		after time.Duration
		want  bool
	}{
		"at once":                 {0, true},
		"after the first sight":   {excessMemory, true},
		"before the end":          {excessMemory/2 + excessMemory - 1, true},
		"excessMemory after both": {excessMemory/2 + excessMemory, false},
	}
	for name, c := range tests {
		if got := s.has("a", start.Add(c.after)); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
	later := start.Add(2 * excessMemory)
	s.prune(later)
	if len(s) != 0 {
		t.Errorf("%d addresses are kept after their time", len(s))
	}
	s.add("a", later)
	if !s.takeReport("a", later) {
		t.Error("the second time was not reported")
	}
}

// Guards against a memory of addresses that grows without bound, or drops the latest.
func TestSuspectsBound(t *testing.T) {
	s := suspects{}
	start := time.Now()
	for i := range maxSuspects + 10 {
		s.add(fmt.Sprint(i), start.Add(time.Duration(i)))
	}
	now := start.Add(time.Second)
	if len(s) != maxSuspects || s.has("9", now) || !s.has("10", now) || !s.has(fmt.Sprint(maxSuspects+9), now) {
		t.Errorf("%d addresses are kept, want the latest %d", len(s), maxSuspects)
	}
}
