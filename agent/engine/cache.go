package engine

import (
	"bufio"
	"container/list"
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Cache estimates which prompt prefixes the engine has cached. Entries name
// prefixes by hashes of their own, which the requests carry; the engine names
// blocks, one for each message, by hashes over all messages up to it. The cache
// learns which blocks a prefix needs when a request runs, and forgets the prefix
// when the engine reports the removal of one of them. Events are late and some
// are missing, so a prefix may stay until newer ones push it out.
type Cache struct {
	client *Client
	limit  int
	log    zerolog.Logger

	mu    sync.Mutex
	order *list.List // of *prefix, most recent first
	index map[uint64]*list.Element
	next  uint64

	gaps atomic.Uint64
}

// prefix is one cached prefix and the blocks that it needs.
type prefix struct {
	hash   uint64
	blocks []uint64
}

// cacheSilence is how long the event stream may be silent. An idle engine has
// no events, so silence is normal; the stream is renewed to find dead connections.
const cacheSilence = 30 * time.Second

// cacheRetry is the pause before the event stream is opened again.
const cacheRetry = time.Second

// NewCache returns an estimate that holds at most limit prefixes.
func NewCache(c *Client, limit int, l zerolog.Logger) *Cache {
	return &Cache{client: c, limit: limit, log: l, order: list.New(), index: make(map[uint64]*list.Element)}
}

// Name is the step's name.
func (c *Cache) Name() string {
	return "engine-cache"
}

// Prefixes returns the hashes, most recent first.
func (c *Cache) Prefixes() []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]uint64, 0, c.order.Len())
	for e := c.order.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(*prefix).hash)
	}
	return out
}

// Gaps returns the number of events that did not arrive.
func (c *Cache) Gaps() uint64 {
	return c.gaps.Load()
}

// Run follows the events until the context ends.
func (c *Cache) Run(ctx context.Context) error {
	for {
		err := c.follow(ctx)
		if ctx.Err() != nil {
			return nil
		}
		c.log.Debug().Err(err).Msg("open cache events again")
		if IsSilent(err) {
			continue
		}
		// A connection that broke may mean a restart with an empty cache and
		// new sequence numbers, so everything is read again.
		c.forget()
		t := time.NewTimer(cacheRetry)
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		}
	}
}

func (c *Cache) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := newWatchdog(cacheSilence, cancel)
	defer w.stop()
	res, err := c.client.send(ctx, http.MethodGet, "/kv-events?after="+strconv.FormatUint(c.last(), 10), nil, "")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return refused(res)
	}
	lines := bufio.NewScanner(&watchedReader{reader: res.Body, watchdog: w})
	lines.Buffer(make([]byte, 0, 4<<10), maxEvent)
	for lines.Scan() {
		if d, ok := strings.CutPrefix(lines.Text(), "data:"); ok {
			c.apply(strings.TrimSpace(d))
		}
	}
	if e := w.fired(); e != nil {
		return e
	}
	return errors.Join(errors.New("cache event stream ended"), lines.Err())
}

func (c *Cache) last() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.next, 1) - 1
}

type cacheEvent struct {
	Sequence uint64 `json:"seq"`
	Kind     string `json:"type"`
	Hash     string `json:"hash"`
}

// apply takes in one event. A sequence number that falls means that the engine
// restarted with an empty cache.
func (c *Cache) apply(data string) {
	var e cacheEvent
	if json.Unmarshal([]byte(data), &e) != nil {
		return
	}
	h, err := strconv.ParseUint(e.Hash, 16, 64)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Sequence < c.next {
		c.reset()
	}
	if c.next > 0 && e.Sequence > c.next {
		c.gaps.Add(e.Sequence - c.next)
	}
	c.next = e.Sequence + 1
	if e.Kind == "removed" {
		c.removed(h)
	}
}

// removed forgets the prefixes that need a block.
func (c *Cache) removed(block uint64) {
	for e := c.order.Front(); e != nil; {
		next := e.Next()
		if slices.Contains(e.Value.(*prefix).blocks, block) {
			c.drop(e)
		}
		e = next
	}
}

func (c *Cache) drop(e *list.Element) {
	c.order.Remove(e)
	delete(c.index, e.Value.(*prefix).hash)
}

// prefixBytes is the length of prompt that one more of an entry's hashes stands
// for: 256 tokens of 4 bytes.
const prefixBytes = 1024

// Learn notes that the engine has processed a prompt. The hashes are those of
// the entry, longest first.
func (c *Cache) Learn(hashes []uint64, ms []Message) {
	blocks := blockHashes(ms)
	c.mu.Lock()
	defer c.mu.Unlock()
	n, length := 0, 0
	// The shortest prefix is shared by the most prompts; learned last, it counts
	// as the most recent.
	needs := make([]int, len(hashes))
	for j := range hashes {
		for n < len(ms) && length < (j+1)*prefixBytes {
			length += len(ms[n].Role) + len(ms[n].Content) + 2 // the entry ends both with a zero byte
			n++
		}
		needs[len(hashes)-1-j] = n
	}
	for i, h := range hashes {
		c.learn(h, blocks[:needs[i]])
	}
}

func (c *Cache) learn(h uint64, blocks []uint64) {
	if e, ok := c.index[h]; ok {
		e.Value.(*prefix).blocks = blocks
		c.order.MoveToFront(e)
		return
	}
	c.index[h] = c.order.PushFront(&prefix{hash: h, blocks: blocks})
	if c.order.Len() > c.limit {
		c.drop(c.order.Back())
	}
}

// blockHashes returns the engine's block hashes: 64-bit FNV-1a over "role:text\n"
// of all messages up to each.
func blockHashes(ms []Message) []uint64 {
	h := fnv.New64a()
	out := make([]uint64, 0, len(ms))
	for _, m := range ms {
		_, _ = io.WriteString(h, m.Role+":"+m.Content+"\n")
		out = append(out, h.Sum64())
	}
	return out
}

func (c *Cache) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset()
}

func (c *Cache) reset() {
	c.order.Init()
	clear(c.index)
	c.next = 0
}
