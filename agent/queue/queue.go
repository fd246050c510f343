// Package queue is the agent's weighted fair queue per client account. It is
// pure: it has no clock and starts nothing; the caller passes the time.
//
// Between accounts the queue follows start-time fair queueing: each account has
// a virtual time that rises by predicted service time over weight, and the
// account with the lowest one is served next. Priorities order the work within
// an account only, so that no account can starve another.
package queue

import (
	"container/heap"
	"math"
	"time"

	"tarragonvalve.example/core/ident"
)

// Item is one piece of waiting work.
type Item struct {
	// ID is unique among the items of a queue.
	ID      uint64
	Account ident.AccountID
	// Weight is the account's part, at least 1.
	Weight int
	// Priority orders the items of one account; a higher one is served first.
	Priority int
	// Service is the predicted time in a slot.
	Service  time.Duration
	Deadline time.Time
	// At is when the item was pushed; Push sets it.
	At time.Time

	order uint64
	index int
}

// Limits bound a queue.
type Limits struct {
	Items      int
	PerAccount int
}

// Default returns bounds that keep the queue of one upstream within about a
// minute of work and leave one account at most half of the places.
func Default() Limits {
	return Limits{Items: 1024, PerAccount: 512}
}

// Load is the state of the upstream's slots.
type Load struct {
	Slots   int
	Running int
	// Remaining is the sum of the predicted remaining times of the running work.
	Remaining time.Duration
}

// Verdict is the answer of Push: Queued, Full or Late.
type Verdict interface {
	verdict()
}

// Queued says that the item was added.
type Queued struct {
	Wait   time.Duration
	Behind int
}

// Full says that a bound is reached. RetryAfter is the predicted time until a place is free.
type Full struct {
	RetryAfter time.Duration
}

// Late says that the predicted wait makes the deadline impossible to meet.
type Late struct {
	Wait       time.Duration
	RetryAfter time.Duration
}

func (Queued) verdict() {}
func (Full) verdict()   {}
func (Late) verdict()   {}

// minRetry keeps refused clients from coming back at once.
const minRetry = 100 * time.Millisecond

type account struct {
	items   items
	virtual float64 // seconds of service over weight
	backlog time.Duration
	weight  int
}

// Queue is a weighted fair queue. It is used by one goroutine.
type Queue struct {
	limits   Limits
	accounts map[ident.AccountID]*account
	byID     map[uint64]*Item
	virtual  float64
	backlog  time.Duration
	order    uint64
}

// New returns an empty queue.
func New(l Limits) *Queue {
	return &Queue{limits: l, accounts: make(map[ident.AccountID]*account), byID: make(map[uint64]*Item)}
}

// Len returns the number of items.
func (q *Queue) Len() int {
	return len(q.byID)
}

// Backlog returns the predicted service time of all items.
func (q *Queue) Backlog() time.Duration {
	return q.backlog
}

// Push adds an item, or says why not. An item is never refused for its
// predicted wait while a slot is free, so that a wrong prediction corrects itself.
func (q *Queue) Push(it Item, l Load, now time.Time) Verdict {
	it.Weight = max(it.Weight, 1)
	it.Service = max(it.Service, 0)
	it.At = now
	a := q.account(&it)
	slots := max(l.Slots, 1)
	if len(q.byID) >= q.limits.Items || len(a.items) >= q.limits.PerAccount {
		each := (q.backlog + l.Remaining) / time.Duration(slots*max(len(q.byID), 1))
		return Full{RetryAfter: max(each, minRetry)}
	}
	wait := q.wait(a, &it, l)
	late := now.Add(wait + admitTime(it.Service)).Sub(it.Deadline)
	if wait > 0 && late > 0 {
		return Late{Wait: wait, RetryAfter: max(late, minRetry)}
	}
	behind := len(q.byID)
	q.add(a, it)
	return Queued{Wait: wait, Behind: behind}
}

// admitTime is the service time that must fit after the predicted wait. Service
// times scatter widely around their mean. In the simulation of goodput_test.go,
// admitting with the mean alone cuts a third of the started work at its deadline
// at twice capacity; asking for three times the mean leaves slots idle at capacity.
func admitTime(mean time.Duration) time.Duration {
	return mean * 3 / 2
}

func (q *Queue) account(it *Item) *account {
	q.prune()
	a, ok := q.accounts[it.Account]
	if !ok {
		a = &account{virtual: q.virtual}
		q.accounts[it.Account] = a
	}
	if len(a.items) == 0 {
		a.virtual = max(a.virtual, q.virtual)
	}
	a.weight = it.Weight
	return a
}

