package drain_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/core/drain"
)

// Guards against requests that are taken late in a stop and ended before their deadline, and against ones
// that are refused although they end in time.
func TestAdmits(t *testing.T) {
	tests := map[string]struct {
		past, limit, left time.Duration
		want              bool
	}{
		"at once, any deadline":        {0, 7400 * time.Millisecond, time.Hour, true},
		"last at which all are taken":  {2450 * time.Millisecond, 7400 * time.Millisecond, time.Hour, true},
		"3 s, noticed 0.45 s late":     {2550 * time.Millisecond, 7400 * time.Millisecond, time.Hour, false},
		"late, ends in time":           {4 * time.Second, 7400 * time.Millisecond, 3 * time.Second, true},
		"late, ends after it":          {4750 * time.Millisecond, 7400 * time.Millisecond, 3 * time.Second, false},
		"late, no time for the answer": {4 * time.Second, 7400 * time.Millisecond, 3350 * time.Millisecond, false},
		"short stop":                   {900 * time.Millisecond, 1400 * time.Millisecond, time.Second, false},
		"long stop":                    {10 * time.Second, 62 * time.Second, time.Minute, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if got := drain.Admits(c.past, c.limit, c.left); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a request that is refused and another one with a later deadline, or sent later, that is taken.
func TestAdmitsIsMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 90_000).Draw(t, name)) * time.Millisecond
		}
		past, limit, left := ms("past"), ms("limit"), ms("left")
		if !drain.Admits(past, limit, left) && drain.Admits(past+ms("later"), limit, left+ms("longer")) {
			t.Fatal("a later deadline is admitted")
		}
		if past+left+100*time.Millisecond <= limit && !drain.Admits(past, limit, left) {
			t.Fatal("a request that ends in time is refused")
		}
	})
}

func ExampleAdmits() {
	fmt.Println(drain.Admits(5*time.Second, 10*time.Second, 2*time.Second), drain.Admits(5*time.Second, 10*time.Second, 8*time.Second))
	// Output: true false
}
