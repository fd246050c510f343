// Package limit enforces per-account limits over all entries without coordination.
//
// Each entry takes the part of an account's limit that its own demand has in the
// demand of all entries, as last exchanged. Parts sum up to the limit when the
// entries see the same figures; a floor lets an entry without recent traffic
// admit its first requests. While figures are stale the excess is at most the floors.
package limit

import (
	"math"
	"time"

	"tarragonvalve.example/core/ident"
)

const (
	// floorPart is the part of an equal share that an entry keeps without any demand.
	floorPart = 0.1
	// burst is how much unused allowance an account keeps.
	burst = 2 * time.Second
	// useDecay is the time constant of the demand estimate.
	useDecay = 3 * time.Second
	// peerTTL is the age after which another entry's figures no longer count.
	peerTTL = 10 * time.Second
)

// Demand is an account's demand at one entry.
type Demand struct {
	Requests float64 // per second
	Tokens   float64 // per second
}

// Limits are an account's limits over all entries; 0 means no limit.
type Limits struct {
	Requests float64
	Tokens   float64
}

type bucket struct {
	requests float64
	tokens   float64
	use      Demand
	at       time.Time
}

type peer struct {
	use map[ident.AccountID]Demand
	at  time.Time
}

// Limiter holds the state of one entry. The owner serializes its use.
type Limiter struct {
	accounts map[ident.AccountID]bucket
	peers    map[ident.InstanceID]peer
}

// New returns a limiter without history.
func New() *Limiter {
	return &Limiter{
		accounts: map[ident.AccountID]bucket{},
		peers:    map[ident.InstanceID]peer{},
	}
}

// ObservePeer records the demand that another entry exchanged.
func (l *Limiter) ObservePeer(i ident.InstanceID, u map[ident.AccountID]Demand, now time.Time) {
	l.peers[i] = peer{use: u, at: now}
	for id, p := range l.peers {
		if now.Sub(p.at) > peerTTL {
			delete(l.peers, id)
		}
	}
}

// Demand returns the demand at this entry, for the exchange with others.
func (l *Limiter) Demand(now time.Time) map[ident.AccountID]Demand {
	out := make(map[ident.AccountID]Demand, len(l.accounts))
	for a, b := range l.accounts {
		d := decay(now.Sub(b.at))
		out[a] = Demand{Requests: b.use.Requests * d, Tokens: b.use.Tokens * d}
	}
	return out
}

// Allow admits a request with an estimate of its tokens. When it refuses it
// returns the time after which a repeat will be admitted at the present rate.
func (l *Limiter) Allow(a ident.AccountID, c Limits, estimate ident.Tokens, now time.Time) (time.Duration, bool) {
	b := l.refill(a, c, now)
	defer func() { l.accounts[a] = b }()
	t := float64(estimate)
	part := l.part(a, b.use, now)
	b.use.Requests += 1 / useDecay.Seconds()
	b.use.Tokens += t / useDecay.Seconds()
	if c.Requests > 0 && b.requests < 1 {
		return wait(1-b.requests, c.Requests*part), false
	}
	// A request larger than the burst is admitted when the bucket is full.
	need := min(t, c.Tokens*part*burst.Seconds())
	if c.Tokens > 0 && b.tokens < need {
		return wait(need-b.tokens, c.Tokens*part), false
	}
	b.requests--
	b.tokens -= t
	return 0, true
}

// Settle corrects the estimate of an admitted request by what it used.
func (l *Limiter) Settle(a ident.AccountID, estimate, used ident.Tokens) {
	b, ok := l.accounts[a]
	if !ok {
		return
	}
	b.tokens += float64(estimate) - float64(used)
	l.accounts[a] = b
}

func (l *Limiter) refill(a ident.AccountID, c Limits, now time.Time) bucket {
	b, ok := l.accounts[a]
	p := l.part(a, b.use, now)
	maxRequests := max(c.Requests*p*burst.Seconds(), 1)
	maxTokens := c.Tokens * p * burst.Seconds()
	if !ok {
		return bucket{requests: maxRequests, tokens: maxTokens, at: now}
	}
	s := max(now.Sub(b.at).Seconds(), 0)
	b.requests = min(b.requests+s*c.Requests*p, maxRequests)
	b.tokens = min(b.tokens+s*c.Tokens*p, maxTokens)
	d := decay(now.Sub(b.at))
	b.use = Demand{Requests: b.use.Requests * d, Tokens: b.use.Tokens * d}
	b.at = now
	return b
}

// part returns this entry's part of an account's limit: a floor for everyone,
// and the rest in proportion to demand.
func (l *Limiter) part(a ident.AccountID, own Demand, now time.Time) float64 {
	n := 1.0
	sum := own.Requests
	for _, p := range l.peers {
		if now.Sub(p.at) > peerTTL {
			continue
		}
		n++
		sum += p.use[a].Requests
	}
	if sum <= 0 {
		return 1 / n
	}
	return floorPart/n + (1-floorPart)*own.Requests/sum
}

func decay(d time.Duration) float64 {
	if d <= 0 {
		return 1
	}
	return math.Exp(-d.Seconds() / useDecay.Seconds())
}

func wait(missing, rate float64) time.Duration {
	if rate <= 0 {
		return burst
	}
	return time.Duration(missing / rate * float64(time.Second))
}
