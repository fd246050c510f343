package uplink

import (
	"sync"
	"time"
)

// controlShare is the fraction of the link that messages to other routers may take.
const controlShare = 0.2

// maxAhead bounds for how long a burst, such as that of many routers that start, counts afterwards.
const maxAhead = 15 * time.Second

// Control bounds what is sent to other routers, so that it yields to requests. It is safe for concurrent use.
type Control struct {
	meter *Meter

	mu sync.Mutex
	bucket
}

// Control returns a bound that follows the rate of the link, as stated in the settings or as measured while it is full.
// Without either nothing is bounded.
func (m *Meter) Control() *Control { return &Control{meter: m} }

// Sent records that n bytes are sent, or with a negative number that they aren't, and returns for how long messages should
// pause for it.
func (c *Control) Sent(n int) time.Duration {
	rate := c.meter.controlRate()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.charge(c.meter.now(), n, rate)
}

// controlRate returns the rate of control messages in bytes a second; 0 means that it isn't bounded.
func (m *Meter) controlRate() float64 {
	rate := m.stated
	if s := m.State(); s.Full() && (rate == 0 || s.rate < rate) {
		rate = s.rate
	}
	return controlShare * rate
}

// bucket holds the bytes that were sent ahead of a rate.
type bucket struct {
	ahead float64
	at    time.Duration
}

// charge adds n bytes at a time and returns how long a rate takes for those that are ahead of it. A rate of 0 means that
// it isn't bounded.
func (b *bucket) charge(now time.Duration, n int, rate float64) time.Duration {
	if rate <= 0 {
		*b = bucket{at: now}
		return 0
	}
	b.ahead = max(b.ahead-rate*(now-b.at).Seconds(), 0) + float64(n)
	b.ahead = min(b.ahead, rate*maxAhead.Seconds())
	b.at = now
	return time.Duration(b.ahead / rate * float64(time.Second))
}
