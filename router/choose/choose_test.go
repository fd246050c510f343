package choose_test

import (
	"fmt"
	"testing"
	"time"

	"tarragonvalve.example/router/choose"
)

// Guards against a switch to a larger model whose answer isn't worth its price or would
// be late, and against keeping an answer that is likely wrong.
func TestUseLarger(t *testing.T) {
	large := choose.Model{ID: "large", Price: 0.25}
	review := choose.Request{Input: 12_000, MaxOutput: 600, OutputHint: 384, Value: 0.3, TimeLeft: 2 * time.Second}
	tag := choose.Request{Input: 2400, MaxOutput: 90, OutputHint: 24, Value: 0.15, TimeLeft: 4 * time.Second}
	soon := choose.Candidate{Model: large, Delay: 200 * time.Millisecond}
	tests := map[string]struct {
		request    choose.Request
		confidence int
		candidate  choose.Candidate
		want       bool
	}{
		"wrong review":              {review, 20, soon, true},
		"doubtful review":           {review, 60, soon, true},
		"confident review":          {review, 90, soon, false},
		"wrong tag":                 {tag, 20, soon, true},
		"likely right tag":          {tag, 66, soon, false},
		"no confidence":             {review, -1, soon, false},
		"too late, likely right":    {review, 62, choose.Candidate{Model: large, Delay: 3 * time.Second}, false},
		"too late, surely wrong":    {review, 5, choose.Candidate{Model: large, Delay: 3 * time.Second}, true},
		"crowded, doubtful":         {review, 66, choose.Candidate{Model: large, Delay: time.Second, QueueDelay: 800 * time.Millisecond}, false},
		"crowded tag, wrong":        {tag, 20, choose.Candidate{Model: large, Delay: time.Second, QueueDelay: 900 * time.Millisecond}, false},
		"crowded review, wrong":     {review, 5, choose.Candidate{Model: large, Delay: time.Second, QueueDelay: 500 * time.Millisecond}, true},
		"free model, doubtful":      {review, 55, choose.Candidate{Model: choose.Model{ID: "large"}}, true},
		"worthless request, unsure": {choose.Request{Input: 100, MaxOutput: 10}, 5, soon, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if got := choose.UseLarger(c.request, c.confidence, c.candidate); got != c.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

func ExampleUseLarger() {
	r := choose.Request{Input: 12_000, MaxOutput: 600, Value: 0.3, TimeLeft: 2 * time.Second}
	o := choose.Candidate{Model: choose.Model{ID: "large", Price: 0.25}, Delay: 300 * time.Millisecond}
	fmt.Println(choose.UseLarger(r, 30, o), choose.UseLarger(r, 95, o))
	// Output: true false
}
