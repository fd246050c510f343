// Package config reads the INI settings of a process.
//
// Environment variables named TARRAGONVALVE_SECTION_KEY override the file, and
// flags override both. Reading a value never fails at once: all faults are
// collected, and Err reports them together with the keys that the process doesn't
// support. A key is supported if the process has read it, even when it was missing.
package config

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"tarragonvalve.example/core/inidoc"
)

// Problem is a fault of the settings.
type Problem = inidoc.Problem

// ProblemsError holds all faults of the settings.
type ProblemsError = inidoc.ProblemsError

// EnvPrefix is the prefix of the environment variables that override settings.
const EnvPrefix = "TARRAGONVALVE_"

// redacted replaces values that may be secret in problems.
const redacted = "(not shown)"

// source is where a value comes from.
type source int

const (
	sourceFile source = iota
	sourceEnv
	sourceFlag
)

// value is a setting as it was written.
type value struct {
	text   string
	line   int // line in the file, from 1; 0 for other sources
	source source
	name   string // name of the environment variable or flag; empty for the file
}

// File holds the settings of a process from all sources. It is not safe for concurrent use.
type File struct {
	path     string
	sections map[string]*Section
	order    []string          // names of the sections in the order in which they were first seen
	env      map[string]string // variables with EnvPrefix
	problems []Problem
}

// Section is one section of the settings. The file may lack it.
type Section struct {
	file   *File
	name   string
	line   int
	inFile bool
	// requested holds the keys that the process has read; the empty key marks the section itself.
	requested map[string]bool
	// supportedKeys holds the keys that the process has read, sorted.
	supportedKeys []string
	values        map[string]value
}

// Read reads the settings file at path; an empty path means no file. The
// environment has the form of os.Environ. Flags map SECTION.KEY to a value.
// Read returns an error only if the file can't be read; Err reports faults of content.
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
		f.section(s).values[key] = value{text: v, source: sourceFlag, name: k}
	}
}

func (f *File) section(name string) *Section {
	s, ok := f.sections[name]
	if !ok {
		s = &Section{file: f, name: name, requested: map[string]bool{}, values: map[string]value{}}
		f.sections[name] = s
		f.order = append(f.order, name)
	}
	return s
}

// Section returns the section of a name and marks it as supported by the process.
func (f *File) Section(name string) *Section {
	s := f.section(name)
	s.requested[""] = true
	return s
}

// Sections returns the names of the file's sections that start with a prefix, in the
// order of the file.
func (f *File) Sections(prefix string) []string {
	var out []string
	for _, n := range f.order {
		if f.sections[n].inFile && strings.HasPrefix(n, prefix) {
			out = append(out, n)
		}
	}
	return out
}

// Reject records a problem that the caller found with the value of a setting.
func (f *File) Reject(section, key, fault, allowed string) {
	s := f.section(section)
	v, _ := s.find(key)
	s.reject(key, v, fault, allowed)
}

// Err returns a *ProblemsError with all faults found so far and all unsupported
// sections and keys, or nil. It is called after all settings were read.
func (f *File) Err() error {
	ps := slices.Clone(f.problems)
	for _, n := range f.order {
		ps = append(ps, f.sections[n].unknownSettings()...)
	}
	ps = append(ps, f.unknownEnv()...)
	name := "settings"
	if f.path != "" {
		name = "settings " + f.path
	}
	return inidoc.NewProblemsError(name, ps)
}

// unknownSettings returns a problem for a section that the process doesn't support,
// or one for each unsupported key. Values are redacted since a mistyped key may hold a secret.
func (s *Section) unknownSettings() []Problem {
	if !s.requested[""] {
		return []Problem{{Section: s.name, Line: s.line, Fault: "unknown section", Allowed: "sections " + s.file.supportedSections()}}
	}
	var ps []Problem
	for _, k := range sortedKeys(s.values) {
		if s.requested[k] {
			continue
		}
		v := s.values[k]
		p := s.problem(k, v, "unknown key", "keys "+strings.Join(s.supportedKeys, ", "))
		p.Value = redacted
		ps = append(ps, p)
	}
	return ps
}

// unknownEnv returns a problem for each variable with an unsupported key of a supported
// section. Variables of other sections may be meant for another program in the same
// environment.
func (f *File) unknownEnv() []Problem {
	var ps []Problem
	for _, k := range sortedKeys(f.env) {
		var section *Section
		known := false
		for _, n := range f.order {
			s := f.sections[n]
			if !s.requested[""] || !strings.HasPrefix(k, envVarName(n, "")) {
				continue
			}
			section = s
			known = known || slices.ContainsFunc(s.supportedKeys, func(key string) bool { return envVarName(n, key) == k })
		}
		if section != nil && !known {
			ps = append(ps, Problem{Source: "environment variable " + k, Section: section.name, Fault: "unknown key", Allowed: "keys " + strings.Join(section.supportedKeys, ", ")})
		}
	}
	return ps
}

func (f *File) supportedSections() string {
	var out []string
	for _, n := range f.order {
		if f.sections[n].requested[""] {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// envVarName returns the name of the environment variable that overrides a setting.
func envVarName(section, key string) string {
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

// IsProblems reports whether err is or wraps a *ProblemsError.
func IsProblems(err error) bool {
	var e *ProblemsError
	return errors.As(err, &e)
}
