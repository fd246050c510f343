package engine

import (
	"container/list"
	"context"
	"encoding/json"
	"fmt"
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

	"tarragonvalve.example/core/inlet"
)

// PrefixTracker estimates which prompt prefixes the engine has cached. Entries identify a
// prefix by their own hash, which the request carries. The engine identifies a block, one
// for each message, by a hash over all messages up to it. The tracker records which blocks
// a prefix needs when a request runs, and removes the prefix when the engine reports the
// removal of one of these blocks. Events arrive late and some are lost, so a stale prefix
// may remain until newer ones displace it. A PrefixTracker is safe for concurrent use.
type PrefixTracker struct {
	client *Client
	limit  int
	log    zerolog.Logger

	mu           sync.Mutex
	order        *list.List // of *prefix, most recent first
	index        map[uint64]*list.Element
	nextSequence uint64

	missed atomic.Uint64
}

// prefix is one cached prefix and the blocks that it needs.
type prefix struct {
	hash   uint64
	blocks []uint64
}

// cacheIdleTimeout is the time without events after which the event stream is opened again.
// An idle engine sends no events, so this is no failure; it detects dead connections.
const cacheIdleTimeout = 30 * time.Second

// cacheRetryDelay is the delay before the event stream is opened again after a failure.
const cacheRetryDelay = time.Second

// NewPrefixTracker returns an empty tracker that holds at most limit prefixes.
func NewPrefixTracker(c *Client, limit int, l zerolog.Logger) *PrefixTracker {
	return &PrefixTracker{client: c, limit: limit, log: l, order: list.New(), index: make(map[uint64]*list.Element)}
}

// Name implements serve.Step.
func (c *PrefixTracker) Name() string {
	return "engine-cache"
}

// Prefixes returns the hashes of the prefixes, most recently used first.
func (c *PrefixTracker) Prefixes() []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]uint64, 0, c.order.Len())
	for e := c.order.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(*prefix).hash)
	}
	return out
}

// MissedEvents returns the number of cache events that were lost, counted by the gaps in
// their sequence numbers.
func (c *PrefixTracker) MissedEvents() uint64 {
	return c.missed.Load()
}

// Run reads the cache events until ctx ends. It implements serve.Step.
func (c *PrefixTracker) Run(ctx context.Context) error {
	for {
		err := c.readEvents(ctx)
		if ctx.Err() != nil {
			return nil
		}
		c.client.options.Excess.Report("", err)
		c.log.Debug().Err(err).Msg("open cache event stream again")
		if IsIdleTimeout(err) {
			continue
		}
		// The engine may have restarted with an empty cache and new sequence numbers, so
		// the tracker starts again without prefixes.
		c.reset()
		t := time.NewTimer(cacheRetryDelay)
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		}
	}
}

// readEvents opens the event stream after the last sequence number and applies its events
// until it ends. The error is never nil.
func (c *PrefixTracker) readEvents(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := newWatchdog(cacheIdleTimeout, c.client.options.Late, cancel)
	defer w.Stop()
	res, err := c.client.send(ctx, http.MethodGet, "/kv-events?after="+strconv.FormatUint(c.lastSequence(), 10), nil, "")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return newStatusError(res)
	}
	lines := inlet.NewLines(&watchdogReader{reader: res.Body, watchdog: w}, c.client.options.BaseURL, maxEvent)
	for {
		line, err := lines.Next()
		if err != nil {
			if e := w.err(); e != nil {
				return e
			}
			return fmt.Errorf("cache event stream ended: %w", err)
		}
		if d, ok := strings.CutPrefix(line, "data:"); ok {
			c.apply(strings.TrimSpace(d))
		}
	}
}

func (c *PrefixTracker) lastSequence() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.nextSequence, 1) - 1
}

type cacheEvent struct {
	Sequence uint64 `json:"seq"`
	Kind     string `json:"type"`
	Hash     string `json:"hash"`
}

// apply processes one event and ignores a malformed one. A sequence number below the
// expected one means that the engine restarted with an empty cache.
func (c *PrefixTracker) apply(data string) {
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
	if e.Sequence < c.nextSequence {
		c.resetLocked()
	}
	if c.nextSequence > 0 && e.Sequence > c.nextSequence {
		c.missed.Add(e.Sequence - c.nextSequence)
	}
	c.nextSequence = e.Sequence + 1
	if e.Kind == "removed" {
		c.removeBlock(h)
	}
}

// removeBlock removes the prefixes that need a block. The caller holds mu.
func (c *PrefixTracker) removeBlock(block uint64) {
	for e := c.order.Front(); e != nil; {
		next := e.Next()
		if slices.Contains(e.Value.(*prefix).blocks, block) {
			c.remove(e)
		}
		e = next
	}
}

func (c *PrefixTracker) remove(e *list.Element) {
	c.order.Remove(e)
	delete(c.index, e.Value.(*prefix).hash)
}

// bytesPerHash is the length of prompt that each further hash of an entry covers: 256
// tokens of 4 bytes.
const bytesPerHash = 1024

// RecordPrompt records that the engine has processed a prompt. hashes are the prefix hashes
// of the entry, longest prefix first.
func (c *PrefixTracker) RecordPrompt(hashes []uint64, ms []Message) {
	blocks := blockHashes(ms)
	c.mu.Lock()
	defer c.mu.Unlock()
	n, length := 0, 0
	// The shortest prefix is shared by the most prompts. It is added last, so that it
	// counts as the most recently used.
	blockCounts := make([]int, len(hashes))
	for j := range hashes {
		for n < len(ms) && length < (j+1)*bytesPerHash {
			length += len(ms[n].Role) + len(ms[n].Content) + 2 // the entry hashes a zero byte after each of both
			n++
		}
		blockCounts[len(hashes)-1-j] = n
	}
	for i, h := range hashes {
		c.add(h, blocks[:blockCounts[i]])
	}
}

func (c *PrefixTracker) add(h uint64, blocks []uint64) {
	if e, ok := c.index[h]; ok {
		e.Value.(*prefix).blocks = blocks
		c.order.MoveToFront(e)
		return
	}
	c.index[h] = c.order.PushFront(&prefix{hash: h, blocks: blocks})
	if c.order.Len() > c.limit {
		c.remove(c.order.Back())
	}
}

// blockHashes returns the engine's block hash for each message: the 64-bit FNV-1a hash over
// "role:text\n" of all messages up to it.
func blockHashes(ms []Message) []uint64 {
	h := fnv.New64a()
	out := make([]uint64, 0, len(ms))
	for _, m := range ms {
		_, _ = io.WriteString(h, m.Role+":"+m.Content+"\n")
		out = append(out, h.Sum64())
	}
	return out
}

func (c *PrefixTracker) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetLocked()
}

// resetLocked removes all prefixes and the expected sequence number. The caller holds mu.
func (c *PrefixTracker) resetLocked() {
	c.order.Init()
	clear(c.index)
	c.nextSequence = 0
}
