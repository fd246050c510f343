package speed

import (
	"math"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
)

const (
	// refreshInterval is how often the levels of the service are calculated from its upstreams.
	refreshInterval = 500 * time.Millisecond
	// priorWeight is the weight of a prior against observations.
	priorWeight = 1.0
	// levelCap bounds the weight of one upstream in the service's median, so that busy ones don't decide it alone.
	levelCap = 8.0
	// factorShrink, ownShrink and ownStepShrink are the weights with which an upstream's factor is drawn to 1, and its own
	// times of prompts and steps to those that follow from its factor. Some upstreams get slower earlier than others, which
	// the factor doesn't contain, so few intervals of an upstream outweigh it.
	factorShrink  = 1.0
	ownShrink     = 6.0
	ownStepShrink = 2.0
	// stepWeight is the weight of an interval between two events: those of one stream are alike.
	stepWeight = 0.25
	// minEvidence is the weight from which a mean is used at all.
	minEvidence = 0.2
	// minBandEvidence is the weight of all upstreams together from which the steps in a band are known: 16 intervals. Those of
	// one stream don't suffice.
	minBandEvidence = 4.0
	// minShare is the least part of the predicted time that a quantity must make up for an observation to count for it.
	minShare = 0.1
	// maxAheadShare is the largest part of the predicted time that may have been spent behind other prompts. With more, the
	// error of the predicted queue exceeds the request's own time.
	maxAheadShare = 0.6
	// loadTTL is how long a reported number of running requests is used.
	loadTTL = 2 * time.Second
	// PaceTTL is how long a reported pace is used; it changes many times a second.
	PaceTTL = 400 * time.Millisecond
	// pacePrior is the weight of the usual pace, 1, against reports of paceWeight each: 40 reports. Those of one disturbed
	// period, 20 at a busy upstream, mustn't make it usual.
	pacePrior  = 4.0
	paceWeight = 0.1
)

// service is the state of a service. It is a pure function of observations and times, without a lock.
type service struct {
	// pacedAt is when an upstream stated a pace last.
	pacedAt   time.Time
	upstreams map[ident.UpstreamID]*upstream
	models    []*model
	// idle and running are the logarithms of these delays in ms.
	idle, running mean
	refreshed     int64
	scratch       []point
}

// model is what the upstreams of a service have in common for one model.
type model struct {
	id     ident.ModelID
	factor float64
	// prompt is the level of the logarithm of ms per prompt token, steps of ms per step; seen tells which steps have evidence.
	prompt     float64
	promptSeen bool
	steps      [bands]float64
	seen       [bands]bool
}

// upstream is the state of one upstream.
type upstream struct {
	cells []cell
	slots int
	// running and reportedAt are from the last report, usualPace is the mean of the logarithms of reported paces.
	running    int
	reportedAt int64
	pace       float64
	usualPace  mean
	// factor is the logarithm of the factor, evidence the weight of the observations in it.
	factor, evidence float64
	observedAt       int64
}

// cell holds the observations of one model at one upstream.
type cell struct {
	model  *model
	prompt mean
	steps  [bands]mean
	knee   int // first band from which steps are markedly slower; bands if there is none
	// unshared holds the observations of this instance since the last exchange, the first of which was made at since.
	unshared observed
	since    int64
	latest   int64
	weight   float64 // of the observations that are not shared
}

// observed are sums of observations.
type observed struct {
	prompt, idle, running Mean
	steps                 [bands]Mean
}

func newService() *service {
	return &service{upstreams: map[ident.UpstreamID]*upstream{}}
}

// cell returns the cell of a target; nil if the bound is reached and there is none.
func (s *service) cell(t *Target, room bool) (*upstream, *cell) {
	u := s.upstreams[t.Upstream]
	if u == nil {
		if !room {
			return nil, nil
		}
		u = &upstream{}
		s.upstreams[t.Upstream] = u
	}
	if t.Slots > 0 {
		u.slots = min(t.Slots, maxSlots)
	}
	if c := u.known(t.Model); c != nil {
		return u, c
	}
	m := s.model(t)
	if m == nil {
		return u, nil
	}
	u.cells = append(u.cells, cell{model: m, knee: bands})
	return u, &u.cells[len(u.cells)-1]
}

