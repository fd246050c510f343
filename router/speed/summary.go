package speed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tarragonvalve.example/core/ident"
)

const (
	// MaxSummaries bounds the summaries of one upstream in a message. Those that are left out are evidence lost, nothing more.
	MaxSummaries = 32
	// relayedRate is the number of summaries a second that an instance which relays samples may send to all others together:
	// each summary goes to each instance. With 29 instances that sent 30 a second each, relaying took a third of a core.
	relayedRate = 2000.0
	// maxDrained bounds the summaries of one DrainSummaries; the rest follow in the next.
	maxDrained = 256
	// shareWeight is the weight of observations from which they are shared at once, shareInterval how long others wait for more
	// to come. At 20 requests a second to 53 upstreams a router so sends some 30 summaries a second instead of 140.
	shareWeight   = 4.0
	shareInterval = 2 * time.Second
	// maxAge bounds the age that another instance states; the weight of such a summary is next to nothing.
	maxAge = 10 * time.Minute
	// maxSummaryWeight bounds the weight of a summary that another instance sent.
	maxSummaryWeight = maxWeight / 2
)

// Mean is a mean of logarithms with the weight of the observations in it.
type Mean struct {
	Value, Weight float64
}

// BandMean is the mean time of a step, in logarithms of ms, in one of the ranges of running requests.
type BandMean struct {
	Mean
	Band int
}

// Summary aggregates what one instance observed of one upstream and model since its last summary of them. Origin and Sequence
// identify it, so that it is counted once however often and in which order it arrives.
type Summary struct {
	Origin, Sequence uint64
	Model            ident.ModelID
	// Factor is the model's expected time per token relative to the reference model.
	Factor float64
	// Prompt is of ms per prompt token, Idle and Running are of delays in ms.
	Prompt, Idle, Running Mean
	Steps                 []BandMean
	// At is the time of the newest observation.
	At time.Time
}

// UpstreamSummary is a summary with the upstream that it is of.
type UpstreamSummary struct {
	Upstream ident.UpstreamID
	Summary
}

// MergeSummaries returns the summaries of two lists, each once. The newest MaxSummaries are kept. The result doesn't depend on
// the order of the lists, which it may modify.
func MergeSummaries(a, b []Summary) []Summary {
	switch {
	case len(b) == 0:
		return a
	case len(a) == 0:
		return b
	}
	all := slices.Concat(a, b)
	slices.SortFunc(all, func(x, y Summary) int {
		return cmp.Or(y.At.Compare(x.At), cmp.Compare(x.Origin, y.Origin), cmp.Compare(x.Sequence, y.Sequence))
	})
	out := all[:0]
	for _, s := range all {
		if !slices.ContainsFunc(out, func(o Summary) bool { return o.Origin == s.Origin && o.Sequence == s.Sequence }) {
			out = append(out, s)
		}
	}
	return out[:min(len(out), MaxSummaries)]
}

// DrainSummaries returns what this instance has observed since the last call, as far as it is due.
func (r *Registry) DrainSummaries(now time.Time) []UpstreamSummary {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := r.mostDrained(now.UnixNano())
	var out []UpstreamSummary
	for _, s := range r.services {
		for id, u := range s.upstreams {
			for i := range u.cells {
				if c := &u.cells[i]; len(out) < most && c.due(now.UnixNano()) {
					r.sequence++
					x := c.drain()
					x.Origin, x.Sequence = r.origin, r.sequence
					out = append(out, UpstreamSummary{Upstream: id, Summary: x})
				}
			}
		}
	}
	if r.instances > 1 {
		r.drainable -= float64(len(out))
	}
	return out
}

// SetInstances sets the number of instances that exchange summaries.
func (r *Registry) SetInstances(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = n
}

// mostDrained returns how many summaries may be drained now, so that those of all instances stay within relayedRate.
func (r *Registry) mostDrained(now int64) int {
	if r.instances <= 1 {
		return maxDrained
	}
	rate := relayedRate / float64(r.instances*r.instances)
	if r.drainedAt != 0 {
		r.drainable = min(r.drainable+rate*float64(now-r.drainedAt)/float64(time.Second), max(rate, 1))
	}
	r.drainedAt = now
	return int(r.drainable)
}

