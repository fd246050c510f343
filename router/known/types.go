package known

import (
	"context"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/routes"
)

// Topic is a part of the store that is followed on its own.
type Topic int

// Topics.
const (
	// TopicOrders holds the configuration and the roll-outs ordered by operators.
	TopicOrders Topic = iota
	// TopicUpstreams holds the registered upstreams.
	TopicUpstreams
	// TopicProgress holds the state of roll-outs, written by the instances.
	TopicProgress
)

// String returns the name used in logs.
func (t Topic) String() string {
	switch t {
	case TopicOrders:
		return "orders"
	case TopicUpstreams:
		return "upstreams"
	default:
		return "progress"
	}
}

// Revision is a position in the store's history of changes.
type Revision uint64

// Change is one changed row; the sealed cases are below.
type Change interface{ change() }

type (
	// DocumentChanged carries a new configuration.
	DocumentChanged struct{ Document *routes.Document }
	// RolloutOrdered carries an order to move a service to another version.
	RolloutOrdered struct{ Order canary.Order }
	// UpstreamChanged carries a new or changed upstream.
	UpstreamChanged struct{ Upstream *fleet.Upstream }
	// UpstreamRemoved names an upstream whose entry was removed.
	UpstreamRemoved struct{ ID ident.UpstreamID }
	// ProgressChanged carries the state of a roll-out with the revision of its row.
	ProgressChanged struct {
		Progress canary.Progress
		Revision Revision
	}
	// TallyChanged carries what an instance saw of a new version.
	TallyChanged struct{ Tally canary.Tally }
	// InvalidRecord reports a row that names nothing usable.
	InvalidRecord struct {
		Key    string
		Reason string
	}
)

func (DocumentChanged) change() {}
func (RolloutOrdered) change()  {}
func (UpstreamChanged) change() {}
func (UpstreamRemoved) change() {}
func (ProgressChanged) change() {}
func (TallyChanged) change()    {}
func (InvalidRecord) change()   {}

// Record is a row as the store spells it; only a Decoder reads its data.
type Record struct {
	Key      string
	Revision Revision
	Data     []byte
	// Removed marks a row that was removed at the revision.
	Removed bool
}

// ReadResult is what one read of a topic returned.
type ReadResult struct {
	Records []Record
	// Snapshot is true if the records are the whole topic.
	Snapshot bool
	// Revision is the newest revision that the page covers.
	Revision Revision
	// StoreClock is the store's steady clock when the answer was made.
	StoreClock time.Duration
	// Age is how old the knowledge was when the answer was made; 0 if the store itself made it.
	Age time.Duration
}

// Decoder turns records into changes.
type Decoder interface {
	Decode(t Topic, rs []Record) []Change
}

// Source answers reads of topics.
type Source interface {
	// Snapshot returns all rows of a topic as of one moment.
	Snapshot(ctx context.Context, t Topic) (ReadResult, error)
	// Watch returns the changes of a topic after a revision. It waits for the
	// first one, at most for wait. It returns a *HistoryLostError when the
	// changes are no longer known.
	Watch(ctx context.Context, t Topic, after Revision, wait time.Duration) (ReadResult, error)
}

// Store reads and writes the platform's store.
type Store interface {
	Source
	Decoder
	// SaveProgress writes the state of a roll-out if its row still has the
	// revision seen; 0 means that no row exists. It returns a *ConflictError otherwise.
	SaveProgress(ctx context.Context, p canary.Progress, seen Revision) error
	// SaveTally writes what an instance saw of a new version; only that instance writes it.
	SaveTally(ctx context.Context, t canary.Tally) error
}

// HistoryLostError reports that the store no longer has the changes asked for.
type HistoryLostError struct {
	Topic Topic
	After Revision
}

func (e *HistoryLostError) Error() string {
	return "follow " + e.Topic.String() + ": the store has dropped the history asked for"
}

// ConflictError reports a conditional write that another writer preceded.
type ConflictError struct {
	Key string
}

func (e *ConflictError) Error() string {
	return "write " + e.Key + ": another writer changed the row"
}
