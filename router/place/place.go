// Package place chooses the upstream for each attempt. It predicts the cost of each candidate from
// the attempts of this instance, the load that upstreams report, the samples and the backlog of
// other instances, the likely content of prefix caches, and failure domains.
package place

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/entry/retry"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/fleet"
)

const (
	// loadReportTTL is how long an upstream's report of its load is used.
	loadReportTTL = 2 * time.Second
	// idleDelay is the nominal time, in ms, until an idle upstream responds, without the work.
	idleDelay = 30.0
	// runningDelay is the delay, in ms, that each request running at an engine adds to a new one.
	runningDelay = 4.0
	// waitingWork is the nominal work, in ms, of a request that waits and is in no backlog.
	waitingWork = 80.0
	// crossDomainCost and crossDomainCostPerKB are the cost, in ms, of sending a request to another
	// failure domain: the latency and the price of the bytes.
	crossDomainCost      = 15.0
	crossDomainCostPerKB = 7.0
	// missCostPerToken is the price, in ms, of a prompt token that is processed again although
	// another upstream has it cached, in addition to the time that this takes. It and
	// copyCostPerToken follow from the users' prices, where 1 ms stands for a thousandth of a unit.
	missCostPerToken = 0.035
	// copyCostPerToken is the price, in ms, of a prompt token copied from another upstream's cache.
	copyCostPerToken = 0.024
	// copySetup is the time, in ms, until a copy of cached tokens starts.
	copySetup = 2.0
	// globalOwnerWork is the work, in ms, that a cached prefix must save to have one owner across
	// all failure domains. A prefix that saves less has one owner in each domain.
	globalOwnerWork = 60.0
	// prefillTokensPerMs is the number of prompt tokens that the reference model processes per ms at upstreams of which
	// nothing is known.
	prefillTokensPerMs = 92.0
	// fullScanLimit is the largest number of upstreams of a service that are all compared. With
	// more, instances with equally old information would all choose the same upstream: 40 requests
	// in 0.2 s went to one idle upstream of 42.
	fullScanLimit = 16
	// longPromptWork is the work, in ms, from which all are compared beyond fullScanLimit too. Such
	// requests are rare, delay those queued behind them and the streams beside them, and need the upstream with the
	// least of both.
	longPromptWork = 200.0
	// longPromptScanLimit is the largest number of upstreams for which longPromptWork applies. With
	// more, so many instances send long prompts at a time that they choose the same upstreams: of
	// 1,304 such prompts 57 % waited 0.5 s longer than predicted, of other prompts 17 %.
	longPromptScanLimit = 128
	// localDraws and remoteDraws are the numbers of randomly drawn upstreams, of the own failure
	// domain and of others, that are compared instead; maxDraws bounds the tries to find them.
	localDraws  = 3
	remoteDraws = 2
	maxDraws    = 32
)

// Query describes an attempt for which an upstream is chosen.
type Query struct {
	// Domain is the failure domain from which the attempt is sent.
	Domain ident.DomainID
	// Accept reports whether an upstream may be used at all; nil accepts all.
	Accept func(u *fleet.Upstream) bool
	// Exclude lists the upstreams that were already tried for the request.
	Exclude []ident.UpstreamID
	// PrefixKey identifies the prompt's shared prefix, which may be cached; empty if there is none.
	PrefixKey string
	// Input is the number of prompt tokens, Cached how many of them a cached prefix saves.
	Input, Cached ident.Tokens
	// CopyRate is the rate, in tokens per ms, of copies of a cached prefix; 0 if none are possible.
	CopyRate float64
	// TokenTime is the time per token relative to the reference model; 0 counts as 1.
	TokenTime float64
	// Bytes is the expected size of request and response together.
	Bytes int
	// Engine is true for model engines, which process prompts one after another. Plain services
	// work on as many requests at a time as they have slots.
	Engine bool
	// PlainWork is the nominal work, in ms, of a request to a plain service.
	PlainWork float64
	// PromptRate is the number of prompt tokens of the model that an upstream of the service usually processes per ms; 0 if
	// nothing is known of it.
	PromptRate float64
	// Speed returns how fast an upstream is with a number of running requests; nil if nothing is known of it.
	Speed func(u *fleet.Upstream, running int) Speed
	// StreamPause is the longest pause between events that streams of the service bear; 0 if the cost for them doesn't count.
	StreamPause time.Duration
}

