package boot

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/gossip"
	"tarragonvalve.example/router/mirror"
	"tarragonvalve.example/router/place"
	"tarragonvalve.example/router/share"
	"tarragonvalve.example/standin/pause"
	"tarragonvalve.example/standin/ports"
	"tarragonvalve.example/standin/tables"
)

const (
	// costUpstreams, costPeers and costEvents are as in the users' bench.
	costUpstreams = 58
	costPeers     = 31
	costEvents    = 20
	// profileVariable names a directory for processor profiles of the measured routers.
	profileVariable = "ROUTER_PROFILE_DIR"
)

// costSite has a store and upstreams for routers whose processor time is measured.
type costSite struct {
	b       *testing.B
	store   string
	clients string
	admin   string
	process *exec.Cmd
}

// newCostSite starts the store and the upstreams, half of them engines.
func newCostSite(b *testing.B) *costSite {
	store := tables.New()
	s := httptest.NewServer(store)
	b.Cleanup(s.Close)
	w := &costSite{b: b, store: s.Listener.Addr().String()}
	w.put(store, "op", "config", standardDocument())
	for i := range costUpstreams {
		name, service := fmt.Sprintf("u%d", i), []string{"desk", "llm"}[i%2]
		u := httptest.NewServer(http.HandlerFunc(answerCost))
		b.Cleanup(u.Close)
		w.put(store, "servers", name, map[string]any{
			"service": service, "address": u.Listener.Addr().String(), "zone": []string{"a", "b", "c"}[i%3], "version": "v1", "slots": 32, "state": "ready", "born": 1,
		})
	}
	return w
}

func (w *costSite) put(s *tables.Store, table, key string, row map[string]any) {
	if err := s.PutJSON(table, key, row); err != nil {
		w.b.Fatal(err)
	}
}

// answerCost answers like the users' servers: streams of events of 70 bytes, and short answers.
func answerCost(w http.ResponseWriter, q *http.Request) {
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	h := w.Header()
	h.Set("Tarragonvalve-Attempt-Id", q.Header.Get("Tarragonvalve-Attempt-Id"))
	h.Set("Tarragonvalve-Server-Signature", strings.Repeat("s", 64))
	h.Set("Tarragonvalve-Server-Load", "2,0,32")
	h.Set("Keep-Alive", "timeout=5")
	if !strings.HasPrefix(q.URL.Path, "/chat/") {
		h.Set("Content-Type", "application/json")
		io.WriteString(w, strings.Repeat("x", 800))
		return
	}
	h.Set("Tarragonvalve-Route-Confidence", "95")
	h.Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	for i := 1; i <= costEvents; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("t", 55))
		if c.Flush() != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// start starts a router with further lines of the section [router]. It is killed at the end of the benchmark.
func (w *costSite) start(name, settings string, processors int) {
	w.clients, w.admin = w.free(), w.free()
	path := filepath.Join(w.b.TempDir(), "router.ini")
	text := fmt.Sprintf("[router]\ninstance = %s\ndomain = a\nclients = %s\nadmin = %s\nmemory-mb = 120\nprofiles = yes\n%s[store]\naddress = %s\n[bounds]\nretry-slack = 50\n",
		name, w.clients, w.admin, settings, w.store)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		w.b.Fatal(err)
	}
	x, err := os.Executable()
	if err != nil {
		w.b.Fatal(err)
	}
	p := exec.Command(x, "--config", path)
	p.Env = append(os.Environ(), processVariable+"=1")
	if processors > 0 {
		p.Env = append(p.Env, "GOMAXPROCS="+strconv.Itoa(processors))
	}
	// A writer that is no file makes the output a pipe, as it is for the users' routers.
	p.Stdout = struct{ io.Writer }{io.Discard}
	if err := p.Start(); err != nil {
		w.b.Fatal(err)
	}
	w.process = p
	w.b.Cleanup(func() {
		p.Process.Kill()
		p.Wait()
	})
	time.Sleep(time.Second) // until it has read the store
}

func (w *costSite) free() string {
	a, err := ports.Free()
	if err != nil {
		w.b.Fatal(err)
	}
	return a
}

// processorTime returns the processor time that the router has used.
func (w *costSite) processorTime() time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", w.process.Process.Pid))
	if err != nil {
		w.b.Fatal(err)
	}
	// The fields after the command's name, which may hold spaces; user and system time are the 14th and 15th.
	fs := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	const user, tick = 11, 10 * time.Millisecond
	var sum time.Duration
	for _, f := range fs[user : user+2] {
		n, err := strconv.Atoi(f)
		if err != nil {
			w.b.Fatal(err)
		}
		sum += time.Duration(n) * tick
	}
	return sum
}

