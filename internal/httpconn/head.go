package httpconn

import (
	"io"

	"github.com/rotisserie/eris"

	"topazmoor/internal/httpanswer"
)

var errLongHead = eris.Errorf("the heads of the answer are over %d bytes", httpanswer.MaxHeadBytes)

// headLimiter bounds what is read from a connection while heads are read.
type headLimiter struct {
	r io.Reader
	// left is how many bytes may still be read. It is ignored while unlimited is set.
	left      int
	unlimited bool
}

// limit begins to bound what is read.
func (l *headLimiter) limit() { l.left, l.unlimited = httpanswer.MaxHeadBytes, false }

// pause ends the bound until resume is called; what is read meanwhile does not count.
func (l *headLimiter) pause() { l.unlimited = true }

// resume goes on with the bound.
func (l *headLimiter) resume() { l.unlimited = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.unlimited {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, errLongHead
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
