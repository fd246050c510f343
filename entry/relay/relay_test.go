package relay

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/abort"
	"tarragonvalve.example/entry/plan"
)

// assertWhole fails the test unless the caller got exactly the text and was billed for it once.
func assertWhole(t *testing.T, w *harness, text string, a *Answer, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("the chat was refused: %v", err)
	}
	if got := w.text.String(); got != text {
		t.Fatalf("the caller got %q, want %q", got, text)
	}
	b := w.bill()
	if b.Outcome != ledger.OutcomeComplete || int(b.Output) != len(text) {
		t.Fatalf("the billing receipt is %+v", b)
	}
	if a.Output != b.Output || a.Session == "" {
		t.Fatalf("the answer is %+v", a)
	}
}

// Guards against an answer with text of another request or attempt, or with repeated
// text, when frames arrive late or are misdelivered.
func TestForeignAndLateFramesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHarness(t, func(q *wire.RunRequest, s wire.Agent_RunServer) error {
			f := framesFor(q)
			return send(s,
				f.data(0, "a"),
				frames{request: "other", attempt: 1}.data(1, "X"),
				frames{request: q.GetRequestId(), attempt: 9}.data(1, "Y"),
				frames{request: "other", attempt: 1}.end(1, 0),
				f.data(0, "a"),
				f.data(1, "b"),
				f.end(1, 0),
				f.end(2, 0),
			)
		})
		defer w.stop()
		a, err := w.chat(context.Background())
		assertWhole(t, w, "ab", a, err)
		if c := w.relay.Counters(); c.Crossed.Load() != 3 || c.Late.Load() != 2 {
			t.Fatalf("counted %d crossed and %d late frames", c.Crossed.Load(), c.Late.Load())
		}
	})
}

// Guards against a truncated answer after a stream breaks: the connection goes
// silent, only frames of another request arrive, the agent restarts, the stream ends
// without an end frame, or a frame is missing.
func TestBrokenStreamIsResumed(t *testing.T) {
	for name, broken := range map[string]func(q *wire.RunRequest, s wire.Agent_RunServer) error{
		"silent": func(q *wire.RunRequest, s wire.Agent_RunServer) error {
			s.Send(framesFor(q).data(0, "a"))
			<-s.Context().Done()
			return nil
		},
		"only foreign frames": func(q *wire.RunRequest, s wire.Agent_RunServer) error {
			s.Send(framesFor(q).data(0, "a"))
			for s.Context().Err() == nil {
				s.Send(frames{request: "other", attempt: 1}.data(1, "X"))
				time.Sleep(500 * time.Millisecond)
			}
			return nil
		},
		"failed": func(q *wire.RunRequest, s wire.Agent_RunServer) error {
			s.Send(framesFor(q).data(0, "a"))
			return status.Error(codes.Unavailable, "scripted")
		},
		"ended early": func(q *wire.RunRequest, s wire.Agent_RunServer) error {
			return s.Send(framesFor(q).data(0, "a"))
		},
		"frame missing": func(q *wire.RunRequest, s wire.Agent_RunServer) error {
			return send(s, framesFor(q).data(0, "a"), framesFor(q).data(2, "c"), framesFor(q).end(3, 0))
		},
		"frame missing before the end": func(q *wire.RunRequest, s wire.Agent_RunServer) error {
			return send(s, framesFor(q).data(0, "a"), framesFor(q).end(3, 0))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newHarness(t, broken)
				defer w.stop()
				var tries atomic.Int64
				w.agents[0].resume = func(q *wire.ResumeRequest, s wire.Agent_ResumeServer) error {
					if tries.Add(1) == 1 {
						return status.Error(codes.Unavailable, "restarting")
					}
					return sendLetters(framesFor(q), s, "abc", q.GetPosition(), 0)
				}
				a, err := w.chat(context.Background())
				assertWhole(t, w, "abc", a, err)
				if p := w.agents[0].resumes[0].GetPosition(); p != 1 {
					t.Fatalf("resumed at position %d, want 1", p)
				}
			})
		})
	}
}

// Guards against a normal end, or a second answer after a part of the first, when the
// agent no longer has the stream; and against a bill for more than was relayed.
func TestLostStreamEndsBroken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHarness(t, func(q *wire.RunRequest, s wire.Agent_RunServer) error {
			s.Send(framesFor(q).data(0, "a"))
			return status.Error(codes.Unavailable, "scripted")
		}, answering("xyz", 0))
		defer w.stop()
		w.agents[0].resume = func(q *wire.ResumeRequest, s wire.Agent_ResumeServer) error {
			return s.Send(framesFor(q).refusal(string(refuse.UnknownAttempt), wire.Ran_RAN_UNKNOWN))
		}
		_, err := w.chat(context.Background())
		e, _ := refuse.As(err)
		if e == nil || e.Code != refuse.StreamBroken || e.Ran != refuse.DidRun {
			t.Fatalf("the chat returned %v, want stream-broken", err)
		}
		if len(w.agents[1].runs) != 0 || w.text.String() != "a" {
			t.Fatalf("another upstream ran after the caller got %q", w.text.String())
		}
		if b := w.bill(); b.Outcome != ledger.OutcomeBroken || b.Output != 1 || b.Price != 20 {
			t.Fatalf("the billing receipt is %+v, want only the relayed token", b)
		}
	})
}

