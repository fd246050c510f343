package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/entry/guard"
	"tarragonvalve.example/entry/plan"
	"tarragonvalve.example/entry/steps"
)

const (
	// emaWeight is the weight of a new observation in the moving averages of latency
	// and output length.
	emaWeight = 0.05
	// defaultFirstToken and defaultPerToken are the latencies that are predicted until
	// an answer of a version was observed.
	defaultFirstToken = 300 * time.Millisecond
	defaultPerToken   = 30 * time.Millisecond
	// defaultOutput is the expected number of output tokens until an answer of a task
	// was observed.
	defaultOutput = 200
	// maxTasks bounds the task labels whose output length is kept, since callers choose
	// the labels.
	maxTasks = 1000
	// probeEvery makes one of so many requests explore while a version has too few
	// observed answers to start a cascade.
	probeEvery = 4
	// maxExposed bounds the sessions that are recorded per roll-out, which need not
	// have an exposure bound of its own.
	maxExposed = 100_000
)

// latency holds moving averages of the times of a version's answers.
type latency struct {
	firstToken time.Duration
	perToken   time.Duration
}

func (s latency) observe(o Outcome) latency {
	per := (o.Total - o.FirstToken) / time.Duration(max(o.Output, 1))
	if s.firstToken == 0 {
		return latency{firstToken: o.FirstToken, perToken: per}
	}
	s.firstToken += time.Duration(emaWeight * float64(o.FirstToken-s.firstToken))
	s.perToken += time.Duration(emaWeight * float64(per-s.perToken))
	return s
}

func (s latency) predict(out ident.Tokens) time.Duration {
	if s.firstToken == 0 {
		s = latency{firstToken: defaultFirstToken, perToken: defaultPerToken}
	}
	return s.firstToken + time.Duration(out)*s.perToken
}

// expectedOutput returns the expected number of output tokens of a task, at most the
// given maximum.
func (c *Controller) expectedOutput(t ident.TaskID, maxOutput ident.Tokens) ident.Tokens {
	n, ok := c.outputs[t]
	if !ok {
		n = defaultOutput
	}
	return min(ident.Tokens(n), maxOutput)
}

func (c *Controller) observeOutput(t ident.TaskID, out ident.Tokens) {
	n, ok := c.outputs[t]
	if !ok && len(c.outputs) >= maxTasks {
		return
	}
	if !ok {
		n = float64(out)
	}
	c.outputs[t] = n + emaWeight*(float64(out)-n)
}

func (c *Controller) plan(q Query) (Decision, error) {
	d, err := c.decide(q)
	d.Output = c.expectedOutput(q.Task, q.MaxOutput)
	return d, err
}

func (c *Controller) decide(q Query) (Decision, error) {
	d := q.View.Document()
	if d == nil {
		return Decision{}, refuse.New(refuse.NoDocument, refuse.NotRun, "no document is in force")
	}
	c.count.Plans.Add(1)
	c.onGeneration(q.View)
	if q.Pin != (ident.VersionRef{}) {
		return c.pinned(q)
	}
	if q.Model == Auto || q.Model == "" {
		return c.auto(q)
	}
	if r, err := ident.ParseRef(q.Model); err == nil {
		return c.exact(q, r)
	}
	v, err := c.resolve(q, ident.ModelID(q.Model))
	if err != nil {
		return Decision{}, err
	}
	return c.single(q, v), nil
}

// exact plans for a caller who names a version. There is no fallback to another
// version.
func (c *Controller) exact(q Query, r ident.VersionRef) (Decision, error) {
	d := q.View.Document()
	switch {
	case d.Models[r.Model] == nil || d.Versions[r] == nil:
		return Decision{}, refuse.New(refuse.ModelUnknown, refuse.NotRun, "version %s does not exist", r)
	case !d.Allows(q.Account.ID, r):
		return Decision{}, refuse.New(refuse.ModelNotAllowed, refuse.NotRun, "account may not use %s", r)
	case d.Withdrawn(r):
		return Decision{}, refuse.New(refuse.VersionWithdrawn, refuse.NotRun, "version %s is withdrawn", r)
	case q.View.Halted(r):
		return Decision{}, refuse.New(refuse.VersionHalted, refuse.NotRun, "version %s is halted", r)
	}
	return c.single(q, r), nil
}

