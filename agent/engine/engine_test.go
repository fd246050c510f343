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

func newClient(t *testing.T, h http.HandlerFunc, f func(*engine.Options)) *engine.Client {
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

func writeLines(w http.ResponseWriter, lines ...string) {
	for _, l := range lines {
		fmt.Fprintln(w, l)
	}
	http.NewResponseController(w).Flush()
}

func tokenEvent(n int, text string) string {
	return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%q},\"logprobs\":{\"content\":[{\"logprob\":-0.5}]}}]}\n", n, text)
}

const (
	finishEvent = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n"
	usageEvent  = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2,\"prompt_tokens_details\":{\"cached_tokens\":3}}}\n"
	doneEvent   = "data: [DONE]\n"
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

func readAll(s *engine.Stream) (text string, tokens uint32, last engine.Chunk, err error) {
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

// Guards against requests without the fields that the engine needs, and answers that are
// read incompletely.
func TestStart(t *testing.T) {
	var body, id string
	c := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		body, id = string(b), r.Header.Get("X-Request-Id")
		writeLines(w, ": comment", tokenEvent(0, "a"), tokenEvent(1, "b"), finishEvent, usageEvent, doneEvent)
	}, nil)
	s, err := c.Start(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	text, tokens, last, err := readAll(s)
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

// Guards against an incomplete answer that counts as complete, and against events at an
// unexpected position.
func TestIncompleteStreams(t *testing.T) {
	for name, lines := range map[string][]string{
		"cut":              {tokenEvent(0, "a")},
		"no finish reason": {tokenEvent(0, "a"), doneEvent},
		"no end marker":    {tokenEvent(0, "a"), finishEvent},
		"gap":              {tokenEvent(0, "a"), tokenEvent(2, "c"), finishEvent, doneEvent},
		"repeat":           {tokenEvent(0, "a"), tokenEvent(0, "a"), finishEvent, doneEvent},
		"reported error":   {tokenEvent(0, "a"), "data: {\"error\":{\"message\":\"out of memory\"}}\n", doneEvent},
		"bad JSON":         {"data: {\n", doneEvent},
	} {
		t.Run(name, func(t *testing.T) {
			c := newClient(t, func(w http.ResponseWriter, _ *http.Request) { writeLines(w, lines...) }, nil)
			s, err := c.Start(t.Context(), request)
			if err != nil {
				t.Fatal(err)
			}
			var b *engine.BrokenError
			if _, _, _, err := readAll(s); !errors.As(err, &b) {
				t.Fatalf("got %v, want a *BrokenError", err)
			}
		})
	}
}

// Guards against a connection without data that blocks an attempt forever, and against a
// resume that does not continue at the requested position.
func TestIdleTimeoutAndResume(t *testing.T) {
	from := ""
	c := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			from = r.URL.Path + "?" + r.URL.RawQuery
			writeLines(w, tokenEvent(1, "b"), finishEvent, doneEvent)
			return
		}
		io.Copy(io.Discard, r.Body)
		writeLines(w, tokenEvent(0, "a"))
		<-r.Context().Done()
	}, func(o *engine.Options) { o.IdleTimeout = 50 * time.Millisecond })
	s, err := c.Start(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	_, _, _, err = readAll(s)
	if !engine.IsIdleTimeout(err) {
		t.Fatalf("got %v, want an *IdleTimeoutError", err)
	}
	s, err = c.Resume(t.Context(), engine.StreamID("r1", 2), s.Position())
	if err != nil {
		t.Fatal(err)
	}
	text, _, _, err := readAll(s)
	if text != "b" || !errors.Is(err, io.EOF) || from != "/v1/streams/r1-2?from=1" {
		t.Fatalf("got %q from %s: %v", text, from, err)
	}
}

// Guards against outcomes that count as not-run without proof: only a failed dial and
// certain statuses prove that the engine did not generate.
func TestProvenNotRun(t *testing.T) {
	for status, want := range map[int]bool{400: true, 404: true, 429: true, 503: true, 408: false, 409: false, 500: false, 502: false} {
		c := newClient(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }, nil)
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
		t.Errorf("refused dial: %v does not count as proof", err)
	}
	c := newClient(t, func(_ http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }, nil)
	if _, err := c.Start(t.Context(), request); err == nil || engine.ProvenNotRun(err) {
		t.Errorf("reset connection: %v counts as proof", err)
	}
}

// Guards against a tracker that keeps prefixes whose blocks were removed, keeps them across
// a restart of the engine, or exceeds its limit.
func TestPrefixTracker(t *testing.T) {
	next := make(chan string)
	c := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		for {
			select {
			case e := <-next:
				if e == "" {
					return
				}
				writeLines(w, "data: "+e+"\n")
			case <-r.Context().Done():
				return
			}
		}
	}, nil)
	k := engine.NewPrefixTracker(c, 3, discard)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- k.Run(ctx) }()
	system := engine.Message{Role: "system", Content: strings.Repeat("s", 1500)}
	ask := func(text string) engine.Message {
		return engine.Message{Role: "user", Content: strings.Repeat(text, 1000)}
	}
	k.RecordPrompt([]uint64{21, 1}, []engine.Message{system, ask("a")})
	k.RecordPrompt([]uint64{22, 1}, []engine.Message{system, ask("b")})
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
	for k.MissedEvents() < 2 || len(k.Prefixes()) == 3 {
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
		k.RecordPrompt([]uint64{100 + i}, []engine.Message{system})
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
