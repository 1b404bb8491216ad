package resume

import (
	"cmp"
	"context"
	"encoding/binary"
	"errors"
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
	// confirmTimeout bounds the calls of the store for a stream without a record.
	confirmTimeout = 250 * time.Millisecond
	// flushInterval is the time for which records are collected before they are sent.
	flushInterval = 10 * time.Millisecond
	// retention is how long a record is kept after the deadline of its stream: a caller may come back
	// until then.
	retention = 10 * time.Second
	// sweepInterval is the interval at which expired records are removed, and records of open streams are sent
	// again: a node that has restarted since has lost them.
	sweepInterval = 5 * time.Second
)

// Versions returns the software versions that the targets of a service have had lately, and whether the
// node has seen the list of targets for long enough to know all that open streams may have begun at.
type Versions func(service string) (versions []string, complete bool)

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
	// History says what the nodes knew that were lost together.
	History *History
	Remote  Remote
	Log     *slog.Logger

	mu      sync.Mutex
	records map[string]Record
	// recorded are the versions that records named lately.
	recorded recordedVersions
	// open are the streams that this node serves.
	open map[*openStream]struct{}
	// unsent are the records to send, by the address of the node.
	unsent map[string][]Record
	wake   chan struct{}
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
	return &Registry{records: make(map[string]Record), recorded: make(recordedVersions), open: make(map[*openStream]struct{}), unsent: make(map[string][]Record), wake: make(chan struct{}, 1)}
}

// Begin records that a stream began at a version, also if the service has no other one: this node may be lost before
// another one comes. end is called when this node no longer serves the stream.
func (r *Registry) Begin(s Stream, version string) (end func()) {
	o := &openStream{Stream: s, version: version}
	if s.ID == "" {
		return func() {}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[o] = struct{}{}
	r.record(o, time.Now())
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.open, o)
	}
}

// record keeps the record of a stream, and queues it for other nodes. The lock is held.
func (r *Registry) record(o *openStream, now time.Time) {
	o.sentAt = now
	record := Record{ID: o.ID, Origin: Origin{o.Service, o.version}, Expires: o.Deadline.Add(retention)}
	r.records[o.ID] = record
	r.recorded.add(record.Origin, now)
	nodes := r.replicasOf(o.Stream)
	for _, n := range nodes[:min(replicasWritten, len(nodes))] {
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

// holders returns the nodes that may hold the record of a stream, in an order that is the same at all nodes.
// They are in more than one data centre if the fleet is.
func (r *Registry) holders(s Stream) []Node {
	partition := xxhash.Sum64String(s.ID) % partitions
	key := xxhash.Sum64(binary.BigEndian.AppendUint64(nil, partition))
	var nodes []Node
	for _, node := range append(slices.Clone(r.Nodes()), r.Self) {
		if r.Regions.Allows(s.Regions, node.DataCentre) {
			nodes = append(nodes, node)
		}
	}
	rank := func(n Node) uint64 { return routing.Mix(key, xxhash.Sum64String(n.Name)) }
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(rank(b), rank(a)) })
	for i, node := range nodes {
		if node.DataCentre != nodes[0].DataCentre {
			nodes = slices.Insert(slices.Delete(nodes, i, i+1), 1, node)
			break
		}
	}
	return nodes[:min(replicas, len(nodes))]
}

// Keep keeps records of streams that other nodes serve.
func (r *Registry) Keep(records []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, record := range records {
		r.records[record.ID] = record
		r.recorded.add(record.Origin, now)
	}
}

// Answer returns what this node knows of a stream.
func (r *Registry) Answer(id, service string) Answer {
	if record, ok := r.recordOf(id); ok {
		return Answer{Known: true, Origin: record.Origin}
	}
	versions, complete := r.knownVersions(service)
	switch len(versions) {
	case 0:
		return Answer{}
	case 1:
		return Answer{Sole: complete, Origin: Origin{service, versions[0]}}
	}
	return Answer{Several: true}
}

