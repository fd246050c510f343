// Package check finds faults of configurations before they are in force: entries that can
// never match, limits that contradict each other, and what differs from the version in
// force. It decides nothing and sends nothing; decoding is done by the packages that
// entries and routers use.
package check

import (
	"cmp"
	"fmt"
	"slices"
)

// ID identifies a kind of finding. IDs are stable, so that scripts can rely on them.
type ID string

// IDs returns the ids of all findings.
func IDs() []ID {
	return []ID{
		idInvalid, idUnusedVersion, idUnusedModel, idUnusedService, idSlowRollout,
		idOtherEnvironment, idFutureHalts, idSectionAdded, idSectionRemoved, idAccountAdded,
		idAccountRemoved, idKeyAdded, idKeyRemoved, idPermissionAdded, idPermissionRemoved,
		idShareRises, idShareFalls, idVersionWithdrawn, idVersionRestored, idStreamsCancelled,
		idHaltsCleared, idRolloutStarts, idRolloutEnds, idRolloutRestarts, idCallChanged,
		idValueChanged, idHiddenRoute, idUnmatchedPrefix, idRouteWithoutService, idRouteWithoutAccount,
		idUnknownService, idHiddenService, idUnknownModel, idAccountWithoutKey, idHiddenKey,
		idObjectiveAboveTimeout, idPauseAboveTimeout, idStaleVersion, idRouteAdded, idRouteRemoved,
		idRouteMoved, idServiceAdded, idServiceRemoved, idKeysRequired, idKeysNotRequired,
		idRunsMayRepeat, idRunsMayNotRepeat,
	}
}

// Severity is what a finding means for the configuration.
type Severity string

// The values of Severity.
const (
	// Error is a fault for which entries or routers refuse the configuration.
	Error Severity = "error"
	// Warning is something that is accepted and has no effect, or contradicts itself.
	Warning Severity = "warning"
	// Difference is a change from the version in force.
	Difference Severity = "difference"
)

// rank orders severities; the most severe is first.
func (s Severity) rank() int {
	return slices.Index([]Severity{Error, Warning, Difference}, s)
}

// Position is a line of a file, a URL or standard input.
type Position struct {
	File string `json:"file"`
	// Line counts from 1.
	Line int `json:"line"`
}

// Finding is one result of a check.
type Finding struct {
	ID       ID       `json:"id"`
	Severity Severity `json:"severity"`
	Position
	// Text is one sentence.
	Text string `json:"text"`
	// Permanent is true for a difference whose effect a later version can't undo.
	Permanent bool `json:"permanent,omitempty"`
}

// String returns the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s [%s]", f.File, f.Line, f.Severity, f.Text, f.ID)
}

// MaxFindings bounds the findings of a report, so that its size doesn't follow from that of
// the configuration.
const MaxFindings = 1000

// Report is the result of a check.
type Report struct {
	File string `json:"file"`
	// Against is empty if the configuration was not compared.
	Against string `json:"against,omitempty"`
	// Findings are sorted by severity, file and line.
	Findings []Finding `json:"findings"`
	// Errors, Warnings and Differences count all findings, also those omitted.
	Errors      int `json:"errors"`
	Warnings    int `json:"warnings"`
	Differences int `json:"differences"`
	// Omitted counts findings beyond MaxFindings.
	Omitted int `json:"omitted"`
}

// Failed reports whether there are findings other than differences.
func (r *Report) Failed() bool {
	return r.Errors+r.Warnings > 0
}

// full reports whether further findings are only counted.
func (r *Report) full() bool {
	return len(r.Findings) >= MaxFindings
}

func (r *Report) add(f Finding) {
	switch f.Severity {
	case Error:
		r.Errors++
	case Warning:
		r.Warnings++
	default:
		r.Differences++
	}
	if r.full() {
		r.Omitted++
		return
	}
	f.Line = max(f.Line, 1)
	r.Findings = append(r.Findings, f)
}

func (r *Report) sort() {
	slices.SortStableFunc(r.Findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity.rank(), b.Severity.rank()), cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}

// Config is a decoded configuration: an *Environment or a *Routing.
type Config interface {
	// file is the name in positions.
	file() string
	// check reports what is wrong in the configuration itself.
	check(r *Report)
	// compare reports the differences from the version in force. It returns false if that
	// has another form.
	compare(before Config, r *Report) bool
}

// FormError reports that two configurations have different forms.
type FormError struct {
	File, Against string
}

func (e *FormError) Error() string {
	return fmt.Sprintf("compare %s with %s: one is an environment document, the other a configuration of routers", e.File, e.Against)
}

// Run checks a configuration and, unless before is nil, compares it with the version in
// force. It returns a *FormError if they have different forms.
func Run(c, before Config) (*Report, error) {
	r := &Report{File: c.file(), Findings: []Finding{}}
	c.check(r)
	if before != nil {
		r.Against = before.file()
		if !c.compare(before, r) {
			return nil, &FormError{File: c.file(), Against: before.file()}
		}
	}
	r.sort()
	return r, nil
}

// Invalid returns the report on a configuration that entries or routers refuse.
func Invalid(file string, line int, err error) *Report {
	r := &Report{File: file, Findings: []Finding{}}
	r.add(Finding{ID: idInvalid, Severity: Error, Position: Position{File: file, Line: line}, Text: err.Error()})
	return r
}

// idInvalid is the id of all faults that the decoder or validator finds.
const idInvalid ID = "invalid"

// maxNameRunes limits the length of a printed name, since names may be as long as the
// configuration.
const maxNameRunes = 64

// quote returns a name in quotes, truncated and without control characters.
func quote[T ~string](name T) string {
	n := 0
	for i := range string(name) {
		if n == maxNameRunes {
			return fmt.Sprintf("%q...", string(name)[:i])
		}
		n++
	}
	return fmt.Sprintf("%q", string(name))
}
