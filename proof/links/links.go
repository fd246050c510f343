// Package links puts proxies between processes under test, so that connections can be made
// silent or be closed. The proxies are those of toxiproxy; they run inside the test process.
package links

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/rs/zerolog"
)

// Link is a proxy in front of one address.
type Link struct {
	proxy *toxiproxy.Proxy
}

// New starts a proxy to target on a port that the kernel chooses. It is stopped at the end of
// the test.
func New(t *testing.T, name, target string) *Link {
	t.Helper()
	s := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	l := &Link{proxy: toxiproxy.NewProxy(s, name, "127.0.0.1:0", target)}
	if err := l.proxy.Start(); err != nil {
		t.Fatalf("start proxy %s: %v", name, err)
	}
	t.Cleanup(l.proxy.Stop)
	return l
}

// Name returns the name that the link was created with.
func (l *Link) Name() string { return l.proxy.Name }

// Addr returns the address on which the proxy listens.
func (l *Link) Addr() string {
	return l.proxy.Listen
}

// addToxic adds a toxic of a kind to one direction (stream) of all connections.
func (l *Link) addToxic(t *testing.T, name, kind, stream string, attributes any) {
	t.Helper()
	b, err := json.Marshal(map[string]any{"name": name, "type": kind, "stream": stream, "attributes": attributes})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(string(b))); err != nil {
		t.Fatalf("add toxic %s to %s: %v", name, l.proxy.Name, err)
	}
}

// Silence stops all data in both directions on present and future connections until Restore,
// which closes them.
func (l *Link) Silence(t *testing.T) {
	t.Helper()
	l.addToxic(t, "silent-up", "timeout", "upstream", map[string]int{"timeout": 0})
	l.addToxic(t, "silent-down", "timeout", "downstream", map[string]int{"timeout": 0})
}

// Restore ends Silence.
func (l *Link) Restore(t *testing.T) {
	t.Helper()
	for _, n := range []string{"silent-up", "silent-down"} {
		if err := l.proxy.Toxics.RemoveToxic(context.Background(), n); err != nil {
			t.Fatalf("remove toxic %s of %s: %v", n, l.proxy.Name, err)
		}
	}
}

// SilenceOpen discards all further data of the connections that are open now; new ones work.
func (l *Link) SilenceOpen(t *testing.T) {
	t.Helper()
	m := &DropOpen{ID: l.proxy.Name + " " + l.Addr()}
	adding.Store(m.ID, true)
	l.addToxic(t, "mute-up", "mute", "upstream", m)
	l.addToxic(t, "mute-down", "mute", "downstream", m)
	adding.Delete(m.ID)
}

// Cut closes the proxy's connections and its listener until Reopen.
func (l *Link) Cut() {
	l.proxy.Stop()
}

// Reopen listens on the same address again after Cut.
func (l *Link) Reopen(t *testing.T) {
	t.Helper()
	if err := l.proxy.Start(); err != nil {
		t.Fatalf("restart proxy %s: %v", l.proxy.Name, err)
	}
}

// adding holds the ids of the DropOpen toxics that are being added. Pipe starts for each
// connection: for the open ones while the toxic is added, for new ones later.
var adding sync.Map

// DropOpen is a toxic that discards the data of the connections that are open when it is
// added.
type DropOpen struct {
	ID string `json:"id"`
}

// Pipe implements toxics.Toxic for one direction of one connection.
func (m *DropOpen) Pipe(s *toxics.ToxicStub) {
	_, drop := adding.Load(m.ID)
	for {
		select {
		case <-s.Interrupt:
			return
		case c := <-s.Input:
			if c == nil {
				s.Close()
				return
			}
			if !drop {
				s.Output <- c
			}
		}
	}
}

func init() {
	toxics.Register("mute", new(DropOpen))
}
