package boot

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// Pattern: one account sends forty requests at a time to upstreams that take four,
// another sends two. Who must be served: both by their chance, so the small one is
// served at least half as often. Guards against retries, connections or turns that
// the larger account uses up.
func TestAccountsAreServedAlike(t *testing.T) {
	t.Parallel()
	d := standard()
	d["tenants"] = []any{
		map[string]any{"name": "ada", "api_keys": []string{"key-1"}},
		map[string]any{"name": "bob", "api_keys": []string{"key-2"}},
	}
	w := start(t, d)
	for _, name := range []string{"s1", "s2"} {
		w.server("desk", name, "v1", full(4, 20*time.Millisecond))
	}
	w.knows(2)
	ada := w.press("Bearer key-1", 40)
	bob := w.press("Bearer key-2", 2)
	time.Sleep(2 * time.Second)
	a, b := ada(), bob()
	if a.served == 0 || a.served == a.sent {
		t.Fatalf("the large account was served %d times of %d: no pressure", a.served, a.sent)
	}
	if x, y := a.part(), b.part(); y < x/2 {
		t.Errorf("the small account was served %d times of %d, the large one %d of %d", b.served, b.sent, a.served, a.sent)
	}
}

// full answers up to n requests at a time, each after a while, and rejects the others.
func full(n int, work time.Duration) func(server.Request) server.Reply {
	places := make(chan struct{}, n)
	return func(server.Request) server.Reply {
		select {
		case places <- struct{}{}:
		default:
			return server.Reject{Status: http.StatusServiceUnavailable}
		}
		time.Sleep(work)
		<-places
		return fine
	}
}

type shares struct{ sent, served int }

func (s shares) part() float64 { return float64(s.served) / float64(max(s.sent, 1)) }

// press sends requests with a key, n at a time, until the returned function is called.
func (w *world) press(key string, n int) func() shares {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var sum shares
	end := make(chan struct{})
	for range n {
		wait.Go(func() {
			for {
				select {
				case <-end:
					return
				default:
				}
				a := w.call("GET", "/read/1", "", "Authorization", key)
				mu.Lock()
				sum.sent++
				if a.status == http.StatusOK {
					sum.served++
				}
				mu.Unlock()
			}
		})
	}
	return func() shares {
		close(end)
		wait.Wait()
		return sum
	}
}
