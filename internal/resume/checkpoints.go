package resume

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/store"
)

// CheckpointTable is the store's table with the records of streams of services whose targets have several versions. It has a
// row for each partition, and region whose nodes keep records of it.
const CheckpointTable = "streams"

const (
	// checkpointRate is the number of writes a second that all nodes make together, at most.
	checkpointRate = 40
	// minCheckpointInterval is the least interval between two writes of a node. Streams that began since the last one
	// are lost with a loss of all nodes.
	minCheckpointInterval = 100 * time.Millisecond
	// checkpointTimeout bounds a read or write. A slow store takes some hundred ms.
	checkpointTimeout = 2 * time.Second
	// loadLifetime is for how long a read of a partition stands.
	loadLifetime = time.Second
	// maxRowsWritten bounds a transaction, which has two entries for each row.
	maxRowsWritten = 40
	// maxRowBytes bounds the IDs in a row, with what surrounds each, in bytes. The store takes rows of 64 KB.
	maxRowBytes = 48 << 10
	// maxRowsRead is more than a partition has: a row for each region.
	maxRowsRead = 100
)

// Checkpoints keeps in the store the records of streams that may be open, of services whose targets have several versions:
// a loss of all nodes takes the records in their memory. For each partition and region one node writes, and streams never
// wait for it. It is safe for concurrent use. It implements suture.Service.
type Checkpoints struct {
	Store   store.Tables
	Streams *Registry
	Log     *slog.Logger

	mu sync.Mutex
	// rows are the rows that this node has written or read last.
	rows map[string]checkpoint
	// loads are the reads of partitions.
	loads map[uint64]*load
}

// checkpoint is what this node knows of a row.
type checkpoint struct {
	partition uint64
	version   store.Version
	// records is the number of records in the row.
	records int
}

// load is a read of the rows of a partition.
type load struct {
	began time.Time
	// done is closed when err is set.
	done chan struct{}
	err  error
}

// checkpointRow is a row of CheckpointTable.
type checkpointRow struct {
	Streams []checkpointStreams `json:"streams"`
}

// checkpointStreams are streams that began at one version.
type checkpointStreams struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// TTLMS is for how many milliseconds the records were of use when the row was written.
	TTLMS int64    `json:"ttl_ms"`
	IDs   []string `json:"ids"`
}

// NewCheckpoints returns Checkpoints. Its other fields are set before it is used.
func NewCheckpoints() *Checkpoints {
	return &Checkpoints{rows: make(map[string]checkpoint), loads: make(map[uint64]*load)}
}

// Serve implements suture.Service.
func (c *Checkpoints) Serve(ctx context.Context) error {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(c.interval()):
			c.save(ctx, false)
		case <-sweep.C:
			c.save(ctx, true)
		}
	}
}

// interval returns the interval between two writes of this node.
func (c *Checkpoints) interval() time.Duration {
	writers := min(len(c.Streams.Nodes())+1, partitions)
	return max(time.Duration(writers)*time.Second/checkpointRate, minCheckpointInterval)
}

// save writes the rows that lack records; all also those that have records which are no longer needed.
func (c *Checkpoints) save(ctx context.Context, all bool) {
	due := c.due(all)
	for chunk := range slices.Chunk(due, maxRowsWritten) {
		if err := c.write(ctx, chunk); err != nil && ctx.Err() == nil {
			c.Log.Info("records of streams not written to the store", "rows", len(chunk), "err", err)
		}
	}
}

// dueRow is a row to write.
type dueRow struct {
	partition uint64
	key       string
	records   []Record
}

// due returns the rows that this node has to write.
func (c *Checkpoints) due(all bool) []dueRow {
	groups := c.Streams.toSave()
	c.mu.Lock()
	rows := maps.Clone(c.rows)
	c.mu.Unlock()
	for _, row := range rows {
		if _, ok := groups[row.partition]; !ok {
			// No records are left: the row is removed.
			groups[row.partition] = saving{}
		}
	}
	var out []dueRow
	for partition, group := range groups {
		key := c.key(partition)
		stale := all && rows[key].records != len(group.records)
		if (stale || group.unsaved) && c.Streams.leads(partition) {
			out = append(out, dueRow{partition, key, group.records})
		}
	}
	return out
}

// key returns the key of the row that nodes of this node's region write for a partition.
func (c *Checkpoints) key(partition uint64) string {
	r := c.Streams
	return rowPrefix(partition) + r.Regions[r.Self.DataCentre]
}

// rowPrefix begins the keys of all rows of a partition.
func rowPrefix(partition uint64) string { return fmt.Sprintf("%02d/", partition) }

// write writes some rows in one transaction. Where another node has written a row, it is read, so that the next write has
// its records too.
func (c *Checkpoints) write(ctx context.Context, rows []dueRow) error {
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	tx, err := c.transaction(rows)
	if err != nil {
		return err
	}
	version, err := c.Store.Commit(ctx, tx)
	if conflict := (*store.ConflictError)(nil); errors.As(err, &conflict) {
		return c.reload(ctx, rows, conflict.Failed)
	}
	if errors.Is(err, store.ErrUnknown) {
		return errors.Join(err, c.reload(ctx, rows, allOf(rows)))
	}
	if err != nil {
		return err
	}
	c.written(rows, version)
	return nil
}

