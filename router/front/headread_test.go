package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ending"
)

// boundedReporter sets the bounds of heads that a Server has without a configuration.
func boundedReporter(r *endReporter) *endReporter {
	r.waiting = newWaiting(1000)
	r.headLimits = func() headLimits { return headLimits{bytes: maxHeaderBytes, time: headerTimeout} }
	return r
}

// wantStatuses reads the answers on a connection, whole, and fails the test if they have other statuses.
func wantStatuses(t *testing.T, c net.Conn, r *bufio.Reader, want []int) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	for _, w := range want {
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, a.Body); err != nil || a.StatusCode != w {
			t.Errorf("got %d %v, want %d", a.StatusCode, err, w)
		}
		a.Body.Close()
	}
}

// Guards against a request that is not served because a few empty lines come before it, and against one that is served
// after more of them than are skipped.
func TestEmptyLines(t *testing.T) {
	t.Parallel()
	const get, post = "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n\r\n\r\n"
	many := strings.Repeat("\r\n", maxEmptyBytes)
	tests := map[string]struct {
		// parts are sent with a pause in between.
		parts []string
		want  []int
	}{
		"first":                 {[]string{"\r\n\r\n" + get}, []int{200}},
		"first, in parts":       {[]string{"\r", "\n", "\n" + get}, []int{200}},
		"second":                {[]string{get, "\r\n" + get}, []int{200, 200}},
		"second, in parts":      {[]string{get, "\r\n", "\r\n", get}, []int{200, 200}},
		"after a body":          {[]string{post, "\r\n" + get}, []int{200, 200}},
		"head in parts":         {[]string{get + "GET / HTTP/1.1\r\nHost: a\r\n", "\r\n"}, []int{200, 200}},
		"head in parts, twice":  {[]string{get + "GET / HTTP/1.1\r\nHost: a", "\r\n\r\n" + get}, []int{200, 200, 200}},
		"too many":              {[]string{many + get}, []int{400}},
		"too many, second":      {[]string{get, many + get}, []int{200, 400}},
		"too many, in one line": {[]string{strings.Repeat("\r", maxEmptyBytes), "\r\n" + get}, []int{400}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serveClients(t, time.Second, func(w http.ResponseWriter, q *http.Request) {
				b, err := io.ReadAll(q.Body)
				if err != nil {
					t.Errorf("read: %v", err)
				}
				w.Write(b)
			})
			o := s.dial("")
			r := bufio.NewReader(o)
			for _, p := range c.parts {
				if _, err := io.WriteString(o, p); err != nil {
					t.Fatal(err)
				}
				time.Sleep(20 * time.Millisecond)
			}
			wantStatuses(t, o, r, c.want)
		})
	}
}

// Guards against a request whose headers have just the length that is allowed and that is refused, or is cut off while it
// is served, and against one with longer headers that is served.
func TestHeadOfLimit(t *testing.T) {
	t.Parallel()
	const start, end = "GET / HTTP/1.1\r\nHost: a\r\nX: ", "\r\n\r\n"
	head := func(n int) string { return start + strings.Repeat("x", n-len(start)-len(end)) + end }
	tests := map[string]struct {
		send string
		want []int
	}{
		"of the limit":        {head(maxHeaderBytes), []int{200}},
		"of the limit, twice": {head(maxHeaderBytes) + head(maxHeaderBytes), []int{200, 200}},
		"beyond the limit":    {head(maxHeaderBytes + 1), []int{431}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serveClients(t, time.Second, func(w http.ResponseWriter, q *http.Request) {
				time.Sleep(50 * time.Millisecond)
				if q.Context().Err() != nil {
					t.Error("the request was cancelled")
				}
				w.Write([]byte("fine"))
			})
			o := s.dial("")
			go io.WriteString(o, c.send) // fails if the head is refused
			r := bufio.NewReader(o)
			wantStatuses(t, o, r, c.want)
		})
	}
}

