package inlet_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"tarragonvalve.example/core/inlet"
)

const (
	okHead  = "HTTP/1.1 200 OK\r\n"
	chunked = okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n"
)

// malformed are answers to a GET that RFC 9110 or 9112 doesn't allow.
var malformed = map[string]string{
	"status 000":                   "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nfine",
	"status 000 without a length":  "HTTP/1.1 000 OK\r\n\r\nfine",
	"status 000, then a head":      "HTTP/1.1 000 OK\r\n\r\n" + okHead + "Content-Length: 4\r\n\r\nfine",
	"status 099":                   "HTTP/1.1 099 OK\r\nContent-Length: 4\r\n\r\nfine",
	"status 600":                   "HTTP/1.1 600 OK\r\nContent-Length: 4\r\n\r\nfine",
	"status 999":                   "HTTP/1.1 999 OK\r\nContent-Length: 4\r\n\r\nfine",
	"status with a sign":           "HTTP/1.1 +20 OK\r\nContent-Length: 4\r\n\r\nfine",
	"status of two digits":         "HTTP/1.1 20 OK\r\nContent-Length: 4\r\n\r\nfine",
	"status of four digits":        "HTTP/1.1 2000 OK\r\nContent-Length: 4\r\n\r\nfine",
	"two spaces before the status": "HTTP/1.1  200 OK\r\nContent-Length: 4\r\n\r\nfine",
	"no status":                    "HTTP/1.1 \r\nContent-Length: 4\r\n\r\nfine",
	"version 0.9":                  "HTTP/0.9 200 OK\r\nContent-Length: 4\r\n\r\nfine",
	"version 2.0":                  "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\nfine",
	"version in small letters":     "http/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine",
	"control byte in the reason":   "HTTP/1.1 200 O\x00K\r\nContent-Length: 4\r\n\r\nfine",
	"CR in the reason":             "HTTP/1.1 200 OK\rX: y\r\nContent-Length: 4\r\n\r\nfine",
	"unasked switch of protocols":  "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + okHead + "Content-Length: 4\r\n\r\nfine",

	"blank in a name":                okHead + "X Y: z\r\nContent-Length: 4\r\n\r\nfine",
	"blank before the colon":         okHead + "Content-Length : 4\r\n\r\nfine",
	"tab before the colon":           okHead + "Content-Length\t: 4\r\n\r\nfine",
	"blank in the coding's name":     okHead + "Transfer-Encoding : chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
	"blank before the first name":    okHead + " X: y\r\nContent-Length: 4\r\n\r\nfine",
	"control byte in a name":         okHead + "X\x01Y: z\r\nContent-Length: 4\r\n\r\nfine",
	"NUL in a name":                  okHead + "X\x00: z\r\nContent-Length: 4\r\n\r\nfine",
	"CR in a name":                   okHead + "X\rY: z\r\nContent-Length: 4\r\n\r\nfine",
	"DEL in a name":                  okHead + "X\x7f: z\r\nContent-Length: 4\r\n\r\nfine",
	"byte above 0x7f in a name":      okHead + "X\xe9: z\r\nContent-Length: 4\r\n\r\nfine",
	"empty name":                     okHead + ": z\r\nContent-Length: 4\r\n\r\nfine",
	"no colon":                       okHead + "X\r\nContent-Length: 4\r\n\r\nfine",
	"NUL in a value":                 okHead + "X: \x00\r\nContent-Length: 4\r\n\r\nfine",
	"CR in a value":                  okHead + "X: y\rContent-Length: 9\r\nContent-Length: 4\r\n\r\nfine",
	"control byte in a further line": okHead + "X: y\r\n z\x01\r\nContent-Length: 4\r\n\r\nfine",
	"blank in a name of a 103":       "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + okHead + "Content-Length: 4\r\n\r\nfine",

	"blank in a name of the trailer": chunked + "0\r\nX Y: z\r\n\r\n",
	"control byte in the trailer":    chunked + "0\r\nX: \x01\r\n\r\n",
	"trailer's end without CR":       chunked + "0\r\nX: y\r\n\n",
	"empty name in the trailer":      chunked + "0\r\n: z\r\n\r\n",

	"coding and length":      okHead + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
	"coding in HTTP/1.0":     "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
	"103 with a length":      "HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\n" + okHead + "Content-Length: 4\r\n\r\nfine",
	"103 with a coding":      "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + okHead + "Content-Length: 4\r\n\r\nfine",
	"204 with a length":      "HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\nfine",
	"204 with a coding":      "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
	"two lengths":            okHead + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nfine",
	"length with a sign":     okHead + "Content-Length: +4\r\n\r\nfine",
	"empty length":           okHead + "Content-Length:\r\n\r\nfine",
	"unknown coding":         okHead + "Transfer-Encoding: gzip\r\n\r\nfine",
	"coding of two":          okHead + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
	"head without an end":    okHead + "Content-Length: 4\r\n",
	"head cut within a line": okHead + "Content-Length: 4\r\nX: y",
	"body cut":               okHead + "Content-Length: 5\r\n\r\nfine",

	"trailer without a blank line":    chunked + "0\r\nX: y\r\n",
	"chunks without an end":           chunked,
	"chunks without a blank line":     chunked + "0\r\n",
	"chunk longer than its length":    okHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nfine\r\n0\r\n\r\n",
	"chunk line without a length":     okHead + "Transfer-Encoding: chunked\r\n\r\n\r\nfine\r\n0\r\n\r\n",
	"chunk line with a sign":          okHead + "Transfer-Encoding: chunked\r\n\r\n+4\r\nfine\r\n0\r\n\r\n",
	"long trailer":                    chunked + "0\r\nX: " + strings.Repeat("y", 8<<10) + "\r\n\r\n",
	"trailer of many lines, too long": chunked + "0\r\n" + strings.Repeat("X: y\r\n", 2<<10) + "\r\n",
	"chunk length beyond 64 bits":     okHead + "Transfer-Encoding: chunked\r\n\r\n10000000000000004\r\nfine\r\n0\r\n\r\n",
	"chunk line that ends with LF":    okHead + "Transfer-Encoding: chunked\r\n\r\n4\nfine\r\n0\r\n\r\n",
	"status line without an end":      "HTTP/1.1 200 OK",
}

