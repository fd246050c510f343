package table

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"strings"
	"time"
)

// Pauses between the repeats of one write. The upper bound keeps the load of many
// processes low while the table is down.
const (
	firstPause = 50 * time.Millisecond
	longPause  = time.Second
)

// NotAppliedError marks a failed call that can't have taken effect, now or later.
type NotAppliedError struct {
	Err error
}

func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("not applied: %v", e.Err)
}

func (e *NotAppliedError) Unwrap() error {
	return e.Err
}

// NotApplied reports whether err holds proof that the write did not take effect and never will.
func NotApplied(err error) bool {
	var e *NotAppliedError
	return errors.As(err, &e)
}

// GetPutter is what Settle needs of a Client.
type GetPutter interface {
	Get(ctx context.Context, k Key) (Row, error)
	Put(ctx context.Context, w Write) error
}

// PutWithRetry repeats a write with the same token until its outcome is known or ctx
// ends. It returns nil when the row holds the write's token, a *ConflictError when
// another write changed the revision, and an *UnavailableError otherwise, which
// satisfies NotApplied only if no try can have reached the table.
func PutWithRetry(ctx context.Context, p GetPutter, w Write) error {
	applied := false // whether a try may have taken effect
	for pause := firstPause; ; pause = min(2*pause, longPause) {
		err := p.Put(ctx, w)
		if err == nil {
			return nil
		}
		if c, ok := AsConflict(err); ok {
			known, err := judge(ctx, p, w, c)
			if known {
				return err
			}
			applied = true
		} else if !NotApplied(err) {
			applied = true
		}
		if e := sleep(ctx, pause+jitter(w.Token, pause)); e != nil {
			return unsettled(w.Key, err, applied)
		}
	}
}

// judge tells whether a failed condition came from the write itself. A revision
// never returns to an earlier value, so another token proves that no earlier or
// delayed try of w can take effect any more.
func judge(ctx context.Context, p GetPutter, w Write, c *ConflictError) (bool, error) {
	if c.Current == nil {
		r, err := p.Get(ctx, w.Key)
		switch {
		case err == nil:
			c.Current = &r
		case IsMissing(err) && w.Expect > 0:
			return true, c
		default:
			return false, nil
		}
	}
	if c.Current.Token == w.Token {
		return true, nil
	}
	return true, c
}

func unsettled(k Key, last error, applied bool) error {
	if !applied {
		return last
	}
	// The last error is kept as text: wrapping it would show a conflict or a
	// call that was not applied where the outcome of the write is unknown.
	return &UnavailableError{Op: "settle", Key: k, Err: errors.New(last.Error())}
}

// jitter returns up to a quarter of a pause, so that processes that saw the same
// outage do not return to the table in step. It depends on the token alone, so that
// a failed test run can be repeated.
func jitter(t WriteToken, pause time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(t))
	return time.Duration(h.Sum32()%256) * pause / 1024
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Match reports whether a key is in the query's range.
func (q Query) Match(k Key) bool {
	return k.Partition == q.Partition && k.Sort > q.After && strings.HasPrefix(k.Sort, q.Prefix)
}
