// Package scene defines the experiments: the deployment, load and faults of each, and the
// policies that it compares.
package scene

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"tarragonvalve.example/bench/drive"
	"tarragonvalve.example/bench/world"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
)

// Policy is a routing policy.
type Policy struct {
	Name string
	// Entry is added to the settings of every entry.
	Entry string
}

// Policies holds the product's policy, which comes first, and the baselines.
var Policies = []Policy{
	{Name: "adaptive", Entry: "[policy]\nplans = adaptive\nupstreams = predicted\nguard = yes\n"},
	{Name: "round-robin-best", Entry: "[policy]\nplans = best-model\nupstreams = round-robin\nguard = no\n"},
	{Name: "least-outstanding-best", Entry: "[policy]\nplans = best-model\nupstreams = least-outstanding\nguard = no\n"},
	{Name: "fixed-cascade", Entry: "[policy]\nplans = fixed-cascade\nupstreams = least-outstanding\nguard = no\n"},
	{Name: "fixed-schedule", Entry: "[policy]\nplans = adaptive\nupstreams = predicted\nguard = no\n"},
}

// PolicyByName returns the policy with a name, and false if there is none.
func PolicyByName(n string) (Policy, bool) {
	for _, p := range Policies {
		if p.Name == n {
			return p, true
		}
	}
	return Policy{}, false
}

// Experiment is a load on a deployment under which policies are compared.
type Experiment struct {
	Name       string
	About      string
	Deployment string
	// Variants are the policies to compare; the first is the product's.
	Variants []Variant
	// Rate is the rate at the start in requests per second, before LoadFactor.
	Rate float64
	// Warmup is the time at the start that the figures leave out.
	Warmup         time.Duration
	Duration       time.Duration
	ReviewFraction float64
	// Model is the model that callers name; empty leaves it to the router.
	Model string
	// BadVersion is the version that turns bad, if any; only accounts that may use it
	// then send requests.
	BadVersion ident.VersionRef
	// EditSettings and EditDocument change the settings of the stand-ins and the first
	// document; nil for none.
	EditSettings func(s string) string
	EditDocument func(s string) string
	Actions      func(w *world.Deployment) []drive.Action
}

// Variant is a policy under a load.
type Variant struct {
	Policy string
	// LoadFactor multiplies the rate of the experiment; 0 means 1.
	LoadFactor float64
	// CrowdFactor multiplies the load of the largest account after the warm-up; 0 means 1.
	CrowdFactor float64
}

// Name returns the name of the variant in tables.
func (v Variant) Name() string {
	n := v.Policy
	if v.LoadFactor != 0 {
		n += fmt.Sprintf(" load x%g", v.LoadFactor)
	}
	if v.CrowdFactor != 0 {
		n += fmt.Sprintf(" crowd x%g", v.CrowdFactor)
	}
	return n
}

// Options returns the load of a variant.
func (s *Experiment) Options(v Variant, w *world.Deployment, seed uint64) drive.Options {
	large := largestAccount(w.Document)
	weight := func(a *envdoc.Account, at time.Duration) float64 {
		if s.BadVersion != (ident.VersionRef{}) && !w.Document.Allows(a.ID, s.BadVersion) {
			return 0
		}
		if v.CrowdFactor > 0 && a.ID == large && at >= s.Warmup {
			return float64(a.Weight) * v.CrowdFactor
		}
		return float64(a.Weight)
	}
	total := func(at time.Duration) float64 {
		n := 0.0
		for _, a := range w.Document.Accounts {
			n += weight(a, at)
		}
		return n
	}
	base := s.Rate / total(0)
	if v.LoadFactor > 0 {
		base *= v.LoadFactor
	}
	return drive.Options{
		Entries: w.Callers, Document: w.Document, Duration: s.Duration, Seed: seed,
		Model: s.Model, ReviewFraction: s.ReviewFraction, Weight: weight,
		Rate: func(at time.Duration) float64 { return base * total(at) },
	}
}

