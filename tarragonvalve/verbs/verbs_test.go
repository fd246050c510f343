package verbs

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"go.uber.org/goleak"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/inidoc"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/core/refuse"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var baseTime = time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)

const digest = envdoc.Digest("71804e2875c4a1b691e1002d38d3e723f2d3b4c26fd3346db2b943a196c21fe8")

func generation(n int, operator, reason string) opsapi.Generation {
	return opsapi.Generation{Generation: 7, Digest: digest, Operator: ident.OperatorID(operator), Reason: reason, At: baseTime.Add(time.Duration(n) * time.Minute)}
}

var sources = []opsapi.Source{
	{Instance: "entry-1", Role: "entry", Domain: "ege-a", Events: 2},
	{Instance: "agent-1", Role: "agent", Domain: "ege-b", Events: 1, Overwritten: 12},
	{Instance: "agent-2", Role: "agent", Domain: "ege-c", Problem: "not reached: connection refused"},
}

// replies holds the replies of the fake API by method and path.
var replies = map[string]any{
	"GET /document":           opsapi.DocumentReply{Generation: generation(0, "ada", "first"), Body: "[environment]\nname = ilmek\n[end]\n"},
	"POST /document/validate": opsapi.ValidateReply{Valid: true, Digest: digest, Name: "ilmek"},
	"POST /document/diff": opsapi.DiffReply{Generation: 7, Digest: digest, Changes: []envdoc.Change{
		{Kind: envdoc.ChangeModified, Section: "model pamuk", Key: "share of 1.4", Before: "90%", After: "74.75%"},
		{Kind: envdoc.ChangeRemoved, Section: "service stock"},
	}},
	"POST /document/trial": opsapi.TrialReply{Generation: 7, Digest: digest, Decisions: 42, Sources: sources, Moves: []opsapi.Move{
		{Account: "denizli", Kind: opsapi.MoveSession, From: "pamuk@1.5", To: "pamuk@1.4", Count: 12},
		{Account: "usak", Kind: opsapi.MoveNewSession, From: "pamuk@1.5", To: "refused: version-withdrawn", Count: 3},
	}},
	"POST /document/promote": opsapi.AcceptedReply{Generation: generation(1, "ada", "r"), Warnings: []string{"version a@1 stays halted; halts-cleared-at = 6 would clear it"}},
	"POST /rollback":         opsapi.AcceptedReply{Generation: generation(1, "ada", "r"), Actions: []string{"document of generation 5 accepted again"}},
	"POST /withdraw":         opsapi.AcceptedReply{Generation: generation(1, "ada", "r"), Actions: []string{"version a@1 withdrawn"}},
	"POST /halt":             opsapi.HaltReply{Version: "a@1", Generation: 7},
	"GET /wait":              opsapi.WaitReply{Generation: 7, Done: true, Instances: 3},
	"GET /history":           opsapi.HistoryReply{Generations: []opsapi.Generation{generation(1, "ada", "more traffic"), generation(0, "ben", "first")}},
	"GET /status": opsapi.StatusReply{
		Environment: "ilmek", Instance: "entry-1", Generation: 7, Digest: digest, ConfirmedBy: "table", Latest: 7,
		Halts:    []opsapi.Halt{{Version: "a@1", Generation: 7, Reason: "errors", Instance: "entry-2", At: baseTime}},
		Rollouts: []opsapi.Step{{Rollout: "ipek-2-2", Version: "ipek@2.2", Step: 2, Steps: 4, Share: "5"}},
		Instances: []opsapi.Instance{
			{ID: "entry-1", Role: "entry", Domain: "ege-a", Generation: 7, Digest: digest, ConfirmedAgeMS: 1234},
			{ID: "agent-1", Role: "agent", Domain: "ege-b", Upstream: "engine-1", Generation: 6, ConfirmedAgeMS: -1, Draining: true, Queued: 2, Running: 4},
			{ID: "agent-2", Role: "agent", Domain: "ege-c", Problem: "not reached: connection refused"},
		},
	},
	"GET /events": opsapi.EventsReply{Truncated: true, Sources: sources, Events: []opsapi.Event{
		{Clock: 1 << 60, At: baseTime, Instance: "entry-1", Kind: "request-received", Request: "r1", Account: "denizli"},
		{Clock: 1<<60 + 1, At: baseTime.Add(8 * time.Millisecond), Instance: "agent-1", Kind: "attempt-started", Request: "r1", Version: "pamuk@1.4", Fields: map[string]string{"attempt": "1"}},
		{Clock: 1<<60 + 2, At: baseTime.Add(31 * time.Millisecond), Instance: "entry-1", Kind: "request-refused", Request: "r1", Fields: map[string]string{"code": "<b>&"}},
	}},
	"GET /explain/r1": opsapi.ExplainReply{
		Request: "r1", Account: "denizli", Session: "s1", Outcome: "request answered: finish stop", Sources: sources,
		Lines: []opsapi.ExplainLine{{At: baseTime, Instance: "entry-1", Text: "request received"}},
	},
	"GET /bill": opsapi.BillReply{From: baseTime, To: baseTime.Add(time.Hour), Total: 123_456_789, AttemptCost: 200_000_000, Receipts: 7, Duplicates: 3, Lines: []opsapi.BillLine{
		{Account: "denizli", Item: "pamuk@1.4", Requests: 3, Input: 1200, Output: 300, Price: 123_436_789},
		{Account: "denizli", Item: "orders", Requests: 1, Price: 20_000},
	}},
}

