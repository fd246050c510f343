package plan_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/entry/plan"
)

const account = ident.AccountID("denizli")

func ref(m, v string) ident.VersionRef {
	return ident.VersionRef{Model: ident.ModelID(m), Version: ident.VersionID(v)}
}

// view returns a view of one model with versions v1 to v3 and a roll-out from v1 to v3
// at the given step.
func view(step int) *spread.View {
	d := &envdoc.Document{
		Accounts: map[ident.AccountID]*envdoc.Account{account: {ID: account, Allowed: map[ident.VersionRef]bool{}}},
		Models: map[ident.ModelID]*envdoc.Model{
			"m": {ID: "m", Shares: map[ident.VersionID]ident.Share{"v1": 7000, "v2": 3000}},
		},
		Versions: map[ident.VersionRef]*envdoc.Version{},
		Rollouts: map[ident.RolloutID]*envdoc.Rollout{
			"r": {ID: "r", Model: "m", From: "v1", To: "v3", Steps: []ident.Share{500, 2500, 10000}},
		},
	}
	for _, v := range []string{"v1", "v2", "v3"} {
		r := ref("m", v)
		d.Versions[r] = &envdoc.Version{Ref: r, State: envdoc.StateLive}
		d.Accounts[account].Allowed[r] = true
	}
	return &spread.View{
		Accepted: &spread.AcceptedDocument{Generation: 4, Document: d},
		Halts:    map[ident.VersionRef]spread.Halt{},
		Steps:    map[ident.RolloutID]int{"r": step},
	}
}

// Guards against resolving to a version that is halted, withdrawn or not allowed, for
// any bucket.
func TestVersionIsAllowedAndUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := view(rapid.IntRange(0, 2).Draw(t, "step"))
		d := v.Document()
		for r, c := range d.Versions {
			switch rapid.IntRange(0, 3).Draw(t, "state-"+string(r.Version)) {
			case 0:
				c.State = envdoc.StateWithdrawn
			case 1:
				v.Halts[r] = spread.Halt{Version: r, Generation: 4}
			case 2:
				d.Accounts[account].Allowed[r] = false
			}
			c.Fallback = ref("m", rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "fallback"))
		}
		p := plan.BucketOf(account, rapid.String().Draw(t, "session"))
		r, err := plan.ResolveVersion(v, account, "m", p, nil)
		if err == nil && (!v.Usable(r) || !d.Allows(account, r)) {
			t.Fatalf("chose %s, which may not take new work", r)
		}
	})
}

// Guards against a fallback that serves an account which may use no version of the
// requested model.
func TestFallbackNeedsAnAllowedModel(t *testing.T) {
	v := view(0)
	d := v.Document()
	other := ref("other", "v1")
	d.Models["other"] = &envdoc.Model{ID: "other", Shares: map[ident.VersionID]ident.Share{"v1": ident.FullShare}}
	d.Versions[other] = &envdoc.Version{Ref: other, State: envdoc.StateLive, Fallback: ref("m", "v1")}
	_, err := plan.ResolveVersion(v, account, "other", plan.BucketOf(account, "s"), nil)
	if e, ok := refuse.As(err); !ok || e.Code != refuse.ModelNotAllowed {
		t.Fatalf("got %v, want %s", err, refuse.ModelNotAllowed)
	}
}

// versionByShare returns the version of a bucket by shares alone, without a roll-out.
func versionByShare(p plan.Bucket) ident.VersionRef {
	v := view(0)
	v.Document().Rollouts = nil
	r, _ := plan.ResolveVersion(v, account, "m", p, nil)
	return r
}

// Guards against a roll-out step that moves sessions back or between versions outside
// the roll-out, and against traffic fractions that differ from the document's shares.
func TestRolloutStepsMoveOnlyForward(t *testing.T) {
	const sessions = 20_000
	count := map[int]int{}
	for i := range sessions {
		p := plan.BucketOf(account, fmt.Sprint("session-", i))
		before := versionByShare(p)
		for s := range 3 {
			after, err := plan.ResolveVersion(view(s), account, "m", p, nil)
			if err != nil {
				t.Fatal(err)
			}
			if after != before && (before != ref("m", "v1") || after != ref("m", "v3")) {
				t.Fatalf("step %d moved a session from %s to %s", s, before, after)
			}
			if after == ref("m", "v3") {
				count[s]++
			}
			before = after
		}
	}
	want := map[int]float64{0: 0.7 * 0.05, 1: 0.7 * 0.25, 2: 0.7}
	for s, w := range want {
		got := float64(count[s]) / sessions
		if got < w-0.01 || got > w+0.01 {
			t.Errorf("step %d: share %.3f, want %.3f", s, got, w)
		}
	}
}

// trueQuality simulates versions by their true fraction of good answers.
// Log-probabilities separate good from bad answers imperfectly.
type trueQuality map[ident.VersionRef]float64

func (w trueQuality) answer(r *rand.Rand, v ident.VersionRef) (good bool, logprob float64) {
	good = r.Float64() < w[v]
	logprob = -0.25 + 0.15*r.NormFloat64()
	if !good {
		logprob = -1.1 + 0.4*r.NormFloat64()
	}
	return good, min(logprob, 0)
}

func observeAnswers(r *rand.Rand, w trueQuality, n int, rated float64) *plan.QualityStats {
	q := plan.NewQualityStats()
	for v := range w {
		for range n {
			g, l := w.answer(r, v)
			a := plan.Answer{Account: account, Task: "review", Version: v, Logprob: l}
			q.Observe(a)
			if r.Float64() < rated {
				a.Good = &g
				q.Observe(a)
			}
		}
	}
	return q
}

