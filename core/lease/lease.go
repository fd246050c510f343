// Package lease elects one process at a time to act under a name. A lease is a table
// row; the row's revision at the acquisition is the holder's fencing token.
package lease

import (
	"context"
	"encoding/json"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/table"
)

// Defaults of Options. The margin covers different clock rates and the time
// between a holder's check of Held and the end of the action that follows.
const (
	DefaultTerm   = 10 * time.Second
	DefaultMargin = 2 * time.Second
)

// releaseTimeout bounds the write that releases the lease on shutdown.
const releaseTimeout = time.Second

// Options configures a Lease.
type Options struct {
	Client   table.Client
	Name     string
	Instance ident.InstanceID
	// Term is how long a lease lasts after its last renewal.
	Term time.Duration
	// Margin is how long before the end of the term the holder stops acting. At most
	// half of the term is used.
	Margin time.Duration
	Now    func() time.Time
	// Ring receives an event for each gain and loss of the lease; nil records none.
	Ring *event.Ring
}

// Lease contends for one lease and renews it while this process holds it. Held is safe
// for concurrent use.
type Lease struct {
	o       Options
	timing  timing
	current atomic.Pointer[state]
}

// body is the body of a lease row. Instance is empty when the lease was released; Token
// stays.
type body struct {
	Instance ident.InstanceID   `json:"instance,omitempty"`
	Token    ident.FencingToken `json:"token"`
}

// New returns a contender for the lease o.Name. It does nothing until Run is called.
func New(o Options) *Lease {
	if o.Term <= 0 {
		o.Term = DefaultTerm
	}
	if o.Margin <= 0 {
		o.Margin = DefaultMargin
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	l := &Lease{o: o, timing: timing{term: o.Term, margin: min(o.Margin, o.Term/2)}}
	l.current.Store(&state{})
	return l
}

// Name implements serve.Component.
func (l *Lease) Name() string {
	return "lease " + l.o.Name
}

// Held returns the fencing token while this process holds the lease. A caller checks it
// right before each action and sends the token along.
func (l *Lease) Held() (ident.FencingToken, bool) {
	return l.current.Load().held(l.o.Now())
}

// Run contends for the lease until ctx ends and then releases it.
func (l *Lease) Run(ctx context.Context) error {
	var s state
	for ctx.Err() == nil {
		next, a := decide(l.timing, s, l.o.Now())
		s = l.publish(s, next)
		next = s
		switch a := a.(type) {
		case wait:
			l.sleep(ctx, a.until)
		case read:
			next = apply(l.timing, s, l.read(ctx), l.o.Now())
		case write:
			next = apply(l.timing, s, l.write(ctx, a), l.o.Now())
		}
		s = l.publish(s, next)
	}
	l.release(ctx, s)
	return nil
}

// HighestToken returns the fencing token of the latest holder of a lease, which is the
// highest one granted, or 0 if the lease was never held.
func HighestToken(ctx context.Context, c table.Client, name string) (ident.FencingToken, error) {
	r, err := c.Get(ctx, rowKey(name))
	if table.IsMissing(err) {
		return 0, nil
	}
	if err != nil {
		return 0, oops.In("lease").Wrapf(err, "read lease %s", name)
	}
	b, err := decode(name, r)
	return b.Token, err
}

func rowKey(name string) table.Key {
	return table.Key{Partition: "lease/" + name, Sort: "lease"}
}

func decode(name string, r table.Row) (body, error) {
	var b body
	if err := json.Unmarshal(r.Body, &b); err != nil {
		return body{}, oops.In("lease").Wrapf(err, "decode lease %s", name)
	}
	return b, nil
}

// publish makes a state visible to Held, records gains and losses of the lease as
// events, and returns the state.
func (l *Lease) publish(before, after state) state {
	l.current.Store(&after)
	if before.token != after.token {
		if before.token > 0 {
			l.record(event.LeaseLost, before.token)
		}
		if after.token > 0 {
			l.record(event.LeaseAcquired, after.token)
		}
	}
	return after
}

func (l *Lease) record(k event.Kind, t ident.FencingToken) {
	if l.o.Ring == nil {
		return
	}
	l.o.Ring.Record(event.Event{Kind: k, Fields: map[string]string{
		"lease": l.o.Name,
		"token": strconv.FormatUint(uint64(t), 10),
	}})
}

func (l *Lease) sleep(ctx context.Context, until time.Time) {
	t := time.NewTimer(until.Sub(l.o.Now()))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (l *Lease) read(ctx context.Context) outcome {
	ctx, cancel := context.WithTimeout(ctx, l.o.Term/readsPerTerm)
	defer cancel()
	r, err := l.o.Client.Get(ctx, rowKey(l.o.Name))
	if table.IsMissing(err) {
		return rowRead{}
	}
	if err != nil {
		return readFailed{}
	}
	b, err := decode(l.o.Name, r)
	if err != nil {
		// A row that can't be decoded counts as held and is overwritten after a term
		// without change.
		return rowRead{revision: r.Revision}
	}
	return rowRead{revision: r.Revision, released: b.Instance == ""}
}

func (l *Lease) write(ctx context.Context, a write) outcome {
	sent := l.o.Now()
	ctx, cancel := context.WithTimeout(ctx, a.deadline.Sub(sent))
	defer cancel()
	b, err := json.Marshal(body{Instance: l.o.Instance, Token: a.token})
	if err != nil {
		return writeUnknown{}
	}
	err = l.o.Client.PutWithRetry(ctx, table.Write{
		Key:    rowKey(l.o.Name),
		Expect: a.expect,
		Token:  table.NewWriteToken(),
		Body:   b,
	})
	if err == nil {
		return written{sent: sent}
	}
	if _, ok := table.AsConflict(err); ok {
		return writeConflict{}
	}
	return writeUnknown{}
}

// release makes Held report that the lease is not held and then releases it, so that
// another process need not wait for the end of the term.
func (l *Lease) release(ctx context.Context, s state) {
	l.publish(s, state{})
	if s.token == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	b, err := json.Marshal(body{Token: s.token})
	if err != nil {
		return
	}
	// After a failed release the other contenders wait for the end of the term.
	_ = l.o.Client.PutWithRetry(ctx, table.Write{
		Key:    rowKey(l.o.Name),
		Expect: s.revision,
		Token:  table.NewWriteToken(),
		Body:   b,
	})
}