func startServer(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func startAPI(t *testing.T) string {
	return startServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, ok := replies[r.Method+" "+strings.TrimPrefix(r.URL.Path, opsapi.BasePath)]
		if !ok || r.Header.Get("Authorization") != "Bearer key-ada" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(body)
	})
}

type result struct {
	code      int
	out, errs string
}

func run(t *testing.T, address string, argv ...string) result {
	t.Helper()
	t.Setenv("TARRAGONVALVE_OPERATOR_KEY", "key-ada")
	var out, errs bytes.Buffer
	c := &command{out: &out, err: &errs, in: strings.NewReader("[end]\n"), now: func() time.Time { return baseTime }}
	code := c.main(context.Background(), append([]string{"--api", address, "--unencrypted", "--timeout", "2s"}, argv...))
	return result{code: code, out: out.String(), errs: errs.String()}
}

var commandLines = map[string][]string{
	"document": {"document", "--generation", "7"},
	"validate": {"validate", "-"},
	"diff":     {"diff", "-"},
	"trial":    {"trial", "-"},
	"promote":  {"promote", "-", "--digest", string(digest), "--seen", "6", "--reason", "r"},
	"wait":     {"wait", "7"},
	"history":  {"history"},
	"rollback": {"rollback", "5", "--reason", "r"},
	"withdraw": {"withdraw", "a@1", "--reason", "r", "--seen", "6"},
	"halt":     {"halt", "a@1", "--reason", "r"},
	"status":   {"status"},
	"events":   {"events", "--request", "r1", "--since", "10m"},
	"explain":  {"explain", "r1"},
	"bill":     {"bill", "--from", "24h", "--account", "denizli"},
}

// Guards against unintended changes of the output, which scripts may parse.
func TestOutput(t *testing.T) {
	a := startAPI(t)
	for name, argv := range commandLines {
		for kind, flags := range map[string][]string{"text": nil, "json": {"--json"}} {
			t.Run(name+"-"+kind, func(t *testing.T) {
				r := run(t, a, append(flags, argv...)...)
				if r.code != exitOK || r.errs != "" {
					t.Fatalf("exit code %d: %s", r.code, r.errs)
				}
				goldie.New(t).Assert(t, name+"-"+kind, []byte(r.out))
			})
		}
	}
}

// Guards against a page that loads other resources or doesn't escape the text of events.
func TestEventsPage(t *testing.T) {
	f := filepath.Join(t.TempDir(), "events.html")
	if r := run(t, startAPI(t), "events", "--html", f); r.code != exitOK {
		t.Fatal(r.errs)
	}
	b, err := os.ReadFile(f)
	if err != nil {
		t.Fatal(err)
	}
	for _, w := range []string{"src=", "href=", "<script", "<b>", "@import", "url("} {
		if bytes.Contains(b, []byte(w)) {
			t.Errorf("the page contains %q", w)
		}
	}
	goldie.New(t).Assert(t, "page", b)
}

