// Package meter counts what the router does, for /metrics.
package meter

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "tarragonvalve_router"

// latencyBuckets are in seconds: objectives are 0.12 to 5 s.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 3, 5, 10, 25}

// Meter holds the router's metrics. It is safe for concurrent use. Labels have
// few values: the kind of a route, outcomes and codes, never a request, a key or
// an upstream.
type Meter struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	attempts *prometheus.CounterVec
	denied   prometheus.Counter
	larger   prometheus.Counter
	resumed  prometheus.Counter
	exceeded *prometheus.CounterVec
	refused  prometheus.Counter
}

// New returns metrics at zero. age returns the age of the configuration in seconds,
// open the number of requests in progress, size the number of routers that share limits.
func New(age, open, size func() float64) *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests by kind of route and how they ended.",
		}, []string{"kind", "code"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time until the last byte of the answer.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_total", Help: "Requests sent to upstreams, by what they prove.",
		}, []string{"outcome"}),
		denied: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "repeats_denied_total", Help: "Repeats that the retry budget did not allow.",
		}),
		larger: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "larger_models_total", Help: "Answers given up for one of a larger model.",
		}),
		resumed: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "streams_resumed_total", Help: "Streams that went on at another upstream.",
		}),
		exceeded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "answers_exceeded_total", Help: "Answers of upstreams given up at a bound, by the bound.",
		}, []string{"bound"}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "connections_refused_total", Help: "Connections of clients turned away, as too many were open.",
		}),
	}
	m.registry.MustRegister(m.requests, m.seconds, m.attempts, m.denied, m.larger, m.resumed, m.exceeded, m.refused,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "configuration_age_seconds", Help: "How old the configuration may be at most; -1 if none is known.",
		}, age),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "open_requests", Help: "Requests in progress.",
		}, open),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "instances", Help: "Routers that share limits: the largest number known in the last minute.",
		}, size),
	)
	return m
}

// Request counts a request that ended. code is the status of an answer or the code of a refusal.
func (m *Meter) Request(kind, code string, took time.Duration) {
	m.requests.WithLabelValues(kind, code).Inc()
	m.seconds.WithLabelValues(kind).Observe(took.Seconds())
}

// Attempt counts a request sent to an upstream.
func (m *Meter) Attempt(outcome string) {
	m.attempts.WithLabelValues(outcome).Inc()
}

// Denied counts a repeat that the budget did not allow.
func (m *Meter) Denied() { m.denied.Inc() }

// Larger counts an answer given up for one of a larger model.
func (m *Meter) Larger() { m.larger.Inc() }

// Resumed counts a stream that went on at another upstream.
func (m *Meter) Resumed() { m.resumed.Inc() }

// Exceeded counts an answer given up at a bound.
func (m *Meter) Exceeded(bound string) { m.exceeded.WithLabelValues(bound).Inc() }

// Refused counts a client's connection that was turned away.
func (m *Meter) Refused() { m.refused.Inc() }

// Handler serves the metrics as text.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
