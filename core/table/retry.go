package table

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"strings"
	"time"
)

// Bounds of the pause between two tries of one write; the pause doubles from try to
// try. The upper bound keeps the load of many processes low while the table is
// down.
const (
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = time.Second
)

// NotAppliedError wraps the error of a call that has not taken effect and never will.
type NotAppliedError struct {
	Err error
}

func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("not applied: %v", e.Err)
}

func (e *NotAppliedError) Unwrap() error {
	return e.Err
}

// NotApplied reports whether err is or wraps a *NotAppliedError, which proves that the
// write did not take effect and never will.
func NotApplied(err error) bool {
	var e *NotAppliedError
	return errors.As(err, &e)
}

// GetPutter is the part of Client that PutWithRetry uses.
type GetPutter interface {
	Get(ctx context.Context, k Key) (Row, error)
	Put(ctx context.Context, w Write) error
}

// PutWithRetry repeats a write with the same token until its outcome is known or ctx
// ends. It returns nil when the row holds the write's token, a *ConflictError when
// another write changed the revision, and an *UnavailableError otherwise, for which
// NotApplied holds only if no try can have reached the table.
func PutWithRetry(ctx context.Context, p GetPutter, w Write) error {
	maybeApplied := false // true once a try may have taken effect
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		err := p.Put(ctx, w)
		if err == nil {
			return nil
		}
		if c, ok := AsConflict(err); ok {
			resolved, err := resolveConflict(ctx, p, w, c)
			if resolved {
				return err
			}
			maybeApplied = true
		} else if !NotApplied(err) {
			maybeApplied = true
		}
		if e := sleep(ctx, pause+jitter(w.Token, pause)); e != nil {
			return unknownOutcome(w.Key, err, maybeApplied)
		}
	}
}

// resolveConflict finds out whether the condition of w failed because an earlier try of
// w had taken effect. It returns true and nil if the row holds the token of w, true and
// c if the row holds another token or is gone, and false if the outcome stays open: the
// row could not be read, or w creates the row and it is absent. A revision never
// returns to an earlier value, so another token proves that no earlier or delayed try
// of w can still take effect.
func resolveConflict(ctx context.Context, p GetPutter, w Write, c *ConflictError) (bool, error) {
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

// unknownOutcome returns the error of a write whose last try failed with last when the
// context ended.
func unknownOutcome(k Key, last error, maybeApplied bool) error {
	if !maybeApplied {
		return last
	}
	// The last error is kept as text. Wrapped, it would make AsConflict or NotApplied
	// hold for a write whose outcome is unknown.
	return &UnavailableError{Op: "settle", Key: k, Err: errors.New(last.Error())}
}

// jitter returns up to a quarter of a pause, so that processes that saw the same outage
// do not all return to the table at the same time. It depends on the token alone, so
// that a failed test run can be repeated.
func jitter(t WriteToken, pause time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(t))
	return time.Duration(h.Sum32()%256) * pause / 1024
}

// sleep waits for d. It returns the error of ctx if that ends first.
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

// Match reports whether the query selects a key; it does not apply the limit.
func (q Query) Match(k Key) bool {
	return k.Partition == q.Partition && k.Sort > q.After && strings.HasPrefix(k.Sort, q.Prefix)
}
