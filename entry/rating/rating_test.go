package rating

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ident"
)

// service simulates the rating service without a network.
type service struct {
	mu      sync.Mutex
	refuse  bool
	reports int
	reads   int
	after   []string
}

func (s *service) RoundTrip(q *http.Request) (*http.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := func(code int, body string) (*http.Response, error) {
		h := http.Header{"Retry-After": {"5"}}
		return &http.Response{StatusCode: code, Body: io.NopCloser(strings.NewReader(body)), Header: h}, nil
	}
	if q.Method == http.MethodPost {
		s.reports++
		return answer(204, "")
	}
	s.reads++
	s.after = append(s.after, q.URL.Query().Get("after"))
	if s.refuse {
		return answer(429, "")
	}
	return answer(200, fmt.Sprintf(`{"ratings":[{"seq":%d,"request-id":"r1","good":true}],"next":%d}`, s.reads, s.reads))
}

func start(s *service) (*Client, *atomic.Int64, func()) {
	var n atomic.Int64
	c := New(Options{
		URL: "http://127.0.0.1:9", ReportInterval: 100 * time.Millisecond, ReadInterval: time.Second,
		Client: &http.Client{Transport: s}, OnRating: func(Rating) { n.Add(1) }, Log: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx)
	}()
	return c, &n, func() {
		cancel()
		<-done
	}
}

// Guards against callers' requests that block on the rating service, and against
// reports at more than the configured rate.
func TestReportsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &service{}
		c, _, stop := start(s)
		for range 2 * maxQueue {
			c.Report(Answer{Request: "r1"})
		}
		time.Sleep(950 * time.Millisecond)
		stop()
		if _, dropped, _ := c.Counts(); dropped < maxQueue-1 || s.reports != 10 {
			t.Errorf("%d dropped, %d reported in a second", dropped, s.reports)
		}
	})
}

// Guards against ratings that are read twice or skipped, and against reading again too
// soon from a service that asks for a pause.
func TestReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &service{}
		_, n, stop := start(s)
		defer stop()
		time.Sleep(3500 * time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		if n.Load() != 3 || strings.Join(s.after, ",") != "0,1,2" {
			t.Errorf("%d ratings, read after %v", n.Load(), s.after)
		}
		s.refuse = true
		before := s.reads
		s.mu.Unlock()
		time.Sleep(60 * time.Second)
		s.mu.Lock()
		if r := s.reads - before; r > 6 {
			t.Errorf("%d reads in a minute of refusals", r)
		}
	})
}

// Guards against a tracker that grows without bound, and against counting a rating
// twice.
func TestTracker(t *testing.T) {
	m := NewTracker(New(Options{}), 0)
	for i := range maxAnswers + 10 {
		m.Track(Answer{Request: ident.RequestID(fmt.Sprint(i))}, nil, AnswerDetails{Logprob: -0.5})
	}
	if len(m.pending) != maxAnswers {
		t.Errorf("%d answers are tracked", len(m.pending))
	}
	if _, ok := m.Take("5"); ok {
		t.Error("the oldest answer is still tracked")
	}
	if p, ok := m.Take("100"); !ok || p.Logprob != -0.5 {
		t.Errorf("got %v, %v", p, ok)
	}
	if _, ok := m.Take("100"); ok {
		t.Error("a rating counts twice")
	}
}
