// Package fanout asks all live processes for their state and events on behalf of
// operators. Its connections last for one question.
package fanout

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/admin"
	"tarragonvalve.example/entry/agents"
	"tarragonvalve.example/entry/roster"
)

const (
	// parallel bounds the processes that are asked at once.
	parallel = 32
	// askLimit bounds the answer of one process.
	askLimit = 2 * time.Second
	// maxEvents bounds the events taken from one process.
	maxEvents  = 10_000
	maxMessage = 8 << 20
)

// Options are the parts of a Fanout.
type Options struct {
	Instance ident.InstanceID
	Domain   ident.DomainID
	// Own is the address at which this entry is listed.
	Own       string
	Instances func() []roster.Instance
	// State returns this entry's own state, with draining.
	State func() *wire.State
	Link  func(u ident.UpstreamID) *agents.Link
	Ring  *event.Ring
	// Open is the number of requests open here.
	Open        func() int
	Credentials credentials.TransportCredentials
}

// Fanout implements admin.Fleet.
type Fanout struct{ o Options }

// New returns a fan-out.
func New(o Options) *Fanout { return &Fanout{o: o} }

var _ admin.Fleet = (*Fanout)(nil)

// others returns all listed processes but this one.
func (f *Fanout) others() []roster.Instance {
	var out []roster.Instance
	seen := map[string]bool{f.o.Own: true}
	for _, i := range f.o.Instances() {
		if seen[i.Addr] || i.Instance == f.o.Instance {
			continue
		}
		seen[i.Addr] = true
		out = append(out, i)
	}
	return out
}

// each asks all other processes, a bounded number at a time.
func (f *Fanout) each(ctx context.Context, is []roster.Instance, ask func(ctx context.Context, n int, p wire.PeerClient, err error)) {
	free := make(chan struct{}, parallel)
	var w sync.WaitGroup
	for n, i := range is {
		free <- struct{}{}
		w.Go(func() {
			defer func() { <-free }()
			c, cancel := context.WithTimeout(ctx, askLimit)
			defer cancel()
			g, err := f.dial(i.Addr)
			if err != nil {
				ask(c, n, nil, err)
				return
			}
			defer g.Close()
			ask(c, n, wire.NewPeerClient(g), nil)
		})
	}
	w.Wait()
}

func (f *Fanout) dial(addr string) (*grpc.ClientConn, error) {
	t := f.o.Credentials
	if t == nil {
		t = insecure.NewCredentials()
	}
	return grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(t),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)))
}

// Instances implements admin.Fleet.
func (f *Fanout) Instances(ctx context.Context) []opsapi.Instance {
	is := f.others()
	out := make([]opsapi.Instance, len(is)+1)
	own := f.o.State()
	f.each(ctx, is, func(ctx context.Context, n int, p wire.PeerClient, err error) {
		var s *wire.State
		if err == nil {
			s, err = p.Exchange(ctx, own)
		}
		out[n] = f.instance(is[n], s, err)
	})
	out[len(is)] = fromState(own)
	out[len(is)].ID = f.o.Instance
	out[len(is)].Domain = f.o.Domain
	out[len(is)].Running = f.o.Open()
	return out
}

func (f *Fanout) instance(i roster.Instance, s *wire.State, err error) opsapi.Instance {
	out := fromState(s)
	if err != nil {
		out = opsapi.Instance{ID: name(i), ConfirmedAgeMS: -1, Problem: "not reached: " + err.Error()}
	}
	out.Role = i.Role
	out.Domain = i.Domain
	out.Upstream = i.Upstream
	if l := f.o.Link(i.Upstream); l != nil && l.LatestStatus() != nil {
		out.Queued = int(l.LatestStatus().Status.GetQueued())
		out.Running = int(l.LatestStatus().Status.GetRunning())
	}
	return out
}

func fromState(s *wire.State) opsapi.Instance {
	return opsapi.Instance{
		ID:             ident.InstanceID(s.GetInstance()),
		Role:           s.GetRole(),
		Generation:     ident.Generation(s.GetGeneration()),
		Digest:         envdoc.Digest(s.GetDigest()),
		ConfirmedAgeMS: s.GetConfirmedAgeMs(),
		Draining:       s.GetDraining(),
	}
}

// name identifies a process that could not be asked.
func name(i roster.Instance) ident.InstanceID {
	switch {
	case i.Instance != "":
		return i.Instance
	case i.Upstream != "":
		return ident.InstanceID(i.Upstream)
	default:
		return ident.InstanceID(i.Addr)
	}
}

// Events implements admin.Fleet.
func (f *Fanout) Events(ctx context.Context, q event.Filter) []admin.ProcessEvents {
	is := f.others()
	out := make([]admin.ProcessEvents, len(is)+1)
	f.each(ctx, is, func(ctx context.Context, n int, p wire.PeerClient, err error) {
		e := admin.ProcessEvents{Instance: name(is[n]), Role: is[n].Role, Domain: is[n].Domain}
		if err == nil {
			err = f.read(ctx, p, q, &e)
		}
		if err != nil {
			e.Problem = "not reached: " + err.Error()
		}
		out[n] = e
	})
	es, lost := f.o.Ring.Snapshot()
	out[len(is)] = admin.ProcessEvents{
		Instance:    f.o.Instance,
		Role:        roster.RoleEntry,
		Domain:      f.o.Domain,
		Events:      event.Select(es, q),
		Overwritten: lost,
	}
	return out
}

// read takes the events of one process. What arrived before an error is kept.
func (f *Fanout) read(ctx context.Context, p wire.PeerClient, q event.Filter, out *admin.ProcessEvents) error {
	m := &wire.EventsRequest{
		RequestId: string(q.Request),
		Session:   string(q.Session),
		Account:   string(q.Account),
		Version:   q.Version,
		Limit:     uint32(max(q.Limit, 0)),
	}
	if !q.Since.IsZero() {
		m.SinceUnixMs = q.Since.UnixMilli()
	}
	s, err := p.Events(ctx, m)
	if err != nil {
		return err
	}
	for len(out.Events) < maxEvents {
		e, err := s.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		out.Overwritten = max(out.Overwritten, e.GetOverwritten())
		if e.GetInstance() != "" {
			out.Instance = ident.InstanceID(e.GetInstance())
		}
		if e.GetKind() != "" {
			out.Events = append(out.Events, event.FromWire(e))
		}
	}
	return nil
}