// prune forgets idle accounts that the virtual time has passed, so that the
// map holds no more accounts than items plus those that were served ahead.
func (q *Queue) prune() {
	if len(q.byID) == 0 {
		clear(q.accounts)
		q.virtual = 0
		return
	}
	if len(q.accounts) <= 2*len(q.byID) {
		return
	}
	for k, a := range q.accounts {
		if len(a.items) == 0 && a.virtual <= q.virtual {
			delete(q.accounts, k)
		}
	}
}

func (q *Queue) add(a *account, it Item) {
	q.order++
	it.order = q.order
	heap.Push(&a.items, &it)
	a.backlog += it.Service
	q.backlog += it.Service
	q.byID[it.ID] = &it
}

// wait predicts the time until a new item of an account is served. For other
// accounts it takes the work that fits below the item's virtual start time.
func (q *Queue) wait(a *account, it *Item, l Load) time.Duration {
	if l.Running < l.Slots && len(q.byID) == 0 {
		return 0
	}
	var own time.Duration
	for _, o := range a.items {
		if o.Priority >= it.Priority {
			own += o.Service
		}
	}
	start := a.virtual + own.Seconds()/float64(it.Weight)
	ahead := own
	for _, b := range q.accounts {
		if b == a || len(b.items) == 0 || b.virtual > start {
			continue
		}
		part := seconds((start-b.virtual)*float64(b.weight)) + b.items[0].Service
		ahead += min(part, b.backlog)
	}
	return (ahead + l.Remaining) / time.Duration(max(l.Slots, 1))
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, math.MaxInt32) * float64(time.Second))
}

// Pop removes and returns the next item. It does not look at deadlines; Expire does.
func (q *Queue) Pop() (Item, bool) {
	var best *account
	for _, a := range q.accounts {
		if len(a.items) == 0 {
			continue
		}
		if best == nil || before(a, best) {
			best = a
		}
	}
	if best == nil {
		return Item{}, false
	}
	q.virtual = max(q.virtual, best.virtual)
	it := best.items[0]
	best.virtual += it.Service.Seconds() / float64(it.Weight)
	q.drop(it)
	return *it, true
}

// before orders accounts by virtual time, then by the age of their first item,
// so that the order does not depend on the map.
func before(a, b *account) bool {
	if a.virtual != b.virtual {
		return a.virtual < b.virtual
	}
	return a.items[0].order < b.items[0].order
}

// Correct adjusts an account's virtual time by the difference between the
// actual and the predicted service time, so that wrong predictions give no one
// a larger part.
func (q *Queue) Correct(id ident.AccountID, weight int, difference time.Duration) {
	a, ok := q.accounts[id]
	if !ok {
		return
	}
	a.virtual = max(a.virtual+difference.Seconds()/float64(max(weight, 1)), 0)
}

// Remove takes out an item that is no longer wanted.
func (q *Queue) Remove(id uint64) bool {
	it, ok := q.byID[id]
	if ok {
		q.drop(it)
	}
	return ok
}

func (q *Queue) drop(it *Item) {
	a := q.accounts[it.Account]
	heap.Remove(&a.items, it.index)
	a.backlog -= it.Service
	q.backlog -= it.Service
	delete(q.byID, it.ID)
}

// Expire removes and returns the items whose deadline leaves less than the mean
// service time, so that they get their final answer at once.
func (q *Queue) Expire(now time.Time) []Item {
	return q.take(func(it *Item) bool {
		if !it.Deadline.After(now) {
			return true
		}
		return it.At.Before(now) && now.Add(it.Service).After(it.Deadline)
	})
}

// Sweep removes and returns the items that a check rejects.
func (q *Queue) Sweep(reject func(id uint64) bool) []Item {
	return q.take(func(it *Item) bool { return reject(it.ID) })
}

func (q *Queue) take(reject func(*Item) bool) []Item {
	var out []Item
	for _, it := range q.byID {
		if reject(it) {
			out = append(out, *it)
		}
	}
	for i := range out {
		q.Remove(out[i].ID)
	}
	return out
}

type items []*Item

func (h items) Len() int { return len(h) }

func (h items) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[i].Priority > h[j].Priority
	}
	return h[i].order < h[j].order
}

func (h items) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *items) Push(x any) {
	it := x.(*Item)
	it.index = len(*h)
	*h = append(*h, it)
}

func (h *items) Pop() any {
	n := len(*h) - 1
	it := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	return it
}
