package link

import "time"

const (
	// excessMemory is how long the connections to an address are closed after one answer once it
	// has sent bytes that belong to no answer. Afterwards such bytes may cost the requests that are
	// then on kept connections; a longer time costs an upstream that sent some only once, as a new
	// connection may hold one of its slots.
	excessMemory = time.Minute
	// maxSuspects bounds the addresses that are remembered; a region has some hundred upstreams.
	maxSuspects = 1024
)

// ExcessError reports bytes from an upstream that belong to no answer, or to one that had ended.
type ExcessError struct {
	Address string
}

func (e *ExcessError) Error() string {
	return "bytes from " + e.Address + " that belong to no answer"
}

// suspect is an address that has sent bytes that belong to no answer.
type suspect struct {
	// seen is when such bytes were last seen.
	seen time.Time
	// reported is true once TakeExcess has reported it.
	reported bool
}

// suspects holds suspects by address. It is not safe for concurrent use.
type suspects map[string]suspect

// add remembers the address for excessMemory from now on. If there is no room, the one that was
// seen the longest ago is forgotten.
func (s suspects) add(address string, now time.Time) {
	if !s.has(address, now) {
		delete(s, address)
		s.prune(now)
	}
	x, ok := s[address]
	if !ok && len(s) >= maxSuspects {
		s.dropOldest()
	}
	x.seen = now
	s[address] = x
}

// has reports whether the address is remembered at now.
func (s suspects) has(address string, now time.Time) bool {
	x, ok := s[address]
	return ok && now.Sub(x.seen) < excessMemory
}

// takeReport returns true on its first call while the address is remembered.
func (s suspects) takeReport(address string, now time.Time) bool {
	x := s[address]
	if x.reported || !s.has(address, now) {
		return false
	}
	x.reported = true
	s[address] = x
	return true
}

// prune forgets the addresses whose time is over at now.
func (s suspects) prune(now time.Time) {
	for a := range s {
		if !s.has(a, now) {
			delete(s, a)
		}
	}
}

// dropOldest forgets the address that was seen the longest ago.
func (s suspects) dropOldest() {
	var oldest string
	for a, x := range s {
		if oldest == "" || x.seen.Before(s[oldest].seen) {
			oldest = a
		}
	}
	delete(s, oldest)
}

// suspect remembers that the address has sent bytes that belong to no answer, and closes its
// idle connections: further bytes may be on their way on them.
func (p *Pool) suspect(address string) {
	p.mu.Lock()
	p.suspects.add(address, time.Now())
	p.mu.Unlock()
	p.CloseIdle(address)
}

// reject closes a connection that err, from its check, makes unfit for a request.
func (p *Pool) reject(c *conn, err error) {
	if isExcess(err) {
		p.suspect(c.address)
	}
	p.discard(c)
}

// TakeExcess reports whether the upstream was found to send bytes that belong to no answer. It
// does so once for each time for which that is remembered.
func (a *Response) TakeExcess() bool {
	p := a.exchange.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspects.takeReport(a.exchange.conn.address, time.Now())
}
