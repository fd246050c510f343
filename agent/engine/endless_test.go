package engine_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/agent/engine"
	"tarragonvalve.example/agent/excess"
	"tarragonvalve.example/core/inlet"
)

const (
	// maxSent ends an endless stream of a test, in bytes.
	maxSent = 64 << 20
	// maxAccepted bounds what an engine may send before its stream ends, in bytes. Besides what
	// the client reads, the sockets' buffers hold some MB.
	maxAccepted = maxSent / 2
	// maxEventMemory bounds what is allocated while an event is read, in bytes: 16 times the
	// bound of an event, 1 MiB.
	maxEventMemory = 16 << 20
)

// sendEndless repeats a text until the client closes or maxSent bytes were sent.
func sendEndless(w http.ResponseWriter, r *http.Request, text string, sent *atomic.Int64) {
	chunk := bytes.Repeat([]byte(text), (64<<10)/len(text))
	for n := 0; n < maxSent; {
		m, err := w.Write(chunk)
		n += m
		sent.Add(int64(m))
		if err != nil {
			return
		}
	}
	http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// Reported by operators of similar systems: a faulty server sends bytes without end.
// Guards against an event whose lines are kept in memory until the caller's time is over,
// and against one that ends a stream of another engine beside it.
func TestEndlessEvent(t *testing.T) {
	for name, text := range map[string]string{
		"short data lines": "data: x\n",
		"one line":         "x",
		"comments":         ": ping\n",
		"ids":              "id: 1\n",
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			faulty := newClient(t, func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				sendEndless(w, r, text, &sent)
			}, nil)
			ended := make(chan struct{})
			sound := newClient(t, func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				writeLines(w, tokenEvent(0, "a"))
				select {
				case <-ended:
				case <-r.Context().Done():
				}
				writeLines(w, tokenEvent(1, "b"), finishEvent, doneEvent)
			}, func(o *engine.Options) { o.IdleTimeout = time.Minute })
			var group sync.WaitGroup
			group.Go(func() {
				s, err := sound.Start(t.Context(), request)
				if err != nil {
					t.Error(err)
					return
				}
				if text, _, _, err := readAll(s); !errors.Is(err, io.EOF) || text != "ab" {
					t.Errorf("the sound stream ended with %q, %v", text, err)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			s, err := faulty.Start(ctx, request)
			if err != nil {
				t.Fatal(err)
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, _, _, err = readAll(s)
			runtime.ReadMemStats(&after)
			close(ended)
			group.Wait()
			var b *engine.BrokenError
			var l *inlet.TooLongError
			if !errors.As(err, &b) || !errors.As(err, &l) || l.Part != inlet.Event || !strings.HasPrefix(l.Peer, "http://127.0.0.1:") {
				t.Errorf("got %v, want a *BrokenError by a *TooLongError for the event", err)
			}
			if n := after.TotalAlloc - before.TotalAlloc; n > maxEventMemory {
				t.Errorf("the stream allocated %d bytes, want at most %d", n, maxEventMemory)
			}
			if n := sent.Load(); n > maxAccepted {
				t.Errorf("the engine could send %d bytes, want at most %d", n, maxAccepted)
			}
		})
	}
}

// Guards against a stream of many sound events that is refused because its events together
// exceed the bound of one.
func TestManyEventsBeyondTheBoundOfOne(t *testing.T) {
	const n = 40
	long := strings.Repeat("x", 64<<10)
	c := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		for i := range n {
			writeLines(w, tokenEvent(i, long))
		}
		writeLines(w, finishEvent, doneEvent)
	}, nil)
	s, err := c.Start(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	if text, _, _, err := readAll(s); !errors.Is(err, io.EOF) || len(text) != n*len(long) {
		t.Fatalf("got %d bytes, %v", len(text), err)
	}
}

// Guards against a head without end that is kept in memory, and against its being reported
// without the part.
func TestEndlessHead(t *testing.T) {
	for name, a := range map[string]struct {
		text string
		part inlet.Part
	}{
		"header line":     {"HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 1<<20), inlet.Head},
		"interim answers": {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1<<16), inlet.Interim},
	} {
		t.Run(name, func(t *testing.T) {
			c := newClient(t, func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				n, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer n.Close()
				io.WriteString(n, a.text)
				io.Copy(io.Discard, n)
			}, nil)
			_, err := c.Start(t.Context(), request)
			var b *engine.BrokenError
			var l *inlet.TooLongError
			if !errors.As(err, &b) || !errors.As(err, &l) || l.Part != a.part {
				t.Errorf("got %v, want a *BrokenError by a *TooLongError for the %s", err, a.part)
			}
		})
	}
}

// Guards against a report without end that is kept in memory or takes more than its time.
func TestEndlessReport(t *testing.T) {
	var sent atomic.Int64
	c := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, `{"queued":1,"x":"`)
		sendEndless(w, r, strconv.Itoa(1), &sent)
	}, nil)
	_, err := c.Load(t.Context())
	var l *inlet.TooLongError
	if !errors.As(err, &l) || l.Part != inlet.Body || sent.Load() > maxAccepted {
		t.Errorf("got %v after %d bytes, want a *TooLongError for the body", err, sent.Load())
	}
}

// Guards against the body of an error that is kept in memory or read on without end.
func TestEndlessErrorBody(t *testing.T) {
	var sent atomic.Int64
	c := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusInternalServerError)
		sendEndless(w, r, "x", &sent)
	}, nil)
	_, err := c.Start(t.Context(), request)
	var e *engine.StatusError
	if !errors.As(err, &e) || len(e.Message) != 4<<10 || sent.Load() > maxAccepted {
		t.Errorf("got %T after %d bytes, want a *StatusError with 4 KiB", err, sent.Load())
	}
}

// Guards against cache events without end that are kept in memory, that end the reader, and
// that no log line shows.
func TestEndlessCacheEvent(t *testing.T) {
	for name, text := range map[string]string{"one line": "x", "comments": ": ping\n"} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			var log bytes.Buffer
			again := make(chan struct{}, 1)
			opened := 0
			c := newClient(t, func(w http.ResponseWriter, r *http.Request) {
				if opened++; opened > 1 {
					select {
					case again <- struct{}{}:
					default:
					}
					<-r.Context().Done()
					return
				}
				sendEndless(w, r, text, &sent)
			}, func(o *engine.Options) {
				o.Excess = excess.New(excess.Options{Upstream: "e1", Log: zerolog.New(&log), Now: time.Now})
			})
			p := engine.NewPrefixTracker(c, 10, discard)
			ctx, cancel := context.WithCancel(t.Context())
			var group sync.WaitGroup
			group.Go(func() { _ = p.Run(ctx) })
			select {
			case <-again:
			case <-time.After(20 * time.Second):
				t.Error("the events are not read again")
			}
			cancel()
			group.Wait()
			if n := sent.Load(); n > maxAccepted {
				t.Errorf("the engine could send %d bytes, want at most %d", n, maxAccepted)
			}
			if !strings.Contains(log.String(), `"part":"event"`) {
				t.Errorf("logged %q", log.String())
			}
		})
	}
}
