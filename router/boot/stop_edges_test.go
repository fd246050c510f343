package boot

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"tarragonvalve.example/standin/server"
)

// step is one action of a client that writes to its connection itself.
type step interface{ step() }

type (
	// segment is sent by a write of its own.
	segment string
	// wait is the time until the next step.
	wait time.Duration
	// halfClose ends the client's sending side.
	halfClose struct{}
)

func (segment) step()   {}
func (wait) step()      {}
func (halfClose) step() {}

// exchange is what a client does on one connection.
type exchange struct {
	// ids are those of the requests in steps.
	ids   []string
	steps []step
	// rate is how fast the client reads, in bytes per second; 0 means at once.
	rate int
}

// pacedReader reads at most rate bytes per second on average.
type pacedReader struct {
	io.Reader
	rate  int
	began time.Time
	n     int
}

func (p *pacedReader) Read(b []byte) (int, error) {
	if p.began.IsZero() {
		p.began = time.Now()
	}
	time.Sleep(time.Until(p.began.Add(time.Duration(p.n) * time.Second / time.Duration(p.rate))))
	n, err := p.Reader.Read(b[:min(len(b), 16<<10)])
	p.n += n
	return n, err
}

// networkSegment is the size, in bytes, of a TCP segment on most networks. Those of the loopback device are much
// larger, so that a sender's buffer takes a whole answer at once.
const networkSegment = 1448

// dial opens a connection to the router's clients' address with segments of networkSegment.
func (w *harness) dial() (*net.TCPConn, error) {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, networkSegment)
		})
		return errors.Join(err, optErr)
	}}
	c, err := d.Dial("tcp", w.clients)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// converse takes the steps of x on a new connection and returns the responses to its requests by id.
func (w *harness) converse(x exchange) map[string]response {
	rs := map[string]response{}
	c, err := w.dial()
	if err != nil {
		for _, id := range x.ids {
			rs[id] = response{id: id, err: err}
		}
		return rs
	}
	defer c.Close()
	// This only ends a broken run.
	if err := c.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		w.t.Error(err)
	}
	for _, s := range x.steps {
		switch s := s.(type) {
		case segment:
			// A response may be there although the rest can't be sent.
			io.WriteString(c, string(s))
		case wait:
			time.Sleep(time.Duration(s))
		case halfClose:
			c.CloseWrite()
		}
	}
	var r io.Reader = c
	if x.rate > 0 {
		r = &pacedReader{Reader: c, rate: x.rate}
	}
	b := bufio.NewReader(r)
	for _, id := range x.ids {
		rs[id] = readResponse(b, id)
	}
	return rs
}

// readResponse reads one response.
func readResponse(r *bufio.Reader, id string) response {
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		return response{id: id, err: err}
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return response{status: a.StatusCode, body: string(b), header: a.Header, err: err, id: id}
}

// head returns the headers of a POST request with a deadline in ms. framing holds further header lines.
func head(path, id string, deadline int, framing string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer key-1\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Deadline-Ms: %d\r\n%s\r\n", path, id, deadline, framing)
}

const (
	chunked = "Transfer-Encoding: chunked\r\n"
	sized   = "Content-Length: 11\r\n"
	// wholeBody is the body of the requests, as their upstream gets it, and chunks the same in two chunks
	// without the last one.
	wholeBody = "hello world"
	chunks    = "6\r\nhello \r\n5\r\nworld\r\n"
	lastChunk = "0\r\n\r\n"
	// gap is the time between segments in which the router reads the one before.
	gap = wait(5 * time.Millisecond)
)

