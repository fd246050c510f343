// Package rating is the client of the rating service: it reports a sample of the
// answers that callers got and reads the ratings, which come late and not for all.
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
	"tarragonvalve.example/core/wire"
)

const (
	// maxQueue bounds reports that wait; further ones are dropped, since only a sample is rated.
	maxQueue = 512
	// callLimit bounds one call.
	callLimit = 3 * time.Second
	// maxBody bounds one page of ratings.
	maxBody = 4 << 20
	// page is the largest page that the service gives.
	page = 1000
	// maxPause bounds the pause between reads while the service refuses them.
	maxPause = time.Minute
)

// Message is one message of the rated conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Answer is an answer that a caller got.
type Answer struct {
	Request  ident.RequestID `json:"request-id"`
	Account  ident.AccountID `json:"account"`
	Task     ident.TaskID    `json:"task"`
	Model    ident.ModelID   `json:"model"`
	Version  ident.VersionID `json:"version"`
	Messages []Message       `json:"messages"`
}

// Rating is one rating.
type Rating struct {
	Sequence uint64          `json:"seq"`
	Request  ident.RequestID `json:"request-id"`
	Account  ident.AccountID `json:"account"`
	Task     ident.TaskID    `json:"task"`
	Model    ident.ModelID   `json:"model"`
	Version  ident.VersionID `json:"version"`
	Good     bool            `json:"good"`
}

// Options are the settings of a Client.
type Options struct {
	// URL is the service's base address; empty switches ratings off.
	URL string
	// ReportInterval is the shortest pause between reports, ReadEvery that between reads.
	ReportInterval time.Duration
	ReadInterval   time.Duration
	Client         *http.Client
	// OnRating learns of each rating.
	OnRating func(r Rating)
	Log      zerolog.Logger
}

// Client talks to the rating service.
type Client struct {
	o       Options
	queue   chan Answer
	dropped atomic.Uint64
	failed  atomic.Uint64
	read    atomic.Uint64
	after   uint64
}

// New returns a client.
func New(o Options) *Client {
	return &Client{o: o, queue: make(chan Answer, maxQueue)}
}

// Name is the name of the step.
func (c *Client) Name() string { return "rating" }

// Counts returns the ratings read, the reports dropped and the calls that failed.
func (c *Client) Counts() (read, dropped, failed uint64) {
	return c.read.Load(), c.dropped.Load(), c.failed.Load()
}

// Report queues an answer; it never blocks.
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

// Messages converts a request's messages.
func Messages(ms []*wire.Message) []Message {
	out := make([]Message, 0, len(ms))
	for _, m := range ms {
		out = append(out, Message{Role: m.GetRole(), Content: m.GetContent()})
	}
	return out
}

// Run reports and reads until the context ends.
func (c *Client) Run(ctx context.Context) error {
	if c.o.URL == "" {
		<-ctx.Done()
		return nil
	}
	var w sync.WaitGroup
	w.Go(func() { c.reports(ctx) })
	w.Go(func() { c.reads(ctx) })
	w.Wait()
	return nil
}

func (c *Client) reports(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-c.queue:
			if err := c.post(ctx, a); err != nil && ctx.Err() == nil {
				c.failed.Add(1)
			}
			if !sleep(ctx, c.o.ReportInterval) {
				return
			}
		}
	}
}

func (c *Client) reads(ctx context.Context) {
	pause := c.o.ReadInterval
	for sleep(ctx, pause) {
		n, retry, err := c.page(ctx)
		switch {
		case err != nil:
			c.failed.Add(1)
			pause = min(max(2*pause, retry), maxPause)
		case n == page:
			pause = c.o.ReadInterval / 2
		default:
			pause = c.o.ReadInterval
		}
	}
}

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

// StatusError reports an answer of the service that is not a success.
type StatusError struct {
	Op     string
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d", e.Op, e.Status)
}

func (c *Client) post(ctx context.Context, a Answer) error {
	b, err := json.Marshal(a)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
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
	_, _ = io.Copy(io.Discard, io.LimitReader(p.Body, maxBody))
	if p.StatusCode/100 != 2 {
		return &StatusError{Op: "report answer", Status: p.StatusCode}
	}
	return nil
}

// page reads the next ratings; it returns their number and, on refusal, the pause that the service asks for.
func (c *Client) page(ctx context.Context) (int, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	u := c.o.URL + "/v1/ratings?limit=" + strconv.Itoa(page) + "&after=" + strconv.FormatUint(c.after, 10)
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
	if err := json.NewDecoder(io.LimitReader(p.Body, maxBody)).Decode(&out); err != nil {
		return 0, 0, err
	}
	for _, r := range out.Ratings {
		c.o.OnRating(r)
	}
	c.read.Add(uint64(len(out.Ratings)))
	c.after = out.Next // lower than before when the service was replaced and counts from the start
	return len(out.Ratings), 0, nil
}
