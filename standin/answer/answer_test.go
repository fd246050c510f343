package answer_test

import (
	"fmt"
	"math"
	"testing"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/standin/answer"
)

// Routing experiments are void unless the part of good answers is the set quality
// and the mean log-probability tells good from weak answers better than chance.
func TestQualityAndLogprobs(t *testing.T) {
	s := answer.Settings{Ref: ident.VersionRef{Model: "m", Version: "1"}, Quality: 0.8, MeanTokens: 20}
	good, right := 0, 0
	const n = 4000
	for i := range n {
		a := answer.Compute(s, []answer.Message{{Role: "user", Content: fmt.Sprint("question ", i)}}, 0)
		sum := 0.0
		for _, k := range a.Tokens {
			sum += k.Logprob
		}
		if a.Good {
			good++
		}
		if a.Good == (sum/float64(len(a.Tokens)) > -0.6) {
			right++
		}
	}
	if p := float64(good) / n; math.Abs(p-s.Quality) > 0.03 {
		t.Errorf("part of good answers is %.3f, want %.2f", p, s.Quality)
	}
	if p := float64(right) / n; p < 0.9 {
		t.Errorf("log-probabilities are right for a part of %.3f only", p)
	}
}
