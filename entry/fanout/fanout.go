// Package fanout queries all listed processes for their state and their events on
// behalf of operators. Each query opens connections of its own and closes them
// afterwards.
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
	// maxParallel bounds the processes that are queried at the same time.
	maxParallel = 32
	// processTimeout bounds the query of one process.
	processTimeout = 2 * time.Second
	// maxEvents bounds the events that are read from one process.
	maxEvents = 10_000
	// maxMessageBytes bounds one received message.
	maxMessageBytes = 8 << 20
)

// Options are the dependencies of a Fanout.
type Options struct {
	Instance ident.InstanceID
	Domain   ident.DomainID
	// OwnAddr is the address by which the instance list names this entry.
	OwnAddr string
	// Instances returns the instance list.
	Instances func() []roster.Instance
	// State returns this entry's own state, including whether it is draining.
	State func() *wire.State
	// Link returns the link to an upstream, nil for none.
	Link func(u ident.UpstreamID) *agents.Link
	Ring *event.Ring
	// OpenRequests returns the number of requests that are open at this entry.
	OpenRequests func() int
	// Credentials secure the connections; nil means unencrypted.
	Credentials credentials.TransportCredentials
}

// Fanout implements admin.Fleet by queries to all listed processes.
type Fanout struct{ o Options }

// New returns a fan-out over the listed processes.
func New(o Options) *Fanout { return &Fanout{o: o} }

var _ admin.Fleet = (*Fanout)(nil)

// others returns the listed processes except this one, each address once.
func (f *Fanout) others() []roster.Instance {
	var out []roster.Instance
	seen := map[string]bool{f.o.OwnAddr: true}
	for _, i := range f.o.Instances() {
		if seen[i.Addr] || i.ID == f.o.Instance {
			continue
		}
		seen[i.Addr] = true
		out = append(out, i)
	}
	return out
}

// queryAll calls query for each process, at most maxParallel at the same time. n is the
// index of the process; err is set when no client could be created for it.
func (f *Fanout) queryAll(ctx context.Context, is []roster.Instance, query func(ctx context.Context, n int, p wire.PeerClient, err error)) {
	slots := make(chan struct{}, maxParallel)
	var w sync.WaitGroup
	for n, i := range is {
		slots <- struct{}{}
		w.Go(func() {
			defer func() { <-slots }()
			c, cancel := context.WithTimeout(ctx, processTimeout)
			defer cancel()
			g, err := f.dial(i.Addr)
			if err != nil {
				query(c, n, nil, err)
				return
			}
			defer g.Close()
			query(c, n, wire.NewPeerClient(g), nil)
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
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
}

// Instances implements admin.Fleet. A process that can't be reached has a Problem.
func (f *Fanout) Instances(ctx context.Context) []opsapi.Instance {
	is := f.others()
	out := make([]opsapi.Instance, len(is)+1)
	own := f.o.State()
	f.queryAll(ctx, is, func(ctx context.Context, n int, p wire.PeerClient, err error) {
		var s *wire.State
		if err == nil {
			s, err = p.Exchange(ctx, own)
		}
		out[n] = f.instance(is[n], s, err)
	})
	out[len(is)] = fromState(own)
	out[len(is)].ID = f.o.Instance
	out[len(is)].Domain = f.o.Domain
	out[len(is)].Running = f.o.OpenRequests()
	return out
}

func (f *Fanout) instance(i roster.Instance, s *wire.State, err error) opsapi.Instance {
	out := fromState(s)
	if err != nil {
		out = opsapi.Instance{ID: instanceID(i), ConfirmedAgeMS: -1, Problem: "not reached: " + err.Error()}
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

// instanceID returns the instance id of a process that did not answer, or the next
// best name for it.
func instanceID(i roster.Instance) ident.InstanceID {
	switch {
	case i.ID != "":
		return i.ID
	case i.Upstream != "":
		return ident.InstanceID(i.Upstream)
	default:
		return ident.InstanceID(i.Addr)
	}
}

// Events implements admin.Fleet. A process that can't be reached has a Problem.
func (f *Fanout) Events(ctx context.Context, q event.Filter) []admin.ProcessEvents {
	is := f.others()
	out := make([]admin.ProcessEvents, len(is)+1)
	f.queryAll(ctx, is, func(ctx context.Context, n int, p wire.PeerClient, err error) {
		e := admin.ProcessEvents{Instance: instanceID(is[n]), Role: is[n].Role, Domain: is[n].Domain}
		if err == nil {
			err = f.readEvents(ctx, p, q, &e)
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

// readEvents adds the matching events of one process to out. It keeps the events that
// arrived before an error.
func (f *Fanout) readEvents(ctx context.Context, p wire.PeerClient, q event.Filter, out *admin.ProcessEvents) error {
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
