package proof_test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/proof/fleet"
	"tarragonvalve.example/proof/proc"
	"tarragonvalve.example/standin/client"
)

func TestMain(m *testing.M) {
	os.Exit(proc.Main(m, "standin", "entry", "agent"))
}

// scenario injects one failure and checks a guarantee. Zero options mean fleet.Default.
type scenario struct {
	options fleet.Options
	run     func(t *testing.T, f *fleet.Fleet)
}

// runScenarios runs each scenario as a subtest with a fleet of its own.
func runScenarios(t *testing.T, cases map[string]scenario) {
	t.Helper()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o := c.options
			if o.Engines == 0 {
				o = fleet.Default()
			}
			c.run(t, fleet.Start(t, o))
		})
	}
}

// outcome is a chat request with its reply.
type outcome struct {
	request client.Chat
	reply   client.Reply
}

// sendChats sends n chats concurrently through an entry. The channel receives all outcomes once
// the last reply has arrived.
func sendChats(f *fleet.Fleet, e *fleet.Entry, account, model, label string, n int) <-chan []outcome {
	done := make(chan []outcome, 1)
	out := make([]outcome, n)
	var w sync.WaitGroup
	for i := range n {
		w.Go(func() {
			q := fleet.ChatRequest(model, fmt.Sprintf("%s %d", label, i))
			out[i] = outcome{request: q, reply: f.Client(e, account).Chat(f.Context(), q)}
		})
	}
	go func() {
		w.Wait()
		done <- out
	}()
	return done
}

// actMidStream sends a long streamed chat, calls act once after the given number of events with
// text, and returns the outcome. It fails the test if the stream ends before.
func actMidStream(t *testing.T, f *fleet.Fleet, e *fleet.Entry, pieces int, act func()) outcome {
	t.Helper()
	q := fleet.ChatRequest("deep@1", "mid-stream "+t.Name())
	acted := make(chan struct{})
	var once sync.Once
	q.OnText = func(n int) {
		if n >= pieces {
			once.Do(func() { close(acted) })
		}
	}
	done := make(chan client.Reply, 1)
	go func() { done <- f.Client(e, fleet.Alpha).Chat(f.Context(), q) }()
	select {
	case <-acted:
	case r := <-done:
		t.Fatalf("the stream ended before the fault: %s", r.Describe())
	case <-time.After(proc.WaitTimeout):
		t.Fatal("no text arrived")
	}
	act()
	select {
	case r := <-done:
		return outcome{request: q, reply: r}
	case <-time.After(proc.WaitTimeout):
		t.Fatal("the stream did not end after the fault")
		return outcome{}
	}
}

// lastStartedAgent returns the agent of the engine on which a request started on a version at or
// after a time. It expects that only one such request started.
func lastStartedAgent(t *testing.T, f *fleet.Fleet, since time.Time, version ident.VersionRef) *fleet.Agent {
	t.Helper()
	s := f.Counters(since).Starts[version.String()]
	if len(s) == 0 {
		t.Fatalf("no request started on version %s", version)
	}
	return f.Agents[s[len(s)-1].Engine]
}

// checkNotRun fails the test if a request that was refused with not-run started on an engine.
func checkNotRun(t *testing.T, f *fleet.Fleet, os []outcome) {
	t.Helper()
	starts := f.Counters(time.Time{}).Starts
	for _, o := range os {
		if o.reply.Ran != refuse.NotRun || o.reply.Request == "" {
			continue
		}
		for _, ss := range starts {
			for _, s := range ss {
				if strings.HasPrefix(s.ID, string(o.reply.Request)+"-") {
					t.Errorf("request %s was refused with %s as not-run, but %s started on %s", o.reply.Request, o.reply.Code, s.ID, s.Engine)
				}
			}
		}
	}
}

// checkOutcomes fails the test unless each reply is complete or ends with an explicit error, and
// has a text that CheckText accepts. It returns the number of complete replies.
func checkOutcomes(t *testing.T, f *fleet.Fleet, os []outcome) (whole int) {
	t.Helper()
	for _, o := range os {
		f.CheckText(o.request, &o.reply)
		switch {
		case o.reply.OK():
			whole++
		case o.reply.Code == "" && o.reply.Err == nil:
			t.Errorf("request %s ended without [DONE] and without an error: %s", o.reply.Request, o.reply.Describe())
		}
	}
	return whole
}

// checkNoStartsAfter fails the test if a request started on a version after a time.
func checkNoStartsAfter(t *testing.T, f *fleet.Fleet, r ident.VersionRef, at time.Time) {
	t.Helper()
	for _, s := range f.Starts(r) {
		if s.At.After(at) {
			t.Errorf("%s started as %s on %s, %s after it was no longer allowed there", r, s.ID, s.Engine, s.At.Sub(at))
		}
	}
}

// waitAgents waits until the status of an entry shows a generation, or a later one, in force at
// all agents.
func waitAgents(t *testing.T, f *fleet.Fleet, e *fleet.Entry, g ident.Generation) {
	t.Helper()
	proc.Eventually(t, fmt.Sprintf("generation %d is in force at all agents", g), func() bool {
		s, err := f.Status(e)
		n := 0
		for _, i := range s.Instances {
			if i.Role == "agent" && i.Problem == "" && i.Generation >= g {
				n++
			}
		}
		return err == nil && n == len(f.Agents)
	})
}

// orderCall returns a call of the orders service that may run only once.
func orderCall(key, body string) client.Call {
	return client.Call{Service: "orders", Method: http.MethodPost, Path: "/runs", Key: key, Body: body, Timeout: 20 * time.Second}
}

// repeatUntilResult repeats a call with its key through an entry until it gets a result.
func repeatUntilResult(t *testing.T, f *fleet.Fleet, e *fleet.Entry, c client.Call) client.Reply {
	t.Helper()
	return repeatUntil(t, f, e, c, func(r *client.Reply) bool { return r.OK() })
}

// repeatUntilDecided repeats a call whose outcome may stay unknown until it gets a result or a
// refusal that says that the call ran or may have run.
func repeatUntilDecided(t *testing.T, f *fleet.Fleet, e *fleet.Entry, c client.Call) client.Reply {
	t.Helper()
	return repeatUntil(t, f, e, c, func(r *client.Reply) bool { return r.OK() || r.Ran == refuse.Unknown || r.Ran == refuse.DidRun })
}

// repeatUntil repeats a call through an entry until enough accepts the reply.
func repeatUntil(t *testing.T, f *fleet.Fleet, e *fleet.Entry, c client.Call, enough func(*client.Reply) bool) client.Reply {
	t.Helper()
	var r client.Reply
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("last repeat of %s: %s", c.Key, r.Describe())
		}
	})
	proc.Eventually(t, "a repeat of the call with key "+c.Key+" gets its final reply", func() bool {
		r = f.Client(e, fleet.Alpha).Call(f.Context(), c)
		return enough(&r)
	})
	return r
}
