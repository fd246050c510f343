package inlet_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"tarragonvalve.example/core/inlet"
)

const peer = "127.0.0.1:1"

// endless repeats a text and counts the bytes that were read.
type endless struct {
	text string
	read int
}

func (e *endless) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = e.text[(e.read+i)%len(e.text)]
	}
	e.read += len(b)
	return len(b), nil
}

// Guards against heads and interim answers that are read beyond their bounds, and against a
// head that counts as whole although the bound cut it.
func TestEndlessHead(t *testing.T) {
	const limit = 1000
	for name, c := range map[string]struct {
		start, text string
		part        inlet.Part
	}{
		"status line":        {"HTTP/1.1 200 ", "x", inlet.Head},
		"no line break":      {"", "x", inlet.Head},
		"header line":        {"HTTP/1.1 200 OK\r\nX-Long: ", "x", inlet.Head},
		"header lines":       {"HTTP/1.1 200 OK\r\n", "X: y\r\n", inlet.Head},
		"continuation lines": {"HTTP/1.1 200 OK\r\nX: y\r\n", " z\r\n", inlet.Head},
		"interim head":       {"HTTP/1.1 103 Early Hints\r\n", "X: y\r\n", inlet.Head},
		"interim answers":    {"", "HTTP/1.1 103 Early Hints\r\n\r\n", inlet.Interim},
		"long interim answers": {
			"", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", limit/4) + "\r\n\r\n", inlet.Head,
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := &endless{text: c.text}
			r := inlet.NewReader(io.MultiReader(strings.NewReader(c.start), e), peer)
			a, err := r.Response(&http.Request{Method: http.MethodPost}, inlet.Bounds{HeadBytes: limit, Interim: 5})
			var l *inlet.TooLongError
			if !errors.As(err, &l) || l.Part != c.part || l.Peer != peer {
				t.Fatalf("got %+v, %v, want a *TooLongError for the %s", a, err, c.part)
			}
			if e.read > limit {
				t.Errorf("read %d bytes, want at most %d", e.read, limit)
			}
		})
	}
}

// Guards against a bound that refuses a head of exactly its length, and against one that
// goes on to apply to the body or to the next answer of the connection.
func TestHeadAtItsBound(t *testing.T) {
	head := "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n"
	body := strings.Repeat("b", 5000)
	for name, wrap := range map[string]func(io.Reader) io.Reader{
		"at once": func(r io.Reader) io.Reader { return r },
		"bytes":   iotest.OneByteReader,
	} {
		t.Run(name, func(t *testing.T) {
			r := inlet.NewReader(wrap(strings.NewReader(head+body+head+body)), peer)
			for range 2 {
				a, err := r.Response(&http.Request{Method: http.MethodGet}, inlet.Bounds{HeadBytes: int64(len(head)), Interim: 1})
				if err != nil {
					t.Fatal(err)
				}
				b, err := inlet.ReadAll(a.Body, peer, int64(len(body)))
				if err != nil || string(b) != body {
					t.Fatalf("got %d bytes, %v", len(b), err)
				}
			}
		})
	}
}

// Guards against a body that is read beyond its bound, or cut at it without an error.
func TestReadAll(t *testing.T) {
	e := &endless{text: "x"}
	var l *inlet.TooLongError
	if _, err := inlet.ReadAll(e, peer, 100); !errors.As(err, &l) || l.Part != inlet.Body || e.read > 101 {
		t.Errorf("endless body: read %d bytes, %v", e.read, err)
	}
	if b, err := inlet.ReadAll(strings.NewReader("abc"), peer, 3); err != nil || string(b) != "abc" {
		t.Errorf("body at its bound: %q, %v", b, err)
	}
	cut := errors.New("cut")
	if _, err := inlet.ReadAll(iotest.ErrReader(cut), peer, 3); !errors.Is(err, cut) {
		t.Errorf("cut body: %v", err)
	}
}

// Guards against events whose lines are bounded one by one only, and against a bound that
// counts the lines of earlier events.
func TestLines(t *testing.T) {
	long := strings.Repeat("x", 90)
	for name, c := range map[string]struct {
		in   io.Reader
		want []string
		end  error
	}{
		"lines":         {strings.NewReader("a\nb\r\n\nc"), []string{"a", "b", "", "c"}, io.EOF},
		"empty":         {strings.NewReader(""), nil, io.EOF},
		"many events":   {strings.NewReader(strings.Repeat(long+"\n\n", 3)), []string{long, "", long, "", long, ""}, io.EOF},
		"endless lines": {&endless{text: "data: xxxxx\n"}, []string{"data: xxxxx", "data: xxxxx", "data: xxxxx", "data: xxxxx", "data: xxxxx", "data: xxxxx", "data: xxxxx", "data: xxxxx"}, &inlet.TooLongError{}},
		"endless line":  {&endless{text: "x"}, nil, &inlet.TooLongError{}},
		"failure":       {io.MultiReader(strings.NewReader("a\nb"), iotest.ErrReader(io.ErrUnexpectedEOF)), []string{"a"}, io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			l := inlet.NewLines(c.in, peer, 100)
			var got []string
			for {
				s, err := l.Next()
				if err == nil {
					got = append(got, s)
					continue
				}
				var long *inlet.TooLongError
				if want := new(inlet.TooLongError); errors.As(c.end, &want) {
					if !errors.As(err, &long) || long.Part != inlet.Event || long.Limit != 100 || long.Peer != peer {
						t.Errorf("ended with %v, want a *TooLongError", err)
					}
				} else if !errors.Is(err, c.end) {
					t.Errorf("ended with %v, want %v", err, c.end)
				}
				break
			}
			if strings.Join(got, "|") != strings.Join(c.want, "|") {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against a body that a library reads beyond its bound, and against one of exactly
// its bound that fails.
func TestLimitBody(t *testing.T) {
	for name, wrap := range map[string]func(io.Reader) io.Reader{
		"at once":       func(r io.Reader) io.Reader { return r },
		"bytes":         iotest.OneByteReader,
		"data with EOF": iotest.DataErrReader,
	} {
		t.Run(name, func(t *testing.T) {
			b := inlet.LimitBody(io.NopCloser(wrap(strings.NewReader("abc"))), peer, 3)
			if got, err := io.ReadAll(b); err != nil || string(got) != "abc" {
				t.Errorf("body at its bound: %q, %v", got, err)
			}
			b = inlet.LimitBody(io.NopCloser(wrap(strings.NewReader("abcd"))), peer, 3)
			var l *inlet.TooLongError
			for range 2 {
				got, err := io.ReadAll(b)
				if !errors.As(err, &l) || l.Part != inlet.Body || len(got) > 3 {
					t.Errorf("body beyond its bound: %q, %v", got, err)
				}
			}
		})
	}
}

// Guards against a transport that reads a head beyond its bound, and against an error for it without the
// part and the peer.
func TestTransportHeadBound(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				// An answer before the request is no answer to the client.
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Long: "+strings.Repeat("x", 2*inlet.MaxHeadBytes))
				io.Copy(io.Discard, c)
			}()
		}
	}()
	c := &http.Client{Transport: inlet.NewTransport(new(net.Dialer).DialContext)}
	defer c.CloseIdleConnections()
	res, err := c.Get("http://" + l.Addr().String())
	if err == nil {
		res.Body.Close()
	}
	var long *inlet.TooLongError
	if !errors.As(err, &long) || long.Part != inlet.Head || long.Limit != inlet.MaxHeadBytes || long.Peer != "http://"+l.Addr().String() {
		t.Errorf("got %v, want a *TooLongError for the head", err)
	}
}