// calls returns the numbers of read and write calls that the router has made.
func (w *costSite) calls() (reads, writes int) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", w.process.Process.Pid))
	if err != nil {
		w.b.Fatal(err)
	}
	for l := range strings.Lines(string(b)) {
		k, v, _ := strings.Cut(strings.TrimSpace(l), ": ")
		n, err := strconv.Atoi(v)
		if err != nil {
			w.b.Fatal(err)
		}
		switch k {
		case "syscr":
			reads = n
		case "syscw":
			writes = n
		}
	}
	return reads, writes
}

// switches returns how often threads of the router have waited.
func (w *costSite) switches() int {
	fs, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", w.process.Process.Pid))
	if err != nil {
		w.b.Fatal(err)
	}
	sum := 0
	for _, f := range fs {
		b, err := os.ReadFile(f)
		if err != nil {
			continue // the thread has ended
		}
		for l := range strings.Lines(string(b)) {
			if v, ok := strings.CutPrefix(l, "voluntary_ctxt_switches:"); ok {
				n, err := strconv.Atoi(strings.TrimSpace(v))
				if err != nil {
					w.b.Fatal(err)
				}
				sum += n
			}
		}
	}
	return sum
}

// measure reports the processor time, reads, writes and waits of the router while f runs, for each of its b.N operations. A profile is taken with
// profileVariable.
func (w *costSite) measure(unit string, f func()) {
	stop := w.profile()
	reads, writes := w.calls()
	switches := w.switches()
	began := w.processorTime()
	w.b.ResetTimer()
	f()
	w.b.StopTimer()
	used := w.processorTime() - began
	r, n := w.calls()
	switched := w.switches() - switches
	stop()
	w.b.ReportMetric(float64(switched)/float64(w.b.N), "switches/"+unit)
	w.b.ReportMetric(float64(r-reads)/float64(w.b.N), "reads/"+unit)
	w.b.ReportMetric(float64(n-writes)/float64(w.b.N), "writes/"+unit)
	w.b.ReportMetric(float64(used.Microseconds())/float64(w.b.N), "cpu-us/"+unit)
}

// profile begins a processor profile of the router and returns a function that waits for its end.
func (w *costSite) profile() func() {
	dir := os.Getenv(profileVariable)
	if dir == "" || w.b.N == 1 {
		return func() {}
	}
	done := make(chan error, 1)
	go func() {
		a, err := http.Get("http://" + w.admin + "/debug/pprof/profile?seconds=5")
		if err != nil {
			done <- err
			return
		}
		defer a.Body.Close()
		b, err := io.ReadAll(a.Body)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, strings.ReplaceAll(w.b.Name(), "/", "-")+".pprof"), b, 0o600)
		}
		done <- err
	}()
	return func() {
		if err := <-done; err != nil {
			w.b.Error(err)
		}
	}
}

// send sends b.N requests by clients that keep their connections, at a rate of at most one request in each pause. Each
// must be answered as a whole with 200.
func (w *costSite) send(clients int, pause time.Duration, method, path string, body int, headers string) {
	var next atomic.Int64
	var wait sync.WaitGroup
	began := time.Now()
	for range clients {
		wait.Go(func() {
			c, err := net.Dial("tcp", w.clients)
			if err != nil {
				w.b.Error(err)
				return
			}
			defer c.Close()
			r := bufio.NewReader(c)
			for n := next.Add(1); n <= int64(w.b.N); n = next.Add(1) {
				time.Sleep(time.Until(began.Add(time.Duration(n) * pause)))
				fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: shop.example\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\n%sContent-Length: %d\r\n\r\n%s",
					method, path, nextID(), headers, body, strings.Repeat("p", body))
				a, err := http.ReadResponse(r, nil)
				if err != nil {
					w.b.Error(err)
					return
				}
				if _, err := io.Copy(io.Discard, a.Body); err != nil || a.StatusCode != http.StatusOK {
					w.b.Errorf("got %d, %v", a.StatusCode, err)
					return
				}
			}
		})
	}
	wait.Wait()
}

