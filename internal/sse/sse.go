// Package sse splits a stream of server-sent events into complete events without
// changing their bytes.
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

// Event is one complete event.
type Event struct {
	// Raw is the event's bytes, its blank line included. It is valid until the
	// next call of Next.
	Raw []byte
	// ID is the event's ID, or "" if it has none.
	ID string
	// Empty reports that there is nothing but the blank line: the stream has said nothing.
	Empty bool
}

// Reader reads events from a stream.
type Reader struct {
	br *bufio.Reader
	// raw holds the bytes of the current event.
	raw []byte
}

const (
	// bufferSize is the size of the read buffer, in bytes.
	bufferSize = 4 << 10
	// maxEvent bounds an event, in bytes. It is checked after each line, and within lines
	// longer than the read buffer.
	maxEvent = 1 << 20
)

// ErrTooLong reports an event over maxEvent.
var ErrTooLong = eris.Errorf("sse: an event is over %d bytes", maxEvent)

// ErrTruncated reports that the stream ended within an event.
var ErrTruncated = eris.New("sse: the stream ended within an event")

// NewReader returns a Reader of the stream r.
func NewReader(r io.Reader) *Reader { return &Reader{br: bufio.NewReaderSize(r, bufferSize)} }

var (
	idField = []byte("id:")
	space   = []byte(" ")
)

// Next returns the next event. At the end of the stream it returns io.EOF, or
// ErrTruncated within an event. It returns ErrTooLong for an event that does not end within
// maxEvent, and errors of the reader unchanged.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	ev := Event{}
	for {
		line, err := r.br.ReadSlice('\n')
		r.raw = append(r.raw, line...)
		switch {
		case len(r.raw) > maxEvent:
			return Event{}, ErrTooLong
		case err == bufio.ErrBufferFull:
			// A line longer than the buffer is read in parts. An ID is never in a line
			// that long. The last part is treated as a line of its own.
			continue
		case err == io.EOF && len(r.raw) > 0:
			return Event{}, ErrTruncated
		case err != nil:
			return Event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			ev.Raw, ev.Empty = r.raw, len(r.raw) <= len("\r\n")
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(line, idField); ok {
			ev.ID = string(bytes.TrimPrefix(id, space))
		}
	}
}

// Buffered reports whether bytes after the last event are already in the read buffer.
func (r *Reader) Buffered() bool { return r.br.Buffered() > 0 }
