package envdoc

import (
	"fmt"
	"slices"
	"strings"

	"tarragonvalve.example/core/ident"
)

// methods holds the HTTP methods that call rules may name.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

// The keywords of call rules, and their syntax for the message of a problem.
const (
	keywordNotRepeatable = "not-repeatable"
	keywordRepeatable    = "repeatable"
	keywordHedge         = "hedge"
	callRuleSyntax       = "METHOD /PATH not-repeatable, METHOD /PATH repeatable or METHOD /PATH repeatable hedge"
)

func (p *parser) service(r *reader, id ident.ServiceID) {
	s := &Service{ID: id, Price: r.money("price-micro-cents", false)}
	for _, t := range r.list("calls", true) {
		c, fault := parseCallRule(t)
		if fault != "" {
			r.reject("calls", t, fault, callRuleSyntax)
			continue
		}
		if o, ok := s.Rule(c.Method, c.PathPrefix); ok {
			r.reject("calls", t, fmt.Sprintf("never reached, since %s %s comes first", o.Method, o.PathPrefix), "longer paths before shorter ones")
			continue
		}
		s.Calls = append(s.Calls, c)
	}
	p.doc.Services[id] = s
}

// parseCallRule parses one rule. It returns the fault, or an empty text.
func parseCallRule(t string) (CallRule, string) {
	w := strings.Fields(t)
	if len(w) < 3 {
		return CallRule{}, "not a call rule"
	}
	c := CallRule{Method: w[0], PathPrefix: w[1]}
	if !slices.Contains(methods, c.Method) {
		return c, "unknown method"
	}
	if !strings.HasPrefix(c.PathPrefix, "/") || slices.Contains(strings.Split(c.PathPrefix, "/"), "..") || strings.ContainsAny(c.PathPrefix, "?%") {
		return c, "not a path"
	}
	switch rest := strings.Join(w[2:], " "); rest {
	case keywordNotRepeatable:
	case keywordRepeatable:
		c.Repeatable = true
	case keywordRepeatable + " " + keywordHedge:
		c.Repeatable = true
		c.Hedge = true
	case keywordNotRepeatable + " " + keywordHedge:
		return c, "a call that may not be repeated can not be hedged"
	default:
		return c, "not a call rule"
	}
	return c, ""
}

// Rule returns the first call rule that matches a method and the path after
// /v1/services/SERVICE, and false if none does. A prefix matches whole path
// segments: /runs matches /runs and /runs/7, but not /runsheet.
func (s *Service) Rule(method, path string) (CallRule, bool) {
	for _, c := range s.Calls {
		if c.Method == method && hasPathPrefix(path, c.PathPrefix) {
			return c, true
		}
	}
	return CallRule{}, false
}

// hasPathPrefix reports whether a path begins with the whole segments of a prefix.
func hasPathPrefix(path, prefix string) bool {
	r, ok := strings.CutPrefix(path, prefix)
	return ok && (r == "" || strings.HasSuffix(prefix, "/") || strings.HasPrefix(r, "/"))
}
