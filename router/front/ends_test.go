package front

import (
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"tarragonvalve.example/core/ending"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/router/relay"
)

// crossingConn is a connection that counts as idle for too long while the server reads from it.
type crossingConn struct {
	net.Conn
	server *Server
}

func (c crossingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.server.conns.endIdle(0, 0)
	}
	return n, err
}

// untilCut waits for the end of a request's context and then acts as a handler whose answer had begun.
func untilCut(w http.ResponseWriter, q *http.Request) {
	w.WriteHeader(http.StatusOK)
	http.NewResponseController(w).Flush()
	<-q.Context().Done()
	x := exchangeOf(q.Context())
	x.sending.Store(true)
	x.end(q.Context(), &relay.TruncatedError{Err: refuse.New(refuse.UpstreamFailed, refuse.Unknown, "cut")})
	panic(http.ErrAbortHandler)
}

// Guards against a connection that ends without a complete answer and no log line or counter that says why, and
// against one that is reported twice. TestConnectionEnds in boot has the causes that need an upstream.
func TestEnds(t *testing.T) {
	t.Parallel()
	const grace = time.Second
	blocked := make(chan struct{})
	t.Cleanup(func() { close(blocked) })
	never := func(http.ResponseWriter, *http.Request) { t.Error("the handler was called") }
	fine := func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("fine")) }
	head, _, _ := strings.Cut(order, "\r\n\r\n")
	tests := map[string]struct {
		handler http.HandlerFunc
		// send is what the client sends, and gone whether it then closes its connection.
		send string
		gone bool
		// stop is true if the server is stopped after the send.
		stop  bool
		cause ending.Cause
		// request is the id in the line, status the one of an answer of net/http; both may be absent.
		request, status any
	}{
		"closed while headers arrive": {handler: never, send: head, stop: true, cause: ending.ClosedWhileIdle},
		"cut at the end of a drain":   {handler: untilCut, send: order, stop: true, cause: ending.DrainEnded, request: "1"},
		"handler that goes on":        {handler: func(http.ResponseWriter, *http.Request) { <-blocked }, send: order, stop: true, cause: ending.ServerClosed, request: "1"},
		"gone within the headers":     {handler: never, send: head, gone: true, cause: ending.ClientGone},
		"headers that don't end":      {handler: never, send: head, cause: ending.HeaderTimeout},
		"no HTTP":                     {handler: never, send: "hello\r\n\r\n", cause: ending.ProtocolError, status: 400.0},
		"long headers":                {handler: never, send: head + "\r\nLong: " + strings.Repeat("x", 2*maxHeaderBytes) + "\r\n\r\n", cause: ending.ProtocolError, status: 431.0},
		"transfer coding":             {handler: never, send: head + "\r\nTransfer-Encoding: gzip\r\n\r\n", cause: ending.ProtocolError, status: 501.0},
		"expectation":                 {handler: never, send: strings.Replace(order, "\r\n", "\r\nExpect: more\r\n", 1), cause: ending.ProtocolError, status: 417.0},
		"second request is no HTTP":   {handler: fine, send: order + "hello\r\n\r\n", cause: ending.ProtocolError, status: 400.0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serveClients(t, grace, c.handler)
			o := s.dial(c.send)
			if c.gone {
				o.Close()
			}
			if c.stop {
				s.awaitBytes()
				s.stop()
			}
			l := s.await("cause", string(c.cause))
			if l["request"] != c.request || l["status"] != c.status || l["message"] != "connection ended: "+string(c.cause) {
				t.Errorf("line %v, want request %v and status %v", l, c.request, c.status)
			}
			if _, ok := l["since-stop"]; ok != c.stop {
				t.Errorf("line %v, want the time since the stop: %v", l, c.stop)
			}
			if cs := s.counted(); !slices.Equal(cs, []ending.Cause{c.cause}) {
				t.Errorf("counted %v, want %s once", cs, c.cause)
			}
		})
	}
}

// Guards against lines for connections that end as they should, and against idle closes that are not counted.
func TestProperEnds(t *testing.T) {
	t.Parallel()
	fine := func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("fine")) }
	tests := map[string]struct {
		send string
		// gone is true if the client closes the connection, else the server does so in its shutdown.
		gone bool
		// crossed is true if the connection counts as idle for too long while the request is read.
		crossed bool
		want    []ending.Cause
	}{
		"closed by the client":                {send: order, gone: true},
		"never used":                          {gone: true},
		"closed in a shutdown":                {send: order, want: []ending.Cause{ending.Idle}},
		"never used until a shutdown":         {want: []ending.Cause{ending.Idle}},
		"closed with the answer":              {send: strings.Replace(order, "\r\n", "\r\nConnection: close\r\n", 1), gone: true},
		"general question without a path":     {send: "OPTIONS * HTTP/1.1\r\nHost: shop.example\r\n\r\n", gone: true},
		"request read as its connection ends": {send: order, gone: true, crossed: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serveClientsOn(t, time.Second, fine, func(o net.Conn, x *Server) net.Conn {
				if c.crossed {
					return crossingConn{Conn: o, server: x}
				}
				return o
			})
			o := s.dial(c.send)
			if c.send != "" {
				if status, body, err := answer(o); status != http.StatusOK || err != nil {
					t.Fatalf("got %d %q %v", status, body, err)
				}
			}
			if !c.gone || c.send == "" {
				s.awaitConnections(1)
			}
			if c.gone {
				o.Close()
				s.awaitConnections(0)
			}
			s.stop()
			s.await("message", "stopping: connections are closed")
			o.SetReadDeadline(time.Now().Add(10 * time.Second))
			if _, err := o.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				t.Errorf("read: %v, want the end", err)
			}
			if cs := s.counted(); !slices.Equal(cs, c.want) {
				t.Errorf("counted %v, want %v", cs, c.want)
			}
			if strings.Contains(s.text(), "connection ended") {
				t.Error("a proper end has a line")
			}
		})
	}
}