// listen exchanges samples with the router and watches its topics, like a peer without requests of its own, until
// ctx ends. It counts the exchanges and reads.
func (w *costSite) listen(ctx context.Context, name, address string, exchanges, reads *atomic.Int64) {
	c, err := share.NewClient(address)
	if err != nil {
		w.b.Error(err)
		return
	}
	defer c.Close()
	var wait sync.WaitGroup
	for _, t := range []mirror.Topic{mirror.TopicOrders, mirror.TopicUpstreams, mirror.TopicProgress} {
		wait.Go(func() {
			a, err := c.Snapshot(ctx, t)
			for err == nil {
				a, err = c.Watch(ctx, t, a.Revision, 150*time.Millisecond)
				reads.Add(1)
			}
		})
	}
	var after gossip.Cursor
	for ctx.Err() == nil {
		var ss []place.Sample
		for i := range 8 {
			ss = append(ss, place.Sample{Upstream: ident.UpstreamID(fmt.Sprintf("u%d", i)), Responses: 1, Load: call.Load{Slots: 32}, HasLoad: true, Successes: 1, Domain: "a", At: time.Now()})
		}
		a, err := c.Exchange(ctx, gossip.Message{Sender: name, Samples: ss, Routers: 1, After: after})
		if err != nil {
			break
		}
		after = a.Next
		exchanges.Add(1)
		time.Sleep(max(a.Pause, 150*time.Millisecond))
	}
	wait.Wait()
}

// BenchmarkCost reports the processor time that a router uses for each request and each second without requests.
func BenchmarkCost(b *testing.B) {
	const prompt = "Tarragonvalve-Model-Name: *\r\nTarragonvalve-Token-Usage: 3000,60\r\nTarragonvalve-Prompt-Prefix: sys:800,doc:1500,own:700\r\nTarragonvalve-Output-Length-Hint: 60\r\n"
	for _, processors := range []int{0, 1, 2} {
		b.Run(fmt.Sprintf("processors-%d", processors), func(b *testing.B) {
			requests := func(b *testing.B, clients int, pause time.Duration, method, path string, body int, headers string) {
				w := newCostSite(b)
				w.start("r1", "", processors)
				w.measure("op", func() { w.send(clients, pause, method, path, body, headers) })
			}
			// 20 requests a second are what a router of the users' bench gets.
			for name, pause := range map[string]time.Duration{"": 0, "-paced": 50 * time.Millisecond} {
				b.Run("lookup"+name, func(b *testing.B) { requests(b, 8, pause, "GET", "/read/1", 0, "") })
				b.Run("order"+name, func(b *testing.B) { requests(b, 8, pause, "POST", "/order/1", 800, "") })
				b.Run("stream"+name, func(b *testing.B) { requests(b, 24, pause, "POST", "/chat/1", 12_000, prompt) })
			}
			b.Run("stream-late", func(b *testing.B) {
				w := newCostSite(b)
				w.start("r1", "", processors)
				end := pause.Throttle(w.process.Process, 10*time.Millisecond, 50*time.Millisecond)
				w.measure("op", func() { w.send(24, 50*time.Millisecond, "POST", "/chat/1", 12_000, prompt) })
				if err := end(); err != nil {
					b.Error(err)
				}
			})
			// Of these, an operation is a second.
			b.Run("idle", func(b *testing.B) {
				w := newCostSite(b)
				w.start("r1", "", processors)
				w.measure("s", func() { time.Sleep(time.Duration(b.N) * time.Second) })
			})
			b.Run("member", func(b *testing.B) {
				w := newCostSite(b)
				seed := w.free()
				w.start("r1", "seeds = "+seed+"\nshare = "+seed+"\n", processors)
				w.start("r2", "seeds = "+seed+"\n", processors)
				w.measure("s", func() { time.Sleep(time.Duration(b.N) * time.Second) })
			})
			b.Run("seed", func(b *testing.B) {
				w := newCostSite(b)
				seed := w.free()
				w.start("r1", "seeds = "+seed+"\nshare = "+seed+"\n", processors)
				var exchanges, reads atomic.Int64
				ctx, stop := context.WithCancel(b.Context())
				var wait sync.WaitGroup
				for i := range costPeers {
					wait.Go(func() { w.listen(ctx, fmt.Sprintf("p%d", i), seed, &exchanges, &reads) })
				}
				time.Sleep(time.Second)
				exchanges.Store(0)
				reads.Store(0)
				w.measure("s", func() { time.Sleep(time.Duration(b.N) * time.Second) })
				b.ReportMetric(float64(exchanges.Load())/float64(b.N), "exchanges/s")
				b.ReportMetric(float64(reads.Load())/float64(b.N), "watches/s")
				stop()
				wait.Wait()
			})
		})
	}
}
