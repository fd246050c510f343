package admin

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/core/refuse"
)

// defaultEvents and maxEvents bound the events of a reply: without and with ?limit=.
const (
	defaultEvents = 1000
	maxEvents     = 50_000
)

// events returns the latest ?limit= events of all processes that match the filters
// request, session, account, version and since, in the order of their clocks.
func (a *API) events(ctx context.Context, c *call) (any, error) {
	q := c.URL.Query()
	f := event.Filter{
		Request: ident.RequestID(q.Get("request")),
		Session: ident.SessionID(q.Get("session")),
		Account: ident.AccountID(q.Get("account")),
		Version: q.Get("version"),
	}
	var err error
	if f.Limit, err = intParam(c, "limit", defaultEvents, maxEvents); err != nil {
		return nil, err
	}
	if f.Since, err = timeParam(c, "since", time.Time{}); err != nil {
		return nil, err
	}
	if f.Version != "" {
		if _, err := ident.ParseRef(f.Version); err != nil {
			return nil, refuse.New(refuse.BadRequest, refuse.NotRun, "%v", err)
		}
	}
	return a.mergedEvents(ctx, f), nil
}

// mergedEvents queries all processes and merges their events. The sources in the reply
// show which processes were not reached and which have overwritten events.
func (a *API) mergedEvents(ctx context.Context, f event.Filter) opsapi.EventsReply {
	out := opsapi.EventsReply{Events: []opsapi.Event{}, Sources: []opsapi.Source{}}
	var lists [][]event.Event
	for _, p := range a.o.Fleet.Events(ctx, f) {
		es := event.Select(p.Events, event.Filter{Request: f.Request, Session: f.Session, Account: f.Account, Version: f.Version, Since: f.Since})
		lists = append(lists, es)
		out.Sources = append(out.Sources, sourceOf(p, len(es)))
		out.Truncated = out.Truncated || len(es) >= f.Limit
	}
	es := event.Merge(lists...)
	if len(es) > f.Limit {
		es = es[len(es)-f.Limit:]
		out.Truncated = true
	}
	for _, e := range es {
		out.Events = append(out.Events, eventBody(e))
	}
	slices.SortFunc(out.Sources, func(a, b opsapi.Source) int {
		return cmp.Or(cmp.Compare(b.Role, a.Role), cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Instance, b.Instance))
	})
	return out
}

func eventBody(e event.Event) opsapi.Event {
	m := opsapi.Event{
		Clock:    uint64(e.Stamp),
		At:       e.Stamp.Time().UTC(),
		Instance: e.Instance,
		Kind:     string(e.Kind),
		Request:  e.Request,
		Session:  e.Session,
		Account:  e.Account,
		Fields:   e.Fields,
	}
	if e.Version != (ident.VersionRef{}) {
		m.Version = e.Version.String()
	}
	return m
}

// timeParam returns a query parameter in RFC 3339 form, or fallback when it is missing.
func timeParam(c *call, key string, fallback time.Time) (time.Time, error) {
	t := c.URL.Query().Get(key)
	if t == "" {
		return fallback, nil
	}
	m, err := time.Parse(time.RFC3339, t)
	if err != nil {
		return fallback, refuse.New(refuse.BadRequest, refuse.NotRun, "%s must be a time such as 2026-01-31T12:00:00Z", key)
	}
	return m, nil
}

// explain describes the events of one request in sentences, with the request's outcome.
func (a *API) explain(ctx context.Context, c *call) (any, error) {
	id := ident.RequestID(chi.URLParam(c.Request, "request"))
	m := a.mergedEvents(ctx, event.Filter{Request: id, Limit: defaultEvents})
	if len(m.Events) == 0 {
		return nil, refuse.New(refuse.NotFound, refuse.NotRun, "no process that was reached has an event of request %s%s", id, missingEvents(m.Sources))
	}
	out := opsapi.ExplainReply{Request: id, Outcome: "still running, or its end was not recorded", Lines: []opsapi.ExplainLine{}, Sources: m.Sources}
	for _, e := range m.Events {
		out.Account = cmp.Or(out.Account, e.Account)
		out.Session = cmp.Or(out.Session, e.Session)
		t := describe(e)
		switch event.Kind(e.Kind) {
		case event.RequestEnded, event.RequestRefused:
			out.Outcome = t
		}
		out.Lines = append(out.Lines, opsapi.ExplainLine{At: e.At, Instance: e.Instance, Text: t})
	}
	return out, nil
}

// missingEvents names the processes whose events may be missing, empty for none.
func missingEvents(ss []opsapi.Source) string {
	var unreached, lost []string
	for _, s := range ss {
		if s.Problem != "" {
			unreached = append(unreached, string(s.Instance))
		}
		if s.Overwritten > 0 {
			lost = append(lost, string(s.Instance))
		}
	}
	var out string
	if len(unreached) > 0 {
		out += "; not reached: " + strings.Join(unreached, ", ")
	}
	if len(lost) > 0 {
		out += "; older events were overwritten at: " + strings.Join(lost, ", ")
	}
	return out
}

// kindTexts holds the text that describes each kind of event.
var kindTexts = map[event.Kind]string{
	event.RequestReceived: "request received",
	event.PlanChosen:      "plan chosen",
	event.UpstreamChosen:  "upstream chosen",
	event.AttemptStarted:  "attempt started",
	event.AttemptEnded:    "attempt ended",
	event.StreamResumed:   "stream resumed over a new connection",
	event.Escalated:       "answer looked weak, so a better model was asked",
	event.RequestRefused:  "request refused",
	event.RequestEnded:    "request answered",
	event.WorkRefused:     "work refused by the agent",
	event.ClaimDispatched: "claim written before the call was sent",
	event.ClaimDone:       "result of the call recorded in the claim",
	event.ClaimNotRun:     "claim marked not-run, so the call can never be sent",
	event.BatchStored:     "receipts stored",
	event.LinkReplaced:    "silent connection replaced",
	event.FrameDropped:    "frame dropped, since it was late or belonged to other work",
	event.OperatorAction:  "operator action",
}

// describe describes an event: its kind, then its version and fields by name.
func describe(e opsapi.Event) string {
	w, ok := kindTexts[event.Kind(e.Kind)]
	if !ok {
		w = strings.ReplaceAll(e.Kind, "-", " ")
	}
	var f []string
	if e.Version != "" {
		f = append(f, "version "+e.Version)
	}
	for _, k := range slices.Sorted(maps.Keys(e.Fields)) {
		if v := e.Fields[k]; v != "" {
			f = append(f, fmt.Sprintf("%s %s", k, v))
		}
	}
	if len(f) == 0 {
		return w
	}
	return w + ": " + strings.Join(f, ", ")
}
