// Package fleet holds the candidate upstreams of attempts, by version and by service,
// in immutable snapshots of the agents' statuses and of outlier detection.
package fleet

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/entry/agents"
	"tarragonvalve.example/entry/relay"
	"tarragonvalve.example/entry/retry"
	"tarragonvalve.example/entry/score"
)

const (
	// snapshotInterval is the time between two snapshots. Draining and silent agents
	// are checked again at each selection, so an old snapshot only delays the use of
	// free capacity.
	snapshotInterval = 50 * time.Millisecond
	// maxReports bounds the results of attempts that wait for the control goroutine.
	maxReports = 4096
	// maxPicks bounds the candidates that are tried in one selection, since some may
	// have become unusable after the snapshot.
	maxPicks = 8
	// costFirstTokenWeight and latencyFirstTokenWeight weigh the time to the first
	// token against the time to the end, for accounts whose objective is cost or
	// latency.
	costFirstTokenWeight    = 0.2
	latencyFirstTokenWeight = 0.3
)

// Links returns the links to agents. *agents.Set implements it.
type Links interface {
	Links() []*agents.Link
	Link(u ident.UpstreamID) *agents.Link
}

// Options are the settings and dependencies of a Fleet.
type Options struct {
	Links    Links
	Strategy score.Strategy
	// Domain is this entry's failure domain.
	Domain ident.DomainID
	// Delay returns the one-way delay between two failure domains.
	Delay func(from, to ident.DomainID) time.Duration
	Now   func() time.Time
}

// snapshot holds the candidates by the version that they have loaded and by the
// service that they provide.
type snapshot struct {
	versions map[ident.VersionRef][]*score.Upstream
	services map[ident.ServiceID][]*score.Upstream
}

type attemptResult struct {
	upstream ident.UpstreamID
	ok       bool
}

// Fleet selects upstreams. It is safe for concurrent use.
type Fleet struct {
	o       Options
	current atomic.Pointer[snapshot]
	reports chan attemptResult
	dropped atomic.Uint64

	// Only the control goroutine, Run, accesses the fields below.
	outliers *retry.OutlierDetector
	members  map[ident.UpstreamID]*member
}

// member is a candidate with the status and the ejection that it was made from.
type member struct {
	seen     *agents.ReceivedStatus
	ejected  bool
	upstream *score.Upstream
}

// New returns a fleet without candidates.
func New(o Options) *Fleet {
	f := &Fleet{o: o, reports: make(chan attemptResult, maxReports), outliers: retry.NewOutlierDetector(), members: map[ident.UpstreamID]*member{}}
	f.current.Store(&snapshot{})
	return f
}

// Name implements serve.Component.
func (f *Fleet) Name() string { return "fleet" }

