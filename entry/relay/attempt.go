package relay

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"google.golang.org/grpc"

	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/agents"
)

const (
	// silenceLimit is the silence on an open stream that counts as a dead link;
	// agents send a heartbeat frame every 500 ms.
	silenceLimit = 2 * time.Second
	// resumeEvery is the pause between two tries to resume.
	resumeEvery = 200 * time.Millisecond
	// resumeLimit bounds resuming of a stream that the caller has part of: a
	// restarted agent is back within seconds.
	resumeLimit = 10 * time.Second
	// freshTries bounds resuming while nothing was relayed.
	freshTries = 1
	// maxGaps bounds resumes of a stream that keeps missing the same frame.
	maxGaps = 3
	// cancelLimit bounds the message that stops an abandoned attempt.
	cancelLimit = time.Second
	// frameBuffer is the number of frames read ahead of the caller.
	frameBuffer = 32
)

// outcome is how an attempt ended; the sealed cases are finished, refused, lost and stopped.
type outcome interface{ outcome() }

// finished is a complete answer.
type finished struct{ end *wire.End }

// refused is an explicit refusal by the agent.
type refused struct{ err *refuse.Error }

// lost means that neither the agent nor the engine can continue the stream.
type lost struct{ why string }

// stopped means that the caller left, the deadline passed or the sink failed.
type stopped struct{ err error }

func (finished) outcome() {}
func (refused) outcome()  {}
func (lost) outcome()     {}
func (stopped) outcome()  {}

// attempt is one attempt of a request at one upstream.
type attempt struct {
	r      *Relay
	q      *request
	n      ident.Attempt
	step   Step
	link   *agents.Link
	direct bool
	// out takes the data frames in order.
	out func(d *wire.Data) error

	conn *agents.Conn
	// next is the position of the next data frame.
	next   uint64
	tokens ident.Tokens
	began  time.Time
	first  time.Duration
	// alive is when the latest frame of this attempt arrived.
	alive time.Time
	// tries counts resumes since then, gaps those caused by missing frames since the last data frame.
	tries int
	gaps  int
}

// stream is one open stream of frames of an attempt.
type stream struct {
	frames chan received
	cancel context.CancelFunc
}

type received struct {
	frame *wire.Frame
	err   error
}

// broken is a stream that must be resumed; it never leaves the attempt.
type broken struct {
	why    string
	silent bool
}

func (broken) outcome() {}

// run drives the attempt to its end. A broken stream is resumed until the
// agent was out of reach for too long.
func (a *attempt) run(ctx context.Context) outcome {
	done := a.link.Begin(a.q.input)
	defer done()
	a.began = a.r.o.Now()
	a.alive = a.began
	a.r.count.Attempts.Add(1)
	o := a.start(ctx)
	for {
		b, again := o.(broken)
		if !again {
			return a.close(ctx, o)
		}
		if a.giveUp(b) {
			return a.close(ctx, lost{why: b.why})
		}
		o = a.resume(ctx, b)
	}
}

func (a *attempt) start(ctx context.Context) outcome {
	c, err := a.link.Conn()
	if err != nil {
		return lost{why: err.Error()}
	}
	a.conn = c
	s, err := a.open(ctx, func(ctx context.Context) (grpc.ServerStreamingClient[wire.Frame], error) {
		return c.Agent.Run(ctx, a.request())
	})
	if err != nil {
		return a.failed(ctx, err)
	}
	return a.read(ctx, s)
}

// giveUp decides whether a broken stream is resumed once more. While nothing
// was relayed a single failed try is enough, since another upstream can start over.
func (a *attempt) giveUp(b broken) bool {
	if a.gaps > maxGaps {
		return true
	}
	a.tries++
	if (a.next == 0 || !a.direct) && a.tries > freshTries {
		return true
	}
	limit := resumeLimit
	if b.silent {
		limit += silenceLimit
	}
	return a.r.o.Now().Sub(a.alive) > limit
}

