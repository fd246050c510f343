package check

import (
	"fmt"
	"strings"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/routes"
)

// Routing is a configuration of routers.
type Routing struct {
	name     string
	document *routes.Document
	lines    routes.Lines
	// services holds the index of each service in the text, the last one of a name.
	services map[ident.ServiceID]int
	// byID holds the indexes of the accounts of each name.
	byID map[ident.AccountID][]int
}

// NewRouting returns a configuration that a decoder accepted. The document is indexed.
func NewRouting(file string, d *routes.Document, l routes.Lines) *Routing {
	r := &Routing{name: file, document: d, lines: l, services: map[ident.ServiceID]int{}, byID: map[ident.AccountID][]int{}}
	for i := range d.Accounts {
		r.byID[d.Accounts[i].ID] = append(r.byID[d.Accounts[i].ID], i)
	}
	for i, s := range l.Services {
		r.services[s.ID] = i
	}
	return r
}

func (c *Routing) file() string { return c.name }

func (c *Routing) line(n int) Position {
	return Position{File: c.name, Line: n}
}

// item returns the position of an item of a list.
func (c *Routing) item(lines []int, i int) Position {
	if i >= len(lines) {
		return c.line(0)
	}
	return c.line(lines[i])
}

// service returns the position of a service, the last one of its name.
func (c *Routing) service(id ident.ServiceID) Position {
	i, ok := c.services[id]
	if !ok {
		return c.line(0)
	}
	return c.line(c.lines.Services[i].Line)
}

// IDs of findings in configurations of routers. unused-service is shared with environment
// documents.
const (
	idHiddenRoute           ID = "hidden-route"
	idUnmatchedPrefix       ID = "unmatched-prefix"
	idRouteWithoutService   ID = "route-without-service"
	idRouteWithoutAccount   ID = "route-without-account"
	idUnknownService        ID = "unknown-service"
	idHiddenService         ID = "hidden-service"
	idUnknownModel          ID = "unknown-model"
	idAccountWithoutKey     ID = "account-without-key"
	idHiddenKey             ID = "hidden-key"
	idObjectiveAboveTimeout ID = "objective-above-timeout"
	idPauseAboveTimeout     ID = "pause-above-timeout"
)

// match is what a request must have for a route: the routes of equal ones hide each other.
type match struct{ host, prefix string }

func (m match) String() string {
	return fmt.Sprintf("host %s, prefix %s", quote(m.host), quote(m.prefix))
}

func matchOf(x *routes.Route) match {
	return match{host: x.Host, prefix: x.Prefix}
}

// check implements Config.
func (c *Routing) check(r *Report) {
	c.checkAccounts(r)
	c.checkServices(r)
	c.checkModels(r)
	anyKey := c.hasKey()
	first := map[match]*routes.Route{}
	for i := range c.document.Routes {
		x := &c.document.Routes[i]
		at := c.item(c.lines.Routes, i)
		warn := func(id ID, format string, args ...any) {
			r.add(Finding{ID: id, Severity: Warning, Position: at, Text: "route " + quote(x.ID) + " " + fmt.Sprintf(format, args...)})
		}
		if o, ok := first[matchOf(x)]; ok {
			warn(idHiddenRoute, "never matches, since route %s comes first with the same host and prefix", quote(o.ID))
			continue
		}
		first[matchOf(x)] = x
		// The target of an OPTIONS request may be "*".
		if x.Prefix != "" && x.Prefix != "*" && !strings.HasPrefix(x.Prefix, "/") {
			warn(idUnmatchedPrefix, "never matches, since no path begins with %s", quote(x.Prefix))
		}
		if _, ok := x.PickService(0); !ok {
			warn(idRouteWithoutService, "has no service with a weight above 0, so each request is refused")
		}
		if c.document.RequiresKey(x) && !anyKey {
			warn(idRouteWithoutAccount, "needs a key, and no account has one")
		}
		if x.Timeout > 0 && x.Objective > x.Timeout {
			warn(idObjectiveAboveTimeout, "has a target of %s for its latency above its time-out of %s", x.Objective, x.Timeout)
		}
		if x.Timeout > 0 && x.MaxPause > x.Timeout {
			warn(idPauseAboveTimeout, "has a target of %s for pauses above its time-out of %s", x.MaxPause, x.Timeout)
		}
	}
}