// known returns the cell of a model, or nil.
func (u *upstream) known(id ident.ModelID) *cell {
	for i := range u.cells {
		if u.cells[i].model.id == id {
			return &u.cells[i]
		}
	}
	return nil
}

// model returns the level of a target's model; nil if there are too many models.
func (s *service) model(t *Target) *model {
	if m := s.known(t.Model); m != nil {
		return m
	}
	if len(s.models) >= maxModels {
		return nil
	}
	m := &model{id: t.Model, factor: factorOf(t.Factor)}
	s.models = append(s.models, m)
	s.level(m, t.Slots, 0)
	return m
}

// known returns the level of a model, or nil.
func (s *service) known(id ident.ModelID) *model {
	for _, m := range s.models {
		if m.id == id {
			return m
		}
	}
	return nil
}

// observePrompt takes the first event of a response. The time is explained by the delay of an idle upstream, that of the
// running requests, the prompts ahead and the own prompt. What differs from the prediction is attributed to each
// quantity by its part of the prediction: short prompts show the delay, long ones the rate, and a request behind
// a long queue shows neither.
func (s *service) observePrompt(t *Target, o *PromptObservation, now int64, room bool) bool {
	s.refresh(now)
	u, c := s.cell(t, room)
	if c == nil {
		return false
	}
	took := o.Took.Seconds() * 1000
	if !(took > 0) || !(o.Ahead >= 0) || math.IsInf(o.Ahead, 0) {
		return false
	}
	u.observedAt = max(u.observedAt, now)
	if o.Waiting > 0 {
		// The request may have waited behind others of which the prediction doesn't know.
		return false
	}
	pace := u.relativePace(now)
	tokenLog, idleLog, runningLog := u.promptLog(c, now), withPrior(&s.idle, idleLimits), withPrior(&s.running, runningLimits)
	perToken := math.Exp(tokenLog) * pace
	idle, run := math.Exp(idleLog), math.Exp(runningLog)*float64(min(max(o.Running, 0), maxSlots))
	own, ahead := float64(o.Tokens)*perToken, o.Ahead*perToken
	all := idle + run + own + ahead
	if ahead > maxAheadShare*all {
		return false
	}
	r := min(max(math.Log(took/all), -maxResidual), maxResidual)
	i, n, w := idle/all, run/all, own/all
	// norm makes the changes of all quantities together explain the difference, as far as it is not that of the queue.
	norm := i*i + n*n + w*w
	if w >= minShare {
		x := c.prompt.add(tokenLimits.clamp(tokenLog+r*w/norm), w*w, now, promptClip)
		c.unshared.prompt.add(x, w*w)
		c.note(w*w, now)
	}
	if i >= minShare {
		x := s.idle.add(idleLimits.clamp(idleLog+r*i/norm), i*i, now, promptClip)
		c.unshared.idle.add(x, i*i)
		c.note(0, now)
	}
	if n >= minShare {
		x := s.running.add(runningLimits.clamp(runningLog+r*n/norm), n*n, now, promptClip)
		c.unshared.running.add(x, n*n)
		c.note(0, now)
	}
	return true
}

// maxResidual bounds how far one observation may be from the prediction, as a logarithm: a factor of 7.4.
const maxResidual = 2.0

// observeStep takes the interval between two events.
func (s *service) observeStep(t *Target, o *StepObservation, now int64, room bool) bool {
	s.refresh(now)
	u, c := s.cell(t, room)
	if c == nil {
		return false
	}
	took := o.Took.Seconds() * 1000
	if !(took > 0) || o.Tokens <= 0 || o.Tokens > MaxEventTokens {
		return false
	}
	n := o.Running
	if n <= 0 {
		if u.reportedAt == 0 || now-u.reportedAt > int64(loadTTL) {
			return false
		}
		n = u.running
	}
	u.observedAt = max(u.observedAt, now)
	b := band(n, u.slots)
	x := stepLimits.clamp(math.Log(took / float64(o.Tokens) / u.relativePace(now)))
	x = c.steps[b].add(x, stepWeight, now, stepClip)
	c.note(stepWeight, now)
	c.unshared.steps[b].add(x, stepWeight)
	return true
}

