package front

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// dialSmall opens a connection with small segments and a small receive buffer, as on networks with a long delay.
func dialSmall(t *testing.T, address string) net.Conn {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = errors.Join(
				unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 1448),
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 16<<10))
		})
		return errors.Join(err, optErr)
	}}
	c, err := d.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// readPaced reads one response at a rate of bytes per second and returns its error.
func readPaced(c net.Conn, rate int) (int, error) {
	a, err := http.ReadResponse(bufio.NewReaderSize(c, 1<<10), nil)
	if err != nil {
		return 0, err
	}
	defer a.Body.Close()
	began, n, b := time.Now(), 0, make([]byte, 4<<10)
	for {
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		m, err := a.Body.Read(b)
		n += m
		if errors.Is(err, io.EOF) {
			return n, nil
		}
		if err != nil {
			return n, err
		}
	}
}

const chunkedOrder = "POST /order HTTP/1.1\r\nHost: shop.example\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"

// Guards against an answer that a reset cuts because bytes arrive behind the request after the close of its
// connection, or because the client needs long to read it.
func TestResetAfterClose(t *testing.T) {
	t.Parallel()
	const size = 300_000
	tests := map[string]struct {
		// before and after are sent with the request, and once its answer has begun.
		before, after string
		rate          int
	}{
		"nothing behind":                      {"", "", 400_000},
		"bytes before the close":              {"\r\n", "", 400_000},
		"bytes after the close":               {"", "\r\n", 400_000},
		"pipelined request after the close":   {"", chunkedOrder, 400_000},
		"bytes before the close, slow reader": {"\r\nx", "", 150_000},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serveClients(t, 8*time.Second, func(w http.ResponseWriter, q *http.Request) {
				io.Copy(io.Discard, q.Body)
				time.Sleep(40 * time.Millisecond)
				w.Header().Set("Connection", "close")
				w.Header().Set("Content-Length", fmt.Sprint(size))
				w.Write(make([]byte, size))
			})
			o := dialSmall(t, s.address)
			io.WriteString(o, chunkedOrder)
			if c.before != "" {
				time.Sleep(8 * time.Millisecond)
				io.WriteString(o, c.before)
			}
			if c.after != "" {
				time.AfterFunc(150*time.Millisecond, func() { io.WriteString(o, c.after) })
			}
			n, err := readPaced(o, c.rate)
			if err != nil || n != size {
				t.Errorf("client got %d of %d bytes: %v", n, size, err)
			}
		})
	}
}

// Guards against a close that waits for a client that has reset its connection.
func TestLingerAfterReset(t *testing.T) {
	t.Parallel()
	s := serveClients(t, time.Second, func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		time.Sleep(40 * time.Millisecond)
		w.Header().Set("Connection", "close")
		w.Write(make([]byte, 300_000))
	})
	o := dialSmall(t, s.address)
	io.WriteString(o, chunkedOrder)
	time.Sleep(8 * time.Millisecond)
	io.WriteString(o, "\r\nxyz")
	time.Sleep(80 * time.Millisecond)
	o.(*net.TCPConn).SetLinger(0)
	o.Close()
	began := time.Now()
	s.awaitConnections(0)
	if d := time.Since(began); d > 300*time.Millisecond {
		t.Errorf("the connection was counted for %v after its reset", d)
	}
}

// Guards against a shutdown that waits, one after the other, for clients that don't read their answers.
func TestShutdownBesideSlowClients(t *testing.T) {
	t.Parallel()
	const clients = 4
	s := serveClients(t, time.Second, func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		w.Header().Set("Connection", "close")
		// More than the kernel takes.
		w.Write(make([]byte, 32<<20))
	})
	for range clients {
		dialSmall(t, s.address).Write([]byte(chunkedOrder))
	}
	s.awaitConnections(clients)
	s.awaitBytes()
	began := time.Now()
	s.stop()
	s.await("message", "stopping: connections are closed")
	err := <-s.done
	s.done <- err
	if d := time.Since(began); d > clients*lingerTime/2 {
		t.Errorf("the shutdown took %s, %v", d, err)
	}
}

// Guards against a client that has just connected and is cut off as the listener closes.
func TestFirstRequestAfterListenerCloses(t *testing.T) {
	t.Parallel()
	const grace = 3 * time.Second
	s := serveClients(t, grace, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		fmt.Fprint(w, "done")
	})
	s.stop()
	s.await("message", "stopping: no longer ready")
	time.Sleep(time.Duration(keepOpenFraction*float64(grace)) - firstRequestTime/2)
	o := s.dial("")
	s.await("message", "stopping: listener closed")
	// The drain looks at its connections a few times before the request comes.
	time.Sleep(3 * drainPoll)
	io.WriteString(o, order)
	if status, body, err := answer(o); status != http.StatusOK || body != "done" || err != nil {
		t.Errorf("got %d %q, %v", status, body, err)
	}
}