// recordOf returns the record of a stream, if this node has it.
func (r *Registry) recordOf(id string) (Record, bool) {
	if id == "" {
		return Record{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	record, ok := r.records[id]
	return record, ok
}

// knownVersions returns the versions of a service that the list of targets or records have named lately, and whether
// the node knows all that open streams may have begun at.
func (r *Registry) knownVersions(service string) (versions []string, complete bool) {
	listed, complete := r.Versions(service)
	r.mu.Lock()
	recorded := r.recorded.of(service, time.Now())
	r.mu.Unlock()
	return union(listed, recorded), complete
}

// Find returns where a stream began, or ErrUnknown. A record decides; this node's list of targets may be older than
// the version at which the stream began, so other nodes are asked also if the list has one version only.
func (r *Registry) Find(ctx context.Context, s Stream) (Origin, error) {
	own := r.Answer(s.ID, s.Service)
	if own.Known {
		r.logFound(s, own.Origin, "own record", 0)
		return own.Origin, nil
	}
	answers := r.ask(ctx, s)
	for _, a := range answers {
		if a.Known {
			r.logFound(s, a.Origin, "record of another node", len(answers))
			return a.Origin, nil
		}
	}
	origin, ok := onlyOrigin(append(answers, own))
	if !ok {
		return Origin{}, ErrUnknown
	}
	origin, err := r.onlyVersion(ctx, origin, own, answers)
	if err == nil {
		r.logFound(s, origin, "only version", len(answers))
	}
	return origin, err
}

// logFound logs by what the version of a stream was found, and how many nodes answered.
func (r *Registry) logFound(s Stream, o Origin, by string, answers int) {
	r.Log.Info("version of a stream found", "stream", s.ID, "service", o.Service, "version", o.Version, "by", by, "answers", answers)
}

// onlyOrigin returns the only version that any of the answers knows of, and false if there are several or none.
func onlyOrigin(answers []Answer) (only Origin, ok bool) {
	for _, a := range answers {
		switch {
		case a.Several, ok && a.Service != "" && a.Origin != only:
			return Origin{}, false
		case a.Service != "":
			only, ok = a.Origin, true
		}
	}
	return only, ok
}

// onlyVersion returns the only version that this node and those that answered know of, if the stream cannot have
// begun at another one. If neither the store nor another node answers, a newer version may have come since.
func (r *Registry) onlyVersion(ctx context.Context, origin Origin, own Answer, answers []Answer) (Origin, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	err := r.Confirm(ctx, origin.Service, origin.Version)
	if err != nil {
		r.Log.Info("only version of a service not confirmed", "service", origin.Service, "version", origin.Version, "answers", len(answers), "err", err)
	}
	if errors.Is(err, ErrOtherVersion) || err != nil && len(answers) == 0 && len(r.Nodes()) > 0 {
		return Origin{}, ErrUnknown
	}
	sole := own.Sole || slices.ContainsFunc(answers, func(a Answer) bool { return a.Sole })
	if !sole && r.hadSeveral(ctx, origin.Service) {
		return Origin{}, ErrUnknown
	}
	return origin, nil
}

// hadSeveral reports whether the store says that a service has had several versions: the nodes that were asked may
// all have started lately.
func (r *Registry) hadSeveral(ctx context.Context, service string) bool {
	several, err := r.History.HadSeveral(ctx, service)
	if err != nil {
		r.Log.Info("earlier versions of a service not read", "service", service, "err", err)
	}
	return several
}

// ask asks the nodes that may have the record of a stream, until one has it. It returns the answers of those
// that could be reached.
func (r *Registry) ask(ctx context.Context, s Stream) []Answer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	nodes := r.replicasOf(s)
	answers := make(chan *Answer, len(nodes))
	for _, n := range nodes {
		go func() { answers <- r.askNode(ctx, n, s) }()
	}
	var out []Answer
	for range nodes {
		a := <-answers
		if a == nil {
			continue
		}
		out = append(out, *a)
		if a.Known {
			break
		}
	}
	return out
}

// askNode asks a node for the record of a stream. It returns nil if the node does not answer.
func (r *Registry) askNode(ctx context.Context, n Node, s Stream) *Answer {
	a, err := r.Remote.FindStream(ctx, n.Addr, s.ID, s.Service)
	if err == nil {
		return &a
	}
	if ctx.Err() == nil {
		r.Log.Info("node not asked for the version of a stream", "peer", n.Name, "err", err)
	}
	return nil
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
