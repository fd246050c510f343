package envdoc

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"tarragonvalve.example/core/ident"
)

// checkDocument checks what depends on more than one section: required sections,
// references, cycles and accounts without a usable version.
func (p *parser) checkDocument() {
	if !p.hasEnvironment {
		p.problems = append(p.problems, Problem{Section: "environment", Fault: "missing section", Allowed: "[environment] with the key name"})
	}
	if !p.hasEnd {
		p.problems = append(p.problems, Problem{Section: EndSection, Fault: "missing section; the text may be truncated", Allowed: "[end] as the last section"})
	}
	for _, id := range sorted(p.doc.Accounts) {
		p.checkAccount(p.doc.Accounts[id])
	}
	for _, id := range sorted(p.doc.Models) {
		p.checkModel(p.doc.Models[id])
	}
	for _, r := range p.doc.VersionRefs() {
		p.checkVersion(p.doc.Versions[r])
	}
	p.checkRollouts()
	p.checkCycles()
}

func (p *parser) checkAccount(a *Account) {
	n := "account " + string(a.ID)
	usable := false
	for _, r := range sortedRefs(a.Allowed) {
		v, ok := p.doc.Versions[r]
		if !ok {
			p.reject(n, "allowed", r.String(), "no such version", p.versionNames())
			continue
		}
		usable = usable || v.State == StateLive
	}
	for _, s := range sorted(a.Services) {
		if _, ok := p.doc.Services[s]; !ok {
			p.reject(n, "services", string(s), "no such service", formatNames("services", sorted(p.doc.Services)))
		}
	}
	switch {
	case len(a.Allowed) > 0 && !usable:
		p.reject(n, "allowed", "", "the account has no usable version", "at least one version that is not withdrawn")
	case len(a.Allowed) == 0 && len(a.Services) == 0:
		p.reject(n, "allowed", "", "the account may use nothing", "versions in allowed or services in services")
	}
}

func (p *parser) checkModel(m *Model) {
	n := "model " + string(m.ID)
	for _, v := range sorted(m.Shares) {
		d, ok := p.doc.Versions[ident.VersionRef{Model: m.ID, Version: v}]
		switch {
		case !ok:
			p.reject(n, "shares", string(v), "no such version of the model", p.versionsOf(m.ID))
		case d.State == StateWithdrawn:
			p.reject(n, "shares", string(v), "a withdrawn version has a share", "shares of versions that are not withdrawn")
		}
	}
	if _, ok := p.doc.Versions[m.Fallback]; m.Fallback != (ident.VersionRef{}) && !ok {
		p.reject(n, "fallback", m.Fallback.String(), "no such version", p.versionNames())
	}
	if _, ok := p.doc.Models[m.Escalate]; m.Escalate != "" && !ok {
		p.reject(n, "escalate", string(m.Escalate), "no such model", formatNames("models", sorted(p.doc.Models)))
	}
}

func (p *parser) checkVersion(v *Version) {
	n := "version " + v.Ref.String()
	if _, ok := p.doc.Models[v.Ref.Model]; !ok {
		p.reject(n, "", "", "a version of no known model", formatNames("models", sorted(p.doc.Models)))
	}
	if v.Fallback == (ident.VersionRef{}) {
		return
	}
	if _, ok := p.doc.Versions[v.Fallback]; !ok {
		p.reject(n, "fallback", v.Fallback.String(), "no such version", p.versionNames())
	}
}

func (p *parser) checkRollouts() {
	byModel := map[ident.ModelID]ident.RolloutID{}
	for _, id := range sorted(p.doc.Rollouts) {
		o := p.doc.Rollouts[id]
		n := "rollout " + string(id)
		m, ok := p.doc.Models[o.Model]
		if !ok {
			if o.Model != "" {
				p.reject(n, "model", string(o.Model), "no such model", formatNames("models", sorted(p.doc.Models)))
			}
			continue
		}
		if first, dup := byModel[o.Model]; dup {
			p.reject(n, "model", string(o.Model), fmt.Sprintf("the model is already in roll-out %s", first), "one roll-out for each model")
		}
		byModel[o.Model] = id
		p.checkRolloutVersion(n, "from", o.Model, o.From)
		p.checkRolloutVersion(n, "to", o.Model, o.To)
		if o.From == o.To && o.To != "" {
			p.reject(n, "to", string(o.To), "the same version as from", "another version of the model")
		}
		if _, ok := m.Shares[o.From]; !ok && o.From != "" {
			p.reject(n, "from", string(o.From), "the version has no share to give", formatNames("versions", sorted(m.Shares)))
		}
	}
}

