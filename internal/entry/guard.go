package entry

import (
	"topazmoor/internal/poison"
	"topazmoor/internal/restore"
	"topazmoor/internal/watch"
)

// provisionGuard builds the guard, which keeps requests that crash targets away from them, and
// the watch of the quarantine table. Changes of this table are applied without a pause: a
// caller may retry at once.
func (n *Node) provisionGuard() {
	n.guard = poison.New(poison.Config{
		Node: n.set.Node, Store: n.env.Store, Dial: n.env.Links.DialAny, Nodes: func() int { return n.router.Live() },
		OtherAddrs: n.otherAddrs, SendEndsTo: n.peers.client.SendEnds, OnProcessEnd: n.targets.ProcessEnded, Log: n.log,
	})
	n.former.Guard = n.guard
	n.quarantineTable = &watch.Table{
		Name: poison.QuarantineTable, From: n.env.Store, Wait: watch.LongWait, Primary: n.targetTable, Log: n.log,
		Apply: (&restore.Table{Name: poison.QuarantineTable, RewriteLost: n.guard.RewriteLost, Log: n.log, Apply: func(v watch.View, kept restore.Result) {
			n.guard.Apply(v, kept)
			n.relayServer.Wake()
		}}).Update,
	}
	n.provisionGuardMetrics()
}

func (n *Node) provisionGuardMetrics() {
	n.metrics.Gauge("topazmoor_entry_quarantined_requests", "Requests in quarantine, as targets ended under them.", func() float64 { return float64(n.guard.Counts().Quarantined) })
	n.metrics.Gauge("topazmoor_entry_quarantined_prompt_parts", "Parts of prompts in quarantine, as targets ended under them.", func() float64 { return float64(n.guard.Counts().QuarantinedParts) })
	n.metrics.Gauge("topazmoor_entry_target_end_reports", "Reports on ended targets by which parts of prompts are judged.", func() float64 { return float64(n.guard.Counts().Reports) })
	n.metrics.Counter("topazmoor_entry_target_ends_total", "Ends of targets under requests of this node.", func() float64 { return float64(n.guard.Counts().Ends) })
	n.metrics.Counter("topazmoor_entry_quarantine_probes_total", "Requests in quarantine that were sent alone.", func() float64 { return float64(n.guard.Counts().Probes) })
	n.metrics.Counter("topazmoor_entry_quarantine_refusals_total", "Requests in quarantine that were not sent.", func() float64 { return float64(n.guard.Counts().Refused) })
	n.metrics.Counter("topazmoor_entry_target_ends_dropped_total", "Ends under requests that could not be told to the store.", func() float64 { return float64(n.guard.Counts().Dropped) })
}

// otherAddrs returns the addresses at which the other nodes take calls.
func (n *Node) otherAddrs() []string {
	var out []string
	for _, other := range n.state.Members.Get() {
		out = append(out, other.Addr)
	}
	return out
}
