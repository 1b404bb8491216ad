// Package sse splits a stream of server-sent events into complete events without
// changing their bytes.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"slices"

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
	// room reserves bytes for events.
	room func(bytes int64) bool
}

const (
	// bufferSize is the size of the read buffer, in bytes.
	bufferSize = 4 << 10
	// maxEvent bounds an event, in bytes. It is checked after each line, and within lines
	// longer than the read buffer.
	maxEvent = 1 << 20
	// freeEvent is the size up to which an event needs no reserved room, in bytes.
	freeEvent = 16 << 10
)

// ErrTooLong reports an event over maxEvent.
var ErrTooLong = eris.Errorf("sse: an event is over %d bytes", maxEvent)

// ErrNoRoom reports an event over freeEvent for which there is no room.
var ErrNoRoom = eris.New("sse: there is no room for a large event")

// ErrTruncated reports that the stream ended within an event.
var ErrTruncated = eris.New("sse: the stream ended within an event")

// NewReader returns a Reader of the stream r. room is called to reserve bytes for events over freeEvent, and reports whether there is
// room for them; the Reader keeps them to its end.
func NewReader(r io.Reader, room func(bytes int64) bool) *Reader {
	return &Reader{br: bufio.NewReaderSize(r, bufferSize), room: room}
}

var (
	idField = []byte("id:")
	space   = []byte(" ")
)

// Next returns the next event. At the end of the stream it returns io.EOF, or
// ErrTruncated within an event. It returns ErrTooLong for an event that does not end within
// maxEvent, ErrNoRoom, and errors of the reader unchanged.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	ev := Event{}
	for {
		line, err := r.br.ReadSlice('\n')
		if !r.grow(len(line)) {
			return Event{}, ErrNoRoom
		}
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

// grow makes room for n more bytes of the current event, and reports whether there is any.
func (r *Reader) grow(n int) bool {
	size := len(r.raw) + n
	if size <= cap(r.raw) {
		return true
	}
	if size <= freeEvent {
		r.raw = slices.Grow(r.raw, n)
		return true
	}
	grown := max(2*cap(r.raw), size, 2*freeEvent)
	if !r.room(int64(grown - cap(r.raw))) {
		return false
	}
	r.raw = append(make([]byte, 0, grown), r.raw...)
	return true
}

// Buffered reports whether bytes after the last event are already in the read buffer.
func (r *Reader) Buffered() bool { return r.br.Buffered() > 0 }
