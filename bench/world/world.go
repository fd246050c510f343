// Package world runs one deployment of real processes for an experiment: the
// stand-ins, three entries and an agent beside each upstream.
package world

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/core/table"
	"tarragonvalve.example/standin/ctrl"
	"tarragonvalve.example/standin/listed"
)

const (
	entryCount = 3
	// startsAtOnce bounds the agents that start at the same time.
	startsAtOnce = 8
	startLimit   = 20 * time.Second
	stopLimit    = 15 * time.Second
	readyPoll    = 50 * time.Millisecond
	operatorKey  = "bench-operator-key"
	tableName    = "tarragonvalve"
	tableCredKey = "bench"
)

// Options describe a deployment for one run.
type Options struct {
	// Bin is the folder of the built programs.
	Bin string
	// Standin and Document are the texts of the stand-ins' settings and of the first document.
	Standin  string
	Document string
	// Entry is added to the settings of every entry.
	Entry string
	// Entries is the number of entries; 0 means 3.
	Entries int
	// Product leaves the pauses between reads of the instance list and the
	// ratings at the product's defaults, which are longer than those of experiments.
	Product bool
	// OthersPoll is the pause between reads of the table in all processes but the
	// first entry; 0 means the default of each program.
	OthersPoll time.Duration
	// Dir is a folder for settings and logs.
	Dir string
}

// World is a running deployment.
type World struct {
	o         Options
	http      *http.Client
	Addresses ctrl.Addresses
	Document  *envdoc.Document
	Callers   []string
	Admins    []string
	// Agents are the processes beside the upstreams.
	Agents  map[ident.UpstreamID]*Process
	Entries []*Process
	// Generation is the latest that this world promoted.
	Generation ident.Generation
	// Promoted is the time just before the latest promotion was sent.
	Promoted time.Time

	mu      sync.Mutex
	standin *Process
}

// ready is what entries and agents print when they have started.
type ready struct {
	Instance string `json:"instance"`
	Callers  string `json:"callers"`
	Peers    string `json:"peers"`
	Admin    string `json:"admin"`
	Listen   string `json:"listen"`
}

// Start starts the processes, promotes the document and waits until every entry serves.
func Start(ctx context.Context, o Options) (*World, error) {
	d, err := envdoc.Parse([]byte(o.Document))
	if err != nil {
		return nil, err
	}
	w := &World{o: o, http: &http.Client{Timeout: startLimit}, Document: d, Agents: map[ident.UpstreamID]*Process{}}
	if err := w.start(ctx); err != nil {
		w.Stop()
		return nil, err
	}
	return w, nil
}

func (w *World) start(ctx context.Context) error {
	f, err := w.write("standin.ini", w.o.Standin)
	if err != nil {
		return err
	}
	if w.standin, err = w.run("standin", &w.Addresses, "run", "--config", f); err != nil {
		return err
	}
	if err := w.startAgents(ctx); err != nil {
		return err
	}
	n := w.o.Entries
	if n == 0 {
		n = entryCount
	}
	for i := range n {
		if err := w.startEntry(ctx, i); err != nil {
			return err
		}
	}
	if err := w.Promote(ctx, w.o.Document); err != nil {
		return err
	}
	return w.waitReady(ctx)
}

func (w *World) startAgents(ctx context.Context) error {
	var g sync.WaitGroup
	slots := make(chan struct{}, startsAtOnce)
	failed := make([]error, len(w.Addresses.Upstreams))
	for i, u := range w.Addresses.Upstreams {
		slots <- struct{}{}
		g.Go(func() {
			defer func() { <-slots }()
			failed[i] = w.startAgent(ctx, u)
		})
	}
	g.Wait()
	return errors.Join(failed...)
}

