package proof_test

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"regexp"
	"sync/atomic"
	"testing"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/proof/fleet"
	"tarragonvalve.example/proof/proc"
	"tarragonvalve.example/standin/client"
	"tarragonvalve.example/standin/flood"
)

const (
	// processMemory is what one process may use, in bytes; docs/design.md states it.
	processMemory = 128_000_000
	// endlessBytes bounds what all upstreams send for one call without end. It keeps the test under 1 GB although an
	// agent that keeps all needs several times what it reads.
	endlessBytes = 48 << 20
	// endlessTime bounds a response without end, endlessTimeout is the time of its caller.
	endlessTime    = 8 * time.Second
	endlessTimeout = 6 * time.Second
	// soundTimeout is the time of the sound calls beside it.
	soundTimeout = 20 * time.Second
	// maxFrontBody bounds the body of a request that a front reads, in bytes.
	maxFrontBody = 4 << 20
)

// front is a proxy in front of upstreams that answers calls marked "flood:PART" without end and passes on all others.
type front struct {
	t     *testing.T
	block int
	pause time.Duration
	// senders counts those at work.
	senders atomic.Int64
	// budget bounds the senders of the present call.
	budget atomic.Pointer[flood.Budget]
	// begun counts the responses without end.
	begun atomic.Int64
}

var floodMark = regexp.MustCompile(`flood:([a-z-]+)`)

// address starts a proxy in front of an upstream and returns its address.
func (x *front) address(_ ident.UpstreamID, target string) string {
	through := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target})
	// Events must pass at once. Connections that end early are part of the test and not logged.
	through.FlushInterval, through.ErrorLog = -1, log.New(io.Discard, "", 0)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxFrontBody))
		if err != nil {
			return
		}
		mark := floodMark.FindSubmatch(append([]byte(r.Header.Get("Idempotency-Key")+"\n"), b...))
		if mark == nil {
			r.Body = io.NopCloser(bytes.NewReader(b))
			through.ServeHTTP(w, r)
			return
		}
		x.flood(w, flood.Part(mark[1]))
	}))
	x.t.Cleanup(func() {
		// Streams of events that agents hold open would make Close wait.
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

func (x *front) flood(w http.ResponseWriter, p flood.Part) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		x.t.Errorf("take over a connection: %v", err)
		return
	}
	x.begun.Add(1)
	x.senders.Add(1)
	defer x.senders.Add(-1)
	// An error says that the agent has closed the connection, which is what it should do.
	_, _ = flood.Sender{Part: p, Budget: x.budget.Load(), Time: endlessTime, Block: x.block, Pause: x.pause}.Send(c)
}

// runEndless has upstreams send each part without end, with a fleet of its own for each seed. endless makes the call
// whose response has no end, sound one beside it.
func runEndless(t *testing.T, ps []flood.Part, endless func(f *fleet.Fleet, p flood.Part, n int) client.Reply, sound func(f *fleet.Fleet, n int) client.Reply) {
	t.Helper()
	t.Parallel()
	for _, seed := range proc.Seeds(t, "PROOF_SEEDS", 1) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 12))
			x := &front{t: t, block: 1 << (13 + r.IntN(4)), pause: time.Duration(r.IntN(400)) * time.Microsecond}
			t.Logf("seed %d: blocks of %d bytes, a pause of %s between two", seed, x.block, x.pause)
			f := fleet.Start(t, fleet.Options{Entries: 1, Engines: 2, Slots: 4, Front: x.address})
			for n, i := range r.Perm(len(ps)) {
				t.Run(string(ps[i]), func(t *testing.T) {
					x.runPart(t, f, func() client.Reply { return endless(f, ps[i], n) }, func() client.Reply { return sound(f, n) })
				})
			}
		})
	}
}

// runPart makes a call whose response has no end and sound ones beside it until it has ended.
func (x *front) runPart(t *testing.T, f *fleet.Fleet, endless, sound func() client.Reply) {
	x.budget.Store(flood.NewBudget(endlessBytes))
	before := x.begun.Load()
	done := make(chan client.Reply, 1)
	go func() { done <- endless() }()
	proc.Eventually(t, "an upstream sends without end", func() bool { return x.begun.Load() > before || len(done) > 0 })
	var last client.Reply
	for n, ended := 0, false; !ended; n++ {
		if s := sound(); !s.OK() {
			t.Errorf("sound call %d beside it: %s", n, s.Describe())
		}
		select {
		case last = <-done:
			ended = true
		default:
		}
	}
	proc.Eventually(t, "all senders have ended", func() bool { return x.senders.Load() == 0 })
	t.Logf("the call ended after %s: %s; %d responses without end", last.Total, last.Describe(), x.begun.Load()-before)
	if x.begun.Load() == before {
		t.Error("no upstream got the call")
	}
	if last.OK() {
		t.Errorf("a response without end looks complete: %s", last.Describe())
	}
	for id, a := range f.Agents {
		n, err := a.PeakMemory()
		if err != nil {
			t.Errorf("agent of %s: %v", id, err)
			continue
		}
		if n <= processMemory {
			continue
		}
		t.Errorf("the agent of %s used up to %d MB, allowed %d", id, n/1_000_000, processMemory/1_000_000)
		// The next part must not be charged with this peak.
		a.Kill()
		a.Restart()
		f.WaitInForce(1)
	}
	for _, e := range f.Entries {
		if n, err := e.PeakMemory(); err != nil || n > processMemory {
			t.Errorf("%s used up to %d MB, allowed %d; %v", e.Name, n/1_000_000, processMemory/1_000_000, err)
		}
	}
}

// Guards against an agent that keeps all that a plain service sends without end, so that it runs out of memory and the
// calls of others end with it.
func TestEndlessPlain(t *testing.T) {
	ps := []flood.Part{
		flood.HeaderLine, flood.HeaderLines, flood.Interim, flood.BodyByLength, flood.BodyByChunks, flood.BodyByClose,
		flood.ChunkExtension, flood.Trailers,
	}
	runEndless(t, ps, func(f *fleet.Fleet, p flood.Part, n int) client.Reply {
		c := orderCall(fmt.Sprintf("flood:%s:%d", p, n), "flood:"+string(p))
		c.Timeout = endlessTimeout
		return f.Client(f.Entries[0], fleet.Alpha).Call(f.Context(), c)
	}, func(f *fleet.Fleet, _ int) client.Reply {
		return f.Client(f.Entries[0], fleet.Gamma).Call(f.Context(), client.Call{Service: "orders", Method: http.MethodGet, Path: "/runs", Timeout: soundTimeout})
	})
}

// Guards against an agent that keeps all that an engine sends without end, so that it runs out of memory and the
// streams of others end with it.
func TestEndlessEngine(t *testing.T) {
	ps := []flood.Part{
		flood.HeaderLine, flood.HeaderLines, flood.Interim, flood.BodyByChunks, flood.ChunkExtension, flood.EventLine, flood.EventLines,
	}
	runEndless(t, ps, func(f *fleet.Fleet, p flood.Part, n int) client.Reply {
		q := fleet.ChatRequest("deep@1", fmt.Sprintf("flood:%s %d", p, n))
		q.Timeout = endlessTimeout
		return f.Client(f.Entries[0], fleet.Alpha).Chat(f.Context(), q)
	}, func(f *fleet.Fleet, n int) client.Reply {
		q := fleet.ChatRequest("quick", fmt.Sprintf("sound %d", n))
		q.Timeout = soundTimeout
		return f.Client(f.Entries[0], fleet.Gamma).Chat(f.Context(), q)
	})
}
