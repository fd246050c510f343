package claim

import (
	"context"
	"sync/atomic"
	"time"

	"tarragonvalve.example/core/table"
)

// maxLater bounds the writes that wait for the table. Each holds at most one
// result, so they take at most 8 MiB.
const maxLater = 128

// laterTry bounds one try of a waiting write, so that one key does not hold up the others.
const laterTry = 5 * time.Second

// job is a write whose outcome stayed unknown.
type job interface {
	run(ctx context.Context, b *Store) error
}

type counters struct {
	dropped, settled atomic.Uint64
}

// Stats counts the writes that were completed later or dropped because too many waited.
type Stats struct {
	Completed, Dropped uint64
	Queued             int
}

// Stats returns the book's counters.
func (s *Store) Stats() Stats {
	return Stats{Completed: s.counts.settled.Load(), Dropped: s.counts.dropped.Load(), Queued: len(s.later)}
}

// Name implements serve.Step.
func (s *Store) Name() string {
	return "claim"
}

// Run completes writes whose outcome stayed unknown until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case j := <-s.later:
			s.try(ctx, j)
		}
	}
}

func (s *Store) try(ctx context.Context, j job) {
	c, cancel := context.WithTimeout(ctx, laterTry)
	defer cancel()
	if err := j.run(c, s); table.IsUnavailable(err) {
		s.queue(j)
		return
	}
	s.counts.settled.Add(1)
}

// queue drops the write when too many wait: its claim then stays dispatched, which
// callers see as unknown.
func (s *Store) queue(j job) {
	select {
	case s.later <- j:
	default:
		s.counts.dropped.Add(1)
	}
}

// finish records a result.
type finish struct {
	claim  Claim
	result Result
	token  table.WriteToken
}

func (j *finish) run(ctx context.Context, b *Store) error {
	c := j.claim
	c.State = StateDone
	c.Result = &j.result
	_, err := b.put(ctx, c, j.token)
	if t, ok := table.AsConflict(err); ok {
		return current(c.Key, t)
	}
	return err
}

// release marks a claim not-run whose call was not sent.
type release struct {
	claim Claim
	token table.WriteToken
}

func (j *release) run(ctx context.Context, b *Store) error {
	c := j.claim
	c.State = StateNotRun
	c.Upstream = ""
	_, err := b.put(ctx, c, j.token)
	if t, ok := table.AsConflict(err); ok {
		return current(c.Key, t)
	}
	return err
}

// abandon marks a call not-run whose dispatch write has an unknown outcome. The
// call was not sent and never will be, since Dispatch returned an error.
type abandon struct {
	key      Key
	dispatch Dispatch
	token    table.WriteToken
}

func (j *abandon) run(ctx context.Context, b *Store) error {
	m := NotRunMark{Expect: j.dispatch.Expect, Digest: j.dispatch.Digest, Request: j.dispatch.Request}
	_, err := b.mark(ctx, j.key, m)
	t, ok := table.AsConflict(err)
	if !ok {
		return err
	}
	if t.Current == nil || t.Current.Token != j.token {
		return nil
	}
	// The dispatch write took effect; only the process that made it may take it back.
	m.Expect = t.Current.Revision
	_, err = b.mark(ctx, j.key, m)
	if _, ok := table.AsConflict(err); ok {
		return nil
	}
	return err
}
