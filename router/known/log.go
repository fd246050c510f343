package known

import (
	"context"
	"sync"
	"time"
)

// maxGone bounds the removed rows that a log remembers.
const maxGone = 1000

// NotSyncedError reports a topic that an instance doesn't know itself.
type NotSyncedError struct {
	Topic Topic
}

func (e *NotSyncedError) Error() string {
	return "topic " + e.Topic.String() + " is not known here"
}

// recordLog keeps the records of a topic for other instances. It is safe for concurrent use.
type recordLog struct {
	mu       sync.Mutex
	rows     map[string]Record
	gone     int
	floor    Revision // changes up to here are no longer known one by one
	revision Revision
	asOf     time.Duration
	known    bool
	changed  chan struct{}
}

// take adds a page.
func (l *recordLog) take(p ReadResult, asOf time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rows == nil {
		l.rows = map[string]Record{}
		// What was removed before is not known, so earlier revisions can't be continued.
		l.floor = p.Revision
	} else if p.Snapshot {
		l.vanish(p)
	}
	for _, r := range p.Records {
		if l.rows[r.Key].Removed {
			l.gone--
		}
		if r.Removed {
			l.gone++
		}
		l.rows[r.Key] = r
	}
	if l.gone > maxGone {
		l.forgetGone(p.Revision)
	}
	news := len(p.Records) > 0 || !l.known
	l.revision, l.asOf, l.known = p.Revision, max(l.asOf, asOf), true
	if news && l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// vanish records the removal of rows that a new snapshot no longer holds, so that
// other instances need only the difference.
func (l *recordLog) vanish(p ReadResult) {
	held := make(map[string]bool, len(p.Records))
	for _, r := range p.Records {
		held[r.Key] = true
	}
	for k, r := range l.rows {
		if !r.Removed && !held[k] {
			l.rows[k] = Record{Key: k, Revision: p.Revision, Removed: true}
			l.gone++
		}
	}
}

func (l *recordLog) forgetGone(to Revision) {
	for k, r := range l.rows {
		if r.Removed {
			delete(l.rows, k)
		}
	}
	l.gone = 0
	l.floor = to
}

// read returns what is known after a revision, without waiting.
func (l *recordLog) read(t Topic, after Revision, snapshot bool) (ReadResult, time.Duration, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known {
		return ReadResult{}, 0, nil, &NotSyncedError{Topic: t}
	}
	if !snapshot && after < l.floor {
		return ReadResult{}, 0, nil, &HistoryLostError{Topic: t, After: after}
	}
	p := ReadResult{Revision: l.revision, Snapshot: snapshot}
	for _, r := range l.rows {
		if (snapshot && !r.Removed) || (!snapshot && r.Revision > after) {
			p.Records = append(p.Records, r)
		}
	}
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return p, l.asOf, l.changed, nil
}

// ReadForPeer returns what this instance knows of a topic after a revision, for
// another instance; it waits for a change, at most for wait. It returns an
// *UnknownError or a *HistoryLostError.
func (n *Syncer) ReadForPeer(ctx context.Context, t Topic, after Revision, snapshot bool, wait time.Duration) (ReadResult, error) {
	l, ok := n.logs[t]
	if !ok {
		return ReadResult{}, &NotSyncedError{Topic: t}
	}
	p, asOf, changed, err := l.read(t, after, snapshot)
	if err == nil && !snapshot && len(p.Records) == 0 {
		w := time.NewTimer(wait)
		defer w.Stop()
		select {
		case <-ctx.Done():
			return ReadResult{}, ctx.Err()
		case <-w.C:
		case <-changed:
		}
		p, asOf, _, err = l.read(t, after, snapshot)
	}
	if err != nil {
		return ReadResult{}, err
	}
	p.StoreClock, ok = n.StoreClock()
	if !ok {
		return ReadResult{}, &NotSyncedError{Topic: t}
	}
	// An age of 0 stands for the store itself.
	p.Age = max(n.now()-asOf, 1)
	return p, nil
}
