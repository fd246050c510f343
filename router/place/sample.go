package place

import (
	"slices"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
)

// Sample sums up what answers of one upstream showed.
type Sample struct {
	Upstream ident.UpstreamID
	// Responses is the number of answers summed up.
	Responses int
	// LogSlowdown is the mean natural logarithm of their time against the nominal time.
	LogSlowdown float64
	// Load is the last reported load if Loaded is true.
	Load    call.Load
	HasLoad bool
	// Prefixes are shared parts of prompts that the upstream read.
	Prefixes []Prefix
	// Successes and Failures are the numbers of attempts that ended well and that failed, as
	// seen from one failure domain: some upstreams fail only for callers of some.
	Successes, Failures int
	Domain              ident.DomainID
	// At is when the newest of it was seen.
	At time.Time
}

// Merge returns the sum of two samples of one upstream and one failure domain.
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
	if len(s.Prefixes) > 0 {
		all := slices.Concat(s.Prefixes, o.Prefixes)
		o.Prefixes = all[max(len(all)-maxSamplePrefixes, 0):]
	}
	return o
}

// DrainSamples returns what own answers showed since the last call, one sample for each upstream.
func (b *Balancer) DrainSamples() []Sample {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Sample
	for _, s := range b.fresh {
		s.Domain = b.domain
		out = append(out, s)
	}
	clear(b.fresh)
	return out
}

// MergeSamples adds what other instances saw. A report replaces an older one, and each
// answer counts for the speed like an own one. Failures count if they were seen from
// the own failure domain.
func (b *Balancer) MergeSamples(ss []Sample, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range ss {
		l := b.load(s.Upstream)
		if s.HasLoad && s.At.After(l.at) {
			l.reported, l.at = s.Load, s.At
		}
		l.pace.add(s.LogSlowdown, s.Responses, now)
		for _, p := range s.Prefixes {
			b.holders.add(p, s.Upstream, s.At)
		}
		if s.Domain == b.domain {
			b.mergeOutcomes(s, now)
		}
	}
}

// mergeOutcomes counts the outcomes that another instance saw. Their order is unknown: a
// success among them ends a row of failures.
func (b *Balancer) mergeOutcomes(s Sample, now time.Time) {
	if s.Successes > 0 {
		b.outliers.Success(s.Upstream)
		return
	}
	all := b.sizes[s.Upstream]
	for range s.Failures {
		b.outliers.Failure(s.Upstream, all, now)
	}
}

// note keeps a sample of an own answer until the next DrainSamples.
func (b *Balancer) note(s Sample) {
	if o, ok := b.fresh[s.Upstream]; ok {
		s = o.Merge(s)
	}
	b.fresh[s.Upstream] = s
}

// load returns the record of an upstream, a new one if there is none.
func (b *Balancer) load(id ident.UpstreamID) *load {
	l := b.loads[id]
	if l == nil {
		l = &load{}
		b.loads[id] = l
	}
	return l
}

// Backlog is work sent to an upstream that has no answer yet.
type Backlog struct {
	Upstream ident.UpstreamID
	// Work is nominal work in ms.
	Work     float64
	Attempts int
}

// BacklogTTL is how long the backlog of other instances counts without a newer one.
const BacklogTTL = 1500 * time.Millisecond

// Backlog returns own attempts without an answer, one entry for each upstream.
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

// SetRemoteBacklog replaces what is known of the backlog of other instances.
func (b *Balancer) SetRemoteBacklog(bs []Backlog, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.loads {
		l.others = Backlog{}
	}
	for _, x := range bs {
		b.load(x.Upstream).others = x
	}
	b.othersAt = now
}
