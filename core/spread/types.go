// Package spread holds the monotone state that instances exchange: the highest
// accepted document, halts and roll-out steps. Merging is commutative,
// associative and idempotent, so late, doubled or crossed exchanges are harmless.
package spread

import (
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
)

// ConfirmedBy says how an instance knows its generation.
type ConfirmedBy string

// The ways to know a generation.
const (
	ConfirmedNone  ConfirmedBy = "none"
	ConfirmedPeers ConfirmedBy = "peers"
	ConfirmedTable ConfirmedBy = "table"
)

// Halt stops new work on a version.
type Halt struct {
	Version    ident.VersionRef
	Generation ident.Generation
	Reason     string
	Instance   ident.InstanceID
	At         time.Time
}

// AcceptedDocument is an accepted document with its history entry.
type AcceptedDocument struct {
	Generation ident.Generation
	Document   *envdoc.Document
	Operator   ident.OperatorID
	Reason     string
	At         time.Time
}

// View is an immutable snapshot of an instance's monotone state. A nil Accepted
// means that the instance has no document yet.
type View struct {
	Accepted    *AcceptedDocument
	ConfirmedBy ConfirmedBy
	// ConfirmedAt is when the table last confirmed the generation, directly or through peers.
	ConfirmedAt time.Time
	Halts       map[ident.VersionRef]Halt
	// Steps holds the index of the step that each roll-out of this generation has reached.
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

// Halted reports whether a halt that the document has not cleared binds a version.
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
