package peer

import (
	"context"
	"time"

	"topazmoor/internal/peer/peerpb"
	"topazmoor/internal/resume"
	"topazmoor/internal/verdict"
)

// Streams keeps records of streams for other nodes; *resume.Registry implements it in production.
type Streams interface {
	Keep(records []resume.Record)
	Answer(ctx context.Context, id, service string) resume.Answer
}

// SendStreams implements resume.Remote.
func (c *Client) SendStreams(ctx context.Context, addr string, records []resume.Record) error {
	msg := &peerpb.Streams{}
	for _, r := range records {
		msg.Stream = append(msg.Stream, &peerpb.Streams_Stream{Id: r.ID, Service: r.Service, Version: r.Version, TtlMs: time.Until(r.Expires).Milliseconds(), Complete: r.Complete})
	}
	_, err := c.call(ctx, addr, &peerpb.Request{Call: &peerpb.Request_Streams{Streams: msg}})
	return err
}

// FindStream implements resume.Remote.
func (c *Client) FindStream(ctx context.Context, addr, id, service string) (resume.Answer, error) {
	resp, err := c.call(ctx, addr, &peerpb.Request{Call: &peerpb.Request_FindStream{FindStream: &peerpb.FindStream{Id: id, Service: service}}})
	if err != nil {
		return resume.Answer{}, err
	}
	m := resp.GetStreamKnown()
	origin := resume.Origin{Service: m.GetService(), Version: m.GetVersion()}
	return resume.Answer{Known: m.GetKnown(), Origin: origin, Followed: time.Duration(m.GetFollowedMs()) * time.Millisecond, Several: m.GetSeveral(), StoreRead: m.GetStoreRead()}, nil
}

// streams handles records of streams from another node.
func (s *Server) streams(m *peerpb.Streams) (*peerpb.Response, error) {
	if s.h.Streams == nil {
		return nil, verdict.New(verdict.NotRun, verdict.Internal, "this node keeps no streams")
	}
	var records []resume.Record
	now := time.Now()
	for _, r := range m.GetStream() {
		records = append(records, resume.Record{ID: r.Id, Origin: resume.Origin{Service: r.Service, Version: r.Version}, Expires: now.Add(time.Duration(r.TtlMs) * time.Millisecond), Complete: r.Complete})
	}
	s.h.Streams.Keep(records)
	return &peerpb.Response{Result: &peerpb.Response_Done{Done: &peerpb.Empty{}}}, nil
}

// findStream handles a question for the version of a stream.
func (s *Server) findStream(ctx context.Context, m *peerpb.FindStream) (*peerpb.Response, error) {
	if s.h.Streams == nil {
		return nil, verdict.New(verdict.NotRun, verdict.Internal, "this node keeps no streams")
	}
	a := s.h.Streams.Answer(ctx, m.GetId(), m.GetService())
	known := &peerpb.StreamKnown{Known: a.Known, Service: a.Service, Version: a.Version, FollowedMs: a.Followed.Milliseconds(), Several: a.Several, StoreRead: a.StoreRead}
	return &peerpb.Response{Result: &peerpb.Response_StreamKnown{StreamKnown: known}}, nil
}
