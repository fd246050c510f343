package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/sebdah/goldie/v2"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/panics"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/entry/calls"
	"tarragonvalve.example/entry/policy"
	"tarragonvalve.example/entry/relay"
)

var quick = ident.VersionRef{Model: "quick", Version: "1"}

// fake implements all dependencies of the API: it answers chats by a script and
// calls with a fixed reply.
type fake struct {
	document *envdoc.Document
	chat     func(ctx context.Context, c relay.Chat, s relay.Sink) (*relay.Answer, error)
	// overLimit makes Admit refuse every request.
	overLimit bool
	// latest bounds the deadlines that the process admits while it drains; zero if it doesn't.
	latest time.Time
	// reached counts the chats and calls; last is the latest call.
	reached int
	last    calls.Call
	log     zerolog.Logger
}

func (f *fake) View() *spread.View {
	if f.document == nil {
		return &spread.View{}
	}
	return &spread.View{Accepted: &spread.AcceptedDocument{Generation: 1, Document: f.document}}
}

func (f *fake) Chat(ctx context.Context, c relay.Chat, s relay.Sink) (*relay.Answer, error) {
	f.reached++
	return f.chat(ctx, c, s)
}

func (f *fake) Call(_ context.Context, c calls.Call) (*calls.Reply, error) {
	f.reached++
	f.last = c
	return &calls.Reply{StatusCode: 201, ContentType: "text/plain", Body: []byte("made"), Replayed: true}, nil
}

func (f *fake) Admit(context.Context, *envdoc.Account, policy.RequestSize) (ident.Tokens, error) {
	if f.overLimit {
		return 0, refuse.New(refuse.RateLimited, refuse.NotRun, "over the limit").WithRetryAfter(1500 * time.Millisecond)
	}
	return 0, nil
}

func (f *fake) Settle(ident.AccountID, ident.Tokens, ident.Tokens) {}

// document has one account with the key key-alpha, one model and one service; %s
// stands for the digest of the key.
const document = `[environment]
name = test

[account alpha]
key-digests = %s
allowed = quick@1
services = orders
objective = cost
quality-target = 0.5

[model quick]
shares = 1:100

[version quick@1]
input-price-micro-cents = 1
output-price-micro-cents = 1
quality-prior = 0.8

[service orders]
calls = POST /runs not-repeatable
price-micro-cents = 1

[end]
`

// newFake returns a fake that answers every chat with the same text of two pieces.
func newFake(t *testing.T) *fake {
	t.Helper()
	d, err := envdoc.Parse([]byte(strings.Replace(document, "%s", string(envdoc.KeyDigestOf("key-alpha")), 1)))
	if err != nil {
		t.Fatal(err)
	}
	return &fake{document: d, log: zerolog.Nop(), chat: func(_ context.Context, _ relay.Chat, s relay.Sink) (*relay.Answer, error) {
		h := relay.Head{Session: "token", Version: quick, Moved: true, Final: true}
		s.SetHead(h)
		for _, x := range []string{"Hel", "lo \"you\"\n"} {
			if err := s.Text(x); err != nil {
				return nil, err
			}
		}
		return &relay.Answer{Head: h, FinishReason: "stop", Input: 5, Cached: 2, Output: 3}, nil
	}}
}

func (f *fake) api() *API {
	return New(Options{
		Control: f, Chats: f, Calls: f, Limits: f,
		Admits:     func(d time.Time) bool { return f.latest.IsZero() || !d.After(f.latest) },
		StoppedFor: func() (time.Duration, bool) { return 1500 * time.Millisecond, !f.latest.IsZero() },
		Panics:     panics.New(f.log), Log: f.log,
		Ring:    event.NewRing(event.NewClock(time.Now), "entry-1", 64),
		Now:     func() time.Time { return time.Unix(1_700_000_000, 0) },
		MaxBody: 4096, MaxOpen: 8, MaxTokens: 100, DefaultTimeout: time.Minute, MaxTimeout: time.Hour,
	})
}

// do sends a request with a valid key. The headers are pairs of name and value.
func (f *fake) do(method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer key-alpha")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	f.api().ServeHTTP(w, r)
	return w
}

const (
	chatPath = "/v1/chat/completions"
	// hello is a chat completion request without its closing brace, so that tests
	// can add fields.
	hello = `{"model":"auto","messages":[{"role":"user","content":"hi"}]`
)

// normalize formats a response with a fixed request id in place of the random one, so
// that it can be compared with a golden file.
func normalize(w *httptest.ResponseRecorder) []byte {
	id := w.Header().Get(HeaderRequest)
	var b strings.Builder
	for _, h := range []string{"Content-Type", HeaderSession, HeaderSessionMoved, HeaderModel, "Retry-After"} {
		if v := w.Header().Get(h); v != "" {
			b.WriteString(h + ": " + v + "\n")
		}
	}
	b.WriteString("\n" + w.Body.String())
	return []byte(strings.ReplaceAll(b.String(), id, "ID"))
}