// Guards against waiting for an agent that does not come back although nothing was
// relayed, against a retry with the attempt number of the lost attempt, and against
// a retry that is not taken from the budget.
func TestLostAttemptIsRetriedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHarness(t, func(*wire.RunRequest, wire.Agent_RunServer) error {
			return status.Error(codes.Unavailable, "scripted")
		}, answering("abc", 0))
		defer w.stop()
		w.agents[0].resume = func(*wire.ResumeRequest, wire.Agent_ResumeServer) error {
			return status.Error(codes.Unavailable, "scripted")
		}
		a, err := w.chat(context.Background())
		assertWhole(t, w, "abc", a, err)
		if n := w.agents[1].runs[0].GetAttempt(); n != 2 || w.bill().Attempt != 2 {
			t.Fatalf("the second attempt has number %d, its bill %d", n, w.bill().Attempt)
		}
		if w.budget != 0 {
			t.Fatalf("the retry was not charged: %d left", w.budget)
		}
	})
}

// Guards against refusals that say not-run although an attempt may have run, against
// a price for a refused request, and against retries beyond the budget.
func TestRefusalReportsRan(t *testing.T) {
	unavailable := func(*wire.RunRequest, wire.Agent_RunServer) error { return status.Error(codes.Unavailable, "scripted") }
	busy := refusing(string(refuse.Overloaded), wire.Ran_RAN_NOT_RUN)
	for name, c := range map[string]struct {
		scripts []func(*wire.RunRequest, wire.Agent_RunServer) error
		code    refuse.Code
		ran     refuse.Ran
		bills   int
	}{
		"all refused":          {[]func(*wire.RunRequest, wire.Agent_RunServer) error{busy, busy}, refuse.Overloaded, refuse.NotRun, 0},
		"lost, then refused":   {[]func(*wire.RunRequest, wire.Agent_RunServer) error{unavailable, busy}, refuse.Overloaded, refuse.Unknown, 1},
		"budget is used up":    {[]func(*wire.RunRequest, wire.Agent_RunServer) error{busy, busy, answering("abc", 0)}, refuse.Overloaded, refuse.NotRun, 0},
		"no upstream":          {nil, refuse.NoUpstream, refuse.NotRun, 0},
		"caller's own mistake": {[]func(*wire.RunRequest, wire.Agent_RunServer) error{refusing(string(refuse.BadRequest), wire.Ran_RAN_NOT_RUN), answering("abc", 0)}, refuse.BadRequest, refuse.NotRun, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newHarness(t, c.scripts...)
				defer w.stop()
				for _, a := range w.agents {
					a.resume = func(q *wire.ResumeRequest, s wire.Agent_ResumeServer) error {
						return s.Send(framesFor(q).refusal(string(refuse.UnknownAttempt), wire.Ran_RAN_UNKNOWN))
					}
				}
				_, err := w.chat(context.Background())
				e, _ := refuse.As(err)
				if e == nil || e.Code != c.code || e.Ran != c.ran {
					t.Fatalf("the chat returned %v", err)
				}
				if len(w.receipts) != c.bills {
					t.Fatalf("the receipts are %+v", w.receipts)
				}
				for _, b := range w.receipts {
					if b.Price != 0 {
						t.Fatalf("a refused request is billed %+v", b)
					}
				}
			})
		})
	}
}

// Guards against work under an old document, against a refusal although an exchange
// of state is enough, and against taking that from the retry budget.
func TestGenerationsAreCaughtUp(t *testing.T) {
	for _, code := range []refuse.Code{refuse.StaleGeneration, refuse.AgentBehind} {
		synctest.Test(t, func(t *testing.T) {
			w := newHarness(t, func(q *wire.RunRequest, s wire.Agent_RunServer) error {
				if q.GetGeneration() == 1 {
					return s.Send(framesFor(q).refusal(string(code), wire.Ran_RAN_NOT_RUN))
				}
				return sendLetters(framesFor(q), s, "abc", 0, 0)
			})
			defer w.stop()
			a, err := w.chat(context.Background())
			assertWhole(t, w, "abc", a, err)
			if w.catchUps != 1 || len(w.pins) != 2 || w.budget != 1 {
				t.Fatalf("caught up %d times, planned %d times, budget %d", w.catchUps, len(w.pins), w.budget)
			}
		})
	}
}