func (w *World) startAgent(ctx context.Context, u ctrl.Upstream) error {
	s := fmt.Sprintf("%s\n[upstream]\nid = %s\ndomain = %s\nslots = %d\n", w.common(w.o.OthersPoll), u.ID, u.Domain, u.Slots)
	if u.Service != "" {
		s += fmt.Sprintf("service = %s\nservice-url = http://%s\n", u.Service, u.Address)
	} else {
		s += fmt.Sprintf("kind = %s\nengine-url = http://%s\n", u.Kind, u.Address)
	}
	name := "agent-" + string(u.ID)
	f, err := w.write(name+".ini", s)
	if err != nil {
		return err
	}
	var a ready
	p, err := w.run("agent", &a, "--config", f)
	if err != nil {
		return err
	}
	p.Peer = a.Listen
	w.mu.Lock()
	w.Agents[u.ID] = p
	w.mu.Unlock()
	return w.register(ctx, listed.Instance{
		Instance: a.Instance, Address: a.Listen, Role: "agent",
		Upstream: string(u.ID), Domain: string(u.Domain), State: "live",
		Labels: map[string]string{"kind": string(u.Kind)},
	})
}

func (w *World) startEntry(ctx context.Context, i int) error {
	domains := w.Domains()
	name := fmt.Sprintf("entry-%d", i+1)
	domain := domains[i%len(domains)]
	poll := w.o.OthersPoll
	if i == 0 {
		poll = 0
	}
	s := w.common(poll) + fmt.Sprintf("\n[entry]\ninstance = %s\ndomain = %s\ndrain-notice = 0s\ndrain-limit = 5s\n", name, domain)
	s += "\n[sessions]\nkeys = bench:key-of-experiments-only\n"
	s += fmt.Sprintf("\n[instances]\nurl = http://%s\n", w.Addresses.Instances)
	if !w.o.Product {
		s += "interval = 500ms\n"
	}
	s += fmt.Sprintf("\n[admin]\noperators = bench:operate:%s\n", envdoc.KeyDigestOf(operatorKey))
	s += fmt.Sprintf("\n[rating]\nurl = http://%s\n", w.Addresses.Rating)
	if !w.o.Product {
		s += "read-interval = 200ms\nreport-one-of = 1\nreport-interval = 5ms\n"
	}
	s += "\n" + w.o.Entry
	f, err := w.write(name+".ini", s)
	if err != nil {
		return err
	}
	var a ready
	p, err := w.run("entry", &a, "--config", f)
	if err != nil {
		return err
	}
	p.Peer = a.Peers
	w.Entries = append(w.Entries, p)
	w.Callers = append(w.Callers, a.Callers)
	w.Admins = append(w.Admins, a.Admin)
	return w.register(ctx, listed.Instance{
		Instance: a.Instance, Address: a.Peers, Role: "entry", Domain: domain, State: "live",
	})
}

// common returns the settings that entries and agents share.
func (w *World) common(poll time.Duration) string {
	s := fmt.Sprintf("[table]\nendpoint = http://%s\nname = %s\naccess-key = %s\nsecret-key = %s\n\n[tls]\nallow-plaintext = yes\n\n[control]\nenvironment = %s\n",
		w.Addresses.Table, tableName, tableCredKey, tableCredKey, w.Document.Name)
	if poll > 0 {
		s += fmt.Sprintf("poll-interval = %s\n", poll)
	}
	return s
}

// Domains returns the failure domains of the upstreams in the order of the settings.
func (w *World) Domains() []string {
	var out []string
	for _, u := range w.Addresses.Upstreams {
		if !slices.Contains(out, string(u.Domain)) {
			out = append(out, string(u.Domain))
		}
	}
	return out
}

func (w *World) register(ctx context.Context, i listed.Instance) error {
	return w.call(ctx, http.MethodPut, "http://"+w.Addresses.Control+"/instances/"+i.Instance, "", i, nil)
}

// Promote tries and promotes a document.
func (w *World) Promote(ctx context.Context, body string) error {
	base := "http://" + w.Admins[0] + opsapi.BasePath
	var tried opsapi.TrialReply
	if err := w.call(ctx, http.MethodPost, base+"/document/trial", operatorKey, opsapi.DocumentRequest{Body: body}, &tried); err != nil {
		return err
	}
	q := opsapi.PromoteRequest{Body: body, Digest: tried.Digest, ExpectedLatest: w.Generation, Reason: "experiment"}
	w.Promoted = time.Now()
	var out opsapi.AcceptedReply
	if err := w.call(ctx, http.MethodPost, base+"/document/promote", operatorKey, q, &out); err != nil {
		return err
	}
	w.Generation = out.Generation.Generation
	d, err := envdoc.Parse([]byte(body))
	if err != nil {
		return err
	}
	w.Document = d
	return nil
}

