package proof_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/proof/fleet"
	"tarragonvalve.example/proof/proc"
	"tarragonvalve.example/standin/client"
	"tarragonvalve.example/standin/engine"
	"tarragonvalve.example/standin/fault"
)

// pausedBody is a request body that is sent in chunks with pauses between them.
type pausedBody struct {
	parts []string
	pause time.Duration
}

func (b *pausedBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	n := copy(p, b.parts[0])
	b.parts = b.parts[1:]
	return n, nil
}

// orderResult is how an order ended for its caller. status is 0 if its connection ended without an answer.
type orderResult struct {
	key    string
	status int
	code   refuse.Code
	ran    refuse.Ran
	err    error
}

// chunkedOrder sends an order with its body in chunks.
func chunkedOrder(h *http.Client, e *fleet.Entry, key string, pause time.Duration) orderResult {
	out := orderResult{key: key}
	q, err := http.NewRequest(http.MethodPost, "http://"+e.Addr.Callers+"/v1/services/orders/runs", &pausedBody{parts: []string{"{", `"n":1`, "}"}, pause: pause})
	if err != nil {
		out.err = err
		return out
	}
	q.Header.Set("Authorization", "Bearer key-"+fleet.Alpha)
	q.Header.Set("Idempotency-Key", key)
	q.Header.Set("Tarragonvalve-Timeout-Ms", "20000")
	p, err := h.Do(q)
	if err != nil {
		out.err = err
		return out
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		out.err = err
		return out
	}
	out.status = p.StatusCode
	var m struct {
		Error struct {
			Code refuse.Code `json:"code"`
			Ran  refuse.Ran  `json:"ran"`
		} `json:"error"`
	}
	if p.StatusCode/100 != 2 && json.Unmarshal(b, &m) == nil {
		out.code, out.ran = m.Error.Code, m.Error.Ran
	}
	return out
}

// sendOrders sends orders with bodies in chunks from several clients, each on a kept connection, until stop
// is closed or an entry takes no connection any more. It returns a function that waits for the results.
func sendOrders(e *fleet.Entry, label string, clients int, stop <-chan struct{}) func() []orderResult {
	var mu sync.Mutex
	var out []orderResult
	var w sync.WaitGroup
	for i := range clients {
		w.Go(func() {
			t := &http.Transport{}
			defer t.CloseIdleConnections()
			h := &http.Client{Transport: t}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				r := chunkedOrder(h, e, fmt.Sprintf("%s-%d-%d", label, i, n), time.Duration(n%4)*10*time.Millisecond)
				mu.Lock()
				out = append(out, r)
				mu.Unlock()
				if r.err != nil && strings.Contains(r.err.Error(), "connection refused") {
					return
				}
			}
		})
	}
	return func() []orderResult {
		w.Wait()
		return out
	}
}

// checkOrders fails the test unless each order that ran, once at most, has a complete answer or a refusal
// that doesn't deny it, and each answer is true. It returns the number of results.
func checkOrders(t *testing.T, f *fleet.Fleet, rs []orderResult) (served int) {
	t.Helper()
	for _, r := range rs {
		n := f.Runs(r.key)
		switch {
		case n > 1:
			t.Errorf("%s ran %d times", r.key, n)
		case r.status == 0 && n > 0:
			t.Errorf("%s ran and its connection ended without an answer: %v", r.key, r.err)
		case r.status/100 == 2 && n != 1:
			t.Errorf("%s has a result and ran %d times", r.key, n)
		case r.status != 0 && r.status/100 != 2 && (r.ran == refuse.NotRun) && n > 0:
			t.Errorf("%s was refused with %s as not run, and ran", r.key, r.code)
		case r.status != 0 && r.status/100 != 2 && r.ran == "":
			t.Errorf("%s was answered %d without saying whether it ran", r.key, r.status)
		case r.code == refuse.Cancelled:
			t.Errorf("%s was refused as if its caller had left", r.key)
		}
		if r.status/100 == 2 {
			served++
		}
	}
	return served
}

