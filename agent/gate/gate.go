// Package gate checks whether work may run under the document in force. It is pure: the
// same work and snapshot always get the same answer.
package gate

import (
	"strings"
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
)

// Work describes one attempt to the checks. Version is set for a model request and
// Service for a plain-service call.
type Work struct {
	Account ident.AccountID
	Version ident.VersionRef
	Service ident.ServiceID
	// Method and Path are those of a plain-service call. Path is the part of the URL path
	// after /v1/services/SERVICE.
	Method string
	Path   string
	// Priority orders the work of one account; higher priorities run first.
	Priority int
	// Generation is the generation of the document with which the entry planned the attempt.
	Generation ident.Generation
	Deadline   time.Time
}

// Snapshot holds the inputs of a check that do not depend on the work.
type Snapshot struct {
	View       *spread.View
	Draining   bool
	LedgerFull bool
	Now        time.Time
}

// drainRetryAfter is the retry delay for work that a draining agent refuses. By then the
// entries have learned that the agent is draining.
const drainRetryAfter = time.Second

// ledgerRetryAfter is the retry delay while the receipt buffer is full. The buffer drains
// at 1,000 receipts per second once the table is available again.
const ledgerRetryAfter = 5 * time.Second

// check returns the refusal of work that must not run, nil otherwise.
type check func(Snapshot, Work) *refuse.Error

// The checks of each list run in order; the first refusal is returned.
var (
	arrivalChecks  = []check{checkDocument, checkGeneration, checkDraining, checkPermission, checkLedger, checkDeadline}
	queuedChecks   = []check{checkDocument, checkPermission, checkDeadline}
	dispatchChecks = []check{checkDocument, checkPermission, checkLedger, checkDeadline}
)

// CheckArrival checks new work. All refusals of this package are not-run, since nothing
// is sent to the upstream before CheckDispatch has passed.
func CheckArrival(s Snapshot, w Work) *refuse.Error {
	return firstRefusal(arrivalChecks, s, w)
}

// CheckQueued checks waiting work again after a change of the document or the halts. It
// does not compare generations: waiting work may run if the document in force still
// permits it.
func CheckQueued(s Snapshot, w Work) *refuse.Error {
	return firstRefusal(queuedChecks, s, w)
}

// CheckDispatch is the last check, made immediately before work is sent to the upstream.
// Like CheckQueued, it does not compare generations.
func CheckDispatch(s Snapshot, w Work) *refuse.Error {
	return firstRefusal(dispatchChecks, s, w)
}

// CancelRunning reports whether running streams of a version must be cancelled, because
// the document withdraws the version with cancel-running.
func CancelRunning(v *spread.View, r ident.VersionRef) bool {
	d := v.Document()
	if d == nil {
		return false
	}
	c, ok := d.Versions[r]
	return ok && c.State == envdoc.StateWithdrawn && c.CancelRunning
}

// MatchRule returns the first rule of a service that matches the method and the path
// prefix of a call. It returns nil if none matches, the service is unknown or d is nil.
func MatchRule(d *envdoc.Document, id ident.ServiceID, method, path string) *envdoc.CallRule {
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

func firstRefusal(cs []check, s Snapshot, w Work) *refuse.Error {
	for _, c := range cs {
		if e := c(s, w); e != nil {
			e.Generation = s.View.Generation()
			return e
		}
	}
	return nil
}

func checkDocument(s Snapshot, _ Work) *refuse.Error {
	if s.View.Document() != nil {
		return nil
	}
	return refuse.New(refuse.NoDocument, refuse.NotRun, "check work: this agent has no document yet")
}

func checkGeneration(s Snapshot, w Work) *refuse.Error {
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

func checkDraining(s Snapshot, _ Work) *refuse.Error {
	if !s.Draining {
		return nil
	}
	return refuse.New(refuse.Draining, refuse.NotRun, "accept work: this agent is shutting down").WithRetryAfter(drainRetryAfter)
}

func checkPermission(s Snapshot, w Work) *refuse.Error {
	if w.Service != "" {
		return checkCallPermission(s, w)
	}
	d := s.View.Document()
	_, found := d.Models[w.Version.Model]
	switch {
	case !found:
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

func checkCallPermission(s Snapshot, w Work) *refuse.Error {
	d := s.View.Document()
	if _, ok := d.Services[w.Service]; !ok {
		return refuse.New(refuse.ServiceUnknown, refuse.NotRun, "check call: service %q is unknown", w.Service)
	}
	a, ok := d.Accounts[w.Account]
	if !ok || !a.Services[w.Service] {
		return refuse.New(refuse.ServiceNotAllowed, refuse.NotRun,
			"check call: account %q may not use service %q", w.Account, w.Service)
	}
	if MatchRule(d, w.Service, w.Method, w.Path) == nil {
		return refuse.New(refuse.ServiceNotAllowed, refuse.NotRun,
			"check call: service %q has no rule for %s %s", w.Service, w.Method, w.Path)
	}
	return nil
}

func checkLedger(s Snapshot, _ Work) *refuse.Error {
	if !s.LedgerFull {
		return nil
	}
	return refuse.New(refuse.LedgerFull, refuse.NotRun,
		"accept work: the receipt buffer is full, so the work could not be billed").WithRetryAfter(ledgerRetryAfter)
}

func checkDeadline(s Snapshot, w Work) *refuse.Error {
	if s.Now.Before(w.Deadline) {
		return nil
	}
	return refuse.New(refuse.DeadlineExceeded, refuse.NotRun, "check work: its deadline has passed")
}
