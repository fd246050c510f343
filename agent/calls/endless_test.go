package calls_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/agent/excess"
	"tarragonvalve.example/core/claim"
	"tarragonvalve.example/core/inlet"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/wire"
)

// Guards against a call whose answer exceeds a bound and that counts as not run or leaves
// its claim free, whose caller doesn't learn the cause, and that no log line shows.
func TestEndlessHead(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		n, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer n.Close()
		io.WriteString(n, "HTTP/1.1 200 OK\r\nX-Long: "+strings.Repeat("x", 4*inlet.MaxHeadBytes))
		io.Copy(io.Discard, n)
	}))
	defer s.Close()
	for name, c := range map[string]struct {
		method string
		state  claim.State
	}{
		"once":       {http.MethodPost, claim.StateDispatched},
		"repeatable": {http.MethodGet, "absent"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			r := start(t, func(r *harness) {
				r.url = s.URL
				r.excess = excess.New(excess.Options{Upstream: "p1", Log: zerolog.New(&out), Now: time.Now})
			})
			_, ref := r.call(t, func(q *wire.CallRequest) { q.Method = c.method })
			wantRefusal(t, ref, refuse.UpstreamFailed, refuse.Unknown)
			if !strings.Contains(ref.Error(), "the head of the answer of http://127.0.0.1:") {
				t.Errorf("the refusal %q does not name the part and the peer", ref)
			}
			if got := r.claimState(t); got != c.state {
				t.Errorf("the claim is %s, want %s", got, c.state)
			}
			if l := out.String(); !strings.Contains(l, `"part":"head"`) || !strings.Contains(l, `"request":"r1"`) || !strings.Contains(l, `"upstream":"p1"`) {
				t.Errorf("logged %q", l)
			}
		})
	}
}
