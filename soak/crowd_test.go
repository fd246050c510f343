package soak

import (
	"bytes"
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

	"tarragonvalve.example/standin/server"
	"tarragonvalve.example/standin/tables"
)

const (
	// crowdClients is the number of connections that untrusted clients keep open at a time.
	crowdClients = 300
	// crowdTime is how long they send. It is longer than the time of a head.
	crowdTime = 4 * time.Second
	// crowdMemoryMB is the memory of the router's machine, in MiB: that of the users' smallest one.
	crowdMemoryMB = 120
	// crowdDescriptors is the router's limit on open files. crowdOpenFiles bounds those that are open: half of the limit
	// belongs to clients, and 64 are enough for upstreams, the store, readiness and the runtime.
	crowdDescriptors = 1024
	crowdOpenFiles   = crowdDescriptors/2 + 64
	// crowdHeadBytes and crowdHeadMs are the limits of heads in the configuration.
	crowdHeadBytes = 16384
	crowdHeadMs    = 3000
	// crowdBlock is the number of bytes of a write, crowdSlowGap the time between two writes of slow clients. A slow client
	// sends less than a head may have in the time that a head may take.
	crowdBlock   = 1000
	crowdSlowGap = 200 * time.Millisecond
	// crowdPatience bounds the wait for an ordinary answer. It is far above the time that one takes.
	crowdPatience = time.Minute
)

// crowdStart is the start of a head that would be served.
const crowdStart = "GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n"

// shortLines returns n bytes or a little less of header lines of few bytes, each with its own name.
func shortLines(n int) string {
	var b strings.Builder
	for i := 0; ; i++ {
		l := strconv.FormatInt(int64(i), 36) + ":\n"
		if b.Len()+len(l) > n {
			return b.String()
		}
		b.WriteString(l)
	}
}

// crowdClient is what one untrusted client sends on each of its connections.
type crowdClient struct {
	// first is sent once. After it, unit is sent again and again; if it is empty, the connection is held open.
	first, unit string
	// gap is the time between two writes.
	gap time.Duration
}

// run opens connections to address one after the other and sends on each until it is closed or done ends.
func (c crowdClient) run(address string, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		default:
		}
		n, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c.send(n, done)
		n.Close()
	}
}

// send sends on one connection until it is closed or done ends.
func (c crowdClient) send(n net.Conn, done <-chan struct{}) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, n) // ends with the connection
	}()
	rest := []byte(c.first)
	unit := []byte(c.unit)
	for {
		if len(rest) == 0 {
			rest = unit
		}
		block := rest[:min(len(rest), crowdBlock)]
		rest = rest[len(block):]
		if len(block) > 0 {
			_ = n.SetWriteDeadline(time.Now().Add(time.Second))
			if _, err := n.Write(block); err != nil {
				return
			}
		}
		gap := c.gap
		if len(block) == 0 {
			gap = crowdTime
		}
		if gap == 0 {
			select {
			case <-done:
				return
			case <-ended:
				return
			default:
			}
			continue
		}
		select {
		case <-done:
			return
		case <-ended:
			return
		case <-time.After(gap):
		}
	}
}

// crowdRouter is a router process with the limits of a small machine.
type crowdRouter struct {
	// clients, admin and share are its addresses.
	clients, admin, share string
	cmd                   *exec.Cmd
	ended                 chan struct{}
	log                   *tail
	// files is the largest number of open files that was seen.
	files atomic.Int64
}

