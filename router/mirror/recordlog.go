package mirror

import (
	"context"
	"maps"
	"sync"
	"time"

	"tarragonvalve.example/core/ident"
)

// maxRemoved bounds the removed rows that a log keeps.
const maxRemoved = 1000

// NotSyncedError reports a topic that an instance has not read itself yet.
type NotSyncedError struct {
	Topic Topic
}

func (e *NotSyncedError) Error() string {
	return "topic " + e.Topic.String() + " is not known here"
}

// recordLog keeps the records of a topic for other instances. It is safe for concurrent
// use.
type recordLog struct {
	mu        sync.Mutex
	rows      map[string]Record // by key, with removed rows
	removed   int               // number of removed rows
	compacted Revision          // changes up to this revision are no longer available individually
	revision  Revision
	asOf      time.Duration // local time as of which the rows are current
	synced    bool
	changed   chan struct{}
	// kept holds, by key, the rows of evacuations that the store lost as it came back from a copy.
	kept map[string]keptRow
}

// keptRow is a row that snapshots for peers still hold until a local time.
type keptRow struct {
	Record
	until time.Duration
}

// add adds the result of a read that is current as of a local time.
func (l *recordLog) add(p ReadResult, asOf time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rows == nil {
		l.rows = map[string]Record{}
		// Earlier removals were not read, so changes after an earlier revision would be
		// incomplete.
		l.compacted = p.Revision
	} else if p.Snapshot {
		l.markRemoved(p)
	}
	if p.Revision.Era() > l.revision.Era() {
		// Revisions of different eras are not positions in one history.
		l.compacted = p.Revision
	}
	maps.DeleteFunc(l.kept, func(_ string, k keptRow) bool { return asOf >= k.until })
	for _, r := range p.Records {
		if r.Revision.Era() < p.Revision.Era() {
			// A row that a peer keeps: the store doesn't hold it.
			l.keep(r, asOf)
			continue
		}
		delete(l.kept, r.Key)
		if l.rows[r.Key].Removed {
			l.removed--
		}
		if r.Removed {
			l.removed++
		}
		l.rows[r.Key] = r
	}
	if l.removed > maxRemoved {
		l.compact(p.Revision)
	}
	notify := len(p.Records) > 0 || !l.synced
	l.revision, l.asOf, l.synced = p.Revision, max(l.asOf, asOf), true
	if notify && l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// keepDocuments puts the log's configurations into the first snapshot of an era where it lacks them or
// holds older ones: the store has come back from a copy, and the operator writes again what the copy
// lacks. Until then a peer that starts must not get an older configuration.
func (l *recordLog) keepDocuments(p *ReadResult, d Decoder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	index := make(map[string]int, len(p.Records))
	for i, r := range p.Records {
		index[r.Key] = i
	}
	for k, r := range l.rows {
		known, ok := generation(d, r)
		if !ok || r.Removed {
			continue
		}
		i, ok := index[k]
		if !ok {
			p.Records = append(p.Records, Record{Key: k, Revision: p.Revision, Data: r.Data})
			continue
		}
		if g, ok := generation(d, p.Records[i]); !ok || g < known {
			p.Records[i].Data = r.Data
		}
	}
}

// keepEvacuations keeps the evacuations that the first snapshot of an era lacks for doubtTime: a peer that
// starts must not use the upstreams there before the operator could write again what the copy lacks. A kept
// row has the position of its old era, by which a peer tells it from the store's.
func (l *recordLog) keepEvacuations(p ReadResult, d Decoder, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := make(map[string]bool, len(p.Records))
	for _, r := range p.Records {
		held[r.Key] = true
	}
	for k, r := range l.rows {
		if r.Removed || held[k] {
			continue
		}
		for _, c := range d.Decode(TopicOrders, []Record{r}) {
			if _, ok := c.(EvacuationStarted); ok {
				l.keep(r, now)
			}
		}
	}
}

// keep keeps a row for doubtTime. The caller holds the lock.
func (l *recordLog) keep(r Record, now time.Duration) {
	if l.kept == nil {
		l.kept = map[string]keptRow{}
	}
	if _, ok := l.kept[r.Key]; ok || len(l.kept) < maxEvacuated {
		l.kept[r.Key] = keptRow{Record: r, until: now + doubtTime}
	}
}

// generation returns the generation of the configuration in a record, or false if it holds none.
func generation(d Decoder, r Record) (ident.Generation, bool) {
	for _, c := range d.Decode(TopicOrders, []Record{r}) {
		if c, ok := c.(DocumentChanged); ok {
			return c.Document.Generation, true
		}
	}
	return 0, false
}

// markRemoved records the removal of rows that are missing in a new snapshot, so that
// other instances need to read only the changes.
func (l *recordLog) markRemoved(p ReadResult) {
	held := make(map[string]bool, len(p.Records))
	for _, r := range p.Records {
		held[r.Key] = true
	}
	for k, r := range l.rows {
		if !r.Removed && !held[k] {
			l.rows[k] = Record{Key: k, Revision: p.Revision, Removed: true}
			l.removed++
		}
	}
}

// compact drops the removed rows, so that changes before a revision are no longer available.
func (l *recordLog) compact(to Revision) {
	for k, r := range l.rows {
		if r.Removed {
			delete(l.rows, k)
		}
	}
	l.removed = 0
	l.compacted = to
}

// read returns the rows of the topic, or its changes after a revision, without waiting.
// It also returns the local time as of which they are current and a channel that is
// closed at the next change.
func (l *recordLog) read(t Topic, after Revision, snapshot bool) (ReadResult, time.Duration, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.synced {
		return ReadResult{}, 0, nil, &NotSyncedError{Topic: t}
	}
	if !snapshot && after < l.compacted {
		return ReadResult{}, 0, nil, &HistoryLostError{Topic: t, After: after}
	}
	p := ReadResult{Revision: l.revision, Snapshot: snapshot}
	for _, r := range l.rows {
		if (snapshot && !r.Removed) || (!snapshot && r.Revision > after) {
			p.Records = append(p.Records, r)
		}
	}
	if snapshot {
		for _, k := range l.kept {
			p.Records = append(p.Records, k.Record)
		}
	}
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return p, l.asOf, l.changed, nil
}

// ReadForPeer returns the rows of a topic, or its changes after a revision, as this
// instance has read them. Without a change it waits for one, at most for wait. It returns
// a *NotSyncedError or a *HistoryLostError.
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
	// An age of 0 means that the result comes from the store itself.
	p.Age = max(n.now()-asOf, 1)
	return p, nil
}
