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
	"tarragonvalve.example/entry/plan"
)

// whole checks that the caller got exactly the text and is billed for it once.
func whole(t *testing.T, w *world, text string, a *Answer, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("refused: %v", err)
	}
	if got := w.text.String(); got != text {
		t.Fatalf("the caller got %q, want %q", got, text)
	}
	b := w.bill()
	if b.Outcome != ledger.OutcomeComplete || int(b.Output) != len(text) {
		t.Fatalf("billed %+v", b)
	}
	if a.Output != b.Output || a.Session == "" {
		t.Fatalf("answered %+v", a)
	}
}

// Guards against an answer with text of another request or attempt, or with
// doubled text, when frames arrive late or misdelivered.
func TestForeignAndLateFramesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, func(q *wire.RunRequest, s wire.Agent_RunServer) error {
			f := of(q)
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
		whole(t, w, "ab", a, err)
		if c := w.relay.Counters(); c.Crossed.Load() != 3 || c.Late.Load() != 2 {
			t.Fatalf("counted %d crossed and %d late frames", c.Crossed.Load(), c.Late.Load())
		}
	})
}

// Guards against an answer cut short by a broken stream: over a connection that
// went silent, through an agent that restarted, and with a frame missing before the end.
func TestBrokenStreamIsResumed(t *testing.T) {
	for name, broken := range map[string]func(q *wire.RunRequest, s wire.Agent_RunServer) error{
		"silent": func(q *wire.RunRequest, s wire.Agent_RunServer) error {
			s.Send(of(q).data(0, "a"))
			<-s.Context().Done()
			return nil
		},
		"only foreign frames": func(q *wire.RunRequest, s wire.Agent_RunServer) error {
			s.Send(of(q).data(0, "a"))
			for s.Context().Err() == nil {
				s.Send(frames{request: "other", attempt: 1}.data(1, "X"))
				time.Sleep(500 * time.Millisecond)
			}
			return nil
		},
		"failed": func(q *wire.RunRequest, s wire.Agent_RunServer) error {
			s.Send(of(q).data(0, "a"))
			return status.Error(codes.Unavailable, "scripted")
		},
		"ended early": func(q *wire.RunRequest, s wire.Agent_RunServer) error {
			return s.Send(of(q).data(0, "a"))
		},
		"frame missing": func(q *wire.RunRequest, s wire.Agent_RunServer) error {
			return send(s, of(q).data(0, "a"), of(q).data(2, "c"), of(q).end(3, 0))
		},
		"frame missing before the end": func(q *wire.RunRequest, s wire.Agent_RunServer) error {
			return send(s, of(q).data(0, "a"), of(q).end(3, 0))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, broken)
				defer w.stop()
				var tries atomic.Int64
				w.agents[0].resume = func(q *wire.ResumeRequest, s wire.Agent_ResumeServer) error {
					if tries.Add(1) == 1 {
						return status.Error(codes.Unavailable, "restarting")
					}
					return letters(of(q), s, "abc", q.GetPosition(), 0)
				}
				a, err := w.chat(context.Background())
				whole(t, w, "abc", a, err)
				if p := w.agents[0].resumes[0].GetPosition(); p != 1 {
					t.Fatalf("resumed at %d", p)
				}
			})
		})
	}
}

// Guards against a normal end, or a second answer behind the first half, when
// nobody knows the stream any more; and against a bill for more than was relayed.
func TestLostStreamEndsBroken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, func(q *wire.RunRequest, s wire.Agent_RunServer) error {
			s.Send(of(q).data(0, "a"))
			return status.Error(codes.Unavailable, "scripted")
		}, answering("xyz", 0))
		defer w.stop()
		w.agents[0].resume = func(q *wire.ResumeRequest, s wire.Agent_ResumeServer) error {
			return s.Send(of(q).refusal(string(refuse.UnknownAttempt), wire.Ran_RAN_UNKNOWN))
		}
		_, err := w.chat(context.Background())
		e, _ := refuse.As(err)
		if e == nil || e.Code != refuse.StreamBroken || e.Ran != refuse.DidRun {
			t.Fatalf("got %v", err)
		}
		if len(w.agents[1].runs) != 0 || w.text.String() != "a" {
			t.Fatalf("another upstream ran after the caller got %q", w.text.String())
		}
		if b := w.bill(); b.Outcome != ledger.OutcomeBroken || b.Output != 1 || b.Price != 20 {
			t.Fatalf("billed %+v", b)
		}
	})
}

