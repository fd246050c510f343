// Package fleet runs a small deployment of real processes for a test: the stand-ins, entries,
// and an agent for each engine and plain service, with proxies on the links to agents,
// upstreams and the table. Tests check the stand-ins' counters.
package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/proof/links"
	"tarragonvalve.example/proof/proc"
	"tarragonvalve.example/standin/ctrl"
	"tarragonvalve.example/standin/listed"
)

// Options configure a fleet.
type Options struct {
	Entries int
	Engines int
	// Slots is the maximum batch size of each engine, which its agent has in its settings too.
	Slots int
	// DrainLimit is the drain limit of entries and agents; 0 means defaultDrainLimit.
	DrainLimit time.Duration
	// NoDocument starts the fleet without promoting a first document.
	NoDocument bool
	// Front returns the address that an agent calls in place of the stand-in of its upstream, such as that of a proxy
	// in front of it; nil means the stand-in's own.
	Front func(id ident.UpstreamID, target string) string
}

// defaultDrainLimit is longer than any request of the tests.
const defaultDrainLimit = 40 * time.Second

// drainLimit returns the drain limit of entries and agents.
func (o *Options) drainLimit() time.Duration {
	if o.DrainLimit == 0 {
		return defaultDrainLimit
	}
	return o.DrainLimit
}

// Default returns the options of most tests.
func Default() Options {
	return Options{Entries: 2, Engines: 2, Slots: 4}
}

// Fleet is a running deployment.
type Fleet struct {
	t       *testing.T
	o       Options
	dir     string
	Standin *proc.Process
	Addr    ctrl.Addresses
	Entries []*Entry
	Agents  map[ident.UpstreamID]*Agent
}

// Entry is a running entry.
type Entry struct {
	*proc.Process
	Addr entryAddresses
	// Table is the link from the entry to the table.
	Table *links.Link
}

type entryAddresses struct {
	Instance string `json:"instance"`
	Callers  string `json:"callers"`
	Peers    string `json:"peers"`
	Admin    string `json:"admin"`
}

// Agent is a running agent.
type Agent struct {
	*proc.Process
	f    *Fleet
	ID   ident.UpstreamID
	Addr agentAddresses
	// FromEntries is the link from the entries to the agent, ToUpstream the link from the agent
	// to its upstream, Table the link from the agent to the table.
	FromEntries  *links.Link
	ToUpstream   *links.Link
	Table        *links.Link
	settingsPath string
}

type agentAddresses struct {
	Instance string `json:"instance"`
	Listen   string `json:"listen"`
	Admin    string `json:"admin"`
}

// Start starts a fleet. Unless o.NoDocument is set, it promotes the first document and waits
// until every entry answers requests.
func Start(t *testing.T, o Options) *Fleet {
	t.Helper()
	f := &Fleet{t: t, o: o, dir: t.TempDir(), Agents: map[ident.UpstreamID]*Agent{}}
	f.Standin = proc.Start(t, "standin", "standin", &f.Addr, "run", "--config", f.write("standin.ini", o.standinSettings()))
	for id, at := range f.Addr.Engines {
		f.startAgent(id, "", at)
	}
	for id, at := range f.Addr.Plains {
		service := ident.ServiceID(id[:len(id)-len("-1")])
		f.startAgent(id, service, at)
	}
	for i := range o.Entries {
		f.StartEntry(i)
	}
	if o.NoDocument {
		return f
	}
	f.Promote(0, Document("first"), 0)
	f.WaitInForce(1)
	for _, e := range f.Entries {
		f.waitServing(e)
	}
	return f
}

func (f *Fleet) write(name, text string) string {
	p := filepath.Join(f.dir, name)
	if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return p
}

// StartEntry starts the entry with an index and registers it in the instance list.
func (f *Fleet) StartEntry(i int) *Entry {
	f.t.Helper()
	name := fmt.Sprintf("entry-%d", i+1)
	e := &Entry{Table: links.New(f.t, name+"-table", f.Addr.Table)}
	e.Process = proc.Start(f.t, name, "entry", &e.Addr, "--config", f.write(name+".ini", f.entrySettings(i, e.Table.Addr())))
	f.Register(listed.Instance{Instance: e.Addr.Instance, Address: e.Addr.Peers, Role: "entry", Domain: "d1"})
	f.Entries = append(f.Entries, e)
	return e
}

func (f *Fleet) startAgent(id ident.UpstreamID, service ident.ServiceID, target string) {
	f.t.Helper()
	if f.o.Front != nil {
		target = f.o.Front(id, target)
	}
	name := "agent-" + string(id)
	a := &Agent{
		f:          f,
		ID:         id,
		ToUpstream: links.New(f.t, name+"-back", target),
		Table:      links.New(f.t, name+"-table", f.Addr.Table),
	}
	a.settingsPath = f.write(name+".ini", f.agentSettings(id, service, a.ToUpstream.Addr(), a.Table.Addr()))
	a.Process = proc.Start(f.t, name, "agent", &a.Addr, "--config", a.settingsPath)
	a.FromEntries = links.New(f.t, name+"-front", a.Addr.Listen)
	f.Agents[id] = a
	a.register("live")
}

func (a *Agent) register(state string) {
	a.f.Register(listed.Instance{
		Instance: a.Addr.Instance,
		Address:  a.FromEntries.Addr(),
		Role:     "agent",
		Upstream: string(a.ID),
		Domain:   "d1",
		State:    state,
		Labels:   map[string]string{"kind": "engine"},
	})
}

// Restart starts an agent that has ended again on its former address and replaces its
// registration.
func (a *Agent) Restart() {
	a.f.t.Helper()
	old := a.Addr
	a.Process = proc.Start(a.f.t, a.Name, "agent", &a.Addr, "--config", a.settingsPath, "--set", "agent.listen="+old.Listen)
	a.f.Unregister(old.Instance)
	a.register("live")
}

// Engine returns the agent of the engine with an index.
func (f *Fleet) Engine(i int) *Agent {
	return f.Agents[engineID(i)]
}

// Context returns a context that ends with the test.
func (f *Fleet) Context() context.Context {
	return f.t.Context()
}
