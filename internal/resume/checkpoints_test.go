package resume

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/store"
)

// serveCheckpoints starts the writes of records to the store at all nodes; kill ends them.
func (f *fleet) serveCheckpoints(t *testing.T) (kill context.CancelFunc) {
	ctx, kill := context.WithCancel(t.Context())
	for _, r := range f.nodes {
		go func() { _ = r.Checkpoints.Serve(ctx) }()
	}
	return kill
}

// restartBeside replaces all nodes by new ones that share the store and have seen two versions.
func (f *fleet) restartBeside(t *testing.T) *fleet {
	next := f.restart(t, "v2")
	for name := range next.nodes {
		next.see(name, "v1", "v2")
	}
	return next
}

// stored returns the IDs of all records in the store.
func (f *fleet) stored(t *testing.T) map[string]bool {
	rows, err := f.store.Scan(t.Context(), CheckpointTable, "", "", 1000)
	qt.Assert(t, err, qt.IsNil)
	out := make(map[string]bool)
	for _, row := range rows {
		var content checkpointRow
		qt.Assert(t, json.Unmarshal(row.Value, &content), qt.IsNil)
		for _, g := range content.Streams {
			for _, id := range g.IDs {
				out[id] = true
			}
		}
	}
	return out
}

// beginMany begins n streams at the nodes in turn and returns what ends each.
func (f *fleet) beginMany(n int, version string) (ends []func(bool)) {
	for i := range n {
		node := f.nodes[fmt.Sprint("node-", i%len(f.nodes))]
		ends = append(ends, node.Begin(stream(fmt.Sprint(version, "-", i)), version))
	}
	return ends
}

// found returns how many of the streams that beginMany began a node finds, at their version, as their callers come back at once.
func (f *fleet) found(t *testing.T, node string, n int, version string) int {
	var found atomic.Int64
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			o, err := f.nodes[node].Find(t.Context(), stream(fmt.Sprint(version, "-", i)))
			if err == nil && o == (Origin{"s", version}) {
				found.Add(1)
			}
		})
	}
	all.Wait()
	return int(found.Load())
}

// TestRecordsOutlastALossOfAllNodes guards against streams that end for good because all nodes were lost together.
func TestRecordsOutlastALossOfAllNodes(t *testing.T) {
	for _, faults := range []store.Faults{{}, {Delay: 300 * time.Millisecond}, {LoseReplies: 3}, {DropCommits: 3}, {LateCommits: 3, LateBy: time.Second}} {
		inFleet(t, 6, func(t *testing.T, f *fleet) {
			f.serveCheckpoints(t)
			f.store.SetFaults(faults)
			f.beginMany(60, "v1")
			f.beginMany(60, "v2")
			time.Sleep(4 * time.Second)
			next := f.restartBeside(t)
			qt.Check(t, next.found(t, "node-0", 60, "v1"), qt.Equals, 60, qt.Commentf("%+v", faults))
			qt.Check(t, next.found(t, "node-5", 60, "v2"), qt.Equals, 60, qt.Commentf("%+v", faults))
		})
	}
}

// A second loss, before the callers come back, must not take what the first one left: the nodes between them write rows too.
func TestRecordsOfAnEarlierLossAreKeptInTheStore(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		kill := f.serveCheckpoints(t)
		f.beginMany(60, "v1")
		time.Sleep(time.Second)
		kill()
		next := f.restartBeside(t)
		kill = next.serveCheckpoints(t)
		next.beginMany(60, "v2")
		time.Sleep(time.Second)
		kill()
		last := next.restartBeside(t)
		qt.Check(t, last.found(t, "node-0", 60, "v1"), qt.Equals, 60)
		qt.Check(t, last.found(t, "node-0", 60, "v2"), qt.Equals, 60)
	})
}

func TestStoreHasOnlyRecordsOfStreamsThatMayBeOpen(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, f *fleet) {
		f.serveCheckpoints(t)
		ends := f.beginMany(20, "v1")
		time.Sleep(time.Second)
		qt.Assert(t, f.stored(t), qt.HasLen, 20)
		for i, end := range ends {
			end(i >= 5)
		}
		time.Sleep(sweepInterval + time.Second)
		qt.Check(t, f.stored(t), qt.HasLen, 5)
		time.Sleep(5*time.Second + retention + 2*sweepInterval)
		qt.Check(t, f.stored(t), qt.HasLen, 0)
	})
}

