package peer

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"topazmoor/internal/peer/peerpb"
	"topazmoor/internal/rollout"
	"topazmoor/internal/store"
	"topazmoor/internal/verdict"
)

// Rollouts decides on roll-outs of versions. *rollout.Owner implements it in production.
type Rollouts interface {
	Report(ctx context.Context, r rollout.Report) (rollout.Answer, error)
}

// ReportRollout sends this node's report on a roll-out to the node at addr, which decides on the
// roll-out, and returns the answer of that node.
func (c *Client) ReportRollout(ctx context.Context, addr string, r rollout.Report) (rollout.Answer, error) {
	resp, err := c.call(ctx, addr, &peerpb.Request{Call: &peerpb.Request_Rollout{Rollout: reportTo(r)}})
	if err != nil {
		return rollout.Answer{}, err
	}
	return answerFrom(resp.GetRollout()), nil
}

// rollout handles a report on a roll-out from another node.
func (s *Server) rollout(ctx context.Context, m *peerpb.RolloutReport) (*peerpb.Response, error) {
	if s.h.Rollouts == nil {
		return nil, verdict.New(verdict.NotRun, verdict.Internal, "this node decides on no roll-outs")
	}
	a, err := s.h.Rollouts.Report(ctx, reportFrom(m))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.NotReady, "nothing is decided of the roll-out yet")
	}
	return &peerpb.Response{Result: &peerpb.Response_Rollout{Rollout: answerTo(a)}}, nil
}

// ReportSize returns the size of the encoded request that carries a report, in bytes, without the
// framing.
func ReportSize(r rollout.Report) int {
	return proto.Size(&peerpb.Request{Call: &peerpb.Request_Rollout{Rollout: reportTo(r)}})
}

func reportTo(r rollout.Report) *peerpb.RolloutReport {
	m := &peerpb.RolloutReport{
		Node: r.Node, Service: r.Order.Service, To: r.Order.To, Era: r.Order.Revision.Era, Version: r.Order.Revision.Number,
		LastsMs: r.Order.Lasts.Milliseconds(), Sent: r.Evidence.Sent, SentNew: r.Evidence.SentNew, OldInFlight: uint32(r.OldInFlight),
		Has: answerTo(r.Has), HoldMs: r.Hold.Milliseconds(), Handover: r.KnowsLongFrom,
	}
	for source, t := range r.Evidence.Tallies {
		m.Tally = append(m.Tally, &peerpb.RolloutTally{
			Route: source.Route, New: source.New, Target: source.Target, Bad: t.Bad, Took: trimTrailingZeros(t.Took[:]), Left: trimTrailingZeros(t.Left[:]), Gaps: trimTrailingZeros(t.Gaps[:]),
		})
	}
	return m
}

func reportFrom(m *peerpb.RolloutReport) rollout.Report {
	r := rollout.Report{
		Node:        m.Node,
		Order:       rollout.Order{Service: m.Service, To: m.To, Revision: store.Version{Era: m.Era, Number: m.Version}, Lasts: time.Duration(m.LastsMs) * time.Millisecond},
		Evidence:    rollout.Evidence{Tallies: make(map[rollout.Source]rollout.Tally, len(m.Tally)), Sent: m.Sent, SentNew: m.SentNew},
		OldInFlight: int(m.OldInFlight), Has: answerFrom(m.Has), Hold: time.Duration(m.HoldMs) * time.Millisecond,
		KnowsLongFrom: m.Handover,
	}
	for _, t := range m.Tally {
		tally := rollout.Tally{Bad: t.Bad}
		copy(tally.Took[:], t.Took)
		copy(tally.Left[:], t.Left)
		copy(tally.Gaps[:], t.Gaps)
		r.Evidence.Tallies[rollout.Source{Route: t.Route, New: t.New, Target: t.Target}] = tally
	}
	return r
}

// trimTrailingZeros returns counts without the zeros at the end.
func trimTrailingZeros(counts []uint32) []uint32 {
	n := len(counts)
	for n > 0 && counts[n-1] == 0 {
		n--
	}
	return counts[:n:n]
}

func answerTo(a rollout.Answer) *peerpb.RolloutAnswer {
	return &peerpb.RolloutAnswer{State: string(a.State), Share: a.Share, LongFromMs: a.LongFrom.Milliseconds(), Handover: a.OldStops, Moving: a.Moving}
}

func answerFrom(m *peerpb.RolloutAnswer) rollout.Answer {
	return rollout.Answer{
		State: rollout.State(m.GetState()), Share: m.GetShare(), LongFrom: time.Duration(m.GetLongFromMs()) * time.Millisecond, OldStops: m.GetHandover(),
		Moving: m.GetMoving(),
	}
}
