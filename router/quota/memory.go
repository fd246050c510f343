package quota

import (
	"fmt"
	"sync"
)

// longShare is the fraction of the memory for messages that answers may take beyond the room for
// ordinary ones. The rest is for that room, some 4,000 answers in 16 MB, and for requests.
const longShare = 0.5

// MemoryLimitError reports that messages in progress use all the memory that they may.
type MemoryLimitError struct {
	// Limit is in bytes.
	Limit int64
}

func (e *MemoryLimitError) Error() string {
	return fmt.Sprintf("messages in progress take the %d bytes that they may", e.Limit)
}

// Owner is who sends long answers, such as the address of an upstream.
type Owner string

// MemoryLimit bounds the bytes of all messages that are held at a time. What answers take beyond
// the room for an ordinary one comes from a share of it. If that is used up, the longest unfinished
// answer of the owner with the most bytes gives way. It is safe for concurrent use.
type MemoryLimit struct {
	limit int64

	mu sync.Mutex
	// used are the bytes of all messages, long those of answers beyond the room for ordinary ones.
	used, long int64
	// owners holds the bytes of long by owner; entries of 0 are removed.
	owners map[Owner]int64
	// reading holds the answers that have bytes of long and are not complete.
	reading map[*Reservation]bool
}

// NewMemoryLimit returns a limit in bytes; 0 means no limit.
func NewMemoryLimit(limit int64) *MemoryLimit {
	return &MemoryLimit{limit: limit, owners: map[Owner]int64{}, reading: map[*Reservation]bool{}}
}

// Used returns the number of bytes in use.
func (l *MemoryLimit) Used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// Reservation is the memory that one message uses. It is used by one goroutine at a time.
type Reservation struct {
	limit *MemoryLimit
	// prepaid are reserved bytes that are not in use yet.
	prepaid int64
	// evict ends the reading of an answer that gives way; it may be nil.
	evict func(error)
	// isAnswer is true for messages whose growth comes from the share of long answers.
	isAnswer bool
	owner    Owner

	// The fields below are guarded by limit.mu. bytes are all that is reserved, long those of them
	// that come from the share of long answers.
	bytes, long int64
	// evicted is true once the answer gave way to others.
	evicted bool
}

// NewReservation returns a reservation of no bytes.
func (l *MemoryLimit) NewReservation() *Reservation {
	return &Reservation{limit: l}
}

// ReserveAnswer reserves the room for an ordinary answer, which must be done before its request is
// sent: it returns a *MemoryLimitError if there is none. evict is called if the answer grows beyond
// the room and has to give way.
func (l *MemoryLimit) ReserveAnswer(evict func(error)) (*Reservation, error) {
	m := &Reservation{limit: l, evict: evict}
	if err := m.grow(initialBuffer); err != nil {
		return nil, err
	}
	m.prepaid = initialBuffer
	return m, nil
}

// SetOwner makes the message an answer of the owner.
func (m *Reservation) SetOwner(o Owner) { m.isAnswer, m.owner = true, o }

// grow reserves n more bytes. It returns a *MemoryLimitError if they exceed the limit.
func (m *Reservation) grow(n int64) error {
	taken := min(n, m.prepaid)
	m.prepaid -= taken
	n -= taken
	l := m.limit
	l.mu.Lock()
	var evicted []*Reservation
	fits := !m.evicted
	if fits && m.isAnswer && l.limit > 0 && n > 0 {
		evicted, fits = l.makeRoom(m, n)
	}
	if fits = fits && (l.limit <= 0 || l.used+n <= l.limit); fits {
		m.add(n)
	}
	l.mu.Unlock()
	for _, v := range evicted {
		if v.evict != nil {
			v.evict(&MemoryLimitError{Limit: l.limit})
		}
	}
	if !fits {
		return &MemoryLimitError{Limit: l.limit}
	}
	return nil
}

// add counts n more bytes. limit.mu must be held.
func (m *Reservation) add(n int64) {
	l := m.limit
	l.used += n
	m.bytes += n
	if !m.isAnswer || n == 0 {
		return
	}
	l.long += n
	m.long += n
	l.owners[m.owner] += n
	l.reading[m] = true
}

// makeRoom has answers give way until n bytes for m fit into the share of long answers, and returns
// them. It returns false if m is the one that has to give way. l.mu must be held.
func (l *MemoryLimit) makeRoom(m *Reservation, n int64) ([]*Reservation, bool) {
	var evicted []*Reservation
	for float64(l.long+n) > longShare*float64(l.limit) {
		v := m
		most, longest := l.owners[m.owner]+n, m.long+n
		for x := range l.reading {
			o := l.owners[x.owner]
			if x.owner == m.owner {
				o += n
			}
			if x != m && (o > most || (o == most && x.long > longest)) {
				v, most, longest = x, o, x.long
			}
		}
		if v == m {
			return evicted, false
		}
		v.evicted = true
		v.drop()
		evicted = append(evicted, v)
	}
	return evicted, true
}

// drop takes the message's bytes out of the count. limit.mu must be held.
func (m *Reservation) drop() {
	l := m.limit
	l.used -= m.bytes
	l.long -= m.long
	l.owners[m.owner] -= m.long
	if l.owners[m.owner] == 0 {
		delete(l.owners, m.owner)
	}
	m.bytes, m.long = 0, 0
	delete(l.reading, m)
}

// complete ends the reading of a message: it no longer gives way to others. It returns a
// *MemoryLimitError if it had to before.
func (m *Reservation) complete() error {
	m.limit.mu.Lock()
	defer m.limit.mu.Unlock()
	if m.evicted {
		return &MemoryLimitError{Limit: m.limit.limit}
	}
	delete(m.limit.reading, m)
	return nil
}

// Free releases the reserved bytes; further calls have no effect.
func (m *Reservation) Free() {
	m.limit.mu.Lock()
	defer m.limit.mu.Unlock()
	m.drop()
	m.prepaid = 0
}
