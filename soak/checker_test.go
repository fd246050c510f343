package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// eventCount is the number of events in a stream.
const eventCount = 12

// observation is what the client and the servers observed of one request.
type observation struct {
	// kind is the name of the request's route: read, order or chat.
	kind string
	key  string
	// router is the name of the router that got the request.
	router string
	sent   time.Time
	// runs is how often servers ran the request.
	runs int
	// status is the status that the client got; 0 means none yet, or an incomplete response.
	status int
	// complete is true if the client got a complete 200 response.
	complete bool
}

// checker records what clients and servers observe and collects the guarantees that are
// violated. It is safe for concurrent use.
type checker struct {
	mu sync.Mutex
	// observations are the requests by id.
	observations map[string]*observation
	// revoked holds the keys that were revoked, with the time.
	revoked map[string]time.Time
	// violations describes the guarantees that were violated, and by which request.
	violations []string
	random     *rand.Rand
	// brokenPerMille is the number of responses in a thousand that servers break.
	brokenPerMille atomic.Int64
}

// newChecker returns a checker without observations. The servers' faults follow from seed.
func newChecker(seed uint64) *checker {
	return &checker{observations: map[string]*observation{}, revoked: map[string]time.Time{}, random: rand.New(rand.NewPCG(seed, 2))}
}

// addViolation records a violated guarantee. The caller must hold l.mu.
func (l *checker) addViolation(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// recordSend records that a client is about to send a request.
func (l *checker) recordSend(id, kind, key, router string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observations[id] = &observation{kind: kind, key: key, router: router, sent: time.Now()}
}

// routerOf returns the name of the router that got a request, or "".
func (l *checker) routerOf(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.observations[id]; o != nil {
		return o.router
	}
	return ""
}

// revokeOnce records the time at which a key was revoked; later calls change nothing.
func (l *checker) revokeOnce(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.revoked[key]; !ok {
		l.revoked[key] = time.Now()
	}
}

// restoreKey records that a key is accepted again.
func (l *checker) restoreKey(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.revoked, key)
}

// script returns the behavior of a service's servers. They reject one in 50 requests, and
// record and serve the others, some of them with a broken response.
func (l *checker) script(service string) func(server.Request) server.Reply {
	return func(r server.Request) server.Reply {
		l.mu.Lock()
		defer l.mu.Unlock()
		e := l.find(r)
		if e == nil {
			return server.Reject{Status: http.StatusBadRequest}
		}
		if l.random.IntN(50) == 0 {
			return server.Reject{Status: http.StatusServiceUnavailable}
		}
		l.recordRun(r, e)
		broken := l.random.Int64N(1000) < l.brokenPerMille.Load()
		if service == "llm" {
			s := server.Events{Count: eventCount, Pause: 15 * time.Millisecond, Confidence: -1}
			if broken {
				s.TruncateAfter = 1 + l.random.IntN(eventCount-1)
			}
			return s
		}
		a := server.Answer{Status: http.StatusOK, Body: "answer to " + r.ID(), Confidence: -1}
		if !broken {
			return a
		}
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Server-Signature: receipt-of-%s\r\nContent-Length: %d\r\n\r\n%s", r.ID(), r.ID(), len(a.Body), a.Body)
		cut := server.Raw{Text: text[:l.random.IntN(len(text))]}
		replies := []server.Reply{server.Reset{}, server.Truncated{}, server.Malformed{}, server.Duplicate{Answer: a}, server.Mismatched{Answer: a}, server.Hang{}, cut, cut}
		return replies[l.random.IntN(len(replies))]
	}
}

// find returns the observation of a request, or records a violation and returns nil if no client sent it. The
// caller must hold l.mu.
func (l *checker) find(r server.Request) *observation {
	e := l.observations[r.ID()]
	if e == nil {
		l.addViolation("a server got request %q, which no client sent", r.ID())
	}
	return e
}

// recordRun records that a server runs a request, and checks the guarantees about that. The
// caller must hold l.mu.
func (l *checker) recordRun(r server.Request, e *observation) {
	e.runs++
	if e.kind == "order" && e.runs > 1 {
		l.addViolation("non-idempotent request %s ran more than once", r.ID())
	}
	if e.kind == "order" && e.status == http.StatusServiceUnavailable {
		l.addViolation("request %s ran after its client got a 503, which says that it did not run", r.ID())
	}
	if want := "of-" + e.key; r.Header.Get("Tarragonvalve-Tenant-Name") != want || r.Header.Get("Authorization") != "" {
		l.addViolation("request %s ran as client account %q, or with the client's key", r.ID(), r.Header.Get("Tarragonvalve-Tenant-Name"))
	}
	if at, ok := l.revoked[e.key]; ok && e.sent.Sub(at) > revokeTime {
		l.addViolation("request %s ran with a key revoked %v before it was sent", r.ID(), e.sent.Sub(at))
	}
}

// recordResponse records and checks the response that a client got. broken is true if there
// was none or it was incomplete, which is never a violation.
func (l *checker) recordResponse(id string, status int, body string, broken bool, signature string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.observations[id]
	if broken {
		return
	}
	e.status = status
	switch status {
	case http.StatusOK:
		want := "answer to " + id
		if e.kind == "chat" {
			want = stream()
		}
		if body != want {
			l.addViolation("request %s got %q", id, body)
		}
		if signature != "receipt-of-"+id {
			l.addViolation("request %s got the receipt %q", id, signature)
		}
		e.complete = true
	case http.StatusServiceUnavailable:
		if e.kind == "order" && e.runs > 0 {
			l.addViolation("request %s ran and got 503", id)
		}
	case http.StatusUnauthorized:
		if _, ok := l.revoked[e.key]; !ok {
			l.addViolation("request %s got 401 with a valid key", id)
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		l.addViolation("request %s got %d", id, status)
	}
}

// stream returns the text of a complete stream.
func stream() string {
	var b strings.Builder
	for i := 1; i <= eventCount; i++ {
		b.WriteString(server.EventText(i))
	}
	return b.String()
}

// summary counts the requests and the complete 200 responses.
func (l *checker) summary() (sent, complete int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.observations {
		sent++
		if e.complete {
			complete++
		}
	}
	return sent, complete
}

// report logs the counts and fails the test for each violation, of which it prints the first ones.
func (l *checker) report(t *testing.T) {
	t.Helper()
	sent, complete := l.summary()
	t.Logf("%d requests, %d complete responses", sent, complete)
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, f := range l.violations {
		if i == 10 {
			t.Errorf("and %d more violations", len(l.violations)-i)
			break
		}
		t.Error(f)
	}
}