// framings returns the ways in which clients send a request, and another one behind it, by name. Each
// begins with a request to path whose body is wholeBody.
func framings(path string, deadline int) map[string]func() exchange {
	// one returns an exchange with one request, whose body is sent by the steps.
	one := func(framing string, steps ...step) func() exchange {
		return func() exchange {
			id := nextID()
			return exchange{ids: []string{id}, steps: slices.Concat([]step{segment(head(path, id, deadline, framing))}, steps)}
		}
	}
	// two returns an exchange with a request that follows the first after a pause.
	two := func(framing, body string, pause wait) func() exchange {
		return func() exchange {
			ids := []string{nextID(), nextID()}
			next := head(path, ids[1], deadline, sized) + wholeBody
			first := head(path, ids[0], deadline, framing) + body
			if pause == 0 {
				return exchange{ids: ids, steps: []step{segment(first + next)}}
			}
			return exchange{ids: ids, steps: []step{segment(first), pause, segment(next)}}
		}
	}
	return map[string]func() exchange{
		"half-close, sized":              one(sized, segment(wholeBody), halfClose{}),
		"half-close, chunked":            one(chunked, segment(chunks+lastChunk), halfClose{}),
		"half-close at work, sized":      one(sized, segment(wholeBody), wait(40*time.Millisecond), halfClose{}),
		"half-close at work, chunked":    one(chunked, segment(chunks+lastChunk), wait(40*time.Millisecond), halfClose{}),
		"extensions":                     one(chunked, segment("6;a=1;b=\"x;y\"\r\nhello \r\n5;c\r\nworld\r\n0;last\r\n\r\n")),
		"declared trailer":               one(chunked+"Trailer: X-Sum\r\n", segment(chunks+"0\r\nX-Sum: 1\r\n\r\n")),
		"undeclared trailer":             one(chunked, segment(chunks+"0\r\nX-Sum: 1\r\n"), gap, segment("X-More: 2\r\n\r\n")),
		"trailer with a used name":       one(chunked, segment(chunks+"0\r\nTarragonvalve-Attempt-Id: other\r\nContent-Length: 3\r\n\r\n")),
		"last chunk by itself":           one(chunked, segment(chunks), gap, segment(lastChunk)),
		"last line by itself":            one(chunked, segment(chunks+"0\r\n"), gap, segment("\r\n")),
		"last byte by itself":            one(chunked, segment(chunks+"0\r\n\r"), gap, segment("\n")),
		"sized, last byte by itself":     one(sized, segment(wholeBody[:10]), gap, segment(wholeBody[10:])),
		"line behind, sized":             one(sized, segment(wholeBody+"\r\n")),
		"line behind, chunked":           one(chunked, segment(chunks+lastChunk+"\r\n")),
		"line behind by itself, sized":   one(sized, segment(wholeBody), gap, segment("\r\n")),
		"line behind by itself, chunked": one(chunked, segment(chunks+lastChunk), gap, segment("\r\n")),
		"pipelined, sized":               two(sized, wholeBody, 0),
		"pipelined, chunked":             two(chunked, chunks+lastChunk, 0),
		"pipelined by itself, sized":     two(sized, wholeBody, gap),
		"pipelined by itself, chunked":   two(chunked, chunks+lastChunk, gap),
	}
}

// tally collects the responses of clients and reports those that break a promise. It is safe for concurrent use.
type tally struct {
	// repeatable is true if the requests may run more than once.
	repeatable bool

	mu    sync.Mutex
	names map[string]string
	all   map[string]response
}

// add adds the responses to the requests that clients of a name sent.
func (y *tally) add(name string, rs map[string]response) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.all == nil {
		y.names, y.all = map[string]string{}, map[string]response{}
	}
	for id, a := range rs {
		y.names[id], y.all[id] = name, a
	}
}

// check reports requests that reached one of ss with another body, and those that checkRuns reports.
func (y *tally) check(t *testing.T, ss ...*server.Server) {
	t.Helper()
	runs := map[string]int{}
	for _, s := range ss {
		for _, q := range s.Requests() {
			runs[q.ID()]++
			if q.Body != wholeBody {
				t.Errorf("%s %s: the upstream got the body %q", y.names[q.ID()], q.ID(), q.Body)
			}
		}
	}
	y.checkRuns(t, runs)
}

