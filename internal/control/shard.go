// Package control runs background work of which there must be one worker at a
// time over all nodes, such as sweeping old rows. A piece of such work is a
// shard with a row in the table service. The row's version is the fence: every
// durable effect of an owner is committed together with the row, so that the
// commit of an owner that was replaced without noticing fails. Time decides
// only when a node tries to take over, never what is allowed. Source:
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
	// node takes it over; measured by the taker's own clock.
	LeaseTime = 30 * time.Second
	// stepInterval is the time between two steps of an owner, and between two
	// looks of the node that is the first choice.
	stepInterval = 5 * time.Second
	// lookInterval is the time between two looks of any other node: with many
	// nodes their reads would add up.
	lookInterval = time.Minute
	// settlePause is the pause between tries to settle a lost reply.
	settlePause = 200 * time.Millisecond
)

// ErrLost: another node owns the shard now.
var ErrLost = errors.New("control: shard lost")

// row is the value of a shard's row.
type row struct {
	Owner string `json:"owner"`
	// Epoch counts the owners.
	Epoch int64 `json:"epoch"`
	// Beat makes each write unique and shows that the owner lives.
	Beat string `json:"beat"`
}

// Task is the work of a shard.
type Task interface {
	// Step does a bounded piece of work. What it wants to make durable it
	// returns as conditions and writes, which are committed under the fence.
	Step(ctx context.Context) (conds []store.Condition, writes []store.Write, err error)
}

// Shard is one piece of control work at one node. It implements suture.Service.
type Shard struct {
	// Name is the key of the shard's row.
	Name string
	// Node is the name of this node.
	Node string
	Task Task
	// Mine reports whether this node is the shard's first choice; others wait
	// longer before they take it over.
	Mine   func(name string) bool
	Tables store.Tables
	NewID  func() string
	Log    *slog.Logger

	cur     row
	version store.Version
	seen    store.Version
	seenAt  time.Time
	owned   bool
}

// Epoch returns the epoch under which this node owns the shard. It is for the
// shard's own Task.
func (s *Shard) Epoch() int64 { return s.cur.Epoch }

// Serve implements suture.Service.
func (s *Shard) Serve(ctx context.Context) error {
	for {
		s.round(ctx)
		every := lookInterval
		if s.owned || s.Mine(s.Name) {
			every = stepInterval
		}
		select {
		case <-ctx.Done():
			s.handOver()
			return ctx.Err()
		case <-time.After(every/2 + rand.N(every)):
		}
	}
}

func (s *Shard) round(ctx context.Context) {
	if !s.owned && !s.takeOver(ctx) {
		return
	}
	if !s.Mine(s.Name) {
		// Another node is the first choice: leave it the shard, so that the
		// shards stay spread when nodes come and go.
		s.handOver()
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
	if !s.free(time.Now()) {
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

// free reports whether the shard has no owner, or its row did not change for
// the lease time.
func (s *Shard) free(now time.Time) bool {
	if s.seen != s.version || s.seenAt.IsZero() {
		s.seen, s.seenAt = s.version, now
	}
	idle := now.Sub(s.seenAt)
	if s.cur.Owner != "" {
		idle -= LeaseTime
	}
	return idle >= lookInterval || (idle >= 0 && s.Mine(s.Name))
}

// commit writes the row anew together with the effects, if the row is as this
// node left it.
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
	applied, err := store.CommitSettled(ctx, s.Tables, tx, settlePause)
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict) && (len(conflict.Failed) == 0 || conflict.Failed[0] == 0):
		s.owned = false
		return ErrLost
	case err != nil || !applied:
		return eris.Wrap(store.ErrUnknown, "control commit")
	}
	return s.refresh(ctx, value)
}

// refresh learns the version of the row that was just written.
func (s *Shard) refresh(ctx context.Context, value []byte) error {
	r, err := s.Tables.Get(ctx, shardTable, s.Name)
	if err != nil {
		// Without the version the next commit would fail; read it then.
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

// handOverTimeout bounds the release of a shard.
const handOverTimeout = 2 * time.Second

// handOver releases an owned shard, best effort: without it the next owner
// waits for the lease.
func (s *Shard) handOver() {
	if !s.owned {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	s.cur.Owner = ""
	if err := s.commit(ctx, nil, nil); err != nil {
		s.Log.Debug("control shard not handed over", "shard", s.Name, "err", err)
	}
	s.owned = false
}
