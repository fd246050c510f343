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
	"tarragonvalve.example/entry/abort"
	"tarragonvalve.example/entry/agents"
)

const (
	// frameTimeout is the time without a frame after which a stream counts as
	// broken. Agents send a heartbeat frame every 500 ms.
	frameTimeout = 2 * time.Second
	// resumePause is the pause before a resume that follows a failed one.
	resumePause = 200 * time.Millisecond
	// resumeLimit bounds the time of resuming a stream since its latest frame, if the
	// caller has a part of it. An agent that restarts is back within seconds.
	resumeLimit = 10 * time.Second
	// maxUnrelayedResumes bounds the resumes of a stream of which nothing was relayed to
	// the caller.
	maxUnrelayedResumes = 1
	// maxGaps bounds the resumes of a stream in which the same frame stays missing.
	maxGaps = 3
	// cancelTimeout bounds the call that cancels an attempt at its agent.
	cancelTimeout = time.Second
	// frameBuffer is the number of frames that are received ahead of the caller's reads.
	frameBuffer = 32
)

// outcome is how an attempt ended: finished, refused, lost or stopped.
type outcome interface{ outcome() }

// finished means that the answer is complete.
type finished struct{ end *wire.End }

// refused means that the agent sent a refusal.
type refused struct{ err *refuse.Error }

// lost means that the stream could not be opened or resumed, or that its end frame
// has no finish reason.
type lost struct{ why string }

// stopped means that the caller disconnected, the deadline passed or the sink failed.
type stopped struct{ err error }

func (finished) outcome() {}
func (refused) outcome()  {}
func (lost) outcome()     {}
func (stopped) outcome()  {}

// attempt is one attempt of a request at one upstream.
type attempt struct {
	r    *Relay
	q    *request
	n    ident.Attempt
	step Step
	link *agents.Link
	// direct is true when the output goes to the caller as it arrives.
	direct bool
	// out is called with the data frames in order.
	out func(d *wire.Data) error

	conn *agents.Conn
	// next is the expected position: the number of data frames so far.
	next uint64
	// tokens is the number of output tokens so far.
	tokens ident.Tokens
	began  time.Time
	// firstFrame is the time from the start to the first data frame.
	firstFrame time.Duration
	// lastFrame is when the latest frame of this attempt arrived.
	lastFrame time.Time
	// resumes counts the resumes since the latest data frame, and gaps those of them
	// that missing frames caused.
	resumes int
	gaps    int
}

// stream is one gRPC stream with frames of an attempt.
type stream struct {
	frames chan received
	cancel context.CancelFunc
}

// received is a frame or the error that ended the stream.
type received struct {
	frame *wire.Frame
	err   error
}

// broken means that the stream must be resumed. It is an outcome only within an
// attempt; run does not return it.
type broken struct {
	why string
	// silent is true when no frame arrived for frameTimeout.
	silent bool
}

func (broken) outcome() {}

// run runs the attempt to its end and resumes its stream when it breaks, within the
// bounds of exhausted.
func (a *attempt) run(ctx context.Context) outcome {
	done := a.link.Begin(a.q.input)
	defer done()
	a.began = a.r.o.Now()
	a.lastFrame = a.began
	a.r.count.Attempts.Add(1)
	o := a.start(ctx)
	for {
		b, again := o.(broken)
		if !again {
			return a.close(ctx, o)
		}
		if a.exhausted(b) {
			return a.close(ctx, lost{why: b.why})
		}
		o = a.resume(ctx, b)
	}
}

// start sends the request to the agent and reads its stream.
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

// exhausted reports whether a broken stream is not resumed any more. If nothing was
// relayed, it is resumed at most maxUnrelayedResumes times, since another upstream can start
// the answer again.
func (a *attempt) exhausted(b broken) bool {
	if a.gaps > maxGaps {
		return true
	}
	a.resumes++
	if (a.next == 0 || !a.direct) && a.resumes > maxUnrelayedResumes {
		return true
	}
	limit := resumeLimit
	if b.silent {
		limit += frameTimeout
	}
	return a.r.o.Now().Sub(a.lastFrame) > limit
}

