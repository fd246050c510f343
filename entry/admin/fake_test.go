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

// state implements admin.State without peers: it adopts every newer document.
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

// fleet implements admin.Fleet with fixed instances and events.
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

// system is an administration API on an in-memory table.
type system struct {
	t       testing.TB
	table   *memory.Table
	state   *state
	fleet   *fleet
	ring    *event.Ring
	handler http.Handler
}

// start returns a system with the operators ada and ben, who may change documents,
// and eve, who may only view them.
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

// call sends a request with an operator's key. A body that is a string is sent as it is.
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

// into decodes the body and fails the test unless the status is 200.
func (r reply) into(t testing.TB, v any) {
	t.Helper()
	if r.status != http.StatusOK {
		t.Fatalf("status %d: %s", r.status, r.body)
	}
	if err := json.Unmarshal(r.body, v); err != nil {
		t.Fatal(err)
	}
}

// example returns the example document with replaced texts, given as pairs of old and new.
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
		Body: body, Digest: envdoc.DigestOf([]byte(body)), ExpectedLatest: seen, Reason: "test",
	})
}
