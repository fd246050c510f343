// Package ctrl is the control API of the stand-ins. Tests and the load command use it to
// inject faults and to read the counters against which they check a run.
//
//   - GET /addresses: the addresses of all components
//   - GET /faults; PUT and DELETE /faults/{part} with a fault.Faults;
//     POST /silence/{part} discards all further data of the connections that are open
//     now; POST /reset/{part} resets them; POST /crash/{engine}
//   - PUT and DELETE /versions/{model@version} with an engine.Override: sets or removes the
//     override of a version's settings
//   - PUT and DELETE /instances/{id} with a listed.Instance; PUT /lag {"lag-ms":N}
//   - GET /counters: Counters, with the starts at or after ?since=N, a Unix time in ms
//   - GET /runs: all runs of plain services; GET /rows?prefix=P: rows of the table;
//     GET /orders: the orders that the engines received
//
// The names of the components ({part}) are table, instances, rating, weights and the ids of
// engines and plain services.
package ctrl

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/standin/dynamo"
	"tarragonvalve.example/standin/engine"
	"tarragonvalve.example/standin/fault"
	"tarragonvalve.example/standin/listed"
	"tarragonvalve.example/standin/plain"
	"tarragonvalve.example/standin/rating"
)

const maxBodyBytes = 1 << 20

// Addresses are the addresses of all components, printed on standard output at the start.
type Addresses struct {
	Control   string                      `json:"control"`
	Table     string                      `json:"table"`
	Instances string                      `json:"instances"`
	Rating    string                      `json:"rating"`
	Weights   string                      `json:"weights"`
	Engines   map[ident.UpstreamID]string `json:"engines"`
	Plains    map[ident.UpstreamID]string `json:"plains"`
	// Upstreams describes the engines and plain services, in the order of the settings.
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream describes an engine or plain service for the settings of its agent.
type Upstream struct {
	ID      ident.UpstreamID `json:"id"`
	Address string           `json:"address"`
	Domain  ident.DomainID   `json:"domain"`
	Kind    ident.KindID     `json:"kind,omitempty"`
	Service ident.ServiceID  `json:"service,omitempty"`
	Slots   int              `json:"slots"`
}

// Counters are the counters of all components.
type Counters struct {
	// Runs counts the runs by plain.KeyID, Starts lists the starts by MODEL@VERSION.
	Runs    map[string]int                     `json:"runs"`
	Engines map[ident.UpstreamID]engine.Counts `json:"engines"`
	Starts  map[string][]engine.Start          `json:"starts"`
	Table   dynamo.Counts                      `json:"table"`
	Rating  rating.Counts                      `json:"rating"`
}

// Components are the running stand-ins on which the control API acts.
type Components struct {
	Addresses Addresses
	Injectors map[string]*fault.Injector
	Models    *engine.Models
	Engines   map[ident.UpstreamID]*engine.Engine
	Runs      *plain.Runs
	Table     *dynamo.Store
	List      *listed.List
	Rating    *rating.Service
}

// Handler returns the HTTP handler of the control API.
func (p *Components) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/addresses", p.addresses)
	r.Get("/faults", p.faults)
	r.Put("/faults/{part}", p.withInjector(setFaults))
	r.Delete("/faults/{part}", p.withInjector(clearFaults))
	r.Post("/silence/{part}", p.withInjector(silence))
	r.Post("/reset/{part}", p.withInjector(reset))
	r.Post("/crash/{engine}", p.crash)
	r.Put("/versions/{ref}", p.overrideVersion)
	r.Delete("/versions/{ref}", p.restoreVersion)
	r.Put("/instances/{id}", p.putInstance)
	r.Delete("/instances/{id}", p.deleteInstance)
	r.Put("/lag", p.setLag)
	r.Get("/counters", p.counters)
	r.Get("/runs", p.runs)
	r.Get("/rows", p.rows)
	r.Get("/orders", p.orders)
	return r
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// readBody decodes the JSON body into v. If that fails it answers 400 and returns false.
func readBody(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (p *Components) addresses(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Addresses)
}

func (p *Components) faults(w http.ResponseWriter, _ *http.Request) {
	out := map[string]fault.Faults{}
	for n, s := range p.Injectors {
		out[n] = s.Get()
	}
	writeJSON(w, out)
}

func (p *Components) withInjector(do func(http.ResponseWriter, *http.Request, *fault.Injector)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s, ok := p.Injectors[chi.URLParam(r, "part")]
		if !ok {
			http.Error(w, "unknown part", http.StatusNotFound)
			return
		}
		do(w, r, s)
	}
}

