package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Call is a request of a client.
type Call struct {
	Method, Path, Key, Body string
	Header                  map[string]string
	Deadline                time.Duration
}

// Reply is what a client got.
type Reply struct {
	ID     string
	Path   string
	Sent   time.Time
	Took   time.Duration
	Status int
	Body   string
	// Signed is true if the answer bears a server's signature.
	Signed bool
	Err    error
}

// String describes the reply for the record.
func (r Reply) String() string {
	if r.Err != nil {
		return fmt.Sprintf("request %s ends after %d ms: status %d, %v", r.ID, r.Took.Milliseconds(), r.Status, r.Err)
	}
	return fmt.Sprintf("request %s answered after %d ms: status %d, signed %t", r.ID, r.Took.Milliseconds(), r.Status, r.Signed)
}

// host is the host of all routes.
const host = "front.example"

var lastID atomic.Int64

// newClient returns a client with connections of its own.
func newClient() *http.Client {
	t := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 16, DisableCompression: true}
	return &http.Client{Transport: t}
}

// send sends a request with an id of its own and reads the answer.
func send(c *http.Client, address string, x Call, r *Record) Reply {
	id := fmt.Sprintf("%016x", 0x5a00_0000_0000+lastID.Add(1))
	ctx, stop := context.WithTimeout(context.Background(), x.Deadline+time.Second)
	defer stop()
	q, err := http.NewRequestWithContext(ctx, x.Method, "http://"+address+x.Path, strings.NewReader(x.Body))
	if err != nil {
		panic(err)
	}
	q.Host = host
	q.Header.Set("Tarragonvalve-Attempt-Id", id)
	q.Header.Set("Tarragonvalve-Deadline-Ms", fmt.Sprint(x.Deadline.Milliseconds()))
	if x.Key != "" {
		q.Header.Set("Authorization", "Bearer "+x.Key)
	}
	for k, v := range x.Header {
		q.Header.Set(k, v)
	}
	out := Reply{ID: id, Path: x.Path, Sent: time.Now()}
	if r != nil {
		r.AddAt(out.Sent, "request %s sent: %s %s to %s", id, x.Method, x.Path, address)
	}
	a, err := c.Do(q)
	if err == nil {
		out.Status = a.StatusCode
		out.Signed = a.Header.Get("Tarragonvalve-Server-Signature") != ""
		var b []byte
		b, err = io.ReadAll(a.Body)
		out.Body = string(b)
		a.Body.Close()
	}
	out.Err = err
	out.Took = time.Since(out.Sent)
	if r != nil {
		r.Add("%s", out)
	}
	return out
}
