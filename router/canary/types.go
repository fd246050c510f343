// Package canary decides how a service's traffic moves to a new version, from
// the order of an operator and the answers of both versions.
package canary

import (
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/fleet"
)

// Order is an operator's order to move a service to a version.
type Order struct {
	Service ident.ServiceID
	To      fleet.Version
	// MaxDuration is the time within which the roll-out shall be completed or reverted.
	MaxDuration time.Duration
	// Revision tells apart two orders with the same version.
	Revision uint64
}

// Phase is the state of a roll-out. Phases only move forward.
type Phase int

// Phases in the order in which they follow each other.
const (
	// PhaseCanary sends a small share to the new version.
	PhaseCanary Phase = iota
	// PhaseShift sends all new work to the new version while old work ends.
	PhaseShift
	// PhaseCompleted is final: the old upstreams stop.
	PhaseCompleted
	// PhaseReverted is final: the new upstreams leave.
	PhaseReverted
)

// String returns the name used in logs.
func (p Phase) String() string {
	switch p {
	case PhaseCanary:
		return "canary"
	case PhaseShift:
		return "shift"
	case PhaseCompleted:
		return "completed"
	default:
		return "reverted"
	}
}

// Final reports whether the roll-out has ended.
func (p Phase) Final() bool {
	return p >= PhaseCompleted
}

// Progress is the state of a roll-out that the instances share through the store.
type Progress struct {
	Service ident.ServiceID
	To      fleet.Version
	// Order is the revision of the order that the state belongs to.
	Order uint64
	Phase Phase
	// StartedAt is the store's clock when the first instance took the order up.
	StartedAt time.Duration
	// Share is the part of sessions, in hundredths of a percent, that the new
	// version gets as a canary. All instances use the same one.
	Share ident.Share
}

// Tally is what one instance saw of a new version, shared through the store.
type Tally struct {
	Service  ident.ServiceID
	Instance string
	Order    uint64
	Answers  int
	Failed   int
}
