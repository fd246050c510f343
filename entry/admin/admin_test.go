package admin_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/table"
	"tarragonvalve.example/core/table/memory"
	"tarragonvalve.example/entry/admin"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// Guards against accepting a document without a trial, under the digest of another
// document, of another environment, or with halts-cleared-at above the latest generation.
func TestPromoteNeedsTrial(t *testing.T) {
	s := start(t)
	b := example(t)
	if r := s.promote("ada", b, 0); r.error.Code != refuse.DigestNotTried || r.error.Ran != refuse.NotRun {
		t.Errorf("promoted without a trial: %s", r.body)
	}
	s.trial(b)
	if r := s.promote("ada", b+"# other\n", 0); r.error.Code != refuse.DigestNotTried {
		t.Errorf("promoted another document than the tried one: %s", r.body)
	}
	r := s.call("ada", "POST", "/admin/v1/document/promote", opsapi.PromoteRequest{Body: b, Digest: envdoc.DigestOf(nil), Reason: "test"})
	if r.error.Code != refuse.BadRequest {
		t.Errorf("promoted under another digest: %s", r.body)
	}
	for _, other := range []string{
		example(t, "name = ilmek", "name = kootenay"),
		example(t, "[version ipek@2.1]", "[version ipek@2.1]\nhalts-cleared-at = 1"),
	} {
		r := s.call("ada", "POST", "/admin/v1/document/trial", opsapi.DocumentRequest{Body: other})
		if r.error.Code != refuse.DocumentInvalid || len(r.error.Problems) != 1 {
			t.Errorf("trial of an invalid document: %s", r.body)
		}
	}
	var a opsapi.AcceptedReply
	s.promote("ada", b, 0).into(t, &a)
	if a.Generation.Generation != 1 || a.Operator != "ada" || s.state.View().Generation() != 1 {
		t.Errorf("the promotion returned %+v", a)
	}
}

// Guards against two concurrent promotions that both succeed, and against a
// conflict error without the operator and digest of the accepted change.
func TestRacingOperators(t *testing.T) {
	s := start(t)
	bodies := map[string]string{"ada": example(t, "weight = 8", "weight = 7"), "ben": example(t, "weight = 8", "weight = 9")}
	for _, b := range bodies {
		s.trial(b)
	}
	replies := map[string]reply{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for k, b := range bodies {
		wg.Go(func() {
			r := s.promote(k, b, 0)
			mu.Lock()
			defer mu.Unlock()
			replies[k] = r
		})
	}
	wg.Wait()
	var winner, loser string
	for k, r := range replies {
		if r.status == http.StatusOK {
			winner += k
		} else {
			loser += k
		}
	}
	if winner != "ada" && winner != "ben" {
		t.Fatalf("winners %q, losers %q", winner, loser)
	}
	e := replies[loser].error
	if e.Code != refuse.GenerationConflict || e.Ran != refuse.NotRun || e.Winner == nil ||
		e.Winner.Operator != ident.OperatorID(winner) || e.Winner.Digest != envdoc.DigestOf([]byte(bodies[winner])) || e.Latest != 1 {
		t.Errorf("the refused operator got %s", replies[loser].body)
	}
}

// Guards against a promotion that is repeated after a lost answer and is refused or
// makes a second generation.
func TestRepeatWithToken(t *testing.T) {
	s := start(t)
	b := example(t)
	s.trial(b)
	q := opsapi.PromoteRequest{Body: b, Digest: envdoc.DigestOf([]byte(b)), Reason: "test", Token: "same"}
	for range 2 {
		var a opsapi.AcceptedReply
		s.call("ada", "POST", "/admin/v1/document/promote", q).into(t, &a)
		if a.Generation.Generation != 1 {
			t.Errorf("promoted as generation %d, want 1", a.Generation.Generation)
		}
	}
	if r := s.call("ben", "POST", "/admin/v1/document/promote", q); r.error.Code != refuse.GenerationConflict {
		t.Errorf("another operator's token counts as the same write: %s", r.body)
	}
}

// Guards against reporting not-run when the table may have applied a write, and
// unknown when it has not.
func TestTableFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault memory.Fault
		code  refuse.Code
		ran   refuse.Ran
	}{
		"refused":    {memory.Refused, refuse.TableUnavailable, refuse.NotRun},
		"unanswered": {memory.Unanswered, refuse.OutcomeUnknown, refuse.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t)
			b := example(t)
			s.trial(b)
			synctest.Test(t, func(*testing.T) {
				s.table.SetFaultFunc(func(op memory.Op, _ table.Key) memory.Fault {
					if op == memory.OpPut {
						return c.fault
					}
					return memory.None
				})
				r := s.call("ada", "POST", "/admin/v1/document/trial", opsapi.DocumentRequest{Body: b + "# other\n"})
				if r.error.Code != c.code || r.error.Ran != c.ran {
					t.Errorf("the trial returned %s", r.body)
				}
				if r := s.promote("ada", b, 0); r.error.Code != c.code || r.error.Ran != c.ran {
					t.Errorf("the promotion returned %s", r.body)
				}
			})
			s.table.SetFaultFunc(nil)
			es, _ := s.ring.Snapshot()
			if f := es[len(es)-1].Fields; f["verb"] != "promote" || f["outcome"] != string(c.code) {
				t.Errorf("the last event has the fields %v", f)
			}
		})
	}
}

