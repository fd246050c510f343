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

const (
	defaultEvents = 1000
	maxEvents     = 50_000
)

// events merges the time lines of all processes.
func (a *API) events(ctx context.Context, c *call) (any, error) {
	q := c.URL.Query()
	f := event.Filter{
		Request: ident.RequestID(q.Get("request")),
		Session: ident.SessionID(q.Get("session")),
		Account: ident.AccountID(q.Get("account")),
		Version: q.Get("version"),
	}
	var err error
	if f.Limit, err = number(c, "limit", defaultEvents, maxEvents); err != nil {
		return nil, err
	}
	if f.Since, err = moment(c, "since", time.Time{}); err != nil {
		return nil, err
	}
	if f.Version != "" {
		if _, err := ident.ParseRef(f.Version); err != nil {
			return nil, refuse.New(refuse.BadRequest, refuse.NotRun, "%v", err)
		}
	}
	return a.merged(ctx, f), nil
}

// merged asks all processes and names those not reached and those that lost events.
func (a *API) merged(ctx context.Context, f event.Filter) opsapi.EventsReply {
	out := opsapi.EventsReply{Events: []opsapi.Event{}, Sources: []opsapi.Source{}}
	var lists [][]event.Event
	for _, p := range a.o.Fleet.Events(ctx, f) {
		es := event.Select(p.Events, event.Filter{Request: f.Request, Session: f.Session, Account: f.Account, Version: f.Version, Since: f.Since})
		lists = append(lists, es)
		out.Sources = append(out.Sources, source(p, len(es)))
		out.Cut = out.Cut || len(es) >= f.Limit
	}
	es := event.Merge(lists...)
	if len(es) > f.Limit {
		es = es[len(es)-f.Limit:]
		out.Cut = true
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

func moment(c *call, key string, fallback time.Time) (time.Time, error) {
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

// explain says in words what happened to one request.
func (a *API) explain(ctx context.Context, c *call) (any, error) {
	id := ident.RequestID(chi.URLParam(c.Request, "request"))
	m := a.merged(ctx, event.Filter{Request: id, Limit: defaultEvents})
	if len(m.Events) == 0 {
		return nil, refuse.New(refuse.NotFound, refuse.NotRun, "no process that was reached has an event of request %s%s", id, gaps(m.Sources))
	}
	out := opsapi.ExplainReply{Request: id, Outcome: "still running, or its end was not recorded", Lines: []opsapi.ExplainLine{}, Sources: m.Sources}
	for _, e := range m.Events {
		out.Account = cmp.Or(out.Account, e.Account)
		out.Session = cmp.Or(out.Session, e.Session)
		t := sentence(e)
		switch event.Kind(e.Kind) {
		case event.RequestEnded, event.RequestRefused:
			out.Outcome = t
		}
		out.Lines = append(out.Lines, opsapi.ExplainLine{At: e.At, Instance: e.Instance, Text: t})
	}
	return out, nil
}

// gaps says why events may be missing.
func gaps(ss []opsapi.Source) string {
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

// words begin the sentence of each kind of event.
var words = map[event.Kind]string{
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

func sentence(e opsapi.Event) string {
	w, ok := words[event.Kind(e.Kind)]
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