// work returns the nominal work, in ms, until the first token, or for a plain service until the
// response. hit is true if the upstream has the shared prefix cached.
func (q *Query) work(hit bool) float64 {
	if !q.Engine {
		return q.PlainWork
	}
	n := float64(q.Input)
	if hit {
		n -= float64(q.Cached)
	}
	return max(n, 0) / q.promptRate()
}

// copyWork returns the work, in ms, of copying the shared prefix from another upstream. The second
// result is true if upstreams can copy and that is faster than processing the prefix.
func (q *Query) copyWork() (float64, bool) {
	if q.CopyRate <= 0 {
		return 0, false
	}
	w := copySetup + float64(q.Cached)/q.CopyRate
	return w, w < q.savedWork()
}

// savedWork returns the work, in ms, that an upstream saves if it has the shared prefix cached.
func (q *Query) savedWork() float64 {
	return float64(q.Cached) / q.promptRate()
}

func (q *Query) tokenTime() float64 {
	if q.TokenTime == 0 {
		return 1
	}
	return q.TokenTime
}

// Choice is a chosen upstream with the prediction that led to it.
type Choice struct {
	Upstream *fleet.Upstream
	// Cost is the predicted delay in ms plus the prices, in ms, of crossing failure domains and of
	// processing or copying a prefix that is cached elsewhere.
	Cost float64
	// Delay is the predicted time until the response starts.
	Delay time.Duration
	// QueueDelay is the part of Delay that is spent behind other requests.
	QueueDelay time.Duration
	// Candidates is the number of upstreams compared, ServiceSize the number in the service.
	Candidates, ServiceSize int
	// CacheHit is true if the upstream likely has the shared prefix cached or is its owner.
	CacheHit bool
	// CopySource is an upstream from which the chosen one can copy the shared prefix, or nil.
	CopySource *fleet.Upstream
	// Unresponsive is true if the upstream is suspected to be dead and no other was left.
	Unresponsive bool
	// Nominal is the predicted delay without the upstream's slowdown.
	Nominal time.Duration

	prefix Prefix
	// work is the request's own part, in ms, of the nominal delay.
	work float64
	// promptRate is the number of prompt tokens per ms on which the prediction is based.
	promptRate float64
}

// upstreamLoad is the load and the slowdown of one upstream as observed and reported.
type upstreamLoad struct {
	inFlight int // number of this instance's attempts
	// pending is the nominal work, in ms, of the pendingCount attempts without a response.
	pending      float64
	pendingCount int
	// others is the pending work that other instances sent.
	others Backlog
	// reported is the load that the upstream reported last, at reportedAt.
	reported     call.Load
	reportedAt   time.Time
	slowdown     slowdown
	unresponsive bool
}

// Balancer tracks the load, the speed, the failures and the likely cached prefixes of upstreams and
// chooses an upstream for each attempt. It is safe for concurrent use.
type Balancer struct {
	domain ident.DomainID

	mu       sync.Mutex
	loads    map[ident.UpstreamID]*upstreamLoad
	outliers *retry.OutlierDetector
	// unshared holds this instance's observations since the last DrainSamples.
	unshared map[ident.UpstreamID]Sample
	holders  prefixIndex
	// remoteAt is when the backlog of other instances was last set.
	remoteAt time.Time
	// serviceSizes maps each listed upstream to the number of upstreams of its service.
	serviceSizes map[ident.UpstreamID]int
	rand         *rand.Rand
}

