package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"topazmoor/internal/store"
)

const (
	// scanInterval is the time between two looks for batches without an owner.
	scanInterval = 3 * time.Second
	// leaseTime is how long a row may stay unchanged before another node takes
	// the batch over. It is measured by the taker's own clock.
	leaseTime = 15 * time.Second
	// beatInterval is the time between two writes of an owner within a chunk.
	beatInterval = 5 * time.Second
	// chunkRetry is the pause after a chunk could not be stored.
	chunkRetry = 2 * time.Second
	// handOverTimeout bounds the release of a batch at a stop.
	handOverTimeout = 2 * time.Second
	// itemsAtOnce is how many items of a batch run at the same time.
	itemsAtOnce = 8
	// maxBatches is how many batches a node runs at once.
	maxBatches = 4
)

// Item is one input of a batch.
type Item struct {
	Account, Pipeline string
	// Key is the item's request key; unique to the item, equal on every node.
	Key   string
	Input json.RawMessage
}

// Execute runs an item below urgent work and returns what its caller would be
// told: the complete answer, or an honest refusal.
type Execute func(ctx context.Context, it Item) (status int, body []byte)

// Runner runs batches on one node. It implements suture.Service.
type Runner struct {
	store   *Store
	node    string
	execute Execute
	// mine reports whether this node is one that should look after a batch
	// now; it only spreads the work.
	mine func(id string) bool
	log  *slog.Logger

	mu      sync.Mutex
	running map[string]bool
	seen    map[string]sighting
}

// sighting is when a row version was first seen.
type sighting struct {
	row store.Version
	at  time.Time
}

// NewRunner returns a runner for a node.
func NewRunner(s *Store, node string, execute Execute, mine func(id string) bool, log *slog.Logger) *Runner {
	return &Runner{
		store: s, node: node, execute: execute, mine: mine, log: log,
		running: make(map[string]bool), seen: make(map[string]sighting),
	}
}

// Running returns the number of batches that this node runs.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// Serve looks for batches until ctx ends, then waits for the chunks under way
// to be dropped; another node carries on.
func (r *Runner) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		r.look(ctx, &wg)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(scanInterval/2 + rand.N(scanInterval)):
		}
	}
}

func (r *Runner) look(ctx context.Context, wg *sync.WaitGroup) {
	batches, err := r.store.unfinished(ctx)
	if err != nil {
		r.log.Debug("batches not read", "err", err)
		return
	}
	for _, v := range batches {
		if !r.free(v, time.Now()) || !r.enter(v.ID) {
			continue
		}
		wg.Go(func() {
			defer r.leave(v.ID)
			r.run(ctx, v)
		})
	}
}

// free reports whether this node may take the batch over: nobody owns it, or
// its row has not changed for the lease time.
func (r *Runner) free(v version, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.seen[v.ID]; !ok || s.row != v.row {
		r.seen[v.ID] = sighting{row: v.row, at: now}
	}
	idle := now.Sub(r.seen[v.ID].at)
	if v.Owner != "" {
		idle -= leaseTime
	}
	// Nodes that are not the first choice wait longer, in case the first choice
	// is gone.
	return idle >= 2*scanInterval || (idle >= 0 && r.mine(v.ID))
}

func (r *Runner) enter(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[id] || len(r.running) >= maxBatches {
		return false
	}
	r.running[id] = true
	return true
}

func (r *Runner) leave(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, id)
	delete(r.seen, id)
}

func (r *Runner) run(ctx context.Context, v version) {
	v, err := r.store.takeOver(ctx, v, r.node)
	if err != nil {
		return
	}
	r.log.Info("batch taken", "batch", v.ID, "account", v.Account, "epoch", v.Epoch, "finished", v.Finished(), "items", v.Items)
	inputs, err := r.store.inputs(ctx, v.ID)
	for err == nil && !v.Done() && ctx.Err() == nil {
		v, err = r.chunk(ctx, v, inputs)
	}
	if ctx.Err() != nil {
		r.handOver(v)
		return
	}
	if err != nil {
		r.log.Warn("batch left to another node", "batch", v.ID, "err", err)
		return
	}
	if v.Done() {
		r.log.Info("batch done", "batch", v.ID, "account", v.Account, "items", v.Items)
	}
}

// handOver releases a batch when this node stops, best effort: without it the
// next owner waits for the lease.
func (r *Runner) handOver(v version) {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if err := r.store.release(ctx, v); err != nil {
		r.log.Warn("batch not handed over", "batch", v.ID, "err", err)
	}
}

// chunk runs the next items and stores their results.
func (r *Runner) chunk(ctx context.Context, v version, inputs []json.RawMessage) (version, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan []Result, 1)
	first := len(v.Results) * ChunkItems
	last := min(first+ChunkItems, len(inputs))
	go func() { results <- r.items(ctx, v.Batch, inputs[first:last], first) }()
	beat := time.NewTicker(beatInterval)
	defer beat.Stop()
	for {
		select {
		case res := <-results:
			if ctx.Err() != nil {
				return v, ctx.Err()
			}
			return r.finish(ctx, v, res)
		case <-beat.C:
			next, err := r.store.beat(ctx, v)
			if lost(err) {
				return v, err
			}
			if err == nil {
				v = next
			}
		}
	}
}

// lost reports whether another node owns the batch now.
func lost(err error) bool {
	var conflict *store.ConflictError
	return errors.As(err, &conflict)
}

// finish stores results, through outages, until the batch is lost.
func (r *Runner) finish(ctx context.Context, v version, res []Result) (version, error) {
	for {
		next, err := r.store.finishChunk(ctx, v, res)
		if err == nil {
			return next, nil
		}
		if lost(err) {
			return v, err
		}
		r.log.Warn("batch results not stored yet", "batch", v.ID, "err", err)
		select {
		case <-ctx.Done():
			return v, ctx.Err()
		case <-time.After(chunkRetry):
		}
		// The row may have been written before the answer was lost.
		if cur, err := r.store.get(ctx, v.ID); err == nil {
			if cur.Epoch != v.Epoch {
				return v, &store.ConflictError{}
			}
			if len(cur.Results) > len(v.Results) {
				return cur, nil
			}
			v = cur
		}
	}
}

func (r *Runner) items(ctx context.Context, b Batch, inputs []json.RawMessage, first int) []Result {
	out := make([]Result, len(inputs))
	var g errgroup.Group
	g.SetLimit(itemsAtOnce)
	for i, in := range inputs {
		g.Go(func() error {
			index := first + i
			status, body := r.execute(ctx, Item{
				Account: b.Account, Pipeline: b.Pipeline, Input: in, Key: fmt.Sprintf("%s/%d", b.ID, index),
			})
			out[i] = Result{Index: index, Status: status, Body: body}
			return nil
		})
	}
	_ = g.Wait()
	return out
}
