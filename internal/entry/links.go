package entry

// provisionLinkMetrics adds the metrics of the connects to targets.
func (n *Node) provisionLinkMetrics() {
	n.metrics.GaugeVec("topazmoor_entry_target_connects", "Connects to targets over this node's own path since its start, by outcome.", "outcome", n.env.Links.Connects)
	n.metrics.Gauge("topazmoor_entry_target_path_lost", "1 while this node's own path to targets counts as lost, else 0.", func() float64 {
		if n.env.Links.Lost() {
			return 1
		}
		return 0
	})
}
