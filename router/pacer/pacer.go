// Package pacer divides an upstream's rate of requests among instances. Time is divided into
// slots, one for each request that the rate allows, and each instance owns every Size-th slot.
// Instances keep the rate together without asking each other, and a clock that differs by a
// second moves its slots by a second but adds none.
package pacer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
)

const (
	// minRate is the least rate, per second, for which slots are made. Without any request an
	// upstream could not state that its limit has ended.
	minRate = 0.05
	// maxRate is the largest rate, per second; larger ones don't limit an instance in practice.
	maxRate = 10_000
	// unusedSlotTTL is how long an unused slot stays usable, in addition to one interval between
	// slots. Unused slots of many instances add up to a burst.
	unusedSlotTTL = time.Second
)

// The bound for a cold upstream: in any second all instances together send it at most coldFactor times its rate, and
// coldTolerance.
const (
	coldFactor    = 1.5
	coldTolerance = 5
)

const (
	// coldWindow is the time in which the bound for cold upstreams holds. The margin is for requests that take
	// different times from the check of their permit to the upstream.
	coldWindow = time.Second + 50*time.Millisecond
	// maxColdTTL and minColdTTL bound how long an unused slot at a cold upstream stays usable. With half a second
	// of unused slots a second holds one and a half times the rate.
	maxColdTTL = 500 * time.Millisecond
	minColdTTL = 250 * time.Millisecond
	// sparseFactor is the factor by which slots are fewer where the bound leaves less than one request a second to
	// each instance: their clocks may differ so that the slots of several fall together.
	sparseFactor = 2
)

// Share is the place of an instance among those that share a rate.
type Share struct {
	// Rank numbers the instances from 0. Size is their number; less than 1 counts as 1.
	Rank, Size int
	// Bound is the number of instances that share a rate at most; 0 means that it isn't known.
	Bound int
}

// Slots are the slots of one instance at one upstream.
type Slots struct {
	// period is the time between two own slots.
	period time.Duration
	// offset is the time of an own slot after the Unix epoch, less than a period.
	offset time.Duration
	// ttl is how long a slot is usable, gap the least time between two slots that are used.
	ttl, gap time.Duration
}

// New returns the slots of an instance at an upstream with rate r. Instances have different
// slots first at different upstreams, so that no instance gets all its slots at one time.
func New(r call.Rate, s Share, u ident.UpstreamID) Slots {
	i := time.Duration(float64(time.Second) / min(max(float64(r), minRate), maxRate))
	n := max(s.Size, 1)
	period := i * time.Duration(n)
	// Half a period keeps its distance from the slot used last if the rate or the share changed.
	return Slots{period: period, offset: i * time.Duration(slotRank(s.Rank, n, u)), ttl: unusedSlotTTL + i, gap: period / 2}
}

// NewCold returns the slots of an instance at a cold upstream that tolerates a rate r. It returns false if the number of
// instances isn't known, in which case the instance has none.
//
// Each instance keeps its part of the bound by itself, whatever the clocks and the ranks of the others are: n
// instances may send k requests a second each if n*k is within the bound. Its slots are so far apart, and usable for
// so short a time, that no second holds more than k.
func NewCold(r call.Rate, s Share, u ident.UpstreamID) (Slots, bool) {
	if s.Bound < 1 {
		return Slots{}, false
	}
	rate := min(max(float64(r), minRate), maxRate)
	period := time.Duration(float64(s.Bound) / rate * float64(time.Second))
	ttl := minColdTTL
	if k := time.Duration(coldFactor*rate+coldTolerance) / time.Duration(s.Bound); k > 0 {
		ttl = min(max(period*k-coldWindow, minColdTTL), maxColdTTL)
		period = max(period, (coldWindow+ttl)/k)
	} else {
		period *= sparseFactor
	}
	offset := period / time.Duration(s.Bound) * time.Duration(slotRank(s.Rank, s.Bound, u))
	return Slots{period: period, offset: offset, ttl: ttl, gap: period}, true
}

// slotRank returns which of n slots an instance owns.
func slotRank(rank, n int, u ident.UpstreamID) int {
	return int((uint64(max(rank, 0)) + xxhash.Sum64String(string(u))%uint64(n)) % uint64(n))
}

// Next returns the time of the first own slot that is usable at now or later. taken is the time
// of the slot that was used last; zero if there was none.
func (s Slots) Next(taken, now time.Time) time.Time {
	from := now.Add(-s.TTL())
	if after := taken.Add(s.gap); !taken.IsZero() && after.After(from) {
		from = after
	}
	late := time.Duration((from.UnixNano() - int64(s.offset)) % int64(s.period))
	if late == 0 {
		return from
	}
	return from.Add(s.period - late)
}

// TTL returns how long a slot is usable.
func (s Slots) TTL() time.Duration { return s.ttl }
