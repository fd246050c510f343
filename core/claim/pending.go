package claim

import (
	"context"
	"sync/atomic"
	"time"

	"tarragonvalve.example/core/table"
)

// maxQueuedWrites bounds the queued writes. Each holds at most one result, whose body
// has at most MaxResultBytes, so they take at most 8 MiB.
const maxQueuedWrites = 128

// retryTimeout bounds one try of a queued write, so that a row that gets no answer does
// not hold up the other writes.
const retryTimeout = 5 * time.Second

// pendingWrite is a write whose outcome is not known.
type pendingWrite interface {
	// run makes the write again. An error that satisfies table.IsUnavailable means that
	// the outcome is still not known.
	run(ctx context.Context, s *Store) error
}

type counters struct {
	dropped, completed atomic.Uint64
}

// Stats counts queued writes: those whose outcome became known, those that were dropped
// because the queue was full, and those that are in the queue now.
type Stats struct {
	Completed, Dropped uint64
	Queued             int
}

// Stats returns the counts of queued writes.
func (s *Store) Stats() Stats {
	return Stats{Completed: s.counts.completed.Load(), Dropped: s.counts.dropped.Load(), Queued: len(s.queued)}
}

// Name implements serve.Component.
func (s *Store) Name() string {
	return "claim"
}

// Run makes the queued writes one after another until ctx ends. A write whose outcome
// is still not known goes to the end of the queue.
func (s *Store) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case w := <-s.queued:
			s.retry(ctx, w)
		}
	}
}

func (s *Store) retry(ctx context.Context, w pendingWrite) {
	c, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	if err := w.run(c, s); table.IsUnavailable(err) {
		s.queue(w)
		return
	}
	s.counts.completed.Add(1)
}

// queue adds a write for Run. It drops the write when the queue is full: the claim then
// stays dispatched, and callers with its key get an unknown outcome.
func (s *Store) queue(w pendingWrite) {
	select {
	case s.queued <- w:
	default:
		s.counts.dropped.Add(1)
	}
}

// resultWrite records the result of a dispatched call.
type resultWrite struct {
	claim  Claim
	result Result
	token  table.WriteToken
}

func (w *resultWrite) run(ctx context.Context, s *Store) error {
	c := w.claim
	c.State = StateDone
	c.Result = &w.result
	_, err := s.put(ctx, c, w.token)
	if t, ok := table.AsConflict(err); ok {
		return claimConflict(c.Key, t)
	}
	return err
}

// abandonWrite marks a claim not-run whose call was not sent.
type abandonWrite struct {
	claim Claim
	token table.WriteToken
}

func (w *abandonWrite) run(ctx context.Context, s *Store) error {
	c := w.claim
	c.State = StateNotRun
	c.Upstream = ""
	_, err := s.put(ctx, c, w.token)
	if t, ok := table.AsConflict(err); ok {
		return claimConflict(c.Key, t)
	}
	return err
}

// dispatchUndo marks a call not-run whose dispatch write has an unknown outcome. The
// call was not sent and never will be, since Dispatch returned an error.
type dispatchUndo struct {
	key      Key
	dispatch Dispatch
	token    table.WriteToken
}

func (u *dispatchUndo) run(ctx context.Context, s *Store) error {
	m := NotRunMark{Expect: u.dispatch.Expect, Digest: u.dispatch.Digest, Request: u.dispatch.Request}
	_, err := s.putNotRun(ctx, u.key, m)
	t, ok := table.AsConflict(err)
	if !ok {
		return err
	}
	if t.Current == nil || t.Current.Token != u.token {
		return nil
	}
	// The row holds the token of the dispatch write, so that write took effect. Only
	// the process that made it may mark the claim not-run.
	m.Expect = t.Current.Revision
	_, err = s.putNotRun(ctx, u.key, m)
	if _, ok := table.AsConflict(err); ok {
		return nil
	}
	return err
}
