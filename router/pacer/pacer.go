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

// Share is the place of an instance among those that share a rate.
type Share struct {
	// Rank numbers the instances from 0. Size is their number; less than 1 counts as 1.
	Rank, Size int
}

// Slots are the slots of one instance at one upstream.
type Slots struct {
	// interval is the time between two slots of any instances, period between two own ones.
	interval, period time.Duration
	// offset is the time of an own slot after the Unix epoch, less than a period.
	offset time.Duration
}

// New returns the slots of an instance at an upstream with rate r. Instances have different
// slots first at different upstreams, so that no instance gets all its slots at one time.
func New(r call.Rate, s Share, u ident.UpstreamID) Slots {
	i := time.Duration(float64(time.Second) / min(max(float64(r), minRate), maxRate))
	n := uint64(max(s.Size, 1))
	rank := (uint64(max(s.Rank, 0)) + xxhash.Sum64String(string(u))%n) % n
	return Slots{interval: i, period: i * time.Duration(n), offset: i * time.Duration(rank)}
}

// Next returns the time of the first own slot that is usable at now or later. taken is the time
// of the slot that was used last; zero if there was none.
func (s Slots) Next(taken, now time.Time) time.Time {
	from := now.Add(-s.TTL())
	// Half a period keeps its distance from the slot used last if the rate or the share changed.
	if after := taken.Add(s.period / 2); !taken.IsZero() && after.After(from) {
		from = after
	}
	late := time.Duration((from.UnixNano() - int64(s.offset)) % int64(s.period))
	if late == 0 {
		return from
	}
	return from.Add(s.period - late)
}

// TTL returns how long a slot is usable.
func (s Slots) TTL() time.Duration { return unusedSlotTTL + s.interval }
