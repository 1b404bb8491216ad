package peer

import (
	"context"
	"time"

	"topazmoor/internal/peer/peerpb"
	"topazmoor/internal/sharedrate"
	"topazmoor/internal/verdict"
)

// Permits grants permits of rate limits that nodes share. *sharedrate.Limiter implements it in
// production.
type Permits interface {
	Grant(a sharedrate.PermitRequest) sharedrate.Grant
}

// AskPermits requests permits of a rate limit from the node at addr.
func (c *Client) AskPermits(ctx context.Context, addr string, a sharedrate.PermitRequest) (sharedrate.Grant, error) {
	resp, err := c.call(ctx, addr, &peerpb.Request{Call: &peerpb.Request_Permits{Permits: permitRequestTo(a)}})
	if err != nil {
		return sharedrate.Grant{}, err
	}
	g := resp.GetPermits()
	return sharedrate.Grant{
		Permits: int(g.GetPermits()), FirstIn: micros(g.GetInUs()), Spacing: micros(g.GetSpacingUs()), RetryAfter: micros(g.GetOpensUs()),
		Ended: g.GetEnded(), EndedAge: micros(g.GetHeardUs()),
	}, nil
}

// permits handles a permit request from another node.
func (s *Server) permits(m *peerpb.PermitAsk) (*peerpb.Response, error) {
	if s.h.Permits == nil {
		return nil, verdict.New(verdict.NotRun, verdict.Internal, "this node grants no permits")
	}
	g := s.h.Permits.Grant(sharedrate.PermitRequest{
		Key: m.GetKey(), Asker: m.GetAsker(), PerSecond: m.GetPerSecond(), ConfirmedAge: micros(m.GetHeardUs()), Ended: m.GetEnded(),
		Want: int(m.GetWant()), Within: micros(m.GetWithinUs()),
	})
	return &peerpb.Response{Result: &peerpb.Response_Permits{Permits: permitGrantTo(g)}}, nil
}

func permitRequestTo(a sharedrate.PermitRequest) *peerpb.PermitAsk {
	return &peerpb.PermitAsk{
		Key: a.Key, Asker: a.Asker, PerSecond: a.PerSecond, HeardUs: a.ConfirmedAge.Microseconds(), Ended: a.Ended,
		Want: uint32(a.Want), WithinUs: a.Within.Microseconds(),
	}
}

func permitGrantTo(g sharedrate.Grant) *peerpb.PermitGrant {
	return &peerpb.PermitGrant{
		Permits: uint32(g.Permits), InUs: g.FirstIn.Microseconds(), SpacingUs: g.Spacing.Microseconds(), OpensUs: g.RetryAfter.Microseconds(),
		Ended: g.Ended, HeardUs: g.EndedAge.Microseconds(),
	}
}

// micros returns a duration of n microseconds.
func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
