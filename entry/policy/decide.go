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
	// speedStep is the weight of a new observation in a version's speed.
	speedStep = 0.05
	// defaultFirst and defaultPerToken stand in until a version was observed.
	defaultFirst    = 300 * time.Millisecond
	defaultPerToken = 30 * time.Millisecond
	// defaultOutput is the expected length of an answer until a task was observed, in tokens.
	defaultOutput = 200
	// maxTasks bounds the task labels that are remembered, since callers choose them.
	maxTasks = 1000
	// probeEvery is the number of requests of which one probes a version that is not known yet.
	probeEvery = 4
	// maxExposed bounds the sessions remembered per roll-out without a bound of its own.
	maxExposed = 100_000
)

// speed is what a version's answers took lately.
type speed struct {
	first    time.Duration
	perToken time.Duration
}

func (s speed) observe(o Outcome) speed {
	per := (o.Total - o.FirstToken) / time.Duration(max(o.Output, 1))
	if s.first == 0 {
		return speed{first: o.FirstToken, perToken: per}
	}
	s.first += time.Duration(speedStep * float64(o.FirstToken-s.first))
	s.perToken += time.Duration(speedStep * float64(per-s.perToken))
	return s
}

func (s speed) predict(out ident.Tokens) time.Duration {
	if s.first == 0 {
		s = speed{first: defaultFirst, perToken: defaultPerToken}
	}
	return s.first + time.Duration(out)*s.perToken
}

// expected returns the expected number of output tokens of a task.
func (c *Controller) expected(t ident.TaskID, most ident.Tokens) ident.Tokens {
	n, ok := c.outputs[t]
	if !ok {
		n = defaultOutput
	}
	return min(ident.Tokens(n), most)
}

func (c *Controller) observeOutput(t ident.TaskID, out ident.Tokens) {
	n, ok := c.outputs[t]
	if !ok && len(c.outputs) >= maxTasks {
		return
	}
	if !ok {
		n = float64(out)
	}
	c.outputs[t] = n + speedStep*(float64(out)-n)
}

func (c *Controller) plan(q Query) (Decision, error) {
	d, err := c.decide(q)
	d.Output = c.expected(q.Task, q.MaxOutput)
	return d, err
}

func (c *Controller) decide(q Query) (Decision, error) {
	d := q.View.Document()
	if d == nil {
		return Decision{}, refuse.New(refuse.NoDocument, refuse.NotRun, "no document is in force")
	}
	c.count.Plans.Add(1)
	c.newGeneration(q.View)
	if q.Pin != (ident.VersionRef{}) {
		return c.pinned(q)
	}
	if q.Model == Auto || q.Model == "" {
		return c.auto(q)
	}
	if r, err := ident.ParseRef(q.Model); err == nil {
		return c.exact(q, r)
	}
	v, err := c.version(q, ident.ModelID(q.Model))
	if err != nil {
		return Decision{}, err
	}
	return c.single(q, v), nil
}

// exact serves a caller who names a version; it has no fallback.
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

// pinned serves a session that has a version.
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

// auto chooses among all models that the account may use.
func (c *Controller) auto(q Query) (Decision, error) {
	d := q.View.Document()
	var cs []plan.Candidate
	var last error = refuse.New(refuse.ModelNotAllowed, refuse.NotRun, "account may use no model")
	for _, id := range slices.Sorted(maps.Keys(d.Models)) {
		if !allowsModel(q.Account, id) {
			continue
		}
		v, err := c.version(q, id)
		if err != nil {
			last = err
			continue
		}
		cs = append(cs, c.candidate(q, v))
	}
	if len(cs) == 0 {
		return Decision{}, last
	}
	c.fillAfter(q, cs)
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
		// The version that answers becomes the pin when it is known.
		out.Pin = p.First
	}
	c.expose(q, choice)
	return out, nil
}

// fillAfter adds the quality of each candidate on requests that another one answered weakly.
func (c *Controller) fillAfter(q Query, cs []plan.Candidate) {
	for i := range cs {
		b := &cs[i]
		b.QualityAfter = map[ident.VersionRef]plan.Estimate{}
		for _, a := range cs {
			if plan.MayEscalate(a, *b) {
				b.QualityAfter[a.Version] = c.quality.EstimateAfter(q.Account.ID, q.Task, b.Version, a.Version, b.Quality)
			}
		}
	}
}

