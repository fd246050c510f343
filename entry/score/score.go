// Package score chooses an upstream for an attempt by its predicted time to the
// first token and to the end.
//
// The prediction joins the agent's latest status, the work that this entry sent
// since that status, the delay between failure domains and the expected prefix
// hits. Only a bounded sample of the fleet is scored: the cost of a choice does
// not grow with the fleet, and entries whose reports are equally stale don't all
// pick the same upstream.
package score

import (
	"sync/atomic"
	"time"

	"tarragonvalve.example/core/ident"
)

const (
	// randomSample is the number of candidates drawn at random for one choice.
	randomSample = 6
	// affineSample is the number of candidates preferred for the prompt's prefix.
	affineSample = 2
	// defaultInputRate and defaultOutputRate stand in until an agent reports rates, in tokens per second.
	defaultInputRate  = 2000.0
	defaultOutputRate = 30.0
	// maxStatusAge is the age above which a status no longer counts as evidence of free capacity.
	maxStatusAge = 3 * time.Second
)

// Outstanding counts the work that this entry has outstanding at one upstream.
// Traffic goroutines update it; it is safe for concurrent use.
type Outstanding struct {
	requests atomic.Int64
	input    atomic.Int64
	// sentRequests and sentInput count what was sent after the latest status was made.
	sentRequests atomic.Int64
	sentInput    atomic.Int64
}

// Start records an attempt with its input tokens.
func (c *Outstanding) Start(input ident.Tokens) {
	c.requests.Add(1)
	c.input.Add(int64(input))
	c.sentRequests.Add(1)
	c.sentInput.Add(int64(input))
}

// End records that an attempt ended.
func (c *Outstanding) End(input ident.Tokens) {
	c.requests.Add(-1)
	c.input.Add(-int64(input))
}

// StatusReceived starts a new interval after a status that includes all earlier attempts.
func (c *Outstanding) StatusReceived() {
	c.sentRequests.Store(0)
	c.sentInput.Store(0)
}

// Requests returns the requests that this entry has running or queued at the upstream.
func (c *Outstanding) Requests() int {
	return int(c.requests.Load())
}

// Upstream is one candidate with its latest status. It is immutable but for its counter.
type Upstream struct {
	ID     ident.UpstreamID
	Domain ident.DomainID
	// Delay is the one-way delay from this entry's failure domain.
	Delay        time.Duration
	Slots        int
	Running      int
	Queued       int
	PendingInput ident.Tokens
	// InputRate is in tokens per second for the whole upstream, OutputRate for one stream.
	InputRate  float64
	OutputRate float64
	Prefixes   map[uint64]struct{}
	// StatusAt is when the status was received.
	StatusAt time.Time
	// Ejected marks an upstream that outlier detection keeps out of choices.
	Ejected     bool
	Outstanding *Outstanding
}

// Request describes the attempt to place.
type Request struct {
	Input ident.Tokens
	// Output is the expected number of output tokens.
	Output ident.Tokens
	// Prefixes are the prompt's prefix hashes, longest first; each stands for PrefixTokens more tokens.
	Prefixes     []uint64
	PrefixTokens ident.Tokens
	// Seed makes the sample; use a hash of request id and attempt.
	Seed uint64
	// FirstTokenWeight is the weight of the time to the first token against the time to the end, from 0 to 1.
	FirstTokenWeight float64
	// Exclude names the upstreams already tried.
	Exclude []ident.UpstreamID
}

// Choice is a chosen upstream with its prediction.
type Choice struct {
	Upstream   *Upstream
	FirstToken time.Duration
	End        time.Duration
	// PrefixAffinity is true when the upstream was in the sample for its cached prefix.
	PrefixAffinity bool
}

// Pick returns the best candidate of a bounded sample. It returns false when no
// candidate is eligible. Ejected upstreams are used only when nothing else is left.
func Pick(us []*Upstream, r Request, now time.Time) (Choice, bool) {
	if c, ok := pick(us, r, now, false); ok {
		return c, true
	}
	return pick(us, r, now, true)
}

func pick(us []*Upstream, r Request, now time.Time, ejected bool) (Choice, bool) {
	if len(us) == 0 {
		return Choice{}, false
	}
	best := Choice{}
	cost := 0.0
	consider := func(u *Upstream, affine bool) {
		if u.Ejected != ejected || excluded(r.Exclude, u.ID) {
			return
		}
		f, e := Predict(u, r, now)
		c := r.FirstTokenWeight*f.Seconds() + (1-r.FirstTokenWeight)*e.Seconds()
		if best.Upstream == nil || c < cost {
			best = Choice{Upstream: u, FirstToken: f, End: e, PrefixAffinity: affine}
			cost = c
		}
	}
	if len(us) <= randomSample+affineSample {
		for _, u := range us {
			consider(u, false)
		}
		return best, best.Upstream != nil
	}
	x := r.Seed
	for range randomSample {
		x = mix(x)
		consider(us[x%uint64(len(us))], false)
	}
	if len(r.Prefixes) > 0 {
		// The shortest prefix is shared by the most prompts, so it decides the preferred upstreams.
		p := r.Prefixes[len(r.Prefixes)-1]
		for i := range uint64(affineSample) {
			consider(us[mix(p+i)%uint64(len(us))], true)
		}
	}
	if best.Upstream != nil {
		return best, true
	}
	// The sample held only excluded or ejected upstreams; scan from a random start.
	o := int(mix(x) % uint64(len(us)))
	for i := range us {
		consider(us[(o+i)%len(us)], false)
		if best.Upstream != nil {
			break
		}
	}
	return best, best.Upstream != nil
}

// Predict returns the expected times to the first token and to the end.
func Predict(u *Upstream, r Request, now time.Time) (first, end time.Duration) {
	in, out := u.InputRate, u.OutputRate
	if in <= 0 {
		in = defaultInputRate
	}
	if out <= 0 {
		out = defaultOutputRate
	}
	sentRequests, sentInput, own := 0, 0.0, 0
	if u.Outstanding != nil {
		sentRequests = int(u.Outstanding.sentRequests.Load())
		sentInput = float64(u.Outstanding.sentInput.Load())
		own = u.Outstanding.Requests()
	}
	cached := min(float64(hits(u, r))*float64(r.PrefixTokens), float64(r.Input))
	decode := float64(r.Output) / out
	prefill := (float64(u.PendingInput) + sentInput + float64(r.Input) - cached) / in

	busy := u.Running + u.Queued + sentRequests
	if now.Sub(u.StatusAt) > maxStatusAge {
		// An old status may hide work from other entries; our own outstanding work is known.
		busy = max(busy, own, u.Slots)
	}
	wait := 0.0
	if u.Slots > 0 && busy >= u.Slots {
		wait = float64(busy-u.Slots+1) / float64(u.Slots) * decode
	}
	f := 2*u.Delay.Seconds() + wait + prefill
	return seconds(f), seconds(f + decode)
}

func hits(u *Upstream, r Request) int {
	for i, p := range r.Prefixes {
		if _, ok := u.Prefixes[p]; ok {
			return len(r.Prefixes) - i
		}
	}
	return 0
}

func excluded(ids []ident.UpstreamID, id ident.UpstreamID) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// mix is the finalizer of splitmix64; it turns any seed into well-spread bits.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