// note records that the cell has observations of a weight to share.
func (c *cell) note(weight float64, now int64) {
	c.weight += weight
	if c.since == 0 {
		c.since = now
	}
	c.latest = max(c.latest, now)
}

// report takes the load that an upstream reported.
func (u *upstream) report(l call.Load, at int64) {
	if at < u.reportedAt {
		return
	}
	u.running, u.reportedAt = min(max(l.Running, 0), maxSlots), at
	if l.Slots > 0 {
		u.slots = min(l.Slots, maxSlots)
	}
	u.pace = 0
	if l.Pace > 0 {
		u.pace = paceLimits.clamp(math.Log(float64(l.Pace) / 100))
		u.usualPace.add(u.pace, paceWeight, 0, paceClip)
	}
}

// relativePace returns how many times longer than usual at this upstream work takes, as it reported; 1 without a fresh report.
// It is relative to what the upstream usually reports: one that always reports 180 is slow, not disturbed.
func (u *upstream) relativePace(now int64) float64 {
	if u.usualPace.weight == 0 || u.reportedAt == 0 || now-u.reportedAt > int64(PaceTTL) {
		return 1
	}
	w := u.usualPace.weight
	return math.Exp(paceLimits.clamp(u.pace - u.usualPace.value*w/(w+pacePrior)))
}

// promptLog returns the logarithm of ms per prompt token.
func (u *upstream) promptLog(c *cell, now int64) float64 {
	x := c.model.prompt + u.factor
	w := c.prompt.weightAt(now)
	x += (c.prompt.value - x) * w / (w + ownShrink)
	return tokenLimits.clamp(x)
}

// stepLog returns the logarithm of ms per step in a band.
func (u *upstream) stepLog(c *cell, b int, now int64) float64 {
	x := c.model.steps[b] + u.factor
	w := c.steps[b].weightAt(now)
	x += (c.steps[b].value - x) * w / (w + ownStepShrink)
	return stepLimits.clamp(x)
}

// withPrior returns a mean that a prior of weight priorWeight is part of. Its evidence doesn't age: the latest is better than
// the prior.
func withPrior(m *mean, l limits) float64 {
	return l.clamp(l.prior + (m.value-l.prior)*m.weight/(m.weight+priorWeight))
}

// estimate returns what is expected of a target.
func (s *service) estimate(t *Target, now int64) Estimate {
	s.refresh(now)
	u := s.upstreams[t.Upstream]
	if u == nil {
		u = &upstream{slots: min(max(t.Slots, 0), maxSlots)}
	}
	c := u.known(t.Model)
	if c == nil {
		m := s.known(t.Model)
		if m == nil {
			m = &model{id: t.Model, factor: factorOf(t.Factor)}
			s.level(m, u.slots, now)
		}
		c = &cell{model: m, knee: bands}
		c.knee = u.kneeBand(c, now)
	}
	e := Estimate{
		PromptRate: math.Exp(-u.promptLog(c, now)), Idle: math.Exp(withPrior(&s.idle, idleLimits)), Running: math.Exp(withPrior(&s.running, runningLimits)), Factor: math.Exp(u.factor),
		Pace: u.relativePace(now), slots: u.slots, Confidence: Confidence{Age: -1},
	}
	for b := range bands {
		e.steps[b] = math.Exp(u.stepLog(c, b, now))
		e.Confidence.Observations += c.steps[b].weightAt(now)
	}
	e.Confidence.Observations += c.prompt.weightAt(now)
	if u.observedAt != 0 {
		e.Confidence.Age = time.Duration(max(now-u.observedAt, 0))
	}
	e.Knee = u.slots
	if c.knee < bands && u.slots > 0 {
		e.Knee = max(c.knee*u.slots/bands, 1)
	}
	return e
}
