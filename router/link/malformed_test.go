package link_test

import (
	"errors"
	"strings"
	"testing"

	"tarragonvalve.example/core/inlet"
	"tarragonvalve.example/router/link"
	"tarragonvalve.example/standin/server"
)

// Guards against a malformed answer that is read as an answer, counts as not sent, or leaves its
// connection in use.
func TestMalformedAnswers(t *testing.T) {
	const fields = "Tarragonvalve-Attempt-Id: a-1\r\nTarragonvalve-Server-Signature: r\r\n"
	for name, text := range map[string]string{
		"status 000":              "HTTP/1.1 000 OK\r\n" + fields + "Content-Length: 4\r\n\r\nfine",
		"status 600":              "HTTP/1.1 600 OK\r\n" + fields + "Content-Length: 4\r\n\r\nfine",
		"switch of protocols":     "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\nfine",
		"blank in a name":         "HTTP/1.1 200 OK\r\n" + fields + "X Y: z\r\nContent-Length: 4\r\n\r\nfine",
		"blank before the colon":  "HTTP/1.1 200 OK\r\n" + fields + "Content-Length : 4\r\n\r\nfine",
		"control byte in a name":  "HTTP/1.1 200 OK\r\n" + fields + "X\x01Y: z\r\nContent-Length: 4\r\n\r\nfine",
		"blank in a name, 103":    "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\nfine",
		"blank in a trailer name": "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nX Y: z\r\n\r\n",
		"coding and length":       "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s, p := start(t, func(r server.Request) server.Reply {
				if r.ID() == "a-1" {
					return server.Raw{Text: text, Keep: true}
				}
				return server.Answer{Status: 200, Body: "fine"}
			})
			// The malformed answer comes on a connection that carried a sound one.
			for _, id := range []string{"a-0", "a-1", "a-2"} {
				b, err := send(p, newRequest(s, id))
				if id != "a-1" {
					if err != nil || b != "fine" {
						t.Fatalf("%s: got %q, %v", id, b, err)
					}
					continue
				}
				var m *inlet.MalformedError
				var not *link.NotSentError
				if !errors.As(err, &m) || m.Peer != s.Address() || errors.As(err, &not) {
					t.Errorf("got %q, %v, want a sent request and a *MalformedError", b, err)
				}
				if strings.Contains(name, "trailer") != (m != nil && m.Part == inlet.Body) {
					t.Errorf("wrong part in %v", err)
				}
			}
			rs := s.Requests()
			if len(rs) != 3 || rs[1].Connection != 1 || rs[2].Connection != 2 {
				t.Errorf("got the requests %+v, want two on the first and one on a second connection", rs)
			}
		})
	}
}