// Guards against unintended changes of the responses that clients parse.
func TestResponses(t *testing.T) {
	g := goldie.New(t)
	for name, body := range map[string]string{
		"whole":       hello + `}`,
		"stream":      hello + `,"stream":true}`,
		"stream-used": hello + `,"stream":true,"stream_options":{"include_usage":true}}`,
	} {
		t.Run(name, func(t *testing.T) {
			g.Assert(t, name, normalize(newFake(t).do("POST", chatPath, body)))
		})
	}
	t.Run("models", func(t *testing.T) {
		g.Assert(t, "models", normalize(newFake(t).do("GET", "/v1/models", "")))
	})
}

// Guards against invalid requests that reach an upstream, and against refusals with
// a wrong status or code or that don't say not-run.
func TestInvalidRequests(t *testing.T) {
	for name, c := range map[string]struct {
		method, path, body string
		headers            []string
		code               refuse.Code
		status             int
	}{
		"no key":           {"POST", chatPath, hello + `}`, []string{"Authorization", ""}, refuse.Unauthenticated, 401},
		"unknown key":      {"POST", chatPath, hello + `}`, []string{"Authorization", "Bearer x"}, refuse.Unauthenticated, 401},
		"not JSON":         {"POST", chatPath, `{`, nil, refuse.BadRequest, 400},
		"two values":       {"POST", chatPath, hello + `}{}`, nil, refuse.BadRequest, 400},
		"unknown field":    {"POST", chatPath, hello + `,"tools":[]}`, nil, refuse.BadRequest, 400},
		"no messages":      {"POST", chatPath, `{"model":"auto","messages":[]}`, nil, refuse.BadRequest, 400},
		"no model":         {"POST", chatPath, `{"messages":[{"role":"user","content":"x"}]}`, nil, refuse.BadRequest, 400},
		"bad role":         {"POST", chatPath, `{"model":"auto","messages":[{"role":"root","content":"x"}]}`, nil, refuse.BadRequest, 400},
		"image":            {"POST", chatPath, `{"model":"auto","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, refuse.BadRequest, 400},
		"too many tokens":  {"POST", chatPath, hello + `,"max_tokens":101}`, nil, refuse.BadRequest, 400},
		"no tokens":        {"POST", chatPath, hello + `,"max_tokens":0}`, nil, refuse.BadRequest, 400},
		"high temperature": {"POST", chatPath, hello + `,"temperature":2.1}`, nil, refuse.BadRequest, 400},
		"n is two":         {"POST", chatPath, hello + `,"n":2}`, nil, refuse.BadRequest, 400},
		"bad timeout":      {"POST", chatPath, hello + `}`, []string{HeaderTimeout, "0"}, refuse.BadRequest, 400},
		"long timeout":     {"POST", chatPath, hello + `}`, []string{HeaderTimeout, "3600001"}, refuse.BadRequest, 400},
		"long task":        {"POST", chatPath, hello + `}`, []string{HeaderTask, strings.Repeat("x", 256)}, refuse.BadRequest, 400},
		"large body":       {"POST", chatPath, hello + strings.Repeat(" ", 5000) + `}`, nil, refuse.BodyTooLarge, 413},
		"unknown path":     {"GET", "/v2/x", "", nil, refuse.NotFound, 404},
		"wrong method":     {"GET", chatPath, "", nil, refuse.BadRequest, 400},
		"dots in the path": {"POST", "/v1/services/orders/runs/../caps", "", nil, refuse.BadRequest, 400},
		"escaped dots":     {"POST", "/v1/services/orders/runs/%2e%2e/caps", "", nil, refuse.BadRequest, 400},
		"empty segment":    {"POST", "/v1/services/orders//runs", "", nil, refuse.BadRequest, 400},
		"long key":         {"POST", "/v1/services/orders/runs", "", []string{HeaderKey, strings.Repeat("x", 256)}, refuse.BadRequest, 400},
		"large call":       {"POST", "/v1/services/orders/runs", strings.Repeat("x", 5000), nil, refuse.BodyTooLarge, 413},
		"truncated JSON":   {"POST", chatPath, hello, nil, refuse.BadRequest, 400},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFake(t)
			w := f.do(c.method, c.path, c.body, c.headers...)
			var b errorBody
			if err := json.Unmarshal(w.Body.Bytes(), &b); err != nil {
				t.Fatalf("decode the error body: %v in %s", err, w.Body)
			}
			if w.Code != c.status || b.Error.Code != c.code || b.Error.Ran != refuse.NotRun {
				t.Errorf("got status %d and refusal %+v", w.Code, b.Error)
			}
			if f.reached != 0 {
				t.Error("the invalid request was not stopped")
			}
		})
	}
}

// Guards against a rate limit refusal without the time to retry after, and against
// a wrong status while there is no document.
func TestRateLimitHasRetryAfter(t *testing.T) {
	f := newFake(t)
	f.overLimit = true
	w := f.do("POST", chatPath, hello+`}`)
	if w.Code != 429 || w.Header().Get("Retry-After") != "2" || !strings.Contains(w.Body.String(), `"retry-after-ms":1500`) {
		t.Fatalf("over the limit: got status %d, headers %v, body %s", w.Code, w.Header(), w.Body)
	}
	f.overLimit = false
	f.document = nil
	if w := f.do("POST", chatPath, hello+`}`); w.Code != 503 || !strings.Contains(w.Body.String(), "no-document") {
		t.Fatalf("without a document: %d, %s", w.Code, w.Body)
	}
}

// Guards against a broken stream that looks complete, and against a refusal with
// status 200 although nothing was sent before it.
func TestBrokenStreamHasNoEnd(t *testing.T) {
	f := newFake(t)
	broken := refuse.New(refuse.StreamBroken, refuse.DidRun, "lost")
	f.chat = func(_ context.Context, _ relay.Chat, s relay.Sink) (*relay.Answer, error) {
		s.SetHead(relay.Head{Session: "token", Version: quick, Final: true})
		s.Text("Hel")
		return nil, broken
	}
	b := f.do("POST", chatPath, hello+`,"stream":true}`).Body.String()
	if !strings.Contains(b, "event: error\n") || !strings.Contains(b, `"code":"stream-broken"`) {
		t.Errorf("no error event in %s", b)
	}
	if strings.Contains(b, "[DONE]") || strings.Contains(b, `"finish_reason":"`) {
		t.Errorf("a normal end in %s", b)
	}
	f.chat = func(context.Context, relay.Chat, relay.Sink) (*relay.Answer, error) {
		return nil, refuse.New(refuse.Overloaded, refuse.NotRun, "busy").WithRetryAfter(time.Second)
	}
	if w := f.do("POST", chatPath, hello+`,"stream":true}`); w.Code != 503 || w.Header().Get("Retry-After") != "1" {
		t.Errorf("refused before the first text: got status %d, headers %v", w.Code, w.Header())
	}
}

