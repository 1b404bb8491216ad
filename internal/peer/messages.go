package peer

import (
	"google.golang.org/protobuf/proto"

	"topazmoor/internal/peer/peerpb"
	"topazmoor/internal/traffic"
)

// callOf returns the kind of call that a request begins, for the traffic counters.
func callOf(req *peerpb.Request) traffic.Call {
	switch req.Call.(type) {
	case *peerpb.Request_Produce:
		return traffic.Orders
	case *peerpb.Request_Free:
		return traffic.Frees
	case *peerpb.Request_Follow:
		return traffic.Updates
	case *peerpb.Request_Permits:
		return traffic.Permits
	case *peerpb.Request_Rollout:
		return traffic.Rollouts
	case *peerpb.Request_Ends:
		return traffic.Ends
	case *peerpb.Request_Connect:
		return traffic.Tunnels
	}
	return traffic.Other
}

// sendFrame sends an encoded message of the stream's call.
func (s *stream) sendFrame(frame []byte) error {
	n, err := s.Write(frame)
	s.count(traffic.Sent, n)
	return err
}

// send sends a message of the stream's call.
func (s *stream) send(m proto.Message) error {
	n, err := writeFrame(s, m)
	s.count(traffic.Sent, n)
	return err
}

// receive receives a message of the stream's call; in shows what has arrived of it meanwhile.
func (s *stream) receive(m proto.Message, in *incoming) error {
	n, err := in.read(s, m)
	s.count(traffic.Received, n)
	return err
}

// receiveRequest receives the request that begins the stream's call.
func (s *stream) receiveRequest(req *peerpb.Request) error {
	n, err := readFrame(s, req, maxFrame)
	s.call = callOf(req)
	s.count(traffic.Received, n)
	return err
}

// count counts a message. Nothing is counted for a message of which no byte was sent or that was
// not received to its end.
func (s *stream) count(d traffic.Direction, bytes int) {
	if bytes > 0 {
		s.conn.link.Message(s.call, d, bytes)
	}
}
