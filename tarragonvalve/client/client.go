// Package client calls the administration API. Its errors distinguish refusals,
// changes with an unknown outcome and unreachable entries.
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
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"tarragonvalve.example/core/inlet"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/core/refuse"
)

// Options configures a Client.
type Options struct {
	// Addresses are URLs of entries' administration ports, tried in order.
	Addresses []string
	// Key is the operator key.
	Key string
	// Timeout limits an operation, over all addresses and retries.
	Timeout time.Duration
	// CAFile is the path of a PEM file with the certificates that may sign the entries'
	// certificates; empty for those of the operating system.
	CAFile string
	// Unencrypted allows http addresses.
	Unencrypted bool
}

// Client calls the administration API with the functions Get, Post and Change.
type Client struct {
	o    Options
	http *http.Client
}

const (
	dialTimeout = 2 * time.Second
	// replyMargin is added to the timeout that is sent to the entry, so that its answer
	// arrives before the client gives up.
	replyMargin = 500 * time.Millisecond
	// maxReplyBytes is the maximum size of a reply; the largest is a long time line.
	maxReplyBytes = 64 << 20
	// maxRounds is how often all addresses are tried for a read, or for a change whose
	// answer was lost.
	maxRounds     = 3
	retryInterval = 200 * time.Millisecond
)

// New returns a client. It returns an error if there is no address, if an address is
// not an http or https URL or is http without Unencrypted, or if the CA file is unusable.
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
	t := inlet.NewTransport((&net.Dialer{Timeout: dialTimeout}).DialContext)
	t.TLSHandshakeTimeout, t.ResponseHeaderTimeout, t.DisableKeepAlives = dialTimeout, o.Timeout+replyMargin, true
	if o.CAFile != "" {
		p, err := loadCertPool(o.CAFile)
		if err != nil {
			return nil, err
		}
		t.TLSClientConfig = &tls.Config{RootCAs: p, MinVersion: tls.VersionTLS12}
	}
	return &Client{o: o, http: &http.Client{Transport: t}}, nil //nolint:forbidigo // the field, not the type
}

// loadCertPool returns the certificates of a PEM file.
func loadCertPool(file string) (*x509.CertPool, error) {
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

// RefusedError reports that an entry refused a request.
type RefusedError struct {
	Refusal opsapi.Error
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s (%s): %s", e.Refusal.Code, e.Refusal.Ran, e.Refusal.Message)
}

// UnknownOutcomeError reports a change that was sent but whose answer was lost on every
// try, so that it may or may not have taken effect.
type UnknownOutcomeError struct {
	// Op is the method and the path.
	Op  string
	Err error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("%s: outcome unknown, the answer was lost: %v", e.Op, e.Err)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// UnreachableError reports that no entry answered. A change had no effect: none of it
// was sent.
type UnreachableError struct {
	// Op is the method and the path.
	Op  string
	Err error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("%s: no entry reached: %v", e.Op, e.Err)
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// Get reads a path of the API with a query.
func Get[T any](ctx context.Context, c *Client, path string, q url.Values) (T, error) {
	if len(q) > 0 {
		path += "?" + q.Encode()
	}
	return do[T](ctx, c, http.MethodGet, path, nil, false)
}

// Post sends a request that changes no generation. It is not retried after the addresses
// were tried once.
func Post[T any](ctx context.Context, c *Client, path string, body any) (T, error) {
	return post[T](ctx, c, path, body, false)
}

// Change sends a request that changes the system and retries it if the answer is lost.
// The request must be idempotent, for example by a token in its body.
func Change[T any](ctx context.Context, c *Client, path string, body any) (T, error) {
	return post[T](ctx, c, path, body, true)
}

// NewToken returns a random token that identifies a change when it is retried.
func NewToken() string {
	return rand.Text()
}

func post[T any](ctx context.Context, c *Client, path string, body any, isChange bool) (T, error) {
	b, err := json.Marshal(body)
	if err != nil {
		var zero T
		return zero, fmt.Errorf("encode request: %w", err)
	}
	return do[T](ctx, c, http.MethodPost, path, b, isChange)
}

// do sends a request to the addresses in order until an entry answers or refuses it. It
// retries reads and changes in up to maxRounds rounds; the body, with its token, stays
// the same. A change of which nothing was sent had no effect.
func do[T any](ctx context.Context, c *Client, method, path string, body []byte, isChange bool) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.Timeout+replyMargin)
	defer cancel()
	var zero T
	var last error
	sent := false
	for n := range maxRounds {
		if n > 0 && !waitToRetry(ctx) {
			break
		}
		for _, a := range c.o.Addresses {
			out, wrote, err := send[T](ctx, c, method, a+opsapi.BasePath+path, body)
			var refused *RefusedError
			if err == nil || errors.As(err, &refused) {
				return out, err
			}
			last = err
			sent = sent || wrote
		}
		if !isChange && method == http.MethodPost {
			break
		}
	}
	op := method + " " + path
	if sent && isChange {
		return zero, &UnknownOutcomeError{Op: op, Err: last}
	}
	return zero, &UnreachableError{Op: op, Err: last}
}

// waitToRetry waits for retryInterval. It returns false if ctx ends before.
func waitToRetry(ctx context.Context) bool {
	t := time.NewTimer(retryInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// send sends a request to one address and reports whether any of it was written.
func send[T any](ctx context.Context, c *Client, method, address string, body []byte) (T, bool, error) {
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
	b, err := inlet.ReadAll(p.Body, address, maxReplyBytes)
	if err != nil {
		return out, true, fmt.Errorf("read reply: %w", err)
	}
	if p.StatusCode != http.StatusOK {
		return out, true, decodeRefusal(p.StatusCode, b)
	}
	if err := json.Unmarshal(b, &out); err != nil {
		return out, true, fmt.Errorf("decode reply: %w", err)
	}
	return out, true, nil
}

// decodeRefusal returns the refusal in an error body. A body of another form comes from
// an intermediary such as a proxy, which is no proof that the entry refused the change.
func decodeRefusal(status int, b []byte) error {
	var e opsapi.ErrorReply
	if err := json.Unmarshal(b, &e); err != nil || e.Error.Code == "" {
		return fmt.Errorf("status %d without an error body: %.80q", status, strings.TrimSpace(string(b)))
	}
	return &RefusedError{Refusal: e.Error}
}

// OutcomeUnknown reports whether the refused change may have taken effect.
func (e *RefusedError) OutcomeUnknown() bool {
	return e.Refusal.Code == refuse.OutcomeUnknown || e.Refusal.Ran == refuse.Unknown
}