// sound are answers to a GET with the body "fine" or none.
var sound = map[string]string{
	"length":                     okHead + "Content-Length: 4\r\n\r\nfine",
	"two equal lengths":          okHead + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nfine",
	"chunks":                     chunked + "0\r\n\r\n",
	"chunks with a trailer":      okHead + "Trailer: X\r\n" + chunked[len(okHead):] + "0\r\nX: y\r\nY: z\r\n\r\n",
	"two chunks, an extension":   okHead + "Transfer-Encoding: chunked\r\n\r\n1;a=b\r\nf\r\n3\r\nine\r\n0\r\n\r\n",
	"no length":                  okHead + "\r\nfine",
	"HTTP/1.0":                   "HTTP/1.0 200 OK\r\n\r\nfine",
	"no reason":                  "HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nfine",
	"no space before no reason":  "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nfine",
	"reason beyond ASCII":        "HTTP/1.1 200 Tr\xe8s bien\r\nContent-Length: 4\r\n\r\nfine",
	"value beyond ASCII":         okHead + "X: \xe9\t~\r\nContent-Length: 4\r\n\r\nfine",
	"empty value":                okHead + "X:\r\nContent-Length: 4\r\n\r\nfine",
	"all bytes of names":         okHead + "!#$%&'*+-.^_`|~09azAZ: y\r\nContent-Length: 4\r\n\r\nfine",
	"value in two lines":         okHead + "X: y\r\n z\r\nContent-Length: 4\r\n\r\nfine",
	"LF without CR":              "HTTP/1.1 200 OK\nContent-Length: 4\n\nfine",
	"status 599":                 "HTTP/1.1 599 Other\r\nContent-Length: 4\r\n\r\nfine",
	"interim answers":            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okHead + "Content-Length: 4\r\n\r\nfine",
	"interim answer, length 0":   "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" + okHead + "Content-Length: 4\r\n\r\nfine",
	"status 204":                 "HTTP/1.1 204 No Content\r\n\r\n",
	"status 204 and length 0":    "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
	"status 304 and a length":    "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n",
	"length 0":                   okHead + "Content-Length: 0\r\n\r\n",
	"head beyond a small buffer": okHead + "X: " + strings.Repeat("y", 10_000) + "\r\nContent-Length: 4\r\n\r\nfine",
}