// hasKey reports whether any account can be selected by a key.
func (c *Routing) hasKey() bool {
	for i := range c.document.Accounts {
		for _, k := range c.document.Accounts[i].Keys {
			if k != "" {
				return true
			}
		}
	}
	return false
}

// checkAccounts reports accounts without a key, and those whose key selects a later account.
// Keys are secret, so that findings don't state them.
func (c *Routing) checkAccounts(r *Report) {
	for i := range c.document.Accounts {
		a := &c.document.Accounts[i]
		usable, hidden := false, false
		for _, k := range a.Keys {
			o, ok := c.document.Account(k)
			if !ok {
				// The empty key selects no account.
				continue
			}
			if o == a {
				usable = true
				continue
			}
			if !hidden {
				r.add(Finding{
					ID: idHiddenKey, Severity: Warning, Position: c.item(c.lines.Accounts, i),
					Text: fmt.Sprintf("a key of account %s selects the later account %s", quote(a.ID), quote(o.ID)),
				})
			}
			hidden = true
		}
		if !usable && !hidden {
			r.add(Finding{
				ID: idAccountWithoutKey, Severity: Warning, Position: c.item(c.lines.Accounts, i),
				Text: fmt.Sprintf("account %s has no key, so no request runs under it", quote(a.ID)),
			})
		}
	}
}

// checkServices reports services that don't exist, that no route names, and that a later
// one of the same name replaces.
func (c *Routing) checkServices(r *Report) {
	used := map[ident.ServiceID]bool{}
	for i := range c.document.Routes {
		x := &c.document.Routes[i]
		for _, w := range x.Services {
			used[w.Service] = used[w.Service] || w.Weight > 0
			if _, ok := c.document.Services[w.Service]; ok || w.Weight <= 0 {
				continue
			}
			r.add(Finding{
				ID: idUnknownService, Severity: Warning, Position: c.item(c.lines.Routes, i),
				Text: fmt.Sprintf("route %s names service %s, which the configuration doesn't have; routers take it for a plain service without limits", quote(x.ID), quote(w.Service)),
			})
		}
	}
	for i, s := range c.lines.Services {
		switch {
		case c.services[s.ID] != i:
			r.add(Finding{
				ID: idHiddenService, Severity: Warning, Position: c.line(s.Line),
				Text: fmt.Sprintf("service %s is replaced by the one of the same name on line %d", quote(s.ID), c.service(s.ID).Line),
			})
		case !used[s.ID]:
			r.add(Finding{
				ID: idUnusedService, Severity: Warning, Position: c.line(s.Line),
				Text: fmt.Sprintf("no route sends requests to service %s", quote(s.ID)),
			})
		}
	}
}

// checkModels reports the models of routes that none of the route's services has.
func (c *Routing) checkModels(r *Report) {
	for i := range c.document.Routes {
		x := &c.document.Routes[i]
		for _, m := range x.Models {
			if c.serves(x, m) {
				continue
			}
			r.add(Finding{
				ID: idUnknownModel, Severity: Warning, Position: c.item(c.lines.Routes, i),
				Text: fmt.Sprintf("route %s names model %s, which none of its services has", quote(x.ID), quote(m)),
			})
		}
	}
}

// serves reports whether a service of the route that gets requests has a model. An unknown
// service counts as having it, since its absence is a finding of its own.
func (c *Routing) serves(x *routes.Route, m ident.ModelID) bool {
	for _, w := range x.Services {
		if w.Weight <= 0 {
			continue
		}
		s, ok := c.document.Services[w.Service]
		if !ok {
			return true
		}
		if _, ok := s.Prices[m]; ok {
			return true
		}
	}
	return false
}