func candidates(q *plan.QualityStats) []plan.Candidate {
	return []plan.Candidate{
		{
			Version: ref("small", "v1"), Cost: 100, Time: time.Second,
			Quality: q.Estimate(account, "review", ref("small", "v1"), plan.Prior{Mean: 0.6}),
		},
		{
			Version: ref("large", "v1"), Cost: 1000, Time: 4 * time.Second,
			Quality: q.Estimate(account, "review", ref("large", "v1"), plan.Prior{Mean: 0.9}),
		},
	}
}

// Guards against paying for the best model although a cascade meets the target,
// against a cascade that misses the target, and against a cheap model whose quality
// isn't backed by enough ratings.
func TestChooseMeetsTargetAtLeastCost(t *testing.T) {
	const seed = 17
	t.Logf("seed %d", seed)
	r := rand.New(rand.NewPCG(seed, 1))
	w := trueQuality{ref("small", "v1"): 0.7, ref("large", "v1"): 0.94}
	q := observeAnswers(r, w, 2000, 0.2)
	tests := map[string]struct {
		goal    plan.Goal
		cascade bool
		model   ident.ModelID
	}{
		"cost account gets a cascade": {
			goal:    plan.Goal{Objective: envdoc.ObjectiveCost, Target: 0.88},
			cascade: true,
		},
		"low target gets the cheap model": {
			goal:  plan.Goal{Objective: envdoc.ObjectiveCost, Target: 0.6},
			model: "small",
		},
		"no cascade allowed gets the best model": {
			goal:  plan.Goal{Objective: envdoc.ObjectiveCost, Target: 0.88, NoCascade: true},
			model: "large",
		},
		"target out of reach gets the best bound": {
			goal:  plan.Goal{Objective: envdoc.ObjectiveCost, Target: 0.99, NoCascade: true},
			model: "large",
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := plan.Choose(candidates(q), c.goal)
			if !ok {
				t.Fatal("no plan")
			}
			switch p := got.Plan.(type) {
			case plan.Single:
				if c.cascade || p.Version.Model != c.model {
					t.Errorf("chose %+v", got)
				}
			case plan.Cascade:
				if !c.cascade {
					t.Errorf("chose %+v", got)
				}
				checkCascade(t, r, w, p, c.goal.Target, got.Cost)
			}
		})
	}
}

// checkCascade simulates a cascade and compares its quality with the target and its
// cost with the prediction.
func checkCascade(t *testing.T, r *rand.Rand, w trueQuality, p plan.Cascade, target float64, cost ident.MicroCents) {
	t.Helper()
	const n = 20_000
	good, paid := 0, 0
	for range n {
		g, l := w.answer(r, p.First)
		paid += 100
		if l < p.MinLogprob {
			g, _ = w.answer(r, p.EscalateTo)
			paid += 1000
		}
		if g {
			good++
		}
	}
	if got := float64(good) / n; got < target {
		t.Errorf("quality %.3f, want at least %.2f", got, target)
	}
	if got := float64(paid) / n; got > 1.15*float64(cost) || got > 600 {
		t.Errorf("cost %.0f per answer, predicted %d, best model 1000", got, cost)
	}
}

// Guards against a few ratings of a new version outweighing its prior.
func TestFewRatingsDoNotDecide(t *testing.T) {
	q := plan.NewQualityStats()
	good := true
	v := ref("m", "v2")
	for range 5 {
		q.Observe(plan.Answer{Account: account, Task: "review", Version: v, Good: &good})
	}
	e := q.Estimate(account, "review", v, plan.Prior{Mean: 0.6})
	if e.Lower() > 0.7 {
		t.Errorf("lower bound %.2f after 5 good ratings, want at most 0.7", e.Lower())
	}
}

func ExampleChoose() {
	q := plan.NewQualityStats()
	c, _ := plan.Choose([]plan.Candidate{
		{Version: ref("small", "v1"), Cost: 100, Quality: q.Estimate(account, "tag", ref("small", "v1"), plan.Prior{Mean: 0.95})},
		{Version: ref("large", "v1"), Cost: 900, Quality: q.Estimate(account, "tag", ref("large", "v1"), plan.Prior{Mean: 0.97})},
	}, plan.Goal{Objective: envdoc.ObjectiveCost, Target: 0.8})
	fmt.Println(c.Plan.(plan.Single).Version)
	// Output: small@v1
}

// Guards against a cheap version that is never tried because it has no observed
// answers, and against probes that go on after enough answers were observed.
func TestProbeObservesUnknownVersion(t *testing.T) {
	const seed = 19
	t.Logf("seed %d", seed)
	r := rand.New(rand.NewPCG(seed, 1))
	w := trueQuality{ref("small", "v1"): 0.7, ref("large", "v1"): 0.94}
	q := plan.NewQualityStats()
	g := plan.Goal{Objective: envdoc.ObjectiveCost, Target: 0.88, Explore: true}
	probes := 0
	for plan.NeedsProbe(candidates(q)) {
		c, _ := plan.Choose(candidates(q), g)
		p, ok := c.Plan.(plan.Cascade)
		if !ok || probes > 200 {
			t.Fatalf("plan %+v after %d probes, want a cascade", c, probes)
		}
		probes++
		_, l := w.answer(r, p.First)
		q.Observe(plan.Answer{Account: account, Task: "review", Version: p.First, Logprob: l})
	}
	if probes == 0 {
		t.Error("no probe of an unknown version")
	}
}
