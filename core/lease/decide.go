package lease

import (
	"time"

	"tarragonvalve.example/core/ident"
)

// A contender reads the row every half term, so it takes over at most one and a
// half terms after the last renewal. The holder renews every quarter, so two
// renewals may fail before it stops.
const (
	watchParts = 2
	renewParts = 4
)

// rules are the times of a lease.
type rules struct {
	term, margin time.Duration
}

// state is what a contender knows. All times are from its own monotonic clock.
type state struct {
	// revision is the last one that was read or written, first seen at the time seen.
	revision ident.Revision
	seen     time.Time
	known    bool
	// released is true when the last holder gave the lease up.
	released bool
	// next is when the next action is due.
	next time.Time
	// token is above 0 while this contender holds the lease, until the time until.
	token ident.FencingToken
	until time.Time
}

type (
	// outcome is how an action ended.
	outcome interface{ outcome() }
	// rowRead reports the row as it was read; revision 0 means that there is none.
	rowRead struct {
		revision ident.Revision
		released bool
	}
	// readFailed reports that the table gave no answer.
	readFailed struct{}
	// written reports a write, first sent at the time sent, that took effect.
	written struct{ sent time.Time }
	// writeLost reports a write that another write preceded.
	writeLost struct{}
	// writeUnknown reports a write whose outcome is not known.
	writeUnknown struct{}
)

func (rowRead) outcome()      {}
func (readFailed) outcome()   {}
func (written) outcome()      {}
func (writeLost) outcome()    {}
func (writeUnknown) outcome() {}

type (
	// action is what a contender does next.
	action interface{ action() }
	// wait does nothing until a time.
	wait struct{ until time.Time }
	// read reads the row.
	read struct{}
	// write makes the conditional write that acquires or renews the lease. A
	// renewal is repeated until the deadline.
	write struct {
		expect   ident.Revision
		token    ident.FencingToken
		deadline time.Time
	}
)

func (wait) action()  {}
func (read) action()  {}
func (write) action() {}

// decide returns the next action.
func decide(r rules, s state, now time.Time) (state, action) {
	if s.token > 0 && !now.Before(s.until) {
		s = forget(s)
	}
	if now.Before(s.next) {
		return s, wait{until: s.next}
	}
	switch {
	case s.token > 0:
		return s, write{expect: s.revision, token: s.token, deadline: s.until}
	case !s.known:
		return s, read{}
	case s.revision == 0 || s.released || !now.Before(s.seen.Add(r.term)):
		// The revision of an acquisition is above that of all earlier ones, so it orders the holders.
		t := ident.FencingToken(s.revision + 1)
		return s, write{expect: s.revision, token: t, deadline: now.Add(r.term / renewParts)}
	}
	return s, read{}
}

// apply returns the state after the outcome of an action.
func apply(r rules, s state, e outcome, now time.Time) state {
	switch e := e.(type) {
	case rowRead:
		if !s.known || e.revision != s.revision {
			s.seen = now
		}
		s.known = true
		s.revision = e.revision
		s.released = e.released
		s.next = watchAt(r, s, now)
	case readFailed:
		s.next = now.Add(r.term / watchParts)
	case written:
		s = hold(r, s, e, now)
	case writeLost:
		s = forget(s)
		s.next = now
	case writeUnknown:
		// The lease runs until its end. A write that is still on its way can't be
		// told from another's, so the row is read again first.
		if s.token == 0 || !now.Before(s.until) {
			s = forget(s)
			s.next = now.Add(r.term / watchParts)
		}
	}
	return s
}

func hold(r rules, s state, e written, now time.Time) state {
	if s.token == 0 {
		s.token = ident.FencingToken(s.revision + 1)
	}
	s.revision++
	s.released = false
	// Others count a whole term from when they see this write, which is after it was sent.
	s.until = e.sent.Add(r.term - r.margin)
	s.next = e.sent.Add(r.term / renewParts)
	if !now.Before(s.until) {
		s = forget(s)
		s.next = now
	}
	return s
}

// watchAt returns when a contender acts next: at the end of the term or, before it, at the next read.
func watchAt(r rules, s state, now time.Time) time.Time {
	if s.revision == 0 || s.released {
		return now
	}
	n := now.Add(r.term / watchParts)
	if end := s.seen.Add(r.term); end.Before(n) {
		return end
	}
	return n
}

func forget(s state) state {
	return state{next: s.next}
}

// held returns the fencing token if the lease is valid at a time.
func (s state) held(now time.Time) (ident.FencingToken, bool) {
	if s.token == 0 || !now.Before(s.until) {
		return 0, false
	}
	return s.token, true
}
