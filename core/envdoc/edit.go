package envdoc

import (
	"fmt"
	"slices"
	"strings"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/inidoc"
)

// sharesNone is the value of the key shares of a model whose versions take no new
// sessions, for example since all that had a share are withdrawn.
const sharesNone = "none"

// Withdraw returns the text of a document with a version withdrawn, and a description
// of each change that it made. The version's share goes to the other versions with a
// share, in proportion to theirs. If there is none, it goes to the version's fallback
// if that is a live version of the same model. Otherwise the model has no shares any
// more, and the fallback serves its new sessions. Roll-outs of the version are removed.
//
// Withdraw returns an error if the document lacks the version or has withdrawn it
// already. It doesn't validate the new text, which may leave an account with no
// usable version.
func Withdraw(d *Document, r ident.VersionRef) ([]byte, []string, error) {
	v, ok := d.Versions[r]
	if !ok {
		return nil, nil, fmt.Errorf("withdraw %s: no such version", r)
	}
	if v.State == StateWithdrawn {
		return nil, nil, fmt.Errorf("withdraw %s: it is withdrawn already", r)
	}
	e := newEditor(d.Raw)
	actions := []string{fmt.Sprintf("version %s withdrawn", r)}
	e.setKey("version "+r.String(), "state", string(StateWithdrawn))
	for _, id := range sorted(d.Rollouts) {
		o := d.Rollouts[id]
		if o.Model == r.Model && (o.From == r.Version || o.To == r.Version) {
			e.removeSection("rollout " + string(id))
			actions = append(actions, fmt.Sprintf("roll-out %s removed", id))
		}
	}
	if m := d.Models[r.Model]; m.Shares[r.Version] > 0 {
		s := sharesWithout(d, m, r)
		e.setKey("model "+string(r.Model), "shares", s)
		actions = append(actions, fmt.Sprintf("shares of model %s now %s", r.Model, s))
		if s == sharesNone && v.Fallback != (ident.VersionRef{}) {
			e.setKey("model "+string(r.Model), "fallback", v.Fallback.String())
			actions = append(actions, fmt.Sprintf("new sessions of model %s go to %s", r.Model, v.Fallback))
		}
	}
	return e.bytes(), actions, nil
}

// sharesWithout returns the value of the key shares of model m after version r was withdrawn.
func sharesWithout(d *Document, m *Model, r ident.VersionRef) string {
	rest := map[ident.VersionID]ident.Share{}
	for v, s := range m.Shares {
		if v != r.Version {
			rest[v] = s
		}
	}
	if len(rest) == 0 {
		f := d.Versions[r].Fallback
		if f.Model != r.Model || d.Withdrawn(f) {
			return sharesNone
		}
		rest[f.Version] = ident.FullShare
	}
	return formatShares(normalizeShares(rest))
}

// normalizeShares scales shares in proportion so that they sum to ident.FullShare.
// Each share stays at least 1; the rounding difference goes to the largest share.
func normalizeShares(m map[ident.VersionID]ident.Share) map[ident.VersionID]ident.Share {
	var sum uint64
	for _, s := range m {
		sum += uint64(s)
	}
	out := map[ident.VersionID]ident.Share{}
	left := ident.FullShare
	var largest ident.VersionID
	for _, v := range sorted(m) {
		out[v] = max(1, ident.Share(uint64(m[v])*uint64(ident.FullShare)/sum))
		left -= out[v]
		if largest == "" || out[v] > out[largest] {
			largest = v
		}
	}
	out[largest] += left
	return out
}

func formatShares(m map[ident.VersionID]ident.Share) string {
	var t []string
	for _, v := range sorted(m) {
		t = append(t, fmt.Sprintf("%s:%s", v, FormatShare(m[v])))
	}
	return strings.Join(t, ", ")
}

// editor changes single lines of a valid document. Comments and the order of lines stay.
type editor struct {
	lines []string
}

func newEditor(b []byte) *editor {
	return &editor{lines: strings.Split(string(b), "\n")}
}

func (e *editor) bytes() []byte {
	return []byte(strings.Join(e.lines, "\n"))
}

// find returns a section of the present text and the index in e.lines of the line
// after its last key, or after its header if it has no keys.
func (e *editor) find(section string) (inidoc.Section, int, bool) {
	sections, _ := inidoc.Parse(e.bytes())
	for _, s := range sections {
		if s.Name != section {
			continue
		}
		end := s.Line
		if n := len(s.Entries); n > 0 {
			end = s.Entries[n-1].Line
		}
		return s, end, true
	}
	return inidoc.Section{}, 0, false
}

// setKey sets a key of a section. A missing key is inserted after the section header;
// a missing section is left alone.
func (e *editor) setKey(section, key, value string) {
	s, _, ok := e.find(section)
	if !ok {
		return
	}
	l := key + " = " + value
	if k, ok := s.Find(key); ok {
		e.lines[k.Line-1] = l
		return
	}
	e.lines = slices.Insert(e.lines, s.Line, l)
}

// removeSection deletes a section from its header to its last key. Comments around it stay.
func (e *editor) removeSection(section string) {
	s, end, ok := e.find(section)
	if !ok {
		return
	}
	e.lines = slices.Delete(e.lines, s.Line-1, end)
}
