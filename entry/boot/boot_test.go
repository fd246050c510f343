package boot

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/launch"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/entry/relay"
	"tarragonvalve.example/entry/roster"
	"tarragonvalve.example/entry/setup"
)

// Guards against changed exit codes, which scripts rely on, and against a --check
// that starts the program.
func TestExitCodes(t *testing.T) {
	for name, c := range map[string]struct {
		args []string
		code int
	}{
		"check":       {[]string{"--config", "../testdata/entry.ini", "--check"}, launch.ExitOK},
		"bad setting": {[]string{"--config", "../testdata/entry.ini", "--check", "--set", "callers.max-open=0"}, launch.ExitUsage},
		"bad flag":    {[]string{"--config", "../testdata/entry.ini", "--set", "x"}, launch.ExitUsage},
		"no settings": {nil, launch.ExitUsage},
		"no file":     {[]string{"--config", "missing.ini"}, launch.ExitUsage},
	} {
		var out, errs bytes.Buffer
		if n := Main(c.args, &out, &errs); n != c.code {
			t.Errorf("%s: exit code %d: %s", name, n, &errs)
		}
	}
}

// Guards against components that can't be built together, against steps of the same
// name, and against two starts with the same instance id.
func TestWiring(t *testing.T) {
	s, err := setup.Read("../testdata/entry.ini", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	first, second := instance(s.Entry), instance(s.Entry)
	if first == second {
		t.Error("two starts have the same instance id")
	}
	var out, logs bytes.Buffer
	steps, err := build(s, &out, &logs)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, x := range steps {
		if seen[x.Name()] {
			t.Errorf("two steps are named %s", x.Name())
		}
		seen[x.Name()] = true
	}
	if n := steps[len(steps)-1].Name(); n != "callers" || !bytes.Contains(out.Bytes(), []byte(`"callers":"127.0.0.1:`)) {
		t.Errorf("the last step is %s, announced %s", n, &out)
	}
}

// Guards against wrong shares of exposure bounds and rate limits because an entry
// counts itself twice or counts leaving entries.
func TestMembers(t *testing.T) {
	r := roster.New(roster.Options{Static: []roster.Instance{
		{Role: roster.RoleEntry, Addr: "127.0.0.1:2", ID: "own"},
		{Role: roster.RoleEntry, Addr: "127.0.0.1:1"},
		{Role: roster.RoleEntry, Addr: "127.0.0.1:3", Leaving: true},
		{Role: roster.RoleAgent, Addr: "127.0.0.1:4", Upstream: "u"},
	}})
	p := &members{addr: "127.0.0.1:2", instance: "own", roster: r}
	if f := p.membership(); f.Entries != 2 || f.Rank != 1 {
		t.Errorf("the membership is %+v, want 2 entries and rank 1", f)
	}
	if o := p.others(); len(o) != 2 || o[0] != "127.0.0.1:1" || o[1] != "127.0.0.1:3" {
		t.Errorf("the other entries are %v", o)
	}
}

// Guards against a drain whose end isn't taken into account, so that requests are taken that it interrupts.
func TestAdmitsDuringDrain(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := &readiness{drainTime: 20 * time.Second, now: func() time.Time { return now }, unseen: func() time.Duration { return 0 }}
	if !p.admits(now.Add(time.Hour)) {
		t.Error("refused before the drain")
	}
	p.drain()
	if !p.admits(now.Add(time.Hour)) {
		t.Error("refused as the drain begins")
	}
	now = now.Add(10 * time.Second)
	if !p.admits(now.Add(9 * time.Second)) {
		t.Error("refused a request that ends within the drain")
	}
	if p.admits(now.Add(11 * time.Second)) {
		t.Error("admitted a request that may end after the drain")
	}
}

// Guards against requests that a graceful shutdown interrupts, and against an entry
// that reports to be ready while it drains.
func TestDrainLetsRequestsEnd(t *testing.T) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	entered := make(chan struct{})
	leave := make(chan struct{})
	ph := &readiness{replica: spread.New(spread.Options{Instance: "entry-1"}), isolationLimit: time.Minute, now: time.Now, unseen: func() time.Duration { return 0 }}
	c := &callerServer{
		httpServer: httpServer{listener: n, server: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(entered)
			<-leave
			if r.Context().Err() == nil {
				w.Write([]byte("whole"))
			}
		})}},
		readiness:  ph,
		drainLimit: time.Minute,
		relay:      relay.New(relay.Options{}),
		ring:       event.NewRing(event.NewClock(time.Now), "entry-1", 16),
		log:        zerolog.Nop(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	got := make(chan string, 1)
	go func() {
		r, err := http.Get("http://" + n.Addr().String())
		if err != nil {
			got <- err.Error()
			return
		}
		defer r.Body.Close()
		var b bytes.Buffer
		b.ReadFrom(r.Body)
		got <- b.String()
	}()
	<-entered
	cancel()
	for !ph.draining() {
		time.Sleep(time.Millisecond)
	}
	if err := ph.ready(); err == nil || err.Error() != "draining" {
		t.Errorf("ready returned %v while draining", err)
	}
	close(leave)
	if s := <-got; s != "whole" {
		t.Errorf("the open request got %q", s)
	}
	if err := <-done; err != nil {
		t.Errorf("the drain ended with %v", err)
	}
}
