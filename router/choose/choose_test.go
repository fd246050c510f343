package choose_test

import (
	"fmt"
	"testing"
	"time"

	"tarragonvalve.example/router/choose"
)

// Guards against a price that the answer isn't worth, a wrong answer that is
// kept, and a change of model that only makes the answer late.
func TestReplace(t *testing.T) {
	large := choose.Model{ID: "large", Price: 0.25}
	review := choose.Request{Input: 12_000, Output: 600, Hint: 384, Value: 0.3, Left: 2 * time.Second}
	tag := choose.Request{Input: 2400, Output: 90, Hint: 24, Value: 0.15, Left: 4 * time.Second}
	soon := choose.Offer{Model: large, Delay: 200 * time.Millisecond}
	tests := map[string]struct {
		request    choose.Request
		confidence int
		offer      choose.Offer
		want       bool
	}{
		"wrong review":              {review, 20, soon, true},
		"doubtful review":           {review, 60, soon, true},
		"sure review":               {review, 90, soon, false},
		"wrong tag":                 {tag, 20, soon, true},
		"likely right tag":          {tag, 66, soon, false},
		"no opinion":                {review, -1, soon, false},
		"too late, likely right":    {review, 62, choose.Offer{Model: large, Delay: 3 * time.Second}, false},
		"too late, surely wrong":    {review, 5, choose.Offer{Model: large, Delay: 3 * time.Second}, true},
		"crowded, doubtful":         {review, 66, choose.Offer{Model: large, Delay: time.Second, Queue: 800 * time.Millisecond}, false},
		"crowded tag, wrong":        {tag, 20, choose.Offer{Model: large, Delay: time.Second, Queue: 900 * time.Millisecond}, false},
		"crowded review, wrong":     {review, 5, choose.Offer{Model: large, Delay: time.Second, Queue: 500 * time.Millisecond}, true},
		"free model, doubtful":      {review, 55, choose.Offer{Model: choose.Model{ID: "large"}}, true},
		"worthless request, unsure": {choose.Request{Input: 100, Output: 10}, 5, soon, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if got := choose.Replace(c.request, c.confidence, c.offer); got != c.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

func ExampleReplace() {
	r := choose.Request{Input: 12_000, Output: 600, Value: 0.3, Left: 2 * time.Second}
	o := choose.Offer{Model: choose.Model{ID: "large", Price: 0.25}, Delay: 300 * time.Millisecond}
	fmt.Println(choose.Replace(r, 30, o), choose.Replace(r, 95, o))
	// Output: true false
}