// checkRuns reports orders that ran more than once, requests that ran and have no complete response, and those whose
// response says that they did not run. runs is how often each ran, by id.
func (y *tally) checkRuns(t *testing.T, runs map[string]int) {
	t.Helper()
	counts := map[string]int{}
	for id, a := range y.all {
		counts[fmt.Sprintf("%s, ran %d, whole %t", a.outcome(), runs[id], a.err == nil)]++
		switch {
		case runs[id] > 1 && !y.repeatable:
			t.Errorf("%s %s: ran %d times", y.names[id], id, runs[id])
		case runs[id] > 0 && a.err != nil:
			t.Errorf("%s %s: ran, and the client got no complete answer: %d, %d bytes, %v", y.names[id], id, a.status, len(a.body), a.err)
		case runs[id] > 0 && promisesNotRun(a.status):
			t.Errorf("%s %s: ran, and the client got %d %s", y.names[id], id, a.status, a.body)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("%s: %d", k, counts[k])
	}
}

// outcome names what became of a request from the client's side.
func (r response) outcome() string {
	var e *net.OpError
	switch {
	case r.status != 0:
		return fmt.Sprintf("status %d", r.status)
	case errors.As(r.err, &e) && e.Op == "dial":
		return "not connected"
	default:
		return "connection closed"
	}
}

// promisesNotRun reports whether a status says that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// servers starts upstreams that have connections enough for all clients of a test, and waits until the router knows them.
func (w *harness) servers(script func(server.Request) server.Reply) []*server.Server {
	w.t.Helper()
	var ss []*server.Server
	for i := range 4 {
		ss = append(ss, w.server("desk", fmt.Sprintf("s%d", i+1), "v1", script))
	}
	w.awaitUpstreams(len(ss))
	return ss
}

// Guards against requests that are misread, or answered by nothing, because of how their body is framed, of
// what follows it on the connection, or because the client has ended its sending side.
func TestFramings(t *testing.T) {
	t.Parallel()
	w := startRouter(t, standardDocument())
	ss := w.servers(always(server.Delayed{Answer: fine, Delay: 60 * time.Millisecond}))
	var y tally
	var clients sync.WaitGroup
	for name, f := range framings("/order/1", 3000) {
		clients.Go(func() {
			x := f()
			rs := w.converse(x)
			y.add(name, rs)
			if a := rs[x.ids[0]]; !strings.HasPrefix(name, "half-close") && (a.err != nil || a.status != http.StatusOK) {
				t.Errorf("%s: got %d %s %v, want 200", name, a.status, a.body, a.err)
			}
		})
	}
	clients.Wait()
	y.check(t, ss...)
}

// Guards against requests that a stop leaves without an answer because of how their body is framed, of what
// follows it on the connection, or because the client has ended its sending side.
func TestFramingsAroundStop(t *testing.T) {
	t.Parallel()
	const grace = 4
	w := startRouterWithGrace(t, standardDocument(), grace)
	ss := w.servers(always(server.Delayed{Answer: fine, Delay: 60 * time.Millisecond}))
	var y tally
	var clients sync.WaitGroup
	stop := time.Now().Add(300 * time.Millisecond)
	for _, at := range []int{-100, -60, -20, -5, 0, 5, 20, 500, 1300, 2300, 2400, 2440, 2480, 2500, 2505, 2510, 2515, 2520, 2540} {
		for name, f := range framings("/order/1", 600) {
			clients.Go(func() {
				time.Sleep(time.Until(stop.Add(time.Duration(at) * time.Millisecond)))
				y.add(fmt.Sprintf("%s at %d ms", name, at), w.converse(f()))
			})
		}
	}
	time.Sleep(time.Until(stop))
	w.stop()
	clients.Wait()
	y.check(t, ss...)
	for id, a := range y.all {
		if a.status == http.StatusBadGateway && !strings.HasPrefix(y.names[id], "half-close") {
			t.Errorf("%s %s: got %d %s", y.names[id], id, a.status, a.body)
		}
	}
}

// Guards against answers that are cut by a stop although the client, which reads slowly, has them before its end.
func TestSlowReadersInStop(t *testing.T) {
	t.Parallel()
	stopBesideSlowReaders(t, 300_000)
}

// stopBesideSlowReaders stops a router while clients read answers of size bytes at 200 KB/s. The upstreams have long finished.
func stopBesideSlowReaders(t *testing.T, size int) {
	t.Helper()
	const (
		grace = 4
		rate  = 200_000 // bytes per second
	)
	w := startRouterWithGrace(t, document(1, route("order", "non_idempotent", "desk", "timeout_ms", 20_000)), grace)
	ss := w.servers(always(server.Answer{Status: http.StatusOK, Body: strings.Repeat("x", size)}))
	var y tally
	var clients sync.WaitGroup
	stop := time.Now().Add(500 * time.Millisecond)
	for _, at := range []int{-400, 0, 1000, 1300} {
		for _, name := range []string{"last chunk by itself", "sized, last byte by itself", "pipelined, sized"} {
			x := framings("/order/1", 20_000)[name]()
			x.rate = rate
			clients.Go(func() {
				time.Sleep(time.Until(stop.Add(time.Duration(at) * time.Millisecond)))
				y.add(fmt.Sprintf("%s at %d ms", name, at), w.converse(x))
			})
		}
	}
	time.Sleep(time.Until(stop))
	w.stop()
	clients.Wait()
	y.check(t, ss...)
}

// Guards against answers whose end is lost to a reset, as bytes behind the request are unread when the
// router closes the connection.
func TestAnswerBeforeReset(t *testing.T) {
	t.Parallel()
	// It is more than the client's receive buffer takes.
	large := server.Answer{Status: http.StatusOK, Body: strings.Repeat("x", 300_000)}
	const rate = 1_000_000 // bytes per second
	for name, stopping := range map[string]bool{"steady": false, "stopping": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startRouterWithGrace(t, standardDocument(), 4)
			ss := w.servers(always(server.Delayed{Answer: large, Delay: 60 * time.Millisecond}))
			if stopping {
				w.stop()
				time.Sleep(50 * time.Millisecond)
			}
			var y tally
			var clients sync.WaitGroup
			for name, f := range framings("/order/1", 3000) {
				if strings.HasPrefix(name, "half-close") {
					continue
				}
				clients.Go(func() {
					x := f()
					x.steps, x.rate = append(x.steps, wait(200*time.Millisecond)), rate
					rs := w.converse(x)
					y.add(name, rs)
					if a := rs[x.ids[0]]; a.err != nil || a.body != large.Body {
						t.Errorf("%s: got %d, %d bytes, %v, want the whole answer", name, a.status, len(a.body), a.err)
					}
				})
			}
			clients.Wait()
			y.check(t, ss...)
		})
	}
}

