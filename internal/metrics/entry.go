package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Entry is the metrics of a node that serves pass-through requests.
type Entry struct {
	*Registry
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	repeats  *prometheus.CounterVec
}

// NewEntry returns an empty set.
func NewEntry() *Entry {
	e := &Entry{
		Registry: NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazmoor_entry_requests_total", Help: "Pass-through requests by rank and code; an empty code is a target's answer.",
		}, []string{"rank", "code"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "topazmoor_entry_request_seconds", Help: "Time from arrival to the end of the answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 13),
		}, []string{"rank"}),
		repeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazmoor_entry_repeats_total", Help: "Requests sent to one more target, by service and reason.",
		}, []string{"service", "why"}),
	}
	e.registry.MustRegister(e.requests, e.latency, e.repeats)
	return e
}

// RequestDone implements passthrough.Observer.
func (e *Entry) RequestDone(_ string, rank int, code string, took time.Duration) {
	label := strconv.Itoa(rank)
	e.requests.WithLabelValues(label, code).Inc()
	e.latency.WithLabelValues(label).Observe(took.Seconds())
}

// Repeated implements passthrough.Observer.
func (e *Entry) Repeated(service, why string) { e.repeats.WithLabelValues(service, why).Inc() }
