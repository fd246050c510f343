package engine

import (
	"hash/fnv"
	"strconv"
	"time"

	"tarragonvalve.example/standin/answer"
)

// maxEvents is the number of cache events that are kept for readers.
const maxEvents = 4096

// block is the cache entry of one message. Its hash covers all messages up to it, so a
// prefix is cached up to the first message whose block is missing.
type block struct {
	hash   uint64
	tokens int
	used   time.Time
}

// Event is one cache event in the JSON format of /kv-events.
type Event struct {
	Sequence uint64 `json:"seq"`
	// Kind is stored or removed.
	Kind   string `json:"type"`
	Hash   string `json:"hash"`
	Tokens int    `json:"tokens"`
	at     time.Time
}

// cache is a prefix cache with least-recently-used eviction. Capacity and used are in
// tokens. It is not safe for concurrent use; the engine's lock guards it.
type cache struct {
	capacity int
	used     int
	blocks   map[uint64]*block
	events   []Event
	sequence uint64
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, blocks: map[uint64]*block{}}
}

// PrefixHashes returns the hash of each prefix of messages, the shortest first:
// 64-bit FNV-1a over "role:text\n" of the messages in order.
func PrefixHashes(ms []answer.Message) []uint64 {
	h := fnv.New64a()
	out := make([]uint64, 0, len(ms))
	for i := range ms {
		_, _ = h.Write([]byte(answer.RequestText(ms[i : i+1])))
		out = append(out, h.Sum64())
	}
	return out
}

func hexHash(h uint64) string {
	return strconv.FormatUint(h, 16)
}

// cachedTokens returns how many input tokens of messages are cached and marks their blocks as
// used.
func (c *cache) cachedTokens(ms []answer.Message, now time.Time) int {
	n := 0
	for _, h := range PrefixHashes(ms) {
		b, ok := c.blocks[h]
		if !ok {
			break
		}
		b.used = now
		n += b.tokens
	}
	return n
}

// store adds a block for each message.
func (c *cache) store(ms []answer.Message, now time.Time) {
	for i, h := range PrefixHashes(ms) {
		c.add(h, answer.InputTokens(ms[i:i+1]), now)
	}
}

// add adds a block and evicts others if necessary. A block above the capacity is not added.
func (c *cache) add(h uint64, tokens int, now time.Time) {
	if b, ok := c.blocks[h]; ok {
		b.used = now
		return
	}
	if tokens > c.capacity {
		return
	}
	for c.used+tokens > c.capacity {
		c.evict(now)
	}
	c.blocks[h] = &block{hash: h, tokens: tokens, used: now}
	c.used += tokens
	c.record("stored", h, tokens, now)
}

// evict removes the least recently used block.
func (c *cache) evict(now time.Time) {
	var oldest *block
	for _, b := range c.blocks {
		if oldest == nil || b.used.Before(oldest.used) {
			oldest = b
		}
	}
	delete(c.blocks, oldest.hash)
	c.used -= oldest.tokens
	c.record("removed", oldest.hash, oldest.tokens, now)
}

// record appends a cache event and drops the oldest above maxEvents.
func (c *cache) record(kind string, h uint64, tokens int, now time.Time) {
	c.sequence++
	c.events = append(c.events, Event{Sequence: c.sequence, Kind: kind, Hash: hexHash(h), Tokens: tokens, at: now})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// visible returns the events after a sequence number that happened until a time, without
// those whose sequence number is a multiple of gap; a gap of 0 leaves none out.
func (c *cache) visible(after uint64, gap int, until time.Time) []Event {
	var out []Event
	for _, e := range c.events {
		if e.Sequence <= after || e.at.After(until) {
			continue
		}
		if gap > 0 && e.Sequence%uint64(gap) == 0 {
			continue
		}
		out = append(out, e)
	}
	return out
}