// Guards against callers and proxies that close a slow stream because nothing arrives on it.
func TestCommentsWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake(t)
		answer := f.chat
		f.chat = func(ctx context.Context, c relay.Chat, s relay.Sink) (*relay.Answer, error) {
			s.SetHead(relay.Head{Session: "token", Version: quick, Final: true})
			time.Sleep(11 * time.Second)
			return answer(ctx, c, s)
		}
		w := f.do("POST", chatPath, hello+`,"stream":true}`)
		if n := strings.Count(w.Body.String(), ": waiting\n\n"); n != 2 {
			t.Errorf("%d comments in 11 s", n)
		}
		if w.Header().Get(HeaderSession) != "token" || !strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n") {
			t.Errorf("got headers %v, body %s, want the session token and [DONE] at the end", w.Header(), w.Body)
		}
	})
}

// Guards against a session token for a version that did not answer: a comment line
// would send the headers before it is final which version of a cascade answers.
func TestHeadersWaitForTheVersionThatAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake(t)
		f.chat = func(_ context.Context, _ relay.Chat, s relay.Sink) (*relay.Answer, error) {
			s.SetHead(relay.Head{Session: "first", Version: quick})
			time.Sleep(11 * time.Second)
			s.SetHead(relay.Head{Session: "second", Version: quick, Final: true})
			_ = s.Text("text")
			return &relay.Answer{FinishReason: "stop"}, nil
		}
		w := f.do("POST", chatPath, hello+`,"stream":true}`)
		if got := w.Header().Get(HeaderSession); got != "second" {
			t.Errorf("session token %q, want that of the version that answered", got)
		}
	})
}

// Guards against work that continues after the caller closed its connection.
func TestDisconnectCancels(t *testing.T) {
	f := newFake(t)
	ended := make(chan error, 1)
	f.chat = func(ctx context.Context, _ relay.Chat, s relay.Sink) (*relay.Answer, error) {
		s.SetHead(relay.Head{Session: "token", Version: quick, Final: true})
		s.Text("Hel")
		<-ctx.Done()
		ended <- ctx.Err()
		return nil, refuse.New(refuse.Cancelled, refuse.DidRun, "left")
	}
	v := httptest.NewServer(f.api())
	defer v.Close()
	ctx, cancel := context.WithCancel(context.Background())
	r, _ := http.NewRequestWithContext(ctx, "POST", v.URL+chatPath, strings.NewReader(hello+`,"stream":true}`))
	r.Header.Set("Authorization", "Bearer key-alpha")
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Body.Close()
	if _, err := bufio.NewReader(p.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Fatalf("the chat's context ended with %v, want context.Canceled", err)
	}
}