// Streams that began while there was one version are in the store soon after another one has come.
func TestStoreHasNoRecordsOfServicesWithOneVersion(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, f *fleet) {
		f.serveCheckpoints(t)
		for name := range f.nodes {
			f.see(name, "v1")
		}
		before := f.store.Counts()
		f.beginMany(20, "v1")
		time.Sleep(time.Second)
		qt.Check(t, f.store.Counts(), qt.Equals, before)
		for name := range f.nodes {
			f.see(name, "v1", "v2")
		}
		time.Sleep(time.Second)
		qt.Check(t, f.stored(t), qt.HasLen, 20)
	})
}

// TestWritesOfRecordsAreBounded guards against a fleet that spends the store's writes on records of streams.
func TestWritesOfRecordsAreBounded(t *testing.T) {
	for _, n := range []int{2, 8, 80} {
		inFleet(t, n, func(t *testing.T, f *fleet) {
			f.serveCheckpoints(t)
			const seconds = 5
			before := f.store.Counts().Commits
			for i := range seconds * 100 {
				f.nodes["node-0"].Begin(stream(fmt.Sprint("stream-", i)), "v1")
				time.Sleep(10 * time.Millisecond)
			}
			commits := f.store.Counts().Commits - before
			qt.Check(t, commits <= seconds*checkpointRate+int64(n), qt.IsTrue, qt.Commentf("%d nodes: %d commits", n, commits))
		})
	}
}

// TestReadThatFailedIsNoFinalRefusal guards against an unknown stream for which the store was not heard.
func TestReadThatFailedIsNoFinalRefusal(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, f *fleet) {
		f.store.SetFaults(store.Faults{Down: true})
		_, err := f.nodes["node-0"].Find(t.Context(), stream("unknown"))
		qt.Check(t, err, qt.Equals, ErrUnconfirmed)
		f.store.SetFaults(store.Faults{})
		_, err = f.nodes["node-0"].Find(t.Context(), stream("unknown"))
		qt.Check(t, err, qt.Equals, ErrUnknown)
	})
}

// TestAllNodesTogetherReadEachPartitionFewTimes bounds what a loss of all nodes costs the store as callers come back.
func TestAllNodesTogetherReadEachPartitionFewTimes(t *testing.T) {
	inFleet(t, 40, func(t *testing.T, f *fleet) {
		f.serveCheckpoints(t)
		f.beginMany(200, "v1")
		time.Sleep(3 * time.Second)
		next := f.restartBeside(t)
		before := f.store.Counts().Reads
		for name := range next.nodes {
			next.found(t, name, 200, "v1")
		}
		reads := f.store.Counts().Reads - before
		qt.Check(t, reads <= replicas*partitions, qt.IsTrue, qt.Commentf("%d reads", reads))
	})
}

// TestRowIsRemovedThoughItsLastRecordHasExpired guards against rows that nobody removes.
func TestRowIsRemovedThoughItsLastRecordHasExpired(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		f.serveCheckpoints(t)
		f.beginMany(20, "v1")
		time.Sleep(time.Second)
		qt.Assert(t, f.stored(t), qt.HasLen, 20)
		f.forget("node-0", "node-1", "node-2")
		time.Sleep(sweepInterval + time.Second)
		qt.Check(t, f.stored(t), qt.HasLen, 0)
	})
}

// TestRowsStayWithinTheLimitOfTheStore guards against a row that the store refuses, and with it all others of its transaction.
func TestRowsStayWithinTheLimitOfTheStore(t *testing.T) {
	var records []Record
	for i := range 5000 {
		records = append(records, Record{ID: fmt.Sprintf("%0100d", i), Origin: Origin{"s", "v1"}, Expires: time.Now().Add(time.Duration(i) * time.Millisecond)})
	}
	kept := latest(records)
	value, err := json.Marshal(encodeRow(kept, time.Now()))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(value) < 64<<10, qt.IsTrue, qt.Commentf("%d bytes", len(value)))
	qt.Check(t, len(kept) > 400, qt.IsTrue)
	qt.Check(t, kept[0].ID, qt.Equals, fmt.Sprintf("%0100d", 4999))
}

// A suspension of the host makes a read that seems recent an old one.
func TestReadOfRecordsFromBeforeASuspensionIsNotUsed(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fleet) {
		c := f.nodes["node-0"].Checkpoints
		qt.Assert(t, c.load(t.Context(), 1), qt.IsNil)
		before := f.store.Counts().Reads
		qt.Assert(t, c.load(t.Context(), 1), qt.IsNil)
		qt.Check(t, f.store.Counts().Reads, qt.Equals, before)
		c.HostResumed()
		qt.Assert(t, c.load(t.Context(), 1), qt.IsNil)
		qt.Check(t, f.store.Counts().Reads, qt.Equals, before+1)
	})
}
