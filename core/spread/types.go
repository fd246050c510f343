// Package spread replicates the monotone state of the instances: the accepted document
// of the highest generation, halts and roll-out steps. Instances exchange it with each
// other and read it from the table. Merging is commutative, associative and idempotent,
// so late, repeated or concurrent exchanges are harmless.
package spread

import (
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
)

// ConfirmedBy is the source from which an instance has its generation.
type ConfirmedBy string

// The sources of a generation.
const (
	// ConfirmedNone means that the instance has no document.
	ConfirmedNone ConfirmedBy = "none"
	// ConfirmedPeers means that a peer sent the document and that no read of the table
	// here has returned it.
	ConfirmedPeers ConfirmedBy = "peers"
	// ConfirmedTable means that a read of the table here showed this generation as the
	// latest.
	ConfirmedTable ConfirmedBy = "table"
)

// Halt stops new work on a version.
type Halt struct {
	Version ident.VersionRef
	// Generation was in force where the halt was made. A document clears the halt if
	// its HaltsClearedAt for the version is at least this generation.
	Generation ident.Generation
	Reason     string
	// Instance is the instance that made the halt.
	Instance ident.InstanceID
	At       time.Time
}

// AcceptedDocument is an accepted document with its history entry: the operator, the
// reason and the time of its promotion.
type AcceptedDocument struct {
	Generation ident.Generation
	Document   *envdoc.Document
	Operator   ident.OperatorID
	Reason     string
	At         time.Time
}

// View is an immutable snapshot of an instance's monotone state. Accepted is nil while
// the instance has no document.
type View struct {
	Accepted    *AcceptedDocument
	ConfirmedBy ConfirmedBy
	// ConfirmedAt is the time of the last read of the table, here or at a peer, that
	// showed this generation as the latest.
	ConfirmedAt time.Time
	Halts       map[ident.VersionRef]Halt
	// Steps holds the index of the step that each roll-out of this generation has
	// reached. A roll-out without an entry is at step 0.
	Steps map[ident.RolloutID]int
}

// Generation returns the generation in force, 0 for none.
func (v *View) Generation() ident.Generation {
	if v == nil || v.Accepted == nil {
		return 0
	}
	return v.Accepted.Generation
}

// Document returns the document in force, nil for none.
func (v *View) Document() *envdoc.Document {
	if v == nil || v.Accepted == nil {
		return nil
	}
	return v.Accepted.Document
}

// Halted reports whether the version has a halt that the document in force has not
// cleared.
func (v *View) Halted(r ident.VersionRef) bool {
	h, ok := v.Halts[r]
	if !ok {
		return false
	}
	d := v.Document()
	if d == nil {
		return true
	}
	c, ok := d.Versions[r]
	return !ok || h.Generation > c.HaltsClearedAt
}

// Usable reports whether a version may receive new work.
func (v *View) Usable(r ident.VersionRef) bool {
	d := v.Document()
	return d != nil && !d.Withdrawn(r) && !v.Halted(r)
}
