package httpconn

import (
	"io"

	"github.com/rotisserie/eris"

	"topazmoor/internal/httpanswer"
)

const (
	// maxHeadLines bounds the lines of one head, with its first and its empty one: a line costs more once it is decoded than its bytes.
	maxHeadLines = 256
	// headCost is what a byte of a head costs while it is decoded: the byte itself, and its copy.
	headCost = 2
)

var (
	errLongHead  = eris.Errorf("the heads of the answer are over %d bytes", httpanswer.MaxHeadBytes)
	errManyLines = eris.Errorf("the heads of the answer are over %d lines", maxHeadLines)
	errNoRoom    = eris.New("there is no room for a large head")
)

// headLimiter bounds what is read from a connection while heads are read.
type headLimiter struct {
	r io.Reader
	// left is how many bytes may still be read. It is ignored while unlimited is set.
	left      int
	unlimited bool
	// lines counts those of the current head. inHead is set until its empty line was read.
	lines  int
	inHead bool
	// last is the last byte of the head that was read and is no carriage return. An empty line follows a line feed.
	last byte
	// room reserves bytes for a head that does not fit bufferSize; nil if none need to be reserved.
	room func(bytes int64) bool
}

// limit begins to bound what is read. room reserves bytes; nil for no need to.
func (l *headLimiter) limit(room func(bytes int64) bool) {
	l.left, l.unlimited, l.room = httpanswer.MaxHeadBytes, false, room
	l.next()
}

// next begins to count the lines of one more head.
func (l *headLimiter) next() { l.lines, l.inHead, l.last = 0, true, 0 }

// pause ends the bound until resume is called; what is read meanwhile does not count.
func (l *headLimiter) pause() { l.unlimited, l.room = true, nil }

// resume goes on with the bound, for one more head.
func (l *headLimiter) resume() {
	l.unlimited = false
	l.next()
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.unlimited {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, errLongHead
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	first := l.left == httpanswer.MaxHeadBytes
	l.left -= n
	if !first && l.room != nil && !l.room(int64(headCost*n)) {
		return 0, errNoRoom
	}
	if l.count(p[:n]) {
		return 0, errManyLines
	}
	return n, err
}

// count counts the lines of the current head in what was read, and reports whether there are too many. What follows the head may be a
// body.
func (l *headLimiter) count(p []byte) bool {
	for _, b := range p {
		if !l.inHead {
			break
		}
		switch b {
		case '\r':
			continue
		case '\n':
			l.lines++
			l.inHead = l.last != '\n'
		}
		l.last = b
	}
	return l.lines > maxHeadLines
}
