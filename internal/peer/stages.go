package peer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/peer/peerpb"
	"topazmoor/internal/region"
	"topazmoor/internal/stagebatch"
	"topazmoor/internal/store"
	"topazmoor/internal/verdict"
)

// Stages handles the orders of other nodes for stage results.
type Stages interface {
	// Produce runs an order. It calls accepted when the order was accepted.
	Produce(ctx context.Context, o stagebatch.Order, accepted func(stagebatch.Waits)) (stagebatch.Result, error)
	// Waits returns the estimated waits of a service's pool for orders that are limited to some regions.
	Waits(service string, in region.Set) stagebatch.Waits
	// Free releases results.
	Free(service string, handles []string)
	// FreeIfNearlyFull releases results that were read, where free memory is low.
	FreeIfNearlyFull(service string, handles []string)
}

// Versions exchanges the configuration versions in force between nodes. They are sent
// along with orders and their answers, so they need no messages of their own.
type Versions interface {
	// Current returns the version in force at this node.
	Current() store.Version
	// Observe receives the version in force at another node.
	Observe(v store.Version)
}

// noVersions is the Versions of nodes that don't exchange configuration versions.
type noVersions struct{}

func (noVersions) Current() store.Version { return store.Version{} }
func (noVersions) Observe(store.Version)  {}

// orderErrors lists the errors of orders by their numbers on the wire; 0 is success.
var orderErrors = []error{nil, stagebatch.ErrLate, stagebatch.ErrInputGone, stagebatch.ErrFailed, stagebatch.ErrNoTarget, stagebatch.ErrCrashed}

// defaultFailure is the number sent for an error that orderErrors does not list: that of
// ErrNoTarget.
const defaultFailure = 4

// failureNumber returns the number of an order's error on the wire.
func failureNumber(err error) uint32 {
	for i, e := range orderErrors {
		if e == err {
			return uint32(i)
		}
	}
	return defaultFailure
}

// failureOf returns the error for a number on the wire; ErrFailed if it is unknown.
func failureOf(n uint32) error {
	if int(n) < len(orderErrors) {
		return orderErrors[n]
	}
	return stagebatch.ErrFailed
}

// spillTo returns the region that is to run an order instead, as the order's error says; "" for none.
func spillTo(err error) string {
	var spilled *stagebatch.SpillError
	if errors.As(err, &spilled) {
		return spilled.Region
	}
	return ""
}

func regionsFrom(m *peerpb.Order) region.Set {
	if !m.Limited {
		return region.Set{}
	}
	return region.Only(m.Region...)
}

func orderTo(o stagebatch.Order, now time.Time) *peerpb.Order {
	return &peerpb.Order{
		Service: o.Service, Request: o.Request, Stage: uint32(o.Stage), Pieces: uint32(o.Pieces),
		Key: o.Key, Input: o.Inputs, Priority: int32(o.Priority), ResultBytes: o.ResultBytes, DataCentre: o.DataCentre,
		SpillTo: o.SpillTo, Spilled: o.Spilled, InputBytes: o.InputBytes,
		Digest: o.Digest[:], Probe: o.Probe, Region: o.Regions.Names(), Limited: !o.Regions.All(),
		DueInMs: o.Due.Sub(now).Milliseconds(), DeadlineInMs: o.Deadline.Sub(now).Milliseconds(),
	}
}

func orderFrom(m *peerpb.Order, now time.Time) stagebatch.Order {
	return stagebatch.Order{
		Digest: digestFrom(m.Digest), Probe: m.Probe, Regions: regionsFrom(m),
		Service: m.Service, Request: m.Request, Stage: int(m.Stage), Pieces: int(m.Pieces),
		Key: m.Key, Inputs: m.Input, Priority: int(m.Priority), ResultBytes: m.ResultBytes, DataCentre: m.DataCentre,
		SpillTo: m.SpillTo, Spilled: m.Spilled, InputBytes: m.InputBytes,
		Due:      now.Add(time.Duration(m.DueInMs) * time.Millisecond),
		Deadline: now.Add(time.Duration(m.DeadlineInMs) * time.Millisecond),
	}
}

