package peer

import (
	"context"

	"topazmoor/internal/peer/peerpb"
	"topazmoor/internal/poison"
)

// Ends receives records of target processes that ended while they ran a request, from nodes
// that could not write them to the store. *poison.Guard implements it in production.
type Ends interface {
	ReceiveEnds(ends []poison.End)
}

// SendEnds sends records of target processes that ended while they ran a request to the node
// at addr.
func (c *Client) SendEnds(ctx context.Context, addr string, ends []poison.End) error {
	msg := &peerpb.Ends{}
	for _, e := range ends {
		msg.End = append(msg.End, &peerpb.Ends_End{Digest: e.Digest[:], Process: e.Process, Probe: e.Probe})
	}
	_, err := c.call(ctx, addr, &peerpb.Request{Call: &peerpb.Request_Ends{Ends: msg}})
	return err
}

// ends handles an Ends message from another node.
func (s *Server) ends(msg *peerpb.Ends) *peerpb.Response {
	var ends []poison.End
	for _, e := range msg.GetEnd() {
		ends = append(ends, poison.End{Digest: digestFrom(e.Digest), Process: e.Process, Probe: e.Probe})
	}
	if s.h.Ends != nil {
		s.h.Ends.ReceiveEnds(ends)
	}
	return &peerpb.Response{Result: &peerpb.Response_Done{Done: &peerpb.Empty{}}}
}

// digestFrom decodes a digest; an empty b gives the zero digest.
func digestFrom(b []byte) poison.Digest {
	var d poison.Digest
	copy(d[:], b)
	return d
}
