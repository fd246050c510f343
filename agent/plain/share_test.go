package plain_test

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/agent/plain"
)

const (
	// stalledCalls is the number of calls whose long answers stall, stalledBytes what each of
	// them has by then, just below the bound of an answer.
	stalledCalls = 40
	stalledBytes = 3<<20 - 1<<10
	// maxHeld bounds the memory of all answers together, in bytes: 8 long ones of 3 MiB, whose
	// buffers may be twice as large, and 64 KiB with its buffers for each of the others.
	maxHeld = 64 << 20
)

// Guards against long answers of one service that together take the memory of the process,
// and against short answers that wait for them.
func TestLongAnswersTogether(t *testing.T) {
	long := strings.Repeat("x", stalledBytes)
	var sending sync.WaitGroup
	sending.Add(stalledCalls)
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/short" {
			io.WriteString(w, "short")
			return
		}
		w.Header().Set("Content-Length", "3145728")
		io.WriteString(w, long[:128<<10])
		http.NewResponseController(w).Flush()
		sending.Done()
		io.WriteString(w, long[128<<10:])
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}, func(o *plain.Options) { o.IdleTimeout = time.Minute })
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithCancel(t.Context())
	var calls sync.WaitGroup
	for range stalledCalls {
		calls.Go(func() {
			if r, err := sendOnce(ctx, c, plain.Call{Method: "POST", Path: "/long"}); errorKind(err) != "unknown" {
				t.Errorf("a long call ended with %+v, %v", r, err)
			}
		})
	}
	sending.Wait()
	// The answers arrive within this time if nothing holds them back.
	time.Sleep(2 * time.Second)
	if r, err := sendOnce(t.Context(), c, plain.Call{Method: "POST", Path: "/short"}); err != nil || string(r.Body) != "short" {
		t.Errorf("a short call ended with %+v, %v", r, err)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	cancel()
	calls.Wait()
	if n := int64(after.HeapAlloc) - int64(before.HeapAlloc); n > maxHeld {
		t.Errorf("the answers take %d bytes, want at most %d", n, maxHeld)
	}
}

// Guards against long answers that are lost because others are read at the same time.
func TestLongAnswersInTurn(t *testing.T) {
	long := strings.Repeat("x", 3<<20)
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, long)
	}, nil)
	var calls sync.WaitGroup
	for range 80 {
		calls.Go(func() {
			if r, err := sendOnce(t.Context(), c, call); err != nil || len(r.Body) != len(long) {
				t.Errorf("a long call ended with %v", err)
			}
		})
	}
	calls.Wait()
}

// Guards against a long answer that is lost because its wait for others counts as silence of
// its service. The others are sent slowly, for twice the idle timeout.
func TestWaitOfLongAnswer(t *testing.T) {
	const idle = 2 * time.Second
	long := strings.Repeat("x", 128<<10)
	var slow sync.WaitGroup
	slow.Add(8)
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, long)
		if r.URL.Path != "/slow" {
			return
		}
		http.NewResponseController(w).Flush()
		slow.Done()
		for end := time.Now().Add(2 * idle); time.Now().Before(end); {
			time.Sleep(idle / 100)
			io.WriteString(w, "x")
			http.NewResponseController(w).Flush()
		}
	}, func(o *plain.Options) { o.IdleTimeout = idle })
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() {
			if r, err := sendOnce(t.Context(), c, plain.Call{Method: "POST", Path: "/slow"}); err != nil {
				t.Errorf("a slow call ended with %+v, %v", r, err)
			}
		})
	}
	slow.Wait()
	// The slow calls take their places within this time.
	time.Sleep(idle / 4)
	if r, err := sendOnce(t.Context(), c, call); err != nil || string(r.Body) != long {
		t.Errorf("the call that waited ended with %+v, %v", r, err)
	}
	calls.Wait()
}
