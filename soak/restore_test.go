package soak

import (
	"math/rand/v2"
	"time"
)

// restoreStore lets the store come back from a copy at random moments until end, by a random sequence
// of its own, so that the other faults of a seed stay as they are. The operator writes the newest
// configuration again at once, and the servers their entries some time later.
func (w *cluster) restoreStore(end time.Time) {
	r := rand.New(rand.NewPCG(w.seed, 3))
	for {
		pause := time.Duration(1500+r.IntN(3000)) * time.Millisecond
		lost := uint64(1 + r.IntN(4))
		rewrite := time.Duration(r.IntN(800)) * time.Millisecond
		if time.Now().Add(pause).After(end) {
			return
		}
		time.Sleep(pause)
		w.configMu.Lock()
		version := w.store.Version()
		w.store.Restore(version - min(lost, version))
		err := w.configured()
		w.configMu.Unlock()
		if err != nil {
			w.t.Error(err)
			return
		}
		time.Sleep(rewrite)
		for _, u := range w.upstreams {
			w.register(u, "ready")
		}
	}
}
