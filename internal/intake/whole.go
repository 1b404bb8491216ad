package intake

import (
	"io"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// freeWhole is the size up to which an answer needs no room in a budget, in bytes.
	freeWhole = 16 << 10
	// wholeRoomTimeout is how long an answer waits for room: as long as it takes until heavier ones have given way.
	wholeRoomTimeout = time.Second
)

// ErrLongAnswer reports an answer over the limit of its reader.
var ErrLongAnswer = eris.New("intake: the answer is over the limit")

// ReadWhole reads a whole answer of at most limit bytes. What it has over freeWhole takes room in the budget; if there is none, answers that
// have occupied more for longer give way, and then this one, which are closed. The room is given back at the end of the read: who keeps
// the answer bounds that.
func (b *Budget) ReadWhole(answer io.ReadCloser, limit int64) ([]byte, error) {
	hold := b.NewHold(func() { answer.Close() })
	defer hold.Release()
	limit = b.BodyLimit(limit)
	read := make([]byte, 0, smallestAnswer)
	for taken := int64(0); ; {
		n, err := answer.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		switch {
		case int64(len(read)) > limit:
			return nil, ErrLongAnswer
		case err == io.EOF:
			return read, nil
		case err != nil:
			return nil, err
		case len(read) < cap(read):
			continue
		}
		grown := min(2*int64(cap(read)), limit+1)
		if grown > freeWhole {
			if err := hold.Grow(grown-taken, time.Now().Add(wholeRoomTimeout)); err != nil {
				return nil, err
			}
			taken = grown
		}
		read = append(make([]byte, 0, grown), read...)
	}
}
