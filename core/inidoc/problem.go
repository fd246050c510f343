package inidoc

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of an INI text. Empty fields don't apply.
type Problem struct {
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Value   string `json:"value,omitempty"`
	// Line counts from 1; 0 means not known.
	Line int `json:"line,omitempty"`
	// Source names where the value comes from when it isn't the file, such as an environment variable.
	Source string `json:"source,omitempty"`
	// Fault says what is wrong.
	Fault string `json:"fault"`
	// Allowed says what would be accepted.
	Allowed string `json:"allowed,omitempty"`
}

// maxShownValue keeps one problem on one screen line.
const maxShownValue = 80

// String returns the problem on one line.
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
		fmt.Fprintf(&b, " = %q", shorten(p.Value))
	case p.Value != "":
		fmt.Fprintf(&b, "%q", shorten(p.Value))
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

func shorten(s string) string {
	r := []rune(s)
	if len(r) <= maxShownValue {
		return s
	}
	return string(r[:maxShownValue]) + "..."
}

// ProblemsError holds all problems of one text.
type ProblemsError struct {
	// Name names the text, such as a file path.
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

// NewProblemsError returns an error with the problems sorted by line, or nil without problems.
func NewProblemsError(what string, ps []Problem) error {
	if len(ps) == 0 {
		return nil
	}
	c := slices.Clone(ps)
	slices.SortStableFunc(c, func(a, b Problem) int { return a.Line - b.Line })
	return &ProblemsError{Name: what, Problems: c}
}
