package boot

import (
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// Guards against a stop that ends too soon, or requests that fail, because the settings are read while they are written.
func TestSettingsRewrittenInPlace(t *testing.T) {
	t.Parallel()
	tests := map[string]rewrite{
		"nothing":              {"", false},
		"nothing, in a stop":   {"", true},
		"no bounds":            {"[bounds]\n", false},
		"no bounds, in a stop": {"[bounds]\n", true},
		"no grace period":      {"grace-s = ", true},
		"part of a key":        {"grace-", true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.check(t)
		})
	}
}

// rewrite is a case in which the settings file is truncated and written in two parts.
type rewrite struct {
	// end is the end of the first part, after which the settings are read.
	end string
	// stopping is true if that is during a stop.
	stopping bool
}

// check reports orders and streams that don't end well beside the rewrite.
func (c rewrite) check(t *testing.T) {
	t.Helper()
	const (
		grace    = 12
		clients  = 20
		interval = 40 * time.Millisecond
	)
	w := startRouterWithGrace(t, standardDocument(), grace)
	ss := w.servers(always(server.Delayed{Answer: fine, Delay: 500 * time.Millisecond}))
	stream := always(server.Events{Count: 10, Pause: 50 * time.Millisecond, Unframed: true})
	ss = append(ss, w.server("llm", "m1", "v1", stream), w.server("llm", "m2", "v1", stream))
	w.awaitUpstreams(len(ss))
	var y tally
	var tasks sync.WaitGroup
	for i := range clients {
		for _, path := range []string{"/order/1", "/chat/1"} {
			tasks.Go(func() {
				time.Sleep(time.Duration(i) * interval)
				id := nextID()
				y.add(path, w.converse(exchange{ids: []string{id}, steps: []step{segment(head(path, id, 3000, chunked+"Tarragonvalve-Model-Name: small\r\n") + chunks + lastChunk)}}))
			})
		}
	}
	time.Sleep(100 * time.Millisecond)
	if c.stopping {
		w.stop()
	}
	time.Sleep(600 * time.Millisecond)
	w.rewriteSettings(c.end)
	tasks.Wait()
	y.check(t, ss...)
	for id, a := range y.all {
		if a.status != http.StatusOK || (a.body != "fine" && a.body != events(10)) {
			t.Errorf("%s %s: got %d %.60q %v, want the whole answer", y.names[id], id, a.status, a.code(), a.err)
		}
	}
}

// rewriteSettings writes the settings file up to end, and then the rest, and has it read after each.
func (w *harness) rewriteSettings(end string) {
	w.t.Helper()
	b, err := os.ReadFile(w.path)
	if err != nil {
		w.t.Fatal(err)
	}
	n := strings.Index(string(b), end) + len(end)
	for _, part := range [][]byte{b[:n], b} {
		if err := os.WriteFile(w.path, part, 0o600); err != nil {
			w.t.Fatal(err)
		}
		w.reload <- syscall.SIGHUP
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against a bound in force that is only the first digits of the one being written: a stop would end at once, or
// all keys would be refused.
func TestSettingsReadInANumber(t *testing.T) {
	t.Parallel()
	tests := map[string]rewrite{
		"grace period in a stop":   {"grace-s = 1", true},
		"revocation":               {"revoke-ms = 5", false},
		"revocation during a stop": {"revoke-ms = 5", true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.check(t)
		})
	}
}
