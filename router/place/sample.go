package place

import (
	"slices"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/speed"
)

// Sample aggregates observations of one upstream.
type Sample struct {
	Upstream ident.UpstreamID
	// Responses is the number of responses whose time is in LogSlowdown.
	Responses int
	// LogSlowdown is the mean natural logarithm of their times divided by the nominal
	// times.
	LogSlowdown float64
	// Load is the load reported last; it is valid if HasLoad is true.
	Load    call.Load
	HasLoad bool
	// Prefixes are the shared prefixes that the upstream processed.
	Prefixes []Prefix
	// Successes and Failures count the attempts that succeeded and that failed. Domain is
	// the failure domain of the instances that saw them: some upstreams fail only for
	// clients in some failure domains.
	Successes, Failures int
	Domain              ident.DomainID
	// Speed holds what instances observed of the upstream's speed.
	Speed []speed.Summary
	// At is the time of the newest observation.
	At time.Time
}

// Merge returns the aggregate of two samples of one upstream and one failure domain.
func (s Sample) Merge(o Sample) Sample {
	if o.At.Before(s.At) {
		s, o = o, s
	}
	n := s.Responses + o.Responses
	if n > 0 {
		o.LogSlowdown = (s.LogSlowdown*float64(s.Responses) + o.LogSlowdown*float64(o.Responses)) / float64(n)
	}
	o.Responses = n
	o.Successes, o.Failures = s.Successes+o.Successes, s.Failures+o.Failures
	if !o.HasLoad {
		o.Load, o.HasLoad = s.Load, s.HasLoad
	}
	o.Speed = speed.MergeSummaries(s.Speed, o.Speed)
	if len(s.Prefixes) > 0 {
		all := slices.Concat(s.Prefixes, o.Prefixes)
		o.Prefixes = all[max(len(all)-maxSamplePrefixes, 0):]
	}
	return o
}

// DrainSamples returns this instance's observations since the last call, one sample for
// each upstream.
func (b *Balancer) DrainSamples() []Sample {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Sample
	for _, s := range b.unshared {
		s.Domain = b.domain
		out = append(out, s)
	}
	clear(b.unshared)
	return out
}

// MergeSamples adds the observations of other instances. A newer load report replaces an
// older one, and each response updates the slowdown like one of this instance. Successes
// and failures count only if they were seen from the own failure domain.
func (b *Balancer) MergeSamples(ss []Sample, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range ss {
		l := b.loadOf(s.Upstream)
		if s.HasLoad && s.At.After(l.reportedAt) {
			l.reported, l.reportedAt = s.Load, s.At
		}
		l.slowdown.add(s.LogSlowdown, s.Responses, now)
		for _, p := range s.Prefixes {
			b.holders.add(p, s.Upstream, s.At)
		}
		if s.Domain == b.domain {
			b.mergeOutcomes(s, now)
		}
	}
}

// mergeOutcomes records the outcomes that another instance saw. Their order is unknown,
// so a sample with any success ends a run of failures.
func (b *Balancer) mergeOutcomes(s Sample, now time.Time) {
	if s.Successes > 0 {
		b.outliers.Success(s.Upstream)
		return
	}
	all := b.serviceSizes[s.Upstream]
	for range s.Failures {
		b.outliers.Failure(s.Upstream, all, now)
	}
}

// addSample adds an observation of this instance to those for the next DrainSamples.
func (b *Balancer) addSample(s Sample) {
	if o, ok := b.unshared[s.Upstream]; ok {
		s = o.Merge(s)
	}
	b.unshared[s.Upstream] = s
}

// loadOf returns the state of an upstream; it creates one if there is none.
func (b *Balancer) loadOf(id ident.UpstreamID) *upstreamLoad {
	l := b.loads[id]
	if l == nil {
		l = &upstreamLoad{}
		b.loads[id] = l
	}
	return l
}

// Backlog is the work of attempts at an upstream that have no response yet.
type Backlog struct {
	Upstream ident.UpstreamID
	// Work is nominal work in ms, Attempts the number of attempts.
	Work     float64
	Attempts int
}

// BacklogTTL is how long the backlog of other instances is used if no newer one arrives.
const BacklogTTL = 1500 * time.Millisecond

// Backlog returns this instance's attempts without a response, one entry for each
// upstream.
func (b *Balancer) Backlog() []Backlog {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Backlog
	for id, l := range b.loads {
		if l.pendingCount > 0 {
			out = append(out, Backlog{Upstream: id, Work: l.pending, Attempts: l.pendingCount})
		}
	}
	return out
}

// SetRemoteBacklog replaces the backlog of other instances.
func (b *Balancer) SetRemoteBacklog(bs []Backlog, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.loads {
		l.others = Backlog{}
	}
	for _, x := range bs {
		b.loadOf(x.Upstream).others = x
	}
	b.remoteAt = now
}