// checkRolloutVersion checks the from or to version of a roll-out. Empty values were
// already reported when the section was parsed.
func (p *parser) checkRolloutVersion(section, key string, m ident.ModelID, v ident.VersionID) {
	if v == "" {
		return
	}
	d, ok := p.doc.Versions[ident.VersionRef{Model: m, Version: v}]
	switch {
	case !ok:
		p.reject(section, key, string(v), "no such version of the model", p.versionsOf(m))
	case d.State == StateWithdrawn:
		p.reject(section, key, string(v), "a withdrawn version is in a roll-out", "versions that are not withdrawn")
	}
}

// checkCycles reports each cycle of fallbacks and of escalations once.
func (p *parser) checkCycles() {
	fallbacks := map[string]string{}
	for r, v := range p.doc.Versions {
		if v.Fallback != (ident.VersionRef{}) {
			fallbacks[r.String()] = v.Fallback.String()
		}
	}
	for _, c := range cycles(fallbacks) {
		p.reject("version "+c[0], "fallback", c[1%len(c)], "the fallbacks form a cycle: "+strings.Join(append(c, c[0]), " -> "), "fallbacks without a cycle")
	}
	escalations := map[string]string{}
	for id, m := range p.doc.Models {
		if m.Escalate != "" {
			escalations[string(id)] = string(m.Escalate)
		}
	}
	for _, c := range cycles(escalations) {
		p.reject("model "+c[0], "escalate", c[1%len(c)], "the escalations form a cycle: "+strings.Join(append(c, c[0]), " -> "), "escalations without a cycle")
	}
}

// cycles returns the cycles of a graph in which each node has at most one successor.
// Each cycle is returned once and starts at its smallest node.
func cycles(next map[string]string) [][]string {
	var out [][]string
	done := map[string]bool{}
	for _, s := range slices.Sorted(maps.Keys(next)) {
		var path []string
		index := map[string]int{}
		n := s
		for n != "" && !done[n] {
			if i, ok := index[n]; ok {
				out = append(out, rotateToSmallest(path[i:]))
				break
			}
			index[n] = len(path)
			path = append(path, n)
			n = next[n]
		}
		for _, n := range path {
			done[n] = true
		}
	}
	return out
}

// rotateToSmallest returns the cycle c starting at its smallest node.
func rotateToSmallest(c []string) []string {
	i := slices.Index(c, slices.Min(c))
	return append(slices.Clone(c[i:]), c[:i]...)
}

// CheckName returns a problem if the document is that of another environment, which would
// replace all accounts and models if it were accepted by mistake.
func (d *Document) CheckName(environment string) []Problem {
	if d.Name == environment {
		return nil
	}
	return []Problem{{Section: "environment", Key: "name", Value: d.Name, Fault: "the document of another environment", Allowed: environment}}
}

// CheckCleared returns a problem for each halts-cleared-at above the latest generation, since
// it would clear halts that don't exist yet.
func (d *Document) CheckCleared(latest ident.Generation) []Problem {
	var ps []Problem
	for _, r := range d.VersionRefs() {
		if n := d.Versions[r].HaltsClearedAt; n > latest {
			ps = append(ps, Problem{
				Section: "version " + r.String(),
				Key:     "halts-cleared-at",
				Value:   strconv.FormatUint(uint64(n), 10),
				Fault:   "would void halts that are not made yet",
				Allowed: fmt.Sprintf("at most %d, the latest generation", latest),
			})
		}
	}
	return ps
}

// VersionRefs returns the versions of the document, sorted by model and version.
func (d *Document) VersionRefs() []ident.VersionRef {
	return sortedRefs(d.Versions)
}

func sortedRefs[V any](m map[ident.VersionRef]V) []ident.VersionRef {
	return slices.SortedFunc(maps.Keys(m), func(a, b ident.VersionRef) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
}

func sorted[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// maxListedNames limits the names that a problem lists as allowed, which keeps it
// readable in large documents.
const maxListedNames = 12

// formatNames lists the defined objects of a kind for the message of a problem.
func formatNames[K ~string](what string, ids []K) string {
	if len(ids) == 0 {
		return what + ": none are defined"
	}
	var t []string
	for _, id := range ids[:min(len(ids), maxListedNames)] {
		t = append(t, string(id))
	}
	if len(ids) > maxListedNames {
		t = append(t, fmt.Sprintf("and %d more", len(ids)-maxListedNames))
	}
	return what + " " + strings.Join(t, ", ")
}

// versionNames lists all versions of the document as MODEL@VERSION.
func (p *parser) versionNames() string {
	var t []string
	for _, r := range p.doc.VersionRefs() {
		t = append(t, r.String())
	}
	return formatNames("versions", t)
}

// versionsOf lists the versions of one model.
func (p *parser) versionsOf(m ident.ModelID) string {
	var t []string
	for _, r := range p.doc.VersionRefs() {
		if r.Model == m {
			t = append(t, string(r.Version))
		}
	}
	return formatNames("versions", t)
}