// startCrowdRouter starts a router with one upstream and waits until it serves an ordinary request.
func startCrowdRouter(t *testing.T) *crowdRouter {
	t.Helper()
	store := tables.New()
	s := httptest.NewServer(store)
	t.Cleanup(s.Close)
	up, err := server.New("desk-0", func(server.Request) server.Reply {
		return server.Answer{Status: http.StatusOK, Body: "fine", Confidence: -1}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(up.Close)
	rows := map[[2]string]map[string]any{
		{"servers", "desk-0"}: {"service": "desk", "address": up.Address(), "zone": "a", "version": "v1", "slots": 32, "state": "ready", "born": 1},
		{"op", "config"}: {
			"version": 1,
			"routes": []any{map[string]any{
				"name": "read", "host": "shop.example", "prefix": "/read/", "kind": "idempotent", "timeout_ms": 3000,
				"target_latency_ms": 500, "attempts": 3, "service": "desk",
			}},
			"services": []any{map[string]any{"name": "desk", "max_connections": 32}},
			"limits":   map[string]any{"max_header_bytes": crowdHeadBytes, "max_body_bytes": 4194304, "header_timeout_ms": crowdHeadMs, "idle_timeout_ms": 15000},
		},
	}
	for k, v := range rows {
		if err := store.PutJSON(k[0], k[1], v); err != nil {
			t.Fatal(err)
		}
	}
	r := &crowdRouter{clients: freeAddress(t), admin: freeAddress(t), share: freeAddress(t), log: &tail{}, ended: make(chan struct{})}
	path := filepath.Join(t.TempDir(), "r.ini")
	text := fmt.Sprintf("[router]\ninstance = r0\ndomain = a\nclients = %s\nadmin = %s\nshare = %s\nseeds = %s\nmemory-mb = %d\nprofiles = yes\n[store]\naddress = %s\n[bounds]\ngrace-s = 4\nretry-slack = 100\n",
		r.clients, r.admin, r.share, r.share, crowdMemoryMB, s.Listener.Addr())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	r.cmd = exec.Command("sh", "-c", `ulimit -n "$1" && exec "$2" --config "$3"`, "sh", strconv.Itoa(crowdDescriptors), routerPath, path)
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	if err := r.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(r.ended)
		err := r.cmd.Wait()
		fmt.Fprintln(r.log, "the process ended:", err)
	}()
	t.Cleanup(func() {
		_ = r.cmd.Process.Kill()
		<-r.ended
		if t.Failed() {
			t.Logf("last output:\n%s", r.log)
		}
	})
	if r.checkServes(t, "before the crowd"); t.Failed() {
		t.FailNow()
	}
	return r
}

// alive reports whether the process still runs.
func (r *crowdRouter) alive() bool {
	select {
	case <-r.ended:
		return false
	default:
		return true
	}
}

// checkServes fails the test unless an ordinary request is answered.
func (r *crowdRouter) checkServes(t *testing.T, when string) {
	t.Helper()
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := "no request was sent"
	for end := time.Now().Add(crowdPatience); time.Now().Before(end) && r.alive(); time.Sleep(50 * time.Millisecond) {
		q, err := http.NewRequest(http.MethodGet, "http://"+r.clients+"/read/1", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		q.Host = "shop.example"
		a, err := c.Do(q)
		if err != nil {
			last = err.Error()
			continue
		}
		b, err := io.ReadAll(io.LimitReader(a.Body, 1<<10))
		a.Body.Close()
		if last = fmt.Sprintf("%d %q %v", a.StatusCode, b, err); a.StatusCode == http.StatusOK && string(b) == "fine" {
			return
		}
	}
	t.Errorf("%s: no ordinary request was answered, process alive: %t, last result: %s", when, r.alive(), last)
}

// watchFiles records the largest number of open files until done ends.
func (r *crowdRouter) watchFiles(done <-chan struct{}) {
	for {
		if es, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid)); err == nil {
			r.files.Store(max(r.files.Load(), int64(len(es))))
		}
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// peakMemory returns the largest resident memory that the process has had, in bytes, and false if it has ended.
func (r *crowdRouter) peakMemory() (int64, bool) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return 0, false
	}
	_, after, ok := bytes.Cut(b, []byte("VmHWM:"))
	if !ok {
		return 0, false
	}
	kib, err := strconv.ParseInt(string(bytes.Fields(after)[0]), 10, 64)
	return kib << 10, err == nil
}

// checkCrowd has a crowd of one kind of client send to a new router.
func checkCrowd(t *testing.T, c crowdClient) {
	t.Helper()
	r := startCrowdRouter(t)
	checkCrowdAt(t, c, r, r.clients)
}

