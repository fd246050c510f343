package check

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/routes"
)

// IDs of differences between configurations of routers.
const (
	idStaleVersion     ID = "stale-version"
	idRouteAdded       ID = "route-added"
	idRouteRemoved     ID = "route-removed"
	idRouteMoved       ID = "route-moved"
	idServiceAdded     ID = "service-added"
	idServiceRemoved   ID = "service-removed"
	idKeysRequired     ID = "keys-required"
	idKeysNotRequired  ID = "keys-not-required"
	idRunsMayRepeat    ID = "runs-may-repeat"
	idRunsMayNotRepeat ID = "runs-may-not-repeat"
)

// routingDiff compares two configurations of routers.
type routingDiff struct {
	*Report
	before, after *Routing
}

// compare implements Config.
func (c *Routing) compare(before Config, r *Report) bool {
	b, ok := before.(*Routing)
	if !ok {
		return false
	}
	d := &routingDiff{Report: r, before: b, after: c}
	d.routes()
	d.services()
	d.accounts()
	d.limits()
	if r.Differences > 0 && c.document.Generation <= b.document.Generation {
		r.add(Finding{
			ID: idStaleVersion, Severity: Error, Position: c.line(c.lines.Version),
			Text: fmt.Sprintf("routers ignore the configuration, since its version %d is not above %d, the one in force", c.document.Generation, b.document.Generation),
		})
	}
	return true
}

func (d *routingDiff) report(id ID, at Position, format string, args ...any) {
	d.add(Finding{ID: id, Severity: Difference, Position: at, Text: fmt.Sprintf(format, args...)})
}

// value reports a value that differs.
func value[T comparable](d *routingDiff, at Position, subject, name string, before, after T) {
	if before != after {
		d.report(idValueChanged, at, "%s: %s from %v to %v", subject, name, before, after)
	}
}

// effective returns the index of each route that can match: the first of each host and prefix.
func (c *Routing) effective() map[match]int {
	out := map[match]int{}
	for i := range c.document.Routes {
		m := matchOf(&c.document.Routes[i])
		if _, ok := out[m]; !ok {
			out[m] = i
		}
	}
	return out
}

// routes compares the routes by host and prefix, so that names and the order don't matter.
func (d *routingDiff) routes() {
	before, after := d.before.effective(), d.after.effective()
	for i := range d.after.document.Routes {
		x := &d.after.document.Routes[i]
		m := matchOf(x)
		if after[m] != i {
			continue
		}
		at := d.after.item(d.after.lines.Routes, i)
		j, ok := before[m]
		if !ok {
			d.report(idRouteAdded, at, "route %s is added for %s; %s", quote(x.ID), m, d.otherwise(d.before, m, "its requests were refused", "route %s took its requests"))
			continue
		}
		d.route(&d.before.document.Routes[j], x, at)
	}
	for j := range d.before.document.Routes {
		x := &d.before.document.Routes[j]
		m := matchOf(x)
		if _, ok := after[m]; ok || before[m] != j {
			continue
		}
		d.report(idRouteRemoved, d.before.item(d.before.lines.Routes, j), "route %s for %s is removed; %s", quote(x.ID), m,
			d.otherwise(d.after, m, "its requests are refused", "route %s takes its requests"))
	}
}

// otherwise says what a configuration without a route for m does with its requests. It
// searches only for findings that are kept, since each search takes the time of all routes.
func (d *routingDiff) otherwise(c *Routing, m match, refused, taken string) string {
	if d.full() {
		return ""
	}
	o, ok := c.document.Match(m.host, m.prefix)
	if !ok {
		return refused
	}
	return fmt.Sprintf(taken, quote(o.ID))
}

