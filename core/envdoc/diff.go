package envdoc

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"tarragonvalve.example/core/ident"
)

// ChangeKind states whether a section or key was added, removed or modified.
type ChangeKind string

// The values of ChangeKind.
const (
	ChangeAdded    ChangeKind = "added"
	ChangeRemoved  ChangeKind = "removed"
	ChangeModified ChangeKind = "changed"
)

// Change is a difference between two documents.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Section is the section without brackets, such as "model pamuk".
	Section string `json:"section"`
	// Key is empty if the whole section was added or removed. A share has the
	// key "share of VERSION", and a member of a list has "KEY MEMBER".
	Key string `json:"key,omitempty"`
	// Before and After are the values in the two documents. They are empty where
	// the key is missing and for members of lists.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	if c.Key == "" {
		return fmt.Sprintf("%s: %s", c.Section, c.Kind)
	}
	switch c.Kind {
	case ChangeAdded:
		if c.After == "" {
			return fmt.Sprintf("%s: %s added", c.Section, c.Key)
		}
		return fmt.Sprintf("%s: %s added: %s", c.Section, c.Key, c.After)
	case ChangeRemoved:
		if c.Before == "" {
			return fmt.Sprintf("%s: %s removed", c.Section, c.Key)
		}
		return fmt.Sprintf("%s: %s removed, was %s", c.Section, c.Key, c.Before)
	default:
		return fmt.Sprintf("%s: %s from %s to %s", c.Section, c.Key, c.Before, c.After)
	}
}

// Diff returns the changes in meaning from one document to another, sorted by section
// and key. It ignores comments and the order of sections, keys and list members,
// except for the order of call rules. A nil document counts as empty.
func Diff(before, after *Document) []Change {
	b, a := flatten(before), flatten(after)
	all := map[string]bool{}
	for s := range b {
		all[s] = true
	}
	for s := range a {
		all[s] = true
	}
	var out []Change
	for _, s := range slices.Sorted(maps.Keys(all)) {
		bs, inB := b[s]
		as, inA := a[s]
		switch {
		case !inB:
			out = append(out, Change{Kind: ChangeAdded, Section: s})
		case !inA:
			out = append(out, Change{Kind: ChangeRemoved, Section: s})
			continue
		}
		out = append(out, diffSection(s, bs, as)...)
	}
	return out
}

// diffSection returns the changes of the keys of section s, sorted by key.
func diffSection(s string, b, a map[string]string) []Change {
	all := maps.Clone(a)
	if all == nil {
		all = map[string]string{}
	}
	maps.Copy(all, b)
	var out []Change
	for _, k := range slices.Sorted(maps.Keys(all)) {
		bv, inB := b[k]
		av, inA := a[k]
		switch {
		case !inB:
			out = append(out, Change{Kind: ChangeAdded, Section: s, Key: k, After: av})
		case !inA:
			out = append(out, Change{Kind: ChangeRemoved, Section: s, Key: k, Before: bv})
		case av != bv:
			out = append(out, Change{Kind: ChangeModified, Section: s, Key: k, Before: bv, After: av})
		}
	}
	return out
}

// flatDocument holds the effective value of each key, defaults included, by section and key.
type flatDocument map[string]map[string]string

func (f flatDocument) set(section, key, value string) {
	if f[section] == nil {
		f[section] = map[string]string{}
	}
	f[section][key] = value
}

func flatten(d *Document) flatDocument {
	f := flatDocument{}
	if d == nil {
		return f
	}
	f.set("environment", "name", d.Name)
	for _, a := range d.Accounts {
		f.account(a)
	}
	for _, m := range d.Models {
		n := "model " + string(m.ID)
		f.set(n, "escalate", orNone(string(m.Escalate)))
		f.set(n, "fallback", refOrNone(m.Fallback))
		for v, s := range m.Shares {
			f.set(n, "share of "+string(v), FormatShare(s)+"%")
		}
	}
	for _, v := range d.Versions {
		f.version(v)
	}
	for _, r := range d.Rollouts {
		f.rollout(r)
	}
	for _, s := range d.Services {
		n := "service " + string(s.ID)
		f.set(n, "price", money(s.Price))
		for i, c := range s.Calls {
			f.set(n, fmt.Sprintf("call %s %s", c.Method, c.PathPrefix), fmt.Sprintf("%s, rule %d", ruleKeywords(c), i+1))
		}
	}
	for _, k := range d.Kinds {
		f.set("upstream-kind "+string(k.ID), "checks-fencing", yesNo(k.ChecksFencing))
	}
	return f
}

func (f flatDocument) account(a *Account) {
	n := "account " + string(a.ID)
	for r := range a.Allowed {
		f.set(n, "allowed "+r.String(), "")
	}
	for s := range a.Services {
		f.set(n, "service "+string(s), "")
	}
	for _, k := range a.KeyDigests {
		f.set(n, "key digest "+string(k[:8]), "")
	}
	f.set(n, "requests-per-second", limit(a.RequestsPerSecond))
	f.set(n, "tokens-per-second", limit(a.TokensPerSecond))
	f.set(n, "weight", strconv.Itoa(a.Weight))
	f.set(n, "priority", strconv.Itoa(a.Priority))
	f.set(n, "objective", string(a.Objective))
	f.set(n, "quality-target", number(a.QualityTarget))
	f.set(n, "on-withdrawn", string(a.OnWithdrawn))
}

func (f flatDocument) version(v *Version) {
	n := "version " + v.Ref.String()
	f.set(n, "state", string(v.State))
	f.set(n, "input-price", money(v.InputPrice))
	f.set(n, "output-price", money(v.OutputPrice))
	f.set(n, "quality-prior", number(v.QualityPrior))
	f.set(n, "fallback", refOrNone(v.Fallback))
	f.set(n, "halts-cleared-at", strconv.FormatUint(uint64(v.HaltsClearedAt), 10))
	f.set(n, "cancel-running", yesNo(v.CancelRunning))
}

func (f flatDocument) rollout(r *Rollout) {
	n := "rollout " + string(r.ID)
	var steps []string
	for _, s := range r.Steps {
		steps = append(steps, FormatShare(s)+"%")
	}
	f.set(n, "model", string(r.Model))
	f.set(n, "from", string(r.From))
	f.set(n, "to", string(r.To))
	f.set(n, "steps", strings.Join(steps, ", "))
	f.set(n, "step-time", r.StepTime.String())
	f.set(n, "exposure-bound", strconv.Itoa(r.ExposureBound))
	f.set(n, "min-samples", strconv.Itoa(r.MinSamples))
	f.set(n, "false-alarm-rate", number(r.FalseAlarmRate))
}

func ruleKeywords(c CallRule) string {
	switch {
	case c.Hedge:
		return keywordRepeatable + " " + keywordHedge
	case c.Repeatable:
		return keywordRepeatable
	default:
		return keywordNotRepeatable
	}
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func refOrNone(r ident.VersionRef) string {
	if r == (ident.VersionRef{}) {
		return "none"
	}
	return r.String()
}

func limit(f float64) string {
	if f == 0 {
		return "no limit"
	}
	return number(f)
}

func number(f float64) string {
	return strconv.FormatFloat(f, 'g', -1, 64)
}

func money(m ident.MicroCents) string {
	return fmt.Sprintf("%d micro-cents", m)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
