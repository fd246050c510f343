// Package memory is an in-memory table.Client for tests that injects a fault and a
// delay into each call.
package memory

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"tarragonvalve.example/core/table"
)

// Fault is the fault that is injected into one call.
type Fault int

// The faults of a call.
const (
	// None lets the call through.
	None Fault = iota
	// Refused fails the call with an error for which table.NotApplied holds.
	Refused
	// Unanswered fails the call without effect. The caller can't tell whether it had
	// one.
	Unanswered
	// LostAnswer applies a write and fails the call; a read just fails.
	LostAnswer
	// Delayed fails the call and applies a write at the next ApplyDelayed; a read just
	// fails.
	Delayed
)

// Op is the operation that a call makes.
type Op string

// The operations. PutWithRetry makes calls of OpPut and OpGet.
const (
	OpGet  Op = "read"
	OpPut  Op = "write"
	OpList Op = "list"
)

var (
	errRefused  = errors.New("connection refused")
	errNoAnswer = errors.New("no answer")
)

// Table holds rows in memory. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	rows    map[table.Key]table.Row
	delayed []table.Write
	faultOf func(op Op, k table.Key) Fault
	delayOf func(op Op, k table.Key) (before, after time.Duration)
	calls   map[Op]int
}

var _ table.Client = (*Table)(nil)

// New returns an empty table without faults and delays.
func New() *Table {
	return &Table{rows: map[table.Key]table.Row{}, calls: map[Op]int{}}
}

// SetFault injects f into every following call.
func (t *Table) SetFault(f Fault) {
	t.SetFaultFunc(func(Op, table.Key) Fault { return f })
}

// SetFaultFunc sets the function that returns the fault of each following call; nil
// means no faults. f must not call the table.
func (t *Table) SetFaultFunc(f func(op Op, k table.Key) Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faultOf = f
}

// SetDelayFunc sets the function that returns the delays of each following call: before
// its effect, and between its effect and its answer. A call whose context ends during a
// delay fails and still takes effect.
func (t *Table) SetDelayFunc(f func(op Op, k table.Key) (before, after time.Duration)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delayOf = f
}

// ApplyDelayed applies the writes with the fault Delayed whose condition still holds,
// in the order of their calls.
func (t *Table) ApplyDelayed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range t.delayed {
		t.apply(w)
	}
	t.delayed = nil
}

// Calls returns the number of calls with an operation, failed ones included.
func (t *Table) Calls(op Op) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls[op]
}

// Get implements table.Client.
func (t *Table) Get(ctx context.Context, k table.Key) (table.Row, error) {
	return withDelay(ctx, t, OpGet, k, func() (table.Row, error) { return t.get(ctx, k) })
}

// Put implements table.Client.
func (t *Table) Put(ctx context.Context, w table.Write) error {
	w.Body = slices.Clone(w.Body)
	// The end of ctx ends the call but not the effect of a write that is on its way.
	c := context.WithoutCancel(ctx)
	_, err := withDelay(ctx, t, OpPut, w.Key, func() (struct{}, error) { return struct{}{}, t.put(c, w) })
	return err
}

// PutWithRetry implements table.Client.
func (t *Table) PutWithRetry(ctx context.Context, w table.Write) error {
	return table.PutWithRetry(ctx, t, w)
}

// List implements table.Client.
func (t *Table) List(ctx context.Context, q table.Query) ([]table.Row, error) {
	k := table.Key{Partition: q.Partition, Sort: q.After + q.Prefix}
	return withDelay(ctx, t, OpList, k, func() ([]table.Row, error) { return t.list(ctx, k, q) })
}

func (t *Table) get(ctx context.Context, k table.Key) (table.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.injectFault(ctx, OpGet, k, nil); err != nil {
		return table.Row{}, err
	}
	r, ok := t.rows[k]
	if !ok {
		return table.Row{}, &table.MissingError{Key: k}
	}
	return cloneRow(r), nil
}

func (t *Table) put(ctx context.Context, w table.Write) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.injectFault(ctx, OpPut, w.Key, &w); err != nil {
		return err
	}
	if t.apply(w) {
		return nil
	}
	e := &table.ConflictError{Key: w.Key}
	if r, ok := t.rows[w.Key]; ok {
		r = cloneRow(r)
		e.Current = &r
	}
	return e
}

func (t *Table) list(ctx context.Context, k table.Key, q table.Query) ([]table.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.injectFault(ctx, OpList, k, nil); err != nil {
		return nil, err
	}
	var out []table.Row
	for k, r := range t.rows {
		if q.Match(k) {
			out = append(out, cloneRow(r))
		}
	}
	slices.SortFunc(out, func(a, b table.Row) int { return strings.Compare(a.Key.Sort, b.Key.Sort) })
	if q.Descending {
		slices.Reverse(out)
	}
	if q.Limit > 0 && len(out) > q.Limit {
		out = out[:q.Limit]
	}
	return out, nil
}

// withDelay makes a call with the delays that were set. When ctx ends first, it returns
// an error and the call goes on in the background.
func withDelay[V any](ctx context.Context, t *Table, op Op, k table.Key, call func() (V, error)) (V, error) {
	var before, after time.Duration
	t.mu.Lock()
	if t.delayOf != nil {
		before, after = t.delayOf(op, k)
	}
	t.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return *new(V), &table.UnavailableError{Op: string(op), Key: k, Err: &table.NotAppliedError{Err: err}}
	}
	if before+after == 0 {
		return call()
	}
	type answer struct {
		value V
		err   error
	}
	done := make(chan answer, 1)
	go func() {
		time.Sleep(before)
		v, err := call()
		time.Sleep(after)
		done <- answer{value: v, err: err}
	}()
	select {
	case a := <-done:
		return a.value, a.err
	case <-ctx.Done():
		return *new(V), &table.UnavailableError{Op: string(op), Key: k, Err: ctx.Err()}
	}
}

// injectFault counts a call and returns the error of its fault, or nil. w is the call's
// write, nil for a read.
func (t *Table) injectFault(ctx context.Context, op Op, k table.Key, w *table.Write) error {
	t.calls[op]++
	if err := ctx.Err(); err != nil {
		return &table.UnavailableError{Op: string(op), Key: k, Err: &table.NotAppliedError{Err: err}}
	}
	f := None
	if t.faultOf != nil {
		f = t.faultOf(op, k)
	}
	switch f {
	case None:
		return nil
	case Refused:
		return &table.UnavailableError{Op: string(op), Key: k, Err: &table.NotAppliedError{Err: errRefused}}
	case LostAnswer:
		if w != nil {
			t.apply(*w)
		}
	case Delayed:
		if w != nil {
			t.delayed = append(t.delayed, *w)
		}
	}
	return &table.UnavailableError{Op: string(op), Key: k, Err: errNoAnswer}
}

// apply makes a write and reports whether its condition held.
func (t *Table) apply(w table.Write) bool {
	if t.rows[w.Key].Revision != w.Expect {
		return false
	}
	t.rows[w.Key] = table.Row{Key: w.Key, Revision: w.Expect + 1, Token: w.Token, Body: w.Body}
	return true
}

func cloneRow(r table.Row) table.Row {
	r.Body = slices.Clone(r.Body)
	return r
}