// explores reports whether a request explores: one of ExploreEvery, and one of
// probeEvery while a version is too little known to start a cascade.
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

// choose applies the strategy to at least one candidate.
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
	c.expose(q, x)
	return Decision{Choice: x, Pin: v}
}

func (c *Controller) version(q Query, m ident.ModelID) (ident.VersionRef, error) {
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
	out := c.expected(q.Task, q.MaxOutput)
	p := plan.Prior{Mean: v.QualityPrior}
	if x := rolloutTo(d, r); x != nil {
		p.Predecessor = ident.VersionRef{Model: x.Model, Version: x.From}
	}
	return plan.Candidate{
		Version:    r,
		Cost:       ident.MicroCents(q.Input)*v.InputPrice + ident.MicroCents(out)*v.OutputPrice,
		Time:       c.speeds[r].predict(out),
		Quality:    c.quality.Estimate(q.Account.ID, q.Task, r, p),
		EscalateTo: d.Models[r.Model].Escalate,
	}
}

// expose remembers the sessions that a roll-out's new version serves.
func (c *Controller) expose(q Query, x plan.Choice) {
	switch p := x.Plan.(type) {
	case plan.Single:
		c.exposeVersion(q, p.Version)
	case plan.Cascade:
		c.exposeVersion(q, p.First)
		c.exposeVersion(q, p.EscalateTo)
	}
}

func (c *Controller) exposeVersion(q Query, v ident.VersionRef) {
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

// newGeneration forgets what a new document makes void.
func (c *Controller) newGeneration(v *spread.View) {
	if v.Generation() == c.current {
		return
	}
	c.current = v.Generation()
	d := v.Document()
	for id := range c.exposed {
		if d.Rollouts[id] == nil {
			delete(c.exposed, id)
		}
	}
	for r, g := range c.halted {
		if x, ok := d.Versions[r]; ok && x.HaltsClearedAt >= g {
			delete(c.halted, r)
			c.watch.Forget(r)
		}
	}
}

func (c *Controller) observe(o Outcome) {
	if !o.Failed {
		c.speeds[o.Version] = c.speeds[o.Version].observe(o)
		c.observeOutput(o.Task, o.Output)
		c.quality.Observe(plan.Answer{Account: o.Account, Task: o.Task, Version: o.Version, EscalatedFrom: o.EscalatedFrom, Logprob: o.Logprob})
	}
	// The time per token compares answers of unlike lengths.
	l := time.Duration(0)
	if !o.Failed {
		l = (o.Total - o.Queued) / time.Duration(max(o.Output, 1))
	}
	c.check(o.Version, guard.Observation{Failed: o.Failed, Latency: l})
}

func (c *Controller) rate(r Rating) {
	c.quality.Observe(plan.Answer{
		Account: r.Account, Task: r.Task, Version: r.Version, EscalatedFrom: r.EscalatedFrom, Logprob: r.Logprob, Good: &r.Good,
	})
	if r.EscalatedFrom == (ident.VersionRef{}) {
		// Escalated requests are harder than others, so their ratings don't compare.
		c.check(r.Version, guard.Observation{Rating: &r.Good})
	}
}

func (c *Controller) check(v ident.VersionRef, o guard.Observation) {
	b, ok := c.watch.Observe(v, c.comparison(v), o).(guard.Degraded)
	if !ok || c.o.GuardOff {
		return
	}
	if !c.replaceable(v) {
		// Some answers are better than none; operators may still halt the version.
		c.count.HaltsSkipped.Add(1)
		return
	}
	c.halt(v, b)
}

// replaceable reports whether every account that may use a version has a usable fallback for it.
func (c *Controller) replaceable(v ident.VersionRef) bool {
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

// comparison names what a version is compared with; each entry takes its part of the false-alarm rate.
func (c *Controller) comparison(v ident.VersionRef) guard.Rollout {
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
