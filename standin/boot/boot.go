// Package boot starts the stand-ins on their listeners and implements the program's commands.
package boot

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/standin/answer"
	"tarragonvalve.example/standin/ctrl"
	"tarragonvalve.example/standin/dynamo"
	"tarragonvalve.example/standin/engine"
	"tarragonvalve.example/standin/fault"
	"tarragonvalve.example/standin/listed"
	"tarragonvalve.example/standin/plain"
	"tarragonvalve.example/standin/rating"
	"tarragonvalve.example/standin/setup"
	"tarragonvalve.example/standin/weight"
)

// headerTimeout bounds how long a client may take to send a request header.
const headerTimeout = 10 * time.Second

// Running is a set of running stand-ins.
type Running struct {
	ctrl.Components
	servers []*http.Server
	// listenErr is the error of the first listener that could not be opened.
	listenErr error
}

// Start opens all listeners and serves until Stop is called; the engines generate until ctx
// ends. It fails if a listener can't be opened.
func Start(ctx context.Context, s *setup.Settings) (*Running, error) {
	m := engine.NewModels(s.Versions)
	w := weight.New(s.Weights)
	r := &Running{Components: ctrl.Components{
		Injectors: map[string]*fault.Injector{},
		Models:    m,
		Engines:   map[ident.UpstreamID]*engine.Engine{},
		Runs:      plain.NewRuns(),
		Table:     dynamo.NewStore(s.Table.Writes, s.Table.Reads),
		List:      listed.New(s.Instances.Lag),
		Rating: rating.New(s.Rating, func(v ident.VersionRef, ms []answer.Message) bool {
			return m.Answer(v, ms, 0).Good
		}),
	}}
	a := &r.Addresses
	a.Engines, a.Plains = map[ident.UpstreamID]string{}, map[ident.UpstreamID]string{}
	t := fault.New("table", fault.Options{HasEffect: dynamo.IsWrite, WriteError: dynamo.WriteInjectedError})
	a.Table = r.serve("table", s.Table.Addr, t, t.Wrap(r.Table))
	a.Instances = r.serve("instances", s.Instances.Addr, r.List.Faults(), r.List.Handler())
	a.Rating = r.serve("rating", s.Rating.Addr, r.Rating.Faults(), r.Rating.Handler())
	a.Weights = r.serve("weights", s.Weights.Addr, w.Faults(), w.Handler())
	for _, o := range s.Engines {
		e := engine.New(o, m, w.Fetch)
		r.Engines[o.ID] = e
		a.Engines[o.ID] = r.serve(string(o.ID), o.Addr, e.Faults(), e.Handler())
		a.Upstreams = append(a.Upstreams, ctrl.Upstream{ID: o.ID, Address: a.Engines[o.ID], Domain: o.Domain, Kind: o.Kind, Slots: o.Slots})
		go e.Run(ctx)
	}
	for _, o := range s.Plains {
		p := plain.New(o, r.Runs)
		a.Plains[o.ID] = r.serve(string(o.ID), o.Addr, p.Faults(), p.Handler())
		a.Upstreams = append(a.Upstreams, ctrl.Upstream{ID: o.ID, Address: a.Plains[o.ID], Domain: o.Domain, Service: o.Service, Slots: o.Slots})
	}
	a.Control = r.serve("control", s.Control, nil, r.Handler())
	if r.listenErr != nil {
		r.Stop()
		return nil, r.listenErr
	}
	return r, nil
}

// serve opens a listener, serves h on it and returns its address. After a failure, which it
// records in listenErr, it does nothing. The control API has no fault injector, so that faults
// can always be cleared.
func (r *Running) serve(name, addr string, sw *fault.Injector, h http.Handler) string {
	if r.listenErr != nil {
		return ""
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		r.listenErr = fmt.Errorf("listen for %s: %w", name, err)
		return ""
	}
	at := l.Addr().String()
	if sw != nil {
		r.Injectors[name] = sw
		l = sw.Listen(l)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	r.servers = append(r.servers, s)
	go func() {
		_ = s.Serve(l)
	}()
	return at
}

// Stop closes all listeners and connections.
func (r *Running) Stop() {
	for _, s := range r.servers {
		_ = s.Close()
	}
}