// pinned plans for a session that is pinned to a version.
func (c *Controller) pinned(q Query) (Decision, error) {
	d := q.View.Document()
	if !d.Allows(q.Account.ID, q.Pin) {
		return Decision{}, refuse.New(refuse.ModelNotAllowed, refuse.NotRun, "account may no longer use %s", q.Pin)
	}
	if q.View.Usable(q.Pin) {
		return c.single(q, q.Pin), nil
	}
	if q.Account.OnWithdrawn == envdoc.WithdrawnRefuse {
		return Decision{}, refuse.New(refuse.SessionVersionWithdrawn, refuse.NotRun,
			"the session's version %s is withdrawn or halted", q.Pin)
	}
	v, err := plan.ResolveFallback(q.View, q.Account.ID, q.Pin)
	if err != nil {
		return Decision{}, err
	}
	out := c.single(q, v)
	out.Moved = true
	return out, nil
}

// auto selects a plan among all models that the account may use.
func (c *Controller) auto(q Query) (Decision, error) {
	d := q.View.Document()
	var cs []plan.Candidate
	var last error = refuse.New(refuse.ModelNotAllowed, refuse.NotRun, "account may use no model")
	for _, id := range slices.Sorted(maps.Keys(d.Models)) {
		if !allowsModel(q.Account, id) {
			continue
		}
		v, err := c.resolve(q, id)
		if err != nil {
			last = err
			continue
		}
		cs = append(cs, c.candidate(q, v))
	}
	if len(cs) == 0 {
		return Decision{}, last
	}
	c.fillEscalatedQuality(q, cs)
	g := plan.Goal{
		Objective: q.Account.Objective,
		Target:    q.Account.QualityTarget,
		TimeLeft:  q.TimeLeft,
		Explore:   c.explores(q, cs),
		NoCascade: q.StartsSession,
	}
	choice := c.choose(cs, g, d)
	c.countChoice(choice, g)
	out := Decision{Choice: choice}
	switch p := choice.Plan.(type) {
	case plan.Single:
		out.Pin = p.Version
	case plan.Cascade:
		// The answering version becomes the pin once the answer is accepted.
		out.Pin = p.First
	}
	c.recordExposure(q, choice)
	return out, nil
}

// fillEscalatedQuality sets each candidate's quality on requests that are escalated to it
// from another candidate.
func (c *Controller) fillEscalatedQuality(q Query, cs []plan.Candidate) {
	for i := range cs {
		b := &cs[i]
		b.EscalatedQuality = map[ident.VersionRef]plan.Estimate{}
		for _, a := range cs {
			if plan.MayEscalate(a, *b) {
				b.EscalatedQuality[a.Version] = c.quality.EstimateEscalated(q.Account.ID, q.Task, b.Version, a.Version, b.Quality)
			}
		}
	}
}

// explores reports whether a request explores: one of ExploreEvery, or one of
// probeEvery while a candidate has too few observed answers to start a cascade. A hash
// of the request id decides.
func (c *Controller) explores(q Query, cs []plan.Candidate) bool {
	n := c.o.ExploreEvery
	if n == 0 {
		return false
	}
	if plan.NeedsProbe(cs) {
		n = min(n, probeEvery)
	}
	return xxhash.Sum64String(string(q.Request))%n == 0
}