func (c *cell) due(now int64) bool {
	return c.since != 0 && (now-c.since >= int64(shareInterval) || c.weight >= shareWeight)
}

// drain returns the observations that are not yet shared.
func (c *cell) drain() Summary {
	o := &c.unshared
	x := Summary{
		Model: c.model.id, Factor: c.model.factor, At: time.Unix(0, c.latest),
		Prompt: o.prompt, Idle: o.idle, Running: o.running,
	}
	for b, m := range o.steps {
		if m.Weight > 0 {
			x.Steps = append(x.Steps, BandMean{Mean: m, Band: b})
		}
	}
	*o = observed{}
	c.since, c.weight = 0, 0
	return x
}

// MergeSummaries adds what other instances observed of an upstream. Summaries that were added before, and those of upstreams
// that are not listed, are ignored.
func (r *Registry) MergeSummaries(id ident.UpstreamID, ss []Summary, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[r.serviceOf[id]]
	if s == nil {
		return
	}
	for i := range ss {
		x := &ss[i]
		if x.Origin == r.origin || !r.seen.add(x.Origin, x.Sequence, now.UnixNano()) {
			continue
		}
		t := Target{Upstream: id, Model: x.Model, Factor: x.Factor}
		u, c := s.cell(&t, false)
		if c == nil {
			continue
		}
		at := now.Add(-min(max(now.Sub(x.At), 0), maxAge)).UnixNano()
		s.merge(c, x, at)
		u.observedAt = max(u.observedAt, at)
		r.stats.Merged++
	}
}

// merge adds a summary. The values of other instances are bounded like own ones.
func (s *service) merge(c *cell, x *Summary, at int64) {
	mergeMean(&c.prompt, x.Prompt, tokenLimits, at, promptClip)
	mergeMean(&s.idle, x.Idle, idleLimits, at, promptClip)
	mergeMean(&s.running, x.Running, runningLimits, at, promptClip)
	for _, b := range x.Steps {
		if b.Band >= 0 && b.Band < bands {
			mergeMean(&c.steps[b.Band], b.Mean, stepLimits, at, stepClip)
		}
	}
}

// mergeMean adds a mean of observations within limits; one that is no number is ignored.
func mergeMean(m *mean, x Mean, l limits, at int64, c clip) {
	if !(x.Weight > 0) || math.IsInf(x.Weight, 0) || math.IsNaN(x.Value) {
		return
	}
	m.add(l.clamp(x.Value), min(x.Weight, maxSummaryWeight), at, c)
}

const (
	// seenWindow is the number of the latest summaries of an instance among which a repeated one is recognized; an older one
	// counts as repeated. At 100 a second they cover 20 s, and a sample is passed on for 2 s.
	seenWindow = 2048
	// maxOrigins bounds the instances that are told apart. A restarted one counts anew.
	maxOrigins = 1024
)

// seenSet holds which summaries of other instances were added.
type seenSet map[uint64]*origin

type origin struct {
	newest uint64
	at     int64
	bits   [seenWindow / 64]uint64
}

// add records a summary and returns false if it was there before.
func (s seenSet) add(from, sequence uint64, now int64) bool {
	o := s[from]
	if o == nil {
		if len(s) >= maxOrigins {
			s.dropOldest()
		}
		o = &origin{}
		s[from] = o
	}
	o.at = now
	if o.newest > sequence && o.newest-sequence >= seenWindow {
		return false
	}
	if sequence > o.newest {
		for n := range min(sequence-o.newest, seenWindow) {
			x := sequence - n
			o.bits[x%seenWindow/64] &^= 1 << (x % 64)
		}
		o.newest = sequence
	}
	w, bit := &o.bits[sequence%seenWindow/64], uint64(1)<<(sequence%64)
	if *w&bit != 0 {
		return false
	}
	*w |= bit
	return true
}

func (s seenSet) dropOldest() {
	var oldest uint64
	at := int64(math.MaxInt64)
	for id, o := range s {
		if o.at < at {
			oldest, at = id, o.at
		}
	}
	delete(s, oldest)
}