// largestAccount returns the account with the highest weight, by id if several have it.
func largestAccount(d *envdoc.Document) ident.AccountID {
	var best *envdoc.Account
	for _, a := range d.Accounts {
		if best == nil || a.Weight > best.Weight || (a.Weight == best.Weight && a.ID < best.ID) {
			best = a
		}
	}
	return best.ID
}

// policies returns a variant with the plain load for each policy.
func policies(names ...string) []Variant {
	var out []Variant
	for _, n := range names {
		out = append(out, Variant{Policy: n})
	}
	return out
}

// The warm-up of the experiments, and the usual time after it.
const (
	shortWarm = 45 * time.Second
	shortRun  = 30 * time.Second
	// speedup is the factor by which the engines are faster than in the demonstrations.
	speedup = 4
	// rolloutSection matches the roll-outs of the example documents, which experiments
	// without a roll-out remove.
	rolloutSection = `(?s)\[rollout [^\]]*\]\n.*?\n\n`
)

// All lists the experiments in the order in which they run.
var All = []*Experiment{
	{
		Name: "ilmek-steady", About: "mixed day of Ilmek: cost at the quality target",
		Deployment: "ilmek", Variants: policies("adaptive", "round-robin-best", "least-outstanding-best", "fixed-cascade"),
		Rate: 20, Warmup: shortWarm, Duration: shortWarm + shortRun, ReviewFraction: 0.5, EditDocument: plain,
	},
	{
		Name: "kootenay-slow-third", About: "Kootenay with a third of the model servers three times as slow",
		Deployment: "kootenay", Variants: policies("adaptive", "round-robin-best", "least-outstanding-best", "fixed-cascade"),
		Rate: 12, Warmup: shortWarm, Duration: shortWarm + shortRun, ReviewFraction: 0.5, EditDocument: plain,
		EditSettings: func(s string) string { return slowThird(s, 3) },
	},
	{
		Name: "ilmek-crowd", About: "three times the load on one large account of Ilmek; small accounts' latency",
		Deployment: "ilmek", Variants: []Variant{{Policy: "adaptive", CrowdFactor: 3}, {Policy: "adaptive"}, {Policy: "least-outstanding-best", CrowdFactor: 3}, {Policy: "least-outstanding-best"}},
		Rate: 15, Warmup: shortWarm, Duration: shortWarm + shortRun, ReviewFraction: 0.5, EditDocument: plain,
	},
	badRollout("errors", `{"error-rate":0.4}`),
	badRollout("ratings", `{"quality":0.3}`),
	badRollout("latency", `{"slowness":6}`),
	{
		Name: "ilmek-overload", About: "twice the capacity of Ilmek: goodput against that at capacity",
		Deployment: "ilmek", Variants: []Variant{{Policy: "adaptive", LoadFactor: 2}, {Policy: "adaptive"}, {Policy: "least-outstanding-best", LoadFactor: 2}, {Policy: "least-outstanding-best"}},
		Rate: 45, Warmup: shortWarm, Duration: shortWarm + 20*time.Second, ReviewFraction: 0.5,
		EditDocument: plain,
	},
}

// ByName returns the experiment with a name, and false if there is none.
func ByName(n string) (*Experiment, bool) {
	for _, s := range All {
		if s.Name == n {
			return s, true
		}
	}
	return nil, false
}

// badRollout returns an experiment with a roll-out on Kootenay whose new version turns bad
// in one signal after the warm-up, when the second step of the roll-out starts.
func badRollout(signal, change string) *Experiment {
	v := ident.VersionRef{Model: "selkirk", Version: "4.1"}
	return &Experiment{
		Name: "kootenay-bad-" + signal, About: "a roll-out whose new version is bad in " + signal + " only",
		Deployment: "kootenay", Variants: policies("adaptive", "fixed-schedule"),
		Rate: 12, Warmup: shortWarm, Duration: shortWarm + 45*time.Second, ReviewFraction: 0.3,
		Model: "selkirk", BadVersion: v,
		EditDocument: func(s string) string { return withoutLimits(setRolloutSteps(s, "20, 50, 100", "45s")) },
		Actions: func(w *world.Deployment) []drive.Action {
			return []drive.Action{{At: shortWarm, Do: func(ctx context.Context) {
				_ = w.Control(ctx, http.MethodPut, "/versions/"+v.String(), raw(change), nil)
			}}}
		},
	}
}

