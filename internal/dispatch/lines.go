package dispatch

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// maxLine bounds one line of a stream, in bytes.
	maxLine = 1 << 20
	// lineBuffer is the size of the read buffer of a stream, in bytes. Lines that fit it need no room.
	lineBuffer = 4 << 10
)

var (
	errLongLine = eris.Errorf("dispatch: a line of the stream is over %d bytes", maxLine)
	errNoRoom   = eris.New("dispatch: there is no room for a long line of the stream")
)

// lineReader reads the lines of a stream.
type lineReader struct {
	br *bufio.Reader
	// long holds the current line if it does not fit the read buffer.
	long []byte
	// room reserves bytes for long lines, and reports whether there is room for them.
	room func(bytes int64) bool
}

// next returns the next line without its end, valid until the next call. The last one may lack its end.
func (r *lineReader) next() ([]byte, error) {
	r.long = r.long[:0]
	for {
		part, err := r.br.ReadSlice('\n')
		switch {
		case len(r.long) == 0 && (err == nil || err == io.EOF && len(part) > 0):
			return bytes.TrimRight(part, "\r\n"), nil
		case err != nil && err != bufio.ErrBufferFull && (err != io.EOF || len(r.long)+len(part) == 0):
			return nil, err
		}
		if err := r.add(part); err != nil {
			return nil, err
		}
		if err != bufio.ErrBufferFull {
			return bytes.TrimRight(r.long, "\r\n"), nil
		}
	}
}

// add adds a part of a long line.
func (r *lineReader) add(part []byte) error {
	size := len(r.long) + len(part)
	if size > maxLine {
		return errLongLine
	}
	if size > cap(r.long) {
		grown := max(2*cap(r.long), 2*size)
		if !r.room(int64(grown - cap(r.long))) {
			return errNoRoom
		}
		r.long = append(make([]byte, 0, grown), r.long...)
	}
	r.long = append(r.long, part...)
	return nil
}