// choose applies the strategy to the candidates, of which there is at least one.
func (c *Controller) choose(cs []plan.Candidate, g plan.Goal, d *envdoc.Document) plan.Choice {
	prior := func(x plan.Candidate) float64 { return d.Versions[x.Version].QualityPrior }
	best := slices.MaxFunc(cs, func(a, b plan.Candidate) int { return cmp.Compare(prior(a), prior(b)) })
	cheap := slices.MinFunc(cs, func(a, b plan.Candidate) int { return cmp.Compare(a.Cost, b.Cost) })
	switch s := c.o.Strategy.(type) {
	case BestModel:
		return plan.Choice{Plan: plan.Single{Version: best.Version}, Cost: best.Cost, Time: best.Time}
	case FixedCascade:
		if cheap.Version == best.Version {
			return plan.Choice{Plan: plan.Single{Version: best.Version}, Cost: best.Cost, Time: best.Time}
		}
		p := plan.Cascade{First: cheap.Version, EscalateTo: best.Version, MinLogprob: s.MinLogprob}
		return plan.Choice{Plan: p, Cost: cheap.Cost, Time: cheap.Time}
	default:
		x, _ := plan.Choose(cs, g)
		return x
	}
}

func (c *Controller) countChoice(x plan.Choice, g plan.Goal) {
	if _, ok := x.Plan.(plan.Cascade); ok {
		c.count.Cascades.Add(1)
	}
	if g.Explore {
		c.count.Explored.Add(1)
	}
	if !x.MeetsGoal {
		c.count.BelowGoal.Add(1)
	}
}

func (c *Controller) single(q Query, v ident.VersionRef) Decision {
	x, _ := plan.Choose([]plan.Candidate{c.candidate(q, v)}, plan.Goal{NoCascade: true})
	c.recordExposure(q, x)
	return Decision{Choice: x, Pin: v}
}

func (c *Controller) resolve(q Query, m ident.ModelID) (ident.VersionRef, error) {
	key := string(q.Session)
	if key == "" {
		key = string(q.Request)
	}
	return plan.ResolveVersion(q.View, q.Account.ID, m, plan.BucketOf(q.Account.ID, key), func(r *envdoc.Rollout) bool {
		if q.Isolated {
			return false
		}
		return steps.MayExpose(r, steps.Progress{Step: q.View.Steps[r.ID], Sessions: len(c.exposed[r.ID]), Usable: true}, c.o.Membership())
	})
}

func (c *Controller) candidate(q Query, r ident.VersionRef) plan.Candidate {
	d := q.View.Document()
	v := d.Versions[r]
	out := c.expectedOutput(q.Task, q.MaxOutput)
	p := plan.Prior{Mean: v.QualityPrior}
	if x := rolloutTo(d, r); x != nil {
		p.Predecessor = ident.VersionRef{Model: x.Model, Version: x.From}
	}
	return plan.Candidate{
		Version:    r,
		Cost:       ident.MicroCents(q.Input)*v.InputPrice + ident.MicroCents(out)*v.OutputPrice,
		Time:       c.latencies[r].predict(out),
		Quality:    c.quality.Estimate(q.Account.ID, q.Task, r, p),
		EscalateTo: d.Models[r.Model].Escalate,
	}
}

// recordExposure records the session for each version of the plan that is the new
// version of a roll-out.
func (c *Controller) recordExposure(q Query, x plan.Choice) {
	switch p := x.Plan.(type) {
	case plan.Single:
		c.recordSession(q, p.Version)
	case plan.Cascade:
		c.recordSession(q, p.First)
		c.recordSession(q, p.EscalateTo)
	}
}

func (c *Controller) recordSession(q Query, v ident.VersionRef) {
	r := rolloutTo(q.View.Document(), v)
	if r == nil {
		return
	}
	set := c.exposed[r.ID]
	if set == nil {
		set = map[ident.SessionID]struct{}{}
		c.exposed[r.ID] = set
	}
	if len(set) < maxExposed {
		set[q.Session] = struct{}{}
	}
}

