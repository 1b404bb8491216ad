package resume

import (
	"cmp"
	"context"
	"encoding/binary"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"topazmoor/internal/region"
	"topazmoor/internal/routing"
)

const (
	// replicas is the number of nodes that may hold the record of a stream. The node that serves the stream
	// may be one of them; it sends the record to replicasWritten others.
	replicas        = 4
	replicasWritten = replicas - 1
	// partitions is the number of groups of streams with the same nodes for their records. It bounds the
	// connections of a node in a large fleet.
	partitions = 64
	// askTimeout bounds the time in which the nodes answer, sendTimeout the sending of records.
	askTimeout  = 250 * time.Millisecond
	sendTimeout = time.Second
	// answerTimeout bounds the call of the store by a node that is asked; the asker waits for askTimeout.
	answerTimeout = 150 * time.Millisecond
	// confirmTimeout bounds the calls of the store for a stream without a record. A slow store takes some
	// hundred ms.
	confirmTimeout = 600 * time.Millisecond
	// flushInterval is the time for which records are collected before they are sent.
	flushInterval = 10 * time.Millisecond
	// retention is how long a record is kept after the deadline of its stream: a caller may come back
	// until then.
	retention = 10 * time.Second
	// sweepInterval is the interval at which expired records are removed, and records of open streams are sent
	// again: a node that has restarted since has lost them.
	sweepInterval = 5 * time.Second
)

// Versions returns the software versions that the targets of a service have had lately, and for how long the node has
// followed the list of targets without a gap; 0 while it does not.
type Versions func(service string) (versions []string, followed time.Duration)

// Confirm checks with the store that the targets of a service have no version but the given one at the time of the
// call. It fails if they have another one or the store does not answer.
type Confirm func(ctx context.Context, service, version string) error

// Registry keeps records of streams. It is safe for concurrent use. It implements suture.Service.
type Registry struct {
	// Self is this node; its address is not used.
	Self Node
	// Nodes returns the other nodes.
	Nodes    func() []Node
	Regions  region.Map
	Versions Versions
	Confirm  Confirm
	// History and Checkpoints say what the nodes knew that were lost together.
	History     *History
	Checkpoints *Checkpoints
	Remote      Remote
	Log         *slog.Logger

	mu      sync.Mutex
	records map[string]kept
	// recorded are the versions that records named lately.
	recorded recordedVersions
	// open are the streams that this node serves.
	open map[*openStream]struct{}
	// unsent are the records to send, by the address of the node.
	unsent map[string][]Record
	wake   chan struct{}
}

// kept is a record in the memory of this node.
type kept struct {
	Record
	// saved is set if this node has written the record to the store, or read it there.
	saved bool
}

// openStream is a stream that this node serves.
type openStream struct {
	Stream
	version string
	// sentAt is when its record was last sent.
	sentAt time.Time
}

// NewRegistry returns a Registry without records. Its other fields are set before it is used.
func NewRegistry() *Registry {
	return &Registry{records: make(map[string]kept), recorded: make(recordedVersions), open: make(map[*openStream]struct{}), unsent: make(map[string][]Record), wake: make(chan struct{}, 1)}
}

// Begin records that a stream began at a version, also if the service has no other one: this node may be lost before
// another one comes. end is called when this node no longer serves the stream; complete tells whether the whole answer
// has left.
func (r *Registry) Begin(s Stream, version string) (end func(complete bool)) {
	o := &openStream{Stream: s, version: version}
	if s.ID == "" {
		return func(bool) {}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[o] = struct{}{}
	r.record(o, time.Now())
	return func(complete bool) { r.end(o, complete) }
}

// end records that this node no longer serves a stream.
func (r *Registry) end(o *openStream, complete bool) {
	versions, _ := r.knownVersions(o.Service)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, o)
	if !complete {
		return
	}
	record := o.record()
	record.Complete = true
	r.keep(record)
	if len(versions) > 1 {
		// Only the first node may have to remove the record from the store.
		nodes := r.replicasOf(o.Stream)
		r.queue(record, nodes[:min(1, len(nodes))])
	}
}

// record keeps the record of a stream, and queues it for other nodes. The lock is held.
func (r *Registry) record(o *openStream, now time.Time) {
	o.sentAt = now
	record := o.record()
	r.keep(record)
	r.recorded.add(record.Origin, now)
	r.queue(record, r.writtenTo(o.Stream))
}

// keep keeps a record. A record that has come again need not be saved again. The lock is held.
func (r *Registry) keep(record Record) {
	before := r.records[record.ID]
	r.records[record.ID] = kept{Record: record, saved: before.saved && before.Origin == record.Origin}
}

