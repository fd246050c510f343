package admin

import (
	"net/http"
	"runtime"
	"runtime/debug"

	"tarragonvalve.example/core/opsapi"
)

// healthz reports that the process serves requests.
func (a *API) healthz(w http.ResponseWriter, _ *http.Request) {
	a.reply(w, newID(), http.StatusOK, map[string]string{"status": "ok"})
}

// readyz reports to the load balancer whether this entry may get requests of callers.
func (a *API) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := a.o.Ready(); err != nil {
		a.reply(w, newID(), http.StatusServiceUnavailable, map[string]string{"status": "not-ready", "reason": err.Error()})
		return
	}
	a.reply(w, newID(), http.StatusOK, map[string]string{"status": "ready"})
}

// buildz reports the version and the source revision of the program.
func (a *API) buildz(w http.ResponseWriter, _ *http.Request) {
	b := opsapi.BuildReply{Program: a.o.Program, Instance: a.o.Instance, Go: runtime.Version()}
	if i, ok := debug.ReadBuildInfo(); ok {
		b.Version = i.Main.Version
		for _, s := range i.Settings {
			switch s.Key {
			case "vcs.revision":
				b.Revision = s.Value
			case "vcs.modified":
				b.Modified = s.Value == "true"
			}
		}
	}
	a.reply(w, newID(), http.StatusOK, b)
}