// Guards against a withdrawal or rollback that overwrites a change that the operator
// has not seen, and against changes missing in the history or events without the
// operator, reason, digest or outcome.
func TestWithdrawRollbackHistory(t *testing.T) {
	s := start(t)
	b := example(t)
	s.trial(b)
	s.promote("ada", b, 0)
	var a opsapi.AcceptedReply
	s.call("ada", "POST", "/admin/v1/withdraw", opsapi.WithdrawRequest{Version: "pamuk@1.5", ExpectedLatest: 1, Reason: "weak answers"}).into(t, &a)
	d := s.state.View().Document()
	if a.Generation.Generation != 2 || !d.Withdrawn(ident.VersionRef{Model: "pamuk", Version: "1.5"}) {
		t.Errorf("the withdrawal returned %+v", a)
	}
	if r := s.call("ben", "POST", "/admin/v1/rollback", opsapi.RollbackRequest{Generation: 1, ExpectedLatest: 2, Reason: ""}); r.error.Code != refuse.BadRequest {
		t.Errorf("rolled back without a reason: %s", r.body)
	}
	if r := s.call("ben", "POST", "/admin/v1/withdraw", opsapi.WithdrawRequest{Version: "pamuk@1.4", ExpectedLatest: 1, Reason: "x"}); r.error.Winner == nil || r.error.Winner.Generation != 2 {
		t.Errorf("withdrawn on top of an old generation: %s", r.body)
	}
	s.call("ben", "POST", "/admin/v1/rollback", opsapi.RollbackRequest{Generation: 1, ExpectedLatest: 2, Reason: "was fine"}).into(t, &a)
	if a.Generation.Generation != 3 || a.Digest != envdoc.DigestOf([]byte(b)) || len(a.Warnings) != 1 {
		t.Errorf("the rollback returned %+v", a)
	}
	var h opsapi.HistoryReply
	s.call("eve", "GET", "/admin/v1/history", nil).into(t, &h)
	var got []string
	for _, g := range h.Generations {
		got = append(got, fmt.Sprintf("%d %s %s", g.Generation, g.Operator, g.Reason))
	}
	if want := []string{"3 ben was fine", "2 ada weak answers", "1 ada test"}; !slices.Equal(got, want) {
		t.Errorf("history %q, want %q", got, want)
	}
	es, _ := s.ring.Snapshot()
	f := es[len(es)-1].Fields
	for _, k := range []string{"verb", "operator", "reason", "digest", "generation", "outcome"} {
		if f[k] == "" {
			t.Errorf("event without %s: %v", k, f)
		}
	}
}

// Guards against a withdrawal that leaves a client account without a usable version.
func TestWithdrawIsValidated(t *testing.T) {
	s := start(t)
	b := example(t, "allowed = ipek@2.1, ipek@2.2\n", "allowed = ipek@2.1\n")
	s.trial(b)
	s.promote("ada", b, 0)
	r := s.call("ada", "POST", "/admin/v1/withdraw", opsapi.WithdrawRequest{Version: "ipek@2.1", ExpectedLatest: 1, Reason: "x"})
	if r.error.Code != refuse.DocumentInvalid || !strings.Contains(string(r.body), "account baklan") {
		t.Errorf("withdrew the only usable version of an account: %s", r.body)
	}
}

