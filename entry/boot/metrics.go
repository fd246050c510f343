package boot

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"tarragonvalve.example/core/ending"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/late"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/panics"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/wire"
	"tarragonvalve.example/entry/agents"
	"tarragonvalve.example/entry/caller"
	"tarragonvalve.example/entry/calls"
	"tarragonvalve.example/entry/fanout"
	"tarragonvalve.example/entry/fleet"
	"tarragonvalve.example/entry/peers"
	"tarragonvalve.example/entry/policy"
	"tarragonvalve.example/entry/relay"
	"tarragonvalve.example/entry/roster"
	"tarragonvalve.example/entry/setup"
)

// newFanout returns the queries of all processes for the administration API.
func newFanout(s *setup.Settings, p *listeners, n *spread.Replica, r *roster.Roster, a *agents.Set, i *caller.API, e *event.Ring, h *readiness, c *certificates) *fanout.Fanout {
	return fanout.New(fanout.Options{
		Instance:  s.Entry.Instance,
		Domain:    s.Entry.Domain,
		OwnAddr:   p.peers.Addr().String(),
		Instances: r.Instances,
		State: func() *wire.State {
			m := n.State()
			m.Draining = h.draining()
			return m
		},
		Link:         a.Link,
		Ring:         e,
		OpenRequests: i.Open,
		Credentials:  c.client(),
	})
}

// namespace is the prefix of the names of all metrics.
const namespace = "tarragonvalve_entry"

// metrics registers gauges and counters whose values are read at each scrape.
type metrics struct {
	registry *prometheus.Registry
}

func (m metrics) gauge(name, help string, f func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, f))
}

func (m metrics) counter(name, help string, f func() uint64) {
	g := func() float64 { return float64(f()) }
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, g))
}

func newMetrics(a *caller.API, r *relay.Relay, d *calls.Executor, p *policy.Controller, f *fleet.Fleet, b *ledger.Buffer, k *agents.Acks, t *ratings, o *roster.Roster, e *peers.Exchanger, s *agents.Set, n *spread.Replica, h *panics.Reporter, w *late.Meter) *prometheus.Registry {
	m := metrics{registry: prometheus.NewRegistry()}
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.gauge("open_requests", "Requests that are open.", func() float64 { return float64(a.Open()) })
	m.gauge("generation", "Generation of the environment document in force.", func() float64 { return float64(n.View().Generation()) })
	m.gauge("links", "Links to agents.", func() float64 { return float64(len(s.Links())) })
	m.gauge("receipts_pending", "Receipts that are not stored yet.", func() float64 { return float64(b.Pending()) })
	m.gauge("lateness_seconds", "How much later than it could work of this process has run in the last quarter of a second.", func() float64 { return w.Lateness().Seconds() })
	m.counter("late_total", "Times at which work of this process has begun to run late.", func() uint64 { return uint64(w.Episodes()) })
	m.counter("excess_requests_total", "Requests refused because too many were open.", a.Excess)
	m.counter("late_requests_total", "Requests refused because work ran too late to answer them in time.", a.TooLate)
	m.counter("receipts_refused_total", "Receipts that did not fit into the buffer.", b.Refused)
	m.counter("acknowledgements_dropped_total", "Stored batches of receipts that were not acknowledged to agents.", k.Dropped)
	m.counter("attempt_reports_dropped_total", "Results of attempts dropped before outlier detection because too many were waiting.", f.Dropped)
	m.counter("links_replaced_total", "Silent connections to agents that were replaced.", s.Replaced)
	m.counter("handler_panics_total", "Panics of HTTP and gRPC handlers.", h.Count)
	for _, c := range ending.OfAnswers() {
		name := "incomplete_answers_" + strings.ReplaceAll(string(c), "-", "_") + "_total"
		m.counter(name, "Answers that callers got no complete end of: "+string(c)+".", func() uint64 { return a.Incomplete(c) })
	}
	m.relay(r.Counters())
	m.calls(d.Counters())
	m.policy(p.Counters())
	m.external(t, o, e)
	return m.registry
}