// Guards against waiting for an agent that is gone while nothing was relayed,
// and against a retry that reuses the attempt number of the lost one.
func TestLostAttemptMovesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, func(*wire.RunRequest, wire.Agent_RunServer) error {
			return status.Error(codes.Unavailable, "scripted")
		}, answering("abc", 0))
		defer w.stop()
		w.agents[0].resume = func(*wire.ResumeRequest, wire.Agent_ResumeServer) error {
			return status.Error(codes.Unavailable, "scripted")
		}
		a, err := w.chat(context.Background())
		whole(t, w, "abc", a, err)
		if n := w.agents[1].runs[0].GetAttempt(); n != 2 || w.bill().Attempt != 2 {
			t.Fatalf("the second attempt has number %d, its bill %d", n, w.bill().Attempt)
		}
		if w.budget != 0 {
			t.Fatalf("the retry was not charged: %d left", w.budget)
		}
	})
}

// Guards against refusals that say not-run although an attempt may have run, and
// against retries beyond the budget.
func TestRefusalIsTruthful(t *testing.T) {
	gone := func(*wire.RunRequest, wire.Agent_RunServer) error { return status.Error(codes.Unavailable, "scripted") }
	busy := refusing(string(refuse.Overloaded), wire.Ran_RAN_NOT_RUN)
	for name, c := range map[string]struct {
		scripts []func(*wire.RunRequest, wire.Agent_RunServer) error
		code    refuse.Code
		ran     refuse.Ran
		bills   int
	}{
		"all refused":          {[]func(*wire.RunRequest, wire.Agent_RunServer) error{busy, busy}, refuse.Overloaded, refuse.NotRun, 0},
		"lost, then refused":   {[]func(*wire.RunRequest, wire.Agent_RunServer) error{gone, busy}, refuse.Overloaded, refuse.Unknown, 1},
		"budget is used up":    {[]func(*wire.RunRequest, wire.Agent_RunServer) error{busy, busy, answering("abc", 0)}, refuse.Overloaded, refuse.NotRun, 0},
		"no upstream":          {nil, refuse.NoUpstream, refuse.NotRun, 0},
		"caller's own mistake": {[]func(*wire.RunRequest, wire.Agent_RunServer) error{refusing(string(refuse.BadRequest), wire.Ran_RAN_NOT_RUN), answering("abc", 0)}, refuse.BadRequest, refuse.NotRun, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, c.scripts...)
				defer w.stop()
				for _, a := range w.agents {
					a.resume = func(q *wire.ResumeRequest, s wire.Agent_ResumeServer) error {
						return s.Send(of(q).refusal(string(refuse.UnknownAttempt), wire.Ran_RAN_UNKNOWN))
					}
				}
				_, err := w.chat(context.Background())
				e, _ := refuse.As(err)
				if e == nil || e.Code != c.code || e.Ran != c.ran {
					t.Fatalf("got %v", err)
				}
				if len(w.receipts) != c.bills {
					t.Fatalf("receipts %+v", w.receipts)
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

// Guards against work under an old document, against a refusal where catching
// up is enough, and against charging that to the retry budget.
func TestGenerationsAreCaughtUp(t *testing.T) {
	for _, code := range []refuse.Code{refuse.StaleGeneration, refuse.AgentBehind} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, func(q *wire.RunRequest, s wire.Agent_RunServer) error {
				if q.GetGeneration() == 1 {
					return s.Send(of(q).refusal(string(code), wire.Ran_RAN_NOT_RUN))
				}
				return letters(of(q), s, "abc", 0, 0)
			})
			defer w.stop()
			a, err := w.chat(context.Background())
			whole(t, w, "abc", a, err)
			if w.caught != 1 || len(w.pins) != 2 || w.budget != 1 {
				t.Fatalf("caught up %d times, planned %d times, budget %d", w.caught, len(w.pins), w.budget)
			}
		})
	}
}

// Guards against requests lost to a graceful shutdown of an agent: its refusal
// sends them elsewhere even when the retry budget is used up.
func TestDrainingAgentIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, refusing(string(refuse.Draining), wire.Ran_RAN_NOT_RUN), answering("abc", 0))
		defer w.stop()
		w.budget = 0
		a, err := w.chat(context.Background())
		whole(t, w, "abc", a, err)
	})
}

// Guards against an empty or cut answer that is shown as whole because it ended without an error.
func TestEndWithoutFinishReasonIsNotWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, func(q *wire.RunRequest, s wire.Agent_RunServer) error {
			f := of(q).end(0, 0)
			f.GetEnd().FinishReason = ""
			return s.Send(f)
		})
		defer w.stop()
		if a, err := w.chat(context.Background()); err == nil {
			t.Fatalf("got %+v for an answer without a finish reason", a)
		}
	})
}

