// Package meter holds the router's Prometheus metrics.
package meter

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"tarragonvalve.example/core/refuse"
)

// namespace is the prefix of the metrics' names.
const namespace = "tarragonvalve_router"

// latencyBuckets are in seconds. They cover the routes' latency objectives, 0.12 to 5 s.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 3, 5, 10, 25}

// waitBuckets are in seconds.
var waitBuckets = []float64{0.001, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2}

// Meter holds the router's metrics. It is safe for concurrent use. To keep the number of
// time series small, labels hold only route kinds, outcomes, codes and limits, never a
// request, key or upstream.
type Meter struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	latency   *prometheus.HistogramVec
	attempts  *prometheus.CounterVec
	denied    prometheus.Counter
	escalated prometheus.Counter
	resumed   prometheus.Counter
	exceeded  *prometheus.CounterVec
	refused   prometheus.Counter
	ended     *prometheus.CounterVec
	trials    *prometheus.CounterVec
	waits     prometheus.Histogram
	// overloaded counts requests that were refused before they had a route.
	overloaded prometheus.Counter
}

// Readings are figures that are read when the metrics are scraped.
type Readings struct {
	// ConfigurationAge is the largest possible age of the configuration in seconds, or -1 before one was read.
	ConfigurationAge func() float64
	// Open is the number of requests in progress.
	Open func() float64
	// Instances is the number of routers that share limits.
	Instances func() float64
	// LimitedUpstreams is the number of upstreams that limit their requests.
	LimitedUpstreams func() float64
	// ColdUpstreams is the number of upstreams that limit their requests because they are cold.
	ColdUpstreams func() float64
	// EvacuatedDomains is the number of evacuated failure domains.
	EvacuatedDomains func() float64
	// Quarantined is the number of sets of prompt parts that are refused.
	Quarantined func() float64
	// IgnoredRows is the number of rows of the store that could not be decoded.
	IgnoredRows func() float64
	// Lateness is how late work runs, in seconds, and LateEpisodes how often it has begun to be late.
	Lateness, LateEpisodes func() float64
	// LinkBacklog is the number of bytes that wait for the link, LinkDelay how long they make a message wait, in seconds,
	// and FullEpisodes how often the link has become full.
	LinkBacklog, LinkDelay, FullEpisodes func() float64
	// SlowUpstreams and UntriedUpstreams are the numbers of upstreams that take markedly longer than the median of their service,
	// and of those of which nothing has been observed for some time. SpeedObservations and SpeedSkipped count observations of
	// the speed of upstreams that were used and that could not be.
	SlowUpstreams, UntriedUpstreams, SpeedObservations, SpeedSkipped func() float64
}

// New returns metrics at zero that read r.
func New(r Readings) *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests by kind of route and by status or, if they failed, code of the refusal.",
		}, []string{"kind", "code"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time in seconds from the start of a request's handling to the end of its response.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_total", Help: "Attempts to have an upstream serve a request, by outcome: answered, not-run, or unknown if it may have run.",
		}, []string{"outcome"}),
		denied: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "repeats_denied_total", Help: "Retries that the retry budget did not allow.",
		}),
		escalated: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "larger_models_total", Help: "Responses abandoned for one of a larger model.",
		}),
		resumed: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "streams_resumed_total", Help: "Attempts to continue an interrupted stream at another upstream.",
		}),
		exceeded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "answers_exceeded_total", Help: "Responses of upstreams abandoned because they exceeded a limit, by limit.",
		}, []string{"bound"}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "connections_refused_total", Help: "Connections of clients closed at once because too many were open.",
		}),
	}
	m.ended = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "connections_ended_total", Help: "Connections of clients that ended without a complete answer, by cause.",
	}, []string{"cause"})
	m.trials = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "quarantine_trials_total", Help: "Quarantined requests that were sent to see whether upstreams survive them: started, and then answered or failed.",
	}, []string{"outcome"})
	m.waits = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "request_wait_seconds", Help: "Time in seconds for which whole requests waited before their handling began.", Buckets: waitBuckets,
	})
	m.overloaded = m.requests.WithLabelValues(noRoute, string(refuse.Overloaded))
	m.registry.MustRegister(m.waits, m.trials, m.ended, m.requests, m.latency, m.attempts, m.denied, m.escalated, m.resumed, m.exceeded, m.refused)
	m.registry.MustRegister(r.collectors()...)
	return m
}