// mixedSignals sends SIGTERM and then others that a service manager or an operator may add.
func mixedSignals(p *proc.Process) {
	p.Terminate()
	for _, s := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP} {
		time.Sleep(100 * time.Millisecond)
		p.Signal(s)
	}
}

// Guards against a stop that ends a request that an upstream ran without a complete answer or a truthful
// error, whatever signals come after the first.
func TestStopUnderLoad(t *testing.T) {
	runScenarios(t, map[string]scenario{
		"entry": {run: func(t *testing.T, f *fleet.Fleet) {
			e := f.Entries[0]
			results := sendOrders(e, "entry", 12, nil)
			var streams []outcome
			var w sync.WaitGroup
			w.Go(func() { streams = <-sendChats(f, e, fleet.Alpha, "deep@1", "long", 4) })
			time.Sleep(700 * time.Millisecond)
			mixedSignals(e.Process)
			rs := results()
			w.Wait()
			served := checkOrders(t, f, rs)
			if whole := checkOutcomes(t, f, streams); whole != len(streams) {
				t.Errorf("%d of %d streams were answered whole", whole, len(streams))
			}
			if c := e.ExitCode(t); c != 0 {
				t.Errorf("exit code %d", c)
			}
			t.Logf("%d of %d orders served", served, len(rs))
		}},
		"agent": {run: func(t *testing.T, f *fleet.Fleet) {
			stop := make(chan struct{})
			results := sendOrders(f.Entries[0], "agent", 12, stop)
			time.Sleep(700 * time.Millisecond)
			a := f.Agents["orders-1"]
			mixedSignals(a.Process)
			if c := a.ExitCode(t); c != 0 {
				t.Errorf("exit code %d", c)
			}
			a.Restart()
			time.Sleep(500 * time.Millisecond)
			close(stop)
			rs := results()
			served := checkOrders(t, f, rs)
			t.Logf("%d of %d orders served", served, len(rs))
		}},
	})
}

// slowDown makes the answers of deep@1 take some seconds.
func slowDown(f *fleet.Fleet) {
	x := 4.0
	f.OverrideVersion(fleet.Deep1, engine.Override{Slowness: &x})
}

// checkEnded fails the test unless a stream ended with stream-broken and its entry logged the cause.
func checkEnded(t *testing.T, f *fleet.Fleet, e *fleet.Entry, o outcome, cause string) {
	t.Helper()
	f.CheckText(o.request, &o.reply)
	if o.reply.Code != refuse.StreamBroken || o.reply.Ran != refuse.DidRun {
		t.Errorf("the stream got %s", o.reply.Describe())
	}
	checkEndLine(t, e, "request="+string(o.reply.Request), cause)
}

// checkEndLine fails the test unless an entry logs an answer that was not complete with a cause.
func checkEndLine(t *testing.T, e *fleet.Entry, request, cause string) {
	t.Helper()
	proc.Eventually(t, "a log line with "+request+" and "+cause, func() bool {
		for l := range strings.Lines(e.Log()) {
			if strings.Contains(l, "a caller got no complete answer") && strings.Contains(l, request) && strings.Contains(l, "cause="+cause) {
				return true
			}
		}
		return false
	})
}