// Guards against connections that give way although they have sent a whole head, and against bounds that are not kept.
func TestWaiting(t *testing.T) {
	t.Parallel()
	w := &waiting{number: 2, bytes: 1000}
	cs := make([]*clientConn, 4)
	for i := range cs {
		cs[i] = &clientConn{}
	}
	if w.add(cs[0]) != nil || w.add(cs[1]) != nil {
		t.Fatal("a connection had to give way below the bound")
	}
	w.whole(cs[0])
	if w.add(cs[2]) != nil {
		t.Fatal("a connection with a whole head counts as waiting")
	}
	if o := w.add(cs[3]); o != cs[1] {
		t.Fatal("another connection than the longest waiting one gave way")
	}
	if ok, _ := w.read(cs[0], ordinaryHead+600); !ok {
		t.Fatal("no memory for the first head")
	}
	if ok, o := w.read(cs[0], ordinaryHead+1200); ok || o != nil {
		t.Fatal("a connection that had sent a whole head gave way, or the bound was exceeded")
	}
	if ok, _ := w.read(cs[2], ordinaryHead+300); !ok {
		t.Fatal("no memory for the second head")
	}
	if ok, o := w.read(cs[3], ordinaryHead+300); ok || o != cs[2] {
		t.Fatal("another connection than the one with the oldest head gave way")
	}
	if ok, _ := w.read(cs[3], ordinaryHead); !ok {
		t.Fatal("an ordinary head has to wait")
	}
	if !w.begin(cs[0], ordinaryHead+600) || w.begin(cs[2], ordinaryHead+600) || !w.begin(cs[3], ordinaryHead) {
		t.Fatal("the bound of heads in progress isn't kept")
	}
	for _, c := range cs {
		w.end(c)
	}
	if w.reading != 0 || w.served != 0 || w.unused.Len() != 0 || w.large.Len() != 0 {
		t.Errorf("left: %d and %d bytes, %d and %d connections", w.reading, w.served, w.unused.Len(), w.large.Len())
	}
}

// Guards against an evicted connection whose request has been read and is not answered, and against one that has sent a
// part of a head and is closed without a refusal that says that it didn't run.
func TestEvict(t *testing.T) {
	t.Parallel()
	s := serveClients(t, time.Second, func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("fine")) })
	o := s.dial("GET / HTTP/1.1\r\nHost")
	s.awaitBytes()
	s.server.conns.mu.Lock()
	for c := range s.server.conns.open {
		c.(*clientConn).evict()
	}
	s.server.conns.mu.Unlock()
	o.SetReadDeadline(time.Now().Add(10 * time.Second))
	a, err := http.ReadResponse(bufio.NewReader(o), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil || a.StatusCode != http.StatusServiceUnavailable || a.Header.Get("Retry-After") == "" || !strings.Contains(string(b), "not-run") {
		t.Errorf("got %d %v %s %v", a.StatusCode, a.Header, b, err)
	}
	s.await("cause", string(ending.TooManyWaiting))
}

// Guards against a refusal that is written into the answer of a request in progress, or a cancelled request, because the
// time of a head ends, or bytes of a further head arrive, while the request is served.
func TestHeadTimeDuringRequest(t *testing.T) {
	t.Parallel()
	const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	tests := map[string][]string{
		"nothing more":        {get},
		"part of a next head": {get, "GE"},
		"pipelined":           {get + get, "G"},
		"pipelined in parts":  {get + "GET / HTTP/1.1\r\n", "Host: a\r\n\r\n" + get, "G"},
	}
	for name, parts := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, accepted := connect(t)
			r := boundedReporter(&endReporter{log: zerolog.Nop(), arrivals: arrivals{overdue: func() time.Duration { return 0 }}, gate: &Gate{}})
			r.headLimits = func() headLimits { return headLimits{bytes: maxHeaderBytes, time: 100 * time.Millisecond} }
			var conns connections
			h := &http.Server{ConnState: conns.track, ConnContext: withConn, ReadHeaderTimeout: time.Minute, Handler: r.handler(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				select {
				case <-q.Context().Done():
					t.Error("the request was cancelled")
				case <-time.After(300 * time.Millisecond):
				}
				w.Write([]byte("fine"))
			}))}
			t.Cleanup(func() { h.Close() })
			l := &oneConnection{accept: make(chan net.Conn, 1), closed: make(chan struct{})}
			l.accept <- r.accepted(accepted, nil)
			go h.Serve(l)
			all := strings.Join(parts, "")
			for _, p := range parts {
				if _, err := io.WriteString(client, p); err != nil {
					t.Fatal(err)
				}
				time.Sleep(10 * time.Millisecond)
			}
			b := bufio.NewReader(client)
			client.SetReadDeadline(time.Now().Add(10 * time.Second))
			for range strings.Count(all, "\r\n\r\n") {
				a, err := http.ReadResponse(b, nil)
				if err != nil {
					t.Fatal(err)
				}
				if got, err := io.ReadAll(a.Body); err != nil || a.StatusCode != http.StatusOK || string(got) != "fine" {
					t.Errorf("got %d %q %v", a.StatusCode, got, err)
				}
				a.Body.Close()
			}
		})
	}
}

// oneConnection is a listener that accepts one connection.
type oneConnection struct {
	accept chan net.Conn
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *oneConnection) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It must be called once; http.Server does so.
func (l *oneConnection) Close() error {
	close(l.closed)
	return nil
}

// Addr implements net.Listener.
func (l *oneConnection) Addr() net.Addr { return &net.TCPAddr{} }
