package boot

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// Guards against a client account that uses up the retries, connections or queue slots of
// another. One account keeps forty requests in progress at upstreams that run four at a
// time each, another keeps two. The share of the smaller account's requests that is served
// must be at least half of the larger one's.
func TestAccountFairness(t *testing.T) {
	t.Parallel()
	d := standardDocument()
	d["tenants"] = []any{
		map[string]any{"name": "ada", "api_keys": []string{"key-1"}},
		map[string]any{"name": "bob", "api_keys": []string{"key-2"}},
	}
	w := startRouter(t, d)
	for _, name := range []string{"s1", "s2"} {
		w.server("desk", name, "v1", limitedScript(4, 20*time.Millisecond))
	}
	w.awaitUpstreams(2)
	ada := w.keepSending("Bearer key-1", 40)
	bob := w.keepSending("Bearer key-2", 2)
	time.Sleep(2 * time.Second)
	a, b := ada(), bob()
	if a.served == 0 || a.served == a.sent {
		t.Fatalf("the larger account was served %d times of %d: the upstreams aren't overloaded", a.served, a.sent)
	}
	if x, y := a.servedShare(), b.servedShare(); y < x/2 {
		t.Errorf("the smaller account was served %d times of %d, the larger one %d of %d", b.served, b.sent, a.served, a.sent)
	}
}

// limitedScript returns a script that runs up to n requests at a time, each for the duration
// work, and rejects the others.
func limitedScript(n int, work time.Duration) func(server.Request) server.Reply {
	slots := make(chan struct{}, n)
	return func(server.Request) server.Reply {
		select {
		case slots <- struct{}{}:
		default:
			return server.Reject{Status: http.StatusServiceUnavailable}
		}
		time.Sleep(work)
		<-slots
		return fine
	}
}

// counts are the numbers of requests of an account and of those that were served.
type counts struct{ sent, served int }

// servedShare returns the fraction of the requests that were served.
func (s counts) servedShare() float64 { return float64(s.served) / float64(max(s.sent, 1)) }

// keepSending keeps n requests with a key in progress until the returned function is called,
// which waits for their end and returns the counts.
func (w *harness) keepSending(key string, n int) func() counts {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var sum counts
	end := make(chan struct{})
	for range n {
		wait.Go(func() {
			for {
				select {
				case <-end:
					return
				default:
				}
				a := w.send("GET", "/read/1", "", "Authorization", key)
				mu.Lock()
				sum.sent++
				if a.status == http.StatusOK {
					sum.served++
				}
				mu.Unlock()
			}
		})
	}
	return func() counts {
		close(end)
		wait.Wait()
		return sum
	}
}
