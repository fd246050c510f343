package speed

import (
	"math"
	"slices"
	"time"
)

// point is an observation of one upstream, with its weight, of which a median is taken.
type point struct{ value, weight float64 }

// refresh calculates the levels of the service from the factors of its upstreams, and then their factors from the levels. Further
// rounds of this fit follow in the next ones.
func (s *service) refresh(now int64) {
	if s.refreshed != 0 && now-s.refreshed < int64(refreshInterval) && now >= s.refreshed {
		return
	}
	s.refreshed = now
	slots := 0
	for _, u := range s.upstreams {
		slots = max(slots, u.slots)
	}
	for _, m := range s.models {
		s.level(m, slots, now)
	}
	for _, u := range s.upstreams {
		u.updateFactor(now)
	}
	s.center()
	for _, u := range s.upstreams {
		for i := range u.cells {
			u.cells[i].knee = u.kneeBand(&u.cells[i], now)
		}
	}
}

// center makes the median of the factors 1, as a common factor of all upstreams is the level's.
func (s *service) center() {
	s.scratch = s.scratch[:0]
	all := 0.0
	for _, u := range s.upstreams {
		if u.evidence >= minEvidence {
			w := min(u.evidence, levelCap)
			s.scratch = append(s.scratch, point{u.factor, w})
			all += w
		}
	}
	if all == 0 {
		return
	}
	m := weightedMedian(s.scratch, all)
	for _, u := range s.upstreams {
		if u.evidence > 0 {
			u.factor = factorLimits.clamp(u.factor - m*u.evidence/(u.evidence+factorShrink))
		}
	}
}

// level calculates what the upstreams have in common for a model: the median without their factors, so that some slow
// upstreams don't change what is usual, while a change of more than half of them does. The factors are left out, as slow
// upstreams may be the only ones that run a number of requests.
func (s *service) level(m *model, slots int, now int64) {
	shift := s.shift(m)
	prior := math.Log(m.factor/priorPromptRate) + shift
	var ok bool
	m.prompt, ok = s.median(m, now, prior, minEvidence, func(c *cell) *mean { return &c.prompt })
	m.promptSeen = ok
	near := math.NaN()
	for b := range bands {
		p := priorStepLog(b, slots, m.factor)
		m.steps[b], m.seen[b] = s.median(m, now, p+shift, minBandEvidence, func(c *cell) *mean { return &c.steps[b] })
		if m.seen[b] {
			near = m.steps[b] - p
		} else if !math.IsNaN(near) {
			m.steps[b] = p + near
		}
	}
	near = math.NaN()
	for b := bands - 1; b >= 0; b-- {
		p := priorStepLog(b, slots, m.factor)
		if m.seen[b] {
			near = m.steps[b] - p
		} else if !math.IsNaN(near) && !slices.Contains(m.seen[:b], true) {
			m.steps[b] = p + near
		}
	}
}

// shift returns how far the prompts of other models of the service are from their priors, which is the best prior of a model
// without observations.
func (s *service) shift(m *model) float64 {
	n, x := 0.0, 0.0
	for _, o := range s.models {
		if o != m && o.promptSeen {
			x += o.prompt - math.Log(o.factor/priorPromptRate)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return x / n
}

// median returns the weighted median of a mean over the upstreams, with a prior, and whether any has evidence.
func (s *service) median(m *model, now int64, prior, enough float64, of func(c *cell) *mean) (float64, bool) {
	s.scratch = append(s.scratch[:0], point{prior, 0})
	all := 0.0
	for _, u := range s.upstreams {
		for i := range u.cells {
			c := &u.cells[i]
			if c.model != m {
				continue
			}
			x := of(c)
			if w := min(x.weightAt(now), levelCap); w >= minEvidence {
				s.scratch = append(s.scratch, point{x.value - u.factor, w})
				all += w
			}
		}
	}
	if all < enough {
		return prior, false
	}
	v := weightedMedian(s.scratch[1:], all)
	return prior + (v-prior)*all/(all+priorWeight), true
}

// weightedMedian returns the median of points whose weights sum up to all, interpolated between neighbours.
func weightedMedian(ps []point, all float64) float64 {
	slices.SortFunc(ps, func(a, b point) int {
		switch {
		case a.value < b.value:
			return -1
		case a.value > b.value:
			return 1
		}
		return 0
	})
	sum := 0.0
	for i, p := range ps {
		center := sum + p.weight/2
		if center >= all/2 {
			if i == 0 {
				return p.value
			}
			q := ps[i-1]
			before := sum - q.weight/2
			return q.value + (p.value-q.value)*(all/2-before)/(center-before)
		}
		sum += p.weight
	}
	return ps[len(ps)-1].value
}

// updateFactor calculates the upstream's factor from the levels.
func (u *upstream) updateFactor(now int64) {
	n, x := 0.0, 0.0
	for i := range u.cells {
		c := &u.cells[i]
		if w := u.factorWeight(&c.prompt, now); c.model.promptSeen && w > 0 {
			n += w
			x += w * (c.prompt.value - c.model.prompt)
		}
		// Steps beyond the knee say how full the upstream is.
		for b := range c.knee {
			if w := u.factorWeight(&c.steps[b], now); c.model.seen[b] && w > 0 {
				n += w
				x += w * (c.steps[b].value - c.model.steps[b])
			}
		}
	}
	u.evidence = n
	u.factor = factorLimits.clamp(x / (n + factorShrink))
}

// supersededTime is the time constant with which a mean loses weight in the factor while others of the upstream get observations.
// Without it a recovered upstream that gets a trial every 6 s counts by its many older means.
const supersededTime = 4 * time.Second

// factorWeight returns the weight of a mean in the factor.
func (u *upstream) factorWeight(m *mean, now int64) float64 {
	w := m.weightAt(now)
	if w == 0 {
		return 0
	}
	return w * math.Exp(-float64(max(u.observedAt-m.at, 0))/float64(supersededTime))
}
