// Package gate decides whether work may run, against the document in force.
// It is pure: the same work and state always get the same answer.
package gate

import (
	"strings"
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
)

// Work is what a check needs to know about one attempt. Version is set for a
// model request and Service for a plain-service call.
type Work struct {
	Account ident.AccountID
	Version ident.VersionRef
	Service ident.ServiceID
	// Method and Path of a plain-service call; Path is the one after /v1/services/SERVICE.
	Method string
	Path   string
	// Priority orders the work of one account; a higher one goes first.
	Priority int
	// Generation is the generation that the entry planned with.
	Generation ident.Generation
	Deadline   time.Time
}

// State is what the process knows at the time of a check.
type State struct {
	View       *spread.View
	Draining   bool
	LedgerFull bool
	Now        time.Time
}

// drainRetry is when a client should come back to a draining agent's service:
// by then the entries have learned that it leaves.
const drainRetry = time.Second

// ledgerRetry is the time to retry after when the receipt buffer is full; it
// empties at 1,000 receipts a second once the table is back.
const ledgerRetry = 5 * time.Second

type check func(State, Work) *refuse.Error

// Each list shows its checks in the order in which they are made.
var (
	arrivalChecks  = []check{document, generation, draining, permitted, ledger, deadline}
	queuedChecks   = []check{document, permitted, deadline}
	dispatchChecks = []check{document, permitted, ledger, deadline}
)

// Arrival checks new work. All refusals of this package are not-run, since
// nothing is sent to the upstream before the last check.
func Arrival(s State, w Work) *refuse.Error {
	return first(arrivalChecks, s, w)
}

// Queued checks waiting work again after a change of the document or the
// halts. The generation numbers are not compared: what counts is whether the
// document in force still permits the work.
func Queued(s State, w Work) *refuse.Error {
	return first(queuedChecks, s, w)
}

// Dispatch is the last check, immediately before work is sent to the upstream.
func Dispatch(s State, w Work) *refuse.Error {
	return first(dispatchChecks, s, w)
}

// CancelRunning reports whether a running stream of a version is to be
// cancelled because the document withdraws the version and says so.
func CancelRunning(v *spread.View, r ident.VersionRef) bool {
	d := v.Document()
	if d == nil {
		return false
	}
	c, ok := d.Versions[r]
	return ok && c.State == envdoc.StateWithdrawn && c.CancelRunning
}

// Rule returns the first rule of a service that matches a call, nil for none.
func Rule(d *envdoc.Document, id ident.ServiceID, method, path string) *envdoc.CallRule {
	if d == nil {
		return nil
	}
	s, ok := d.Services[id]
	if !ok {
		return nil
	}
	for i := range s.Calls {
		c := &s.Calls[i]
		if c.Method == method && strings.HasPrefix(path, c.PathPrefix) {
			return c
		}
	}
	return nil
}

func first(cs []check, s State, w Work) *refuse.Error {
	for _, c := range cs {
		if e := c(s, w); e != nil {
			e.Generation = s.View.Generation()
			return e
		}
	}
	return nil
}

func document(s State, _ Work) *refuse.Error {
	if s.View.Document() != nil {
		return nil
	}
	return refuse.New(refuse.NoDocument, refuse.NotRun, "check work: this agent has no document yet")
}

func generation(s State, w Work) *refuse.Error {
	g := s.View.Generation()
	switch {
	case w.Generation < g:
		return refuse.New(refuse.StaleGeneration, refuse.NotRun,
			"check work planned with generation %d: generation %d is in force", w.Generation, g)
	case w.Generation > g:
		return refuse.New(refuse.AgentBehind, refuse.NotRun,
			"check work planned with generation %d: this agent has generation %d", w.Generation, g)
	}
	return nil
}

func draining(s State, _ Work) *refuse.Error {
	if !s.Draining {
		return nil
	}
	return refuse.New(refuse.Draining, refuse.NotRun, "accept work: this agent is shutting down").WithRetryAfter(drainRetry)
}

func permitted(s State, w Work) *refuse.Error {
	if w.Service != "" {
		return callPermitted(s, w)
	}
	d := s.View.Document()
	_, known := d.Models[w.Version.Model]
	switch {
	case !known:
		return refuse.New(refuse.ModelUnknown, refuse.NotRun, "check work: model %q is unknown", w.Version.Model)
	case !d.Allows(w.Account, w.Version):
		return refuse.New(refuse.ModelNotAllowed, refuse.NotRun,
			"check work: account %q may not use %s", w.Account, w.Version)
	case d.Withdrawn(w.Version):
		return refuse.New(refuse.VersionWithdrawn, refuse.NotRun, "check work: %s is withdrawn", w.Version)
	case s.View.Halted(w.Version):
		return refuse.New(refuse.VersionHalted, refuse.NotRun, "check work: %s is halted", w.Version)
	}
	return nil
}

func callPermitted(s State, w Work) *refuse.Error {
	d := s.View.Document()
	if _, ok := d.Services[w.Service]; !ok {
		return refuse.New(refuse.ServiceUnknown, refuse.NotRun, "check call: service %q is unknown", w.Service)
	}
	a, ok := d.Accounts[w.Account]
	if !ok || !a.Services[w.Service] {
		return refuse.New(refuse.ServiceNotAllowed, refuse.NotRun,
			"check call: account %q may not use service %q", w.Account, w.Service)
	}
	if Rule(d, w.Service, w.Method, w.Path) == nil {
		return refuse.New(refuse.ServiceNotAllowed, refuse.NotRun,
			"check call: service %q has no rule for %s %s", w.Service, w.Method, w.Path)
	}
	return nil
}

func ledger(s State, _ Work) *refuse.Error {
	if !s.LedgerFull {
		return nil
	}
	return refuse.New(refuse.LedgerFull, refuse.NotRun,
		"accept work: the receipt buffer is full, so the work could not be billed").WithRetryAfter(ledgerRetry)
}

func deadline(s State, w Work) *refuse.Error {
	if s.Now.Before(w.Deadline) {
		return nil
	}
	return refuse.New(refuse.DeadlineExceeded, refuse.NotRun, "check work: its deadline has passed")
}
