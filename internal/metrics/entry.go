package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"topazmoor/internal/passthrough"
	"topazmoor/internal/rollout"
)

// Entry holds the metrics of a node that serves pass-through requests. It implements
// passthrough.Observer.
type Entry struct {
	*Registry
	requests      *prometheus.CounterVec
	latency       *prometheus.HistogramVec
	stages        *prometheus.HistogramVec
	began         *prometheus.CounterVec
	estimateError *prometheus.HistogramVec
	repeats       *prometheus.CounterVec
	spilled       *prometheus.CounterVec
	spillRefused  *prometheus.CounterVec
	rolloutCalls  *prometheus.CounterVec
	replaced      *prometheus.CounterVec
}

// latencyBuckets are in seconds, from a network round trip (5 ms) to the longest
// deadline (20 s).
var latencyBuckets = prometheus.ExponentialBuckets(0.005, 2, 13)

// estimateErrorBuckets are in seconds. They cover the estimate errors that are relevant to
// objectives of 0.1 to 4 s.
var estimateErrorBuckets = []float64{-4, -2, -1, -0.5, -0.2, -0.1, 0, 0.1, 0.2, 0.5, 1, 2, 4, 8}

// NewEntry returns an Entry with its metrics registered.
func NewEntry() *Entry {
	e := &Entry{
		Registry: NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazmoor_entry_requests_total",
			Help: "Pass-through requests by rank, code and verdict; an empty code is a target's answer.",
		}, []string{"rank", "code", "verdict"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "topazmoor_entry_request_seconds", Help: "Time from arrival to the end of the answer, by rank and verdict.",
			Buckets: latencyBuckets,
		}, []string{"rank", "verdict"}),
		stages: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "topazmoor_entry_stage_seconds", Help: "Time of one stage of a request, waiting included, by service and outcome.",
			Buckets: latencyBuckets,
		}, []string{"service", "outcome"}),
		began: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazmoor_entry_began_total", Help: "Admitted requests whose answer began, by rank and whether within the objective.",
		}, []string{"rank", "met"}),
		estimateError: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "topazmoor_entry_estimate_error_seconds", Help: "Time until the answer began less what was estimated when the request was admitted.",
			Buckets: estimateErrorBuckets,
		}, []string{"rank"}),
		repeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazmoor_entry_repeats_total", Help: "Requests sent to one more target, by service and reason.",
		}, []string{"service", "why"}),
		spilled: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazmoor_entry_orders_spilled_total", Help: "Orders that this node sent from their home region to another one, by service and regions.",
		}, []string{"service", "from", "to"}),
		spillRefused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazmoor_entry_orders_late_everywhere_total", Help: "Orders that this node refused because no region completes them by their deadline, by service and region.",
		}, []string{"service", "region"}),
		rolloutCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazmoor_entry_rollout_calls_total", Help: "Calls that ended at this node during a roll-out, by service, version of the target and outcome.",
		}, []string{"service", "version", "outcome"}),
		replaced: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazmoor_entry_rollout_replaced_calls_total",
			Help: "Calls to the old version that ended after it was announced that that version stops, by service and outcome; bad ones were cut off.",
		}, []string{"service", "outcome"}),
	}
	e.registry.MustRegister(e.requests, e.latency, e.stages, e.began, e.estimateError, e.repeats, e.spilled, e.spillRefused, e.rolloutCalls, e.replaced)
	return e
}

// RequestDone implements passthrough.Observer.
func (e *Entry) RequestDone(d passthrough.Done) {
	rank, verdictLabel := strconv.Itoa(d.Rank), d.Verdict.String()
	e.requests.WithLabelValues(rank, string(d.Code), verdictLabel).Inc()
	e.latency.WithLabelValues(rank, verdictLabel).Observe(d.Took.Seconds())
}

// StageDone implements passthrough.Observer.
func (e *Entry) StageDone(service string, outcome passthrough.StageOutcome, took time.Duration) {
	e.stages.WithLabelValues(service, string(outcome)).Observe(took.Seconds())
}

// ResponseBegan implements passthrough.Observer.
func (e *Entry) ResponseBegan(rank int, estimated, took, objective time.Duration) {
	label := strconv.Itoa(rank)
	e.began.WithLabelValues(label, strconv.FormatBool(took <= objective)).Inc()
	e.estimateError.WithLabelValues(label).Observe((took - estimated).Seconds())
}

// Spilled implements stagebatch.SpillObserver.
func (e *Entry) Spilled(service, from, to string) {
	e.spilled.WithLabelValues(service, from, to).Inc()
}

// SpillRefused implements stagebatch.SpillObserver.
func (e *Entry) SpillRefused(service, region string) {
	e.spillRefused.WithLabelValues(service, region).Inc()
}

// Repeated implements passthrough.Observer.
func (e *Entry) Repeated(service, why string) { e.repeats.WithLabelValues(service, why).Inc() }

// RolloutCallEnded counts a call that ended during a roll-out of its service. replaced says that it
// went to the old version and ended after it was announced that that version stops.
func (e *Entry) RolloutCallEnded(c rollout.Call, o rollout.Outcome, replaced bool) {
	e.rolloutCalls.WithLabelValues(c.Service, c.Version, o.String()).Inc()
	if replaced {
		e.replaced.WithLabelValues(c.Service, o.String()).Inc()
	}
}
