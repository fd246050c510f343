package calls_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/agent/calls"
	"tarragonvalve.example/agent/excess"
	"tarragonvalve.example/agent/plain"
	"tarragonvalve.example/agent/queue"
	"tarragonvalve.example/agent/sched"
	"tarragonvalve.example/core/claim"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/table"
	"tarragonvalve.example/core/table/memory"
	"tarragonvalve.example/core/wire"
)

// fakeService records its calls. reset makes it reset the connection after a call, large
// makes it return a result that is too large for a claim.
type fakeService struct {
	mu    sync.Mutex
	runs  []string
	reset bool
	large bool
}

func (s *fakeService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r.Method+" "+r.URL.String()+" "+string(b))
	if s.reset {
		panic(http.ErrAbortHandler)
	}
	if s.large {
		_, _ = io.WriteString(w, strings.Repeat("x", claim.MaxResultBytes+1))
		return
	}
	_, _ = io.WriteString(w, "booked")
}

func (s *fakeService) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// staticViews is a sched.Views whose view does not change.
type staticViews struct {
	view    *spread.View
	changed chan struct{}
}

func (v *staticViews) View() *spread.View       { return v.view }
func (v *staticViews) Changed() <-chan struct{} { return v.changed }

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

// harness is an executor with a fake service and an in-memory table.
type harness struct {
	*calls.Executor
	service  *fakeService
	table    *memory.Table
	claims   *claim.Store
	receipts *receipts
	url      string
	// wrapClaims wraps the claim store of the executor; nil for no wrapper.
	wrapClaims func(*claim.Store) calls.Claims
	// excess is passed to the executor.
	excess *excess.Reporter
}

