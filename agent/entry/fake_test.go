package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"tarragonvalve.example/agent/engine"
	"tarragonvalve.example/agent/entry"
	"tarragonvalve.example/agent/queue"
	"tarragonvalve.example/agent/runner"
	"tarragonvalve.example/agent/sched"
	"tarragonvalve.example/agent/stream"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/panics"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/wire"
)

var ref = ident.VersionRef{Model: "ipek", Version: "2.1"}

// fakeEngine is a model engine whose tokens the test releases one by one.
type fakeEngine struct {
	mu       sync.Mutex
	attempts map[string]bool
	starts   int
	resumes  int
	canceled []string
	// release sends one token for each value; once closed, all remaining tokens are sent.
	release chan struct{}
	// breakAfter resets the connection of a Run after that many tokens; 0 never does.
	breakAfter int
	// endless is the id of a stream that is one event without end.
	endless string
	tokens  []string
}

func newFakeEngine() *fakeEngine {
	f := &fakeEngine{attempts: map[string]bool{}, release: make(chan struct{}), tokens: []string{"one ", "two ", "three ", "four"}}
	return f
}

func (f *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPost:
		_, _ = io.Copy(io.Discard, r.Body)
		f.mu.Lock()
		f.attempts[r.Header.Get("X-Request-Id")] = true
		f.starts++
		f.mu.Unlock()
		f.stream(w, r, 0, f.breakAfter)
	case http.MethodDelete:
		f.mu.Lock()
		f.canceled = append(f.canceled, strings.TrimPrefix(r.URL.Path, "/v1/streams/"))
		f.mu.Unlock()
	default:
		f.mu.Lock()
		ok := f.attempts[strings.TrimPrefix(r.URL.Path, "/v1/streams/")]
		f.resumes++
		f.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		n, _ := strconv.Atoi(r.URL.Query().Get("from"))
		f.stream(w, r, n, 0)
	}
}

func (f *fakeEngine) stream(w http.ResponseWriter, r *http.Request, from, breakAfter int) {
	c := http.NewResponseController(w)
	_ = c.Flush()
	if f.endless != "" && r.Header.Get("X-Request-Id") == f.endless {
		// 64 MiB is far beyond any bound of an event, and ends if none is in force.
		for range 1 << 16 {
			if _, err := io.WriteString(w, strings.Repeat("data: x\n", 1<<7)); err != nil {
				return
			}
		}
		<-r.Context().Done()
		return
	}
	for i := from; i < len(f.tokens); i++ {
		if breakAfter > 0 && i == breakAfter {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-f.release:
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%q},\"logprobs\":{\"content\":[{\"logprob\":-1}]}}]}\n\n", i, f.tokens[i])
		_ = c.Flush()
	}
	fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n")
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", len(f.tokens))
}

func (f *fakeEngine) counts() (starts, resumes, canceled int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts, f.resumes, len(f.canceled)
}

// fakeReplica is a StateSource and Merger whose view the tests set.
type fakeReplica struct {
	mu      sync.Mutex
	view    *spread.View
	changed chan struct{}
	// failing makes Merge panic.
	failing atomic.Bool
}

func (n *fakeReplica) View() *spread.View {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view
}

func (n *fakeReplica) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

func (n *fakeReplica) State() *wire.State {
	return &wire.State{Generation: uint64(n.View().Generation())}
}

func (n *fakeReplica) Merge(context.Context, *wire.State) error {
	if n.failing.Load() {
		panic("broken")
	}
	return nil
}

func (n *fakeReplica) set(g ident.Generation, s envdoc.VersionState) {
	d := &envdoc.Document{
		Accounts: map[ident.AccountID]*envdoc.Account{"a": {ID: "a", Weight: 1, Allowed: map[ident.VersionRef]bool{ref: true}}},
		Models:   map[ident.ModelID]*envdoc.Model{"ipek": {}},
		Versions: map[ident.VersionRef]*envdoc.Version{ref: {Ref: ref, State: s, InputPrice: 2, OutputPrice: 10, CancelRunning: true}},
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view = &spread.View{Accepted: &spread.AcceptedDocument{Generation: g, Document: d}}
	if n.changed != nil {
		close(n.changed)
	}
	n.changed = make(chan struct{})
}

// receipts keeps the receipts in memory.
type receipts struct {
	mu   sync.Mutex
	kept []ledger.Receipt
}

func (r *receipts) Add(c ledger.Receipt) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept = append(r.kept, c)
	return nil
}

func (r *receipts) Ack([]ledger.ID) {}

func (r *receipts) all() []ledger.Receipt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]ledger.Receipt(nil), r.kept...)
}

// only waits for the first receipt and returns it. It fails if there are several.
func (r *receipts) only(t *testing.T) ledger.Receipt {
	t.Helper()
	for len(r.all()) == 0 {
		time.Sleep(time.Millisecond)
	}
	if n := len(r.all()); n != 1 {
		t.Fatalf("%d receipts, want 1", n)
	}
	return r.all()[0]
}

