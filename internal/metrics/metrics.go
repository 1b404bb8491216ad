// Package metrics holds the Prometheus metrics of one node. The number of
// label values is bounded by the configuration: no label holds a request, a key or
// a target.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"topazmoor/internal/catalog"
	"topazmoor/internal/verdict"
)

// Registry registers metrics and serves them over HTTP.
type Registry struct{ registry *prometheus.Registry }

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry { return &Registry{registry: prometheus.NewRegistry()} }

// Set holds the metrics of a node that serves pipeline requests. It implements
// frontdoor.Observer and pipeline.Observer.
type Set struct {
	*Registry
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	met      *prometheus.CounterVec
	calls    *prometheus.CounterVec
	stageMS  *prometheus.CounterVec
	wastedMS *prometheus.CounterVec
}

// New returns a Set with its metrics registered.
func New() *Set {
	s := &Set{
		Registry: NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazmoor_requests_total", Help: "Requests by class and code; an empty code is a complete answer.",
		}, []string{"class", "code"}),
		met: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazmoor_requests_met_total", Help: "Requests answered completely within their deadline.",
		}, []string{"class"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "topazmoor_request_seconds", Help: "Time from arrival to the complete answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 13),
		}, []string{"class"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazmoor_stage_calls_total", Help: "Calls of targets by pool and verdict of their error.",
		}, []string{"pool", "verdict"}),
		stageMS: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazmoor_stage_target_ms_total", Help: "Target time of calls that gave an answer.",
		}, []string{"pool"}),
		wastedMS: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazmoor_stage_wasted_ms_total", Help: "Target time of calls that failed, lost or were cancelled.",
		}, []string{"pool"}),
	}
	s.registry.MustRegister(s.requests, s.latency, s.met, s.calls, s.stageMS, s.wastedMS)
	return s
}

// Gauge adds a gauge. read returns its value and is called when metrics are collected.
func (s *Registry) Gauge(name, help string, read func() float64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Counter adds a counter. read returns its value and is called when metrics are collected.
func (s *Registry) Counter(name, help string, read func() float64) {
	s.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, read))
}

// GaugeVec adds gauges with one name and one label. read returns the value for each
// label value; it is called when metrics are collected.
func (s *Registry) GaugeVec(name, help, label string, read func() map[string]float64) {
	s.registry.MustRegister(&gaugeVec{desc: prometheus.NewDesc(name, help, []string{label}, nil), read: read})
}

// gaugeVec is a prometheus.Collector whose gauges are read when they are collected.
type gaugeVec struct {
	desc *prometheus.Desc
	read func() map[string]float64
}

// Describe implements prometheus.Collector.
func (g *gaugeVec) Describe(out chan<- *prometheus.Desc) { out <- g.desc }

// Collect implements prometheus.Collector.
func (g *gaugeVec) Collect(out chan<- prometheus.Metric) {
	for label, value := range g.read() {
		out <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, value, label)
	}
}

// Handler returns an HTTP handler that serves the metrics.
func (s *Registry) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// RequestDone implements frontdoor.Observer.
func (s *Set) RequestDone(_, _ string, class catalog.Class, code verdict.Code, took time.Duration, met bool) {
	s.requests.WithLabelValues(class.String(), string(code)).Inc()
	s.latency.WithLabelValues(class.String()).Observe(took.Seconds())
	if met {
		s.met.WithLabelValues(class.String()).Inc()
	}
}

// StageCall implements pipeline.Observer.
func (s *Set) StageCall(pool, _ string, took time.Duration, err error) {
	s.calls.WithLabelValues(pool, verdict.Of(err).String()).Inc()
	if err == nil {
		s.stageMS.WithLabelValues(pool).Add(float64(took.Milliseconds()))
	}
}

// Wasted implements pipeline.Observer.
func (s *Set) Wasted(pool, _ string, took time.Duration) {
	s.wastedMS.WithLabelValues(pool).Add(float64(took.Milliseconds()))
}
