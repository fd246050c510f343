// Package plain is the client of a plain service over HTTP. Its errors distinguish calls
// that are proven not to have run from calls with an unknown outcome.
package plain

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"tarragonvalve.example/agent/dial"
	"tarragonvalve.example/core/inlet"
)

// Options configures a Client.
type Options struct {
	// BaseURL is the service's URL without a path.
	BaseURL string
	// DialTimeout bounds the time in which this process runs and connects to the service.
	DialTimeout time.Duration
	// IdleTimeout bounds the time in which this process runs and no byte arrives from the service.
	IdleTimeout time.Duration
	// MaxAnswerBytes bounds the body of an answer.
	MaxAnswerBytes int64
}

// Default returns the options for the service at a base URL. An answer of 3 MiB fits into a
// gRPC message, which is limited to 4 MiB.
func Default(base string) Options {
	return Options{
		BaseURL:        base,
		DialTimeout:    time.Second,
		IdleTimeout:    10 * time.Second,
		MaxAnswerBytes: 3 << 20,
	}
}

// Call is one call to the service.
type Call struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is sent as Idempotency-Key unless it is empty.
	IdempotencyKey string
	// Request is the request id, sent as X-Request-Id unless it is empty.
	Request string
}

// Result is the answer of the service.
type Result struct {
	StatusCode  int
	ContentType string
	Body        []byte
}

// NotRunError reports a call that was not sent, so that it did not run and won't run later.
type NotRunError struct {
	Err error
}

func (e *NotRunError) Error() string {
	return fmt.Sprintf("connect to the service: %v", e.Err)
}

func (e *NotRunError) Unwrap() error {
	return e.Err
}

// UnknownError reports a call that may have been sent and got no complete answer.
type UnknownError struct {
	Err error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("call the service: no complete answer: %v", e.Err)
}

func (e *UnknownError) Unwrap() error {
	return e.Err
}

// TooLargeError reports a call that ran but whose answer exceeds the limit in bytes. Err is
// an *inlet.TooLongError.
type TooLargeError struct {
	Status int
	Limit  int64
	Err    error
}

func (e *TooLargeError) Unwrap() error {
	return e.Err
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("call the service: the answer with status %d has more than %d bytes", e.Status, e.Limit)
}

// IdleTimeoutError reports that no byte arrived within the idle timeout.
type IdleTimeoutError struct {
	Timeout time.Duration
}

func (e *IdleTimeoutError) Error() string {
	return fmt.Sprintf("no byte from the service for %v", e.Timeout)
}

// Client is the client of one plain service. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	dialer  *dial.Dialer
	// long is a semaphore for maxLong.
	long chan struct{}
}

const (
	// maxIdleConns lets the connections of the concurrent calls of a service be reused.
	maxIdleConns = 64
	// maxShort is the part of a body, in bytes, that is read without waiting. The memory for
	// it belongs to the slot of the call.
	maxShort = 64 << 10
	// maxLong bounds the longer bodies that are read at the same time; with 3 MiB each they
	// take 24 MiB. A call takes its place at once for all of its body, so that calls never
	// wait for each other.
	maxLong = 8
)

// New returns a client. Close it after use.
func New(o Options) *Client {
	c := &Client{options: o, dialer: dial.New(o.DialTimeout), long: make(chan struct{}, maxLong)}
	t := inlet.NewTransport(c.dialer.DialContext)
	t.MaxIdleConnsPerHost, t.IdleConnTimeout, t.DisableCompression = maxIdleConns, 30*time.Second, true
	c.http = &http.Client{
		Transport: t, //nolint:forbidigo // the field, not the type
		// Following a redirect would send the call a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Do makes a call that may run more than once: net/http may repeat it when a reused
// connection fails. It returns a *NotRunError if the call is proven not to have been sent, a
// *TooLargeError for an answer that exceeds the limit, and an *UnknownError for every other
// failure.
func (c *Client) Do(ctx context.Context, k Call) (*Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := c.startIdleTimer(cancel)
	defer timer.Stop()
	req, err := c.request(ctx, k)
	if err != nil {
		return nil, &NotRunError{Err: err}
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, classify(ctx, err)
	}
	defer res.Body.Close()
	return c.read(ctx, res, timer)
}

func (c *Client) request(ctx context.Context, k Call) (*http.Request, error) {
	if !strings.HasPrefix(k.Path, "/") {
		return nil, fmt.Errorf("make request: path %q does not start with a slash", k.Path)
	}
	req, err := http.NewRequestWithContext(ctx, k.Method, c.options.BaseURL+k.Path, bytes.NewReader(k.Body))
	if err != nil {
		return nil, err
	}
	if k.ContentType != "" {
		req.Header.Set("Content-Type", k.ContentType)
	}
	if k.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", k.IdempotencyKey)
	}
	if k.Request != "" {
		req.Header.Set("X-Request-Id", k.Request)
	}
	return req, nil
}

func (c *Client) read(ctx context.Context, res *http.Response, t *idleTimer) (*Result, error) {
	r := &progressReader{reader: res.Body, onProgress: t.Reset}
	b, err := c.readBody(ctx, r, t)
	var l *inlet.TooLongError
	if errors.As(err, &l) {
		return nil, &TooLargeError{Status: res.StatusCode, Limit: c.options.MaxAnswerBytes, Err: l}
	}
	if err != nil {
		return nil, classify(ctx, err)
	}
	return &Result{StatusCode: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: b}, nil
}

// readBody reads a body. One longer than maxShort waits for its place among maxLong; the
// service is not read meanwhile, so the idle timer stops.
func (c *Client) readBody(ctx context.Context, r io.Reader, t *idleTimer) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxShort)) //nolint:forbidigo // bounded
	if err != nil {
		return nil, err
	}
	if len(b) < maxShort {
		return inlet.ReadAll(bytes.NewReader(b), c.options.BaseURL, c.options.MaxAnswerBytes)
	}
	t.Stop()
	select {
	case c.long <- struct{}{}:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	defer func() { <-c.long }()
	t.Reset()
	return inlet.ReadAll(io.MultiReader(bytes.NewReader(b), r), c.options.BaseURL, c.options.MaxAnswerBytes)
}

// classify returns a *NotRunError for a failed dial and an *UnknownError otherwise.
func classify(ctx context.Context, err error) error {
	var n *net.OpError
	if errors.As(err, &n) && n.Op == "dial" {
		return &NotRunError{Err: err}
	}
	return unknown(ctx, err)
}

func unknown(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		err = c
	}
	return &UnknownError{Err: err}
}

// progressReader calls onProgress after each read of at least one byte.
type progressReader struct {
	reader     io.Reader
	onProgress func()
}

func (r *progressReader) Read(b []byte) (int, error) {
	n, err := r.reader.Read(b)
	if n > 0 {
		r.onProgress()
	}
	return n, err
}
