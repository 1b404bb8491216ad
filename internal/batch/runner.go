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
	// scanInterval is the mean time between two scans for unfinished batches.
	scanInterval = 3 * time.Second
	// leaseTime is how long the row of a batch may stay unchanged before another
	// node may take the batch over, by the clock of that node.
	leaseTime = 15 * time.Second
	// beatInterval is the time between two heartbeats of an owner while a chunk
	// runs.
	beatInterval = 5 * time.Second
	// chunkRetry is the pause before the results of a chunk are stored again after
	// a failure.
	chunkRetry = 2 * time.Second
	// releaseTimeout bounds the release of a batch when the node stops.
	releaseTimeout = 2 * time.Second
	// maxConcurrentItems is the maximum number of items of one batch that run at the
	// same time.
	maxConcurrentItems = 8
	// maxBatches is the maximum number of batches that a node runs at once.
	maxBatches = 4
)

// Item is one input of a batch.
type Item struct {
	Account, Pipeline string
	// Key is the idempotency key of the item: unique to the item, and the same on
	// every node.
	Key   string
	Input json.RawMessage
}

// Execute runs an item at a priority below urgent requests. It returns the HTTP
// status and body that a caller would receive: the complete response, or a
// refusal with its verdict.
type Execute func(ctx context.Context, it Item) (status int, body []byte)

// Runner runs batches on one node. It implements suture.Service.
type Runner struct {
	store   *Store
	node    string
	execute Execute
	// preferred reports whether this node is a preferred owner of a batch. It
	// only distributes the work; the row's version protects the batch.
	preferred func(id string) bool
	log       *slog.Logger

	mu      sync.Mutex
	running map[string]bool
	// observations holds, by batch ID, the row version last read; isFree compares
	// it to detect owners that no longer write.
	observations map[string]observation
}

// observation is a row version and when this node first read it.
type observation struct {
	row store.Version
	at  time.Time
}

// NewRunner returns a runner for a node.
func NewRunner(s *Store, node string, execute Execute, preferred func(id string) bool, log *slog.Logger) *Runner {
	return &Runner{
		store: s, node: node, execute: execute, preferred: preferred, log: log,
		running: make(map[string]bool), observations: make(map[string]observation),
	}
}

// Running returns the number of batches that this node runs.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// Serve scans for batches and runs them until ctx ends. Then it waits until the
// chunks in progress are cancelled and their batches released, for another node
// to continue.
func (r *Runner) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		r.scan(ctx, &wg)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(scanInterval/2 + rand.N(scanInterval)):
		}
	}
}

// scan starts running the unfinished batches that are free.
func (r *Runner) scan(ctx context.Context, wg *sync.WaitGroup) {
	batches, err := r.store.unfinished(ctx)
	if err != nil {
		r.log.Debug("batches not read", "err", err)
		return
	}
	for _, v := range batches {
		if !r.isFree(v, time.Now()) || !r.addRunning(v.ID) {
			continue
		}
		wg.Go(func() {
			defer r.removeRunning(v.ID)
			r.run(ctx, v)
		})
	}
}

// isFree reports whether this node may take the batch over: the batch has no
// owner, or its row has not changed for the lease time.
func (r *Runner) isFree(v version, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.observations[v.ID]; !ok || s.row != v.row {
		r.observations[v.ID] = observation{row: v.row, at: now}
	}
	idle := now.Sub(r.observations[v.ID].at)
	if v.Owner != "" {
		idle -= leaseTime
	}
	// A node that is not preferred waits two scan intervals longer and takes the
	// batch only if the preferred ones have not done so.
	return idle >= 2*scanInterval || (idle >= 0 && r.preferred(v.ID))
}

// addRunning records that this node runs the batch. It returns false if the node
// already runs it or runs maxBatches.
func (r *Runner) addRunning(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[id] || len(r.running) >= maxBatches {
		return false
	}
	r.running[id] = true
	return true
}

func (r *Runner) removeRunning(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, id)
	delete(r.observations, id)
}

// run takes the batch over and runs its remaining chunks. It stops early if ctx
// ends, the store fails or another node takes the batch over.
func (r *Runner) run(ctx context.Context, v version) {
	v, err := r.store.takeOver(ctx, v, r.node)
	if err != nil {
		return
	}
	r.log.Info("batch taken", "batch", v.ID, "account", v.Account, "epoch", v.Epoch, "finished", v.Finished(), "items", v.Items)
	inputs, err := r.store.inputs(ctx, v.ID)
	for err == nil && !v.Done() && ctx.Err() == nil {
		v, err = r.runChunk(ctx, v, inputs)
	}
	if ctx.Err() != nil {
		r.releaseOnStop(v)
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

// releaseOnStop gives up a batch when this node stops, best effort. If it fails,
// the next owner waits for the lease to expire.
func (r *Runner) releaseOnStop(v version) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := r.store.release(ctx, v); err != nil {
		r.log.Warn("batch not handed over", "batch", v.ID, "err", err)
	}
}

// runChunk runs the items of the next chunk and stores their results. It writes a
// heartbeat while they run.
func (r *Runner) runChunk(ctx context.Context, v version, inputs []json.RawMessage) (version, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan []Result, 1)
	first := len(v.Results) * ChunkItems
	last := min(first+ChunkItems, len(inputs))
	go func() { results <- r.runItems(ctx, v.Batch, inputs[first:last], first) }()
	beat := time.NewTicker(beatInterval)
	defer beat.Stop()
	for {
		select {
		case res := <-results:
			if ctx.Err() != nil {
				return v, ctx.Err()
			}
			return r.storeResults(ctx, v, res)
		case <-beat.C:
			next, err := r.store.beat(ctx, v)
			if isConflict(err) {
				return v, err
			}
			if err == nil {
				v = next
			}
		}
	}
}

// isConflict reports whether err is a conflict on the batch's row, which means that
// another node owns the batch.
func isConflict(err error) bool {
	var conflict *store.ConflictError
	return errors.As(err, &conflict)
}

// storeResults stores the results of a chunk. It retries through outages until
// they are stored, another node owns the batch, or ctx ends.
func (r *Runner) storeResults(ctx context.Context, v version, res []Result) (version, error) {
	for {
		next, err := r.store.finishChunk(ctx, v, res)
		if err == nil {
			return next, nil
		}
		if isConflict(err) {
			return v, err
		}
		r.log.Warn("batch results not stored yet", "batch", v.ID, "err", err)
		select {
		case <-ctx.Done():
			return v, ctx.Err()
		case <-time.After(chunkRetry):
		}
		// The row may have been written although the reply was lost.
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

// runItems runs the items whose first index is first and returns their results in
// item order.
func (r *Runner) runItems(ctx context.Context, b Batch, inputs []json.RawMessage, first int) []Result {
	out := make([]Result, len(inputs))
	var g errgroup.Group
	g.SetLimit(maxConcurrentItems)
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
