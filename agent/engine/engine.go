// Package engine is the client of a model engine: OpenAI chat completions over
// HTTP with server-sent events and vLLM's priority field, resume of streams,
// load reports, cache events and orders.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"tarragonvalve.example/core/ident"
)

// Options are the settings of a Client.
type Options struct {
	// Base is the engine's URL without a path.
	Base string
	// DialLimit bounds the set-up of a connection.
	DialLimit time.Duration
	// SilenceLimit bounds the time without any byte from the engine.
	SilenceLimit time.Duration
	// ReportLimit bounds short calls: load reports and orders.
	ReportLimit time.Duration
}

// Default returns the limits for an engine at an address. The silence limit
// leaves room for a long prompt, during which an engine sends nothing.
func Default(base string) Options {
	return Options{
		Base:         base,
		DialLimit:    time.Second,
		SilenceLimit: 5 * time.Second,
		ReportLimit:  2 * time.Second,
	}
}

// Client talks to one engine. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
}

// maxIdleConns covers the slots of one engine.
const maxIdleConns = 64

// New returns a client.
func New(o Options) *Client {
	d := &net.Dialer{Timeout: o.DialLimit}
	t := &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	return &Client{options: o, http: &http.Client{Transport: t, CheckRedirect: noRedirect}}
}

// noRedirect keeps a request at the engine that it was checked for.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close drops idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is one attempt of a model request.
type Request struct {
	Request     ident.RequestID
	Attempt     ident.Attempt
	Version     ident.VersionRef
	Messages    []Message
	MaxTokens   uint32
	Temperature float64
	// Priority is vLLM's: a lower value runs earlier.
	Priority int32
}

// StreamID is the id of an attempt's stream at the engine, REQUEST-ATTEMPT.
func StreamID(r ident.RequestID, a ident.Attempt) string {
	return string(r) + "-" + strconv.FormatUint(uint64(a), 10)
}

// RefusedError reports an HTTP error status in place of a stream.
type RefusedError struct {
	Status     int
	Message    string
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("start a stream at the engine: status %d: %s", e.Status, e.Message)
}

// NotRun reports whether the status proves that nothing was generated: the
// engine rejects bad input and overload before it generates. A conflict means
// that it knows the attempt already.
func (e *RefusedError) NotRun() bool {
	switch e.Status {
	case http.StatusConflict, http.StatusRequestTimeout:
		return false
	case http.StatusServiceUnavailable:
		return true
	}
	return e.Status >= 400 && e.Status < 500
}

// Known reports whether the engine refused an attempt because it has it already.
func Known(err error) bool {
	var r *RefusedError
	return errors.As(err, &r) && r.Status == http.StatusConflict
}

// Missing reports whether the engine does not know a stream.
func Missing(err error) bool {
	var r *RefusedError
	return errors.As(err, &r) && r.Status == http.StatusNotFound
}

// DialError reports that no connection was made, so nothing was sent.
type DialError struct {
	Err error
}

func (e *DialError) Error() string {
	return fmt.Sprintf("connect to the engine: %v", e.Err)
}

func (e *DialError) Unwrap() error {
	return e.Err
}

// BrokenError reports a stream or call that failed at an unknown point.
type BrokenError struct {
	Op  string
	Err error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("%s: %v", e.Op, e.Err)
}

func (e *BrokenError) Unwrap() error {
	return e.Err
}

// SilentError reports that no byte arrived within the silence limit.
type SilentError struct {
	Limit time.Duration
}

func (e *SilentError) Error() string {
	return fmt.Sprintf("no byte from the engine for %v", e.Limit)
}

// ProvenNotRun reports whether an error of Start proves that nothing ran.
func ProvenNotRun(err error) bool {
	var d *DialError
	if errors.As(err, &d) {
		return true
	}
	var r *RefusedError
	return errors.As(err, &r) && r.NotRun()
}

type chatRequest struct {
	Model         string        `json:"model"`
	Messages      []Message     `json:"messages"`
	MaxTokens     uint32        `json:"max_tokens,omitempty"`
	Temperature   float64       `json:"temperature"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
	Logprobs      bool          `json:"logprobs"`
	Priority      int32         `json:"priority"`
}

// streamOptions asks for token counts. vLLM's continuous counts make a broken
// stream billable by the engine's own figures.
type streamOptions struct {
	IncludeUsage         bool `json:"include_usage"`
	ContinuousUsageStats bool `json:"continuous_usage_stats"`
}

// Start sends an attempt and returns its stream. The context bounds the whole
// stream; cancelling it closes the connection, which cancels the attempt.
func (c *Client) Start(ctx context.Context, r Request) (*Stream, error) {
	body, err := json.Marshal(chatRequest{
		Model:         r.Version.String(),
		Messages:      r.Messages,
		MaxTokens:     r.MaxTokens,
		Temperature:   r.Temperature,
		Stream:        true,
		StreamOptions: streamOptions{IncludeUsage: true, ContinuousUsageStats: true},
		Logprobs:      true,
		Priority:      r.Priority,
	})
	if err != nil {
		return nil, &RefusedError{Status: http.StatusBadRequest, Message: err.Error()}
	}
	return c.open(ctx, http.MethodPost, "/v1/chat/completions", body, StreamID(r.Request, r.Attempt), 0)
}

// Resume continues a stream that the engine knows from an event position.
func (c *Client) Resume(ctx context.Context, id string, from uint64) (*Stream, error) {
	p := "/v1/streams/" + url.PathEscape(id) + "?from=" + strconv.FormatUint(from, 10)
	return c.open(ctx, http.MethodGet, p, nil, id, from)
}

// Cancel tells the engine that an attempt is not wanted any more. Closing the
// stream has the same effect only after the engine's grace time for resumes.
func (c *Client) Cancel(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.ReportLimit)
	defer cancel()
	res, err := c.send(ctx, http.MethodDelete, "/v1/streams/"+url.PathEscape(id), nil, id)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

func (c *Client) open(ctx context.Context, method, path string, body []byte, id string, from uint64) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := newWatchdog(c.options.SilenceLimit, cancel)
	res, err := c.send(ctx, method, path, body, id)
	if err != nil {
		w.stop()
		cancel(nil)
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		defer cancel(nil)
		defer w.stop()
		defer res.Body.Close()
		return nil, refused(res)
	}
	return newStream(res.Body, w, cancel, from), nil
}

func (c *Client) send(ctx context.Context, method, path string, body []byte, id string) (*http.Response, error) {
	var b io.Reader
	if body != nil {
		b = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.options.Base+path, b)
	if err != nil {
		return nil, &DialError{Err: err}
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if id != "" {
		req.Header.Set("X-Request-Id", id)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, sendError(ctx, err)
	}
	return res, nil
}

func sendError(ctx context.Context, err error) error {
	var n *net.OpError
	if errors.As(err, &n) && n.Op == "dial" {
		return &DialError{Err: err}
	}
	if c := context.Cause(ctx); c != nil {
		err = c
	}
	return &BrokenError{Op: "send to the engine", Err: err}
}

// maxErrorBody bounds what is read of an error answer.
const maxErrorBody = 4 << 10

func refused(res *http.Response) *RefusedError {
	b, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBody)) // the status alone is enough
	e := &RefusedError{Status: res.StatusCode, Message: strings.TrimSpace(string(b))}
	var m struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(b, &m) == nil && m.Error.Message != "" {
		e.Message = m.Error.Message
	}
	if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && s > 0 {
		e.RetryAfter = time.Duration(s) * time.Second
	}
	return e
}
