// Package place chooses an upstream for an attempt from what this instance sent,
// what upstreams reported, where prefixes are likely cached, and where they stand.
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
	// reportLife is how long an upstream's report of its load counts.
	reportLife = 2 * time.Second
	// baseDelay is the nominal delay, in ms, of an idle upstream.
	baseDelay = 30.0
	// runningCost is the slow-down, in ms, by each request that runs beside.
	runningCost = 4.0
	// waitingWork is the nominal work, in ms, of a request of other instances that waits.
	waitingWork = 80.0
	// domainBase and domainPerKB are the loss, in ms, of leaving the failure
	// domain: the way and the price of the bytes.
	domainBase  = 15.0
	domainPerKB = 7.0
	// missPerToken is the price, in ms, of a prompt token that is read though
	// another upstream has it cached, beside the time to read it. It and copyPerToken
	// follow from the users' prices, a ms standing for a thousandth of a unit.
	missPerToken = 0.035
	// copyPerToken is the price, in ms, of a prompt token copied from another upstream.
	copyPerToken = 0.024
	// copySetup is the time, in ms, until a copy begins.
	copySetup = 2.0
	// wideWork is the work, in ms, that a cached prefix saves from which one
	// upstream of all failure domains keeps it; others are kept in each.
	wideWork = 60.0
	// prefillPerMs is the number of prompt tokens that the reference model reads in a ms.
	prefillPerMs = 92.0
	// scanAll is the number of upstreams of a service up to which all are compared.
	// Among more, instances whose knowledge is equally old would all choose the
	// same one: forty requests in 0.2 s went to one idle upstream of 42.
	scanAll = 16
	// longWork is the work, in ms, from which all are compared nevertheless: such
	// requests are rare, delay what comes behind them, and need the idlest upstream.
	longWork = 400.0
	// scanLong is the number of upstreams of a service up to which that holds. Among more,
	// as many instances send long prompts at a time that they meet at the same few
	// upstreams: of 1,304 such prompts 57 in 100 waited 0.5 s longer than predicted,
	// of others 17 in 100.
	scanLong = 64
	// drawNear and drawFar are the numbers of upstreams of the own failure domain and
	// of others that are compared instead, maxDraws bounds the tries to find them.
	drawNear = 3
	drawFar  = 2
	maxDraws = 32
)

// Query describes the attempt to place.
type Query struct {
	Domain ident.DomainID
	// Accept reports whether an upstream may be used at all; nil accepts all.
	Accept func(u *fleet.Upstream) bool
	// Exclude names upstreams already tried.
	Exclude []ident.UpstreamID
	// Affinity names what upstreams may have cached; it is empty without a shared prefix.
	Affinity string
	// Input and Cached are the prompt's tokens and how many of them a hit saves.
	Input, Cached ident.Tokens
	// CopyRate is the number of cached prompt tokens that an upstream copies from
	// another in a ms; 0 if it can't.
	CopyRate float64
	// Pace is the time of a token relative to the reference model; 0 counts as 1.
	Pace float64
	// Bytes is the expected size of request and answer.
	Bytes int
	// Engine is true for model servers, which read prompts one after another;
	// other upstreams work in as many slots as they state.
	Engine bool
	// Plain is the work of a request to another upstream, in ms.
	Plain float64
}

// work returns the nominal work until the first token, in ms.
func (q *Query) work(hit bool) float64 {
	if !q.Engine {
		return q.Plain
	}
	n := float64(q.Input)
	if hit {
		n -= float64(q.Cached)
	}
	return max(n, 0) / prefillPerMs * q.pace()
}

// copying returns the work, in ms, of copying the shared parts, and whether that is
// possible and shorter than reading them.
func (q *Query) copying() (float64, bool) {
	if q.CopyRate <= 0 {
		return 0, false
	}
	w := copySetup + float64(q.Cached)/q.CopyRate
	return w, w < q.saved()
}

// saved returns the work, in ms, that a cached prefix saves.
func (q *Query) saved() float64 {
	return float64(q.Cached) / prefillPerMs * q.pace()
}

func (q *Query) pace() float64 {
	if q.Pace == 0 {
		return 1
	}
	return q.Pace
}

// Choice is a chosen upstream and why.
type Choice struct {
	Upstream *fleet.Upstream
	// Cost is the predicted delay and the price of the way, in ms.
	Cost float64
	// Delay is the predicted time until the answer begins.
	Delay time.Duration
	// Queue is the part of it that is spent behind other requests.
	Queue time.Duration
	// Candidates is the number of upstreams that were compared, All that of the service.
	Candidates, All int
	// Hit is true for an upstream that likely has the shared parts in memory.
	Hit bool
	// Source is an upstream from which the chosen one can copy them; nil without one.
	Source *fleet.Upstream
	// Silent is true if the upstream is suspected to be dead and no other was left.
	Silent bool

	prefix  Prefix
	nominal float64
	work    float64
}

type load struct {
	own int
	// pending is the nominal work, in ms, of own attempts that have no answer yet.
	pending      float64
	pendingCount int
	// others is the same of the other instances.
	others   Backlog
	reported call.Load
	at       time.Time
	pace     speed
	silent   bool
}

