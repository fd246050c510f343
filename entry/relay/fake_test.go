package relay

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/token"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/agents"
	"tarragonvalve.example/entry/plan"
	"tarragonvalve.example/entry/policy"
)

var (
	cheap = ident.VersionRef{Model: "cheap", Version: "1"}
	best  = ident.VersionRef{Model: "best", Version: "1"}
)

// agent is an in-process agent that follows scripts and records what it was asked.
type agent struct {
	wire.UnimplementedAgentServer
	wire.UnimplementedPeerServer

	run    func(q *wire.RunRequest, w wire.Agent_RunServer) error
	resume func(q *wire.ResumeRequest, w wire.Agent_ResumeServer) error

	listener *bufconn.Listener
	statuses atomic.Bool
	mu       sync.Mutex
	runs     []*wire.RunRequest
	resumes  []*wire.ResumeRequest
	cancels  []*wire.CancelRequest
}

func (a *agent) Run(q *wire.RunRequest, w wire.Agent_RunServer) error {
	a.mu.Lock()
	a.runs = append(a.runs, q)
	a.mu.Unlock()
	return a.run(q, w)
}

func (a *agent) Resume(q *wire.ResumeRequest, w wire.Agent_ResumeServer) error {
	a.mu.Lock()
	a.resumes = append(a.resumes, q)
	a.mu.Unlock()
	return a.resume(q, w)
}

func (a *agent) Cancel(_ context.Context, q *wire.CancelRequest) (*wire.CancelReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancels = append(a.cancels, q)
	return &wire.CancelReply{}, nil
}

func (a *agent) Ping(context.Context, *wire.PingRequest) (*wire.PingReply, error) {
	return &wire.PingReply{}, nil
}

func (a *agent) Exchange(context.Context, *wire.State) (*wire.State, error) {
	return &wire.State{Generation: 2}, nil
}

// Watch sends a status every second if statuses is set, otherwise nothing.
func (a *agent) Watch(_ *wire.WatchRequest, w wire.Agent_WatchServer) error {
	for a.statuses.Load() {
		if err := w.Send(&wire.Status{}); err != nil {
			return err
		}
		select {
		case <-w.Context().Done():
			return nil
		case <-time.After(time.Second):
		}
	}
	<-w.Context().Done()
	return nil
}

// sender is the common part of the streams of Run and Resume.
type sender interface{ Send(f *wire.Frame) error }

// frames builds the frames of one attempt.
type frames struct {
	request string
	attempt uint32
}

// framesFor returns the builder for the frames that answer a request.
func framesFor(q interface {
	GetRequestId() string
	GetAttempt() uint32
},
) frames {
	return frames{request: q.GetRequestId(), attempt: q.GetAttempt()}
}

func (f frames) data(position uint64, text string) *wire.Frame {
	d := &wire.Data{Text: text, Tokens: 1}
	return &wire.Frame{RequestId: f.request, Attempt: f.attempt, Position: position, Body: &wire.Frame_Data{Data: d}}
}

func (f frames) end(position uint64, logprob float64) *wire.Frame {
	e := &wire.End{FinishReason: "stop", InputTokens: 10, OutputTokens: uint32(position), MeanLogprob: logprob}
	return &wire.Frame{RequestId: f.request, Attempt: f.attempt, Position: position, Body: &wire.Frame_End{End: e}}
}

func (f frames) refusal(code string, ran wire.Ran) *wire.Frame {
	r := &wire.Refusal{Code: code, Ran: ran, Message: "scripted"}
	return &wire.Frame{RequestId: f.request, Attempt: f.attempt, Body: &wire.Frame_Refusal{Refusal: r}}
}

func send(w sender, fs ...*wire.Frame) error {
	for _, f := range fs {
		if err := w.Send(f); err != nil {
			return err
		}
	}
	return nil
}

// answering returns a script that sends a text with one frame per letter.
func answering(text string, logprob float64) func(*wire.RunRequest, wire.Agent_RunServer) error {
	return func(q *wire.RunRequest, w wire.Agent_RunServer) error {
		return sendLetters(framesFor(q), w, text, 0, logprob)
	}
}

// sendLetters sends the letters of a text from a position on, and the end frame.
func sendLetters(f frames, w sender, text string, from uint64, logprob float64) error {
	for i := from; i < uint64(len(text)); i++ {
		if err := w.Send(f.data(i, text[i:i+1])); err != nil {
			return err
		}
	}
	return w.Send(f.end(uint64(len(text)), logprob))
}

// refusing returns a script that refuses.
func refusing(code string, ran wire.Ran) func(*wire.RunRequest, wire.Agent_RunServer) error {
	return func(q *wire.RunRequest, w wire.Agent_RunServer) error {
		return w.Send(framesFor(q).refusal(code, ran))
	}
}

