package resume

import (
	"context"
	"errors"
	"slices"
	"time"
)

// Answer returns what this node knows of a stream, to another node that asks. If this node may lack the record of a
// stream whose service has, or had lately, several versions, it reads the store first.
func (r *Registry) Answer(ctx context.Context, id, service string) Answer {
	a := r.answer(id, service)
	if a.Known || a.Service != "" && a.Followed >= recordedMemory {
		return a
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	if err := r.Checkpoints.load(ctx, partitionOf(id)); err != nil {
		r.Log.Info("records of streams not read for another node", "stream", id, "err", err)
		return a
	}
	a = r.answer(id, service)
	a.StoreRead = true
	return a
}

// answer returns what this node knows of a stream from its memory.
func (r *Registry) answer(id, service string) Answer {
	if record, ok := r.recordOf(id); ok {
		return Answer{Known: true, Origin: record.Origin}
	}
	versions, followed := r.knownVersions(service)
	switch len(versions) {
	case 0:
		return Answer{}
	case 1:
		return Answer{Followed: followed, Origin: Origin{service, versions[0]}}
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
	return record.Record, ok
}

// knownVersions returns the versions of a service that the list of targets or records have named lately, and for how
// long the node has followed the list.
func (r *Registry) knownVersions(service string) (versions []string, followed time.Duration) {
	listed, followed := r.Versions(service)
	r.mu.Lock()
	recorded := r.recorded.of(service, time.Now())
	r.mu.Unlock()
	return union(listed, recorded), followed
}

// Find returns where a stream began, or ErrUnknown or ErrUnconfirmed. A record decides, of this node, of another one, or in
// the store. This node's list of targets may be older than the version at which the stream began, so other nodes are asked
// also if the list has one version only.
func (r *Registry) Find(ctx context.Context, s Stream) (Origin, error) {
	own := r.answer(s.ID, s.Service)
	if own.Known {
		r.logFound(s, own.Origin, "own record", 0)
		return own.Origin, nil
	}
	answers, silent := r.ask(ctx, s)
	for _, a := range answers {
		if a.Known {
			r.logFound(s, a.Origin, "record of another node", len(answers))
			return a.Origin, nil
		}
	}
	if origin, ok := onlyOrigin(append(answers, own)); ok {
		err := r.confirmOnly(ctx, s, origin, own, answers)
		if err == nil {
			r.logFound(s, origin, "only version", len(answers))
		}
		if !errors.Is(err, ErrUnknown) {
			return origin, err
		}
	}
	return r.findStored(ctx, s, answers, silent)
}

// findStored returns where a stream began by the store's records, for a stream of which no node has a record. ErrUnknown
// takes the word of all: the store, and each node that may have the record.
func (r *Registry) findStored(ctx context.Context, s Stream, answers []Answer, silent int) (Origin, error) {
	if !slices.ContainsFunc(answers, func(a Answer) bool { return a.StoreRead }) {
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		if err := r.Checkpoints.load(ctx, s.partition()); err != nil {
			r.Log.Info("records of streams not read", "stream", s.ID, "service", s.Service, "err", err)
			return Origin{}, ErrUnconfirmed
		}
	}
	if record, ok := r.recordOf(s.ID); ok {
		r.logFound(s, record.Origin, "record in the store", len(answers))
		return record.Origin, nil
	}
	if silent > 0 {
		return Origin{}, ErrUnconfirmed
	}
	return Origin{}, ErrUnknown
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

// confirmOnly returns nil if a stream cannot have begun at another version than the only one that this node and those
// that answered know of. Two things must be known: that no other version has come, from the store or another node, and
// that none has left since the stream began, from a node that has followed the list of targets for so long, or from the
// store. What does not answer says nothing.
func (r *Registry) confirmOnly(ctx context.Context, s Stream, only Origin, own Answer, answers []Answer) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	history := r.readHistory(ctx, only.Service)
	current := r.Confirm(ctx, only.Service, only.Version)
	if errors.Is(current, ErrOtherVersion) {
		return ErrUnknown
	}
	remembered := slices.ContainsFunc(append(answers, own), func(a Answer) bool { return a.Followed >= s.MaxAge })
	othersKnow := len(answers) > 0 || len(r.Nodes()) == 0
	if remembered && (current == nil || othersKnow) {
		return nil
	}
	past := <-history
	if past.several {
		return ErrUnknown
	}
	if current == nil && past.err == nil {
		return nil
	}
	r.Log.Info("only version of a service not confirmed", "service", only.Service, "version", only.Version, "answers", len(answers), "current", current, "history", past.err)
	return ErrUnconfirmed
}

// pastVersions is what the store says of the versions that a service has had lately.
type pastVersions struct {
	several bool
	err     error
}

// readHistory reads whether a service has had several versions lately: the nodes that are asked may all have started
// lately.
func (r *Registry) readHistory(ctx context.Context, service string) <-chan pastVersions {
	out := make(chan pastVersions, 1)
	go func() {
		several, err := r.History.HadSeveral(ctx, service)
		out <- pastVersions{several, err}
	}()
	return out
}

// ask asks the nodes that may have the record of a stream, until one has it. It returns the answers of those
// that could be reached, and how many could not.
func (r *Registry) ask(ctx context.Context, s Stream) (out []Answer, silent int) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	nodes := r.replicasOf(s)
	answers := make(chan *Answer, len(nodes))
	for _, n := range nodes {
		go func() { answers <- r.askNode(ctx, n, s) }()
	}
	for range nodes {
		a := <-answers
		if a == nil {
			silent++
			continue
		}
		out = append(out, *a)
		if a.Known {
			break
		}
	}
	return out, silent
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
