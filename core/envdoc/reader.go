package envdoc

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/inidoc"
)

// reader reads the values of one section's keys and reports their problems to the
// parser. Its methods return the fallback for a missing key.
type reader struct {
	parser  *parser
	section *inidoc.Section
	// requested holds the keys that were read; all others are unknown keys.
	requested map[string]bool
}

func (r *reader) reject(key, value, fault, allowed string) {
	r.parser.reject(r.section.Name, key, value, fault, allowed)
}

// rejectUnknownKeys reports the keys of the section that were not read. It is called last.
func (r *reader) rejectUnknownKeys() {
	known := make([]string, 0, len(r.requested))
	for k := range r.requested {
		known = append(known, k)
	}
	slices.Sort(known)
	for _, e := range r.section.Entries {
		if !r.requested[e.Key] {
			allowed := "no keys"
			if len(known) > 0 {
				allowed = "keys " + strings.Join(known, ", ")
			}
			r.reject(e.Key, e.Value, "unknown key", allowed)
		}
	}
}

func (r *reader) find(key string) (string, bool) {
	r.requested[key] = true
	e, ok := r.section.Find(key)
	return e.Value, ok
}

func (r *reader) raw(key string) string {
	v, _ := r.find(key)
	return v
}

func (r *reader) text(key, fallback string) string {
	v, ok := r.find(key)
	if !ok {
		return fallback
	}
	if v == "" {
		r.reject(key, "", "empty value", "a value, or no such key")
	}
	return v
}

func (r *reader) required(key string) string {
	v, ok := r.find(key)
	if !ok || v == "" {
		r.reject(key, "", "missing", "a value")
	}
	return v
}

func (r *reader) id(key string) string {
	v := r.required(key)
	if v != "" && !validID(v) {
		r.reject(key, v, "not an id", idSyntax)
	}
	return v
}

// ref reads an optional version reference; it returns the zero value if the key is missing.
func (r *reader) ref(key string) ident.VersionRef {
	t := r.text(key, "")
	if t == "" {
		return ident.VersionRef{}
	}
	v, err := ident.ParseRef(t)
	if err != nil {
		r.reject(key, t, "not a version", "MODEL@VERSION")
	}
	return v
}

func (r *reader) choice(key, fallback string, options ...string) string {
	v, ok := r.find(key)
	if !ok {
		return fallback
	}
	if !slices.Contains(options, v) {
		r.reject(key, v, "not one of the options", strings.Join(options, ", "))
	}
	return v
}

func (r *reader) yesNo(key string, fallback bool) bool {
	d := "no"
	if fallback {
		d = "yes"
	}
	return r.choice(key, d, "yes", "no") == "yes"
}

func (r *reader) number(key string, fallback, low, high float64) float64 {
	v, ok := r.find(key)
	if !ok {
		return fallback
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || f < low || f > high {
		r.reject(key, v, "not a number in range", fmt.Sprintf("a number from %g to %g", low, high))
		return fallback
	}
	return f
}

func (r *reader) integer(key string, fallback, low, high int) int {
	v, ok := r.find(key)
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		r.reject(key, v, "not a whole number in range", fmt.Sprintf("a whole number from %d to %d", low, high))
		return fallback
	}
	return n
}

// maxListItems limits the length of a list, since some checks compare all pairs of its items.
const maxListItems = 1000

// maxPrice is the maximum price of a token or a call in micro-cents. It keeps the
// price of the largest answer within 64 bits.
const maxPrice = 1_000_000_000

// money reads a price of at most maxPrice. A missing optional price is 0.
func (r *reader) money(key string, required bool) ident.MicroCents {
	if _, ok := r.find(key); !ok && required {
		r.reject(key, "", "missing", "a price in millionths of a cent")
		return 0
	}
	return ident.MicroCents(r.integer(key, 0, 0, maxPrice))
}

// duration reads a required duration of at least minStepTime.
func (r *reader) duration(key string) time.Duration {
	v := r.required(key)
	if v == "" {
		return 0
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < minStepTime {
		r.reject(key, v, "not a duration", "a duration of at least "+minStepTime.String()+", such as 30s or 10m")
		return 0
	}
	return d
}

// list reads a comma-separated list of at most maxListItems and reports empty and
// repeated items.
func (r *reader) list(key string, required bool) []string {
	v, ok := r.find(key)
	if !ok {
		if required {
			r.reject(key, "", "missing", "a comma-separated list")
		}
		return nil
	}
	var out []string
	seen := map[string]bool{}
	for p := range strings.SplitSeq(v, ",") {
		t := strings.TrimSpace(p)
		switch {
		case t == "":
			r.reject(key, v, "an empty part of the list", "a comma-separated list")
		case seen[t]:
			r.reject(key, t, "a repeated part of the list", "each part once")
		default:
			seen[t] = true
			out = append(out, t)
		}
	}
	if len(out) > maxListItems {
		r.reject(key, "", fmt.Sprintf("a list of %d parts", len(out)), fmt.Sprintf("at most %d parts", maxListItems))
		return nil
	}
	return out
}
