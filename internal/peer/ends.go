package peer

import (
	"context"

	"topazmoor/internal/peer/peerpb"
	"topazmoor/internal/poison"
)

// Ends takes in ends of targets under requests that another node could not write to the
// store; *poison.Guard in production.
type Ends interface {
	Hear(ends []poison.End)
}

// TellEnds tells another node of ends of targets under requests.
func (c *Client) TellEnds(ctx context.Context, addr string, ends []poison.End) error {
	msg := &peerpb.Ends{}
	for _, e := range ends {
		msg.End = append(msg.End, &peerpb.Ends_End{Digest: e.Digest[:], Process: e.Process, Probe: e.Probe})
	}
	_, err := c.call(ctx, addr, &peerpb.Request{Call: &peerpb.Request_Ends{Ends: msg}})
	return err
}

// ends takes in what another node tells.
func (s *Server) ends(msg *peerpb.Ends) *peerpb.Response {
	var ends []poison.End
	for _, e := range msg.GetEnd() {
		ends = append(ends, poison.End{Digest: digestFrom(e.Digest), Process: e.Process, Probe: e.Probe})
	}
	if s.h.Ends != nil {
		s.h.Ends.Hear(ends)
	}
	return &peerpb.Response{Result: &peerpb.Response_Done{Done: &peerpb.Empty{}}}
}

// digestFrom reads a digest; the zero one where there is none.
func digestFrom(b []byte) poison.Digest {
	var d poison.Digest
	copy(d[:], b)
	return d
}