func start(t *testing.T, f func(*harness)) *harness {
	t.Helper()
	r := &harness{service: &fakeService{}, table: memory.New(), receipts: &receipts{}}
	h := httptest.NewServer(r.service)
	t.Cleanup(h.Close)
	r.url = h.URL
	if f != nil {
		f(r)
	}
	d := &envdoc.Document{
		Accounts: map[ident.AccountID]*envdoc.Account{"a": {ID: "a", Weight: 1, Services: map[ident.ServiceID]bool{"bookings": true}}},
		Services: map[ident.ServiceID]*envdoc.Service{"bookings": {ID: "bookings", Price: 9, Calls: []envdoc.CallRule{
			{Method: "POST", PathPrefix: "/slots"},
			{Method: "GET", PathPrefix: "/slots", Repeatable: true},
		}}},
	}
	v := &staticViews{view: &spread.View{Accepted: &spread.AcceptedDocument{Generation: 1, Document: d}}, changed: make(chan struct{})}
	s := sched.New(sched.Options{Views: v, Slots: 4, Limits: queue.Default(), LedgerFull: func(int) bool { return false }, Now: time.Now})
	r.claims = claim.New(r.table)
	var cs calls.Claims = r.claims
	if r.wrapClaims != nil {
		cs = r.wrapClaims(r.claims)
	}
	r.Executor = calls.New(calls.Options{
		Service: "bookings", Upstream: "p1", Instance: "agent-1",
		Plain: plain.New(plain.Default(r.url)), Sched: s, Views: v, Claims: cs, Receipts: r.receipts, Excess: r.excess,
		Ring: event.NewRing(event.NewClock(time.Now), "agent-1", 64), Log: zerolog.Nop(), Now: time.Now,
		NewToken: table.NewWriteToken, ClaimTimeout: 100 * time.Millisecond, RecordTimeout: time.Second,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var g sync.WaitGroup
	g.Go(func() { _ = s.Run(ctx) })
	g.Go(func() { _ = r.claims.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		g.Wait()
	})
	return r
}

func (r *harness) call(t *testing.T, f func(*wire.CallRequest)) (*wire.CallResult, *refuse.Error) {
	t.Helper()
	q := &wire.CallRequest{
		RequestId: "r1", Attempt: 1, Account: "a", Service: "bookings", Method: "POST", Path: "/slots?day=1",
		Body: []byte("body"), IdempotencyKey: "k1", TimeoutMs: 60_000, Generation: 1,
	}
	if f != nil {
		f(q)
	}
	m := r.Call(t.Context(), q)
	if m.GetRefusal() != nil {
		return nil, refuse.FromWire(m.GetRefusal())
	}
	return m.GetResult(), nil
}

func wantRefusal(t *testing.T, e *refuse.Error, c refuse.Code, ran refuse.Ran) {
	t.Helper()
	if e == nil || e.Code != c || e.Ran != ran {
		t.Fatalf("got %v, want %s and %s", e, c, ran)
	}
}

func (r *harness) claimState(t *testing.T) claim.State {
	t.Helper()
	c, err := r.claims.Read(t.Context(), claim.Key{Account: "a", Service: "bookings", Idempotency: "k1"})
	if err != nil {
		t.Fatal(err)
	}
	if c == nil {
		return "absent"
	}
	return c.State
}

// Guards against a call with an idempotency key that runs a second time, and against a
// repeat that gets another answer or is billed again.
func TestKeyedCallRunsOnce(t *testing.T) {
	r := start(t, nil)
	m, e := r.call(t, nil)
	if e != nil || string(m.GetBody()) != "booked" || m.GetReplayed() {
		t.Fatalf("got %v, %v", m, e)
	}
	m, e = r.call(t, func(q *wire.CallRequest) { q.Attempt = 2 })
	if e != nil || string(m.GetBody()) != "booked" || !m.GetReplayed() {
		t.Fatalf("repeat got %v, %v", m, e)
	}
	_, e = r.call(t, func(q *wire.CallRequest) { q.Body = []byte("other") })
	wantRefusal(t, e, refuse.KeyReused, refuse.NotRun)
	if r.service.count() != 1 || len(r.receipts.kept) != 1 || r.receipts.kept[0].Price != 9 || r.service.runs[0] != "POST /slots?day=1 body" {
		t.Fatalf("runs %v, receipts %+v", r.service.runs, r.receipts.kept)
	}
}

// Guards against calls that are sent although their claim may not have been written, and
// against refusals that report not-run without proof.
func TestNotSentWithoutClaim(t *testing.T) {
	for name, c := range map[string]struct {
		fault memory.Fault
		code  refuse.Code
		ran   refuse.Ran
	}{
		"table refuses":  {memory.Refused, refuse.ClaimsUnavailable, refuse.NotRun},
		"no answer":      {memory.Unanswered, refuse.ClaimUnknown, refuse.Unknown},
		"lost answer":    {memory.LostAnswer, refuse.ClaimUnknown, refuse.Unknown},
		"delayed effect": {memory.Delayed, refuse.ClaimUnknown, refuse.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			r := start(t, nil)
			r.table.SetFault(c.fault)
			_, e := r.call(t, nil)
			wantRefusal(t, e, c.code, c.ran)
			if _, e := r.call(t, func(q *wire.CallRequest) { q.Method = "GET" }); e != nil {
				t.Fatalf("a repeatable call, which needs no claim, was refused: %v", e)
			}
			if r.service.count() != 1 {
				t.Fatalf("service got %v", r.service.runs)
			}
		})
	}
}

// Guards against a call that is sent although the entry has marked it not-run, or although
// another attempt may have run.
func TestClaimOfOtherAttempt(t *testing.T) {
	r := start(t, nil)
	r.service.reset = true
	_, e := r.call(t, nil)
	wantRefusal(t, e, refuse.UpstreamFailed, refuse.Unknown)
	_, e = r.call(t, func(q *wire.CallRequest) { q.Attempt = 2 })
	wantRefusal(t, e, refuse.KeyInProgress, refuse.Unknown)
	if r.service.count() != 1 || r.claimState(t) != claim.StateDispatched {
		t.Fatalf("%d runs, claim is %s", r.service.count(), r.claimState(t))
	}
	if r.receipts.kept[0].Price != 0 {
		t.Fatal("a call with an unknown outcome has a price")
	}
	k := claim.Key{Account: "a", Service: "bookings", Idempotency: "k1"}
	o := start(t, nil)
	if _, err := o.claims.MarkNotRun(t.Context(), k, claim.NotRunMark{Digest: digestOf(t), Request: "r1"}); err != nil {
		t.Fatal(err)
	}
	_, e = o.call(t, nil)
	wantRefusal(t, e, refuse.ClaimFenced, refuse.NotRun)
	if m, e := o.call(t, func(q *wire.CallRequest) { q.ClaimRevision = 1 }); e != nil || m.GetReplayed() || o.service.count() != 1 {
		t.Fatalf("the attempt with the new revision got %v, %v", m, e)
	}
}

// digestOf returns the call digest in the claim of the default call.
func digestOf(t *testing.T) claim.CallDigest {
	r := start(t, nil)
	if _, e := r.call(t, nil); e != nil {
		t.Fatal(e)
	}
	c, err := r.claims.Read(t.Context(), claim.Key{Account: "a", Service: "bookings", Idempotency: "k1"})
	if err != nil {
		t.Fatal(err)
	}
	return c.Digest
}

// Guards against a key that is used up although the service can't be reached, and against
// a second run of a call whose result is too large to be recorded.
func TestNoConnectionAndLargeResult(t *testing.T) {
	r := start(t, func(r *harness) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		r.url = "http://" + l.Addr().String()
		l.Close()
	})
	_, e := r.call(t, nil)
	wantRefusal(t, e, refuse.UpstreamFailed, refuse.NotRun)
	if r.claimState(t) != "absent" {
		t.Fatalf("claim is %s", r.claimState(t))
	}
	o := start(t, func(r *harness) { r.service.large = true })
	if m, e := o.call(t, nil); e != nil || len(m.GetBody()) != claim.MaxResultBytes+1 {
		t.Fatalf("got %d bytes, %v", len(m.GetBody()), e)
	}
	_, e = o.call(t, nil)
	wantRefusal(t, e, refuse.UpstreamFailed, refuse.DidRun)
	if o.service.count() != 1 {
		t.Fatalf("%d runs", o.service.count())
	}
}

