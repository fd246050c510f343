package spread

import (
	"testing"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
)

// Guards against an unrelated promotion that returns a roll-out to its first step, and
// against a step that is carried over to a roll-out with other steps.
func TestStepsSurviveUnrelatedPromotion(t *testing.T) {
	tests := map[string]struct {
		steps []ident.Share
		want  int
	}{
		"same steps":  {[]ident.Share{100, 1000, 10000}, 2},
		"other steps": {[]ident.Share{100, 5000, 10000}, 0},
		"removed":     {nil, 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := state{accepted: acceptedWithSteps(1, []ident.Share{100, 1000, 10000})}
			s, _ = apply(s, stepped{steps: map[stepKey]int{{generation: 1, rollout: "r"}: 2}})
			s, _ = apply(s, offered{accepted: acceptedWithSteps(2, c.steps)})
			if got := s.view().Steps["r"]; got != c.want {
				t.Errorf("step %d after the promotion, want %d", got, c.want)
			}
		})
	}
}

func acceptedWithSteps(g int, steps []ident.Share) *AcceptedDocument {
	a := acceptedOf(g)
	if steps != nil {
		a.Document.Rollouts = map[ident.RolloutID]*envdoc.Rollout{
			"r": {ID: "r", Model: "m", From: "v1", To: "v2", Steps: steps},
		}
	}
	return a
}
