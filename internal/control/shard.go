// Package control runs background work that must run on one node at a time,
// such as deleting old rows. Each piece of work is a shard with a row in the
// table service. The row's version is the fencing token: every durable effect of
// an owner is committed together with the row, so that the commit of an owner
// that was replaced without noticing fails. Clocks only decide when a node tries
// to take over; safety does not depend on them. Source:
// docs/design/010-control-shards.md.
package control

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/store"
)

const (
	shardTable = "shard"
	// LeaseTime is how long the row of a shard may stay unchanged before another
	// node may take it over, by the clock of that node.
	LeaseTime = 30 * time.Second
	// stepInterval is the mean time between two steps of an owner, and between
	// two reads of the row by the preferred node.
	stepInterval = 5 * time.Second
	// pollInterval is the mean time between two reads of the row by any other
	// node, and how much longer than the preferred node the others wait before
	// they take over. It is long because the reads add up over many nodes.
	pollInterval = time.Minute
	// retryPause is the pause between attempts to resolve a lost reply.
	retryPause = 200 * time.Millisecond
)

// ErrLost is returned by a commit if another node has changed the shard's row.
var ErrLost = errors.New("control: shard lost")

// row is the value of a shard's row.
type row struct {
	Owner string `json:"owner"`
	// Epoch is incremented at each takeover.
	Epoch int64 `json:"epoch"`
	// Beat is a unique ID per write. It shows that the owner is alive, and makes
	// each value of the row unique, so that reading the row back shows whether a
	// commit whose reply was lost was applied.
	Beat string `json:"beat"`
}

// Task is the work of a shard.
type Task interface {
	// Step does a bounded piece of work. It returns its durable effects as
	// conditions and writes, which are committed together with the shard's row.
	Step(ctx context.Context) (conds []store.Condition, writes []store.Write, err error)
}

// Shard takes part, on one node, in the ownership of a piece of control work
// and performs the work while the node is the owner. It implements
// suture.Service.
type Shard struct {
	// Name is the key of the shard's row.
	Name string
	// Node is the name of this node.
	Node string
	Task Task
	// Preferred reports whether this node is the preferred owner of the shard; other
	// nodes wait longer before they take it over.
	Preferred func(name string) bool
	Tables    store.Tables
	NewID     func() string
	Log       *slog.Logger

	cur     row
	version store.Version
	// lastSeen is the version last read and lastSeenAt when it was first read.
	lastSeen   store.Version
	lastSeenAt time.Time
	owned      bool
}

// Epoch returns the epoch under which this node owns the shard. It is for the
// shard's own Task.
func (s *Shard) Epoch() int64 { return s.cur.Epoch }

// Serve implements suture.Service.
func (s *Shard) Serve(ctx context.Context) error {
	for {
		s.runOnce(ctx)
		every := pollInterval
		if s.owned || s.Preferred(s.Name) {
			every = stepInterval
		}
		select {
		case <-ctx.Done():
			s.release()
			return ctx.Err()
		case <-time.After(every/2 + rand.N(every)):
		}
	}
}

func (s *Shard) runOnce(ctx context.Context) {
	if !s.owned && !s.takeOver(ctx) {
		return
	}
	if !s.Preferred(s.Name) {
		// Another node is the preferred owner: release the shard, so that the
		// shards stay evenly distributed when nodes start and stop.
		s.release()
		return
	}
	conds, writes, err := s.Task.Step(ctx)
	if err != nil {
		s.Log.Debug("control step failed", "shard", s.Name, "err", err)
		conds, writes = nil, nil
	}
	if err := s.commit(ctx, conds, writes); errors.Is(err, ErrLost) {
		s.Log.Warn("control shard lost", "shard", s.Name, "epoch", s.cur.Epoch)
	}
}

// takeOver tries to become the owner if the shard is free.
func (s *Shard) takeOver(ctx context.Context) bool {
	r, err := s.Tables.Get(ctx, shardTable, s.Name)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	s.cur = row{}
	if err == nil {
		if json.Unmarshal(r.Value, &s.cur) != nil {
			return false
		}
	}
	s.version = r.Version
	if !s.isFree(time.Now()) {
		return false
	}
	s.cur.Owner = s.Node
	s.cur.Epoch++
	event := Event{At: time.Now().UTC(), Node: s.Node, Kind: TakeOver, Object: "shard/" + s.Name, Detail: s.cur.Owner}
	w, err := event.Write(s.NewID())
	if err != nil {
		return false
	}
	if err := s.commit(ctx, nil, []store.Write{w}); err != nil {
		return false
	}
	s.Log.Info("control shard taken", "shard", s.Name, "epoch", s.cur.Epoch)
	return true
}

// isFree reports whether this node may take the shard over: the shard has no
// owner, or its row has not changed for the lease time. A node that is not
// preferred waits pollInterval longer.
func (s *Shard) isFree(now time.Time) bool {
	if s.lastSeen != s.version || s.lastSeenAt.IsZero() {
		s.lastSeen, s.lastSeenAt = s.version, now
	}
	idle := now.Sub(s.lastSeenAt)
	if s.cur.Owner != "" {
		idle -= LeaseTime
	}
	return idle >= pollInterval || (idle >= 0 && s.Preferred(s.Name))
}

// commit writes the row together with conds and writes, on the condition that
// the row still has the version this node knows.
func (s *Shard) commit(ctx context.Context, conds []store.Condition, writes []store.Write) error {
	s.cur.Beat = s.NewID()
	value, err := json.Marshal(s.cur)
	if err != nil {
		return eris.Wrap(err, "encode shard")
	}
	tx := store.Tx{
		Conditions: append([]store.Condition{{Table: shardTable, Key: s.Name, Version: s.version}}, conds...),
		Writes:     append([]store.Write{{Table: shardTable, Key: s.Name, Value: value}}, writes...),
	}
	applied, err := store.CommitSettled(ctx, s.Tables, tx, retryPause)
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict) && (len(conflict.Failed) == 0 || conflict.Failed[0] == 0):
		s.owned = false
		return ErrLost
	case err != nil || !applied:
		return eris.Wrap(store.ErrUnknown, "control commit")
	}
	return s.readVersion(ctx, value)
}

// readVersion reads the version of the row that commit wrote.
func (s *Shard) readVersion(ctx context.Context, value []byte) error {
	r, err := s.Tables.Get(ctx, shardTable, s.Name)
	if err != nil {
		// Without the version the next commit would fail. The node gives up
		// ownership until takeOver has read the row again.
		s.owned = false
		return err
	}
	s.owned = string(r.Value) == string(value)
	s.version = r.Version
	if !s.owned {
		return ErrLost
	}
	return nil
}

// releaseTimeout bounds the release of a shard.
const releaseTimeout = 2 * time.Second

// release gives up an owned shard, best effort. If it fails, the next owner
// waits for the lease to expire.
func (s *Shard) release() {
	if !s.owned {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	s.cur.Owner = ""
	if err := s.commit(ctx, nil, nil); err != nil {
		s.Log.Debug("control shard not handed over", "shard", s.Name, "err", err)
	}
	s.owned = false
}
