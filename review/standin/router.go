package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// router is a process of the project's program router, started with the command of the deploy file.
type router struct {
	name, clients, admin string
	// store is the store's address for this machine.
	store *door

	cmd  *exec.Cmd
	done chan struct{}
}

// Ports of routers are drawn below those that the system gives to connections and to listeners without a
// port, so that nothing takes them before their router listens.
const firstPort, lastPort = 20000, 31999

// given holds the ports that freeAddress has returned.
var given = map[int]bool{}

// freeAddress returns a free loopback address IP:PORT, each only once.
func freeAddress() (string, error) {
	for range 1000 {
		p := firstPort + rand.IntN(lastPort-firstPort+1)
		if given[p] {
			continue
		}
		given[p] = true
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			continue
		}
		return l.Addr().String(), l.Close()
	}
	return "", errors.New("no free port was found")
}

// maxSeeds is the largest number of seeds that the platform names.
const maxSeeds = 3

// newRouters starts the routers of a deployment with n edge machines, the first ones of them seeds, with
// the template of the deploy file. They are ready when it returns.
func newRouters(e *env, s *store, n int) ([]*router, error) {
	t, err := os.ReadFile("deploy/router.ini")
	if err != nil {
		return nil, err
	}
	var shares []string
	for range n {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		shares = append(shares, a)
	}
	var rs []*router
	for i := range n {
		r := &router{name: fmt.Sprintf("edge-%d", i+1), done: make(chan struct{})}
		if err := r.start(e, s, string(t), shares[:min(n, maxSeeds)], shares[i]); err != nil {
			endAll(rs)
			return nil, err
		}
		rs = append(rs, r)
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !slices.ContainsFunc(rs, func(r *router) bool { return !r.ready() }) {
			return rs, nil
		}
	}
	endAll(rs)
	return nil, errors.New("the routers did not become ready")
}

// endAll kills routers.
func endAll(rs []*router) {
	for _, r := range rs {
		r.kill()
	}
}

// start starts the process with settings from the template.
func (r *router) start(e *env, s *store, template string, seeds []string, share string) error {
	d, err := s.newDoor()
	if err != nil {
		return err
	}
	r.store = d
	for _, a := range []*string{&r.clients, &r.admin} {
		if *a, err = freeAddress(); err != nil {
			return err
		}
	}
	text := strings.NewReplacer(
		"{{node_name}}", r.name, "{{zone}}", "zone-a", "{{listen.frontend}}", r.clients, "{{listen.readiness}}", r.admin,
		"{{listen.control_plane}}", share, "{{seed_nodes}}", strings.Join(seeds, ","), "{{limits.memory_mb}}", "134",
		"{{platform.address}}", d.address, "{{bounds.grace_period_s}}", "8", "{{bounds.revoke_timeout_ms}}", "5000",
		"{{bounds.retry_budget_ratio}}", "0.9", "{{bounds.retry_window_s}}", "10", "{{bounds.budget_slack}}", "56",
		"{{bounds.canary_share}}", "0.15",
	).Replace(template)
	if strings.Contains(text, "{{") {
		return errors.New("deploy/router.ini has a placeholder that this stand-in doesn't know")
	}
	path := filepath.Join(e.dir, r.name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	r.cmd = exec.Command("target/router", "--config", path)
	r.cmd.Env = append(os.Environ(), "TARRAGONVALVE_NODE_FILE="+path)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := r.cmd.Start(); err != nil {
		return err
	}
	e.routers = append(e.routers, r)
	go func() {
		r.cmd.Wait() //nolint:errcheck // its end is all that counts
		close(r.done)
	}()
	return nil
}

// ready reports whether the router says that it is ready.
func (r *router) ready() bool {
	c := http.Client{Timeout: time.Second}
	a, err := c.Get("http://" + r.admin + "/readyz")
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// terminate sends SIGTERM, and SIGKILL after the grace period, as the platform does. It returns when
// the process has ended.
func (r *router) terminate(grace time.Duration) {
	r.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-r.done:
	case <-time.After(grace):
		r.kill()
	}
}

// kill ends the process.
func (r *router) kill() {
	r.cmd.Process.Kill()
	<-r.done
}