// Plain returns an example document without roll-outs and rate limits.
func Plain(s string) string { return plain(s) }

// plain returns an example document without roll-outs and rate limits. The load is scaled
// along with the engines, but the limits are not.
func plain(s string) string { return withoutLimits(withoutRollouts(s)) }

func withoutRollouts(s string) string {
	return regexp.MustCompile(rolloutSection).ReplaceAllString(s, "")
}

func withoutLimits(s string) string {
	s = regexp.MustCompile(`(?m)^requests-per-second = .*$`).ReplaceAllString(s, "requests-per-second = 0")
	return regexp.MustCompile(`(?m)^tokens-per-second = .*$`).ReplaceAllString(s, "tokens-per-second = 0")
}

// setRolloutSteps sets the steps and the step time of the example's roll-out, which starts
// at the first step, and relaxes its exposure bound and minimum samples.
func setRolloutSteps(s, steps, stepTime string) string {
	s = regexp.MustCompile(`(?m)^steps = .*$`).ReplaceAllString(s, "steps = "+steps)
	s = regexp.MustCompile(`(?m)^step-time = .*$`).ReplaceAllString(s, "step-time = "+stepTime)
	s = regexp.MustCompile(`(?m)^exposure-bound = .*$`).ReplaceAllString(s, "exposure-bound = 100000")
	return regexp.MustCompile(`(?m)^min-samples = .*$`).ReplaceAllString(s, "min-samples = 10")
}

// slowThird slows every third engine down by a factor.
func slowThird(s string, by float64) string {
	parts := strings.Split(s, "[engine ")
	for i := range parts {
		if i == 0 || i%3 != 0 {
			continue
		}
		parts[i] = scaled(parts[i], `token-time = ([\d.]+)ms`, "token-time = %gms", by)
		parts[i] = scaled(parts[i], `prefill-tokens-per-second = (\d+)`, "prefill-tokens-per-second = %.0f", 1/by)
	}
	return strings.Join(parts, "[engine ")
}

// scaled multiplies the number in every match of a pattern, whose first group is the
// number, and formats it with format.
func scaled(s, pattern, format string, by float64) string {
	p := regexp.MustCompile(pattern)
	return p.ReplaceAllStringFunc(s, func(m string) string {
		n, err := strconv.ParseFloat(p.FindStringSubmatch(m)[1], 64)
		if err != nil {
			return m
		}
		return fmt.Sprintf(format, n*by)
	})
}

// raw is encoded JSON that is sent unchanged.
type raw string

// MarshalJSON implements json.Marshaler.
func (r raw) MarshalJSON() ([]byte, error) {
	return []byte(r), nil
}

// StandinText returns the stand-ins' settings of an experiment, changed from those of a
// demonstration. Engines and ratings are faster, so that a run of half a minute has as
// many requests and ratings as several minutes of real traffic.
func (s *Experiment) StandinText(t string) string {
	t = regexp.MustCompile(`(?s)\[rating\]\n.*?\n\n`).ReplaceAllString(t,
		"[rating]\ndelay = 1s\nmissing = 0.3\nrequests-per-second = 200\n\n")
	t = scaled(t, `token-time = (\d+)ms`, "token-time = %gms", 1.0/speedup)
	t = scaled(t, `prefill-tokens-per-second = (\d+)`, "prefill-tokens-per-second = %g", speedup)
	if s.EditSettings != nil {
		t = s.EditSettings(t)
	}
	return t
}