// route compares two routes of the same host and prefix.
func (d *routingDiff) route(b, a *routes.Route, at Position) {
	subject := "route " + quote(a.ID)
	value(d, at, subject, "name", quote(b.ID), quote(a.ID))
	d.targets(b, a, at)
	d.retries(b, a, at)
	needsKey, neededKey := d.after.document.RequiresKey(a), d.before.document.RequiresKey(b)
	switch {
	case needsKey && !neededKey:
		d.report(idKeysRequired, at, "%s needs a key now; requests without one are refused", subject)
	case !needsKey && neededKey:
		d.report(idKeysNotRequired, at, "%s needs no key any more", subject)
	}
	value(d, at, subject, "kind", b.Kind, a.Kind)
	value(d, at, subject, "time-out", timeout(b.Timeout), timeout(a.Timeout))
	value(d, at, subject, "target of its latency", b.Objective, a.Objective)
	value(d, at, subject, "target of pauses", b.MaxPause, a.MaxPause)
	value(d, at, subject, "attempts", b.Attempts, a.Attempts)
	value(d, at, subject, "priority", b.Priority, a.Priority)
	value(d, at, subject, "public", b.Public, a.Public)
	value(d, at, subject, "resumable", b.Resumable, a.Resumable)
	if !slices.Equal(b.Models, a.Models) {
		d.report(idValueChanged, at, "%s: models from %s to %s", subject, list(b.Models), list(a.Models))
	}
}

// retries reports whether requests of unknown outcome are now run again, or no longer are.
func (d *routingDiff) retries(b, a *routes.Route, at Position) {
	switch {
	case a.Retryable() && !b.Retryable():
		d.add(Finding{
			ID: idRunsMayRepeat, Severity: Difference, Position: at, Permanent: true,
			Text: fmt.Sprintf("requests of route %s may run more than once, and what ran twice can't be undone", quote(a.ID)),
		})
	case !a.Retryable() && b.Retryable():
		d.report(idRunsMayNotRepeat, at, "requests of route %s run at most once", quote(a.ID))
	}
}

// targets compares the services of a route and their shares.
func (d *routingDiff) targets(b, a *routes.Route, at Position) {
	before, after := shares(b), shares(a)
	if maps.Equal(before, after) {
		return
	}
	same := len(before) == len(after)
	for s := range after {
		_, ok := before[s]
		same = same && ok
	}
	if !same {
		d.report(idRouteMoved, at, "route %s now goes to %s; before to %s", quote(a.ID), formatShares(after), formatShares(before))
		return
	}
	for _, s := range slices.Sorted(maps.Keys(after)) {
		if x, y := before[s], after[s]; x != y {
			d.report(choose(y > x, idShareRises, idShareFalls), at, "route %s: share of service %s from %s to %s", quote(a.ID), quote(s), percent(x), percent(y))
		}
	}
}

// shares returns the fraction of the requests that each service of a route gets.
func shares(x *routes.Route) map[ident.ServiceID]float64 {
	out := map[ident.ServiceID]float64{}
	total := 0.0
	for _, w := range x.Services {
		if w.Weight > 0 {
			out[w.Service] += float64(w.Weight)
			total += float64(w.Weight)
		}
	}
	for s := range out {
		out[s] /= total
	}
	return out
}

func percent(f float64) string {
	return strconv.FormatFloat(f*100, 'f', 2, 64) + "%"
}

// maxListed bounds the items of a list in a text.
const maxListed = 8

func formatShares(m map[ident.ServiceID]float64) string {
	var out []string
	ids := slices.SortedFunc(maps.Keys(m), func(a, b ident.ServiceID) int { return cmp.Or(cmp.Compare(m[b], m[a]), cmp.Compare(a, b)) })
	for _, s := range ids[:min(len(ids), maxListed)] {
		out = append(out, quote(s)+" "+percent(m[s]))
	}
	return join(out, len(ids))
}

func list[T ~string](names []T) string {
	var out []string
	for _, n := range names[:min(len(names), maxListed)] {
		out = append(out, quote(n))
	}
	return join(out, len(names))
}

// join joins the first items of a list of n.
func join(items []string, n int) string {
	if n == 0 {
		return "none"
	}
	if n > len(items) {
		items = append(items, fmt.Sprintf("and %d more", n-len(items)))
	}
	return strings.Join(items, ", ")
}

func timeout(t time.Duration) string {
	if t <= 0 {
		return "none"
	}
	return t.String()
}

