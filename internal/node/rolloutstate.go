package node

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"topazmoor/internal/admin"
	"topazmoor/internal/catalog"
	"topazmoor/internal/config"
	"topazmoor/internal/rollout"
	"topazmoor/internal/store"
)

// rolloutTable holds the records of roll-outs, by pool.
const rolloutTable = "rollout"

// rolloutRecords stores the records of roll-outs. It implements rollout.RecordStore.
type rolloutRecords struct{ n *Node }

// Save implements rollout.RecordStore. A record is written only while the configuration has its order; a
// stopped order is rolled back, whatever its owner knows.
func (b rolloutRecords) Save(ctx context.Context, r rollout.Record) (rollout.Record, error) {
	o, unchanged, err := b.currentOrder(ctx, r)
	if err != nil {
		return rollout.Record{}, err
	}
	if o.Stopped && r.State != rollout.RolledBack {
		r.State, r.Reason = rollout.RolledBack, stoppedReason
	}
	row, kept, err := b.load(ctx, r.Service)
	if err != nil {
		return rollout.Record{}, err
	}
	if r, err = rollout.Resolve(kept, r); err != nil || r == kept {
		return r, err
	}
	value, err := json.Marshal(r)
	if err != nil {
		return rollout.Record{}, eris.Wrap(err, "encode record of roll-out")
	}
	_, err = b.n.env.Store.Commit(ctx, store.Tx{
		Conditions: []store.Condition{{Table: rolloutTable, Key: r.Service, Version: row.Version}, unchanged},
		Writes:     []store.Write{{Table: rolloutTable, Key: r.Service, Value: value}},
	})
	if err != nil {
		return rollout.Record{}, eris.Wrap(err, "write record of roll-out")
	}
	b.n.log.Info("roll-out written", "pool", r.Service, "to", r.To, "state", r.State, "reason", r.Reason)
	return r, nil
}

// currentOrder returns the order of a record as the stored configuration has it, and a condition that
// holds while it is unchanged. It fails with rollout.ErrSuperseded if the configuration has another order
// of the pool, or none.
func (b rolloutRecords) currentOrder(ctx context.Context, r rollout.Record) (catalog.Rollout, store.Condition, error) {
	var o catalog.Rollout
	item, unchanged, err := config.NewStore(b.n.env.Store).ObjectAt(ctx, catalog.RolloutItem, r.Service)
	if errors.Is(err, store.ErrNotFound) {
		return o, unchanged, rollout.ErrSuperseded
	}
	if err == nil {
		err = json.Unmarshal(item.Value, &o)
	}
	if err != nil {
		return o, unchanged, eris.Wrap(err, "read order of roll-out")
	}
	if orderOf(o).Revision != r.Revision {
		return o, unchanged, rollout.ErrSuperseded
	}
	return o, unchanged, nil
}

// stoppedReason is the reason of the record of an order that an operator stopped.
const stoppedReason = "an operator stopped it"

// load returns the record of a pool's last roll-out; a zero record if there is none.
func (b rolloutRecords) load(ctx context.Context, pool string) (store.Row, rollout.Record, error) {
	row, err := b.n.env.Store.Get(ctx, rolloutTable, pool)
	if errors.Is(err, store.ErrNotFound) {
		return store.Row{}, rollout.Record{}, nil
	}
	var r rollout.Record
	if err == nil {
		err = json.Unmarshal(row.Value, &r)
	}
	return row, r, eris.Wrap(err, "read record of roll-out")
}

// record returns the record of an order; zero if it has none yet.
func (r *rollouts) record(ctx context.Context, o catalog.Rollout) (rollout.Record, error) {
	_, rec, err := rolloutRecords{r.n}.load(ctx, o.Pool)
	if err != nil || rec.Revision != orderOf(o).Revision {
		return rollout.Record{}, err
	}
	return rec, nil
}

// Status implements admin.Rollouts.
func (r *rollouts) Status(ctx context.Context, o catalog.Rollout) (admin.RolloutStatus, error) {
	rec, err := r.record(ctx, o)
	if err != nil {
		return admin.RolloutStatus{}, err
	}
	targets := r.targets(o.Pool, o.To)
	st := admin.RolloutStatus{
		Pool: o.Pool, To: o.To, State: admin.StateOf(o, rec), Reason: rec.Reason, Began: rec.Began, Deadline: rec.Deadline,
		New: targets.New, Old: targets.Old,
	}
	if st.State == admin.RolloutRolledBack && !rec.State.Final() {
		st.Reason = stoppedReason
	}
	switch st.State {
	case admin.RolloutCompleted:
		st.Share = 1
	case admin.RolloutRunning:
		_, st.Share = r.gate.Trial(o.Pool)
	}
	return st, nil
}

// shares returns the share of the calls that go to the version of a running roll-out, by pool, where
// this node decides on it.
func (r *rollouts) shares() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]float64)
	for pool, owned := range r.owners {
		for _, st := range owned.owner.Orders() {
			out[pool] = st.Share
		}
	}
	return out
}

// Forecast implements admin.Rollouts.
func (r *rollouts) Forecast(o catalog.Rollout) admin.RolloutForecast {
	out := admin.RolloutForecast{
		Targets:   r.versionCounts(o.Pool, o.To),
		PerSecond: r.n.sched.CallRate(o.Pool) * float64(r.n.peers.nodes()),
		Warnings:  []string{},
	}
	f := boundsOf(o).Forecast(out.PerSecond, o.Within.Std())
	out.TrialCalls = f.Calls
	switch {
	case !f.Judged:
		out.Warn("at the present rate the version gets about %.0f calls in its trial, too few to judge it by: it would be rolled back", f.Calls)
	case !f.Thorough:
		out.Warn("at the present rate the version gets about %.0f calls in its trial: a version that fails seldom may pass", f.Calls)
	}
	all := r.targets(o.Pool, o.To)
	if all.New == 0 {
		out.Warn("no target has version %s: start some once the order is accepted, else it is rolled back", o.To)
	}
	if all.Old == 0 {
		out.Warn("no target has another version: while the version is tried there is no other to go to")
	}
	for _, name := range regionsWithoutNew(out.Targets) {
		out.Warn("region %s has targets of other versions only: once they stop, requests bound to it have no target", name)
	}
	return out
}

// regionsWithoutNew returns the regions that have targets of other versions only.
func regionsWithoutNew(counts []admin.VersionCount) []string {
	var out []string
	for _, c := range counts {
		hasNew := slices.ContainsFunc(counts, func(x admin.VersionCount) bool { return x.Region == c.Region && x.New > 0 })
		if c.Region != "" && !hasNew && !slices.Contains(out, c.Region) {
			out = append(out, c.Region)
		}
	}
	return out
}
