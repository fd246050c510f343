// Package client calls the administration API and tells refusals, unknown
// outcomes and unreachable entries apart.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/core/refuse"
)

// Options configures a Client.
type Options struct {
	// Addresses are URLs of entries' administration ports, tried in order.
	Addresses []string
	Key       string
	// Timeout bounds one operation over all addresses.
	Timeout time.Duration
	// CAFile holds the certificates that may sign the entries' certificates; empty for the system's.
	CAFile string
	// Unencrypted allows http addresses.
	Unencrypted bool
}

// Client calls the administration API.
type Client struct {
	o    Options
	http *http.Client
}

const (
	dialTimeout = 2 * time.Second
	// replyMargin leaves the entry time to answer before the client gives up.
	replyMargin = 500 * time.Millisecond
	// maxReply bounds a reply; the largest is a long time line.
	maxReply = 64 << 20
	// repeats bounds the tries of a change whose answer was lost.
	repeats    = 3
	repeatWait = 200 * time.Millisecond
)

// New returns a client. It fails on addresses that are not allowed.
func New(o Options) (*Client, error) {
	if len(o.Addresses) == 0 {
		return nil, errors.New("no address of an entry's administration port")
	}
	for _, a := range o.Addresses {
		u, err := url.Parse(a)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, fmt.Errorf("address %q: want https://IP:PORT or http://IP:PORT", a)
		}
		if u.Scheme == "http" && !o.Unencrypted {
			return nil, fmt.Errorf("address %q: unencrypted connections need --unencrypted", a)
		}
	}
	t := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSHandshakeTimeout:   dialTimeout,
		DisableKeepAlives:     true,
		ResponseHeaderTimeout: o.Timeout + replyMargin,
	}
	if o.CAFile != "" {
		p, err := pool(o.CAFile)
		if err != nil {
			return nil, err
		}
		t.TLSClientConfig = &tls.Config{RootCAs: p, MinVersion: tls.VersionTLS12}
	}
	return &Client{o: o, http: &http.Client{Transport: t}}, nil
}

func pool(file string) (*x509.CertPool, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read certificates: %w", err)
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, fmt.Errorf("read certificates: %s holds none", file)
	}
	return p, nil
}

// RefusedError is a refusal by the entry.
type RefusedError struct {
	Refusal opsapi.Error
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s (%s): %s", e.Refusal.Code, e.Refusal.Ran, e.Refusal.Message)
}

// UnknownError reports a change whose answer was lost on every try.
type UnknownError struct {
	Op  string
	Err error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("%s: outcome unknown, the answer was lost: %v", e.Op, e.Err)
}

func (e *UnknownError) Unwrap() error { return e.Err }

// UnreachableError reports that no entry could be reached.
type UnreachableError struct {
	Op  string
	Err error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("%s: no entry reached: %v", e.Op, e.Err)
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// Get reads from the API.
func Get[T any](ctx context.Context, c *Client, path string, q url.Values) (T, error) {
	if len(q) > 0 {
		path += "?" + q.Encode()
	}
	return do[T](ctx, c, http.MethodGet, path, nil, false)
}

// Post sends a request that changes nothing, or whose repeat is harmless.
func Post[T any](ctx context.Context, c *Client, path string, body any) (T, error) {
	return post[T](ctx, c, path, body, false)
}

// Change sends a request that makes a generation. It is repeated when its answer
// is lost, which is safe since the body carries a token.
func Change[T any](ctx context.Context, c *Client, path string, body any) (T, error) {
	return post[T](ctx, c, path, body, true)
}

// NewToken returns a token that names one change over its repeats.
func NewToken() string {
	return rand.Text()
}

func post[T any](ctx context.Context, c *Client, path string, body any, changes bool) (T, error) {
	b, err := json.Marshal(body)
	if err != nil {
		var zero T
		return zero, fmt.Errorf("encode request: %w", err)
	}
	return do[T](ctx, c, http.MethodPost, path, b, changes)
}

// do tries the addresses in order. A request that was not written had no effect;
// a lost answer of a change is followed up with the same token.
func do[T any](ctx context.Context, c *Client, method, path string, body []byte, changes bool) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.Timeout+replyMargin)
	defer cancel()
	var zero T
	var last error
	sent := false
	for n := range repeats {
		if n > 0 && !pause(ctx) {
			break
		}
		for _, a := range c.o.Addresses {
			out, wrote, err := once[T](ctx, c, method, a+opsapi.BasePath+path, body)
			var refused *RefusedError
			if err == nil || errors.As(err, &refused) {
				return out, err
			}
			last = err
			sent = sent || wrote
		}
		if !changes && method == http.MethodPost {
			break
		}
	}
	op := method + " " + path
	if sent && changes {
		return zero, &UnknownError{Op: op, Err: last}
	}
	return zero, &UnreachableError{Op: op, Err: last}
}

func pause(ctx context.Context) bool {
	t := time.NewTimer(repeatWait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// once sends one request and reports whether any of it was written.
func once[T any](ctx context.Context, c *Client, method, address string, body []byte) (T, bool, error) {
	var out T
	var wrote atomic.Bool
	t := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { wrote.Store(true) }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, t), method, address, bytes.NewReader(body))
	if err != nil {
		return out, false, err
	}
	r.Header.Set("Authorization", "Bearer "+c.o.Key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Tarragonvalve-Timeout-Ms", strconv.FormatInt(c.o.Timeout.Milliseconds(), 10))
	p, err := c.http.Do(r)
	if err != nil {
		return out, wrote.Load(), err
	}
	defer p.Body.Close()
	b, err := io.ReadAll(io.LimitReader(p.Body, maxReply+1))
	if err != nil {
		return out, true, fmt.Errorf("read reply: %w", err)
	}
	if len(b) > maxReply {
		return out, true, fmt.Errorf("read reply: more than %d bytes", maxReply)
	}
	if p.StatusCode != http.StatusOK {
		return out, true, refusal(p.StatusCode, b)
	}
	if err := json.Unmarshal(b, &out); err != nil {
		return out, true, fmt.Errorf("decode reply: %w", err)
	}
	return out, true, nil
}

// refusal reads an error body. A body of another form comes from something
// between the command and the entry, which proves nothing about the change.
func refusal(status int, b []byte) error {
	var e opsapi.ErrorReply
	if err := json.Unmarshal(b, &e); err != nil || e.Error.Code == "" {
		return fmt.Errorf("status %d without an error body: %.80q", status, strings.TrimSpace(string(b)))
	}
	return &RefusedError{Refusal: e.Error}
}

// OutcomeUnknown reports whether a refusal leaves the outcome of a change open.
func (e *RefusedError) OutcomeUnknown() bool {
	return e.Refusal.Code == refuse.OutcomeUnknown || e.Refusal.Ran == refuse.Unknown
}