// checkCrowdAt is checkCrowd for an address of a running router.
func checkCrowdAt(t *testing.T, c crowdClient, r *crowdRouter, address string) {
	t.Helper()
	done := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(func() { r.watchFiles(done) })
	for range crowdClients {
		tasks.Go(func() { c.run(address, done) })
	}
	time.Sleep(crowdTime)
	close(done)
	tasks.Wait()
	peak, ok := r.peakMemory()
	if !ok || !r.alive() {
		t.Fatal("the process ended by itself")
	}
	t.Logf("peak of the resident memory: %d MiB, open files: %d", peak>>20, r.files.Load())
	if peak > crowdMemoryMB<<20 {
		t.Errorf("the resident memory grew to %d MiB, want at most %d", peak>>20, crowdMemoryMB)
	}
	if n := r.files.Load(); n > crowdOpenFiles {
		t.Errorf("%d files were open, want at most %d", n, crowdOpenFiles)
	}
	r.checkServes(t, "after the crowd")
	if !r.alive() {
		t.Error("the process ended by itself")
	}
}

// Guards against a router that exits, or needs more memory than its machine has, because one header line has no end.
func TestCrowdEndlessLine(t *testing.T) {
	checkCrowd(t, crowdClient{first: crowdStart + "X-Long: ", unit: strings.Repeat("x", crowdBlock)})
}

// Guards against the same when the line arrives slowly.
func TestCrowdEndlessLineSlowly(t *testing.T) {
	checkCrowd(t, crowdClient{first: crowdStart + "X-Long: ", unit: strings.Repeat("x", crowdBlock), gap: crowdSlowGap})
}

// Guards against the same because header lines have no end. Each line of a few bytes costs a hundred in a parsed head.
func TestCrowdEndlessLines(t *testing.T) {
	checkCrowd(t, crowdClient{first: crowdStart, unit: shortLines(1 << 20)})
}

// Guards against the same when the lines arrive slowly.
func TestCrowdEndlessLinesSlowly(t *testing.T) {
	checkCrowd(t, crowdClient{first: crowdStart, unit: shortLines(1 << 20), gap: crowdSlowGap})
}

// Guards against the same because empty lines before a request have no end.
func TestCrowdEmptyLines(t *testing.T) {
	checkCrowd(t, crowdClient{unit: strings.Repeat("\r\n", crowdBlock/2)})
}

// Guards against the same when the empty lines arrive slowly.
func TestCrowdEmptyLinesSlowly(t *testing.T) {
	checkCrowd(t, crowdClient{unit: "\r\n", gap: crowdSlowGap})
}

// Guards against the same because of whole heads that are longer than the limit of the configuration.
func TestCrowdLongHeads(t *testing.T) {
	checkCrowd(t, crowdClient{first: crowdStart + shortLines(60_000) + "\r\n"})
}

// Guards against the same because of heads that are longer than the limit and stay incomplete.
func TestCrowdLongHeadsHeld(t *testing.T) {
	checkCrowd(t, crowdClient{first: crowdStart + shortLines(60_000)})
}

// Guards against the same because many connections hold heads just below the limit of the configuration.
func TestCrowdHeadsBelowLimit(t *testing.T) {
	checkCrowd(t, crowdClient{first: crowdStart + shortLines(crowdHeadBytes-len(crowdStart)-10)})
}

// Guards against the same because many connections with whole heads just below the limit wait for their bodies.
func TestCrowdHeadsBelowLimitWithoutBody(t *testing.T) {
	const start = "POST /read/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 10\r\n"
	checkCrowd(t, crowdClient{first: start + shortLines(crowdHeadBytes-len(start)-10) + "\r\n"})
}

// Guards against the same because many connections that have each had an answer hold heads just below the limit.
func TestCrowdHeadsBelowLimitAfterAnswer(t *testing.T) {
	checkCrowd(t, crowdClient{first: crowdStart + "\r\n" + crowdStart + shortLines(crowdHeadBytes-len(crowdStart)-10)})
}

// Guards against the same because many connections send nothing.
func TestCrowdSilent(t *testing.T) {
	checkCrowd(t, crowdClient{})
}

// Guards against the same because of heads without an end at the address for readiness and metrics.
func TestCrowdAtAdmin(t *testing.T) {
	r := startCrowdRouter(t)
	checkCrowdAt(t, crowdClient{first: crowdStart, unit: shortLines(1 << 20)}, r, r.admin)
}

// Guards against the same because of bytes without an end at the address for other routers, which speak HTTP/2.
func TestCrowdAtShare(t *testing.T) {
	r := startCrowdRouter(t)
	checkCrowdAt(t, crowdClient{first: crowdStart, unit: shortLines(1 << 20)}, r, r.share)
}
