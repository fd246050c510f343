package calls

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/test/bufconn"

	"tarragonvalve.example/core/claim"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/table/memory"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/agents"
)

// behaviour scripts how an agent handles a call. A pause stands for a process that
// is suspended and then continues with outdated state.
type behaviour struct {
	refuse refuse.Code
	// breaks fails the connection with the call; the agent still runs the call a second later.
	breaks bool
	// before is the pause before the claim is written, run the pause between this
	// write and the run, and after the pause between the run and the answer.
	before, run, after time.Duration
	// crashes ends the agent after the claim is written, before the call runs.
	crashes bool
	// losesResult ends the agent after the run, before the result is recorded.
	losesResult bool
}

// agent is an in-process agent that follows a script. Like a real agent, it writes
// a claim before it runs a call that is not repeatable.
type agent struct {
	wire.UnimplementedAgentServer
	wire.UnimplementedPeerServer

	w        *harness
	upstream ident.UpstreamID
	do       behaviour
	listener *bufconn.Listener
	got      int
}

func (a *agent) Ping(context.Context, *wire.PingRequest) (*wire.PingReply, error) {
	return &wire.PingReply{}, nil
}

func (a *agent) Watch(_ *wire.WatchRequest, s wire.Agent_WatchServer) error {
	<-s.Context().Done()
	return nil
}

func (a *agent) Call(_ context.Context, q *wire.CallRequest) (*wire.CallReply, error) {
	a.w.mu.Lock()
	a.got++
	a.w.mu.Unlock()
	if a.do.refuse != "" {
		return refusal(refuse.New(a.do.refuse, refuse.NotRun, "scripted")), nil
	}
	if a.do.breaks {
		a.w.late.Go(func() {
			time.Sleep(time.Second)
			a.runOnce(context.Background(), q)
		})
		return nil, status.Error(codes.Unavailable, "scripted")
	}
	time.Sleep(a.do.before)
	if q.GetRepeatable() {
		a.w.addRun()
		time.Sleep(a.do.after)
		return result(q.GetBody(), false), nil
	}
	return a.runOnce(context.Background(), q), nil
}

func (a *agent) runOnce(ctx context.Context, q *wire.CallRequest) *wire.CallReply {
	k := claim.Key{Account: ident.AccountID(q.GetAccount()), Service: ident.ServiceID(q.GetService()), Idempotency: q.GetIdempotencyKey()}
	j := &job{Call: Call{Method: q.GetMethod(), Target: q.GetPath(), Body: q.GetBody()}}
	c, err := a.w.claims.Dispatch(ctx, k, claim.Dispatch{
		Expect:   ident.Revision(q.GetClaimRevision()),
		Digest:   digest(j),
		Request:  ident.RequestID(q.GetRequestId()),
		Upstream: a.upstream,
		At:       time.Now(),
		Token:    "t",
	})
	if err != nil {
		e, ok := refuse.As(err)
		if !ok {
			e = refuse.New(refuse.ClaimFenced, refuse.NotRun, "another write came first")
		}
		return refusal(e)
	}
	time.Sleep(a.do.run)
	if a.do.crashes {
		return refusal(refuse.New(refuse.UpstreamFailed, refuse.Unknown, "scripted"))
	}
	a.w.addRun()
	if a.do.losesResult {
		return refusal(refuse.New(refuse.UpstreamFailed, refuse.Unknown, "scripted"))
	}
	_ = a.w.claims.Finish(ctx, c, claim.Result{StatusCode: 200, Body: q.GetBody()})
	time.Sleep(a.do.after)
	return result(q.GetBody(), false)
}

func refusal(e *refuse.Error) *wire.CallReply {
	return &wire.CallReply{Body: &wire.CallReply_Refusal{Refusal: refuse.ToWire(e)}}
}

