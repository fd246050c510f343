package proof_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/proof/fleet"
	"tarragonvalve.example/proof/proc"
	"tarragonvalve.example/standin/client"
	"tarragonvalve.example/standin/fault"
	"tarragonvalve.example/standin/plain"
)

// The tests try the causes of docs/decisions/0010-one-fault-many-paths.md on real processes.

// runParallel runs each scenario as a parallel subtest with a fleet of its own.
func runParallel(t *testing.T, cases map[string]scenario) {
	t.Helper()
	t.Parallel()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := c.options
			if o.Engines == 0 {
				o = fleet.Default()
			}
			c.run(t, fleet.Start(t, o))
		})
	}
}

// buildCommand builds the operators' command beside the other programs.
var buildCommand = sync.OnceValue(func() error {
	c := exec.Command("go", "build", "-o", proc.Program("tarragonvalve"), ".")
	c.Dir = filepath.Join("..", "tarragonvalve")
	if out, err := c.CombinedOutput(); err != nil {
		return fmt.Errorf("build the operators' command: %w\n%s", err, out)
	}
	return nil
})

// Exit codes of the operators' command.
const (
	exitOK      = 0
	exitUnknown = 3
)

// operator runs the operators' command against the administration ports of a fleet's entries.
type operator struct {
	t       *testing.T
	f       *fleet.Fleet
	api     string
	keyFile string
}

func newOperator(t *testing.T, f *fleet.Fleet) *operator {
	t.Helper()
	if err := buildCommand(); err != nil {
		t.Fatal(err)
	}
	var ports []string
	for _, e := range f.Entries {
		ports = append(ports, "http://"+e.Addr.Admin)
	}
	o := &operator{t: t, f: f, api: strings.Join(ports, ",")}
	o.keyFile = o.write("operator-key", "key-operator")
	return o
}

func (o *operator) write(name, text string) string {
	o.t.Helper()
	p := filepath.Join(o.t.TempDir(), name)
	if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
		o.t.Fatal(err)
	}
	return p
}

// run runs the command and decodes its output into out if it exits with 0. It returns the exit
// code and what the command printed.
func (o *operator) run(out any, args ...string) (code int, printed string) {
	o.t.Helper()
	all := append([]string{"--api", o.api, "--unencrypted", "--key-file", o.keyFile, "--json", "--timeout", "5s"}, args...)
	code, text, errs := proc.Run(o.f.Context(), "tarragonvalve", all...)
	if code == exitOK {
		if err := json.Unmarshal([]byte(text), out); err != nil {
			o.t.Fatalf("output of %s: %v: %s", args[0], err, text)
		}
	}
	return code, text + errs
}

// must runs the command and fails the test unless it exits with 0.
func (o *operator) must(out any, args ...string) {
	o.t.Helper()
	if code, text := o.run(out, args...); code != exitOK {
		o.t.Fatalf("%s exits with %d: %s", args[0], code, text)
	}
}

// promote runs promote for a document that was tried, as the generation after the first.
func (o *operator) promote(file string, d envdoc.Digest) (code int, printed string) {
	o.t.Helper()
	var r opsapi.AcceptedReply
	code, text := o.run(&r, "promote", file, "--digest", string(d), "--seen", "1", "--reason", "test")
	if code == exitOK && (r.Generation.Generation != 2 || r.Digest != d) {
		o.t.Errorf("promote reports generation %d with digest %s", r.Generation.Generation, r.Digest)
	}
	return code, text
}

// accepted reports whether the history has the second generation, which must then be the document
// with digest d.
func (o *operator) accepted(d envdoc.Digest) bool {
	o.t.Helper()
	var h opsapi.HistoryReply
	o.must(&h, "history")
	for _, g := range h.Generations {
		if g.Generation == 2 {
			if g.Digest != d {
				o.t.Errorf("generation 2 has digest %s", g.Digest)
			}
			return true
		}
	}
	return false
}

// probe sends short chats with a key through all entries until stop is called, which returns the
// times at which those that were answered had been sent. It returns once one was answered.
func probe(t *testing.T, f *fleet.Fleet, account string) (stop func() []time.Time) {
	t.Helper()
	var mu sync.Mutex
	var served []time.Time
	var w sync.WaitGroup
	end := make(chan struct{})
	for i, e := range f.Entries {
		w.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				case <-time.After(30 * time.Millisecond):
				}
				at := time.Now()
				q := fleet.ChatRequest("quick", fmt.Sprintf("probe %d %d", i, n))
				if r := f.Client(e, account).Chat(f.Context(), q); r.Status == http.StatusOK {
					mu.Lock()
					served = append(served, at)
					mu.Unlock()
				}
			}
		})
	}
	proc.Eventually(t, "a request with the key is answered", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(served) > 0
	})
	return func() []time.Time {
		close(end)
		w.Wait()
		return served
	}
}

