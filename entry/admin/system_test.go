package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/accept"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/table/memory"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/admin"
)

// state stands in for a spread.Replica: it adopts what is offered.
type state struct {
	mu   sync.Mutex
	view spread.View
}

func (s *state) View() *spread.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.view
	v.Halts = maps.Clone(v.Halts)
	return &v
}

func (s *state) Adopt(_ context.Context, d *wire.Document) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, err := envdoc.Parse(d.GetBody())
	if err == nil && ident.Generation(d.GetGeneration()) > s.view.Generation() {
		s.view.Accepted = &spread.AcceptedDocument{Generation: ident.Generation(d.GetGeneration()), Document: p, Operator: ident.OperatorID(d.GetOperator()), Reason: d.GetReason(), At: time.UnixMilli(d.GetAcceptedUnixMs())}
	}
	return err
}

func (s *state) Halt(_ context.Context, r ident.VersionRef, reason string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view.Halts == nil {
		s.view.Halts = map[ident.VersionRef]spread.Halt{}
	}
	s.view.Halts[r] = spread.Halt{Version: r, Generation: s.view.Generation(), Reason: reason}
	return nil
}

type fleet struct {
	mu        sync.Mutex
	instances []opsapi.Instance
	processes []admin.ProcessEvents
}

func (f *fleet) Instances(context.Context) []opsapi.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.instances)
}

func (f *fleet) Events(context.Context, event.Filter) []admin.ProcessEvents {
	return f.processes
}

type system struct {
	t       testing.TB
	table   *memory.Table
	state   *state
	fleet   *fleet
	ring    *event.Ring
	handler http.Handler
}

func start(t testing.TB) *system {
	s := &system{t: t, table: memory.New(), state: &state{}, fleet: &fleet{}}
	s.ring = event.NewRing(event.NewClock(time.Now), "entry-1", 100)
	s.handler = admin.New(admin.Options{
		Environment: "ilmek",
		Instance:    "entry-1",
		Program:     "entry",
		Keys: []admin.Key{
			{Operator: "ada", Digest: envdoc.KeyDigestOf("key-ada"), Role: opsapi.RoleOperate},
			{Operator: "ben", Digest: envdoc.KeyDigestOf("key-ben"), Role: opsapi.RoleOperate},
			{Operator: "eve", Digest: envdoc.KeyDigestOf("key-eve"), Role: opsapi.RoleView},
		},
		Store: accept.New(s.table, "ilmek"),
		State: s.state,
		Fleet: s.fleet,
		Bills: bills{table: s.table},
		Ring:  s.ring,
		Log:   zerolog.Nop(),
	}).Handler()
	return s
}

type reply struct {
	status int
	body   []byte
	error  opsapi.Error
}

func (s *system) call(key, method, path string, body any) reply {
	b, err := json.Marshal(body)
	if err != nil {
		s.t.Fatal(err)
	}
	if t, ok := body.(string); ok {
		b = []byte(t)
	}
	r := httptest.NewRequest(method, path, bytes.NewReader(b))
	r.Header.Set("Authorization", "Bearer key-"+key)
	r.Header.Set("Tarragonvalve-Timeout-Ms", "2000")
	w := httptest.NewRecorder()
	s.handler.ServeHTTP(w, r)
	out := reply{status: w.Code, body: w.Body.Bytes()}
	var e opsapi.ErrorReply
	if w.Code != http.StatusOK {
		_ = json.Unmarshal(out.body, &e)
		out.error = e.Error
	}
	return out
}

func (r reply) into(t testing.TB, v any) {
	t.Helper()
	if r.status != http.StatusOK {
		t.Fatalf("status %d: %s", r.status, r.body)
	}
	if err := json.Unmarshal(r.body, v); err != nil {
		t.Fatal(err)
	}
}

func example(t testing.TB, pairs ...string) string {
	t.Helper()
	b, err := os.ReadFile("../../examples/ilmek.ini")
	if err != nil {
		t.Fatal(err)
	}
	return strings.NewReplacer(pairs...).Replace(string(b))
}

func (s *system) trial(body string) envdoc.Digest {
	s.t.Helper()
	var out opsapi.TrialReply
	s.call("ada", "POST", "/admin/v1/document/trial", opsapi.DocumentRequest{Body: body}).into(s.t, &out)
	return out.Digest
}

func (s *system) promote(key, body string, seen ident.Generation) reply {
	return s.call(key, "POST", "/admin/v1/document/promote", opsapi.PromoteRequest{
		Body: body, Digest: envdoc.DigestOf([]byte(body)), Seen: seen, Reason: "test",
	})
}
