package entry

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"topazmoor/internal/ownership"
	"topazmoor/internal/rollout"
	"topazmoor/internal/store"
	"topazmoor/internal/verdict"
)

// rolloutTable holds the records of roll-outs, by service.
const rolloutTable = "rollouts"

// provisionRollouts builds the parts that move traffic to other versions of services.
func (n *Node) provisionRollouts() {
	n.owner = &rollout.Owner{
		Bounds: n.set.Rollouts, RecordStore: rolloutStore{n}, Targets: n.targets.Versions, Nodes: n.nodes, Log: n.log,
		Withdrawn: func(o rollout.Order) bool { return n.gate.Withdrawn(o) },
	}
	n.gate = rollout.NewGate(n.set.Node, rolloutReporter{n}, n.nodes, n.log)
	n.gate.CallEnded = n.metrics.RolloutCallEnded
	n.targets.Rollouts = n.gate
	n.provisionRolloutMetrics()
}

// provisionRolloutMetrics adds the metrics of the roll-outs that this node decides on, by service.
func (n *Node) provisionRolloutMetrics() {
	n.rolloutGauge("topazmoor_entry_rollout_share", "Share of the calls that go to the version of a roll-out, where this node decides on it, by service.", func(s rollout.Status) float64 { return s.Share })
	n.rolloutGauge("topazmoor_entry_rollout_nodes", "Nodes that report on a roll-out to this node, which decides on it, by service.", func(s rollout.Status) float64 { return float64(s.Nodes) })
	n.rolloutGauge("topazmoor_entry_rollout_evidence_age_seconds", "Time since the oldest report of a node that this node decides on a roll-out by, by service.", func(s rollout.Status) float64 { return s.EvidenceAge.Seconds() })
}

// rolloutGauge adds a metric of the roll-outs that this node decides on, by service.
func (n *Node) rolloutGauge(name, help string, value func(rollout.Status) float64) {
	n.metrics.GaugeVec(name, help, "service", func() map[string]float64 {
		out := make(map[string]float64)
		for _, s := range n.owner.Orders() {
			out[s.Service] = value(s)
		}
		return out
	})
}

// rolloutReporter sends reports to the node that decides on a roll-out. It implements
// rollout.Remote.
type rolloutReporter struct{ n *Node }

// Report implements rollout.Remote.
func (o rolloutReporter) Report(ctx context.Context, r rollout.Report) (rollout.Answer, error) {
	lead, self := o.n.router.Leader(ownership.RolloutDecision, "roll-out of "+r.Order.Service)
	if self {
		return o.n.owner.Report(ctx, r)
	}
	a, err := o.n.peers.client.ReportRollout(ctx, lead.Addr, r)
	var refused *verdict.Error
	if err != nil && ctx.Err() == nil && !errors.As(err, &refused) {
		// A node that answers with a refusal is alive, even if it lacks data: it also forms batches.
		o.n.router.Suspect(lead)
	}
	return a, err
}

// rolloutStore stores the records of roll-outs. It implements rollout.RecordStore.
type rolloutStore struct{ n *Node }

// Save implements rollout.RecordStore. The row that the operator reads is written in the same
// transaction.
func (b rolloutStore) Save(ctx context.Context, r rollout.Record) (rollout.Record, error) {
	row, kept, err := b.load(ctx, r.Service)
	if err != nil {
		return rollout.Record{}, err
	}
	r, err = rollout.Resolve(kept, r)
	if err != nil || r == kept {
		return r, err
	}
	value, err := json.Marshal(r)
	if err != nil {
		return rollout.Record{}, eris.Wrap(err, "encode record of roll-out")
	}
	state, err := b.n.env.RolloutState(r)
	if err != nil {
		return rollout.Record{}, err
	}
	_, err = b.n.env.Store.Commit(ctx, store.Tx{
		Conditions: []store.Condition{{Table: rolloutTable, Key: r.Service, Version: row.Version}},
		Writes:     []store.Write{{Table: rolloutTable, Key: r.Service, Value: value}, state},
	})
	if err != nil {
		return rollout.Record{}, eris.Wrap(err, "write record of roll-out")
	}
	b.n.log.Info("roll-out written", "service", r.Service, "to", r.To, "state", r.State, "reason", r.Reason)
	return r, nil
}

// load returns the record of a service's last roll-out; a zero record if there is none.
func (b rolloutStore) load(ctx context.Context, service string) (store.Row, rollout.Record, error) {
	row, err := b.n.env.Store.Get(ctx, rolloutTable, service)
	if errors.Is(err, store.ErrNotFound) {
		return store.Row{}, rollout.Record{}, nil
	}
	var r rollout.Record
	if err == nil {
		err = json.Unmarshal(row.Value, &r)
	}
	return row, r, eris.Wrap(err, "read record of roll-out")
}
