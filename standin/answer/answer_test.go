package answer_test

import (
	"fmt"
	"math"
	"testing"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/standin/answer"
)

// Guards against stand-in answers that invalidate routing experiments: the share of good
// answers must be the configured quality, and the mean log-probability must separate good
// from weak answers.
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
		t.Errorf("share of good answers is %.3f, want %.2f within 0.03", p, s.Quality)
	}
	if p := float64(right) / n; p < 0.9 {
		t.Errorf("the mean log-probability classifies a share of %.3f of the answers correctly, want at least 0.9", p)
	}
}