// harness is an agent with a fake engine and a client over an in-memory connection.
type harness struct {
	engine   *fakeEngine
	replica  *fakeReplica
	receipts *receipts
	streams  *stream.Store
	client   wire.AgentClient
	panics   *panics.Reporter
	sched    *sched.Scheduler
	caller   *slotCaller
	// clockOffset advances the clock of the stream store, in nanoseconds.
	clockOffset atomic.Int64
	// late is how late the work of the agent runs, in nanoseconds.
	late atomic.Int64
	// stop starts the drain of the agent; stopped is closed at its end.
	stop    context.CancelFunc
	stopped chan struct{}
}

func start(t *testing.T, f *fakeEngine) *harness {
	t.Helper()
	return startWithDrain(t, f, 30*time.Second)
}

// startWithDrain is start with a drain limit.
func startWithDrain(t *testing.T, f *fakeEngine, limit time.Duration) *harness {
	t.Helper()
	h := httptest.NewServer(f)
	t.Cleanup(h.Close)
	r := &harness{panics: panics.New(zerolog.Nop()), engine: f, replica: &fakeReplica{}, receipts: &receipts{}, stopped: make(chan struct{})}
	r.replica.set(1, envdoc.StateLive)
	ring := event.NewRing(event.NewClock(time.Now), "agent-1", 64)
	s := sched.New(sched.Options{Views: r.replica, Slots: 2, Limits: queue.Default(), LedgerFull: func(int) bool { return false }, Now: time.Now})
	r.sched, r.caller = s, &slotCaller{sched: s, hold: make(chan struct{})}
	so := stream.Default()
	so.Now = func() time.Time { return time.Now().Add(time.Duration(r.clockOffset.Load())) }
	r.streams = stream.NewStore(so)
	st := entry.NewStatus(entry.StatusOptions{Upstream: "e1", Sched: s, Replica: r.replica})
	c := engine.New(engine.Default(h.URL))
	u := runner.New(runner.Options{
		Engine: c, Sched: s, Streams: r.streams, Views: r.replica, Receipts: r.receipts, Ring: ring,
		Instance: "agent-1", Upstream: "e1", Log: zerolog.Nop(),
		RecordPrompt: func([]uint64, []engine.Message) {}, Status: st.Now, Now: time.Now,
	})
	l := bufconn.Listen(1 << 20)
	g := entry.NewListener(entry.ListenerOptions{
		Listener: l,
		Server:   entry.NewServer(entry.Options{Status: st, Runner: u, Caller: r.caller, Streams: r.streams, Replica: r.replica, Receipts: r.receipts, Ring: ring, Late: func() time.Duration { return time.Duration(r.late.Load()) }}),
		Peer:     wire.UnimplementedPeerServer{},
		Sched:    s, DrainTimeout: limit, Ring: ring, Panics: r.panics, Log: zerolog.Nop(), Now: time.Now,
		Unseen: func() time.Duration { return 0 },
	})
	ctx, cancel := context.WithCancel(context.Background())
	serving, stop := context.WithCancel(context.Background())
	r.stop = stop
	var others sync.WaitGroup
	others.Go(func() { _ = s.Run(ctx) })
	others.Go(func() { _ = u.Run(ctx) })
	others.Go(func() { _ = r.streams.Run(ctx) })
	go func() {
		defer close(r.stopped)
		_ = g.Run(serving)
	}()
	conn, err := grpc.NewClient("passthrough:agent",
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return l.DialContext(ctx) }),
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	r.client = wire.NewAgentClient(conn)
	t.Cleanup(func() {
		conn.Close()
		stop()
		<-r.stopped
		cancel()
		others.Wait()
		c.Close()
	})
	return r
}

func runRequest(id string) *wire.RunRequest {
	return &wire.RunRequest{
		RequestId: id, Attempt: 1, Account: "a", Model: "ipek", Version: "2.1", Generation: 1,
		Messages: []*wire.Message{{Role: "user", Content: "hello"}}, TimeoutMs: 60_000, Direct: true,
	}
}

func resumeRequest(id string, from uint64) *wire.ResumeRequest {
	return &wire.ResumeRequest{RequestId: id, Attempt: 1, Account: "a", Model: "ipek", Version: "2.1", Position: from, TimeoutMs: 60_000}
}

type receiver interface {
	Recv() (*wire.Frame, error)
}

// nextFrame returns the next frame that is not a heartbeat.
func nextFrame(t *testing.T, r receiver) *wire.Frame {
	t.Helper()
	for {
		f, err := r.Recv()
		if err != nil {
			t.Fatal(err)
		}
		if f.GetHeartbeat() == nil {
			return f
		}
	}
}

// readRest reads the data frames and checks their positions. It returns their text and the
// frame that ends the attempt.
func readRest(t *testing.T, r receiver, from uint64) (string, *wire.Frame) {
	t.Helper()
	var text strings.Builder
	for {
		f := nextFrame(t, r)
		if f.GetPosition() != from {
			t.Fatalf("position %d, want %d", f.GetPosition(), from)
		}
		d := f.GetData()
		if d == nil {
			return text.String(), f
		}
		text.WriteString(d.GetText())
		from++
	}
}