// resume continues the stream from the next position, over a new connection
// when the old one is silent. A silent stream on a connection that still brings
// statuses is first opened again on it, since replacing the connection breaks
// all its other streams. A restarted agent asks its engine for the stream.
func (a *attempt) resume(ctx context.Context, b broken) outcome {
	if a.tries > 1 && !pause(ctx, resumeEvery) {
		return stopped{err: ctx.Err()}
	}
	c, err := a.link.Conn()
	if b.silent && (a.tries > 1 || !a.link.Fresh(a.r.o.Now())) {
		c, err = a.link.Replace(a.conn)
	}
	if err != nil {
		return lost{why: err.Error()}
	}
	a.conn = c
	a.r.count.Resumes.Add(1)
	a.r.record(event.StreamResumed, a.q, map[string]string{
		"upstream": string(a.link.Upstream()),
		"position": strconv.FormatUint(a.next, 10),
		"why":      b.why,
	})
	s, err := a.open(ctx, func(ctx context.Context) (grpc.ServerStreamingClient[wire.Frame], error) {
		return c.Agent.Resume(ctx, a.resumeRequest())
	})
	if err != nil {
		return a.failed(ctx, err)
	}
	return a.read(ctx, s)
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// close stops an attempt at the agent whose output is no longer wanted.
func (a *attempt) close(ctx context.Context, o outcome) outcome {
	switch o.(type) {
	case lost, stopped:
	default:
		return o
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelLimit)
	a.r.side.Go(func() {
		defer cancel()
		c, err := a.link.Conn()
		if err != nil {
			return
		}
		_, _ = c.Agent.Cancel(ctx, &wire.CancelRequest{RequestId: string(a.q.ID), Attempt: uint32(a.n)})
	})
	return o
}

func (a *attempt) open(ctx context.Context, start func(context.Context) (grpc.ServerStreamingClient[wire.Frame], error)) (*stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	g, err := start(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	s := &stream{frames: make(chan received, frameBuffer), cancel: cancel}
	go func() {
		for {
			f, err := g.Recv()
			select {
			case s.frames <- received{frame: f, err: err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return s, nil
}

// read handles frames until the attempt ends or the stream breaks.
func (a *attempt) read(ctx context.Context, s *stream) outcome {
	defer s.cancel()
	t := time.NewTimer(silenceLimit)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return stopped{err: ctx.Err()}
		case <-t.C:
			return broken{why: "silent", silent: true}
		case m := <-s.frames:
			if m.err != nil {
				return a.failed(ctx, m.err)
			}
			if !a.ours(m.frame) {
				continue
			}
			t.Reset(silenceLimit)
			a.alive = a.r.o.Now()
			if o := a.frame(m.frame); o != nil {
				return o
			}
		}
	}
}

func (a *attempt) failed(ctx context.Context, err error) outcome {
	if ctx.Err() != nil {
		return stopped{err: ctx.Err()}
	}
	if errors.Is(err, io.EOF) {
		return broken{why: "stream ended without an end frame"}
	}
	return broken{why: err.Error()}
}

// ours drops frames of another request or attempt: a misdelivered frame must
// not reach the caller and doesn't show that the link is alive.
func (a *attempt) ours(f *wire.Frame) bool {
	if f.GetRequestId() == string(a.q.ID) && f.GetAttempt() == uint32(a.n) {
		return true
	}
	a.r.count.Crossed.Add(1)
	a.drop(f, "crossed")
	return false
}

func (a *attempt) frame(f *wire.Frame) outcome {
	switch b := f.GetBody().(type) {
	case *wire.Frame_Data:
		if o, ok := a.inOrder(f); !ok {
			return o
		}
		return a.data(b.Data)
	case *wire.Frame_End:
		if o, ok := a.inOrder(f); !ok {
			return o
		}
		a.link.Observe(b.End.GetStatus(), a.r.o.Now())
		if b.End.GetFinishReason() == "" {
			// Without a finish reason nobody knows that the answer is whole.
			return lost{why: "the end has no finish reason"}
		}
		return finished{end: b.End}
	case *wire.Frame_Refusal:
		e := refuse.FromWire(b.Refusal)
		if e.Code == refuse.UnknownAttempt {
			return lost{why: e.Message}
		}
		return refused{err: e}
	default:
		return nil
	}
}

// inOrder checks a frame's position. The end frame carries the number of data
// frames, so a stream with a missing frame can't end normally.
func (a *attempt) inOrder(f *wire.Frame) (outcome, bool) {
	switch p := f.GetPosition(); {
	case p < a.next:
		a.r.count.Late.Add(1)
		a.drop(f, "late")
		return nil, false
	case p > a.next:
		a.r.count.Gaps.Add(1)
		a.gaps++
		a.drop(f, "gap")
		return broken{why: "frames are missing"}, false
	default:
		return nil, true
	}
}

func (a *attempt) data(d *wire.Data) outcome {
	if a.next == 0 {
		a.first = a.r.o.Now().Sub(a.began)
	}
	a.next++
	a.tries = 0
	a.gaps = 0
	a.tokens += ident.Tokens(d.GetTokens())
	if err := a.out(d); err != nil {
		return stopped{err: err}
	}
	return nil
}

func (a *attempt) drop(f *wire.Frame, why string) {
	a.r.record(event.FrameDropped, a.q, map[string]string{
		"why":      why,
		"upstream": string(a.link.Upstream()),
		"position": strconv.FormatUint(f.GetPosition(), 10),
		"expected": strconv.FormatUint(a.next, 10),
	})
}
