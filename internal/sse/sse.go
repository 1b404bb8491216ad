// Package sse splits a stream of server-sent events into whole events without
// changing their bytes.
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

// Event is one whole event.
type Event struct {
	// Raw is the event's bytes, its blank line included. It is valid until the
	// next call of Next.
	Raw []byte
	// ID is the event's ID; "" for none.
	ID string
}

// Reader reads events.
type Reader struct {
	br  *bufio.Reader
	raw []byte
}

const (
	bufferSize = 4 << 10
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
)

// ErrCut: the stream ended in the middle of an event.
var ErrCut = eris.New("sse: the stream ended within an event")

// NewReader returns a Reader.
func NewReader(r io.Reader) *Reader { return &Reader{br: bufio.NewReaderSize(r, bufferSize)} }

var (
	idField = []byte("id:")
	space   = []byte(" ")
)

// Next returns the next event. It returns io.EOF at an end between two events,
// ErrCut at one within an event, and errors of the reader as they are.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	ev := Event{}
	for {
		line, err := r.br.ReadSlice('\n')
		r.raw = append(r.raw, line...)
		switch {
		case err == bufio.ErrBufferFull && len(r.raw) < maxEvent:
			// The ID is never in a line that long.
			continue
		case err == io.EOF && len(r.raw) > 0:
			return Event{}, ErrCut
		case err != nil:
			return Event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			ev.Raw = r.raw
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(line, idField); ok {
			ev.ID = string(bytes.TrimPrefix(id, space))
		}
	}
}

// Buffered reports whether more bytes were read already.
func (r *Reader) Buffered() bool { return r.br.Buffered() > 0 }
