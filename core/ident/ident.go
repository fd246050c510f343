// Package ident holds the types of ids and units that all programs share.
package ident

import (
	"fmt"
	"strings"
)

// Ids of objects in the environment document, of processes and of requests.
type (
	// AccountID is the id of a client account in the environment document.
	AccountID string
	// ModelID is the id of a model in the environment document.
	ModelID string
	// VersionID is the id of a version within its model.
	VersionID string
	// ServiceID is the id of a plain service in the environment document.
	ServiceID string
	// RolloutID is the id of a roll-out in the environment document.
	RolloutID string
	// KindID is the id of an upstream kind in the environment document.
	KindID string
	// TaskID is the label that a caller gives to the kind of work of a request.
	TaskID string
	// InstanceID is the id of one process of the system; a restarted process gets a new one.
	InstanceID string
	// UpstreamID is the id of a model engine or plain service instance; it stays the same when its agent restarts.
	UpstreamID string
	// DomainID is the id of a failure domain.
	DomainID string
	// RequestID is the id of a caller's request. A request is billed once.
	RequestID string
	// SessionID is the id of a session of a client account.
	SessionID string
	// OperatorID is the id of an operator.
	OperatorID string
)

// Units.
type (
	// Generation is the sequence number of an accepted environment document; 0 means none.
	Generation uint64
	// Revision is the revision of a table row; 0 means that the row is absent.
	Revision uint64
	// FencingToken orders the successive holders of one lease; the highest is the current one.
	FencingToken uint64
	// Attempt is the number of an attempt within its request, from 1.
	Attempt uint32
	// Tokens is a number of model tokens.
	Tokens uint64
	// MicroCents is an amount of money in millionths of a cent.
	MicroCents int64
	// Share is a fraction of the traffic in hundredths of a percent.
	Share uint32
)

// FullShare is all of the traffic, 100 percent.
const FullShare Share = 10_000

// VersionRef identifies a version of a model.
type VersionRef struct {
	Model   ModelID
	Version VersionID
}

// String returns the reference as MODEL@VERSION.
func (r VersionRef) String() string {
	return string(r.Model) + "@" + string(r.Version)
}

// RefError reports a text that is not a version reference.
type RefError struct {
	// Text is the text that was parsed.
	Text string
}

func (e *RefError) Error() string {
	return fmt.Sprintf("parse version reference %q: want MODEL@VERSION", e.Text)
}

// ParseRef parses MODEL@VERSION, where neither part is empty and the version holds
// no @. It returns a *RefError for any other text.
func ParseRef(s string) (VersionRef, error) {
	m, v, ok := strings.Cut(s, "@")
	if !ok || m == "" || v == "" || strings.Contains(v, "@") {
		return VersionRef{}, &RefError{Text: s}
	}
	return VersionRef{Model: ModelID(m), Version: VersionID(v)}, nil
}