// Book keeps the load of upstreams as this instance knows it. It is safe for
// concurrent use.
type Book struct {
	domain ident.DomainID

	mu       sync.Mutex
	loads    map[ident.UpstreamID]*load
	outliers *retry.OutlierDetector
	// fresh holds what own answers showed and other instances were not told yet.
	fresh   map[ident.UpstreamID]Sample
	holders holders
	// othersAt is when the backlog of other instances was known.
	othersAt time.Time
	// sizes are the numbers of upstreams of the listed upstreams' services.
	sizes map[ident.UpstreamID]int
	rand  *rand.Rand
}

// New returns an empty book of an instance in a failure domain.
func New(d ident.DomainID) *Book {
	return &Book{
		domain: d,
		loads:  map[ident.UpstreamID]*load{}, outliers: retry.NewOutlierDetector(), fresh: map[ident.UpstreamID]Sample{}, holders: holders{}, sizes: map[ident.UpstreamID]int{},
		rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Pick returns the upstream with the lowest predicted cost among those that have the
// prompt's shared parts and a few others drawn at random. It returns false if none may
// be used. Upstreams that keep failing or are silent are used only if no other is left.
func (b *Book) Pick(us []*fleet.Upstream, q Query, now time.Time) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := scan{Book: b, query: &q, cached: b.locate(us, &q, now), now: now}
	if len(us) > scanAll && (q.work(false) < longWork || len(us) > scanLong) {
		s.draw(us)
	}
	if s.best.Upstream == nil || s.rank > 0 {
		s.all(us)
	}
	s.best.Candidates, s.best.All = s.seen, len(us)
	return s.best, s.best.Upstream != nil
}

// scan is a search for the cheapest upstream.
type scan struct {
	*Book
	query  *Query
	cached cached
	now    time.Time
	best   Choice
	rank   int
	seen   int
}

// draw tries the upstreams that have the shared parts and others drawn at random, more
// of them in the own failure domain.
func (s *scan) draw(us []*fleet.Upstream) {
	if s.cached.home != nil {
		s.try(s.cached.home)
	}
	for _, u := range s.cached.held {
		s.try(u)
	}
	near, far := drawNear, drawFar
	for range maxDraws {
		u := us[s.rand.IntN(len(us))]
		left := &far
		if u.Domain == s.query.Domain {
			left = &near
		}
		if *left > 0 && s.try(u) {
			*left--
		}
		if near+far == 0 {
			return
		}
	}
}

func (s *scan) all(us []*fleet.Upstream) {
	s.seen = 0
	for _, u := range us {
		s.try(u)
	}
}

// try compares an upstream with the best so far; it returns false if it may not be used.
func (s *scan) try(u *fleet.Upstream) bool {
	if !s.query.allows(u) || excluded(s.query.Exclude, u.ID) {
		return false
	}
	s.seen++
	c := s.choice(u, s.query, &s.cached, s.now)
	r := s.Book.rank(u, s.now)
	if s.best.Upstream == nil || r < s.rank || (r == s.rank && c.Cost < s.best.Cost) {
		s.best, s.rank = c, r
	}
	return true
}

func (q *Query) allows(u *fleet.Upstream) bool {
	return !u.Draining && (q.Accept == nil || q.Accept(u))
}

// rank orders upstreams by trust: sound, failing, silent.
func (b *Book) rank(u *fleet.Upstream, now time.Time) int {
	switch {
	case b.silent(u.ID):
		return 2
	case b.outliers.Ejected(u.ID, now):
		return 1
	default:
		return 0
	}
}

// silent reports whether an upstream is suspected to be dead.
func (b *Book) silent(id ident.UpstreamID) bool {
	l := b.loads[id]
	return l != nil && l.silent
}

// home returns the upstream where a prefix is read first. All instances choose the same
// one by rendezvous hashing, without a message. Long prefixes have one home; the
// way to it costs less than reading them again. Others have one in each domain.
func (b *Book) home(us []*fleet.Upstream, q *Query) *fleet.Upstream {
	var best *fleet.Upstream
	var top uint64
	near := false
	for _, u := range us {
		if !q.allows(u) || b.silent(u.ID) {
			continue
		}
		n := u.Domain == q.Domain || q.saved() >= wideWork
		h := xxhash.Sum64String(q.Affinity + "\x00" + string(u.ID))
		if best == nil || (n && !near) || (n == near && h > top) {
			best, top, near = u, h, n
		}
	}
	return best
}

func (b *Book) choice(u *fleet.Upstream, q *Query, k *cached, now time.Time) Choice {
	hit := k.has(u)
	c := Choice{Upstream: u, Hit: hit, prefix: k.prefix, work: q.work(hit)}
	price := 0.0
	if !hit && k.prefix != 0 {
		price = missPerToken * float64(q.Cached)
		if w, ok := q.copying(); ok {
			if c.Source = k.source(u); c.Source != nil {
				c.work = q.work(true) + w
				price = copyPerToken * float64(q.Cached)
			}
		}
	}
	l := b.loads[u.ID]
	s := 1.0
	queue := 0.0
	if l != nil {
		s = l.pace.value(now)
		c.Silent = l.silent
		o := l.others
		if now.Sub(b.othersAt) > BacklogLife {
			o = Backlog{}
		}
		queue = l.queue(u, q, o, now)
	}
	c.nominal = baseDelay + queue + c.work
	c.Cost = s * c.nominal
	c.Delay = time.Duration(c.Cost * float64(time.Millisecond))
	c.Queue = time.Duration(s * queue * float64(time.Millisecond))
	if u.Domain != q.Domain {
		c.Cost += domainBase + domainPerKB*float64(q.Bytes)/1024
	}
	c.Cost += price
	return c
}

// queue returns the nominal work, in ms, ahead of a new request; others is the
// backlog of other instances.
func (l *load) queue(u *fleet.Upstream, q *Query, others Backlog, now time.Time) float64 {
	pending := l.pendingCount + others.Attempts
	running, waiting := l.own-l.pendingCount, 0
	if now.Sub(l.at) < reportLife {
		running = max(running, l.reported.Running)
		waiting = max(l.reported.Waiting-pending, 0)
	}
	if q.Engine {
		return l.pending + others.Work + float64(waiting)*waitingWork + float64(running)*runningCost
	}
	ahead := running + waiting + pending + 1 - u.Slots
	if ahead <= 0 || u.Slots <= 0 {
		return 0
	}
	return float64(ahead) / float64(u.Slots) * q.Plain
}

// Start records an attempt at the chosen upstream and returns its record.
func (b *Book) Start(c Choice, now time.Time) *Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(c.Upstream.ID)
	l.own++
	l.pending += c.work
	l.pendingCount++
	return &Attempt{book: b, load: l, choice: c, began: now, pending: true}
}

