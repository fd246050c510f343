// Package canary decides how a service's requests move to a new version, based on an
// operator's order and the responses of both versions.
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
	// MaxDuration is the time within which the roll-out must be completed or reverted.
	MaxDuration time.Duration
	// Revision identifies the order, also among those to the same version.
	Revision uint64
	// Origin is the first of the order's revisions: it gets another one if the store loses it and the
	// operator writes it again. What an instance observes belongs to it.
	Origin uint64
}

// Phase is the phase of a roll-out. Phases only advance.
type Phase int

// Phases in the order in which they follow each other.
const (
	// PhaseCanary sends a small share of the sessions to the new version.
	PhaseCanary Phase = iota
	// PhaseShift sends all new requests to the new version while old ones end.
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

// Progress is the progress of a roll-out that the instances share through the store.
type Progress struct {
	Service ident.ServiceID
	To      fleet.Version
	// Order is the revision of the order that the progress belongs to.
	Order uint64
	Phase Phase
	// StartedAt is the store's clock when the first instance started the order.
	StartedAt time.Duration
	// ShiftedAt is the store's clock when all requests moved; 0 before that.
	ShiftedAt time.Duration
	// Share is the canary's share of the sessions, in hundredths of a percent. All
	// instances use the same one.
	Share ident.Share
}

// Tally counts the responses of a new version at one instance, shared through the store.
type Tally struct {
	Service   ident.ServiceID
	Instance  string
	Order     uint64
	Responses int
	Failed    int
	// Slowness counts the times of the new version's responses, SlownessBefore those of the old one's
	// in the same period.
	Slowness, SlownessBefore Slowness
}

// Slowness counts times of responses, and those of them that were slow.
type Slowness struct {
	Slow, Timed int
}
