package inidoc

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is a fault of an INI text. Empty fields don't apply.
type Problem struct {
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Value   string `json:"value,omitempty"`
	// Line counts from 1; 0 means that the line is not known.
	Line int `json:"line,omitempty"`
	// Source names the origin of a value that isn't from the file, such as an environment variable.
	Source string `json:"source,omitempty"`
	// Fault says what is wrong.
	Fault string `json:"fault"`
	// Allowed says what would be accepted.
	Allowed string `json:"allowed,omitempty"`
}

// maxValueRunes limits the length of a printed value, so that a problem stays short
// enough for one line.
const maxValueRunes = 80

// String returns the problem on one line; long values are truncated.
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Source != "" {
		fmt.Fprintf(&b, "%s: ", p.Source)
	}
	if p.Section != "" {
		fmt.Fprintf(&b, "[%s] ", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, "%s", p.Key)
	}
	switch {
	case p.Value != "" && p.Key != "":
		fmt.Fprintf(&b, " = %q", truncateValue(p.Value))
	case p.Value != "":
		fmt.Fprintf(&b, "%q", truncateValue(p.Value))
	}
	if p.Key != "" || p.Value != "" {
		b.WriteString(": ")
	}
	b.WriteString(p.Fault)
	if p.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", p.Allowed)
	}
	return b.String()
}

func truncateValue(s string) string {
	r := []rune(s)
	if len(r) <= maxValueRunes {
		return s
	}
	return string(r[:maxValueRunes]) + "..."
}

// ProblemsError reports all problems of one text.
type ProblemsError struct {
	// Name identifies the text, for example by a file path.
	Name     string
	Problems []Problem
}

func (e *ProblemsError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d problem(s)", e.Name, len(e.Problems))
	for _, p := range e.Problems {
		fmt.Fprintf(&b, "\n  %s", p)
	}
	return b.String()
}

// NewProblemsError returns a *ProblemsError with the problems sorted by line, or nil if
// there are none.
func NewProblemsError(what string, ps []Problem) error {
	if len(ps) == 0 {
		return nil
	}
	c := slices.Clone(ps)
	slices.SortStableFunc(c, func(a, b Problem) int { return a.Line - b.Line })
	return &ProblemsError{Name: what, Problems: c}
}