// Attempt is an attempt in progress.
type Attempt struct {
	book    *Book
	load    *load
	choice  Choice
	began   time.Time
	pending bool
	ended   bool
}

// Answered records that the answer began, which tells the upstream's speed.
func (a *Attempt) Answered(now time.Time) {
	a.book.mu.Lock()
	defer a.book.mu.Unlock()
	if !a.pending {
		return
	}
	a.settle()
	a.observe(now)
}

// Read records that the upstream has read the prompt.
func (a *Attempt) Read(now time.Time) {
	p := a.choice.prefix
	if p == 0 {
		return
	}
	a.book.mu.Lock()
	defer a.book.mu.Unlock()
	u := a.choice.Upstream.ID
	a.book.holders.add(p, u, now)
	a.book.note(Sample{Upstream: u, Prefixes: []Prefix{p}, At: now})
}

// Late records that the attempt was given up without an answer.
func (a *Attempt) Late(now time.Time) {
	a.book.mu.Lock()
	defer a.book.mu.Unlock()
	if a.pending {
		a.observe(now)
	}
}

func (a *Attempt) observe(now time.Time) {
	p := logPace(now.Sub(a.began), a.choice.nominal)
	a.load.pace.add(p, 1, now)
	a.book.note(Sample{Upstream: a.choice.Upstream.ID, Answers: 1, Pace: p, At: now})
}

// Reported records the upstream's report of its load.
func (a *Attempt) Reported(r call.Load, now time.Time) {
	a.book.mu.Lock()
	defer a.book.mu.Unlock()
	a.load.reported, a.load.at = r, now
	a.book.note(Sample{Upstream: a.choice.Upstream.ID, Load: r, Loaded: true, At: now})
}

// End records the end of the attempt; it may be called again.
func (a *Attempt) End() {
	a.book.mu.Lock()
	defer a.book.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.settle()
	a.load.own--
}

func (a *Attempt) settle() {
	if !a.pending {
		return
	}
	a.pending = false
	a.load.pending = max(a.load.pending-a.choice.work, 0)
	a.load.pendingCount--
}

// Judge records whether an attempt ended well, among n upstreams of the service.
func (b *Book) Judge(id ident.UpstreamID, ok bool, n int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Sample{Upstream: id, At: now}
	if ok {
		s.Good = 1
		b.outliers.Success(id)
	} else {
		s.Bad = 1
		b.outliers.Failure(id, n, now)
	}
	b.note(s)
}

// SetSilent records whether an upstream is suspected to be dead.
func (b *Book) SetSilent(id ident.UpstreamID, silent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(id).silent = silent
}

// Update takes a new list of upstreams. It drops what is known of those that are gone
// and carry nothing of ours, and of prefixes read long ago.
func (b *Book) Update(l *fleet.List, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holders.expire(now)
	listed := l.All()
	clear(b.sizes)
	for id, u := range listed {
		b.sizes[id] = len(l.Service(u.Service))
	}
	for id, x := range b.loads {
		if listed[id] == nil && x.own <= 0 {
			delete(b.loads, id)
		}
	}
	b.outliers.Forget(func(id ident.UpstreamID) bool { return listed[id] != nil })
}

func excluded(ids []ident.UpstreamID, id ident.UpstreamID) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}
