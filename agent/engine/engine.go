// Package engine is the client of a model engine. It uses OpenAI chat completions over
// HTTP with server-sent events and vLLM's priority field, and the engine's API for the
// resume of streams, load reports, cache events and orders.
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

	"tarragonvalve.example/agent/dial"
	"tarragonvalve.example/agent/excess"
	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/inlet"
	"tarragonvalve.example/core/late"
)

// Options configures a Client.
type Options struct {
	// BaseURL is the engine's URL without a path.
	BaseURL string
	// DialTimeout bounds the time in which this process runs and establishes a connection.
	DialTimeout time.Duration
	// IdleTimeout bounds the time in which no byte arrives from the engine.
	IdleTimeout time.Duration
	// CallTimeout bounds the time in which this process runs and waits for each short call: reports, orders and the cancelling
	// of streams.
	CallTimeout time.Duration
	// Excess reports the engine's reports and cache events that exceed a bound; nil reports
	// none. Streams are reported by their reader, which knows the request.
	Excess *excess.Reporter
	// Late returns how late the work of this process runs. What the engine sent while the process did not run is read
	// before the engine counts as silent.
	Late late.Func
}

// Default returns the options for the engine at a base URL. The idle timeout allows for
// the processing of a long prompt, during which an engine sends nothing.
func Default(base string) Options {
	return Options{
		BaseURL:     base,
		DialTimeout: time.Second,
		IdleTimeout: 5 * time.Second,
		CallTimeout: 2 * time.Second,
	}
}

// Client is the client of one engine. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	dialer  *dial.Dialer
}

// maxIdleConns lets the connections of all slots of an engine be reused.
const maxIdleConns = 64

// New returns a client. Close it after use.
func New(o Options) *Client {
	c := &Client{options: o, dialer: dial.New(o.DialTimeout)}
	t := inlet.NewTransport(c.dialer.DialContext)
	t.MaxIdleConnsPerHost, t.IdleConnTimeout, t.DisableCompression = maxIdleConns, 30*time.Second, true
	c.http = &http.Client{Transport: t, CheckRedirect: noRedirect} //nolint:forbidigo // the field, not the type
	return c
}

// noRedirect returns redirects as responses, so that a request reaches only the engine for
// which it was checked.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close closes idle connections.
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
	// Priority is vLLM's priority: lower values run first.
	Priority int32
}

// StreamID returns the engine's id of the stream of an attempt, REQUEST-ATTEMPT.
func StreamID(r ident.RequestID, a ident.Attempt) string {
	return string(r) + "-" + strconv.FormatUint(uint64(a), 10)
}

// StatusError reports a response of the engine with an HTTP error status. RetryAfter is 0
// without a Retry-After header in seconds.
type StatusError struct {
	Status     int
	Message    string
	RetryAfter time.Duration
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("start a stream at the engine: status %d: %s", e.Status, e.Message)
}

// NotRun reports whether the status proves that nothing was generated: the engine rejects
// invalid input and overload before it generates. Status 408 is no proof, and 409 means
// that the engine already has the attempt.
func (e *StatusError) NotRun() bool {
	switch e.Status {
	case http.StatusConflict, http.StatusRequestTimeout:
		return false
	case http.StatusServiceUnavailable:
		return true
	}
	return e.Status >= 400 && e.Status < 500
}

// IsConflict reports whether the engine refused an attempt because it already has it.
func IsConflict(err error) bool {
	var r *StatusError
	return errors.As(err, &r) && r.Status == http.StatusConflict
}

// IsNotFound reports whether the engine does not have a stream.
func IsNotFound(err error) bool {
	var r *StatusError
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

// BrokenError reports a stream or call that failed after it may have been sent. Op is the
// failed operation.
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

// IdleTimeoutError reports that no byte arrived within the idle timeout.
type IdleTimeoutError struct {
	Timeout time.Duration
}

func (e *IdleTimeoutError) Error() string {
	return fmt.Sprintf("no byte from the engine for %v", e.Timeout)
}

// ProvenNotRun reports whether an error proves that the engine did not run the attempt or
// order: the connection failed, or the status proves it.
func ProvenNotRun(err error) bool {
	var d *DialError
	if errors.As(err, &d) {
		return true
	}
	var r *StatusError
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

// streamOptions requests token counts. vLLM's continuous counts allow billing a broken
// stream by the engine's own counts.
type streamOptions struct {
	IncludeUsage         bool `json:"include_usage"`
	ContinuousUsageStats bool `json:"continuous_usage_stats"`
}

// Start sends an attempt and returns its stream. ctx bounds the whole stream; its end
// closes the connection, and the engine then cancels the attempt. Start returns a
// *DialError, *StatusError or *BrokenError.
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
		return nil, &StatusError{Status: http.StatusBadRequest, Message: err.Error()}
	}
	return c.open(ctx, http.MethodPost, "/v1/chat/completions", body, StreamID(r.Request, r.Attempt), 0)
}

// Resume reads the stream with this id from an event position. Its errors are those of
// Start.
func (c *Client) Resume(ctx context.Context, id string, from uint64) (*Stream, error) {
	p := "/v1/streams/" + url.PathEscape(id) + "?from=" + strconv.FormatUint(from, 10)
	return c.open(ctx, http.MethodGet, p, nil, id, from)
}

// Cancel tells the engine to cancel an attempt at once. After a closed connection the
// engine cancels it only when its grace period for resumes is over. Cancel does not check
// the response status.
func (c *Client) Cancel(ctx context.Context, id string) error {
	ctx, cancel := clock.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	res, err := c.send(ctx, http.MethodDelete, "/v1/streams/"+url.PathEscape(id), nil, id)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

func (c *Client) open(ctx context.Context, method, path string, body []byte, id string, from uint64) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := newWatchdog(c.options.IdleTimeout, c.options.Late, cancel)
	res, err := c.send(ctx, method, path, body, id)
	if err != nil {
		w.Stop()
		cancel(nil)
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		defer cancel(nil)
		defer w.Stop()
		defer res.Body.Close()
		return nil, newStatusError(res)
	}
	return newStream(res.Body, c.options.BaseURL, w, cancel, from), nil
}

func (c *Client) send(ctx context.Context, method, path string, body []byte, id string) (*http.Response, error) {
	var b io.Reader
	if body != nil {
		b = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.options.BaseURL+path, b)
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

// sendError converts an error of the HTTP client; only a failed dial proves that nothing
// was sent.
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

// maxErrorBody bounds the part of an error response that is read, in bytes.
const maxErrorBody = 4 << 10

// newStatusError converts an error response. Its message is that of an OpenAI error body
// or, for other bodies, the text of the body.
func newStatusError(res *http.Response) *StatusError {
	//nolint:forbidigo // bounded; the rest is not read, since the status alone is enough
	b, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBody))
	e := &StatusError{Status: res.StatusCode, Message: strings.TrimSpace(string(b))}
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