// Guards against an exit code that doesn't tell whether a change took effect.
func TestExitCodes(t *testing.T) {
	refusal := func(status int, e opsapi.Error) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_ = json.NewEncoder(w).Encode(opsapi.ErrorReply{Error: e})
		}
	}
	dropConnection := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = c.Close()
		}
	}
	reply := func(v any) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(v) }
	}
	winner := generation(1, "ben", "faster")
	promote := commandLines["promote"]
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		argv    []string
		code    int
	}{
		"conflict": {refusal(409, opsapi.Error{Code: refuse.GenerationConflict, Ran: refuse.NotRun, Message: "generation 6 is not the latest", Winner: &winner, Latest: 9}), promote, exitRefused},
		"invalid": {refusal(422, opsapi.Error{Code: refuse.DocumentInvalid, Ran: refuse.NotRun, Message: "the document has 1 problem(s)", Problems: []inidoc.Problem{
			{Section: "model a", Key: "shares", Value: "x", Line: 3, Fault: "not a share", Allowed: "VERSION:PERCENT"},
		}}), promote, exitUsage},
		"unavailable":  {refusal(503, opsapi.Error{Code: refuse.TableUnavailable, Ran: refuse.NotRun, Message: "no answer", RetryAfterMS: 2000}), promote, exitRefused},
		"unknown":      {refusal(504, opsapi.Error{Code: refuse.OutcomeUnknown, Ran: refuse.Unknown, Message: "no answer"}), promote, exitUnknown},
		"lost-answer":  {dropConnection, promote, exitUnknown},
		"lost-read":    {dropConnection, commandLines["history"], exitUnreachable},
		"not-from-api": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(502) }, promote, exitUnknown},
		"not-valid":    {reply(opsapi.ValidateReply{Problems: []inidoc.Problem{{Fault: "missing section"}}}), commandLines["validate"], exitUsage},
		"behind":       {reply(opsapi.WaitReply{Generation: 7, Behind: nil, Unreached: nil}), commandLines["wait"], exitUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			r := run(t, startServer(t, c.handler), c.argv...)
			if r.code != c.code {
				t.Errorf("exit code %d, want %d: %s", r.code, c.code, r.errs)
			}
			if strings.HasPrefix(r.errs, "refused") {
				goldie.New(t).Assert(t, "refused-"+name, []byte(r.errs))
			}
		})
	}
}

// Guards against usage errors that exit with another code or print no error.
func TestUsageErrors(t *testing.T) {
	for name, argv := range map[string][]string{
		"no command":      {},
		"unknown command": {"promte"},
		"missing reason":  {"halt", "a@1"},
		"missing file":    {"validate", filepath.Join("no", "such", "file")},
		"bad time":        {"events", "--since", "yesterday"},
		"bad timeout":     {"--timeout", "1h", "status"},
		"bad address":     {"--api", "entry-1", "status"},
	} {
		t.Run(name, func(t *testing.T) {
			if r := run(t, "http://127.0.0.1:1", argv...); r.code != exitUsage || r.errs == "" {
				t.Errorf("exit code %d: %s", r.code, r.errs)
			}
		})
	}
	t.Run("help", func(t *testing.T) {
		r := run(t, "http://127.0.0.1:1", "--help")
		if r.code != exitOK {
			t.Errorf("exit code %d", r.code)
		}
		goldie.New(t).Assert(t, "help", []byte(r.out))
	})
}

// refusingAddress returns an address that refuses connections: its port is taken by a
// socket that does not listen, so no other process can answer there.
func refusingAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	a, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("http://127.0.0.1:%d", a.(*syscall.SockaddrInet4).Port)
}

// Guards against server certificates that are not verified, or not with the CA file.
func TestCertificates(t *testing.T) {
	s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(replies["GET /history"])
	}))
	t.Cleanup(s.Close)
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	f := filepath.Join(t.TempDir(), "ca.pem")
	b := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: s.Certificate().Raw})
	if err := os.WriteFile(f, b, 0o600); err != nil {
		t.Fatal(err)
	}
	if r := run(t, s.URL, "--ca", f, "history"); r.code != exitOK {
		t.Errorf("exit code %d: %s", r.code, r.errs)
	}
	if r := run(t, s.URL, commandLines["promote"]...); r.code != exitUnreachable {
		t.Errorf("exit code %d: %s", r.code, r.errs)
	}
}

// Guards against one unreachable entry failing a command although another one answers,
// and against an unknown outcome being reported although nothing was sent.
func TestUnreachable(t *testing.T) {
	if r := run(t, refusingAddress(t), commandLines["promote"]...); r.code != exitUnreachable {
		t.Errorf("exit code %d: %s", r.code, r.errs)
	}
	if r := run(t, refusingAddress(t)+","+startAPI(t), commandLines["promote"]...); r.code != exitOK {
		t.Errorf("exit code %d: %s", r.code, r.errs)
	}
}

// Guards against a retry after a lost answer that the entry treats as another change.
func TestRetryKeepsToken(t *testing.T) {
	var calls atomic.Int64
	var tokens [2]string
	a := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		n := calls.Add(1) - 1
		var q opsapi.PromoteRequest
		_ = json.NewDecoder(r.Body).Decode(&q)
		if n < int64(len(tokens)) {
			tokens[n] = q.Token
		}
		if n == 0 {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		_ = json.NewEncoder(w).Encode(replies["POST /document/promote"])
	})
	if r := run(t, a, commandLines["promote"]...); r.code != exitOK {
		t.Errorf("exit code %d: %s", r.code, r.errs)
	}
	if tokens[0] == "" || tokens[0] != tokens[1] {
		t.Errorf("tokens %s, want the same token twice", fmt.Sprint(tokens))
	}
}