// onGeneration handles a new document: it deletes the exposure of roll-outs that ended,
// and the observations of versions whose halt the document cleared.
func (c *Controller) onGeneration(v *spread.View) {
	if v.Generation() == c.generation {
		return
	}
	c.generation = v.Generation()
	d := v.Document()
	for id := range c.exposed {
		if d.Rollouts[id] == nil {
			delete(c.exposed, id)
		}
	}
	for r, g := range c.halted {
		if x, ok := d.Versions[r]; ok && x.HaltsClearedAt >= g {
			delete(c.halted, r)
			c.monitor.Reset(r)
		}
	}
}

func (c *Controller) observe(o Outcome) {
	if !o.Failed {
		c.latencies[o.Version] = c.latencies[o.Version].observe(o)
		c.observeOutput(o.Task, o.Output)
		c.quality.Observe(plan.Answer{Account: o.Account, Task: o.Task, Version: o.Version, EscalatedFrom: o.EscalatedFrom, Logprob: o.Logprob})
	}
	// The time per token makes answers of different lengths comparable.
	l := time.Duration(0)
	if !o.Failed {
		l = (o.Total - o.Queued) / time.Duration(max(o.Output, 1))
	}
	c.checkGuard(o.Version, guard.Observation{Failed: o.Failed, Latency: l})
}

func (c *Controller) observeRating(r Rating) {
	c.quality.Observe(plan.Answer{
		Account: r.Account, Task: r.Task, Version: r.Version, EscalatedFrom: r.EscalatedFrom, Logprob: r.Logprob, Good: &r.Good,
	})
	if r.EscalatedFrom == (ident.VersionRef{}) {
		// Escalated requests are harder than others, so their ratings are not
		// comparable.
		c.checkGuard(r.Version, guard.Observation{Rating: &r.Good})
	}
}

func (c *Controller) checkGuard(v ident.VersionRef, o guard.Observation) {
	b, ok := c.monitor.Observe(v, c.guardRollout(v), o).(guard.Degraded)
	if !ok || c.o.GuardOff {
		return
	}
	if !c.hasFallback(v) {
		// A degraded version is better than none; operators may still halt it.
		c.count.HaltsSkipped.Add(1)
		return
	}
	c.halt(v, b)
}

// hasFallback reports whether every account that may use a version has a usable
// fallback for it.
func (c *Controller) hasFallback(v ident.VersionRef) bool {
	w := c.o.View()
	d := w.Document()
	if d == nil {
		return false
	}
	without := *w
	without.Halts = maps.Clone(w.Halts)
	if without.Halts == nil {
		without.Halts = map[ident.VersionRef]spread.Halt{}
	}
	without.Halts[v] = spread.Halt{Version: v, Generation: w.Generation()}
	for id := range d.Accounts {
		if !d.Allows(id, v) {
			continue
		}
		if _, err := plan.ResolveFallback(&without, id, v); err != nil {
			return false
		}
	}
	return true
}

// guardRollout returns the old version that a version in roll-out is compared with,
// and this entry's share of the roll-out's false-alarm rate. It is zero for a version
// that is not in roll-out.
func (c *Controller) guardRollout(v ident.VersionRef) guard.Rollout {
	w := c.o.View()
	d := w.Document()
	if d == nil {
		return guard.Rollout{}
	}
	r := rolloutTo(d, v)
	if r == nil {
		return guard.Rollout{}
	}
	return guard.Rollout{
		From:           ident.VersionRef{Model: r.Model, Version: r.From},
		FalseAlarmRate: r.FalseAlarmRate / float64(max(c.o.Membership().Entries, 1)),
	}
}

func rolloutTo(d *envdoc.Document, v ident.VersionRef) *envdoc.Rollout {
	for _, r := range d.Rollouts {
		if r.Model == v.Model && r.To == v.Version {
			return r
		}
	}
	return nil
}

func allowsModel(a *envdoc.Account, m ident.ModelID) bool {
	for r, ok := range a.Allowed {
		if ok && r.Model == m {
			return true
		}
	}
	return false
}