// Guards against an answer that is malformed or cut and taken for a whole one, and against a sound one
// that isn't read whole.
func TestReadResponse(t *testing.T) {
	read := func(text string, wrap func(io.Reader) io.Reader) (string, error) {
		r := inlet.NewReader(wrap(strings.NewReader(text)), peer)
		a, err := r.Response(&http.Request{Method: http.MethodGet}, inlet.Default())
		if err != nil {
			return "", err
		}
		b, err := io.ReadAll(a.Body)
		return string(b), err
	}
	for kind, wrap := range map[string]func(io.Reader) io.Reader{
		"at once": func(r io.Reader) io.Reader { return r },
		"bytes":   iotest.OneByteReader,
	} {
		for name, text := range malformed {
			t.Run(name+", "+kind, func(t *testing.T) {
				if b, err := read(text, wrap); err == nil {
					t.Errorf("got the body %q, want an error", b)
				}
			})
		}
		for name, text := range sound {
			t.Run(name+", "+kind, func(t *testing.T) {
				want := ""
				if strings.HasSuffix(text, "fine") || strings.Contains(text, "chunked") {
					want = "fine"
				}
				if b, err := read(text, wrap); err != nil || b != want {
					t.Errorf("got the body %q, %v, want %q", b, err, want)
				}
			})
		}
	}
}

// Guards against an error that says neither what is malformed nor whose answer it is.
func TestMalformedError(t *testing.T) {
	for text, want := range map[string]inlet.MalformedError{
		okHead + "X Y: z\r\n":       {Part: inlet.Head, Reason: `field name "X Y"`},
		chunked + "0\r\nX Y: z\r\n": {Part: inlet.Body, Reason: `trailer: field name "X Y"`},
		"HTTP/1.1 000 OK\r\n":       {Part: inlet.Head, Reason: "status 000 is outside 100 to 599"},
	} {
		a, err := inlet.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil, peer)
		if err == nil {
			_, err = io.ReadAll(a.Body)
		}
		want.Peer = peer
		var m *inlet.MalformedError
		if !errors.As(err, &m) || *m != want {
			t.Errorf("got %v, want %v", err, &want)
		}
	}
}

// rawServer answers each request on a connection with the text that answer returns for it, and closes
// the connection after one that isn't kept. It returns its URL and the number of requests.
func rawServer(t *testing.T, answer func(path string) (text string, keep bool)) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var requests atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					requests.Add(1)
					io.Copy(io.Discard, q.Body)
					text, keep := answer(q.URL.Path)
					if _, err := io.WriteString(c, text); err != nil || !keep {
						return
					}
				}
			}()
		}
	}()
	return "http://" + l.Addr().String(), &requests
}

// Guards against a transport that passes on, or repeats the request of, an answer that is malformed or
// cut, or that doesn't pass on a sound one whole. Each comes on a connection that carried a sound answer.
func TestTransport(t *testing.T) {
	for name, text := range malformed {
		t.Run(name, func(t *testing.T) { checkTransport(t, text, false) })
	}
	for name, text := range sound {
		t.Run(name, func(t *testing.T) { checkTransport(t, text, true) })
	}
}

