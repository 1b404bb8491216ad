package resume

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/store"
)

// fleet are the registries of some nodes by address; nodes that are down do not answer.
type fleet struct {
	nodes map[string]*Registry

	mu   sync.Mutex
	down map[string]bool
	// removed are the nodes that are no longer in the table of nodes.
	removed map[string]bool
	// versions are those that each node has seen.
	versions map[string][]string
	// cut are the nodes that do not follow the list of targets.
	cut map[string]bool
	// complete are the nodes that have followed the list for long enough.
	complete map[string]bool
	store    *store.Memory
}

// lose makes nodes not answer.
func (f *fleet) lose(names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		f.down[name] = true
	}
}

// remove takes nodes out of the table of nodes.
func (f *fleet) remove(names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		f.removed[name] = true
	}
}

func (f *fleet) isRemoved(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.removed[name]
}

func (f *fleet) isDown(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down[name]
}

// see sets the versions that a node has seen.
func (f *fleet) see(name string, versions ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.versions[name] = versions
}

// forget makes nodes lose their records, as a restart does.
func (f *fleet) forget(names ...string) {
	for _, name := range names {
		r := f.nodes[name]
		r.mu.Lock()
		clear(r.records)
		r.mu.Unlock()
	}
}

// cutOff ends that a node follows the list of targets.
func (f *fleet) cutOff(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[name] = true
}

// followsForLong makes nodes know all versions.
func (f *fleet) followsForLong(names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		f.complete[name] = true
	}
}

// followedFor returns for how long a node has followed the list of targets.
func (f *fleet) followedFor(name string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.complete[name] {
		return recordedMemory
	}
	return time.Second
}

func (f *fleet) follows(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.cut[name]
}

func (f *fleet) seen(name string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions[name]
}

var errDown = errors.New("the node is down")

func (f *fleet) SendStreams(_ context.Context, addr string, records []Record) error {
	if f.isDown(addr) {
		return errDown
	}
	f.nodes[addr].Keep(records)
	return nil
}

func (f *fleet) FindStream(ctx context.Context, addr, id, service string) (Answer, error) {
	if f.isDown(addr) {
		return Answer{}, errDown
	}
	return f.nodes[addr].Answer(ctx, id, service), nil
}

// newFleet returns n nodes in two data centres, all of which have seen v1 and v2.
func newFleet(ctx context.Context, n int) *fleet {
	f := &fleet{nodes: make(map[string]*Registry), down: make(map[string]bool), removed: make(map[string]bool), versions: make(map[string][]string), cut: make(map[string]bool), complete: make(map[string]bool), store: store.NewMemory()}
	var all []Node
	for i := range n {
		name := fmt.Sprint("node-", i)
		all = append(all, Node{Name: name, Addr: name, DataCentre: fmt.Sprint("dc-", i%2)})
	}
	for _, self := range all {
		r := NewRegistry()
		r.Self, r.Remote, r.Log = self, f, slog.New(slog.NewTextHandler(io.Discard, nil))
		r.Nodes = func() []Node {
			var others []Node
			for _, other := range all {
				if other != self && !f.isRemoved(other.Name) {
					others = append(others, other)
				}
			}
			return others
		}
		r.Versions = func(string) ([]string, time.Duration) { return f.seen(self.Name), f.followedFor(self.Name) }
		r.Confirm = func(context.Context, string, string) error {
			if !f.follows(self.Name) {
				return store.ErrUnavailable
			}
			return nil
		}
		r.Checkpoints = NewCheckpoints()
		r.Checkpoints.Store, r.Checkpoints.Streams, r.Checkpoints.Log = f.store, r, r.Log
		r.History = NewHistory()
		r.History.Store, r.History.Log, r.History.Versions, r.History.Writes = f.store, r.Log, r.Versions, r.WritesHistory
		r.History.Services = func() []string { return []string{"s"} }
		f.see(self.Name, "v1", "v2")
		f.nodes[self.Name] = r
		go func() { _ = r.Serve(ctx) }()
	}
	return f
}

