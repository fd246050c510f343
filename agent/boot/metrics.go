package boot

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"tarragonvalve.example/agent/excess"
	"tarragonvalve.example/agent/sched"
	"tarragonvalve.example/agent/stream"
	"tarragonvalve.example/core/late"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/panics"
)

// registerMetrics registers the metrics of the Go runtime, the process and the agent. The
// values are read at each scrape.
func registerMetrics(r *prometheus.Registry, h *sched.Scheduler, t *stream.Store, b *ledger.Buffer, e *engineParts, p *panics.Reporter, x *excess.Reporter, w *late.Meter) {
	r.MustRegister(x, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	registerGauge(r, "queued", "Attempts that wait for a slot.", func() float64 { return float64(h.Load().Queued) })
	registerGauge(r, "running", "Attempts that hold a slot.", func() float64 { return float64(h.Load().Running) })
	registerGauge(r, "slots", "Slots of the upstream.", func() float64 { return float64(h.Load().Slots) })
	registerGauge(r, "receipts_pending", "Receipts that are not stored yet.", func() float64 { return float64(b.Pending()) })
	registerGauge(r, "stream_buffers", "Attempts whose output is kept.", func() float64 {
		n, _, _ := t.Counts()
		return float64(n)
	})
	registerGauge(r, "lateness_seconds", "How much later than it could work of this process has run in the last quarter of a second.", func() float64 { return w.Lateness().Seconds() })
	registerCounter(r, "late_total", "Times at which work of this process has begun to run late.", func() float64 { return float64(w.Episodes()) })
	registerCounter(r, "handler_panics_total", "Panics of HTTP and gRPC handlers.", func() float64 { return float64(p.Count()) })
	registerCounter(r, "work_refused_total", "Work refused by the gate or the queue.", func() float64 { return float64(h.Load().Refused) })
	registerCounter(r, "stream_buffers_evicted_total", "Buffers evicted before their time.", func() float64 {
		_, n, _ := t.Counts()
		return float64(n)
	})
	registerCounter(r, "stream_buffers_refused_total", "Attempts refused for lack of a buffer.", func() float64 {
		_, _, n := t.Counts()
		return float64(n)
	})
	if e == nil {
		return
	}
	registerCounter(r, "cache_event_gaps_total", "Cache events of the engine that did not arrive.", func() float64 { return float64(e.cache.MissedEvents()) })
}

const namespace = "tarragonvalve_agent"

func registerGauge(r *prometheus.Registry, name, help string, f func() float64) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, f))
}

func registerCounter(r *prometheus.Registry, name, help string, f func() float64) {
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, f))
}