// acceptedTo encodes the estimated waits of a pool.
func acceptedTo(w stagebatch.Waits) *peerpb.Accepted {
	a := &peerpb.Accepted{LateBegunMs: w.LateBegun.Milliseconds(), LateNewMs: w.LateNew.Milliseconds(), SpilledMs: w.Spilled.Milliseconds()}
	for _, d := range w.OnTime {
		a.WaitMs = append(a.WaitMs, d.Milliseconds())
	}
	return a
}

func waitsFrom(a *peerpb.Accepted) stagebatch.Waits {
	w := stagebatch.Waits{
		LateBegun: time.Duration(a.LateBegunMs) * time.Millisecond,
		LateNew:   time.Duration(a.LateNewMs) * time.Millisecond,
		Spilled:   time.Duration(a.SpilledMs) * time.Millisecond,
	}
	for _, n := range a.WaitMs {
		w.OnTime = append(w.OnTime, time.Duration(n)*time.Millisecond)
	}
	// Nodes of earlier versions do not report the wait of orders from other regions; it is at least that
	// of the least urgent orders.
	w.Spilled = max(w.Spilled, w.ForRank(len(w.OnTime)))
	return w
}

// Produce implements stagebatch.Remote.
func (c *Client) Produce(ctx context.Context, addr string, o stagebatch.Order, accepted func(stagebatch.Waits)) (stagebatch.Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	msg := orderTo(o, time.Now())
	current := c.versions.Current()
	msg.ConfigEra, msg.ConfigVersion = current.Era, current.Number
	x, err := c.request(ctx, addr, &peerpb.Request{Call: &peerpb.Request_Produce{Produce: msg}})
	if err != nil {
		return stagebatch.Result{}, err
	}
	defer func() {
		if errors.Is(context.Cause(ctx), stagebatch.ErrNoMessage) {
			x.retire()
		}
	}()
	resp, err := c.awaitProduced(x, accepted, sync.OnceFunc(func() {
		if o.InputsRead != nil {
			o.InputsRead()
		}
	}))
	if err != nil {
		return stagebatch.Result{}, err
	}
	p := resp.GetProduced()
	if name := p.GetSpillTo(); slices.Contains(o.SpillTo, name) {
		return stagebatch.Result{}, &stagebatch.SpillError{Region: name}
	}
	if err := failureOf(p.GetFailure()); err != nil {
		return stagebatch.Result{}, err
	}
	if len(p.GetHandle()) != o.Pieces {
		return stagebatch.Result{}, eris.New("answer from peer has the wrong number of results")
	}
	return stagebatch.Result{Handles: p.Handle}, nil
}

// awaitProduced receives the answers to an order and returns the last one. It
// reports the others to accepted, c.versions and inputsRead.
func (c *Client) awaitProduced(x *pendingCall, accepted func(stagebatch.Waits), inputsRead func()) (*peerpb.Response, error) {
	for {
		resp, err := x.next()
		if err != nil {
			return nil, err
		}
		a := resp.GetAccepted()
		if a == nil {
			return resp, nil
		}
		accepted(waitsFrom(a))
		c.versions.Observe(store.Version{Era: a.ConfigEra, Number: a.ConfigVersion})
		if a.InputsRead {
			inputsRead()
		}
	}
}

// Waits implements stagebatch.WaitsExchange.
func (c *Client) Waits(ctx context.Context, addr, service string, in region.Set) (stagebatch.Waits, error) {
	ask := &peerpb.WaitsAsk{Service: service, Region: in.Sole()}
	resp, err := c.call(ctx, addr, &peerpb.Request{Call: &peerpb.Request_Waits{Waits: ask}})
	if err != nil {
		return stagebatch.Waits{}, err
	}
	return waitsFrom(resp.GetAccepted()), nil
}