func inFleet(t *testing.T, n int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		test(t, newFleet(ctx, n))
	})
}

func stream(id string) Stream {
	return Stream{ID: id, Service: "s", Deadline: time.Now().Add(5 * time.Second), MaxAge: 20 * time.Second}
}

func TestEveryNodeFindsWhereAStreamBeganAfterItsNodeIsLost(t *testing.T) {
	inFleet(t, 7, func(t *testing.T, f *fleet) {
		for i := range 50 {
			id := fmt.Sprint("stream-", i)
			f.nodes["node-0"].Begin(stream(id), "v2")
			time.Sleep(time.Second / 10)
		}
		f.lose("node-0")
		for name, r := range f.nodes {
			if f.isDown(name) {
				continue
			}
			got, err := r.Find(t.Context(), stream("stream-49"))
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, got, qt.Equals, Origin{"s", "v2"})
		}
	})
}

func TestRecordsOutlastALossOfADataCentre(t *testing.T) {
	inFleet(t, 8, func(t *testing.T, f *fleet) {
		for i := range 40 {
			f.nodes["node-0"].Begin(stream(fmt.Sprint("stream-", i)), "v1")
		}
		time.Sleep(time.Second)
		for i := 0; i < 8; i += 2 {
			f.lose(fmt.Sprint("node-", i))
		}
		found := 0
		for i := range 40 {
			if _, err := f.nodes["node-1"].Find(t.Context(), stream(fmt.Sprint("stream-", i))); err == nil {
				found++
			}
		}
		qt.Check(t, found >= 36, qt.IsTrue, qt.Commentf("%d of 40", found))
	})
}

func TestUnknownStreamGoesOnOnlyWhereAllHaveSeenOneVersion(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, f *fleet) {
		find := func() (Origin, error) { return f.nodes["node-0"].Find(t.Context(), stream("unknown")) }
		_, err := find()
		qt.Check(t, err, qt.Equals, ErrUnknown)
		for name := range f.nodes {
			f.see(name, "v2")
		}
		got, err := find()
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, got.Version, qt.Equals, "v2")
		for name := range f.nodes {
			if name != "node-0" {
				f.see(name, "v1", "v2")
			}
		}
		_, err = find()
		qt.Check(t, err, qt.Equals, ErrUnknown)
	})
}

func TestNodeThatReachesNobodyTakesNoVersionForTheOnlyOne(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, f *fleet) {
		for name := range f.nodes {
			f.see(name, "v2")
		}
		f.lose("node-1", "node-2", "node-3")
		f.cutOff("node-0")
		_, err := f.nodes["node-0"].Find(t.Context(), stream("unknown"))
		qt.Check(t, err, qt.Equals, ErrUnconfirmed)
	})
}

// Others know the only version if they have followed the list for longer than the stream may have been open.
func TestNodeWhoseStoreIsAwayAsksOthersForTheOnlyVersion(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, f *fleet) {
		for name := range f.nodes {
			f.see(name, "v2")
			f.cutOff(name)
		}
		find := func() (Origin, error) { return f.nodes["node-0"].Find(t.Context(), stream("unknown")) }
		_, err := find()
		qt.Check(t, err, qt.Equals, ErrUnconfirmed)
		for name := range f.nodes {
			if name != "node-0" {
				f.followsForLong(name)
			}
		}
		got, err := find()
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, got.Version, qt.Equals, "v2")
	})
}

func TestHistoryThatIsNotReadIsNoProofOfOneVersion(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, f *fleet) {
		for name := range f.nodes {
			f.see(name, "v2")
		}
		f.store.SetFaults(store.Faults{Down: true})
		_, err := f.nodes["node-0"].Find(t.Context(), stream("unknown"))
		qt.Check(t, err, qt.Equals, ErrUnconfirmed)
	})
}