func setFaults(w http.ResponseWriter, r *http.Request, s *fault.Injector) {
	var f fault.Faults
	if readBody(w, r, &f) {
		s.Set(f)
		w.WriteHeader(http.StatusNoContent)
	}
}

func clearFaults(w http.ResponseWriter, _ *http.Request, s *fault.Injector) {
	s.Set(fault.Faults{})
	w.WriteHeader(http.StatusNoContent)
}

func silence(w http.ResponseWriter, _ *http.Request, s *fault.Injector) {
	writeJSON(w, map[string]int{"connections": s.SilenceOpen()})
}

func reset(w http.ResponseWriter, _ *http.Request, s *fault.Injector) {
	s.Reset()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Components) crash(w http.ResponseWriter, r *http.Request) {
	e, ok := p.Engines[ident.UpstreamID(chi.URLParam(r, "engine"))]
	if !ok {
		http.Error(w, "unknown engine", http.StatusNotFound)
		return
	}
	e.Crash()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Components) overrideVersion(w http.ResponseWriter, r *http.Request) {
	var c engine.Override
	if readBody(w, r, &c) {
		p.setOverride(w, r, c)
	}
}

func (p *Components) restoreVersion(w http.ResponseWriter, r *http.Request) {
	p.setOverride(w, r, engine.Override{})
}

func (p *Components) setOverride(w http.ResponseWriter, r *http.Request, c engine.Override) {
	ref, err := ident.ParseRef(chi.URLParam(r, "ref"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Models.SetOverride(ref, c)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Components) putInstance(w http.ResponseWriter, r *http.Request) {
	var i listed.Instance
	if readBody(w, r, &i) {
		i.Instance = chi.URLParam(r, "id")
		p.List.Put(i)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (p *Components) deleteInstance(w http.ResponseWriter, r *http.Request) {
	p.List.Remove(chi.URLParam(r, "id"))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Components) setLag(w http.ResponseWriter, r *http.Request) {
	var b struct {
		LagMs int `json:"lag-ms"`
	}
	if readBody(w, r, &b) {
		p.List.SetLag(time.Duration(b.LagMs) * time.Millisecond)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (p *Components) counters(w http.ResponseWriter, r *http.Request) {
	ms, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	c := Counters{
		Runs:    p.Runs.PerKey(),
		Engines: map[ident.UpstreamID]engine.Counts{},
		Starts:  map[string][]engine.Start{},
		Table:   p.Table.Counts(),
		Rating:  p.Rating.Counts(),
	}
	for id, e := range p.Engines {
		n, starts := e.Counts(time.UnixMilli(ms))
		c.Engines[id] = n
		for _, s := range starts {
			ref := ident.VersionRef{Model: s.Model, Version: s.Version}.String()
			c.Starts[ref] = append(c.Starts[ref], s)
		}
	}
	writeJSON(w, c)
}

func (p *Components) runs(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Runs.All())
}

func (p *Components) rows(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, p.Table.Rows(r.URL.Query().Get("prefix")))
}

func (p *Components) orders(w http.ResponseWriter, _ *http.Request) {
	out := []engine.OrderRecord{}
	for _, e := range p.Engines {
		out = append(out, e.Orders()...)
	}
	writeJSON(w, out)
}
