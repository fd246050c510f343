package boot

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/standin/server"
)

const (
	// limitGrace is the users' stability_window_ms: the time after which a stated limit binds.
	limitGrace = 3 * time.Second
	// limitWindow, limitFactor and limitTolerance are the users' rule for a stated limit: in any
	// window at most the factor times what the limit allows in it, and the tolerance.
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitTolerance = 5
)

// mostInWindow returns the largest number of requests in a window that begins after from.
func mostInWindow(qs []server.Request, from time.Time) int {
	var ts []time.Time
	for _, q := range qs {
		if q.At.After(from) {
			ts = append(ts, q.At)
		}
	}
	slices.SortFunc(ts, time.Time.Compare)
	most, first := 0, 0
	for i := range ts {
		for ts[i].Sub(ts[first]) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Incident LIMIT: a server that states the rate of requests that it takes from all routers
// together got several times that rate. Guards against routers that ignore the limit, that each
// use all of it, or that exceed it with retries, resumed streams or larger models.
func TestStatedLimit(t *testing.T) {
	t.Parallel()
	const rate = 2.0
	tests := map[string]struct {
		service, method, path string
		// reply is the limited server's, other that of a server without a limit; nil means none.
		reply, other server.Reply
		// second is true if the limited server is in another failure domain than the routers and
		// the other server, so that it is tried second.
		second bool
	}{
		"plain service":   {"desk", "POST", "/order/1", fine, fine, false},
		"retries":         {"desk", "GET", "/read/1", fine, server.Answer{Status: 500, Body: "failed"}, true},
		"streams":         {"llm", "GET", "/chat/1", server.Events{Count: 4}, server.Events{Count: 4}, false},
		"resumed streams": {"llm", "GET", "/chat/1", server.Events{Count: 4}, server.Events{Count: 4, TruncateAfter: 2}, true},
		"only server":     {"desk", "GET", "/read/1", fine, nil, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ws := startRouters(t, standardDocument(), 4)
			limited, n := ws[0].server(c.service, "s1", "v1", always(c.reply)), 1
			limited.SetLimit(strconv.FormatFloat(rate, 'f', -1, 64))
			if c.other != nil {
				other := ws[0].server(c.service, "s2", "v1", always(c.other))
				n = 2
				away := other
				if c.second {
					away = limited
				}
				ws[0].moveTo("b", away, c.service)
			}
			for _, w := range ws {
				w.awaitUpstreams(n)
			}
			served, refusals := sendSteadily(ws, limitGrace+2*limitWindow, c.method, c.path)
			qs := limited.Requests()
			if len(qs) == 0 || served == 0 {
				t.Fatalf("%d requests at the limited server, %d served", len(qs), served)
			}
			allowed := int(limitFactor*rate*limitWindow.Seconds()) + limitTolerance
			if most := mostInWindow(qs, qs[0].At.Add(limitGrace)); most > allowed {
				t.Errorf("%d requests within %s, allowed %d", most, limitWindow, allowed)
			}
			refused := 0
			for _, n := range refusals {
				refused += n
			}
			if c.other != nil && !c.second && refused > 0 {
				t.Errorf("%d of %d requests refused although the other server takes them: %v", refused, served+refused, refusals)
			}
		})
	}
}

// sendSteadily sends requests through all routers for d and returns how many were answered with
// success and how many were refused as not run, by the message. It logs other results.
func sendSteadily(ws []*harness, d time.Duration, method, path string) (served int, refusals map[string]int) {
	const pause = 40 * time.Millisecond
	ctx, stop := context.WithTimeout(context.Background(), d)
	defer stop()
	var mu sync.Mutex
	var wg sync.WaitGroup
	refusals = map[string]int{}
	for _, w := range ws {
		wg.Go(func() {
			tick := time.NewTicker(pause)
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
				wg.Go(func() {
					a := w.send(method, path, "")
					mu.Lock()
					defer mu.Unlock()
					switch {
					case a.err == nil && a.status < 500:
						served++
					case a.status == 503:
						refusals[a.message()]++
					default:
						fmt.Fprintf(w.logs, "test: %s got %d %s %v\n", a.id, a.status, a.body, a.err)
					}
				})
			}
		})
	}
	wg.Wait()
	return served, refusals
}

// message returns the message of a refusal, or the body if it is no refusal.
func (r response) message() string {
	var e struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(r.body), &e) != nil {
		return r.body
	}
	return e.Error.Message
}

// All servers of a service limit their requests, and each has room for some. Guards against requests
// that come at once, lose the places at the same few servers to each other, and are refused although
// others have room.
func TestLimitedBurst(t *testing.T) {
	t.Parallel()
	const servers, burst = 12, 12
	w := startRouter(t, standardDocument())
	for i := range servers {
		w.server("desk", fmt.Sprintf("s%d", i), "v1", always(fine)).SetLimit("1")
	}
	w.awaitUpstreams(servers)
	// Each server states its limit, and the router knows that it is alone.
	for i := range servers {
		w.eventually(fmt.Sprintf("limit %d", i+1), func() bool {
			w.send("POST", "/order/1", "")
			return strings.Count(w.logs.String(), `"message":"upstream limits the requests`) > i
		})
	}
	time.Sleep(5 * time.Second)
	var wg sync.WaitGroup
	for range burst {
		wg.Go(func() {
			if a := w.send("POST", "/order/1", ""); a.status != 200 {
				t.Errorf("got %d %s", a.status, a.code())
			}
		})
	}
	wg.Wait()
}
