// Package rating is the client of the rating service: it reports a sample of the
// answers that callers received and reads their ratings. Ratings arrive late, and not
// for every answer.
package rating

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/inlet"
	"tarragonvalve.example/core/wire"
)

const (
	// maxQueue bounds the reports that wait to be sent. Further ones are dropped, which
	// is harmless since only a sample is rated.
	maxQueue = 512
	// callTimeout bounds one call of the rating service.
	callTimeout = 3 * time.Second
	// maxPageBytes bounds one page of ratings.
	maxPageBytes = 4 << 20
	// pageSize is the largest number of ratings that the service returns in a page.
	pageSize = 1000
	// maxBackoff bounds the pause between reads while they fail.
	maxBackoff = time.Minute
)

// Message is a message of the conversation that ends with the rated answer.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Answer is the report of an answer that a caller received.
type Answer struct {
	Request  ident.RequestID `json:"request-id"`
	Account  ident.AccountID `json:"account"`
	Task     ident.TaskID    `json:"task"`
	Model    ident.ModelID   `json:"model"`
	Version  ident.VersionID `json:"version"`
	Messages []Message       `json:"messages"`
}

// Rating is the rating of one answer.
type Rating struct {
	Sequence uint64          `json:"seq"`
	Request  ident.RequestID `json:"request-id"`
	Account  ident.AccountID `json:"account"`
	Task     ident.TaskID    `json:"task"`
	Model    ident.ModelID   `json:"model"`
	Version  ident.VersionID `json:"version"`
	Good     bool            `json:"good"`
}

// Options are the settings and dependencies of a Client.
type Options struct {
	// URL is the base address of the rating service; empty turns ratings off.
	URL string
	// ReportInterval is the least time between two reports, ReadInterval the usual time
	// between two reads.
	ReportInterval time.Duration
	ReadInterval   time.Duration
	Client         *http.Client
	// OnRating is called with each rating, in the order of the service.
	OnRating func(r Rating)
	Log      zerolog.Logger
}

// Client reports answers to the rating service and reads ratings from it.
type Client struct {
	o       Options
	queue   chan Answer
	dropped atomic.Uint64
	failed  atomic.Uint64
	read    atomic.Uint64
	// after is the position in the sequence of ratings from which the next page is read.
	after uint64
}

// New returns a client that has read no ratings.
func New(o Options) *Client {
	return &Client{o: o, queue: make(chan Answer, maxQueue)}
}

// Name implements serve.Component.
func (c *Client) Name() string { return "rating" }

// Counts returns the number of ratings read, reports dropped and calls failed.
func (c *Client) Counts() (read, dropped, failed uint64) {
	return c.read.Load(), c.dropped.Load(), c.failed.Load()
}

// Report queues an answer to be reported. It never blocks: it drops the report when
// the queue is full.
func (c *Client) Report(a Answer) {
	if c.o.URL == "" {
		return
	}
	select {
	case c.queue <- a:
	default:
		c.dropped.Add(1)
	}
}

// Messages converts the messages of a request to those of a report.
func Messages(ms []*wire.Message) []Message {
	out := make([]Message, 0, len(ms))
	for _, m := range ms {
		out = append(out, Message{Role: m.GetRole(), Content: m.GetContent()})
	}
	return out
}

// Run sends reports and reads ratings until the context ends. It returns nil.
func (c *Client) Run(ctx context.Context) error {
	if c.o.URL == "" {
		<-ctx.Done()
		return nil
	}
	var w sync.WaitGroup
	w.Go(func() { c.reportLoop(ctx) })
	w.Go(func() { c.readLoop(ctx) })
	w.Wait()
	return nil
}

func (c *Client) reportLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-c.queue:
			if err := c.report(ctx, a); err != nil && ctx.Err() == nil {
				c.failed.Add(1)
			}
			if !sleep(ctx, c.o.ReportInterval) {
				return
			}
		}
	}
}

func (c *Client) readLoop(ctx context.Context) {
	pause := c.o.ReadInterval
	for sleep(ctx, pause) {
		n, retry, err := c.readPage(ctx)
		switch {
		case err != nil:
			c.failed.Add(1)
			pause = min(max(2*pause, retry), maxBackoff)
		case n == pageSize:
			pause = c.o.ReadInterval / 2
		default:
			pause = c.o.ReadInterval
		}
	}
}

// sleep waits for a duration. It returns false when the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// StatusError reports an answer of the rating service with an unexpected HTTP status.
type StatusError struct {
	Op     string
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d", e.Op, e.Status)
}

func (c *Client) report(ctx context.Context, a Answer) error {
	b, err := json.Marshal(a)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, c.o.URL+"/v1/answers", bytes.NewReader(b))
	if err != nil {
		return err
	}
	q.Header.Set("Content-Type", "application/json")
	p, err := c.o.Client.Do(q)
	if err != nil {
		return err
	}
	defer p.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(p.Body, maxPageBytes))
	if p.StatusCode/100 != 2 {
		return &StatusError{Op: "report answer", Status: p.StatusCode}
	}
	return err
}

// readPage reads the next page of ratings. It returns the number of ratings and, when
// the service refuses, the pause that it asks for.
func (c *Client) readPage(ctx context.Context) (int, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	u := c.o.URL + "/v1/ratings?limit=" + strconv.Itoa(pageSize) + "&after=" + strconv.FormatUint(c.after, 10)
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return 0, 0, err
	}
	p, err := c.o.Client.Do(q)
	if err != nil {
		return 0, 0, err
	}
	defer p.Body.Close()
	if p.StatusCode != http.StatusOK {
		s, _ := strconv.Atoi(p.Header.Get("Retry-After"))
		return 0, time.Duration(s) * time.Second, &StatusError{Op: "read ratings", Status: p.StatusCode}
	}
	var out struct {
		Ratings []Rating `json:"ratings"`
		Next    uint64   `json:"next"`
	}
	b, err := inlet.ReadAll(p.Body, c.o.URL, maxPageBytes)
	if err != nil {
		return 0, 0, err
	}
	if err := json.Unmarshal(b, &out); err != nil {
		return 0, 0, err
	}
	for _, r := range out.Ratings {
		c.o.OnRating(r)
	}
	c.read.Add(uint64(len(out.Ratings)))
	c.after = out.Next // decreases when the service was replaced and its sequence starts again
	return len(out.Ratings), 0, nil
}
