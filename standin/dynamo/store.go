// Package dynamo is a stand-in for the platform's table service. It implements the subset
// of the DynamoDB HTTP API (JSON 1.0) that the table client uses:
//
//   - GetItem with Key
//   - PutItem with the condition attribute_not_exists(pk) or rev = :rev
//   - Query with the key condition pk = :pk, optionally AND sk > :after or
//     AND begins_with(sk, :prefix), Limit and ScanIndexForward
//
// Items have the string attributes pk, sk and tok, the number rev and the binary
// body; expression attribute names ("#p") are resolved. Writes and reads are
// limited by token buckets with a burst of one second; above the limit the
// answer is ProvisionedThroughputExceededException. An item takes at most 400 KB.
package dynamo

import (
	"sort"
	"strings"
	"sync"

	"golang.org/x/time/rate"
)

// MaxItemBytes is DynamoDB's limit on the size of an item.
const MaxItemBytes = 400 << 10

// Value is a DynamoDB attribute value: a string, a number or binary data.
type Value struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B []byte  `json:"B,omitzero"`
}

// Item is a DynamoDB item.
type Item map[string]Value

// text returns a string attribute, or an empty string if there is none.
func (i Item) text(name string) string {
	if v, ok := i[name]; ok && v.S != nil {
		return *v.S
	}
	return ""
}

// size returns the size in bytes of the attribute names and values.
func (i Item) size() int {
	n := 0
	for k, v := range i {
		n += len(k) + len(v.B)
		if v.S != nil {
			n += len(*v.S)
		}
		if v.N != nil {
			n += len(*v.N)
		}
	}
	return n
}

// Counts are the counters of all tables. Rows counts the items per partition key.
type Counts struct {
	Gets      int            `json:"gets"`
	Puts      int            `json:"puts"`
	Queries   int            `json:"queries"`
	Conflicts int            `json:"conflicts"`
	Throttled int            `json:"throttled"`
	Rows      map[string]int `json:"rows"`
}

// Row is one item in the format of the control API.
type Row struct {
	Partition string `json:"partition"`
	Sort      string `json:"sort"`
	Revision  string `json:"revision"`
	Token     string `json:"token"`
	Body      string `json:"body"`
}

// Store holds the items of all tables. It is safe for concurrent use.
type Store struct {
	writes *rate.Limiter
	reads  *rate.Limiter

	mu         sync.Mutex
	partitions map[string]*partition
	counts     Counts
}

// partition holds the items of one partition key by sort key. sortKeys is in ascending order.
type partition struct {
	sortKeys []string
	items    map[string]Item
}

// NewStore returns an empty store with rate limits in operations per second.
func NewStore(writes, reads float64) *Store {
	return &Store{
		writes:     rate.NewLimiter(rate.Limit(writes), max(1, int(writes))),
		reads:      rate.NewLimiter(rate.Limit(reads), max(1, int(reads))),
		partitions: map[string]*partition{},
	}
}

func (s *Store) partition(table, pk string) *partition {
	k := table + "\x00" + pk
	p, ok := s.partitions[k]
	if !ok {
		p = &partition{items: map[string]Item{}}
		s.partitions[k] = p
	}
	return p
}

func (s *Store) get(table, pk, sk string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Gets++
	i, ok := s.partition(table, pk).items[sk]
	return i, ok
}

// put stores an item and returns true if cond holds for the existing item, which is nil if
// there is none. Otherwise it returns the existing item and false.
func (s *Store) put(table string, i Item, cond func(Item) bool) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Puts++
	p := s.partition(table, i.text("pk"))
	sk := i.text("sk")
	old, exists := p.items[sk]
	if !cond(old) {
		s.counts.Conflicts++
		return old, false
	}
	if !exists {
		at := sort.SearchStrings(p.sortKeys, sk)
		p.sortKeys = append(p.sortKeys, "")
		copy(p.sortKeys[at+1:], p.sortKeys[at:])
		p.sortKeys[at] = sk
	}
	p.items[sk] = i
	return nil, true
}

// selection is a parsed query.
type selection struct {
	table, pk, after, prefix string
	// start is the exclusive start key of a following page.
	start   string
	limit   int
	forward bool
}

// query returns the selected items, up to the limit and maxPageBytes, and whether more follow.
func (s *Store) query(q selection) ([]Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Queries++
	p := s.partition(q.table, q.pk)
	var out []Item
	size := 0
	for n := range p.sortKeys {
		sk := p.sortKeys[n]
		if !q.forward {
			sk = p.sortKeys[len(p.sortKeys)-1-n]
		}
		if !q.selects(sk) {
			continue
		}
		i := p.items[sk]
		size += i.size()
		if q.limit > 0 && len(out) == q.limit || len(out) > 0 && size > maxPageBytes {
			return out, true
		}
		out = append(out, i)
	}
	return out, false
}

func (q selection) selects(sk string) bool {
	if q.after != "" && sk <= q.after || !strings.HasPrefix(sk, q.prefix) {
		return false
	}
	switch {
	case q.start == "":
		return true
	case q.forward:
		return sk > q.start
	default:
		return sk < q.start
	}
}

func (s *Store) countThrottled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Throttled++
}

// Counts returns the counters with the current number of rows.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Rows = map[string]int{}
	for k, p := range s.partitions {
		_, pk, _ := strings.Cut(k, "\x00")
		if len(p.items) > 0 {
			c.Rows[pk] += len(p.items)
		}
	}
	return c
}

// Rows returns the rows of the partitions whose key starts with prefix.
func (s *Store) Rows(prefix string) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Row
	for k, p := range s.partitions {
		_, pk, _ := strings.Cut(k, "\x00")
		if !strings.HasPrefix(pk, prefix) {
			continue
		}
		for _, sk := range p.sortKeys {
			i := p.items[sk]
			r := Row{Partition: pk, Sort: sk, Token: i.text("tok"), Body: string(i["body"].B)}
			if n := i["rev"].N; n != nil {
				r.Revision = *n
			}
			out = append(out, r)
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].Partition < out[b].Partition })
	return out
}