// resume continues the stream from the next position. A silent stream is resumed
// over a new connection. But if statuses still arrive on the connection, the stream
// is first opened again on it, since replacing the connection breaks all its other
// streams. An agent that restarted gets the stream from its engine.
func (a *attempt) resume(ctx context.Context, b broken) outcome {
	if a.resumes > 1 && !pause(ctx, resumePause) {
		return stopped{err: ctx.Err()}
	}
	c, err := a.link.Conn()
	if b.silent && (a.resumes > 1 || !a.link.Fresh(a.r.o.Now())) {
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

// pause waits and returns false if ctx ends first.
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

// close returns the outcome, and cancels a lost or stopped attempt at its agent in
// a goroutine, since its output is no longer needed.
func (a *attempt) close(ctx context.Context, o outcome) outcome {
	switch o.(type) {
	case lost, stopped:
	default:
		return o
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	a.r.cleanups.Go(func() {
		defer cancel()
		c, err := a.link.Conn()
		if err != nil {
			return
		}
		_, _ = c.Agent.Cancel(ctx, &wire.CancelRequest{RequestId: string(a.q.ID), Attempt: uint32(a.n)})
	})
	return o
}

// open starts a stream and a goroutine that receives its frames.
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

// read handles frames until the attempt ends or the stream breaks. A stream without
// a frame of this attempt for frameTimeout is broken. If this process runs late then, the frames that
// have arrived meanwhile are read first.
func (a *attempt) read(ctx context.Context, s *stream) outcome {
	defer s.cancel()
	t := time.NewTimer(frameTimeout)
	defer t.Stop()
	extended := false
	for {
		select {
		case <-ctx.Done():
			return stopped{err: ctx.Err()}
		case <-t.C:
			if d := min(a.r.o.Late.Lateness(), frameTimeout); d > 0 && !extended {
				extended = true
				t.Reset(d)
				continue
			}
			return broken{why: "silent", silent: true}
		case m := <-s.frames:
			if m.err != nil {
				return a.failed(ctx, m.err)
			}
			if !a.belongs(m.frame) {
				continue
			}
			t.Reset(frameTimeout)
			extended = false
			a.lastFrame = a.r.o.Now()
			if o := a.handle(m.frame); o != nil {
				return o
			}
		}
	}
}

// failed returns the outcome for an error of the stream: stopped if ctx has ended or its
// deadline has passed, otherwise broken.
func (a *attempt) failed(ctx context.Context, err error) outcome {
	if ctx.Err() != nil {
		return stopped{err: ctx.Err()}
	}
	if abort.Expired(ctx) {
		return stopped{err: context.DeadlineExceeded}
	}
	if errors.Is(err, io.EOF) {
		return broken{why: "stream ended without an end frame"}
	}
	return broken{why: err.Error()}
}

// belongs reports whether a frame belongs to this attempt, and counts and records one
// that does not. A misdelivered frame must not reach the caller and does not show
// that the stream works.
func (a *attempt) belongs(f *wire.Frame) bool {
	if f.GetRequestId() == string(a.q.ID) && f.GetAttempt() == uint32(a.n) {
		return true
	}
	a.r.count.Crossed.Add(1)
	a.recordDropped(f, "crossed")
	return false
}

// handle handles a frame. It returns nil if the stream goes on.
func (a *attempt) handle(f *wire.Frame) outcome {
	switch b := f.GetBody().(type) {
	case *wire.Frame_Data:
		if o, ok := a.inOrder(f); !ok {
			return o
		}
		return a.handleData(b.Data)
	case *wire.Frame_End:
		if o, ok := a.inOrder(f); !ok {
			return o
		}
		a.link.Observe(b.End.GetStatus(), a.r.o.Now())
		if b.End.GetFinishReason() == "" {
			// Without a finish reason the answer may be incomplete.
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

// inOrder checks a frame's position. It drops a late frame, and breaks the stream
// when frames are missing. The position of the end frame is the number of data
// frames, so a stream with a missing frame can't end normally.
func (a *attempt) inOrder(f *wire.Frame) (outcome, bool) {
	switch p := f.GetPosition(); {
	case p < a.next:
		a.r.count.Late.Add(1)
		a.recordDropped(f, "late")
		return nil, false
	case p > a.next:
		a.r.count.Gaps.Add(1)
		a.gaps++
		a.recordDropped(f, "gap")
		return broken{why: "frames are missing"}, false
	default:
		return nil, true
	}
}

// handleData passes on a data frame that is in order.
func (a *attempt) handleData(d *wire.Data) outcome {
	if a.next == 0 {
		a.firstFrame = a.r.o.Now().Sub(a.began)
	}
	a.next++
	a.resumes = 0
	a.gaps = 0
	a.tokens += ident.Tokens(d.GetTokens())
	if err := a.out(d); err != nil {
		return stopped{err: err}
	}
	return nil
}

// recordDropped records that a frame was dropped.
func (a *attempt) recordDropped(f *wire.Frame, why string) {
	a.r.record(event.FrameDropped, a.q, map[string]string{
		"why":      why,
		"upstream": string(a.link.Upstream()),
		"position": strconv.FormatUint(f.GetPosition(), 10),
		"expected": strconv.FormatUint(a.next, 10),
	})
}
