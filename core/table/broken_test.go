package table_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"tarragonvalve.example/core/table"
)

// Guards against a write whose outcome counts as known by an answer that is malformed, or cut after its
// JSON.
func TestBrokenAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":         "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
		"blank in a name":    "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\n{}",
		"refusal, malformed": "HTTP/1.1 400 Bad Request\r\nX Y: z\r\nContent-Length: 2\r\n\r\n{}",
		"cut":                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}",
		"no last chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
	} {
		t.Run(name, func(t *testing.T) {
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
					if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						io.Copy(io.Discard, q.Body)
						io.WriteString(c, text)
					}
					c.Close()
				}
			}()
			d := table.NewDynamo(table.Options{
				Endpoint: "http://" + l.Addr().String(), Table: "t", Region: "local", AccessKey: "a", SecretKey: "s", Timeout: 20 * time.Second,
			})
			err = d.Put(t.Context(), table.Write{Key: table.Key{Partition: "p", Sort: "s"}, Body: []byte("b"), Token: "w"})
			if _, conflict := table.AsConflict(err); err == nil || conflict || table.NotApplied(err) {
				t.Errorf("got %v, want an unknown outcome", err)
			}
		})
	}
}
