package check

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/inidoc"
)

// Environment is an environment document with the lines of its sections and keys.
type Environment struct {
	name     string
	document *envdoc.Document
	// lines holds the line of each section, by name, and of each key, by "section\x00key".
	lines map[string]int
	// latest is the latest generation of the environment; 0 is unknown.
	latest ident.Generation
}

// ParseEnvironment parses and validates a document as entries do. The error is a
// *envdoc.ProblemsError; see Problems.
func ParseEnvironment(file string, body []byte) (*Environment, error) {
	d, err := envdoc.Parse(body)
	if err != nil {
		return nil, err
	}
	e := &Environment{name: file, document: d, lines: map[string]int{}}
	sections, _ := inidoc.Parse(body)
	for _, s := range sections {
		e.lines[s.Name] = s.Line
		for _, k := range s.Entries {
			e.lines[s.Name+"\x00"+k.Key] = k.Line
		}
	}
	return e, nil
}

// Problems returns the report on a document that ParseEnvironment refused.
func Problems(file string, err error) *Report {
	var e *envdoc.ProblemsError
	if !errors.As(err, &e) {
		return Invalid(file, 1, err)
	}
	r := &Report{File: file, Findings: []Finding{}}
	for _, p := range e.Problems {
		line := p.Line
		// The position states the line.
		p.Line = 0
		r.add(Finding{ID: idInvalid, Severity: Error, Position: Position{File: file, Line: line}, Text: p.String()})
	}
	r.sort()
	return r
}

// SetLatest sets the latest generation of the environment in force, which Run needs to find
// halts that are cleared too early.
func (e *Environment) SetLatest(g ident.Generation) { e.latest = g }

func (e *Environment) file() string { return e.name }

// at returns the position of a key, or of its section if the section lacks the key.
func (e *Environment) at(section, key string) Position {
	l, ok := e.lines[section+"\x00"+key]
	if !ok {
		l = e.lines[section]
	}
	return Position{File: e.name, Line: l}
}

// IDs of findings in environment documents.
const (
	idUnusedVersion ID = "unused-version"
	idUnusedModel   ID = "unused-model"
	idUnusedService ID = "unused-service"
	idSlowRollout   ID = "slow-rollout"
)

// check implements Config.
func (e *Environment) check(r *Report) {
	e.checkVersions(r)
	e.checkServices(r)
	for _, id := range slices.Sorted(maps.Keys(e.document.Rollouts)) {
		e.checkRollout(r, e.document.Rollouts[id])
	}
}

// checkVersions reports models and live versions that no account may use. They never serve
// a request, whatever their shares, since each account goes to a fallback instead.
func (e *Environment) checkVersions(r *Report) {
	versions := map[ident.VersionRef]bool{}
	models := map[ident.ModelID]bool{}
	for _, a := range e.document.Accounts {
		for v := range a.Allowed {
			versions[v] = true
			models[v.Model] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(e.document.Models)) {
		if !models[id] {
			r.add(Finding{
				ID: idUnusedModel, Severity: Warning, Position: e.at("model "+string(id), ""),
				Text: fmt.Sprintf("no account may use a version of model %s, so each request for it is refused", id),
			})
		}
	}
	for _, v := range e.document.VersionRefs() {
		if versions[v] || !models[v.Model] || e.document.Withdrawn(v) {
			continue
		}
		r.add(Finding{
			ID: idUnusedVersion, Severity: Warning, Position: e.at("version "+v.String(), ""),
			Text: fmt.Sprintf("no account may use version %s, so it never serves a request", v),
		})
	}
}

// checkServices reports services that no account may call.
func (e *Environment) checkServices(r *Report) {
	used := map[ident.ServiceID]bool{}
	for _, a := range e.document.Accounts {
		for s := range a.Services {
			used[s] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(e.document.Services)) {
		if !used[id] {
			r.add(Finding{
				ID: idUnusedService, Severity: Warning, Position: e.at("service "+string(id), ""),
				Text: fmt.Sprintf("no account may call service %s, so each call is refused", id),
			})
		}
	}
}

// checkRollout reports the first step in which the accounts' limits allow fewer answers
// of the new version in the step's time than the next step needs. The last step has no
// next one.
func (e *Environment) checkRollout(r *Report, o *envdoc.Rollout) {
	rate, ok := e.maxRate(ident.VersionRef{Model: o.Model, Version: o.To})
	if !ok {
		return
	}
	share := fraction(e.document.Models[o.Model].Shares[o.From])
	for i, s := range o.Steps[:max(len(o.Steps)-1, 0)] {
		most := rate * share * fraction(s) * o.StepTime.Seconds()
		if most >= float64(o.MinSamples) {
			continue
		}
		r.add(Finding{
			ID: idSlowRollout, Severity: Warning, Position: e.at("rollout "+string(o.ID), "min-samples"),
			Text: fmt.Sprintf("step %d of roll-out %s (%s%%) yields at most about %.0f answers in %s, as its accounts may send %g requests a second; min-samples is %d", i+1, o.ID, envdoc.FormatShare(s), most, o.StepTime, rate, o.MinSamples),
		})
		return
	}
}

func fraction(s ident.Share) float64 {
	return float64(s) / float64(ident.FullShare)
}

// maxRate returns the requests a second that the accounts that may use a version may send
// together. It returns false if one of them has no limit, or if there are none.
func (e *Environment) maxRate(v ident.VersionRef) (float64, bool) {
	rate := 0.0
	for _, id := range slices.Sorted(maps.Keys(e.document.Accounts)) {
		a := e.document.Accounts[id]
		if !a.Allowed[v] {
			continue
		}
		if a.RequestsPerSecond == 0 {
			return 0, false
		}
		rate += a.RequestsPerSecond
	}
	return rate, rate > 0
}
