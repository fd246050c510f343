package boot

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"tarragonvalve.example/router/poison"
)

// maxLiftBytes bounds the body of a request to lift a quarantine.
const maxLiftBytes = 4 << 10

// quarantine is the JSON form of a quarantine in force.
type quarantine struct {
	Key   string   `json:"key"`
	Parts []string `json:"parts"`
	// AgeS is the time since the latest crash, EndsS until the quarantine ends by itself, in s.
	AgeS    float64       `json:"age-s"`
	EndsS   float64       `json:"ends-s"`
	Crashes []partOfCrash `json:"crashes"`
}

// partOfCrash is the JSON form of a crash under a part of a quarantine.
type partOfCrash struct {
	Part     string  `json:"part"`
	Upstream string  `json:"upstream"`
	AgeS     float64 `json:"age-s"`
}

// lift says who lifts a quarantine, and why.
type lift struct {
	Who string `json:"who"`
	Why string `json:"why"`
}

// quarantines lists and lifts quarantines, for operators on the router's machine.
type quarantines struct {
	*poison.Registry
	log zerolog.Logger
}

// routes adds the calls to m.
func (q *quarantines) routes(m chi.Router) {
	m.Group(func(m chi.Router) {
		m.Use(localOnly)
		m.Get("/quarantines", q.list)
		m.Post("/quarantines/{key}/lift", q.lift)
	})
}

// localOnly refuses requests from other machines: the address is open to whoever asks for readiness.
func localOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
		if local == nil || !sameHost(local.String(), r.RemoteAddr) {
			http.Error(w, "only from this machine", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// sameHost reports whether two addresses IP:PORT are of one machine.
func sameHost(a, b string) bool {
	x, _, err := net.SplitHostPort(a)
	if err != nil {
		return false
	}
	y, _, err := net.SplitHostPort(b)
	return err == nil && x == y
}

func (q *quarantines) list(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	out := []quarantine{}
	for _, e := range q.List() {
		x := quarantine{Key: string(e.Key()), AgeS: now.Sub(e.At).Seconds(), EndsS: e.EndsIn(now).Seconds(), Crashes: []partOfCrash{}}
		for _, p := range e.Parts {
			x.Parts = append(x.Parts, p.String())
		}
		for _, s := range e.Crashes {
			x.Crashes = append(x.Crashes, partOfCrash{Part: s.Part.String(), Upstream: string(s.Upstream.ID), AgeS: now.Sub(s.At).Seconds()})
		}
		out = append(out, x)
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(out); err != nil {
		q.log.Warn().Err(err).Msg("list of quarantines not sent")
	}
}

func (q *quarantines) lift(w http.ResponseWriter, r *http.Request) {
	var l lift
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxLiftBytes)) //nolint:forbidigo // bounded by MaxBytesReader
	if err := d.Decode(&l); err != nil || l.Who == "" || l.Why == "" {
		http.Error(w, `the body must be {"who":"...","why":"..."}`, http.StatusBadRequest)
		return
	}
	k := poison.Key(chi.URLParam(r, "key"))
	ps, ok := q.Lift(k, time.Now())
	if !ok {
		http.Error(w, "no quarantine "+string(k)+" is in force", http.StatusNotFound)
		return
	}
	q.log.Warn().Str("quarantine", string(k)).Int("parts", len(ps)).Str("who", l.Who).Str("why", l.Why).Msg("quarantine lifted by an operator")
	w.WriteHeader(http.StatusNoContent)
}