// Guards against callers who see text of a rejected cascade answer, or pay for it,
// and against a session pinned to a version that did not answer.
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
				w := newWorld(t, func(q *wire.RunRequest, s wire.Agent_RunServer) error {
					if q.GetModel() == "cheap" {
						return letters(of(q), s, "weak", 0, c.logprob)
					}
					return letters(of(q), s, "strong", 0, 0)
				})
				defer w.stop()
				w.plan = plan.Cascade{First: cheap, EscalateTo: best, MinLogprob: -1}
				a, err := w.chat(context.Background())
				whole(t, w, c.text, a, err)
				if len(w.receipts) != c.receipts || int(w.bill().Price) != c.price {
					t.Fatalf("receipts %+v", w.receipts)
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

// Guards against work that goes on for a caller who left, and against a bill for
// output that was not relayed.
func TestLeavingCallerCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, func(q *wire.RunRequest, s wire.Agent_RunServer) error {
			s.Send(of(q).data(0, "a"))
			<-s.Context().Done()
			return nil
		})
		defer w.stop()
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, cancel)
		_, err := w.chat(ctx)
		if e, _ := refuse.As(err); e == nil || e.Code != refuse.Cancelled {
			t.Fatalf("got %v", err)
		}
		w.relay.Wait(context.Background())
		if len(w.agents[0].cancels) != 1 {
			t.Fatal("the agent was not told")
		}
		if b := w.bill(); b.Outcome != ledger.OutcomeCancelled || b.Output != 1 {
			t.Fatalf("billed %+v", b)
		}
	})
}

// Guards against a session that is given to another account or loses its version.
func TestSessionTokenPins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, answering("abc", 0))
		defer w.stop()
		a, err := w.chat(context.Background())
		whole(t, w, "abc", a, err)
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
				t.Errorf("%s: got %v", name, err)
			}
		}
	})
}

func isCode(err error, c refuse.Code) bool {
	e, ok := refuse.As(err)
	return ok && e.Code == c
}

// Guards against a request that is held past its deadline, and against a not-run
// for work that was accepted by an agent.
func TestDeadlineEndsTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, func(q *wire.RunRequest, s wire.Agent_RunServer) error {
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
			t.Fatalf("got %v", err)
		}
		if d := time.Since(at); d != time.Minute {
			t.Fatalf("ended after %v", d)
		}
		if b := w.bill(); b.Price != 0 {
			t.Fatalf("billed %+v", b)
		}
	})
}

// Guards against a cascade that fails with its first step although the second
// could answer, and against doing so beyond the retry budget.
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
				w := newWorld(t, func(q *wire.RunRequest, s wire.Agent_RunServer) error {
					if q.GetModel() == "cheap" {
						return s.Send(of(q).refusal(string(refuse.UpstreamFailed), wire.Ran_RAN_RAN))
					}
					return letters(of(q), s, "strong", 0, 0)
				})
				defer w.stop()
				w.plan = plan.Cascade{First: cheap, EscalateTo: best, MinLogprob: -1}
				w.budget = c.budget
				a, err := w.chat(context.Background())
				if c.code == "" {
					whole(t, w, "strong", a, err)
				} else if !isCode(err, c.code) {
					t.Fatalf("got %v", err)
				}
			})
		})
	}
}

// Guards against one stuck stream that breaks all others of its connection, and
// against staying on a connection whose streams are stuck.
func TestStuckStreamOnLiveConnection(t *testing.T) {
	for name, c := range map[string]struct {
		stuck    int64
		replaced uint64
	}{
		"opened again":      {0, 0},
		"replaced the next": {1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, func(q *wire.RunRequest, s wire.Agent_RunServer) error {
					s.Send(of(q).data(0, "a"))
					<-s.Context().Done()
					return nil
				})
				defer w.stop()
				a := w.agents[0]
				a.statuses.Store(true)
				var tries atomic.Int64
				a.resume = func(q *wire.ResumeRequest, s wire.Agent_ResumeServer) error {
					if tries.Add(1) <= c.stuck {
						<-s.Context().Done()
						return nil
					}
					return letters(of(q), s, "abc", q.GetPosition(), 0)
				}
				// The watch that is open sends nothing; a new one does.
				l := w.set.Link("u1")
				k, _ := l.Conn()
				l.Replace(k)
				time.Sleep(2 * time.Second)
				before := l.Replaced()
				x, err := w.chat(context.Background())
				whole(t, w, "abc", x, err)
				if n := l.Replaced() - before; n != c.replaced {
					t.Errorf("%d connections were replaced", n)
				}
			})
		})
	}
}