// Guards against requests that are cut, or answered as if their callers had left, when the drain limit of
// an entry or agent is shorter than they take; and against a cut without a log line.
func TestDrainLimit(t *testing.T) {
	o := fleet.Default()
	o.DrainLimit = time.Second
	runScenarios(t, map[string]scenario{
		"entry": {options: o, run: func(t *testing.T, f *fleet.Fleet) {
			e := f.Entries[0]
			slowDown(f)
			f.SetFaults("orders-1", fault.Faults{SlowMs: 8000})
			f.SetFaults("orders-2", fault.Faults{SlowMs: 8000})
			order := make(chan client.Reply, 1)
			go func() { order <- f.Client(e, fleet.Alpha).Call(f.Context(), orderCall("limit", "{}")) }()
			proc.Eventually(t, "the claim is dispatched", func() bool { return len(f.Rows("claim/")) > 0 })
			s := actMidStream(t, f, e, 5, e.Terminate)
			checkEnded(t, f, e, s, "drain-ended")
			r := <-order
			if r.Status != http.StatusBadGateway || r.Code != refuse.ClaimUnknown || r.Ran != refuse.Unknown {
				t.Errorf("the order at work got %s", r.Describe())
			}
			if c := e.ExitCode(t); c != 0 {
				t.Errorf("exit code %d", c)
			}
			if !strings.Contains(e.Log(), "drain limit reached") || !strings.Contains(e.Log(), "since-stop-ms=") {
				t.Error("no log line about the drain limit, or no time since the stop began")
			}
			if r := repeatUntilResult(t, f, f.Entries[1], orderCall("limit", "{}")); f.Runs("limit") != 1 {
				t.Errorf("%s, %d runs", r.Describe(), f.Runs("limit"))
			}
		}},
		"agent": {options: o, run: func(t *testing.T, f *fleet.Fleet) {
			slowDown(f)
			at := time.Now()
			var a *fleet.Agent
			s := actMidStream(t, f, f.Entries[0], 5, func() {
				a = lastStartedAgent(t, f, at, fleet.Deep1)
				a.Terminate()
			})
			checkEnded(t, f, f.Entries[0], s, "upstream-broke-off")
			if c := a.ExitCode(t); c != 0 {
				t.Errorf("exit code %d", c)
			}
			if !strings.Contains(a.Log(), "drain limit reached") {
				t.Error("no log line about the drain limit")
			}
		}},
	})
}

// Guards against a caller who left, or an upstream that broke off, of which no log line and no metric tells.
func TestIncompleteAnswers(t *testing.T) {
	f := fleet.Start(t, fleet.Default())
	e := f.Entries[0]
	slowDown(f)
	at := time.Now()
	checkEnded(t, f, e, actMidStream(t, f, e, 5, func() { f.Crash(lastStartedAgent(t, f, at, fleet.Deep1).ID) }), "upstream-broke-off")
	ctx, leave := context.WithCancel(f.Context())
	q := fleet.ChatRequest("deep@1", "left")
	q.OnText = func(n int) {
		if n == 5 {
			leave()
		}
	}
	r := f.Client(e, fleet.Alpha).Chat(ctx, q)
	checkEndLine(t, e, "request="+string(r.Request), "client-gone")
	m := metrics(t, e)
	for _, want := range []string{"upstream_broke_off_total 1", "client_gone_total 1", "drain_ended_total 0", "handler_panic_total 0"} {
		if !strings.Contains(m, "\ntarragonvalve_entry_incomplete_answers_"+want+"\n") {
			t.Errorf("the metrics have no %s", want)
		}
	}
}

// Guards against a process that its own next log line ends, with all requests in progress, once the process
// that reads its log has ended.
func TestLogReaderEnds(t *testing.T) {
	runScenarios(t, map[string]scenario{
		"entry": {run: func(t *testing.T, f *fleet.Fleet) {
			e := f.Entries[0]
			o := actMidStream(t, f, e, 20, func() {
				e.CloseLog()
				e.Terminate()
			})
			f.CheckWhole(o.request, &o.reply)
			if c := e.ExitCode(t); c != 0 {
				t.Errorf("exit code %d", c)
			}
		}},
		"agent": {run: func(t *testing.T, f *fleet.Fleet) {
			at := time.Now()
			var a *fleet.Agent
			o := actMidStream(t, f, f.Entries[0], 20, func() {
				a = lastStartedAgent(t, f, at, fleet.Deep1)
				a.CloseLog()
				a.Terminate()
			})
			f.CheckWhole(o.request, &o.reply)
			if c := a.ExitCode(t); c != 0 {
				t.Errorf("exit code %d", c)
			}
		}},
	})
}