// Guards against operations that the operator's role does not allow, and against
// invalid requests that are accepted or refused without the error body.
func TestRefusals(t *testing.T) {
	s := start(t)
	for name, c := range map[string]struct {
		key, method, path string
		body              any
		code              refuse.Code
	}{
		"unknown key":      {"nobody", "GET", "/status", nil, refuse.Unauthenticated},
		"view only":        {"eve", "POST", "/halt", opsapi.HaltRequest{}, refuse.Forbidden},
		"view only trial":  {"eve", "POST", "/document/trial", opsapi.DocumentRequest{}, refuse.Forbidden},
		"no document":      {"eve", "GET", "/document", nil, refuse.NoDocument},
		"no generation":    {"eve", "GET", "/document?generation=9", nil, refuse.NotFound},
		"bad generation":   {"eve", "GET", "/document?generation=x", nil, refuse.BadRequest},
		"no operation":     {"eve", "GET", "/nothing", nil, refuse.NotFound},
		"wrong method":     {"eve", "DELETE", "/document", nil, refuse.NotFound},
		"unknown field":    {"ada", "POST", "/halt", `{"versio":"a@b"}`, refuse.BadRequest},
		"two values":       {"ada", "POST", "/halt", `{} {}`, refuse.BadRequest},
		"large body":       {"ada", "POST", "/document/validate", strings.Repeat(" ", 2<<20), refuse.BodyTooLarge},
		"no reason":        {"ada", "POST", "/halt", opsapi.HaltRequest{Version: "a@b"}, refuse.BadRequest},
		"line break":       {"ada", "POST", "/halt", opsapi.HaltRequest{Version: "a@b", Reason: "a\nb"}, refuse.BadRequest},
		"limit":            {"eve", "GET", "/history?limit=0", nil, refuse.BadRequest},
		"since":            {"eve", "GET", "/events?since=now", nil, refuse.BadRequest},
		"version":          {"eve", "GET", "/events?version=x", nil, refuse.BadRequest},
		"unknown request":  {"eve", "GET", "/explain/x", nil, refuse.NotFound},
		"rollback forward": {"ada", "POST", "/rollback", opsapi.RollbackRequest{Generation: 2, ExpectedLatest: 1, Reason: "x"}, refuse.BadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			r := s.call(c.key, c.method, "/admin/v1"+c.path, c.body)
			if r.error.Code != c.code || r.error.Ran != refuse.NotRun || r.error.RequestID == "" {
				t.Errorf("got status %d: %s, want the code %s", r.status, r.body, c.code)
			}
		})
	}
}

// Guards against a halt that needs the table or does not record its operator.
func TestHaltWithoutTable(t *testing.T) {
	s := start(t)
	b := example(t)
	s.trial(b)
	s.promote("ada", b, 0)
	s.table.SetFault(memory.Refused)
	s.call("ada", "POST", "/admin/v1/halt", opsapi.HaltRequest{Version: "ipek@2.1", Reason: "errors"}).into(t, &opsapi.HaltReply{})
	var out opsapi.StatusReply
	s.call("eve", "GET", "/admin/v1/status", nil).into(t, &out)
	if len(out.Halts) != 1 || out.Halts[0].Reason != "operator ada: errors" || out.Problem == "" || out.Generation != 1 {
		t.Errorf("the status is %+v", out)
	}
}

// Guards against a wait that ends before the last live instance has the
// generation, counts an unreached instance as done, or outlasts its deadline.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t)
		s.fleet.instances = []opsapi.Instance{{ID: "a", Generation: 2}, {ID: "b", Generation: 1}}
		go func() {
			time.Sleep(time.Second)
			s.fleet.mu.Lock()
			defer s.fleet.mu.Unlock()
			s.fleet.instances[1].Generation = 3
		}()
		from := time.Now()
		var out opsapi.WaitReply
		s.call("eve", "GET", "/admin/v1/wait?generation=2", nil).into(t, &out)
		if d := time.Since(from); !out.Done || d < time.Second {
			t.Errorf("%+v after %v", out, d)
		}
		s.fleet.instances = append(s.fleet.instances, opsapi.Instance{ID: "c", Generation: 2, Problem: "silent"})
		s.call("eve", "GET", "/admin/v1/wait?generation=2", nil).into(t, &out)
		if out.Done || !slices.Equal(out.Unreached, []ident.InstanceID{"c"}) {
			t.Errorf("%+v", out)
		}
	})
}