// Guards against answers that are cut at the end of a stop, although their upstream has long finished and the client's
// time isn't over, because the client reads them slowly.
func TestSlowReadersPastStop(t *testing.T) {
	t.Parallel()
	stopBesideSlowReaders(t, 2_000_000)
}

// Guards against requests without an answer when an upstream answers before it has read the body, in steady state and
// around a stop.
func TestEarlyAnswersAroundStop(t *testing.T) {
	t.Parallel()
	w := startRouterWithGrace(t, standardDocument(), 3)
	ss := w.servers(always(server.Early{Answer: fine}))
	var y tally
	var clients sync.WaitGroup
	stop := time.Now().Add(900 * time.Millisecond)
	time.AfterFunc(time.Until(stop), w.stop)
	// The router writes a body of up to 4 KiB before it reads the answer, and a longer one beside it.
	for _, size := range []int{100, 5000, 90_000} {
		clients.Go(func() {
			w.sendAround(&y, stop, 800*time.Millisecond, 1800*time.Millisecond, 50*time.Millisecond, func() exchange {
				id := nextID()
				body := fmt.Sprintf("%x\r\n%s\r\n%s", size, strings.Repeat("x", size), lastChunk)
				return exchange{ids: []string{id}, steps: []step{segment(head("/order/1", id, 1000, chunked)), segment(body)}}
			})
		})
	}
	clients.Wait()
	runs := map[string]int{}
	for _, s := range ss {
		for _, q := range s.Requests() {
			runs[q.ID()]++
		}
	}
	y.checkRuns(t, runs)
}

// Guards against a stream that ends before its last event because its client has ended its sending side, as clients do
// that send one request and wait for the end of the connection.
func TestStreamAfterHalfClose(t *testing.T) {
	t.Parallel()
	w := startRouter(t, standardDocument())
	s := w.server("llm", "m1", "v1", always(server.Events{Count: 10, Pause: 50 * time.Millisecond, Unframed: true}))
	w.awaitUpstreams(1)
	var y tally
	var clients sync.WaitGroup
	for name, pause := range map[string]wait{"at once": 0, "after the first event": wait(120 * time.Millisecond)} {
		for _, framing := range []string{sized, chunked} {
			clients.Go(func() {
				id := nextID()
				body := wholeBody
				if framing == chunked {
					body = chunks + lastChunk
				}
				y.add(name, w.converse(exchange{ids: []string{id}, steps: []step{
					segment(head("/chat/1", id, 3000, framing+"Tarragonvalve-Model-Name: small\r\n") + body), pause, halfClose{},
				}}))
			})
		}
	}
	clients.Wait()
	y.check(t, s)
}