// collectors returns the metrics that read r.
func (r Readings) collectors() []prometheus.Collector {
	return []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "configuration_age_seconds", Help: "Largest possible age of the configuration in seconds; -1 before one was read.",
		}, r.ConfigurationAge),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "open_requests", Help: "Requests in progress.",
		}, r.Open),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "instances", Help: "Largest number of routers in the last minute that share limits, including this one.",
		}, r.Instances),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "limited_upstreams", Help: "Upstreams that limit the requests per second that they take from all routers.",
		}, r.LimitedUpstreams),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "cold_upstreams", Help: "Upstreams that take few requests per second from all routers because they are cold.",
		}, r.ColdUpstreams),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "evacuated_domains", Help: "Failure domains to whose upstreams nothing is sent, as an operator evacuates them.",
		}, r.EvacuatedDomains),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "quarantined_prompts", Help: "Sets of prompt parts that crash upstreams, so that requests with them are refused.",
		}, r.Quarantined),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "rows_ignored_total", Help: "Rows of the store that were read and can't be decoded; what was known before stays in force.",
		}, r.IgnoredRows),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "lateness_seconds", Help: "How much later than it could work of this process has run in the last quarter of a second.",
		}, r.Lateness),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "late_total", Help: "Times at which work of this process has begun to run late.",
		}, r.LateEpisodes),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "link_backlog_bytes", Help: "Bytes to clients that a full link holds back; 0 if it is not full.",
		}, r.LinkBacklog),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "link_delay_seconds", Help: "Time that an answer written now would wait for a full link.",
		}, r.LinkDelay),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "link_full_total", Help: "Times at which the link has become full.",
		}, r.FullEpisodes),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "slow_upstreams", Help: "Upstreams of engine services that take at least 1.25 times as long as the median of their service.",
		}, r.SlowUpstreams),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "untried_upstreams", Help: "Upstreams of which no router has observed the speed for 6 s.",
		}, r.UntriedUpstreams),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "speed_observations_total", Help: "First events and intervals between events from which the speed of upstreams was learned.",
		}, r.SpeedObservations),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "speed_skipped_total", Help: "First events and intervals that say nothing of the speed of upstreams, such as those of requests behind a long queue.",
		}, r.SpeedSkipped),
	}
}

// noRoute is the kind of a request without a route.
const noRoute = "none"

// Request counts a request that ended after took. kind is the route's kind, or noRoute
// without a route; code is the status of a response or the code of a refusal.
func (m *Meter) Request(kind, code string, took time.Duration) {
	m.requests.WithLabelValues(kind, code).Inc()
	m.latency.WithLabelValues(kind).Observe(took.Seconds())
}

// Waited records how long a request waited before its handling began.
func (m *Meter) Waited(d time.Duration) { m.waits.Observe(d.Seconds()) }

// RefusedByOverload counts a request that was refused after a wait, before it had a route. It takes less time than Request.
func (m *Meter) RefusedByOverload(waited time.Duration) {
	m.overloaded.Inc()
	m.Waited(waited)
}

// Attempt counts an attempt to have an upstream serve a request, by its outcome.
func (m *Meter) Attempt(outcome string) {
	m.attempts.WithLabelValues(outcome).Inc()
}

// RetryDenied counts a retry that the retry budget did not allow.
func (m *Meter) RetryDenied() { m.denied.Inc() }

// Escalated counts a response that was abandoned for one of a larger model.
func (m *Meter) Escalated() { m.escalated.Inc() }

// Trial counts a trial of a quarantined request by its outcome.
func (m *Meter) Trial(outcome string) { m.trials.WithLabelValues(outcome).Inc() }

// StreamResumed counts a stream that was continued at another upstream.
func (m *Meter) StreamResumed() { m.resumed.Inc() }

// LimitExceeded counts a response that was abandoned at a limit. bound names the limit.
func (m *Meter) LimitExceeded(bound string) { m.exceeded.WithLabelValues(bound).Inc() }

// ConnectionRefused counts a client's connection that was closed because too many were open.
func (m *Meter) ConnectionRefused() { m.refused.Inc() }

// AddEndCause adds the time series of a cause at zero, so that its first rise is seen.
func (m *Meter) AddEndCause(cause string) { m.ended.WithLabelValues(cause) }

// ConnectionEnded counts a client's connection that ended without a complete answer, by its cause.
func (m *Meter) ConnectionEnded(cause string) { m.ended.WithLabelValues(cause).Inc() }

// Handler serves the metrics in the Prometheus exposition format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
