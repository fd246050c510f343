package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are those of a small deployment, as the users' page DEPLOY shows them.
var bounds = map[string]string{
	"bounds.grace_period_s": "8", "bounds.revoke_timeout_ms": "5000", "bounds.retry_budget_ratio": "0.9",
	"bounds.retry_window_s": "10", "bounds.budget_slack": "56", "bounds.canary_share": "0.15", "limits.memory_mb": "134",
}

// stability is stability_window_ms of the same deployment.
const stability = 3 * time.Second

// machine is an edge machine with the role of the deploy file.
type machine struct {
	name, zone, frontend, readiness, control string
	settings, log                            string

	mu      sync.Mutex
	process *os.Process
	done    chan struct{}
	// touched is when the machine was last disturbed by the test: started, killed or frozen.
	touched time.Time
}

// freePort returns a free port of a loopback address.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// newMachines returns n machines in three zones that are not started. The first three are the seeds, or as many of them as
// there are.
func newMachines(root, dir, store string, n int) ([]*machine, error) {
	var ms []*machine
	for i := range n {
		ip := fmt.Sprintf("127.10.%d.%d", i%3+1, i/3+1)
		m := &machine{name: fmt.Sprintf("edge-%c-%d", 'a'+i%3, i/3+1), zone: fmt.Sprintf("zone-%c", 'a'+i%3)}
		for _, a := range []*string{&m.frontend, &m.readiness, &m.control} {
			var err error
			if *a, err = freePort(ip); err != nil {
				return nil, err
			}
		}
		ms = append(ms, m)
	}
	var seeds []string
	for _, m := range ms[:min(n, 3)] {
		seeds = append(seeds, m.control)
	}
	t, err := os.ReadFile(filepath.Join(root, "deploy/router.ini"))
	if err != nil {
		return nil, err
	}
	for _, m := range ms {
		values := map[string]string{
			"node_name": m.name, "zone": m.zone, "listen.frontend": m.frontend, "listen.readiness": m.readiness,
			"listen.control_plane": m.control, "seed_nodes": strings.Join(seeds, ","), "platform.address": store,
		}
		text := regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(string(t), func(p string) string {
			k := strings.Trim(p, "{}")
			if v, ok := values[k]; ok {
				return v
			}
			return bounds[k]
		})
		m.settings, m.log = filepath.Join(dir, m.name+".ini"), filepath.Join(dir, m.name+".log")
		if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return ms, nil
}

// starter runs functions on a thread that never ends: the kernel ends a process when the thread that started it does.
var starter = func() chan<- func() {
	fs := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range fs {
			f()
		}
	}()
	return fs
}()

// start starts the machine's process with the command of the deploy file.
func (m *machine) start(root string) error {
	f, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	c := exec.Command(filepath.Join(root, "target/router"), "--config", m.settings)
	c.Dir, c.Stdout, c.Stderr = root, f, f
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "TARRAGONVALVE_NODE_FILE=" + m.settings}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starter <- func() { started <- c.Start() }
	if err := <-started; err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.process, m.done, m.touched = c.Process, done, time.Now()
	m.mu.Unlock()
	go func() {
		c.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to the machine's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		m.process.Signal(s)
		m.touched = time.Now()
	}
}

// kill ends the machine's process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done != nil {
		<-done
	}
}

// alive reports whether the process runs.
func (m *machine) alive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.done == nil {
		return false
	}
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

// inTouch reports whether the machine has been left alone for the stability window at t.
func (m *machine) inTouch(t time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.touched.IsZero() && t.Sub(m.touched) >= stability
}

// ready asks for readiness as the platform does.
func (m *machine) ready() bool {
	a, err := plainGet(m.readiness, "/readyz")
	return err == nil && a == 200
}
