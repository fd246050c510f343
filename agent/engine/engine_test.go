package engine_test

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/agent/engine"
	"tarragonvalve.example/core/ident"
)

func serve(t *testing.T, h http.HandlerFunc, f func(*engine.Options)) *engine.Client {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	o := engine.Default(s.URL)
	if f != nil {
		f(&o)
	}
	c := engine.New(o)
	t.Cleanup(c.Close)
	return c
}

func sse(w http.ResponseWriter, lines ...string) {
	for _, l := range lines {
		fmt.Fprintln(w, l)
	}
	http.NewResponseController(w).Flush()
}

func token(n int, text string) string {
	return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%q},\"logprobs\":{\"content\":[{\"logprob\":-0.5}]}}]}\n", n, text)
}

const (
	finish = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n"
	usage  = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2,\"prompt_tokens_details\":{\"cached_tokens\":3}}}\n"
	done   = "data: [DONE]\n"
)

var discard = zerolog.Nop()

var request = engine.Request{
	Request:   "r1",
	Attempt:   2,
	Version:   ident.VersionRef{Model: "ipek", Version: "2.1"},
	Messages:  []engine.Message{{Role: "user", Content: "hello"}},
	MaxTokens: 10,
	Priority:  -3,
}

func all(s *engine.Stream) (text string, tokens uint32, last engine.Chunk, err error) {
	defer s.Close()
	for {
		c, err := s.Next()
		if err != nil {
			return text, tokens, last, err
		}
		text += c.Text
		tokens += c.Tokens
		last = c
	}
}

// Guards against requests that lack what the engine needs and answers that are
// read incompletely.
func TestStart(t *testing.T) {
	var body, id string
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		body, id = string(b), r.Header.Get("X-Request-Id")
		sse(w, ": comment", token(0, "a"), token(1, "b"), finish, usage, done)
	}, nil)
	s, err := c.Start(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	text, tokens, last, err := all(s)
	if !errors.Is(err, io.EOF) || text != "ab" || tokens != 2 || *last.Usage != (engine.Usage{Input: 7, Cached: 3, Output: 2}) || s.Position() != 2 {
		t.Fatalf("got %q, %d tokens, %+v, position %d, %v", text, tokens, last, s.Position(), err)
	}
	for _, want := range []string{`"model":"ipek@2.1"`, `"priority":-3`, `"stream":true`, `"logprobs":true`, `"max_tokens":10`} {
		if !strings.Contains(body, want) {
			t.Errorf("body %s lacks %s", body, want)
		}
	}
	if id != "r1-2" {
		t.Errorf("X-Request-Id %q", id)
	}
}

// Guards against an incomplete answer that passes as a whole one, and against
// events at other positions than the next one.
func TestIncompleteStreams(t *testing.T) {
	for name, lines := range map[string][]string{
		"cut":              {token(0, "a")},
		"no finish reason": {token(0, "a"), done},
		"no end marker":    {token(0, "a"), finish},
		"gap":              {token(0, "a"), token(2, "c"), finish, done},
		"repeat":           {token(0, "a"), token(0, "a"), finish, done},
		"reported error":   {token(0, "a"), "data: {\"error\":{\"message\":\"out of memory\"}}\n", done},
		"bad JSON":         {"data: {\n", done},
	} {
		t.Run(name, func(t *testing.T) {
			c := serve(t, func(w http.ResponseWriter, _ *http.Request) { sse(w, lines...) }, nil)
			s, err := c.Start(t.Context(), request)
			if err != nil {
				t.Fatal(err)
			}
			var b *engine.BrokenError
			if _, _, _, err := all(s); !errors.As(err, &b) {
				t.Fatalf("got %v, want a broken stream", err)
			}
		})
	}
}