// Guards against calls that reach the service with a changed path, query, body or
// key, and against repeats of a keyed call with another request id.
func TestServiceCall(t *testing.T) {
	f := newFake(t)
	w := f.do("POST", "/v1/services/orders/runs/a%20b?n=1&m=x%2Fy", "body", HeaderKey, "k1", "Content-Type", "text/plain")
	b, _ := io.ReadAll(w.Body)
	if w.Code != 201 || string(b) != "made" || w.Header().Get(HeaderReplayed) != "yes" || w.Header().Get("Content-Type") != "text/plain" {
		t.Errorf("got status %d, headers %v, body %s", w.Code, w.Header(), b)
	}
	c := f.last
	if c.Path != "/runs/a b" || c.Target != "/runs/a%20b?n=1&m=x%2Fy" || string(c.Body) != "body" || c.Key != "k1" {
		t.Errorf("the service got %+v", c)
	}
	f.do("POST", "/v1/services/orders/runs", "body", HeaderKey, "k1")
	if f.last.ID != c.ID {
		t.Errorf("a repeat has the request id %s, the first %s", f.last.ID, c.ID)
	}
}

// Guards against an unbounded number of open requests when upstreams are slow.
func TestOpenRequestsAreBounded(t *testing.T) {
	f := newFake(t)
	hold := make(chan struct{})
	entered := make(chan struct{}, 16)
	f.chat = func(context.Context, relay.Chat, relay.Sink) (*relay.Answer, error) {
		entered <- struct{}{}
		<-hold
		return nil, refuse.New(refuse.Cancelled, refuse.NotRun, "test ends")
	}
	a := f.api()
	send := func() *httptest.ResponseRecorder {
		r := httptest.NewRequest("POST", chatPath, strings.NewReader(hello+`}`))
		r.Header.Set("Authorization", "Bearer key-alpha")
		w := httptest.NewRecorder()
		a.ServeHTTP(w, r)
		return w
	}
	for range 8 {
		go send()
		<-entered
	}
	if w := send(); w.Code != 503 || !strings.Contains(w.Body.String(), `"overloaded"`) {
		t.Errorf("above MaxOpen: got status %d, body %s", w.Code, w.Body)
	}
	close(hold)
}

// Guards against requests that a draining entry takes although it ends before their deadline, and against
// ones that it refuses although they end before that.
func TestDeadlineAfterDrain(t *testing.T) {
	tests := map[string]struct {
		path, body, timeout string
		status, reached     int
	}{
		"call that ends in time":  {"/v1/services/orders/runs", "{}", "5000", 201, 1},
		"call that can't":         {"/v1/services/orders/runs", "{}", "20000", 503, 0},
		"chat that ends in time":  {chatPath, hello + "}", "5000", 200, 1},
		"chat that can't":         {chatPath, hello + "}", "20000", 503, 0},
		"chat without a deadline": {chatPath, hello + "}", "", 503, 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFake(t)
			f.latest = time.Unix(1_700_000_010, 0)
			var headers []string
			if c.timeout != "" {
				headers = []string{HeaderTimeout, c.timeout}
			}
			w := f.do("POST", c.path, c.body, append(headers, HeaderKey, "k")...)
			if w.Code != c.status || f.reached != c.reached {
				t.Errorf("got %d %s, reached %d times, want %d and %d", w.Code, w.Body, f.reached, c.status, c.reached)
			}
			if c.status == 503 && (!strings.Contains(w.Body.String(), `"code":"draining"`) || !strings.Contains(w.Body.String(), `"ran":"not-run"`)) {
				t.Errorf("refused with %s", w.Body)
			}
		})
	}
}

// Guards against callers that are let in without a key once a document has no client account left.
func TestNoAccounts(t *testing.T) {
	f := newFake(t)
	a, b := strings.Index(document, "[account"), strings.Index(document, "[model")
	d, err := envdoc.Parse([]byte(document[:a] + document[b:]))
	if err != nil {
		t.Fatal(err)
	}
	f.document = d
	for _, k := range []string{"Bearer key-alpha", "Bearer key-never-held", ""} {
		if w := f.do("POST", chatPath, hello+"}", "Authorization", k); w.Code != 401 || f.reached != 0 {
			t.Errorf("key %q: got %d, reached %d times", k, w.Code, f.reached)
		}
	}
}
