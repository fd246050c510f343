// Package memory is a table.Client in memory for tests, with faults that are
// switched per call.
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

// Fault is what happens to one call.
type Fault int

// The faults of a call.
const (
	// None lets the call through.
	None Fault = iota
	// Refused fails the call with proof that it was not applied.
	Refused
	// Unanswered fails the call without effect; the caller can't tell.
	Unanswered
	// LostAnswer applies a write and fails the call; a read fails.
	LostAnswer
	// Delayed fails the call and applies a write at the next Release; a read fails.
	Delayed
)

// Op is the kind of a call.
type Op string

// The kinds of calls.
const (
	OpGet  Op = "read"
	OpPut  Op = "write"
	OpList Op = "list"
)

var (
	errRefused = errors.New("connection refused")
	errSilent  = errors.New("no answer")
)

// Table is an in-memory table. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	rows    map[table.Key]table.Row
	delayed []table.Write
	choose  func(op Op, k table.Key) Fault
	delay   func(op Op, k table.Key) (before, after time.Duration)
	calls   map[Op]int
}

var _ table.Client = (*Table)(nil)

// New returns an empty table without faults.
func New() *Table {
	return &Table{rows: map[table.Key]table.Row{}, calls: map[Op]int{}}
}

// SetFault gives every following call the same fault.
func (t *Table) SetFault(f Fault) {
	t.SetFaultFunc(func(Op, table.Key) Fault { return f })
}

// SetFaultFunc decides on the fault of each following call. The chooser must not call the table.
func (t *Table) SetFaultFunc(f func(op Op, k table.Key) Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.choose = f
}

// SetDelayFunc gives each following call a time before its effect and one between effect
// and answer. A call whose context ends meanwhile fails and still takes effect.
func (t *Table) SetDelayFunc(f func(op Op, k table.Key) (before, after time.Duration)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delay = f
}

// ApplyDelayed applies the delayed writes whose condition still holds, in order.
func (t *Table) ApplyDelayed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range t.delayed {
		t.apply(w)
	}
	t.delayed = nil
}

// Calls returns how many calls of a kind were made, failed ones included.
func (t *Table) Calls(op Op) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls[op]
}

// Get implements table.Client.
func (t *Table) Get(ctx context.Context, k table.Key) (table.Row, error) {
	return delayed(ctx, t, OpGet, k, func() (table.Row, error) { return t.get(ctx, k) })
}

// Put implements table.Client.
func (t *Table) Put(ctx context.Context, w table.Write) error {
	w.Body = slices.Clone(w.Body)
	// The condition ends the call, not the effect of a write that is on its way.
	c := context.WithoutCancel(ctx)
	_, err := delayed(ctx, t, OpPut, w.Key, func() (struct{}, error) { return struct{}{}, t.put(c, w) })
	return err
}

// PutWithRetry implements table.Client.
func (t *Table) PutWithRetry(ctx context.Context, w table.Write) error {
	return table.PutWithRetry(ctx, t, w)
}

// List implements table.Client.
func (t *Table) List(ctx context.Context, q table.Query) ([]table.Row, error) {
	k := table.Key{Partition: q.Partition, Sort: q.After + q.Prefix}
	return delayed(ctx, t, OpList, k, func() ([]table.Row, error) { return t.list(ctx, k, q) })
}

func (t *Table) get(ctx context.Context, k table.Key) (table.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.fail(ctx, OpGet, k, nil); err != nil {
		return table.Row{}, err
	}
	r, ok := t.rows[k]
	if !ok {
		return table.Row{}, &table.MissingError{Key: k}
	}
	return copied(r), nil
}

func (t *Table) put(ctx context.Context, w table.Write) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.fail(ctx, OpPut, w.Key, &w); err != nil {
		return err
	}
	if t.apply(w) {
		return nil
	}
	e := &table.ConflictError{Key: w.Key}
	if r, ok := t.rows[w.Key]; ok {
		r = copied(r)
		e.Current = &r
	}
	return e
}

func (t *Table) list(ctx context.Context, k table.Key, q table.Query) ([]table.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.fail(ctx, OpList, k, nil); err != nil {
		return nil, err
	}
	var out []table.Row
	for k, r := range t.rows {
		if q.Match(k) {
			out = append(out, copied(r))
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

// delayed makes a call under the delays that were set, or fails it at the end of ctx.
func delayed[V any](ctx context.Context, t *Table, op Op, k table.Key, call func() (V, error)) (V, error) {
	var before, after time.Duration
	t.mu.Lock()
	if t.delay != nil {
		before, after = t.delay(op, k)
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

func (t *Table) fail(ctx context.Context, op Op, k table.Key, w *table.Write) error {
	t.calls[op]++
	if err := ctx.Err(); err != nil {
		return &table.UnavailableError{Op: string(op), Key: k, Err: &table.NotAppliedError{Err: err}}
	}
	f := None
	if t.choose != nil {
		f = t.choose(op, k)
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
	return &table.UnavailableError{Op: string(op), Key: k, Err: errSilent}
}

func (t *Table) apply(w table.Write) bool {
	if t.rows[w.Key].Revision != w.Expect {
		return false
	}
	t.rows[w.Key] = table.Row{Key: w.Key, Revision: w.Expect + 1, Token: w.Token, Body: w.Body}
	return true
}

func copied(r table.Row) table.Row {
	r.Body = slices.Clone(r.Body)
	return r
}
