package place

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/fleet"
)

const (
	// holdLife is how long an upstream counts as holding a prefix after it read it.
	// On the grown sites an engine reads as many tokens as fit its memory in 15 s.
	holdLife = 10 * time.Second
	// maxHolders bounds the upstreams remembered for one prefix; the newest stay.
	maxHolders = 3
	// maxPrefixes bounds the prefixes remembered; what comes later is not.
	maxPrefixes = 20_000
	// maxSamplePrefixes bounds the prefixes in one sample.
	maxSamplePrefixes = 64
)

// Prefix identifies the shared parts of a prompt for one model.
type Prefix uint64

// prefixOf returns 0 for an empty name, which stands for no shared part.
func prefixOf(affinity string) Prefix {
	if affinity == "" {
		return 0
	}
	return Prefix(xxhash.Sum64String(affinity))
}

// holder is an upstream that read a prefix.
type holder struct {
	upstream ident.UpstreamID
	at       time.Time
}

// holders remembers which upstreams read which prefixes lately.
type holders map[Prefix][]holder

// add records that an upstream read a prefix.
func (h holders) add(p Prefix, u ident.UpstreamID, at time.Time) {
	hs, ok := h[p]
	if !ok && len(h) >= maxPrefixes {
		return
	}
	i := slices.IndexFunc(hs, func(x holder) bool { return x.upstream == u })
	switch {
	case i >= 0:
		if at.After(hs[i].at) {
			hs[i].at = at
		}
	case len(hs) < maxHolders:
		hs = append(hs, holder{upstream: u, at: at})
	default:
		oldest := 0
		for i := range hs {
			if hs[i].at.Before(hs[oldest].at) {
				oldest = i
			}
		}
		hs[oldest] = holder{upstream: u, at: at}
	}
	h[p] = hs
}

// expire drops what is too old.
func (h holders) expire(now time.Time) {
	for p, hs := range h {
		hs = slices.DeleteFunc(hs, func(x holder) bool { return now.Sub(x.at) > holdLife })
		if len(hs) == 0 {
			delete(h, p)
			continue
		}
		h[p] = hs
	}
}

// cached says where the shared parts of a prompt are.
type cached struct {
	prefix Prefix
	// held are the upstreams that read them lately.
	held []*fleet.Upstream
	// home is where to read them first; it is nil if there are none, or some hold them.
	home *fleet.Upstream
}

// has reports whether an upstream likely has the shared parts in memory.
func (c *cached) has(u *fleet.Upstream) bool {
	return u == c.home || slices.Contains(c.held, u)
}

// source returns an upstream from which another can copy the shared parts: one
// with the same weights, in the other's failure domain if possible.
func (c *cached) source(u *fleet.Upstream) *fleet.Upstream {
	var best *fleet.Upstream
	for _, x := range c.held {
		if x.Version == u.Version && (best == nil || x.Domain == u.Domain) {
			best = x
		}
	}
	return best
}

// locate returns where the shared parts of a query's prompt are.
func (b *Balancer) locate(us []*fleet.Upstream, q *Query, now time.Time) cached {
	c := cached{prefix: prefixOf(q.PrefixKey)}
	if c.prefix == 0 {
		return c
	}
	for _, h := range b.holders[c.prefix] {
		if now.Sub(h.at) > holdLife || b.silent(h.upstream) {
			continue
		}
		i := slices.IndexFunc(us, func(u *fleet.Upstream) bool { return u.ID == h.upstream })
		if i >= 0 {
			c.held = append(c.held, us[i])
		}
	}
	if len(c.held) == 0 {
		c.home = b.home(us, q)
	}
	return c
}