// record returns the record of a stream.
func (o *openStream) record() Record {
	return Record{ID: o.ID, Origin: Origin{o.Service, o.version}, Expires: o.Deadline.Add(retention)}
}

// writtenTo returns the nodes to which this node sends the record of a stream.
func (r *Registry) writtenTo(s Stream) []Node {
	nodes := r.replicasOf(s)
	return nodes[:min(replicasWritten, len(nodes))]
}

// queue has a record sent to some nodes. The lock is held.
func (r *Registry) queue(record Record, nodes []Node) {
	for _, n := range nodes {
		r.unsent[n.Addr] = append(r.unsent[n.Addr], record)
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// replicasOf returns the nodes that may hold the record of a stream, without this one.
func (r *Registry) replicasOf(s Stream) []Node {
	return slices.DeleteFunc(r.holders(s), func(n Node) bool { return n.Name == r.Self.Name })
}

// WritesHistory reports whether this node is one of those that write the row of a service in the store.
func (r *Registry) WritesHistory(service string) bool {
	return slices.ContainsFunc(r.holders(Stream{ID: service}), func(n Node) bool { return n.Name == r.Self.Name })
}

// partition returns the group of streams to which a stream belongs.
func (s Stream) partition() uint64 { return partitionOf(s.ID) }

func partitionOf(id string) uint64 { return xxhash.Sum64String(id) % partitions }

// partitionRank returns the function by which nodes are ranked for a partition; the highest comes first.
func partitionRank(partition uint64) func(Node) uint64 {
	key := xxhash.Sum64(binary.BigEndian.AppendUint64(nil, partition))
	return func(n Node) uint64 { return routing.Mix(key, xxhash.Sum64String(n.Name)) }
}

// holders returns the nodes that may hold the record of a stream, in an order that is the same at all nodes.
// They are in more than one data centre if the fleet is.
func (r *Registry) holders(s Stream) []Node {
	var nodes []Node
	for _, node := range append(slices.Clone(r.Nodes()), r.Self) {
		if r.Regions.Allows(s.Regions, node.DataCentre) {
			nodes = append(nodes, node)
		}
	}
	rank := partitionRank(s.partition())
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(rank(b), rank(a)) })
	for i, node := range nodes {
		if node.DataCentre != nodes[0].DataCentre {
			nodes = slices.Insert(slices.Delete(nodes, i, i+1), 1, node)
			break
		}
	}
	return nodes[:min(replicas, len(nodes))]
}

// NodesStarted is called when other nodes have joined the fleet or started again: they lack the records of open streams.
func (r *Registry) NodesStarted(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	type group struct {
		partition uint64
		regions   string
	}
	started := make(map[group][]Node)
	for o := range r.open {
		if now.After(o.Deadline) {
			continue
		}
		g := group{o.partition(), o.Regions.String()}
		nodes, ok := started[g]
		if !ok {
			nodes = slices.DeleteFunc(r.writtenTo(o.Stream), func(n Node) bool { return !slices.Contains(names, n.Name) })
			started[g] = nodes
		}
		r.queue(o.record(), nodes)
	}
}

// Keep keeps records of streams that other nodes serve.
func (r *Registry) Keep(records []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, record := range records {
		r.keep(record)
		r.recorded.add(record.Origin, now)
	}
}

// Serve implements suture.Service. It sends records to other nodes and removes expired ones.
func (r *Registry) Serve(ctx context.Context) error {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	// flush is nil while no records wait to be sent.
	var flush <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wake:
			if flush == nil {
				flush = time.After(flushInterval)
			}
		case <-flush:
			flush = nil
			r.flush(ctx)
		case now := <-sweep.C:
			r.sweep(now)
			r.resend(now)
		}
	}
}

// flush sends all unsent records, to each node in a goroutine of its own.
func (r *Registry) flush(ctx context.Context) {
	r.mu.Lock()
	unsent := r.unsent
	r.unsent = make(map[string][]Record)
	r.mu.Unlock()
	for addr, records := range unsent {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			if err := r.Remote.SendStreams(ctx, addr, records); err != nil && ctx.Err() == nil {
				r.Log.Info("versions of streams not sent", "addr", addr, "streams", len(records), "err", err)
			}
		}()
	}
}

// sweep removes expired records.
func (r *Registry) sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, record := range r.records {
		if now.After(record.Expires) {
			delete(r.records, id)
		}
	}
	r.recorded.expire(now)
}

// resend sends the records of streams that have been open for an interval, while their callers wait.
func (r *Registry) resend(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for o := range r.open {
		if now.Sub(o.sentAt) >= sweepInterval && now.Before(o.Deadline) {
			r.record(o, now)
		}
	}
}

// Records returns the number of records that this node keeps.
func (r *Registry) Records() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}