// Guards against connections that go silent for good and hold an attempt, and
// against a resume that does not continue at the position.
func TestSilenceAndResume(t *testing.T) {
	from := ""
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			from = r.URL.Path + "?" + r.URL.RawQuery
			sse(w, token(1, "b"), finish, done)
			return
		}
		io.Copy(io.Discard, r.Body)
		sse(w, token(0, "a"))
		<-r.Context().Done()
	}, func(o *engine.Options) { o.SilenceLimit = 50 * time.Millisecond })
	s, err := c.Start(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	_, _, _, err = all(s)
	if !engine.IsSilent(err) {
		t.Fatalf("got %v, want the silence limit", err)
	}
	s, err = c.Resume(t.Context(), engine.StreamID("r1", 2), s.Position())
	if err != nil {
		t.Fatal(err)
	}
	text, _, _, err := all(s)
	if text != "b" || !errors.Is(err, io.EOF) || from != "/v1/streams/r1-2?from=1" {
		t.Fatalf("got %q from %s: %v", text, from, err)
	}
}

// Guards against not-run without proof: only a refused dial and a refusing
// status prove that the engine did not generate.
func TestProvenNotRun(t *testing.T) {
	for status, want := range map[int]bool{400: true, 404: true, 429: true, 503: true, 408: false, 409: false, 500: false, 502: false} {
		c := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }, nil)
		_, err := c.Start(t.Context(), request)
		if err == nil || engine.ProvenNotRun(err) != want {
			t.Errorf("status %d: proven %v, want %v (%v)", status, !want, want, err)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	_, err = engine.New(engine.Default("http://"+l.Addr().String())).Start(t.Context(), request)
	if !engine.ProvenNotRun(err) {
		t.Errorf("refused dial: %v is no proof", err)
	}
	c := serve(t, func(_ http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }, nil)
	if _, err := c.Start(t.Context(), request); err == nil || engine.ProvenNotRun(err) {
		t.Errorf("reset connection: %v counts as proof", err)
	}
}

// Guards against a prefix estimate that keeps prefixes whose blocks were
// removed, survives a restart of the engine, or grows without bound.
func TestCacheEvents(t *testing.T) {
	next := make(chan string)
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		for {
			select {
			case e := <-next:
				if e == "" {
					return
				}
				sse(w, "data: "+e+"\n")
			case <-r.Context().Done():
				return
			}
		}
	}, nil)
	k := engine.NewCache(c, 3, discard)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- k.Run(ctx) }()
	system := engine.Message{Role: "system", Content: strings.Repeat("s", 1500)}
	ask := func(text string) engine.Message {
		return engine.Message{Role: "user", Content: strings.Repeat(text, 1000)}
	}
	k.Learn([]uint64{21, 1}, []engine.Message{system, ask("a")})
	k.Learn([]uint64{22, 1}, []engine.Message{system, ask("b")})
	if got := k.Prefixes(); !slices.Equal(got, []uint64{1, 22, 21}) {
		t.Fatalf("prefixes %v", got)
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "system:%s\n", system.Content)
	first := h.Sum64()
	fmt.Fprintf(h, "user:%s\n", ask("b").Content)
	next <- `{"seq":1,"type":"stored","hash":"1"}`
	next <- fmt.Sprintf(`{"seq":4,"type":"removed","hash":"%x"}`, h.Sum64())
	next <- `{"seq":5,"type":"stored","hash":"1"}`
	for k.Gaps() < 2 || len(k.Prefixes()) == 3 {
		time.Sleep(time.Millisecond)
	}
	if got := k.Prefixes(); !slices.Equal(got, []uint64{1, 21}) {
		t.Fatalf("prefixes %v after the removal of a last block", got)
	}
	next <- fmt.Sprintf(`{"seq":6,"type":"removed","hash":"%x"}`, first)
	for len(k.Prefixes()) > 0 {
		time.Sleep(time.Millisecond)
	}
	for i := range uint64(5) {
		k.Learn([]uint64{100 + i}, []engine.Message{system})
	}
	if got := k.Prefixes(); !slices.Equal(got, []uint64{104, 103, 102}) {
		t.Fatalf("prefixes %v exceed the bound of 3", got)
	}
	next <- ""
	for len(k.Prefixes()) > 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