// waits handles a request for the waits of a pool.
func (s *Server) waits(m *peerpb.WaitsAsk) (*peerpb.Response, error) {
	if s.h.Stages == nil {
		return nil, verdict.New(verdict.NotRun, verdict.Internal, "this node forms no batches")
	}
	a := acceptedTo(s.h.Stages.Waits(m.Service, region.Only(m.Region)))
	return &peerpb.Response{Result: &peerpb.Response_Accepted{Accepted: a}}, nil
}

// Free implements stagebatch.Remote.
func (c *Client) Free(ctx context.Context, addr, service string, handles []string, ifTight bool) error {
	free := &peerpb.Results{Service: service, Handle: handles, IfTight: ifTight}
	_, err := c.call(ctx, addr, &peerpb.Request{Call: &peerpb.Request_Free{Free: free}})
	return err
}

// orderHeartbeat is the interval at which a node sends progress messages for an
// order, so that the asking node does not take a node with a slow pool for a dead
// one. See stagebatch.silenceTimeout.
const orderHeartbeat = 250 * time.Millisecond

// produced is the result or the error of an order.
type produced struct {
	res stagebatch.Result
	err error
}

// produce handles an order. It sends a message when the order is accepted, one
// per orderHeartbeat, and then the results. The order is cancelled when the peer
// closes its stream.
func (s *Server) produce(ctx context.Context, st *stream, m *peerpb.Order) (*peerpb.Response, error) {
	if s.h.Stages == nil {
		return nil, verdict.New(verdict.NotRun, verdict.Internal, "this node forms no batches")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// The peer sends nothing more, so the read returns when it closes the
		// stream.
		var b [1]byte
		_, _ = st.Read(b[:])
		cancel()
	}()
	accepted := make(chan struct{}, 1)
	read := make(chan struct{}, 1)
	done := make(chan produced, 1)
	go func() {
		o := orderFrom(m, time.Now())
		o.InputsRead = func() { read <- struct{}{} }
		res, err := s.h.Stages.Produce(ctx, o, func(stagebatch.Waits) { accepted <- struct{}{} })
		done <- produced{res, err}
	}()
	s.h.Versions.Observe(store.Version{Era: m.ConfigEra, Number: m.ConfigVersion})
	state := func() *peerpb.Accepted {
		a := acceptedTo(s.h.Stages.Waits(m.Service, regionsFrom(m)))
		current := s.h.Versions.Current()
		a.ConfigEra, a.ConfigVersion = current.Era, current.Number
		return a
	}
	p := awaitOrder(ctx, st, state, accepted, read, done)
	if p.err != nil && ctx.Err() != nil {
		return nil, verdict.Wrap(p.err, verdict.NotRun, verdict.Canceled, "the order was withdrawn")
	}
	out := &peerpb.Produced{Handle: p.res.Handles, Failure: failureNumber(p.err), SpillTo: spillTo(p.err)}
	return &peerpb.Response{Result: &peerpb.Response_Produced{Produced: out}}, nil
}

// awaitOrder sends progress messages to the peer until the order ends. If a write
// fails, the peer is gone, and the reader of its stream cancels the order.
func awaitOrder(ctx context.Context, st *stream, state func() *peerpb.Accepted, accepted, read <-chan struct{}, done <-chan produced) produced {
	tick := time.NewTicker(orderHeartbeat)
	defer tick.Stop()
	inputsRead := false
	for {
		select {
		case p := <-done:
			return p
		case <-accepted:
		case <-tick.C:
		case <-read:
			inputsRead = true
		}
		msg := state()
		msg.InputsRead = inputsRead
		progress := &peerpb.Response{Result: &peerpb.Response_Accepted{Accepted: msg}}
		if st.send(progress) != nil && ctx.Err() == nil {
			return <-done
		}
	}
}
