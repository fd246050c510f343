// Package queue is the agent's fair queue, weighted by client account. It reads no
// clock and starts no goroutine; the caller passes the time.
//
// Between accounts the queue follows start-time fair queueing: the virtual time of an
// account rises by the predicted service time of each served item divided by the
// account's weight, and the account with the lowest virtual time is served next.
// Priorities order the items of one account only, so that no account can starve another.
package queue

import (
	"container/heap"
	"math"
	"time"

	"tarragonvalve.example/core/ident"
)

// Item is one unit of waiting work.
type Item struct {
	// ID is unique among the items of a queue.
	ID      uint64
	Account ident.AccountID
	// Weight is the account's relative share of the service time. Push replaces a value
	// below 1 by 1.
	Weight int
	// Priority orders the items of one account; a higher one is served first.
	Priority int
	// ServiceTime is the predicted time that the item holds a slot.
	ServiceTime time.Duration
	Deadline    time.Time
	// QueuedAt is the time of the Push, which sets it.
	QueuedAt time.Time

	order uint64
	index int
}

// Limits bounds the number of items in a queue and of each account.
type Limits struct {
	Items      int
	PerAccount int
}

// Default returns limits that keep the queue of one upstream within about a minute of
// work and let one account fill at most half of it.
func Default() Limits {
	return Limits{Items: 1024, PerAccount: 512}
}

// Load is the use of the upstream's slots at the time of a Push.
type Load struct {
	Slots   int
	Running int
	// Remaining is the sum of the predicted remaining times of the running work.
	Remaining time.Duration
}

// PushResult is the result of Push: Queued, Full or Late.
type PushResult interface {
	pushResult()
}

// Queued reports that the item was added. Wait is the predicted time until it gets a
// slot, and QueueLength the number of items that were queued before it.
type Queued struct {
	Wait        time.Duration
	QueueLength int
}

// Full reports that the queue or the account has reached its limit. RetryAfter is the
// predicted time until the queue has room.
type Full struct {
	RetryAfter time.Duration
}

// Late reports that the item would miss its deadline after the predicted Wait.
// RetryAfter is the time by which it would be late.
type Late struct {
	Wait       time.Duration
	RetryAfter time.Duration
}

func (Queued) pushResult() {}
func (Full) pushResult()   {}
func (Late) pushResult()   {}

// minRetryAfter is the least RetryAfter, so that refused clients do not retry at once.
const minRetryAfter = 100 * time.Millisecond

// account holds the items of one account and its virtual time.
type account struct {
	items       items
	virtualTime float64 // seconds of service divided by weight
	backlog     time.Duration
	weight      int
}