func result(b []byte, replayed bool) *wire.CallReply {
	return &wire.CallReply{Body: &wire.CallReply_Result{Result: &wire.CallResult{StatusCode: 200, Body: b, Replayed: replayed}}}
}

// harness is an executor with scripted agents and an in-memory table. It implements
// the executor's other dependencies itself.
type harness struct {
	exec   *Executor
	set    *agents.Set
	agents []*agent
	table  *memory.Table
	claims *claim.Store
	view   *spread.View
	stop   func()

	// late tracks agents that run a call after their connection broke.
	late sync.WaitGroup

	mu       sync.Mutex
	runs     int
	budget   int
	receipts []ledger.Receipt
}

func newHarness(bs ...behaviour) *harness {
	w := &harness{table: memory.New(), budget: 2}
	w.claims = claim.New(w.table)
	d := &envdoc.Document{
		Accounts: map[ident.AccountID]*envdoc.Account{"a": {ID: "a", Services: map[ident.ServiceID]bool{"orders": true}}},
		Services: map[ident.ServiceID]*envdoc.Service{"orders": {ID: "orders", Price: 7, Calls: []envdoc.CallRule{
			{Method: "POST", PathPrefix: "/runs"},
			{Method: "GET", PathPrefix: "/caps", Repeatable: true, Hedge: true},
			{Method: "GET", PathPrefix: "/", Repeatable: true},
		}}},
	}
	w.view = &spread.View{Accepted: &spread.AcceptedDocument{Generation: 1, Document: d}}
	var ts []agents.Target
	var servers []*grpc.Server
	for i, b := range bs {
		n := string(rune('1' + i))
		a := &agent{w: w, do: b, upstream: ident.UpstreamID("u" + n), listener: bufconn.Listen(1 << 16)}
		g := grpc.NewServer(grpc.WaitForHandlers(true))
		wire.RegisterAgentServer(g, a)
		wire.RegisterPeerServer(g, a)
		go g.Serve(a.listener)
		servers = append(servers, g)
		w.agents = append(w.agents, a)
		ts = append(ts, agents.Target{Upstream: a.upstream, Addr: n})
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
	w.exec = New(Options{
		Instance: "entry-1", Control: w, Fleet: w, Claims: w.claims, Ledger: w, Budget: w, Ring: r,
		Log: zerolog.Nop(), Now: time.Now,
	})
	w.stop = func() {
		w.late.Wait()
		cancel()
		<-done
		for _, g := range servers {
			g.Stop()
		}
	}
	time.Sleep(time.Second)
	return w
}

// call makes a keyed call that may run only once.
func (w *harness) call(body string) (*Reply, error) {
	return w.do("POST", "/runs", "key-1", body)
}

func (w *harness) do(method, path, key, body string) (*Reply, error) {
	return w.exec.Call(context.Background(), Call{
		ID: "r1", Account: "a", Service: "orders", Method: method, Path: path, Target: path,
		Key: key, Body: []byte(body), Deadline: time.Now().Add(10 * time.Second),
	})
}

func (w *harness) addRun() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs++
}

func (w *harness) runCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs
}

func (w *harness) View() *spread.View { return w.view }
func (w *harness) State() *wire.State { return &wire.State{} }
func (w *harness) Full() bool         { return false }

func (w *harness) CatchUp(context.Context, wire.PeerClient, *wire.State) error { return nil }

func (w *harness) Retry(context.Context) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.budget--
	return w.budget >= 0
}

func (w *harness) Add(r ledger.Receipt) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.receipts = append(w.receipts, r)
	return nil
}

func (w *harness) PickService(_ ident.ServiceID, _ uint64, exclude []ident.UpstreamID) (*agents.Link, bool) {
	for _, l := range w.set.Links() {
		tried := false
		for _, u := range exclude {
			tried = tried || u == l.Upstream()
		}
		if !tried {
			return l, true
		}
	}
	return nil, false
}

func (w *harness) Ended(ident.UpstreamID, bool) {}
