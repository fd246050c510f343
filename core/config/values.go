package config

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// find returns the value of a key and marks the key as supported. A flag overrides an
// environment variable, which overrides the file.
func (s *Section) find(key string) (value, bool) {
	if !s.requested[key] {
		s.requested[key] = true
		s.supportedKeys = append(s.supportedKeys, key)
		slices.Sort(s.supportedKeys)
	}
	v, ok := s.values[key]
	if ok && v.source == sourceFlag {
		return v, true
	}
	n := envVarName(s.name, key)
	if t, set := s.file.env[n]; set {
		return value{text: t, source: sourceEnv, name: n}, true
	}
	return v, ok
}

// problem returns a problem with a value; a value that may be secret is redacted.
func (s *Section) problem(key string, v value, fault, allowed string) Problem {
	p := Problem{Section: s.name, Key: key, Value: v.text, Line: v.line, Fault: fault, Allowed: allowed}
	if secretKey(key) && p.Value != "" {
		p.Value = redacted
	}
	switch v.source {
	case sourceFile:
	case sourceEnv:
		p.Source = "environment variable " + v.name
	case sourceFlag:
		p.Source = "flag " + v.name
	}
	return p
}

func (s *Section) reject(key string, v value, fault, allowed string) {
	s.file.problems = append(s.file.problems, s.problem(key, v, fault, allowed))
}

// secretKey reports whether the value of a key may be secret, by words in the key.
func secretKey(key string) bool {
	for _, w := range []string{"key", "secret", "token", "password"} {
		if strings.Contains(key, w) {
			return true
		}
	}
	return false
}

// Text returns a text setting, or the fallback if it is missing.
func (s *Section) Text(key, fallback string) string {
	v, ok := s.find(key)
	if !ok {
		return fallback
	}
	return v.text
}

// Required returns a text setting. It records a problem if the setting is missing or empty.
func (s *Section) Required(key string) string {
	v, ok := s.find(key)
	if !ok || v.text == "" {
		v.line = max(v.line, s.line)
		s.reject(key, v, "missing", "a value")
	}
	return v.text
}

// Choice returns a setting that is one of the options. It returns the fallback for a
// missing setting and, after recording a problem, for any other value.
func (s *Section) Choice(key, fallback string, options ...string) string {
	v, ok := s.find(key)
	if !ok {
		return fallback
	}
	if !slices.Contains(options, v.text) {
		s.reject(key, v, "not one of the options", strings.Join(options, ", "))
		return fallback
	}
	return v.text
}

// Duration returns a duration of at least zero in the form of time.ParseDuration, such
// as 150ms. It returns the fallback for a missing or, after recording a problem, an
// invalid value.
func (s *Section) Duration(key string, fallback time.Duration) time.Duration {
	v, ok := s.find(key)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(v.text)
	if err != nil || d < 0 {
		s.reject(key, v, "not a duration", "a duration of at least 0, such as 150ms, 2s or 10m")
		return fallback
	}
	return d
}

// Int returns an integer. It returns the fallback for a missing or, after recording a
// problem, an invalid value.
func (s *Section) Int(key string, fallback int) int {
	v, ok := s.find(key)
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(v.text)
	if err != nil {
		s.reject(key, v, "not a whole number", "a whole number, such as 100")
		return fallback
	}
	return n
}

// IntIn returns an integer from low to high, both included. It returns the fallback for
// a missing or, after recording a problem, an invalid value.
func (s *Section) IntIn(key string, fallback, low, high int) int {
	v, ok := s.find(key)
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(v.text)
	if err != nil || n < low || n > high {
		s.reject(key, v, "not a whole number in range", "a whole number from "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
		return fallback
	}
	return n
}

// Float returns a finite number. It returns the fallback for a missing or, after
// recording a problem, an invalid value.
func (s *Section) Float(key string, fallback float64) float64 {
	v, ok := s.find(key)
	if !ok {
		return fallback
	}
	f, err := strconv.ParseFloat(v.text, 64)
	if err != nil || f != f || f-f != 0 {
		s.reject(key, v, "not a number", "a number, such as 0.25")
		return fallback
	}
	return f
}

// Bool returns true for the value yes and false for no. It returns the fallback for a
// missing or, after recording a problem, any other value.
func (s *Section) Bool(key string, fallback bool) bool {
	v, ok := s.find(key)
	if !ok {
		return fallback
	}
	switch v.text {
	case "yes":
		return true
	case "no":
		return false
	default:
		s.reject(key, v, "not yes or no", "yes, no")
		return fallback
	}
}

// List returns the items of a comma-separated list without empty ones, or the fallback
// if the setting is missing.
func (s *Section) List(key string, fallback []string) []string {
	v, ok := s.find(key)
	if !ok {
		return fallback
	}
	var out []string
	for p := range strings.SplitSeq(v.text, ",") {
		if t := strings.TrimSpace(p); t != "" {
			out = append(out, t)
		}
	}
	return out
}

// Addr returns an address of the form IP:PORT. It returns the fallback for a missing
// or, after recording a problem, an invalid value. Host names are invalid since the
// platform has no name service that the system may depend on.
func (s *Section) Addr(key, fallback string) string {
	v, ok := s.find(key)
	if !ok {
		return fallback
	}
	if _, err := netip.ParseAddrPort(v.text); err != nil {
		s.reject(key, v, "not an address", "IP:PORT, such as 127.0.0.1:8080 or [::1]:8080; port 0 lets the system choose")
		return fallback
	}
	return v.text
}

// Keys returns the keys of the section that start with a prefix, sorted, from all
// sources. The key of an environment variable is the rest of its name in lower case,
// with hyphens for underscores.
func (s *Section) Keys(prefix string) []string {
	set := map[string]bool{}
	for k := range s.values {
		set[k] = true
	}
	start := envVarName(s.name, "")
	for k := range s.file.env {
		if r, ok := strings.CutPrefix(k, start); ok {
			set[strings.ReplaceAll(strings.ToLower(r), "_", "-")] = true
		}
	}
	var out []string
	for _, k := range sortedKeys(set) {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	return out
}