// transaction returns the transaction that writes some rows.
func (c *Checkpoints) transaction(rows []dueRow) (store.Tx, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var tx store.Tx
	now := time.Now()
	for _, row := range rows {
		w := store.Write{Table: CheckpointTable, Key: row.key, Delete: len(row.records) == 0}
		if !w.Delete {
			value, err := json.Marshal(encodeRow(row.records, now))
			if err != nil {
				return store.Tx{}, eris.Wrap(err, "encode records of streams")
			}
			w.Value = value
		}
		tx.Conditions = append(tx.Conditions, store.Condition{Table: CheckpointTable, Key: row.key, Version: c.rows[row.key].version})
		tx.Writes = append(tx.Writes, w)
	}
	return tx, nil
}

// written notes that rows were written.
func (c *Checkpoints) written(rows []dueRow, version store.Version) {
	c.mu.Lock()
	for _, row := range rows {
		if len(row.records) == 0 {
			delete(c.rows, row.key)
			continue
		}
		c.rows[row.key] = checkpoint{row.partition, version, len(row.records)}
	}
	c.mu.Unlock()
	for _, row := range rows {
		c.Streams.markSaved(row.records, true)
	}
}

// reload reads rows whose content this node does not know, and has their records saved again.
func (c *Checkpoints) reload(ctx context.Context, rows []dueRow, which []int) error {
	var errs []error
	for _, i := range which {
		c.Streams.markSaved(rows[i].records, false)
		errs = append(errs, c.read(ctx, rows[i].partition))
	}
	return errors.Join(errs...)
}

// allOf returns the indexes of rows.
func allOf(rows []dueRow) []int {
	var out []int
	for i := range rows {
		out = append(out, i)
	}
	return out
}

// HostResumed is called after the host was suspended: reads from before say nothing of the records that came meanwhile.
func (c *Checkpoints) HostResumed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.loads)
}

// load reads the records of a partition into the memory of this node, unless that was done lately. Callers at the same time
// share a read, which goes on without them.
func (c *Checkpoints) load(ctx context.Context, partition uint64) error {
	l := c.loadOf(partition)
	select {
	case <-l.done:
		return l.err
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "read records of streams")
	}
}

// loadOf returns the last read of a partition, or begins one if that failed or was too long ago.
func (c *Checkpoints) loadOf(partition uint64) *load {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.loads[partition]; l != nil && !l.isOver(time.Now()) {
		return l
	}
	l := &load{began: time.Now(), done: make(chan struct{})}
	c.loads[partition] = l
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), checkpointTimeout)
		defer cancel()
		l.err = c.read(ctx, partition)
		close(l.done)
	}()
	return l
}

// isOver reports whether the partition has to be read again.
func (l *load) isOver(now time.Time) bool {
	select {
	case <-l.done:
		return l.err != nil || now.Sub(l.began) >= loadLifetime
	default:
		return false
	}
}

// read reads the rows of a partition.
func (c *Checkpoints) read(ctx context.Context, partition uint64) error {
	rows, err := c.Store.Scan(ctx, CheckpointTable, rowPrefix(partition), "", maxRowsRead)
	if err != nil {
		return eris.Wrap(err, "read records of streams")
	}
	own := checkpoint{partition: partition}
	for _, row := range rows {
		records, err := decodeRow(row.Value, time.Now())
		if err != nil {
			return eris.Wrapf(err, "decode records of streams in row %s", row.Key)
		}
		c.Streams.restore(records)
		if row.Key == c.key(partition) {
			own.version, own.records = row.Version, len(records)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rows[c.key(partition)] = own
	return nil
}

// encodeRow groups records by the version at which their streams began.
func encodeRow(records []Record, now time.Time) checkpointRow {
	groups := make(map[Origin]*checkpointStreams)
	for _, record := range records {
		g := groups[record.Origin]
		if g == nil {
			g = &checkpointStreams{Service: record.Service, Version: record.Version}
			groups[record.Origin] = g
		}
		g.IDs = append(g.IDs, record.ID)
		g.TTLMS = max(g.TTLMS, record.Expires.Sub(now).Milliseconds())
	}
	var row checkpointRow
	for _, g := range groups {
		row.Streams = append(row.Streams, *g)
	}
	return row
}

// decodeRow returns the records of a row. They may be kept longer than they are of use: the age of the row is not known.
func decodeRow(value []byte, now time.Time) ([]Record, error) {
	var row checkpointRow
	if err := json.Unmarshal(value, &row); err != nil {
		return nil, err
	}
	var out []Record
	for _, g := range row.Streams {
		for _, id := range g.IDs {
			out = append(out, Record{ID: id, Origin: Origin{g.Service, g.Version}, Expires: now.Add(time.Duration(g.TTLMS) * time.Millisecond)})
		}
	}
	return out, nil
}
