// Package limit enforces rate limits per client account over all entries without
// coordination.
//
// Each entry takes the share of an account's limit that its own demand has in the
// demand of all entries, as last exchanged. The shares sum up to the limit when all
// entries have received the same figures. A minimum share lets an entry without recent
// traffic admit its first requests; with stale figures the excess over the limit is at
// most these minimum shares.
package limit

import (
	"math"
	"time"

	"tarragonvalve.example/core/ident"
)

const (
	// floorFraction is the fraction of the limit that is divided equally among the
	// entries, whatever their demand.
	floorFraction = 0.1
	// burstWindow is the time for which unused allowance accumulates.
	burstWindow = 2 * time.Second
	// demandDecay is the time constant of the demand's exponential average.
	demandDecay = 3 * time.Second
	// peerTTL is the age above which another entry's demand figures are ignored.
	peerTTL = 10 * time.Second
)

// Demand is an account's demand at one entry, including refused requests.
type Demand struct {
	Requests float64 // per second
	Tokens   float64 // per second
}

// Limits are an account's limits over all entries, per second; 0 means no limit.
type Limits struct {
	Requests float64
	Tokens   float64
}

// bucket is an account's token bucket for requests and for tokens, with its demand at
// the time at.
type bucket struct {
	requests float64
	tokens   float64
	demand   Demand
	at       time.Time
}

type peer struct {
	demand map[ident.AccountID]Demand
	at     time.Time
}

// Limiter holds the accounts' buckets of one entry and the demand at the others. It is
// not safe for concurrent use.
type Limiter struct {
	accounts map[ident.AccountID]bucket
	peers    map[ident.InstanceID]peer
}

// New returns a limiter without observations.
func New() *Limiter {
	return &Limiter{
		accounts: map[ident.AccountID]bucket{},
		peers:    map[ident.InstanceID]peer{},
	}
}

// ObservePeer records the demand that another entry reported, and deletes figures
// older than peerTTL.
func (l *Limiter) ObservePeer(i ident.InstanceID, u map[ident.AccountID]Demand, now time.Time) {
	l.peers[i] = peer{demand: u, at: now}
	for id, p := range l.peers {
		if now.Sub(p.at) > peerTTL {
			delete(l.peers, id)
		}
	}
}

// Demand returns the demand of each account at this entry, for the exchange with other
// entries.
func (l *Limiter) Demand(now time.Time) map[ident.AccountID]Demand {
	out := make(map[ident.AccountID]Demand, len(l.accounts))
	for a, b := range l.accounts {
		d := decayFactor(now.Sub(b.at))
		out[a] = Demand{Requests: b.demand.Requests * d, Tokens: b.demand.Tokens * d}
	}
	return out
}

// Allow admits a request with an estimated number of tokens. When it refuses the
// request, it returns the time after which the bucket has refilled enough at the
// present rate.
func (l *Limiter) Allow(a ident.AccountID, c Limits, estimate ident.Tokens, now time.Time) (time.Duration, bool) {
	b := l.refill(a, c, now)
	defer func() { l.accounts[a] = b }()
	t := float64(estimate)
	part := l.share(a, b.demand, now)
	b.demand.Requests += 1 / demandDecay.Seconds()
	b.demand.Tokens += t / demandDecay.Seconds()
	if c.Requests > 0 && b.requests < 1 {
		return refillTime(1-b.requests, c.Requests*part), false
	}
	// A request that is larger than the burst is admitted when the bucket is full.
	need := min(t, c.Tokens*part*burstWindow.Seconds())
	if c.Tokens > 0 && b.tokens < need {
		return refillTime(need-b.tokens, c.Tokens*part), false
	}
	b.requests--
	b.tokens -= t
	return 0, true
}

// Settle replaces the estimated tokens of an admitted request by those that it used.
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
	p := l.share(a, b.demand, now)
	maxRequests := max(c.Requests*p*burstWindow.Seconds(), 1)
	maxTokens := c.Tokens * p * burstWindow.Seconds()
	if !ok {
		return bucket{requests: maxRequests, tokens: maxTokens, at: now}
	}
	s := max(now.Sub(b.at).Seconds(), 0)
	b.requests = min(b.requests+s*c.Requests*p, maxRequests)
	b.tokens = min(b.tokens+s*c.Tokens*p, maxTokens)
	d := decayFactor(now.Sub(b.at))
	b.demand = Demand{Requests: b.demand.Requests * d, Tokens: b.demand.Tokens * d}
	b.at = now
	return b
}

// share returns this entry's fraction of an account's limit: an equal part of
// floorFraction, and the rest in proportion to its own demand in requests. Without any
// demand all entries have equal shares.
func (l *Limiter) share(a ident.AccountID, own Demand, now time.Time) float64 {
	n := 1.0
	sum := own.Requests
	for _, p := range l.peers {
		if now.Sub(p.at) > peerTTL {
			continue
		}
		n++
		sum += p.demand[a].Requests
	}
	if sum <= 0 {
		return 1 / n
	}
	return floorFraction/n + (1-floorFraction)*own.Requests/sum
}

func decayFactor(d time.Duration) float64 {
	if d <= 0 {
		return 1
	}
	return math.Exp(-d.Seconds() / demandDecay.Seconds())
}

// refillTime returns the time in which the missing amount refills at a rate per
// second; burstWindow without a rate.
func refillTime(missing, rate float64) time.Duration {
	if rate <= 0 {
		return burstWindow
	}
	return time.Duration(missing / rate * float64(time.Second))
}
