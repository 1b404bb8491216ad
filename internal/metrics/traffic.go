package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"topazmoor/internal/traffic"
)

// Traffic adds counters of what the node exchanges with other nodes and with targets. peers and
// targets return the totals; they are called when metrics are collected.
func (s *Registry) Traffic(peers func() []traffic.Total, targets func() []traffic.ServiceTotal) {
	s.registry.MustRegister(&trafficCollector{
		peers: peers, targets: targets,
		peerBytes: prometheus.NewDesc("topazmoor_entry_peer_bytes_total",
			"Bytes exchanged with other nodes, by kind of call, distance and direction.", []string{"call", "scope", "direction"}, nil),
		peerMessages: prometheus.NewDesc("topazmoor_entry_peer_messages_total",
			"Messages exchanged with other nodes, by kind of call, distance and direction.", []string{"call", "scope", "direction"}, nil),
		targetBytes: prometheus.NewDesc("topazmoor_entry_target_bytes_total",
			"Bytes exchanged with targets, by service, distance and direction.", []string{"service", "scope", "direction"}, nil),
	})
}

// trafficCollector is a prometheus.Collector of traffic.
type trafficCollector struct {
	peers   func() []traffic.Total
	targets func() []traffic.ServiceTotal

	peerBytes, peerMessages, targetBytes *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c *trafficCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.peerBytes
	out <- c.peerMessages
	out <- c.targetBytes
}

// Collect implements prometheus.Collector.
func (c *trafficCollector) Collect(out chan<- prometheus.Metric) {
	counter := func(desc *prometheus.Desc, n int64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(n), labels...)
	}
	for _, t := range c.peers() {
		counter(c.peerBytes, t.Bytes, t.Call.String(), t.Scope.String(), t.Direction.String())
		if t.Messages > 0 {
			counter(c.peerMessages, t.Messages, t.Call.String(), t.Scope.String(), t.Direction.String())
		}
	}
	for _, t := range c.targets() {
		counter(c.targetBytes, t.Bytes, t.Service, t.Scope.String(), t.Direction.String())
	}
}
