package check

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
)

// IDs of differences between environment documents. Those of accounts, keys, services and
// shares are also used for configurations of routers.
const (
	idOtherEnvironment  ID = "other-environment"
	idFutureHalts       ID = "future-halts"
	idSectionAdded      ID = "section-added"
	idSectionRemoved    ID = "section-removed"
	idAccountAdded      ID = "account-added"
	idAccountRemoved    ID = "account-removed"
	idKeyAdded          ID = "key-added"
	idKeyRemoved        ID = "key-removed"
	idPermissionAdded   ID = "permission-added"
	idPermissionRemoved ID = "permission-removed"
	idShareRises        ID = "share-rises"
	idShareFalls        ID = "share-falls"
	idVersionWithdrawn  ID = "version-withdrawn"
	idVersionRestored   ID = "version-restored"
	idStreamsCancelled  ID = "streams-cancelled"
	idHaltsCleared      ID = "halts-cleared"
	idRolloutStarts     ID = "rollout-starts"
	idRolloutEnds       ID = "rollout-ends"
	idRolloutRestarts   ID = "rollout-restarts"
	idCallChanged       ID = "call-changed"
	idValueChanged      ID = "value-changed"
)

// compare implements Config.
func (e *Environment) compare(before Config, r *Report) bool {
	b, ok := before.(*Environment)
	if !ok {
		return false
	}
	e.refused(e.document.CheckName(b.document.Name), idOtherEnvironment, r)
	if r.Errors > 0 {
		return true
	}
	if b.latest > 0 {
		e.refused(e.document.CheckCleared(b.latest), idFutureHalts, r)
	}
	sections := map[string]bool{}
	for _, c := range envdoc.Diff(b.document, e.document) {
		kind, id, _ := strings.Cut(c.Section, " ")
		if c.Key == "" {
			sections[c.Section] = true
			r.add(e.sectionDifference(b, c, kind, id))
			continue
		}
		// The keys of a section that was added say nothing that the section doesn't.
		if sections[c.Section] && c.Kind == envdoc.ChangeAdded {
			continue
		}
		r.add(e.keyDifference(b, c, kind))
	}
	e.compareEffects(b, r)
	return true
}

// refused reports problems for which entries refuse the document after the version in force.
func (e *Environment) refused(ps []envdoc.Problem, id ID, r *Report) {
	for _, p := range ps {
		r.add(Finding{ID: id, Severity: Error, Position: e.at(p.Section, p.Key), Text: p.String()})
	}
}

// sectionDifference describes a section that was added or removed.
func (e *Environment) sectionDifference(b *Environment, c envdoc.Change, kind, id string) Finding {
	f := Finding{ID: idSectionAdded, Severity: Difference, Position: e.at(c.Section, ""), Text: c.Section + " is added"}
	if c.Kind == envdoc.ChangeRemoved {
		f = Finding{ID: idSectionRemoved, Severity: Difference, Position: b.at(c.Section, ""), Text: c.Section + " is removed"}
	}
	added := c.Kind == envdoc.ChangeAdded
	switch kind {
	case "account":
		f.ID = choose(added, idAccountAdded, idAccountRemoved)
		f.Text += choose(added, "", "; requests with its keys are refused")
	case "version":
		f.ID = choose(added, f.ID, idVersionWithdrawn)
		f.Text += choose(added, "", "; it gets no new work")
	case "service":
		f.Text += choose(added, "", "; calls of it are refused")
	case "rollout":
		f.ID = choose(added, idRolloutStarts, idRolloutEnds)
		f.Text = choose(added, e.rolloutText(ident.RolloutID(id)), "roll-out "+id+" ends; new sessions go by the shares")
		f.Permanent = added
	}
	return f
}

// rolloutText describes a roll-out that starts.
func (e *Environment) rolloutText(id ident.RolloutID) string {
	o := e.document.Rollouts[id]
	if o == nil || len(o.Steps) == 0 {
		return fmt.Sprintf("roll-out %s starts", id)
	}
	return fmt.Sprintf("roll-out %s starts to move new sessions from %s@%s to %s in %d step(s), the first %s%%; what the new version has answered can't be undone",
		id, o.Model, o.From, o.To, len(o.Steps), envdoc.FormatShare(o.Steps[0]))
}

// keys holds the keys of the document for the keys of changes that have other names.
var keys = map[string]string{
	"input-price": "input-price-micro-cents", "output-price": "output-price-micro-cents", "price": "price-micro-cents",
}

// keyDifference describes a key that was added, removed or modified.
func (e *Environment) keyDifference(b *Environment, c envdoc.Change, kind string) Finding {
	key, id := c.Key, idValueChanged
	added := c.Kind == envdoc.ChangeAdded
	first, _, _ := strings.Cut(c.Key, " ")
	switch {
	case kind == "account" && (first == "allowed" || first == "service"):
		key = choose(first == "allowed", "allowed", "services")
		id = choose(added, idPermissionAdded, idPermissionRemoved)
	case kind == "account" && first == "key":
		key = "key-digests"
		id = choose(added, idKeyAdded, idKeyRemoved)
	case kind == "model" && first == "share":
		key = "shares"
		id = choose(e.shareRises(b, c), idShareRises, idShareFalls)
	case kind == "service" && first == "call":
		key, id = "calls", idCallChanged
	case kind == "version" && c.Key == "state":
		id = choose(c.After == string(envdoc.StateWithdrawn), idVersionWithdrawn, idVersionRestored)
	case kind == "version" && c.Key == "halts-cleared-at":
		id = idHaltsCleared
	}
	if k, ok := keys[key]; ok {
		key = k
	}
	// A key that was removed is at its section.
	return Finding{ID: id, Severity: Difference, Position: e.at(c.Section, key), Text: c.String()}
}

// shareRises reports whether a change raises a version's share. A missing share is 0.
func (e *Environment) shareRises(b *Environment, c envdoc.Change) bool {
	m := ident.ModelID(strings.TrimPrefix(c.Section, "model "))
	v := ident.VersionID(strings.TrimPrefix(c.Key, "share of "))
	return e.document.Models[m].Shares[v] > b.document.Models[m].Shares[v]
}

// compareEffects reports what several keys cause together.
func (e *Environment) compareEffects(b *Environment, r *Report) {
	for _, ref := range e.document.VersionRefs() {
		v, old := e.document.Versions[ref], b.document.Versions[ref]
		if v.State != envdoc.StateWithdrawn || !v.CancelRunning || old == nil || old.State == envdoc.StateWithdrawn && old.CancelRunning {
			continue
		}
		r.add(Finding{
			ID: idStreamsCancelled, Severity: Difference, Position: e.at("version "+ref.String(), "cancel-running"), Permanent: true,
			Text: fmt.Sprintf("running streams of version %s are cut, which can't be undone", ref),
		})
	}
	for _, id := range slices.Sorted(maps.Keys(e.document.Rollouts)) {
		o, old := e.document.Rollouts[id], b.document.Rollouts[id]
		if old == nil || o.SameProgression(old) {
			continue
		}
		r.add(Finding{
			ID: idRolloutRestarts, Severity: Difference, Position: e.at("rollout "+string(id), ""),
			Text: fmt.Sprintf("roll-out %s starts again at its first step, as its versions or steps change", id),
		})
	}
}

// choose returns a if the condition holds, and b otherwise.
func choose[T any](condition bool, a, b T) T {
	if condition {
		return a
	}
	return b
}
