package lease

import (
	"time"

	"tarragonvalve.example/core/ident"
)

// A contender reads the row readsPerTerm times in a term, so it takes over at most
// one and a half terms after the last renewal. The holder renews the lease
// renewalsPerTerm times in a term, so two renewals may fail before it stops acting.
const (
	readsPerTerm    = 2
	renewalsPerTerm = 4
)

// timing holds the term and the margin of a lease, as in Options.
type timing struct {
	term, margin time.Duration
}

// state is the view that a contender has of the lease. All times are from its own
// monotonic clock.
type state struct {
	// revision is the last revision of the row that was read or written. observed is
	// true once the row was read. firstSeen is the time of the read that last showed a
	// change of the revision.
	revision  ident.Revision
	firstSeen time.Time
	observed  bool
	// released is true when the row shows that the last holder gave the lease up.
	released bool
	// nextAction is when the next read or write is due.
	nextAction time.Time
	// token is above 0 while this contender holds the lease, which ends at heldUntil.
	token     ident.FencingToken
	heldUntil time.Time
}

type (
	// outcome is the result of an action.
	outcome interface{ outcome() }
	// rowRead reports the row as it was read; revision 0 means that there is no row.
	rowRead struct {
		revision ident.Revision
		released bool
	}
	// readFailed reports that the table gave no answer.
	readFailed struct{}
	// written reports a write that took effect. sent is when its first try began.
	written struct{ sent time.Time }
	// writeConflict reports a write that failed since another write had changed the
	// row.
	writeConflict struct{}
	// writeUnknown reports a write whose outcome is not known.
	writeUnknown struct{}
)

func (rowRead) outcome()       {}
func (readFailed) outcome()    {}
func (written) outcome()       {}
func (writeConflict) outcome() {}
func (writeUnknown) outcome()  {}

type (
	// action is what a contender does next.
	action interface{ action() }
	// wait waits until a time without any call to the table.
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

// decide returns the next action. It also drops a held lease that has run out.
func decide(r timing, s state, now time.Time) (state, action) {
	if s.token > 0 && !now.Before(s.heldUntil) {
		s = resetState(s)
	}
	if now.Before(s.nextAction) {
		return s, wait{until: s.nextAction}
	}
	switch {
	case s.token > 0:
		return s, write{expect: s.revision, token: s.token, deadline: s.heldUntil}
	case !s.observed:
		return s, read{}
	case s.revision == 0 || s.released || !now.Before(s.firstSeen.Add(r.term)):
		// The token is the revision that the acquisition gives the row. Revisions only
		// rise, so tokens order the holders.
		t := ident.FencingToken(s.revision + 1)
		return s, write{expect: s.revision, token: t, deadline: now.Add(r.term / renewalsPerTerm)}
	}
	return s, read{}
}

// apply returns the state after the outcome of an action.
func apply(r timing, s state, e outcome, now time.Time) state {
	switch e := e.(type) {
	case rowRead:
		if !s.observed || e.revision != s.revision {
			s.firstSeen = now
		}
		s.observed = true
		s.revision = e.revision
		s.released = e.released
		s.nextAction = nextRead(r, s, now)
	case readFailed:
		s.nextAction = now.Add(r.term / readsPerTerm)
	case written:
		s = applyWritten(r, s, e, now)
	case writeConflict:
		s = resetState(s)
		s.nextAction = now
	case writeUnknown:
		// A lease that is still held stays held until heldUntil. Otherwise the row is
		// read again before the next write, since a write that is still on its way
		// can't be told from another contender's.
		if s.token == 0 || !now.Before(s.heldUntil) {
			s = resetState(s)
			s.nextAction = now.Add(r.term / readsPerTerm)
		}
	}
	return s
}

// applyWritten returns the state after a write that acquired or renewed the lease.
func applyWritten(r timing, s state, e written, now time.Time) state {
	if s.token == 0 {
		s.token = ident.FencingToken(s.revision + 1)
	}
	s.revision++
	s.released = false
	// Other contenders count a whole term from when they first read this write, which
	// is after it was sent.
	s.heldUntil = e.sent.Add(r.term - r.margin)
	s.nextAction = e.sent.Add(r.term / renewalsPerTerm)
	if !now.Before(s.heldUntil) {
		s = resetState(s)
		s.nextAction = now
	}
	return s
}

// nextRead returns when a contender acts next: now if the lease is free, otherwise at
// its next read or at the end of the term, whichever is first.
func nextRead(r timing, s state, now time.Time) time.Time {
	if s.revision == 0 || s.released {
		return now
	}
	n := now.Add(r.term / readsPerTerm)
	if end := s.firstSeen.Add(r.term); end.Before(n) {
		return end
	}
	return n
}

// resetState drops the lease and all that was read of the row. Only the time of the
// next action stays.
func resetState(s state) state {
	return state{nextAction: s.nextAction}
}

// held returns the fencing token if the lease is held at the time now.
func (s state) held(now time.Time) (ident.FencingToken, bool) {
	if s.token == 0 || !now.Before(s.heldUntil) {
		return 0, false
	}
	return s.token, true
}
