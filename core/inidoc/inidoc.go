// Package inidoc parses INI texts with gopkg.in/ini.v1 and adds what that library
// lacks: the line of each section and key, the detection of duplicates, and a report
// of all syntax errors at once.
//
// The accepted syntax is a strict subset: sections in brackets, "key = value" on
// one line, and comments on lines of their own. Multi-line values, continuation
// lines, interpolation and inheritance between sections are not supported, so that
// each text has only one interpretation.
package inidoc

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// Entry is a key of a section with its value.
type Entry struct {
	Key   string
	Value string
	// Line counts from 1.
	Line int
}

// Section is a section of an INI text.
type Section struct {
	Name string
	// Line is the line of the header, from 1.
	Line int
	// Entries are in the order of the text.
	Entries []Entry
}

// Find returns the entry with a key, and false if there is none.
func (s *Section) Find(key string) (Entry, bool) {
	for _, e := range s.Entries {
		if e.Key == key {
			return e, true
		}
	}
	return Entry{}, false
}

// Parse parses an INI text and returns its sections in order. If there are problems of
// syntax, it returns all of them along with the sections found so far, whose values
// are empty. A text that is not printable UTF-8 has no sections and one problem.
func Parse(body []byte) ([]Section, []Problem) {
	if ps := checkEncoding(body); len(ps) > 0 {
		return nil, ps
	}
	sections, ps := scan(string(body))
	if len(ps) > 0 {
		return sections, ps
	}
	if err := readValues(sections, body); err != nil {
		return sections, []Problem{{Fault: err.Error(), Allowed: "INI text"}}
	}
	return sections, nil
}

// checkEncoding returns a problem if the text is not UTF-8 or holds a control character
// other than tab, carriage return and line feed, or a byte order mark.
func checkEncoding(body []byte) []Problem {
	if !utf8.Valid(body) {
		return []Problem{{Fault: "the text is not valid UTF-8", Allowed: "UTF-8 text"}}
	}
	line := 1
	for _, r := range string(body) {
		switch {
		case r == '\n':
			line++
		case r == '\t' || r == '\r':
		case unicode.IsControl(r), r == '\uFEFF':
			return []Problem{{Line: line, Fault: fmt.Sprintf("the text holds the control character %U", r), Allowed: "printable UTF-8 text"}}
		}
	}
	return nil
}

// scan returns the sections and keys with their lines, and all problems of syntax. It
// leaves the values empty, which readValues sets.
func scan(text string) ([]Section, []Problem) {
	var out []Section
	var ps []Problem
	seen := map[string]int{}
	keys := map[string]int{}
	for i, raw := range strings.Split(text, "\n") {
		n := i + 1
		l := strings.TrimSpace(raw)
		switch {
		case l == "" || l[0] == '#' || l[0] == ';':
		case l[0] == '[':
			name, ok := parseSectionName(l)
			if !ok {
				ps = append(ps, Problem{Line: n, Value: l, Fault: "not a section header", Allowed: "[NAME]"})
			}
			if first, dup := seen[name]; dup && ok {
				ps = append(ps, Problem{Section: name, Line: n, Fault: fmt.Sprintf("duplicate section, first on line %d", first), Allowed: "each section once"})
			}
			seen[name] = n
			keys = map[string]int{}
			out = append(out, Section{Name: name, Line: n})
		default:
			e, p := scanEntry(l, n)
			if len(out) == 0 {
				ps = append(ps, Problem{Line: n, Value: l, Fault: "text before the first section", Allowed: "[NAME]"})
				continue
			}
			s := &out[len(out)-1]
			if p != nil {
				p.Section = s.Name
				ps = append(ps, *p)
				continue
			}
			if first, dup := keys[e.Key]; dup {
				ps = append(ps, Problem{Section: s.Name, Key: e.Key, Line: n, Fault: fmt.Sprintf("duplicate key, first on line %d", first), Allowed: "each key once in a section"})
				continue
			}
			keys[e.Key] = n
			s.Entries = append(s.Entries, e)
		}
	}
	return out, ps
}

// parseSectionName parses a section header. It returns the header itself and false for
// an invalid one. The name of the ini library's default section is not allowed.
func parseSectionName(l string) (string, bool) {
	if !strings.HasSuffix(l, "]") {
		return l, false
	}
	n := strings.TrimSpace(l[1 : len(l)-1])
	return n, n != "" && !strings.ContainsAny(n, "[]\"`") && n != ini.DefaultSection
}

// scanEntry checks a line that holds a key and a value, and returns the entry without
// its value.
func scanEntry(l string, n int) (Entry, *Problem) {
	k, v, ok := strings.Cut(l, "=")
	if !ok {
		return Entry{}, &Problem{Line: n, Value: l, Fault: "not a key with a value", Allowed: "KEY = VALUE"}
	}
	k, v = strings.TrimSpace(k), strings.TrimSpace(v)
	if !validKey(k) {
		return Entry{}, &Problem{Line: n, Key: k, Fault: "not a key", Allowed: "lower-case letters, digits and hyphens, starting with a letter"}
	}
	if strings.ContainsAny(v, "`\"\\'") {
		return Entry{}, &Problem{Line: n, Key: k, Value: v, Fault: "quotes and backslashes are not supported", Allowed: "a plain value on one line"}
	}
	if strings.ContainsAny(v, "#;") {
		return Entry{}, &Problem{Line: n, Key: k, Value: v, Fault: "a comment must take a line of its own", Allowed: "a plain value without # or ;"}
	}
	return Entry{Key: k, Line: n}, nil
}

func validKey(k string) bool {
	if k == "" || k[0] < 'a' || k[0] > 'z' {
		return false
	}
	for _, r := range k {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}

// readValues sets the values of all entries with the ini library. The scan has already
// rejected duplicates, so names identify sections and keys.
func readValues(sections []Section, body []byte) error {
	f, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:    true,
		IgnoreInlineComment:   true,
		KeyValueDelimiters:    "=",
		ChildSectionDelimiter: "\x00",
	}, body)
	if err != nil {
		return fmt.Errorf("parse INI text: %w", err)
	}
	for i := range sections {
		s := &sections[i]
		if !f.HasSection(s.Name) {
			return fmt.Errorf("parse INI text: section [%s] was not read", s.Name)
		}
		k := f.Section(s.Name)
		for j := range s.Entries {
			e := &s.Entries[j]
			if !k.HasKey(e.Key) {
				return fmt.Errorf("parse INI text: key %s of section [%s] was not read", e.Key, s.Name)
			}
			e.Value = k.Key(e.Key).Value()
		}
	}
	return nil
}