// Guards against requests that are served by a key that the document in force doesn't hold, also by
// a process that starts without the table, and against a command that reports something else than
// what was accepted.
func TestKeyRemovedByCommand(t *testing.T) {
	otherKey := func(d string) string {
		return strings.Replace(d, string(envdoc.KeyDigestOf("key-"+fleet.Alpha)), string(envdoc.KeyDigestOf("key-alpha-2")), 1)
	}
	noAccounts := func(d string) string {
		from, to := strings.Index(d, "[account"), strings.Index(d, "[model")
		return d[:from] + d[to:]
	}
	tableFault := func(v fault.Faults) func(*testing.T, *fleet.Fleet) func() {
		return func(_ *testing.T, f *fleet.Fleet) func() {
			f.SetFaults("table", v)
			return func() { f.SetFaults("table", fault.Faults{}) }
		}
	}
	entriesCutOff := func(t *testing.T, f *fleet.Fleet) func() {
		for _, e := range f.Entries {
			e.Table.Silence(t)
		}
		return func() {
			for _, e := range f.Entries {
				e.Table.Restore(t)
			}
		}
	}
	// remove promotes a changed document while the table is impaired, and again once it is back.
	remove := func(change func(string) string, impair func(*testing.T, *fleet.Fleet) (restore func())) scenario {
		return scenario{run: func(t *testing.T, f *fleet.Fleet) {
			o := newOperator(t, f)
			text := change(fleet.Document("second"))
			file := o.write("document.ini", text)
			var tried opsapi.TrialReply
			o.must(&tried, "trial", file)
			stop := probe(t, f, fleet.Alpha)

			restore := impair(t, f)
			code, printed := o.promote(file, tried.Digest)
			if s, err := f.Status(f.Entries[0]); code != exitOK && code != exitUnknown && (err != nil || s.Generation != 1) {
				t.Errorf("after a refusal generation %d is in force, error %v", s.Generation, err)
			}
			if code != exitOK && code != exitUnknown {
				if r := f.Client(f.Entries[0], fleet.Alpha).Chat(f.Context(), fleet.ChatRequest("quick", "held")); !r.OK() {
					t.Errorf("a key of the document in force, promotion refused: %s", r.Describe())
				}
			}
			restore()
			done := o.accepted(tried.Digest)
			t.Logf("promote exits with %d, accepted %t: %s", code, done, printed)
			if code != exitUnknown && done != (code == exitOK) {
				t.Errorf("promote exits with %d and accepted is %t: %s", code, done, printed)
			}
			if !done {
				if code, printed = o.promote(file, tried.Digest); code != exitOK {
					t.Fatalf("promote with the table back exits with %d: %s", code, printed)
				}
			}
			var w opsapi.WaitReply
			o.must(&w, "wait", "2")
			at := time.Now()

			f.SetFaults("table", fault.Faults{Down: true})
			f.StartEntry(2)
			for range 2 {
				checkKeyRefused(t, f)
				f.SetFaults("table", fault.Faults{})
			}
			if change(fleet.Document("")) == otherKey(fleet.Document("")) {
				q := fleet.ChatRequest("quick", "the new key")
				r := f.Client(f.Entries[0], "alpha-2").Chat(f.Context(), q)
				f.CheckWhole(q, &r)
			}
			served := stop()
			for _, s := range served {
				if s.After(at) {
					t.Errorf("a request with the key was served that was sent %s after generation 2 was in force everywhere", s.Sub(at))
				}
			}
		}}
	}
	runParallel(t, map[string]scenario{
		"key, table away":                remove(otherKey, tableFault(fault.Faults{Down: true})),
		"key, answers of the table lost": remove(otherKey, tableFault(fault.Faults{Lost: -1})),
		"key, one answer lost":           remove(otherKey, tableFault(fault.Faults{Lost: 1})),
		"key, entries cut off":           remove(otherKey, entriesCutOff),
		"last account, table away":       remove(noAccounts, tableFault(fault.Faults{Down: true})),
		"last account, answers lost":     remove(noAccounts, tableFault(fault.Faults{Lost: -1})),
	})
}

// checkKeyRefused fails the test unless all entries have the second generation and refuse the key of
// account alpha like one that no document ever held.
func checkKeyRefused(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	for _, e := range f.Entries {
		proc.Eventually(t, e.Name+" has the document", func() bool {
			s, err := f.Status(e)
			return err == nil && s.Generation == 2
		})
		for _, account := range []string{fleet.Alpha, "never-held"} {
			if r := f.Client(e, account).Chat(f.Context(), fleet.ChatRequest("quick", "removed")); r.Code != refuse.Unauthenticated || r.Ran != refuse.NotRun {
				t.Errorf("key of %s at %s: %s", account, e.Name, r.Describe())
			}
		}
	}
}