// Guards against requests that fail because an agent shuts down gracefully: another
// upstream is tried even if the retry budget is used up.
func TestDrainingAgentIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHarness(t, refusing(string(refuse.Draining), wire.Ran_RAN_NOT_RUN), answering("abc", 0))
		defer w.stop()
		w.budget = 0
		a, err := w.chat(context.Background())
		assertWhole(t, w, "abc", a, err)
	})
}

// Guards against an incomplete answer that is passed on as complete because its
// stream ended without an error.
func TestEndWithoutFinishReasonIsNotWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHarness(t, func(q *wire.RunRequest, s wire.Agent_RunServer) error {
			f := framesFor(q).end(0, 0)
			f.GetEnd().FinishReason = ""
			return s.Send(f)
		})
		defer w.stop()
		if a, err := w.chat(context.Background()); err == nil {
			t.Fatalf("got %+v for an answer without a finish reason", a)
		}
	})
}

// Guards against callers who see or pay for a rejected answer of a cascade, and
// against a session pinned to a version that did not answer.
func TestCascadeShowsOnlyTheAcceptedAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		logprob  float64
		text     string
		receipts int
		price    int
	}{
		"weak answer escalates": {-2, "strong", 2, 10*10 + 6*20},
		"good answer is taken":  {-0.1, "weak", 1, 10*1 + 4*2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newHarness(t, func(q *wire.RunRequest, s wire.Agent_RunServer) error {
					if q.GetModel() == "cheap" {
						return sendLetters(framesFor(q), s, "weak", 0, c.logprob)
					}
					return sendLetters(framesFor(q), s, "strong", 0, 0)
				})
				defer w.stop()
				w.plan = plan.Cascade{First: cheap, EscalateTo: best, MinLogprob: -1}
				a, err := w.chat(context.Background())
				assertWhole(t, w, c.text, a, err)
				if len(w.receipts) != c.receipts || int(w.bill().Price) != c.price {
					t.Fatalf("the receipts are %+v", w.receipts)
				}
				c, err := w.relay.o.Signer.Verify(a.Session)
				if err != nil || c.Version != a.Version {
					t.Fatalf("the session is pinned to %v, answered by %v, error %v", c.Version, a.Version, err)
				}
				if w.agents[0].runs[0].GetDirect() {
					t.Fatal("the first step of a cascade says that its output goes to the caller")
				}
			})
		})
	}
}

// Guards against work that continues after the caller disconnected, and against a
// bill for output that was not relayed.
func TestDisconnectCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHarness(t, func(q *wire.RunRequest, s wire.Agent_RunServer) error {
			s.Send(framesFor(q).data(0, "a"))
			<-s.Context().Done()
			return nil
		})
		defer w.stop()
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, cancel)
		_, err := w.chat(ctx)
		if e, _ := refuse.As(err); e == nil || e.Code != refuse.Cancelled {
			t.Fatalf("the chat returned %v, want cancelled", err)
		}
		w.relay.Wait(context.Background())
		if len(w.agents[0].cancels) != 1 {
			t.Fatal("the attempt was not cancelled at the agent")
		}
		if b := w.bill(); b.Outcome != ledger.OutcomeCancelled || b.Output != 1 {
			t.Fatalf("the billing receipt is %+v, want only the relayed token", b)
		}
	})
}

// Guards against a refusal at the drain limit that says that the caller left, and against one that is
// wrong about whether the request ran.
func TestDrainLimit(t *testing.T) {
	for name, c := range map[string]struct {
		text    string
		code    refuse.Code
		ran     refuse.Ran
		outcome ledger.Outcome
	}{
		"nothing relayed": {"", refuse.Draining, refuse.Unknown, ledger.OutcomeCancelled},
		"stream begun":    {"a", refuse.StreamBroken, refuse.DidRun, ledger.OutcomeCancelled},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newHarness(t, func(q *wire.RunRequest, s wire.Agent_RunServer) error {
					if c.text != "" {
						s.Send(framesFor(q).data(0, c.text))
					}
					<-s.Context().Done()
					return nil
				})
				defer w.stop()
				ctx, cancel := context.WithCancelCause(context.Background())
				time.AfterFunc(time.Second, func() { cancel(abort.ErrDrained) })
				_, err := w.chat(ctx)
				if e, _ := refuse.As(err); e == nil || e.Code != c.code || e.Ran != c.ran {
					t.Errorf("the chat returned %v, want %s and %s", err, c.code, c.ran)
				}
				if b := w.bill(); b.Outcome != c.outcome || int(b.Output) != len(c.text) {
					t.Errorf("the billing receipt is %+v", b)
				}
			})
		})
	}
}

