// Package config reads the INI settings of a process.
//
// Environment variables named TARRAGONVALVE_SECTION_KEY override the file, and
// flags override both. Reading a value never fails at once: every fault is
// collected and Err reports all of them, including keys that no one asked for.
package config

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"tarragonvalve.example/core/inidoc"
)

// Problem is one fault of the settings.
type Problem = inidoc.Problem

// ProblemsError holds all faults of the settings.
type ProblemsError = inidoc.ProblemsError

// EnvPrefix starts the name of every environment variable that overrides a setting.
const EnvPrefix = "TARRAGONVALVE_"

// redacted stands in problems for values that may be secret.
const redacted = "(not shown)"

type source int

const (
	sourceFile source = iota
	sourceEnv
	sourceFlag
)

type value struct {
	text string
	line int
	from source
	name string // name of the environment variable or flag
}

// File holds the settings of a process. It is used by one goroutine.
type File struct {
	path     string
	sections map[string]*Section
	order    []string
	env      map[string]string
	problems []Problem
}

// Section is one section of the settings. It exists even if the file lacks it.
type Section struct {
	file   *File
	name   string
	line   int
	inFile bool
	asked  map[string]bool
	// known holds the keys that the process supports.
	known  []string
	values map[string]value
}

// Read reads the settings file at path; an empty path means no file. The
// environment has the form of os.Environ. Flags map "section.key" to a value.
// It fails only when the file can't be read; faults of content are kept for Err.
func Read(path string, env []string, flags map[string]string) (*File, error) {
	f := &File{path: path, sections: map[string]*Section{}, env: map[string]string{}}
	if path != "" {
		body, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("read settings: %w", err)
		}
		f.addFile(body)
	}
	f.addEnv(env)
	f.addFlags(flags)
	return f, nil
}

func (f *File) addFile(body []byte) {
	sections, ps := inidoc.Parse(body)
	f.problems = append(f.problems, ps...)
	if len(ps) > 0 {
		return
	}
	for _, s := range sections {
		t := f.section(s.Name)
		t.line = s.Line
		t.inFile = true
		for _, e := range s.Entries {
			t.values[e.Key] = value{text: e.Value, line: e.Line}
		}
	}
}

func (f *File) addEnv(env []string) {
	for _, e := range env {
		k, v, ok := strings.Cut(e, "=")
		if ok && strings.HasPrefix(k, EnvPrefix) {
			f.env[k] = v
		}
	}
}

func (f *File) addFlags(flags map[string]string) {
	for k, v := range flags {
		s, key, ok := strings.Cut(k, ".")
		if !ok || s == "" || key == "" {
			f.problems = append(f.problems, Problem{Source: "flag", Value: k, Fault: "not a setting", Allowed: "SECTION.KEY"})
			continue
		}
		f.section(s).values[key] = value{text: v, from: sourceFlag, name: k}
	}
}

func (f *File) section(name string) *Section {
	s, ok := f.sections[name]
	if !ok {
		s = &Section{file: f, name: name, asked: map[string]bool{}, values: map[string]value{}}
		f.sections[name] = s
		f.order = append(f.order, name)
	}
	return s
}

// Section returns a section and marks it as known.
func (f *File) Section(name string) *Section {
	s := f.section(name)
	s.asked[""] = true
	return s
}

// Sections returns the names of the sections of the file that start with a prefix.
func (f *File) Sections(prefix string) []string {
	var out []string
	for _, n := range f.order {
		if f.sections[n].inFile && strings.HasPrefix(n, prefix) {
			out = append(out, n)
		}
	}
	return out
}

// Reject records a problem found by the caller with a value that was read.
func (f *File) Reject(section, key, fault, allowed string) {
	s := f.section(section)
	v, _ := s.find(key)
	s.reject(key, v, fault, allowed)
}

// Err returns a *ProblemsError with every fault found so far and every key that
// nothing asked for, or nil. It is called after all settings were read.
func (f *File) Err() error {
	ps := slices.Clone(f.problems)
	for _, n := range f.order {
		ps = append(ps, f.sections[n].unknown()...)
	}
	ps = append(ps, f.unknownEnv()...)
	what := "settings"
	if f.path != "" {
		what = "settings " + f.path
	}
	return inidoc.NewProblemsError(what, ps)
}

func (s *Section) unknown() []Problem {
	if !s.asked[""] {
		return []Problem{{Section: s.name, Line: s.line, Fault: "unknown section", Allowed: "sections " + s.file.knownSections()}}
	}
	var ps []Problem
	for _, k := range sortedKeys(s.values) {
		if s.asked[k] {
			continue
		}
		v := s.values[k]
		p := s.problem(k, v, "unknown key", "keys "+strings.Join(s.known, ", "))
		p.Value = redacted
		ps = append(ps, p)
	}
	return ps
}

// unknownEnv reports variables of a known section with an unknown key. Variables
// of other sections may belong to another program of the same environment.
func (f *File) unknownEnv() []Problem {
	var ps []Problem
	for _, k := range sortedKeys(f.env) {
		var owner *Section
		known := false
		for _, n := range f.order {
			s := f.sections[n]
			if !s.asked[""] || !strings.HasPrefix(k, envName(n, "")) {
				continue
			}
			owner = s
			known = known || slices.ContainsFunc(s.known, func(key string) bool { return envName(n, key) == k })
		}
		if owner != nil && !known {
			ps = append(ps, Problem{Source: "environment variable " + k, Section: owner.name, Fault: "unknown key", Allowed: "keys " + strings.Join(owner.known, ", ")})
		}
	}
	return ps
}

func (f *File) knownSections() string {
	var out []string
	for _, n := range f.order {
		if f.sections[n].asked[""] {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

func envName(section, key string) string {
	r := strings.NewReplacer("-", "_", " ", "_", ".", "_")
	return EnvPrefix + strings.ToUpper(r.Replace(section+"_"+key))
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// IsProblems reports whether err holds a *ProblemsError.
func IsProblems(err error) bool {
	var e *ProblemsError
	return errors.As(err, &e)
}
