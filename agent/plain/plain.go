// Package plain is the client of a plain service over HTTP with Idempotency-Key.
// It tells calls that are proven not to have run from those whose outcome is unknown.
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
)

// Options are the settings of a Client.
type Options struct {
	// Base is the service's URL without a path.
	Base      string
	DialLimit time.Duration
	// SilenceLimit bounds the time without any byte from the service.
	SilenceLimit time.Duration
	// MaxAnswer bounds an answer's body in bytes.
	MaxAnswer int64
}

// Default returns the limits for a service at an address. An answer of 3 MiB
// fits a gRPC message, which is limited to 4 MiB.
func Default(base string) Options {
	return Options{
		Base:         base,
		DialLimit:    time.Second,
		SilenceLimit: 10 * time.Second,
		MaxAnswer:    3 << 20,
	}
}

// Call is one call to the service.
type Call struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Key is sent as Idempotency-Key unless it is empty.
	Key string
	// Request is sent as X-Request-Id.
	Request string
}

// Result is the service's answer.
type Result struct {
	StatusCode  int
	ContentType string
	Body        []byte
}

// NotRunError reports a call that was not sent, so it did not run and won't.
type NotRunError struct {
	Err error
}

func (e *NotRunError) Error() string {
	return fmt.Sprintf("connect to the service: %v", e.Err)
}

func (e *NotRunError) Unwrap() error {
	return e.Err
}

// UnknownError reports a call that was sent, or may have been, without an answer.
type UnknownError struct {
	Err error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("call the service: no complete answer: %v", e.Err)
}

func (e *UnknownError) Unwrap() error {
	return e.Err
}

// TooLargeError reports a call that ran but whose answer is too large to pass on.
type TooLargeError struct {
	Status int
	Limit  int64
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("call the service: the answer with status %d has more than %d bytes", e.Status, e.Limit)
}

// SilentError reports that no byte arrived within the silence limit.
type SilentError struct {
	Limit time.Duration
}

func (e *SilentError) Error() string {
	return fmt.Sprintf("no byte from the service for %v", e.Limit)
}

// Client talks to one plain service. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	dialer  *net.Dialer
}

// maxIdleConns covers the parallel calls of one service.
const maxIdleConns = 64

// New returns a client.
func New(o Options) *Client {
	d := &net.Dialer{Timeout: o.DialLimit}
	return &Client{options: o, dialer: d, http: &http.Client{
		Transport: &http.Transport{
			DialContext:         d.DialContext,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
		},
		// A redirect would send the call a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Do makes a call that may run more than once: net/http repeats it when a
// reused connection breaks. It returns a *NotRunError with proof that the call
// was not sent, a *TooLargeError for an answer that can't be passed on, and an
// *UnknownError for every other failure.
func (c *Client) Do(ctx context.Context, k Call) (*Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := c.silence(cancel)
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

func (c *Client) silence(cancel context.CancelCauseFunc) *time.Timer {
	e := &SilentError{Limit: c.options.SilenceLimit}
	return time.AfterFunc(c.options.SilenceLimit, func() { cancel(e) })
}

func (c *Client) request(ctx context.Context, k Call) (*http.Request, error) {
	if !strings.HasPrefix(k.Path, "/") {
		return nil, fmt.Errorf("make request: path %q does not start with a slash", k.Path)
	}
	req, err := http.NewRequestWithContext(ctx, k.Method, c.options.Base+k.Path, bytes.NewReader(k.Body))
	if err != nil {
		return nil, err
	}
	if k.ContentType != "" {
		req.Header.Set("Content-Type", k.ContentType)
	}
	if k.Key != "" {
		req.Header.Set("Idempotency-Key", k.Key)
	}
	if k.Request != "" {
		req.Header.Set("X-Request-Id", k.Request)
	}
	return req, nil
}

func (c *Client) read(ctx context.Context, res *http.Response, t *time.Timer) (*Result, error) {
	r := &fedReader{reader: io.LimitReader(res.Body, c.options.MaxAnswer+1), fed: func() { t.Reset(c.options.SilenceLimit) }}
	b, err := io.ReadAll(r)
	if err != nil {
		return nil, classify(ctx, err)
	}
	if int64(len(b)) > c.options.MaxAnswer {
		return nil, &TooLargeError{Status: res.StatusCode, Limit: c.options.MaxAnswer}
	}
	return &Result{StatusCode: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: b}, nil
}

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

type fedReader struct {
	reader io.Reader
	fed    func()
}

func (r *fedReader) Read(b []byte) (int, error) {
	n, err := r.reader.Read(b)
	if n > 0 {
		r.fed()
	}
	return n, err
}