// services compares the services.
func (d *routingDiff) services() {
	before, after := d.before.document.Services, d.after.document.Services
	for _, id := range slices.Sorted(maps.Keys(after)) {
		at := d.after.service(id)
		a := after[id]
		b, ok := before[id]
		if !ok {
			d.report(idServiceAdded, at, "service %s is added", quote(id))
			continue
		}
		subject := "service " + quote(id)
		value(d, at, subject, "connections to an upstream", b.MaxConnections, a.MaxConnections)
		value(d, at, subject, "model engines", b.Engine, a.Engine)
		value(d, at, subject, "cached tokens copied in a ms", b.CopyRate, a.CopyRate)
		d.models(subject, at, b.Prices, a.Prices)
	}
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[id]; !ok {
			d.report(idServiceRemoved, d.before.service(id), "service %s is removed", quote(id))
		}
	}
}

// models compares the models of a service and their prices.
func (d *routingDiff) models(subject string, at Position, before, after map[ident.ModelID]float64) {
	for _, m := range slices.Sorted(maps.Keys(after)) {
		p, ok := before[m]
		if !ok {
			d.report(idValueChanged, at, "%s: model %s is added", subject, quote(m))
			continue
		}
		value(d, at, subject, "price of model "+quote(m), p, after[m])
	}
	for _, m := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[m]; !ok {
			d.report(idValueChanged, at, "%s: model %s is removed", subject, quote(m))
		}
	}
}

// accounts compares the accounts by their names and what their keys select.
func (d *routingDiff) accounts() {
	for i := range d.after.document.Accounts {
		a := &d.after.document.Accounts[i]
		if d.after.byID[a.ID][0] != i {
			continue
		}
		at := d.after.item(d.after.lines.Accounts, i)
		js := d.before.byID[a.ID]
		if len(js) == 0 {
			d.report(idAccountAdded, at, "account %s is added", quote(a.ID))
			continue
		}
		subject := "account " + quote(a.ID)
		value(d, at, subject, "priority", priority(d.before.document.Accounts[js[0]].Priority), priority(a.Priority))
		if n := d.after.keysWithout(d.before, a.ID); n > 0 {
			d.report(idKeyAdded, at, "%s: %d key(s) added", subject, n)
		}
		if n := d.before.keysWithout(d.after, a.ID); n > 0 {
			d.report(idKeyRemoved, at, "%s: %d key(s) removed; requests with them are refused or run under another account", subject, n)
		}
	}
	for j := range d.before.document.Accounts {
		id := d.before.document.Accounts[j].ID
		if len(d.after.byID[id]) == 0 && d.before.byID[id][0] == j {
			d.report(idAccountRemoved, d.before.item(d.before.lines.Accounts, j), "account %s is removed; requests with its keys are refused unless another account has them", quote(id))
		}
	}
}

// keysWithout counts the keys that select the account here and not in o.
func (c *Routing) keysWithout(o *Routing, id ident.AccountID) int {
	n := 0
	seen := map[string]bool{}
	for _, i := range c.byID[id] {
		for _, k := range c.document.Accounts[i].Keys {
			a, ok := c.document.Account(k)
			b, also := o.document.Account(k)
			if seen[k] || !ok || a.ID != id || also && b.ID == id {
				continue
			}
			seen[k] = true
			n++
		}
	}
	return n
}

func priority(p int) string {
	if p < 0 {
		return "that of the route"
	}
	return strconv.Itoa(p)
}

// limits compares the limits of clients.
func (d *routingDiff) limits() {
	b, a := d.before.document, d.after.document
	at := d.after.line(d.after.lines.Limits)
	value(d, at, "limits", "bytes of a request's body", unset(b.Limits.MaxBody), unset(a.Limits.MaxBody))
	value(d, at, "limits", "idle time of a connection", timeout(b.Limits.IdleTimeout), timeout(a.Limits.IdleTimeout))
}

func unset(n int64) string {
	if n <= 0 {
		return "unset"
	}
	return strconv.FormatInt(n, 10)
}