// Run takes a snapshot in each interval until the context ends. It returns nil.
func (f *Fleet) Run(ctx context.Context) error {
	t := time.NewTicker(snapshotInterval)
	defer t.Stop()
	for {
		f.rebuild()
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// Ended records whether an attempt or call at an upstream succeeded. It never blocks:
// it drops the result when too many wait.
func (f *Fleet) Ended(u ident.UpstreamID, ok bool) {
	select {
	case f.reports <- attemptResult{upstream: u, ok: ok}:
	default:
		f.dropped.Add(1)
	}
}

// Dropped returns the number of results that Ended dropped.
func (f *Fleet) Dropped() uint64 { return f.dropped.Load() }

// Pick selects an upstream for an attempt. It returns false when none is usable.
func (f *Fleet) Pick(p relay.PickInfo) (*agents.Link, bool) {
	w := costFirstTokenWeight
	if p.Account != nil && p.Account.Objective == envdoc.ObjectiveLatency {
		w = latencyFirstTokenWeight
	}
	return f.pick(f.current.Load().versions[p.Version], score.Request{
		Input:            p.Input,
		Output:           p.Output,
		Prefixes:         p.Prefixes,
		PrefixTokens:     relay.PrefixTokens,
		Seed:             p.Seed,
		FirstTokenWeight: w,
		Exclude:          p.Exclude,
	})
}

// PickService selects an upstream for a call of a plain service. It returns false when
// none is usable.
func (f *Fleet) PickService(s ident.ServiceID, seed uint64, exclude []ident.UpstreamID) (*agents.Link, bool) {
	return f.pick(f.current.Load().services[s], score.Request{Seed: seed, Exclude: exclude})
}

func (f *Fleet) pick(us []*score.Upstream, r score.Request) (*agents.Link, bool) {
	now := f.o.Now()
	for range maxPicks {
		c, ok := score.Choose(f.o.Strategy, us, r, now)
		if !ok {
			return nil, false
		}
		l := f.o.Links.Link(c.Upstream.ID)
		if l != nil && l.Usable(now) {
			return l, true
		}
		r.Exclude = append(slices.Clip(r.Exclude), c.Upstream.ID)
	}
	return nil, false
}

func (f *Fleet) rebuild() {
	now := f.o.Now()
	links := f.o.Links.Links()
	f.applyReports(len(links), now)
	n := &snapshot{versions: map[ident.VersionRef][]*score.Upstream{}, services: map[ident.ServiceID][]*score.Upstream{}}
	live := make(map[ident.UpstreamID]bool, len(links))
	for _, l := range links {
		live[l.Upstream()] = true
		s := l.LatestStatus()
		if s == nil || !l.Usable(now) {
			continue
		}
		u := f.candidate(l, s, now)
		if c := s.Status.GetService(); c != "" {
			n.services[ident.ServiceID(c)] = append(n.services[ident.ServiceID(c)], u)
		}
		for _, v := range s.Status.GetLoaded() {
			r := ident.VersionRef{Model: ident.ModelID(v.GetModel()), Version: ident.VersionID(v.GetVersion())}
			n.versions[r] = append(n.versions[r], u)
		}
	}
	f.removeUnlisted(live)
	f.current.Store(n)
}

// applyReports passes the waiting results of attempts to outlier detection. total is
// the number of upstreams.
func (f *Fleet) applyReports(total int, now time.Time) {
	for {
		select {
		case r := <-f.reports:
			if r.ok {
				f.outliers.Success(r.upstream)
				continue
			}
			f.outliers.Failure(r.upstream, total, now)
		default:
			return
		}
	}
}

// removeUnlisted deletes the candidates and the outlier state of upstreams without a
// link.
func (f *Fleet) removeUnlisted(live map[ident.UpstreamID]bool) {
	f.outliers.Retain(func(u ident.UpstreamID) bool { return live[u] })
	for u := range f.members {
		if !live[u] {
			delete(f.members, u)
		}
	}
}

// candidate returns the candidate of a link. It is rebuilt only when the status or the
// ejection changed.
func (f *Fleet) candidate(l *agents.Link, s *agents.ReceivedStatus, now time.Time) *score.Upstream {
	e := f.outliers.Ejected(l.Upstream(), now)
	m := f.members[l.Upstream()]
	if m != nil && m.seen == s && m.ejected == e {
		return m.upstream
	}
	u := upstream(l, s)
	u.Ejected = e
	u.Delay = f.o.Delay(f.o.Domain, u.Domain)
	f.members[l.Upstream()] = &member{seen: s, ejected: e, upstream: u}
	return u
}

func upstream(l *agents.Link, s *agents.ReceivedStatus) *score.Upstream {
	m := s.Status
	p := make(map[uint64]struct{}, len(m.GetPrefixes()))
	for _, h := range m.GetPrefixes() {
		p[h] = struct{}{}
	}
	return &score.Upstream{
		ID:           l.Upstream(),
		Domain:       l.Domain(),
		Slots:        int(m.GetSlots()),
		Running:      int(m.GetRunning()),
		Queued:       int(m.GetQueued()),
		PendingInput: ident.Tokens(m.GetPendingInputTokens()),
		InputRate:    m.GetInputTokensPerSecond(),
		OutputRate:   m.GetOutputTokensPerSecond(),
		Prefixes:     p,
		StatusAt:     s.At,
		Outstanding:  l.Outstanding(),
	}
}
