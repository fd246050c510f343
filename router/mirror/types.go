package mirror

import (
	"context"
	"sync/atomic"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/poison"
	"tarragonvalve.example/router/routes"
)

// Topic is a part of the store that is watched separately.
type Topic int

// Topics of the store.
const (
	// TopicOrders holds the configuration and the roll-outs ordered by operators.
	TopicOrders Topic = iota
	// TopicUpstreams holds the registered upstreams.
	TopicUpstreams
	// TopicProgress holds the progress of roll-outs and the tallies, written by the
	// instances.
	TopicProgress
)

// String returns the name of the topic for logs and errors.
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

// Revision is a position in the store's history of changes: the store's era, and the version within
// it in the lower versionBits. Later positions are greater.
type Revision uint64

// versionBits leaves room for 8,192 eras in the numbers that JSON carries exactly.
const versionBits = 40

// Era is the number of a store's history. It rises when the store comes back from an older copy: the
// changes since the copy are gone, and their versions are given out again.
type Era uint32

// LatestEra is the newest of the eras that were recorded, at first 0. It is safe for concurrent use.
type LatestEra struct{ era atomic.Uint32 }

// Record records an era.
func (l *LatestEra) Record(e Era) {
	for old := l.era.Load(); uint32(e) > old && !l.era.CompareAndSwap(old, uint32(e)); old = l.era.Load() {
	}
}

// Get returns the newest era.
func (l *LatestEra) Get() Era { return Era(l.era.Load()) }

// NewRevision returns the position of a version in an era.
func NewRevision(e Era, version uint64) Revision {
	return Revision(uint64(e)<<versionBits | version)
}

// Era returns the era of the position.
func (r Revision) Era() Era { return Era(r >> versionBits) }

// Version returns the version within the era.
func (r Revision) Version() uint64 { return uint64(r) & (1<<versionBits - 1) }

// Change is one changed row. Its cases are the types below.
type Change interface{ change() }

type (
	// DocumentChanged carries a new configuration.
	DocumentChanged struct{ Document *routes.Document }
	// RolloutOrdered carries an operator's order to move a service to another version.
	RolloutOrdered struct{ Order canary.Order }
	// UpstreamChanged carries a new or changed upstream.
	UpstreamChanged struct {
		Upstream *fleet.Upstream
		// ColdRemaining is how much longer the upstream is cold, as of when its entry was written; 0 if it
		// isn't.
		ColdRemaining time.Duration
	}
	// UpstreamRemoved names an upstream whose entry was removed.
	UpstreamRemoved struct{ ID ident.UpstreamID }
	// ProgressChanged carries the progress of a roll-out with the revision of its row.
	ProgressChanged struct {
		Progress canary.Progress
		Revision Revision
		// Lost is true if the store holds no progress or an earlier one, and must get this one
		// again. Revision is that of the row that it holds, or 0.
		Lost bool
	}
	// TallyChanged carries what an instance counted for a new version.
	TallyChanged struct{ Tally canary.Tally }
	// TrialsChanged carries the trials of quarantines with the revision of their row.
	TrialsChanged struct {
		Trials   poison.Trials
		Revision Revision
	}
	// EvacuationStarted names a failure domain to whose upstreams nothing more is sent. Revision is that
	// of the row. One of an era before that of the read is passed on by a peer whose store lost the row.
	EvacuationStarted struct {
		Domain   ident.DomainID
		Revision Revision
	}
	// EvacuationEnded names a failure domain whose evacuation was removed.
	EvacuationEnded struct{ Domain ident.DomainID }
	// InvalidRecord reports a row that can't be decoded, and why. Domain is set if the row is about the
	// evacuation of a failure domain, which then stays as it was.
	InvalidRecord struct {
		Key    string
		Reason string
		Domain ident.DomainID
	}
)

func (DocumentChanged) change()   {}
func (RolloutOrdered) change()    {}
func (UpstreamChanged) change()   {}
func (UpstreamRemoved) change()   {}
func (ProgressChanged) change()   {}
func (TallyChanged) change()      {}
func (TrialsChanged) change()     {}
func (EvacuationStarted) change() {}
func (EvacuationEnded) change()   {}
func (InvalidRecord) change()     {}

// Record is a row with its data as encoded by the store. Only a Decoder reads the data.
type Record struct {
	Key      string
	Revision Revision
	Data     []byte
	// Removed is true if the row was removed at the revision.
	Removed bool
}

// ReadResult is the result of one read of a topic.
type ReadResult struct {
	Records []Record
	// Snapshot is true if the records are the whole topic, false if they are changes.
	Snapshot bool
	// Revision is the newest revision that the result covers.
	Revision Revision
	// StoreClock is the store's monotonic clock when the response was made.
	StoreClock time.Duration
	// Age is how old the content was when the response was made; 0 if the store itself
	// made it.
	Age time.Duration
}

// Decoder turns records into changes.
type Decoder interface {
	Decode(t Topic, rs []Record) []Change
}

// Source reads topics from the store or from a peer.
type Source interface {
	// Snapshot returns all rows of a topic as of one moment.
	Snapshot(ctx context.Context, t Topic) (ReadResult, error)
	// Watch returns the changes of a topic after a revision. It waits for the first one,
	// at most for wait. It returns a *HistoryLostError if the changes are no longer
	// available.
	Watch(ctx context.Context, t Topic, after Revision, wait time.Duration) (ReadResult, error)
}

// Store reads and writes the platform's store.
type Store interface {
	Source
	Decoder
	// SaveProgress writes the progress of a roll-out if its row still has the revision
	// seen; 0 means that there is no row yet. It returns a *ConflictError otherwise.
	SaveProgress(ctx context.Context, p canary.Progress, seen Revision) error
	// SaveTally writes what an instance counted for a new version; no other instance
	// writes this row.
	SaveTally(ctx context.Context, t canary.Tally) error
	// SaveTrials writes the trials of quarantines if their row still has the revision seen; 0
	// means that there is no row yet. It returns a *ConflictError otherwise.
	SaveTrials(ctx context.Context, t poison.Trials, seen Revision) error
}

// HistoryLostError reports that the changes after a revision are no longer available, or are those of
// another era.
type HistoryLostError struct {
	Topic Topic
	After Revision
}

func (e *HistoryLostError) Error() string {
	return "follow " + e.Topic.String() + ": the store has dropped the history asked for"
}

// ConflictError reports a conditional write that failed because another writer changed
// the row first.
type ConflictError struct {
	Key string
}

func (e *ConflictError) Error() string {
	return "write " + e.Key + ": another writer changed the row"
}