// Operator reads from the administration API of one entry.
func (w *World) Operator(ctx context.Context, method, admin, path string, out any) error {
	return w.call(ctx, method, "http://"+admin+opsapi.BasePath+path, operatorKey, nil, out)
}

// Control calls the stand-ins' control API.
func (w *World) Control(ctx context.Context, method, path string, in, out any) error {
	return w.call(ctx, method, "http://"+w.Addresses.Control+path, "", in, out)
}

// Table returns a client of the table for reading receipts.
func (w *World) Table() table.Client {
	return table.NewDynamo(table.Options{
		Endpoint: "http://" + w.Addresses.Table, Table: tableName, Region: "local",
		AccessKey: tableCredKey, SecretKey: tableCredKey, Timeout: 30 * time.Second,
	})
}

func (w *World) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for _, a := range w.Admins {
		for {
			err := w.call(ctx, http.MethodGet, "http://"+a+"/readyz", "", nil, nil)
			if err == nil {
				break
			}
			if ctx.Err() != nil {
				return oops.In("world").Wrapf(err, "wait for entry %s", a)
			}
			time.Sleep(readyPoll)
		}
	}
	// Links to agents open as the instance list names them.
	time.Sleep(2 * time.Second)
	return nil
}

func (w *World) call(ctx context.Context, method, url, key string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(b))
	if err != nil {
		return err
	}
	q.Header.Set("Content-Type", "application/json")
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	res, err := w.http.Do(q)
	if err != nil {
		return oops.In("world").Wrapf(err, "call %s", url)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return oops.In("world").Wrapf(err, "read answer of %s", url)
	}
	if res.StatusCode/100 != 2 {
		return oops.In("world").Errorf("call %s: status %d: %s", url, res.StatusCode, body)
	}
	if out == nil || len(body) == 0 {
		return nil
	}
	return json.Unmarshal(body, out)
}

func (w *World) write(name, text string) (string, error) {
	p := filepath.Join(w.o.Dir, name)
	return p, os.WriteFile(p, []byte(text), 0o600)
}

// Stop drains all processes, entries first, and ends those that do not end in time.
func (w *World) Stop() {
	var g sync.WaitGroup
	for _, p := range w.Entries {
		g.Go(p.Stop)
	}
	g.Wait()
	for _, p := range w.Agents {
		g.Go(p.Stop)
	}
	g.Wait()
	if w.standin != nil {
		w.standin.Stop()
	}
}

// Process is a process that this world started.
type Process struct {
	// Peer is the address at which entries reach the process.
	Peer string
	cmd  *exec.Cmd
	done chan struct{}
}

func (w *World) run(program string, out any, args ...string) (*Process, error) {
	c := exec.Command(filepath.Join(w.o.Bin, program), args...)
	log, err := os.OpenFile(filepath.Join(w.o.Dir, program+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	c.Stderr = log
	r, err := c.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.Start(); err != nil {
		return nil, oops.In("world").Wrapf(err, "start %s", program)
	}
	p := &Process{cmd: c, done: make(chan struct{})}
	line := make(chan []byte, 1)
	go p.watch(r, line)
	select {
	case b := <-line:
		if err := json.Unmarshal(b, out); err != nil {
			p.Kill()
			return nil, oops.In("world").Wrapf(err, "read addresses of %s %s", program, strings.Join(args, " "))
		}
		return p, nil
	case <-time.After(startLimit):
		p.Kill()
		return nil, oops.In("world").Errorf("start %s: no addresses within %v", program, startLimit)
	}
}

func (p *Process) watch(r io.Reader, line chan<- []byte) {
	defer close(p.done)
	b := bufio.NewReader(r)
	first, _ := b.ReadBytes('\n')
	line <- first
	_, _ = io.Copy(io.Discard, b)
	_ = p.cmd.Wait()
}

// PID returns the id of the process.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Stop drains the process and kills it when it does not end in time.
func (p *Process) Stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopLimit):
		p.Kill()
	}
}

// CPU returns the processor time that an ended process used.
func (p *Process) CPU() time.Duration {
	if p.cmd.ProcessState == nil {
		return 0
	}
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
}
