// Package score selects the upstream for an attempt by the predicted times to the
// first token and to the end of the answer.
//
// The prediction combines the agent's latest status, the work that this entry sent
// since that status, the delay between failure domains and the expected prefix cache
// hits. Only a bounded sample of the upstreams is scored, so that the cost of a
// selection doesn't grow with their number and entries whose statuses are equally
// stale don't all select the same upstream.
package score

import (
	"sync/atomic"
	"time"

	"tarragonvalve.example/core/ident"
)

const (
	// randomSample is the number of candidates drawn at random for one selection.
	randomSample = 6
	// prefixSample is the number of candidates selected by a hash of the prompt's
	// shortest prefix.
	prefixSample = 2
	// defaultInputRate (whole upstream) and defaultOutputRate (one stream) are used
	// until an agent reports rates, in tokens per second.
	defaultInputRate  = 2000.0
	defaultOutputRate = 30.0
	// maxStatusAge is the age above which a status is no longer evidence of free slots;
	// all slots then count as busy.
	maxStatusAge = 3 * time.Second
)

// Outstanding counts the attempts and input tokens that this entry has in flight at
// one upstream. It is safe for concurrent use.
type Outstanding struct {
	requests atomic.Int64
	input    atomic.Int64
	// sentRequests and sentInput count what was sent since the latest status arrived.
	sentRequests atomic.Int64
	sentInput    atomic.Int64
}

// Start records the start of an attempt with its number of input tokens.
func (c *Outstanding) Start(input ident.Tokens) {
	c.requests.Add(1)
	c.input.Add(int64(input))
	c.sentRequests.Add(1)
	c.sentInput.Add(int64(input))
}

// End records the end of an attempt. input is the number that Start was called with.
func (c *Outstanding) End(input ident.Tokens) {
	c.requests.Add(-1)
	c.input.Add(-int64(input))
}

// StatusReceived resets the counts of work sent since the latest status: the new
// status is taken to include it.
func (c *Outstanding) StatusReceived() {
	c.sentRequests.Store(0)
	c.sentInput.Store(0)
}

// Requests returns the number of requests that this entry has running or queued at the
// upstream.
func (c *Outstanding) Requests() int {
	return int(c.requests.Load())
}

// Upstream is a candidate with its latest status. It is immutable except for
// Outstanding.
type Upstream struct {
	ID     ident.UpstreamID
	Domain ident.DomainID
	// Delay is the one-way delay from this entry's failure domain.
	Delay time.Duration
	// Slots is the number of requests that run at once. Without slots no queueing is
	// predicted.
	Slots   int
	Running int
	Queued  int
	// PendingInput is the number of input tokens that wait to be processed, in the
	// queue and in the engine.
	PendingInput ident.Tokens
	// InputRate is in tokens per second for the whole upstream, OutputRate for one
	// stream. 0 selects a default.
	InputRate  float64
	OutputRate float64
	// Prefixes are the hashes of the prompt prefixes in the upstream's cache.
	Prefixes map[uint64]struct{}
	// StatusAt is the time at which the status arrived.
	StatusAt time.Time
	// Ejected is true while outlier detection excludes the upstream.
	Ejected bool
	// Outstanding is this entry's own work at the upstream; nil counts as none.
	Outstanding *Outstanding
}

// Request describes the attempt that needs an upstream.
type Request struct {
	// Input is the number of input tokens.
	Input ident.Tokens
	// Output is the expected number of output tokens.
	Output ident.Tokens
	// Prefixes are the hashes of the prompt's prefixes, longest first. Each one covers
	// PrefixTokens more tokens than the next.
	Prefixes     []uint64
	PrefixTokens ident.Tokens
	// Seed determines the random sample. A hash of the request id and the attempt
	// varies it between attempts.
	Seed uint64
	// FirstTokenWeight, from 0 to 1, weighs the time to the first token; the time to
	// the end has the rest of the weight.
	FirstTokenWeight float64
	// Exclude lists the upstreams that were already tried.
	Exclude []ident.UpstreamID
}

// Choice is the selected upstream with its predicted times from now.
type Choice struct {
	Upstream   *Upstream
	FirstToken time.Duration
	End        time.Duration
	// PrefixAffinity is true when the upstream was a candidate because of the prompt's
	// prefix, not of the random sample.
	PrefixAffinity bool
}

// Pick returns the candidate with the least weighted time in a bounded sample. Ejected
// upstreams are candidates only when no other one is eligible. It returns false when
// no upstream is eligible.
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
	consider := func(u *Upstream, byPrefix bool) {
		if u.Ejected != ejected || excluded(r.Exclude, u.ID) {
			return
		}
		f, e := Predict(u, r, now)
		c := r.FirstTokenWeight*f.Seconds() + (1-r.FirstTokenWeight)*e.Seconds()
		if best.Upstream == nil || c < cost {
			best = Choice{Upstream: u, FirstToken: f, End: e, PrefixAffinity: byPrefix}
			cost = c
		}
	}
	if len(us) <= randomSample+prefixSample {
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
		// The shortest prefix is shared by the most prompts, so its hash makes the same
		// upstreams candidates for all prompts with a common beginning.
		p := r.Prefixes[len(r.Prefixes)-1]
		for i := range uint64(prefixSample) {
			consider(us[mix(p+i)%uint64(len(us))], true)
		}
	}
	if best.Upstream != nil {
		return best, true
	}
	// No sampled upstream was eligible: scan all from a random offset for the first
	// that is.
	o := int(mix(x) % uint64(len(us)))
	for i := range us {
		consider(us[(o+i)%len(us)], false)
		if best.Upstream != nil {
			break
		}
	}
	return best, best.Upstream != nil
}

// Predict returns the expected times to the first token and to the end of the answer.
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
	cached := min(float64(cachedPrefixes(u, r))*float64(r.PrefixTokens), float64(r.Input))
	decode := float64(r.Output) / out
	prefill := (float64(u.PendingInput) + sentInput + float64(r.Input) - cached) / in

	busy := u.Running + u.Queued + sentRequests
	if now.Sub(u.StatusAt) > maxStatusAge {
		// A stale status may hide work of other entries, so no slot counts as free. This
		// entry's own outstanding work is a lower bound in any case.
		busy = max(busy, own, u.Slots)
	}
	wait := 0.0
	if u.Slots > 0 && busy >= u.Slots {
		wait = float64(busy-u.Slots+1) / float64(u.Slots) * decode
	}
	f := 2*u.Delay.Seconds() + wait + prefill
	return seconds(f), seconds(f + decode)
}

// cachedPrefixes returns how many of the request's prefix blocks the upstream has
// cached, by the longest prefix that matches.
func cachedPrefixes(u *Upstream, r Request) int {
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

// mix is the finalizer of splitmix64. It maps consecutive seeds to uniformly
// distributed values.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