// harness is a relay with scripted agents. It implements the relay's other
// dependencies itself and records what they are called with.
type harness struct {
	t      *testing.T
	relay  *Relay
	set    *agents.Set
	agents []*agent

	view     *spread.View
	catchUps int
	plan     plan.Plan
	pins     []ident.VersionRef
	budget   int
	outcomes []policy.Outcome
	receipts []ledger.Receipt

	text  strings.Builder
	heads []Head
	stop  func()
}

func newHarness(t *testing.T, scripts ...func(*wire.RunRequest, wire.Agent_RunServer) error) *harness {
	w := &harness{t: t, plan: plan.Single{Version: best}, budget: 1}
	d := &envdoc.Document{
		Accounts: map[ident.AccountID]*envdoc.Account{"a": {ID: "a"}},
		Versions: map[ident.VersionRef]*envdoc.Version{
			cheap: {Ref: cheap, InputPrice: 1, OutputPrice: 2},
			best:  {Ref: best, InputPrice: 10, OutputPrice: 20},
		},
	}
	w.view = &spread.View{Accepted: &spread.AcceptedDocument{Generation: 1, Document: d}}
	var ts []agents.Target
	var servers []*grpc.Server
	for i, s := range scripts {
		a := &agent{run: s, listener: bufconn.Listen(1 << 16)}
		g := grpc.NewServer(grpc.WaitForHandlers(true))
		wire.RegisterAgentServer(g, a)
		wire.RegisterPeerServer(g, a)
		go g.Serve(a.listener)
		servers = append(servers, g)
		w.agents = append(w.agents, a)
		n := string(rune('1' + i))
		ts = append(ts, agents.Target{Upstream: ident.UpstreamID("u" + n), Addr: n})
	}
	r := event.NewRing(event.NewClock(time.Now), "entry-1", 256)
	w.set = agents.New(agents.Options{
		Instance: "entry-1", Control: w, Ring: r, Log: zerolog.Nop(),
		Dialer: func(ctx context.Context, addr string) (net.Conn, error) {
			return w.agents[addr[0]-'1'].listener.DialContext(ctx)
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.set.Run(ctx)
	}()
	w.set.Update(ts)
	k, err := token.NewSigner([]token.Key{{ID: "k", Secret: []byte("0123456789abcdef")}})
	if err != nil {
		t.Fatal(err)
	}
	w.relay = New(Options{
		Instance: "entry-1", Control: w, Fleet: w, Decider: w, Signer: k, Ledger: w, Ring: r,
		Log: zerolog.Nop(), Now: time.Now, LastContact: time.Now, IsolationLimit: time.Minute,
	})
	w.stop = func() {
		w.relay.Wait(context.Background())
		cancel()
		<-done
		for _, g := range servers {
			g.Stop()
		}
	}
	time.Sleep(time.Second)
	return w
}

func (w *harness) chat(ctx context.Context) (*Answer, error) {
	return w.relay.Chat(ctx, Chat{
		ID: "r1", Account: "a", Model: "auto", MaxTokens: 64, Streaming: true,
		Messages: []*wire.Message{{Role: "user", Content: "hello"}},
		Deadline: time.Now().Add(time.Minute),
	}, w)
}

func (w *harness) SetHead(h Head)           { w.heads = append(w.heads, h) }
func (w *harness) Text(s string) error      { w.text.WriteString(s); return nil }
func (w *harness) View() *spread.View       { return w.view }
func (w *harness) State() *wire.State       { return &wire.State{Generation: uint64(w.view.Generation())} }
func (w *harness) Full() bool               { return false }
func (w *harness) Observe(o policy.Outcome) { w.outcomes = append(w.outcomes, o) }

func (w *harness) CatchUp(context.Context, wire.PeerClient, *wire.State) error {
	w.catchUps++
	n := *w.view.Accepted
	n.Generation = 2
	w.view = &spread.View{Accepted: &n}
	return nil
}

func (w *harness) Plan(_ context.Context, q policy.Query) (policy.Decision, error) {
	w.pins = append(w.pins, q.Pin)
	return policy.Decision{Choice: plan.Choice{Plan: w.plan}, Pin: best}, nil
}

func (w *harness) Retry(context.Context) bool {
	w.budget--
	return w.budget >= 0
}

func (w *harness) Add(r ledger.Receipt) error {
	w.receipts = append(w.receipts, r)
	return nil
}

func (w *harness) Pick(p PickInfo) (*agents.Link, bool) {
	for _, l := range w.set.Links() {
		tried := false
		for _, u := range p.Exclude {
			tried = tried || u == l.Upstream()
		}
		if !tried {
			return l, true
		}
	}
	return nil, false
}

func (w *harness) Ended(ident.UpstreamID, bool) {}

// bill returns the billing receipt, and fails the test unless there is exactly one.
func (w *harness) bill() ledger.Receipt {
	var out []ledger.Receipt
	for _, r := range w.receipts {
		if r.Role == ledger.RoleBill {
			out = append(out, r)
		}
	}
	if len(out) != 1 {
		w.t.Fatalf("%d bill receipts: %+v", len(out), out)
	}
	return out[0]
}
