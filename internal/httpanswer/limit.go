package httpanswer

import (
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// MaxHeadBytes bounds the heads of all answers that are read for one request, informational ones and those to other
	// requests included, in bytes. Those of targets and of the store take some hundred bytes.
	MaxHeadBytes = 64 << 10
	// MaxHeadLines bounds the lines of one head, with its first and its empty one: a line costs more once it is decoded
	// than its bytes.
	MaxHeadLines = 256
	// HeadCost is what a byte of a head costs while it is decoded: the byte itself, and its copy.
	HeadCost = 2
)

var (
	errLongHead  = eris.Errorf("the heads of the answer are over %d bytes", MaxHeadBytes)
	errManyLines = eris.Errorf("the heads of the answer are over %d lines", MaxHeadLines)
	// ErrNoRoom reports a head over one read for which there is no room.
	ErrNoRoom = eris.New("there is no room for a large head")
)

// HeadLimiter bounds what is read from a connection while heads are read. It is safe for concurrent use, but for Read.
type HeadLimiter struct {
	r io.Reader

	mu sync.Mutex
	// limited is set while heads are read; left is how many bytes of them may still be read.
	limited bool
	left    int
	// lines counts those of the current head. inHead is set until its empty line was read.
	lines  int
	inHead bool
	// last is the last byte of the head that was read and is no carriage return. An empty line follows a line feed.
	last byte
	// room reserves bytes for heads that take more than one read; nil if none need to be reserved.
	room func(bytes int64) bool
	// broken is the error of all further reads once a head was too large: textproto leaves out errors within continued lines.
	broken error
}

// NewHeadLimiter returns a HeadLimiter of what r reads, that does not limit anything yet.
func NewHeadLimiter(r io.Reader) *HeadLimiter { return &HeadLimiter{r: r} }

// Begin begins to bound what is read. room reserves bytes; nil for no need to.
func (l *HeadLimiter) Begin(room func(bytes int64) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left, l.limited, l.room, l.broken = MaxHeadBytes, true, room, nil
	l.next()
}

// Next begins to count the lines of one more head.
func (l *HeadLimiter) Next() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next()
}

func (l *HeadLimiter) next() { l.lines, l.inHead, l.last = 0, true, 0 }

// Pause ends the bound until Resume or Begin is called; what is read meanwhile does not count.
func (l *HeadLimiter) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limited = false
}

// Resume goes on with the bound, for one more head.
func (l *HeadLimiter) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limited = true
	l.next()
}

// Read implements io.Reader.
func (l *HeadLimiter) Read(p []byte) (int, error) {
	most, err := l.most(len(p))
	if err != nil {
		return 0, err
	}
	n, err := l.r.Read(p[:most])
	if broken := l.add(p[:n]); broken != nil {
		return 0, broken
	}
	return n, err
}

// most returns how many bytes may be read, up to n.
func (l *HeadLimiter) most(n int) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.broken != nil:
		return 0, l.broken
	case !l.limited:
		return n, nil
	case l.left <= 0:
		return 0, errLongHead
	}
	return min(n, l.left), nil
}

// add adds what was read, and returns an error if that is too much.
func (l *HeadLimiter) add(p []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limited {
		return nil
	}
	first := l.left == MaxHeadBytes
	l.left -= len(p)
	l.count(p)
	switch {
	case l.lines > MaxHeadLines:
		l.broken = errManyLines
	case !first && len(p) > 0 && l.room != nil && !l.room(int64(HeadCost*len(p))):
		l.broken = ErrNoRoom
	}
	return l.broken
}

// count counts the lines of the current head in what was read. What follows the head may be a body.
func (l *HeadLimiter) count(p []byte) {
	for _, b := range p {
		if !l.inHead {
			return
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
}
