package proof_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/proof/fleet"
	"tarragonvalve.example/proof/proc"
)

const (
	// crowdClients is the number of connections that untrusted clients keep open at a time, crowdTime how long they do.
	crowdClients = 300
	crowdTime    = 4 * time.Second
	// crowdMemory is what a process may use by docs/design.md, in bytes.
	crowdMemory = 128 << 20
	// crowdHead is the number of bytes of a head, below the 64 KiB that entries and agents allow.
	crowdHead = 60_000
)

// longHead returns a head of many short lines without its end.
func longHead() string {
	var b strings.Builder
	b.WriteString("GET / HTTP/1.1\r\nHost: a\r\n")
	for i := 0; b.Len() < crowdHead; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\n")
	}
	return b.String()
}

// holdHeads has a crowd send heads without an end to address and hold the connections.
func holdHeads(address string) {
	done := make(chan struct{})
	time.AfterFunc(crowdTime, func() { close(done) })
	head := longHead()
	var tasks sync.WaitGroup
	for range crowdClients {
		tasks.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(10 * time.Millisecond):
				}
				holdHead(address, head, done)
			}
		})
	}
	tasks.Wait()
}

// holdHead sends one head and holds the connection until it is closed or done ends.
func holdHead(address, head string, done <-chan struct{}) {
	n, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, n) // ends with the connection
	}()
	defer func() {
		n.Close()
		<-ended
	}()
	_ = n.SetWriteDeadline(time.Now().Add(crowdTime))
	if _, err := io.WriteString(n, head); err != nil {
		return
	}
	select {
	case <-done:
	case <-ended:
	}
}

// checkCrowd has a crowd send to an address of a process and checks its memory, and that ordinary works afterwards.
func checkCrowd(t *testing.T, p *proc.Process, address string, ordinary func() error) {
	t.Helper()
	holdHeads(address)
	if p.Ended() {
		t.Fatal("the process ended by itself")
	}
	peak, err := p.PeakMemory()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak of the resident memory: %d MiB", peak>>20)
	if peak > crowdMemory {
		t.Errorf("the resident memory grew to %d MiB, want at most %d", peak>>20, crowdMemory>>20)
	}
	for end := time.Now().Add(proc.WaitTimeout); ; time.Sleep(50 * time.Millisecond) {
		if err = ordinary(); err == nil {
			return
		}
		if p.Ended() || time.Now().After(end) {
			t.Fatalf("no ordinary request was answered, process ended: %t, last: %v", p.Ended(), err)
		}
	}
}

// getHealth gets /healthz at an address.
func getHealth(address string) error {
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Get("http://" + address + "/healthz")
	if err != nil {
		return err
	}
	a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", a.StatusCode)
	}
	return nil
}

// Guards against an entry that needs more memory than a process may use because of callers' heads without an end.
func TestCrowdAtEntryCallers(t *testing.T) {
	f := fleet.Start(t, fleet.Default())
	e := f.Entries[0]
	checkCrowd(t, e.Process, e.Addr.Callers, func() error {
		if r := f.Client(e, fleet.Alpha).Chat(f.Context(), fleet.ChatRequest("deep@1", "after the crowd")); r.Err != nil || r.Status != http.StatusOK || r.Code != "" {
			return fmt.Errorf("%s", r.Describe())
		}
		return nil
	})
}

// Guards against the same at the administration address of an entry.
func TestCrowdAtEntryAdmin(t *testing.T) {
	f := fleet.Start(t, fleet.Default())
	e := f.Entries[0]
	checkCrowd(t, e.Process, e.Addr.Admin, func() error { return getHealth(e.Addr.Admin) })
}

// Guards against the same at the administration address of an agent.
func TestCrowdAtAgentAdmin(t *testing.T) {
	f := fleet.Start(t, fleet.Default())
	for _, a := range f.Agents {
		checkCrowd(t, a.Process, a.Addr.Admin, func() error { return getHealth(a.Addr.Admin) })
		return
	}
}