// headOffsets are lengths in bytes after which the answers of upstreams end: in the status line, at
// its end, in header lines, and in the body.
var headOffsets = []int{0, 1, 8, 9, 12, 15, 17, 19, 40, 80, 100, 140}

// Times after which an agent gives up a silent connection.
const (
	engineSilence  = 5 * time.Second
	serviceSilence = 10 * time.Second
)

// Guards against an answer that an upstream cut in its head and that counts as complete or as
// not-run, is run twice though it may run once, or leaves its caller without an answer.
func TestHeadCut(t *testing.T) {
	engines := func(stall bool) scenario {
		o := fleet.Options{Entries: 2, Engines: 1, Slots: len(headOffsets)}
		return scenario{options: o, run: func(t *testing.T, f *fleet.Fleet) {
			f.SetFaults("engine-1", fault.Faults{Cuts: headOffsets, Stall: stall})
			os := <-sendChats(f, f.Entries[0], fleet.Alpha, "deep@1", "cut", len(headOffsets))
			if n := len(f.Faults("engine-1").Cuts); n > 0 {
				t.Errorf("%d answers were not cut", n)
			}
			// The engine still generates the stream, which can be read again.
			if whole := checkOutcomes(t, f, os); whole != len(os) {
				t.Errorf("%d of %d streams were answered whole", whole, len(os))
			}
			for _, o := range os {
				if n := startsOf(f, &o.reply); n != 1 {
					t.Errorf("request %s started %d times", o.reply.Request, n)
				}
				if stall && o.reply.Total < engineSilence {
					t.Errorf("request %s took only %s", o.reply.Request, o.reply.Total)
				}
			}
		}}
	}
	orders := func(offsets []int, stall bool) scenario {
		return scenario{run: func(t *testing.T, f *fleet.Fleet) {
			for _, id := range []string{"orders-1", "orders-2"} {
				f.SetFaults(id, fault.Faults{Cuts: offsets, Stall: stall})
			}
			var w sync.WaitGroup
			for i := range offsets {
				key := fmt.Sprint("cut-", i)
				w.Go(func() {
					r := f.Client(f.Entries[i%2], fleet.Alpha).Call(f.Context(), orderCall(key, "{}"))
					if r.Code == "" || r.Ran != refuse.Unknown {
						t.Errorf("%s: an answer that was cut after the run: %s", key, r.Describe())
					}
					if stall && r.Total < serviceSilence {
						t.Errorf("%s took only %s", key, r.Total)
					}
					again := repeatUntilDecided(t, f, f.Entries[(i+1)%2], orderCall(key, "{}"))
					checkRuns(t, f, key, r, again)
				})
			}
			w.Wait()
			if n := len(f.Faults("orders-1").Cuts) + len(f.Faults("orders-2").Cuts); n != len(offsets) {
				t.Errorf("%d cuts are left, want %d", n, len(offsets))
			}
		}}
	}
	runParallel(t, map[string]scenario{
		"engine closes":  engines(false),
		"engine stalls":  engines(true),
		"service closes": orders(headOffsets, false),
		"service stalls": orders(headOffsets[2:8], true),
		"repeatable call": {run: func(t *testing.T, f *fleet.Fleet) {
			f.SetFaults("orders-1", fault.Faults{Cuts: headOffsets})
			f.SetFaults("orders-2", fault.Faults{Cuts: headOffsets})
			whole := 0
			for i := range 2 * len(headOffsets) {
				r := f.Client(f.Entries[i%2], fleet.Alpha).Call(f.Context(), client.Call{Service: "orders", Method: http.MethodGet, Path: "/runs"})
				var a plain.Answer
				switch {
				case r.OK() && json.Unmarshal(r.Body, &a) == nil && a.Service == "orders" && a.Method == http.MethodGet:
					whole++
				case r.OK() || r.Code == "" || r.Ran == refuse.NotRun:
					t.Errorf("call %d: %s %q", i, r.Describe(), r.Body)
				}
			}
			t.Logf("%d of %d calls were answered", whole, 2*len(headOffsets))
			if n := len(f.Faults("orders-1").Cuts) + len(f.Faults("orders-2").Cuts); n == 2*len(headOffsets) {
				t.Error("no answer was cut")
			}
		}},
	})
}

// startsOf returns how many attempts of a request started on engines.
func startsOf(f *fleet.Fleet, r *client.Reply) (n int) {
	for _, ss := range f.Counters(time.Time{}).Starts {
		for _, s := range ss {
			if strings.HasPrefix(s.ID, string(r.Request)+"-") {
				n++
			}
		}
	}
	return n
}