func (m metrics) relay(c *relay.Counters) {
	m.counter("chats_total", "Chat completions.", c.Requests.Load)
	m.counter("chats_refused_total", "Chat completions that ended with a refusal.", c.Refused.Load)
	m.counter("attempts_total", "Attempts of chat completions.", c.Attempts.Load)
	m.counter("retries_total", "Attempts on another upstream under the retry budget.", c.Retries.Load)
	m.counter("resumes_total", "Streams resumed.", c.Resumes.Load)
	m.counter("escalations_total", "Cascade escalations.", c.Escalations.Load)
	m.counter("streams_broken_total", "Streams that ended with stream-broken.", c.Broken.Load)
	m.counter("frames_crossed_total", "Frames dropped because they belong to another request or attempt.", c.Crossed.Load)
	m.counter("frames_late_total", "Frames dropped because they are at an earlier position than expected.", c.Late.Load)
	m.counter("frame_gaps_total", "Frames dropped because they are at a later position than expected.", c.Gaps.Load)
	m.counter("catch_ups_total", "Plans made again after an exchange of state with an agent.", c.CatchUps.Load)
	m.counter("chat_receipts_lost_total", "Receipts of chat completions that the full buffer did not take.", c.ReceiptsLost.Load)
}

func (m metrics) calls(c *calls.Counters) {
	m.counter("calls_total", "Plain-service calls.", c.Calls.Load)
	m.counter("calls_refused_total", "Plain-service calls that ended with a refusal.", c.Refused.Load)
	m.counter("call_retries_total", "Calls tried again under the retry budget.", c.Retries.Load)
	m.counter("hedges_total", "Hedges: second, parallel attempts of repeatable calls.", c.Hedges.Load)
	m.counter("calls_fenced_total", "Keyed calls marked not-run after an attempt without an answer.", c.Fenced.Load)
	m.counter("calls_replayed_total", "Keyed calls answered with a recorded result.", c.Replayed.Load)
	m.counter("calls_unknown_total", "Calls whose outcome is unknown.", c.Unknown.Load)
	m.counter("call_receipts_lost_total", "Receipts of calls that the full buffer did not take.", c.ReceiptsLost.Load)
}

func (m metrics) policy(c *policy.Counters) {
	m.counter("plans_total", "Plans made.", c.Plans.Load)
	m.counter("cascades_total", "Plans with a cascade.", c.Cascades.Load)
	m.counter("explored_total", "Plans for requests selected for exploration.", c.Explored.Load)
	m.counter("below_goal_total", "Plans not marked as meeting the quality target and the deadline.", c.BelowGoal.Load)
	m.counter("limited_total", "Requests over their account's limit.", c.Limited.Load)
	m.counter("retries_exhausted_total", "Retries that the budget did not allow.", c.RetriesExhausted.Load)
	m.counter("halts_total", "Halts that this entry requested on its own observations.", c.Halts.Load)
	m.counter("halts_spared_total", "Degraded verdicts on versions that were not halted for lack of a usable fallback.", c.HaltsSkipped.Load)
	m.counter("observations_dropped_total", "Messages to the policy dropped because its inbox was full.", c.Dropped.Load)
}

// external registers the counters of the components that talk to the rating
// service, to the instance list and to other entries.
func (m metrics) external(t *ratings, o *roster.Roster, e *peers.Exchanger) {
	first := func(f func() (uint64, uint64)) func() uint64 {
		return func() uint64 { n, _ := f(); return n }
	}
	second := func(f func() (uint64, uint64)) func() uint64 {
		return func() uint64 { _, n := f(); return n }
	}
	m.counter("exchanges_total", "Exchanges with other entries.", first(e.Counts))
	m.counter("exchanges_failed_total", "Exchanges with other entries that failed.", second(e.Counts))
	m.counter("instance_list_failures_total", "Reads of the instance list that failed.", first(o.Counts))
	m.counter("instance_list_skipped_total", "Entries of the instance list that were not usable.", second(o.Counts))
	m.counter("ratings_total", "Ratings read.", func() uint64 { n, _, _ := t.client.Counts(); return n })
	m.counter("rating_reports_dropped_total", "Reports to the rating service that were dropped.", func() uint64 { _, n, _ := t.client.Counts(); return n })
	m.counter("rating_calls_failed_total", "Calls to the rating service that failed.", func() uint64 { _, _, n := t.client.Counts(); return n })
	m.counter("ratings_foreign_total", "Ratings of answers that this entry does not track, such as those of other entries.", t.tracker.Unmatched)
}
