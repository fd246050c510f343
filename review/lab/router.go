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
	"strings"
	"syscall"
	"time"
)

// Router is a router process with its settings.
type Router struct {
	Name, Zone, Clients, Admin, Share string

	dir, program string
	process      *exec.Cmd
	log          *os.File
	done         chan struct{}
}

// bounds are the figures of a small deployment, in the names of the settings template.
const bounds = `[bounds]
grace-s = 8
revoke-ms = 5000
retry-ratio = 0.9
retry-window-s = 10
retry-slack = 56
canary-share = 0.15
`

// newRouter returns a router that isn't started yet, on a loopback address of its own.
func newRouter(program, dir, name, zone, ip string) *Router {
	return &Router{Name: name, Zone: zone, Clients: ip + ":8227", Admin: ip + ":8220", Share: ip + ":8229", dir: dir, program: program}
}

// freeNetwork returns the first three bytes of loopback addresses on which nothing listens.
func freeNetwork() (string, error) {
	for range 50 {
		n := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))
		l, err := net.Listen("tcp", n+".10:8227")
		if err == nil {
			return n, l.Close()
		}
	}
	return "", errors.New("no free loopback addresses")
}

// Configure writes the settings file, as the platform does from the template.
func (r *Router) Configure(store string, seeds []string) error {
	t := fmt.Sprintf("[router]\ninstance = %s\ndomain = %s\nclients = %s\nadmin = %s\nshare = %s\nseeds = %s\nmemory-mb = 134\nprocessors = 1\n\n[store]\naddress = %s\n\n%s",
		r.Name, r.Zone, r.Clients, r.Admin, r.Share, strings.Join(seeds, ","), store, bounds)
	return os.WriteFile(r.settings(), []byte(t), 0o600)
}

func (r *Router) settings() string { return filepath.Join(r.dir, r.Name+".ini") }

// Start starts the process.
func (r *Router) Start() error {
	if r.log == nil {
		f, err := os.Create(filepath.Join(r.dir, r.Name+".log"))
		if err != nil {
			return err
		}
		r.log = f
	}
	c := exec.Command(r.program, "--config", r.settings())
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir}
	c.Stdout, c.Stderr = r.log, r.log
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	r.process, r.done = c, done
	go func() {
		_ = c.Wait()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (r *Router) Signal(s syscall.Signal) { _ = r.process.Process.Signal(s) }

// Kill ends the process and waits for that.
func (r *Router) Kill() {
	if r.process == nil {
		return
	}
	r.Signal(syscall.SIGKILL)
	<-r.done
}

// Ended reports whether the process has ended.
func (r *Router) Ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// AwaitReady waits until the router says that it is ready.
func (r *Router) AwaitReady(limit time.Duration) error {
	c := http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		a, err := c.Get("http://" + r.Admin + "/readyz")
		if err != nil {
			continue
		}
		a.Body.Close()
		if a.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("router %s isn't ready after %s", r.Name, limit)
}
