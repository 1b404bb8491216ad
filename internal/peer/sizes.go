package peer

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"topazmoor/internal/peer/peerpb"
	"topazmoor/internal/relay"
	"topazmoor/internal/sharedrate"
	"topazmoor/internal/stagebatch"
)

// frameHeaderBytes is the length that writeFrame adds to a message.
const frameHeaderBytes = 4

// StreamOverhead is what a call adds to its messages on the connection, in bytes in both directions
// together: the frames that open and close its stream, and the header of each message.
func StreamOverhead(messages int) int { return (4 + messages) * headerLen }

// OrderSizes returns the sizes of the messages of an order, in bytes: the request, one progress
// message, and the result.
func OrderSizes(o stagebatch.Order, w stagebatch.Waits, handles []string) (request, progress, result int) {
	request = requestSize(&peerpb.Request{Call: &peerpb.Request_Produce{Produce: orderTo(o, time.Now())}})
	progress = responseSize(&peerpb.Response{Result: &peerpb.Response_Accepted{Accepted: acceptedTo(w)}})
	result = responseSize(&peerpb.Response{Result: &peerpb.Response_Produced{Produced: &peerpb.Produced{Handle: handles}}})
	return request, progress, result
}

// FreeSizes returns the sizes of a request that releases results and of its answer, in bytes.
func FreeSizes(service string, handles []string) (request, answer int) {
	request = requestSize(&peerpb.Request{Call: &peerpb.Request_Free{Free: &peerpb.Results{Service: service, Handle: handles}}})
	return request, responseSize(&peerpb.Response{Result: &peerpb.Response_Done{Done: &peerpb.Empty{}}})
}

// PermitSizes returns the sizes of a request for permits and of its answer, in bytes.
func PermitSizes(a sharedrate.PermitRequest, g sharedrate.Grant) (request, answer int) {
	request = requestSize(&peerpb.Request{Call: &peerpb.Request_Permits{Permits: permitRequestTo(a)}})
	return request, responseSize(&peerpb.Response{Result: &peerpb.Response_Permits{Permits: permitGrantTo(g)}})
}

// UpdateSize returns the size of the messages that bring a follower an update, in bytes. It fails if a
// row cannot be encoded.
func UpdateSize(t relay.Message) (int, error) {
	splitter := &updateSplitter{packer: &packer{}}
	total := 0
	for {
		m, unfinished, err := splitter.next(t)
		if err != nil {
			return 0, err
		}
		total += responseSize(&peerpb.Response{Result: &peerpb.Response_Told{Told: m}})
		if !slices.Contains(unfinished, true) {
			return total, nil
		}
		for i := range t.Tables {
			t.Tables[i].News = nil
		}
	}
}

func requestSize(m *peerpb.Request) int   { return frameHeaderBytes + proto.Size(m) }
func responseSize(m *peerpb.Response) int { return frameHeaderBytes + proto.Size(m) }
