// Package ident names the ids and units that all programs share.
package ident

import (
	"fmt"
	"strings"
)

// Ids of the things that the environment document, the platform and requests name.
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
	// TaskID is the caller's label for the kind of work that a request asks for.
	TaskID string
	// InstanceID is the id of one process of the system; a restart gets a new one.
	InstanceID string
	// UpstreamID is the id of a model engine or plain service instance; it outlives restarts of its agent.
	UpstreamID string
	// DomainID is the id of a failure domain.
	DomainID string
	// RequestID is the id of a caller's request; one request is billed once.
	RequestID string
	// SessionID is the id of a session of a client account.
	SessionID string
	// OperatorID is the id of an operator.
	OperatorID string
)

// Units.
type (
	// Generation is the number of an accepted document; 0 means none.
	Generation uint64
	// Revision is the revision of a table row; 0 means absent.
	Revision uint64
	// FencingToken orders the holders of one lease; a higher one wins.
	FencingToken uint64
	// Attempt counts the attempts of one request from 1.
	Attempt uint32
	// Tokens counts model tokens.
	Tokens uint64
	// MicroCents is money in millionths of a cent.
	MicroCents int64
	// Share is a part of traffic in hundredths of a percent.
	Share uint32
)

// FullShare is the whole of the traffic, 100 percent.
const FullShare Share = 10_000

// VersionRef names one version of one model.
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
	Text string
}

func (e *RefError) Error() string {
	return fmt.Sprintf("parse version reference %q: want MODEL@VERSION", e.Text)
}

// ParseRef parses MODEL@VERSION. It returns a *RefError for any other text.
func ParseRef(s string) (VersionRef, error) {
	m, v, ok := strings.Cut(s, "@")
	if !ok || m == "" || v == "" || strings.Contains(v, "@") {
		return VersionRef{}, &RefError{Text: s}
	}
	return VersionRef{Model: ModelID(m), Version: VersionID(v)}, nil
}