// New returns a balancer without observations for an instance in a failure domain.
func New(d ident.DomainID) *Balancer {
	return &Balancer{
		domain: d,
		loads:  map[ident.UpstreamID]*upstreamLoad{}, outliers: retry.NewOutlierDetector(), unshared: map[ident.UpstreamID]Sample{}, holders: prefixIndex{}, serviceSizes: map[ident.UpstreamID]int{},
		rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Pick returns the upstream with the lowest predicted cost. In a large service it compares only the
// upstreams that likely have the prompt's shared prefix cached and a few others drawn at random.
// Upstreams that keep failing or are unresponsive are used only if no other is left. Pick returns
// false if no upstream may be used.
func (b *Balancer) Pick(us []*fleet.Upstream, q Query, now time.Time) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := scan{Balancer: b, query: &q, prefix: b.locatePrefix(us, &q, now), now: now}
	if len(us) > fullScanLimit && (q.work(false) < longPromptWork || len(us) > longPromptScanLimit) {
		s.draw(us)
	}
	if s.best.Upstream == nil || s.rank > 0 {
		s.all(us)
	}
	s.best.Candidates, s.best.ServiceSize = s.considered, len(us)
	return s.best, s.best.Upstream != nil
}

// scan is a search for the upstream with the best rank and, among these, the lowest cost.
type scan struct {
	*Balancer
	query      *Query
	prefix     prefixLocation
	now        time.Time
	best       Choice
	rank       int
	considered int
}

// draw considers the prefix's owner and holders and a few others drawn at random.
func (s *scan) draw(us []*fleet.Upstream) {
	if s.prefix.owner != nil {
		s.consider(s.prefix.owner)
	}
	for _, u := range s.prefix.holders {
		s.consider(u)
	}
	near, far := localDraws, remoteDraws
	for range maxDraws {
		u := us[s.rand.IntN(len(us))]
		left := &far
		if u.Domain == s.query.Domain {
			left = &near
		}
		if *left > 0 && s.consider(u) {
			*left--
		}
		if near+far == 0 {
			return
		}
	}
}

func (s *scan) all(us []*fleet.Upstream) {
	s.considered = 0
	for _, u := range us {
		s.consider(u)
	}
}

// consider compares an upstream with the best so far. It returns false if it may not be used.
func (s *scan) consider(u *fleet.Upstream) bool {
	if !s.query.allows(u) || excluded(s.query.Exclude, u.ID) {
		return false
	}
	s.considered++
	c := s.predict(u, s.query, &s.prefix, s.now)
	r := s.Balancer.rank(u, s.now)
	if s.best.Upstream == nil || r < s.rank || (r == s.rank && c.Cost < s.best.Cost) {
		s.best, s.rank = c, r
	}
	return true
}

func (q *Query) allows(u *fleet.Upstream) bool {
	return !u.Draining && (q.Accept == nil || q.Accept(u))
}

// rank returns 0 for a healthy upstream, 1 for an ejected one, and 2 for an unresponsive one.
func (b *Balancer) rank(u *fleet.Upstream, now time.Time) int {
	switch {
	case b.unresponsive(u.ID):
		return 2
	case b.outliers.Ejected(u.ID, now):
		return 1
	default:
		return 0
	}
}

// unresponsive reports whether an upstream is suspected to be dead.
func (b *Balancer) unresponsive(id ident.UpstreamID) bool {
	l := b.loads[id]
	return l != nil && l.unresponsive
}

// prefixOwner returns the upstream that should process a prefix first; rendezvous hashing gives the
// same one at all instances without communication. A long prefix has one owner in all failure
// domains, since crossing domains costs less than processing it again; others have one in each.
func (b *Balancer) prefixOwner(us []*fleet.Upstream, q *Query) *fleet.Upstream {
	var best *fleet.Upstream
	var top uint64
	near := false
	for _, u := range us {
		if !q.allows(u) || b.unresponsive(u.ID) {
			continue
		}
		n := u.Domain == q.Domain || q.savedWork() >= globalOwnerWork
		h := xxhash.Sum64String(q.PrefixKey + "\x00" + string(u.ID))
		if best == nil || (n && !near) || (n == near && h > top) {
			best, top, near = u, h, n
		}
	}
	return best
}

// predict returns the choice of an upstream with its predicted delay and cost.
func (b *Balancer) predict(u *fleet.Upstream, q *Query, k *prefixLocation, now time.Time) Choice {
	hit := k.likelyCached(u)
	c := Choice{Upstream: u, CacheHit: hit, prefix: k.prefix, work: q.work(hit), promptRate: q.promptRate()}
	price := 0.0
	if !hit && k.prefix != 0 {
		price = missCostPerToken * float64(q.Cached)
		if w, ok := q.copyWork(); ok {
			if c.CopySource = k.copySource(u); c.CopySource != nil {
				c.work = q.work(true) + w
				price = copyCostPerToken * float64(q.Cached)
			}
		}
	}
	l := b.loads[u.ID]
	speed := q.speed(u, l, now)
	s := speed.Factor * speed.Crowding
	queue := 0.0
	if l != nil {
		s = l.slowdown.valueFrom(speed.Factor, now) * speed.Crowding
		c.Unresponsive = l.unresponsive
		queue = l.queueWork(u, q, b.othersAt(l, now), now)
	}
	nominal := idleDelay + queue + c.work
	c.Nominal = time.Duration(nominal * float64(time.Millisecond))
	c.Cost = s * nominal
	c.Delay = time.Duration(c.Cost * float64(time.Millisecond))
	c.QueueDelay = time.Duration(s * queue * float64(time.Millisecond))
	if u.Domain != q.Domain {
		c.Cost += crossDomainCost + crossDomainCostPerKB*float64(q.Bytes)/1024
	}
	c.Cost += price
	if l != nil {
		c.Cost += l.streamDelay(q, s*c.work, now)
	}
	return c
}

// queueWork returns the nominal work, in ms, ahead of a new request, with that of other instances.
func (l *upstreamLoad) queueWork(u *fleet.Upstream, q *Query, others Backlog, now time.Time) float64 {
	running := l.running(now)
	if q.Engine {
		return l.workAhead(others, now) + float64(running)*runningDelay
	}
	ahead := running + l.waiting(others, now) + l.pendingCount + others.Attempts + 1 - u.Slots
	if ahead <= 0 || u.Slots <= 0 {
		return 0
	}
	return float64(ahead) / float64(u.Slots) * q.PlainWork
}

// RecordOutcome records whether an attempt succeeded; n is the number of the service's upstreams.
func (b *Balancer) RecordOutcome(id ident.UpstreamID, ok bool, n int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Sample{Upstream: id, At: now}
	if ok {
		s.Successes = 1
		b.outliers.Success(id)
	} else {
		s.Failures = 1
		b.outliers.Failure(id, n, now)
	}
	b.addSample(s)
}

// SetUnresponsive records whether an upstream is suspected to be dead.
func (b *Balancer) SetUnresponsive(id ident.UpstreamID, unresponsive bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loadOf(id).unresponsive = unresponsive
}

// UpdateUpstreams takes the current list of upstreams. It drops the state of upstreams that are no
// longer listed and have no attempt of this instance in flight, and expired prefix holders.
func (b *Balancer) UpdateUpstreams(l *fleet.List, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holders.expire(now)
	listed := l.All()
	clear(b.serviceSizes)
	for id, u := range listed {
		b.serviceSizes[id] = len(l.Service(u.Service))
	}
	for id, x := range b.loads {
		if listed[id] == nil && x.inFlight <= 0 {
			delete(b.loads, id)
		}
	}
	b.outliers.Retain(func(id ident.UpstreamID) bool { return listed[id] != nil })
}

func excluded(ids []ident.UpstreamID, id ident.UpstreamID) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}