func checkTransport(t *testing.T, text string, isSound bool) {
	url, requests := rawServer(t, func(path string) (string, bool) {
		if path == "/first" {
			return sound["length"], true
		}
		return text, false
	})
	c := &http.Client{Transport: inlet.NewTransport(new(net.Dialer).DialContext), Timeout: 10 * time.Second}
	defer c.CloseIdleConnections()
	get := func(path string) (string, error) {
		a, err := c.Get(url + path)
		if err != nil {
			return "", err
		}
		defer a.Body.Close()
		b, err := io.ReadAll(a.Body)
		return string(b), err
	}
	if b, err := get("/first"); err != nil || b != "fine" {
		t.Fatalf("first answer: %q, %v", b, err)
	}
	b, err := get("/second")
	want := ""
	if strings.HasSuffix(text, "fine") || strings.Contains(text, "chunked") {
		want = "fine"
	}
	if isSound && (err != nil || b != want) || !isSound && err == nil {
		t.Errorf("got the body %q, %v", b, err)
	}
	if n := requests.Load(); n != 2 {
		t.Errorf("2 requests reached the server %d times", n)
	}
	if b, err := get("/first"); err != nil || b != "fine" {
		t.Errorf("answer after it: %q, %v", b, err)
	}
}

// Guards against answers to HEAD whose length is taken for a body, and against connections that aren't
// used again after whole answers.
func TestTransportReuse(t *testing.T) {
	var conns atomic.Int64
	d := new(net.Dialer)
	url, _ := rawServer(t, func(path string) (string, bool) {
		return map[string]string{
			"/head": okHead + "Content-Length: 4\r\n\r\n", "/length": sound["length"], "/chunks": sound["chunks with a trailer"],
			"/none": sound["status 204"], "/interim": sound["interim answers"],
		}[path], true
	})
	tr := inlet.NewTransport(d.DialContext)
	dial := tr.DialContext
	tr.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conns.Add(1)
		return dial(ctx, network, address)
	}
	c := &http.Client{Transport: tr, Timeout: 10 * time.Second}
	defer c.CloseIdleConnections()
	for range 3 {
		for path, method := range map[string]string{"/head": "HEAD", "/length": "GET", "/chunks": "GET", "/none": "DELETE", "/interim": "POST"} {
			q, err := http.NewRequestWithContext(t.Context(), method, url+path, strings.NewReader(""))
			if err != nil {
				t.Fatal(err)
			}
			a, err := c.Do(q)
			if err != nil {
				t.Fatalf("%s: %v", path, err)
			}
			b, err := io.ReadAll(a.Body)
			a.Body.Close()
			if want := map[bool]string{true: "fine"}[path != "/head" && path != "/none"]; err != nil || string(b) != want {
				t.Errorf("%s: got %q, %v, want %q", path, b, err, want)
			}
		}
	}
	if n := conns.Load(); n != 1 {
		t.Errorf("15 requests took %d connections, want 1", n)
	}
}

// Guards against bytes after an answer that are kept for the next request on the connection.
func TestTransportExtraBytes(t *testing.T) {
	url, requests := rawServer(t, func(path string) (string, bool) {
		return sound["length"] + map[string]string{"/extra": "x"}[path], true
	})
	c := &http.Client{Transport: inlet.NewTransport(new(net.Dialer).DialContext), Timeout: 10 * time.Second}
	defer c.CloseIdleConnections()
	for i, path := range []string{"/extra", "/next"} {
		a, err := c.Post(url+path, "text/plain", strings.NewReader("x"))
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		b, err := io.ReadAll(a.Body)
		a.Body.Close()
		if n := requests.Load(); err != nil || string(b) != "fine" || n != int64(i+1) {
			t.Errorf("%s: got %q, %v, after %d requests", path, b, err, n)
		}
		time.Sleep(50 * time.Millisecond) // until the transport has met the bytes
	}
}