// Queue is a weighted fair queue. It is not safe for concurrent use.
type Queue struct {
	limits      Limits
	accounts    map[ident.AccountID]*account
	byID        map[uint64]*Item
	virtualTime float64
	backlog     time.Duration
	order       uint64
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

// Push adds an item or returns Full or Late. An item that finds a free slot and an
// empty queue is never Late, whatever its predicted service time: running it corrects a
// wrong prediction.
func (q *Queue) Push(it Item, l Load, now time.Time) PushResult {
	it.Weight = max(it.Weight, 1)
	it.ServiceTime = max(it.ServiceTime, 0)
	it.QueuedAt = now
	a := q.account(&it)
	slots := max(l.Slots, 1)
	if len(q.byID) >= q.limits.Items || len(a.items) >= q.limits.PerAccount {
		perItem := (q.backlog + l.Remaining) / time.Duration(slots*max(len(q.byID), 1))
		return Full{RetryAfter: max(perItem, minRetryAfter)}
	}
	wait := q.wait(a, &it, l)
	late := now.Add(wait + requiredTime(it.ServiceTime)).Sub(it.Deadline)
	if wait > 0 && late > 0 {
		return Late{Wait: wait, RetryAfter: max(late, minRetryAfter)}
	}
	length := len(q.byID)
	q.add(a, it)
	return Queued{Wait: wait, QueueLength: length}
}

// requiredTime returns the time that must remain between the end of the predicted wait
// and the deadline. It exceeds the mean, since service times vary widely around it. In
// the simulation of goodput_test.go at twice the capacity, admitting with the mean alone
// cuts off a third of the started work at its deadline; requiring three times the mean
// leaves slots idle at capacity.
func requiredTime(mean time.Duration) time.Duration {
	return mean * 3 / 2
}

// account returns the account of an item, which it creates if needed. An account
// without items rejoins at the virtual time of the queue, so that idle time earns no credit.
func (q *Queue) account(it *Item) *account {
	q.prune()
	a, ok := q.accounts[it.Account]
	if !ok {
		a = &account{virtualTime: q.virtualTime}
		q.accounts[it.Account] = a
	}
	if len(a.items) == 0 {
		a.virtualTime = max(a.virtualTime, q.virtualTime)
	}
	a.weight = it.Weight
	return a
}

// prune bounds the map of accounts. Once there are more than twice as many accounts as
// items, it deletes the accounts without items whose virtual time the queue has reached.
// It keeps those that the queue has not reached yet, since they were served in advance.
func (q *Queue) prune() {
	if len(q.byID) == 0 {
		clear(q.accounts)
		q.virtualTime = 0
		return
	}
	if len(q.accounts) <= 2*len(q.byID) {
		return
	}
	for k, a := range q.accounts {
		if len(a.items) == 0 && a.virtualTime <= q.virtualTime {
			delete(q.accounts, k)
		}
	}
}

func (q *Queue) add(a *account, it Item) {
	q.order++
	it.order = q.order
	heap.Push(&a.items, &it)
	a.backlog += it.ServiceTime
	q.backlog += it.ServiceTime
	q.byID[it.ID] = &it
}

// wait predicts the time until a new item of account a gets a slot: the service time
// ahead of it divided by the number of slots. Of each other account it counts the items
// that start before the new item's virtual start time.
func (q *Queue) wait(a *account, it *Item, l Load) time.Duration {
	if l.Running < l.Slots && len(q.byID) == 0 {
		return 0
	}
	var own time.Duration
	for _, o := range a.items {
		if o.Priority >= it.Priority {
			own += o.ServiceTime
		}
	}
	start := a.virtualTime + own.Seconds()/float64(it.Weight)
	ahead := own
	for _, b := range q.accounts {
		if b == a || len(b.items) == 0 || b.virtualTime > start {
			continue
		}
		share := durationOf((start-b.virtualTime)*float64(b.weight)) + b.items[0].ServiceTime
		ahead += min(share, b.backlog)
	}
	return (ahead + l.Remaining) / time.Duration(max(l.Slots, 1))
}

// durationOf converts seconds to a duration; it caps them so that the result does not overflow.
func durationOf(s float64) time.Duration {
	return time.Duration(math.Min(s, math.MaxInt32) * float64(time.Second))
}

// Pop removes and returns the next item. It does not check deadlines; Expire does. The
// result is false if the queue is empty.
func (q *Queue) Pop() (Item, bool) {
	var best *account
	for _, a := range q.accounts {
		if len(a.items) == 0 {
			continue
		}
		if best == nil || servedBefore(a, best) {
			best = a
		}
	}
	if best == nil {
		return Item{}, false
	}
	q.virtualTime = max(q.virtualTime, best.virtualTime)
	it := best.items[0]
	best.virtualTime += it.ServiceTime.Seconds() / float64(it.Weight)
	q.drop(it)
	return *it, true
}

// servedBefore orders accounts by virtual time, then by the arrival of their first item,
// so that the order does not depend on the iteration order of the map.
func servedBefore(a, b *account) bool {
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.items[0].order < b.items[0].order
}

// Correct adjusts an account's virtual time by the difference between the
// actual and the predicted service time, so that a wrong prediction gives no account a
// larger share.
func (q *Queue) Correct(id ident.AccountID, weight int, difference time.Duration) {
	a, ok := q.accounts[id]
	if !ok {
		return
	}
	a.virtualTime = max(a.virtualTime+difference.Seconds()/float64(max(weight, 1)), 0)
}

// Remove removes an item and reports whether it was in the queue.
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
	a.backlog -= it.ServiceTime
	q.backlog -= it.ServiceTime
	delete(q.byID, it.ID)
}

// Expire removes and returns the items that can no longer finish in time, so that they
// are answered at once: those past their deadline, and those queued before now whose
// deadline leaves less than the predicted service time.
func (q *Queue) Expire(now time.Time) []Item {
	return q.removeWhere(func(it *Item) bool {
		if !it.Deadline.After(now) {
			return true
		}
		return it.QueuedAt.Before(now) && now.Add(it.ServiceTime).After(it.Deadline)
	})
}

// RemoveFunc removes and returns the items for which reject returns true.
func (q *Queue) RemoveFunc(reject func(id uint64) bool) []Item {
	return q.removeWhere(func(it *Item) bool { return reject(it.ID) })
}

func (q *Queue) removeWhere(reject func(*Item) bool) []Item {
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

// items implements heap.Interface for the items of one account: higher priority first,
// then in order of arrival.
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