// recorded returns an event of request r1 at a clock in Unix milliseconds.
func recorded(clock uint64, i ident.InstanceID, k event.Kind, fields map[string]string) event.Event {
	return event.Event{Stamp: event.Stamp(clock << 16), Instance: i, Kind: k, Request: "r1", Session: "s1", Account: "denizli", Fields: fields}
}

// recordings returns the events of a request at an entry and an agent, and a
// process that can't be reached.
func recordings() []admin.ProcessEvents {
	return []admin.ProcessEvents{
		{Instance: "entry-1", Role: "entry", Events: []event.Event{
			recorded(1000, "entry-1", event.RequestReceived, nil),
			recorded(1001, "entry-1", event.PlanChosen, map[string]string{"first": "pamuk@1.5", "steps": "1"}),
			recorded(1009, "entry-1", event.RequestEnded, map[string]string{"finish": "stop"}),
		}},
		{Instance: "agent-1", Role: "agent", Overwritten: 4, Events: []event.Event{recorded(1004, "agent-1", event.AttemptStarted, nil)}},
		{Instance: "agent-2", Role: "agent", Problem: "connection refused"},
	}
}

// Guards against events out of order, and against replies that don't name processes
// that were not reached or have overwritten events.
func TestEventsAndExplain(t *testing.T) {
	s := start(t)
	s.fleet.processes = recordings()
	var m opsapi.EventsReply
	s.call("eve", "GET", "/admin/v1/events?request=r1", nil).into(t, &m)
	var kinds []string
	for _, e := range m.Events {
		kinds = append(kinds, e.Kind)
	}
	if want := []string{"request-received", "plan-chosen", "attempt-started", "request-ended"}; !slices.Equal(kinds, want) {
		t.Errorf("events %q, want %q", kinds, want)
	}
	gaps := map[ident.InstanceID]string{}
	for _, p := range m.Sources {
		gaps[p.Instance] = fmt.Sprint(p.Overwritten, p.Problem)
	}
	if gaps["agent-1"] != "4" || gaps["agent-2"] != "0connection refused" {
		t.Errorf("the sources are %v", gaps)
	}
	var x opsapi.ExplainReply
	s.call("eve", "GET", "/admin/v1/explain/r1", nil).into(t, &x)
	if x.Outcome != "request answered: finish stop" || x.Account != "denizli" || len(x.Lines) != 4 {
		t.Errorf("the explanation is %+v", x)
	}
	if r := s.call("eve", "GET", "/admin/v1/explain/r2", nil); !strings.Contains(r.error.Message, "agent-2") {
		t.Errorf("the refusal does not name the unreached process: %s", r.body)
	}
}

// Guards against a trial that does not show for which accounts a document would
// change decisions.
func TestTrialComparesDecisions(t *testing.T) {
	s := start(t)
	b := example(t)
	s.trial(b)
	s.promote("ada", b, 0)
	s.fleet.processes = recordings()
	var out opsapi.TrialReply
	s.call("ada", "POST", "/admin/v1/document/trial", opsapi.DocumentRequest{
		Body: example(t, "shares = 1.4:90, 1.5:10", "shares = 1.4:100", "[version pamuk@1.5]", "[version pamuk@1.5]\nstate = withdrawn"),
	}).into(t, &out)
	want := opsapi.Move{Account: "denizli", Kind: opsapi.MoveSession, From: "pamuk@1.5", To: "pamuk@1.4", Count: 1}
	if out.Decisions != 1 || !slices.Contains(out.Moves, want) || len(out.Sources) != 3 {
		t.Errorf("the trial returned %+v", out)
	}
}

// Guards against a readiness check that succeeds although the process is not ready.
func TestHealth(t *testing.T) {
	h := admin.New(admin.Options{Ready: func() error { return errors.New("no document") }}).Handler()
	for path, want := range map[string]int{"/healthz": 200, "/readyz": 503, "/buildz": 200, "/metrics": 200} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
		if w.Code != want {
			t.Errorf("%s: got status %d, want %d", path, w.Code, want)
		}
	}
}