// Guards against a session that loses its version, and against tokens that are
// damaged or not tokens.
func TestSessionTokenPins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHarness(t, answering("abc", 0))
		defer w.stop()
		a, err := w.chat(context.Background())
		assertWhole(t, w, "abc", a, err)
		c := Chat{ID: "r2", Account: "a", Session: a.Session, MaxTokens: 8, Deadline: time.Now().Add(time.Minute)}
		if _, err := w.relay.Chat(context.Background(), c, w); err != nil {
			t.Fatal(err)
		}
		if w.pins[1] != best {
			t.Fatalf("the second turn has the pin %v", w.pins[1])
		}
		for name, s := range map[string]string{"damaged": a.Session + "x", "not a token": "x"} {
			c.Session = s
			if _, err := w.relay.Chat(context.Background(), c, w); !isCode(err, refuse.SessionInvalid) {
				t.Errorf("%s: the chat returned %v, want session-invalid", name, err)
			}
		}
	})
}

func isCode(err error, c refuse.Code) bool {
	e, ok := refuse.As(err)
	return ok && e.Code == c
}

// Guards against a request that outlasts its deadline, and against a refusal with
// not-run for work that an agent accepted.
func TestDeadlineEndsTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHarness(t, func(q *wire.RunRequest, s wire.Agent_RunServer) error {
			for s.Context().Err() == nil {
				f := &wire.Frame{RequestId: q.GetRequestId(), Attempt: q.GetAttempt(), Body: &wire.Frame_Heartbeat{}}
				s.Send(f)
				time.Sleep(500 * time.Millisecond)
			}
			return nil
		})
		defer w.stop()
		at := time.Now()
		_, err := w.chat(context.Background())
		if e, _ := refuse.As(err); e == nil || e.Code != refuse.DeadlineExceeded || e.Ran != refuse.Unknown {
			t.Fatalf("the chat returned %v, want deadline-exceeded with an unknown outcome", err)
		}
		if d := time.Since(at); d != time.Minute {
			t.Fatalf("the chat ended after %v, want its timeout of a minute", d)
		}
		if b := w.bill(); b.Price != 0 {
			t.Fatalf("the billing receipt is %+v, want no price", b)
		}
	})
}

// Guards against a cascade that fails with its first step although the second could
// answer, and against a second step that exceeds the retry budget.
func TestFailedFirstStep(t *testing.T) {
	for name, c := range map[string]struct {
		budget int
		code   refuse.Code
	}{
		"budget left":     {1, ""},
		"budget is spent": {0, refuse.UpstreamFailed},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newHarness(t, func(q *wire.RunRequest, s wire.Agent_RunServer) error {
					if q.GetModel() == "cheap" {
						return s.Send(framesFor(q).refusal(string(refuse.UpstreamFailed), wire.Ran_RAN_RAN))
					}
					return sendLetters(framesFor(q), s, "strong", 0, 0)
				})
				defer w.stop()
				w.plan = plan.Cascade{First: cheap, EscalateTo: best, MinLogprob: -1}
				w.budget = c.budget
				a, err := w.chat(context.Background())
				if c.code == "" {
					assertWhole(t, w, "strong", a, err)
				} else if !isCode(err, c.code) {
					t.Fatalf("the chat returned %v", err)
				}
			})
		})
	}
}

// Guards against one silent stream whose resume breaks all others of its connection,
// and against keeping a connection on which resumed streams are silent too.
func TestSilentStreamOnLiveConnection(t *testing.T) {
	for name, c := range map[string]struct {
		silentResumes int64
		replaced      uint64
	}{
		"opened again":      {0, 0},
		"replaced the next": {1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newHarness(t, func(q *wire.RunRequest, s wire.Agent_RunServer) error {
					s.Send(framesFor(q).data(0, "a"))
					<-s.Context().Done()
					return nil
				})
				defer w.stop()
				a := w.agents[0]
				a.statuses.Store(true)
				var tries atomic.Int64
				a.resume = func(q *wire.ResumeRequest, s wire.Agent_ResumeServer) error {
					if tries.Add(1) <= c.silentResumes {
						<-s.Context().Done()
						return nil
					}
					return sendLetters(framesFor(q), s, "abc", q.GetPosition(), 0)
				}
				// The open watch stream sends no statuses. That of a new connection does.
				l := w.set.Link("u1")
				k, _ := l.Conn()
				l.Replace(k)
				time.Sleep(2 * time.Second)
				before := l.Replaced()
				x, err := w.chat(context.Background())
				assertWhole(t, w, "abc", x, err)
				if n := l.Replaced() - before; n != c.replaced {
					t.Errorf("%d connections were replaced", n)
				}
			})
		})
	}
}
