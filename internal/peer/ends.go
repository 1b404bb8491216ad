package peer

import (
	"context"

	"topazmoor/internal/attribution"
	"topazmoor/internal/peer/peerpb"
	"topazmoor/internal/poison"
)

// Ends receives records of target processes that ended while they ran a request, from nodes
// that could not write them to the store. *poison.Guard implements it in production.
type Ends interface {
	ReceiveEnds(ends poison.Ends)
}

// SendEnds sends records of target processes that ended while they ran a request to the node
// at addr.
func (c *Client) SendEnds(ctx context.Context, addr string, ends poison.Ends) error {
	msg := &peerpb.Ends{}
	for _, e := range ends.Requests {
		msg.End = append(msg.End, &peerpb.Ends_End{Digest: e.Digest[:], Process: e.Process, Probe: e.Probe})
	}
	for _, r := range ends.Reports {
		msg.Report = append(msg.Report, reportToPB(r))
	}
	_, err := c.call(ctx, addr, &peerpb.Request{Call: &peerpb.Request_Ends{Ends: msg}})
	return err
}

// ends handles an Ends message from another node.
func (s *Server) ends(msg *peerpb.Ends) *peerpb.Response {
	var ends poison.Ends
	for _, e := range msg.GetEnd() {
		ends.Requests = append(ends.Requests, poison.End{Digest: digestFrom(e.Digest), Process: e.Process, Probe: e.Probe})
	}
	for _, r := range msg.GetReport() {
		ends.Reports = append(ends.Reports, reportFromPB(r))
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

// reportToPB encodes a report on a process that ended.
func reportToPB(r attribution.Report) *peerpb.Ends_Report {
	m := &peerpb.Ends_Report{Process: r.Process, Node: r.Node}
	for _, run := range r.Runs {
		out := &peerpb.Ends_Run{Begun: run.Begun}
		for _, p := range run.Parts {
			out.Part = append(out.Part, uint64(p))
		}
		m.Run = append(m.Run, out)
	}
	return m
}

// reportFromPB decodes a report on a process that ended.
func reportFromPB(m *peerpb.Ends_Report) attribution.Report {
	r := attribution.Report{Process: m.GetProcess(), Node: m.GetNode()}
	for _, run := range m.GetRun() {
		in := attribution.Run{Begun: run.GetBegun()}
		for _, p := range run.GetPart() {
			in.Parts = append(in.Parts, attribution.Part(p))
		}
		r.Runs = append(r.Runs, in)
	}
	return r
}
