package boot

import (
	"strings"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

// excessScript answers the orders below /order/more in full and then goes on sending, and all
// others properly after 5 ms.
func excessScript(r server.Request) server.Reply {
	if strings.HasPrefix(r.Target, "/order/more") {
		return server.Endless{
			Head: strings.ReplaceAll(receiptHeaders, "ID", r.ID()) + "Content-Length: 4\r\n\r\nfine",
			Unit: strings.Repeat("x", 4096), Pause: time.Millisecond,
		}
	}
	return server.Delayed{Answer: fine, Delay: 5 * time.Millisecond}
}

// excessClients and excessOrders are the clients and the orders of each of them beside answers
// that go on: a fault that hit 143 of 6,036 sound orders of 24 clients.
const (
	excessClients = 24
	excessOrders  = 60
)

// sendOrders has the clients send orders, each second one with an answer that goes on. It returns how
// many sound ones were sent, how many were refused with 503, and how many ended with another status
// than 200 and 503.
func sendOrders(w *harness) (sent, refused, failed int) {
	var mu sync.Mutex
	var g sync.WaitGroup
	for range excessClients {
		g.Go(func() {
			for i := range excessOrders {
				if i%2 == 0 {
					w.send("POST", "/order/more", "x")
					continue
				}
				a := w.send("POST", "/order/1", "x")
				mu.Lock()
				sent++
				switch a.status {
				case 200:
				case 503:
					refused++
				default:
					failed++
				}
				mu.Unlock()
			}
		})
	}
	g.Wait()
	return sent, refused, failed
}

// Guards against sound orders of unknown fate beside answers that go on after their end, once the
// upstream is known for them.
func TestOrdersBesideExcess(t *testing.T) {
	w := startRouter(t, standardDocument())
	w.server("desk", "s1", "v1", excessScript)
	w.awaitUpstreams(1)
	if a := w.send("POST", "/order/more", "x"); a.status != 200 {
		t.Fatalf("whole answer with further bytes: got %d %s", a.status, a.body)
	}
	time.Sleep(50 * time.Millisecond) // until the bytes have arrived on the idle connection
	if a := w.send("POST", "/order/1", "x"); a.status != 200 {
		t.Fatalf("first order after it: got %d %s", a.status, a.body)
	}
	sent, refused, failed := sendOrders(w)
	t.Logf("%d of %d sound orders ended other than 200 and 503, %d were refused", failed, sent, refused)
	if failed > 0 {
		t.Errorf("%d of %d sound orders ended other than 200 and 503, want none", failed, sent)
	}
	if n := strings.Count(w.logs.String(), "upstream sent bytes that belong to no answer"); n != 1 {
		t.Errorf("the upstream is named %d times in the log, want once", n)
	}
}
