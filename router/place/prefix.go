package place

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/fleet"
)

const (
	// prefixTTL is how long an upstream is assumed to keep a prefix cached after it
	// processed it. On the grown sites (see scripts/sites) an engine processes as many
	// prompt tokens in 15 s as its memory holds.
	prefixTTL = 10 * time.Second
	// maxHolders bounds the upstreams recorded for one prefix; the most recent ones are
	// kept.
	maxHolders = 3
	// maxPrefixes bounds the recorded prefixes; at the bound, new prefixes are ignored
	// until old ones expire.
	maxPrefixes = 20_000
	// maxSamplePrefixes bounds the prefixes in one sample; the newest ones are kept.
	maxSamplePrefixes = 64
)

// Prefix is a hash that identifies the shared prefix of a prompt for one model.
type Prefix uint64

// prefixOf returns the hash of a prefix key. It returns 0 for an empty key, which means
// that the prompt has no shared prefix.
func prefixOf(key string) Prefix {
	if key == "" {
		return 0
	}
	return Prefix(xxhash.Sum64String(key))
}

// holder is an upstream that processed a prefix, and when it last did.
type holder struct {
	upstream ident.UpstreamID
	at       time.Time
}

// prefixIndex maps each prefix to the upstreams that recently processed it.
type prefixIndex map[Prefix][]holder

// add records that an upstream processed a prefix. If the prefix has maxHolders others,
// the one that processed it longest ago is replaced.
func (h prefixIndex) add(p Prefix, u ident.UpstreamID, at time.Time) {
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

// expire drops the holders that processed their prefix more than prefixTTL ago.
func (h prefixIndex) expire(now time.Time) {
	for p, hs := range h {
		hs = slices.DeleteFunc(hs, func(x holder) bool { return now.Sub(x.at) > prefixTTL })
		if len(hs) == 0 {
			delete(h, p)
			continue
		}
		h[p] = hs
	}
}

// prefixLocation is where a query's prefix is cached or should be cached.
type prefixLocation struct {
	prefix Prefix
	// holders are the upstreams that recently processed the prefix.
	holders []*fleet.Upstream
	// owner is the upstream that should process the prefix first. It is nil if there is
	// no prefix, an upstream already holds it, or no upstream may be used.
	owner *fleet.Upstream
}

// likelyCached reports whether an upstream has the prefix in its cache or is the one that
// should process it first.
func (c *prefixLocation) likelyCached(u *fleet.Upstream) bool {
	return u == c.owner || slices.Contains(c.holders, u)
}

// copySource returns a holder from which u can copy the prefix: one with the same model
// version, if possible in u's failure domain. It returns nil if there is none.
func (c *prefixLocation) copySource(u *fleet.Upstream) *fleet.Upstream {
	var best *fleet.Upstream
	for _, x := range c.holders {
		if x.Version == u.Version && (best == nil || x.Domain == u.Domain) {
			best = x
		}
	}
	return best
}

// locatePrefix returns where the prefix of a query is cached. It skips unresponsive
// upstreams.
func (b *Balancer) locatePrefix(us []*fleet.Upstream, q *Query, now time.Time) prefixLocation {
	c := prefixLocation{prefix: prefixOf(q.PrefixKey)}
	if c.prefix == 0 {
		return c
	}
	for _, h := range b.holders[c.prefix] {
		if now.Sub(h.at) > prefixTTL || b.unresponsive(h.upstream) {
			continue
		}
		i := slices.IndexFunc(us, func(u *fleet.Upstream) bool { return u.ID == h.upstream })
		if i >= 0 {
			c.holders = append(c.holders, us[i])
		}
	}
	if len(c.holders) == 0 {
		c.owner = b.prefixOwner(us, q)
	}
	return c
}
