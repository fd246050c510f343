package engine

import (
	"bufio"
	"container/list"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Cache follows the engine's cache events and keeps the hashes of cached prompt
// prefixes. Events are late and some are missing, so it is an estimate: a
// missing removal leaves a hash in until newer ones push it out.
type Cache struct {
	client *Client
	limit  int
	log    zerolog.Logger

	mu    sync.Mutex
	order *list.List // of uint64, most recent first
	index map[uint64]*list.Element
	next  uint64

	gaps atomic.Uint64
}

// cacheSilence is how long the event stream may be silent. An idle engine has
// no events, so silence is normal; the stream is renewed to find dead connections.
const cacheSilence = 30 * time.Second

// cacheRetry is the pause before the event stream is opened again.
const cacheRetry = time.Second

// NewCache returns a cache estimate of at most limit hashes.
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
		out = append(out, e.Value.(uint64))
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
	switch e.Kind {
	case "stored":
		c.store(h)
	case "removed":
		c.remove(h)
	}
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

func (c *Cache) store(h uint64) {
	if e, ok := c.index[h]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.index[h] = c.order.PushFront(h)
	if c.order.Len() > c.limit {
		c.remove(c.order.Back().Value.(uint64))
	}
}

func (c *Cache) remove(h uint64) {
	e, ok := c.index[h]
	if !ok {
		return
	}
	c.order.Remove(e)
	delete(c.index, h)
}