// Guards against calls whose path is checked as one and run as another, calls without a
// required idempotency key, and refused calls that reach the service.
func TestRefusedBeforeSending(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*wire.CallRequest)
		code   refuse.Code
	}{
		"no key":           {func(q *wire.CallRequest) { q.IdempotencyKey = "" }, refuse.KeyRequired},
		"no rule":          {func(q *wire.CallRequest) { q.Path = "/other" }, refuse.ServiceNotAllowed},
		"dot segments":     {func(q *wire.CallRequest) { q.Method, q.Path = "GET", "/slots/../other" }, refuse.BadRequest},
		"encoded segments": {func(q *wire.CallRequest) { q.Method, q.Path = "GET", "/slots/%2e%2e/other" }, refuse.BadRequest},
		"other host":       {func(q *wire.CallRequest) { q.Path = "//127.0.0.2/slots" }, refuse.BadRequest},
		"absolute":         {func(q *wire.CallRequest) { q.Path = "http://127.0.0.2/slots" }, refuse.BadRequest},
		"other service":    {func(q *wire.CallRequest) { q.Service = "payments" }, refuse.ServiceUnknown},
		"stale":            {func(q *wire.CallRequest) { q.Generation = 0 }, refuse.StaleGeneration},
		"late":             {func(q *wire.CallRequest) { q.TimeoutMs = 0 }, refuse.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			r := start(t, nil)
			_, e := r.call(t, c.change)
			wantRefusal(t, e, c.code, refuse.NotRun)
			if r.service.count() != 0 {
				t.Fatalf("service got %v", r.service.runs)
			}
		})
	}
}

// slowClaims delays the return of Dispatch.
type slowClaims struct {
	*claim.Store
	delay time.Duration
}

func (l slowClaims) Dispatch(ctx context.Context, k claim.Key, d claim.Dispatch) (*claim.Claim, error) {
	c, err := l.Store.Dispatch(ctx, k, d)
	time.Sleep(l.delay)
	return c, err
}

// Guards against a key that stays in progress although its call was not sent, because the
// write of the claim ended after the deadline.
func TestClaimIsAbandonedWhenCallIsNotSent(t *testing.T) {
	const limit = 100 * time.Millisecond
	r := start(t, func(r *harness) {
		r.wrapClaims = func(b *claim.Store) calls.Claims { return slowClaims{Store: b, delay: limit} }
	})
	_, e := r.call(t, func(q *wire.CallRequest) { q.TimeoutMs = limit.Milliseconds() })
	if e == nil || e.Ran != refuse.NotRun {
		t.Fatalf("refusal %v, want not-run", e)
	}
	c, err := r.claims.Read(t.Context(), claim.Key{Account: "a", Service: "bookings", Idempotency: "k1"})
	if err != nil || c == nil || c.State != claim.StateNotRun {
		t.Errorf("claim %+v, error %v, want not-run", c, err)
	}
}
