package roster

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// list is an answer of the simulated server of the instance list.
type list struct {
	status int
	body   string
}

type server struct{ atomic.Pointer[list] }

func (s *server) RoundTrip(*http.Request) (*http.Response, error) {
	l := s.Load()
	return &http.Response{StatusCode: l.status, Body: io.NopCloser(strings.NewReader(l.body)), Header: http.Header{}}, nil
}

const good = `[
 {"targets":["127.0.0.1:1"],"labels":{"role":"agent","upstream":"u1","domain":"d1","state":"live","kind":"k","instance":"a1"}},
 {"targets":["127.0.0.1:2","bad"],"labels":{"role":"entry","domain":"d1","state":"leaving"}},
 {"targets":["127.0.0.1:3"],"labels":{"role":"agent","state":"live"}},
 {"targets":["127.0.0.1:4"],"labels":{"role":"other"}}]`

// Guards against losing all links when the list can't be read, is malformed or is
// suddenly empty, and against using list entries that are not valid.
func TestLastValidListIsKept(t *testing.T) {
	for name, fault := range map[string]list{
		"down":    {status: 503},
		"damaged": {status: 200, body: `[{"targets":`},
		"empty":   {status: 200, body: `[]`},
		"endless": {status: 200, body: `[{"targets":["127.0.0.1:8"],"labels":{"role":"entry"}}]` + strings.Repeat(" ", maxListBytes)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &server{}
				l.Store(&list{status: 200, body: good})
				var got [][]Instance
				r := New(Options{
					URL: "http://127.0.0.1:9", Interval: time.Second, Client: &http.Client{Transport: l}, Log: zerolog.Nop(),
					Static:   []Instance{{Addr: "127.0.0.1:7", Role: RoleAgent, Upstream: "s"}},
					OnUpdate: func(is []Instance) { got = append(got, is) },
				})
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() {
					defer close(done)
					r.Run(ctx)
				}()
				time.Sleep(1500 * time.Millisecond)
				l.Store(&fault)
				time.Sleep(5 * time.Second)
				cancel()
				<-done
				is := r.Instances()
				if len(is) != 3 || is[0].Upstream != "s" || is[1].Upstream != "u1" || is[1].Kind != "k" || !is[2].Leaving {
					t.Errorf("kept %+v", is)
				}
				failed, skipped := r.Counts()
				if failed == 0 || skipped == 0 || len(got[0]) != 1 {
					t.Errorf("%d failures, %d skipped, first list %+v", failed, skipped, got[0])
				}
			})
		})
	}
}
