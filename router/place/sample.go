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
	// Answers is the number of answers summed up.
	Answers int
	// Pace is the mean natural logarithm of their time against the nominal time.
	Pace float64
	// Load is the last reported load if Loaded is true.
	Load   call.Load
	Loaded bool
	// Prefixes are shared parts of prompts that the upstream read.
	Prefixes []Prefix
	// Good and Bad are the numbers of attempts that ended well and that failed, as
	// seen from one failure domain: some upstreams fail only for callers of some.
	Good, Bad int
	Domain    ident.DomainID
	// At is when the newest of it was seen.
	At time.Time
}

// Join returns the sum of two samples of one upstream and one failure domain.
func (s Sample) Join(o Sample) Sample {
	if o.At.Before(s.At) {
		s, o = o, s
	}
	n := s.Answers + o.Answers
	if n > 0 {
		o.Pace = (s.Pace*float64(s.Answers) + o.Pace*float64(o.Answers)) / float64(n)
	}
	o.Answers = n
	o.Good, o.Bad = s.Good+o.Good, s.Bad+o.Bad
	if !o.Loaded {
		o.Load, o.Loaded = s.Load, s.Loaded
	}
	if len(s.Prefixes) > 0 {
		all := slices.Concat(s.Prefixes, o.Prefixes)
		o.Prefixes = all[max(len(all)-maxSamplePrefixes, 0):]
	}
	return o
}

// Drain returns what own answers showed since the last call, one sample for each upstream.
func (b *Book) Drain() []Sample {
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

// Merge adds what other instances saw. A report replaces an older one, and each
// answer counts for the speed like an own one. Failures count if they were seen from
// the own failure domain.
func (b *Book) Merge(ss []Sample, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range ss {
		l := b.load(s.Upstream)
		if s.Loaded && s.At.After(l.at) {
			l.reported, l.at = s.Load, s.At
		}
		l.pace.add(s.Pace, s.Answers, now)
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
func (b *Book) mergeOutcomes(s Sample, now time.Time) {
	if s.Good > 0 {
		b.outliers.Success(s.Upstream)
		return
	}
	all := b.sizes[s.Upstream]
	for range s.Bad {
		b.outliers.Failure(s.Upstream, all, now)
	}
}

// note keeps a sample of an own answer until the next Drain.
func (b *Book) note(s Sample) {
	if o, ok := b.fresh[s.Upstream]; ok {
		s = o.Join(s)
	}
	b.fresh[s.Upstream] = s
}

// load returns the record of an upstream, a new one if there is none.
func (b *Book) load(id ident.UpstreamID) *load {
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

// BacklogLife is how long the backlog of other instances counts without a newer one.
const BacklogLife = 1500 * time.Millisecond

// Backlog returns own attempts without an answer, one entry for each upstream.
func (b *Book) Backlog() []Backlog {
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

// SetOthers replaces what is known of the backlog of other instances.
func (b *Book) SetOthers(bs []Backlog, now time.Time) {
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