// A stream may have begun at a version that a node has not heard of yet, though it has followed the list for long.
func TestOldListIsNotTakenForAllVersions(t *testing.T) {
	for name, tc := range map[string]struct {
		lost []string
		cut  bool
		ok   bool
	}{
		"another node knows two versions":               {nil, true, false},
		"nobody answers":                                {[]string{"node-1", "node-2", "node-3"}, true, false},
		"nobody answers, but the store says it is sole": {[]string{"node-1", "node-2", "node-3"}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, 4, func(t *testing.T, f *fleet) {
				f.see("node-0", "v1")
				f.followsForLong("node-0")
				f.lose(tc.lost...)
				if tc.cut {
					f.cutOff("node-0")
				}
				got, err := f.nodes["node-0"].Find(t.Context(), stream("unknown"))
				qt.Check(t, err == nil, qt.Equals, tc.ok, qt.Commentf("%v", err))
				if tc.ok {
					qt.Check(t, got, qt.Equals, Origin{"s", "v1"})
				}
			})
		})
	}
}

// Two nodes with old lists do not confirm each other's version: records have named another one.
func TestRecordsTellNodesOfVersions(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, f *fleet) {
		for _, name := range []string{"node-1", "node-2", "node-3"} {
			f.see(name, "v1")
			f.followsForLong(name)
		}
		for i := range 20 {
			f.nodes["node-0"].Begin(stream(fmt.Sprint("stream-", i)), "v2")
		}
		time.Sleep(time.Second)
		f.lose("node-0")
		for _, name := range []string{"node-1", "node-2", "node-3"} {
			_, err := f.nodes[name].Find(t.Context(), stream("unknown"))
			// The node that does not answer may have the record.
			qt.Check(t, err, qt.Equals, ErrUnconfirmed)
		}
		f.remove("node-0")
		for _, name := range []string{"node-1", "node-2", "node-3"} {
			_, err := f.nodes[name].Find(t.Context(), stream("unknown"))
			qt.Check(t, err, qt.Equals, ErrUnknown)
		}
		time.Sleep(recordedMemory + sweepInterval)
		got, err := f.nodes["node-1"].Find(t.Context(), stream("unknown"))
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, Origin{"s", "v1"})
	})
}

// A second version may come when the node that serves the stream is gone.
func TestRecordsAreSentBeforeASecondVersionComes(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, f *fleet) {
		for name := range f.nodes {
			f.see(name, "v1")
		}
		f.nodes["node-0"].Begin(stream("a"), "v1")
		time.Sleep(2 * flushInterval)
		f.lose("node-0")
		for _, name := range []string{"node-1", "node-2", "node-3"} {
			f.see(name, "v1", "v2")
			got, err := f.nodes[name].Find(t.Context(), stream("a"))
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, got, qt.Equals, Origin{"s", "v1"})
		}
	})
}

func TestRecordsAreSentAgainToNodesThatRestarted(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, f *fleet) {
		s := Stream{ID: "a", Service: "s", Deadline: time.Now().Add(time.Minute)}
		end := f.nodes["node-0"].Begin(s, "v1")
		time.Sleep(time.Second)
		f.forget("node-1", "node-2", "node-3")
		time.Sleep(2 * sweepInterval)
		qt.Check(t, f.nodes["node-1"].Records()+f.nodes["node-2"].Records()+f.nodes["node-3"].Records(), qt.Equals, replicasWritten)
		end(false)
		f.forget("node-1", "node-2", "node-3")
		time.Sleep(2 * sweepInterval)
		qt.Check(t, f.nodes["node-1"].Records()+f.nodes["node-2"].Records()+f.nodes["node-3"].Records(), qt.Equals, 0)
	})
}

func TestRecordsExpire(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fleet) {
		f.nodes["node-0"].Begin(stream("a"), "v1")
		time.Sleep(time.Second)
		qt.Check(t, f.nodes["node-1"].Records(), qt.Equals, 1)
		time.Sleep(5*time.Second + retention + sweepInterval)
		qt.Check(t, f.nodes["node-0"].Records()+f.nodes["node-1"].Records(), qt.Equals, 0)
	})
}
