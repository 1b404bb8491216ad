package intake

import (
	"errors"
	"io"
	"net/http"
	"time"

	"topazmoor/internal/verdict"
)

const (
	// firstSegment is the size of the first segment of a body of unknown length; each further one is as large as all
	// before it, up to segmentBytes.
	firstSegment = 4 << 10
	segmentBytes = 64 << 10
	// smallestAnswer is how much of an answer is read without room in the budget.
	smallestAnswer = 4 << 10
)

// pastDeadline is a read deadline that ends a read at once.
var pastDeadline = time.Unix(1, 0)

// Body is the body of a request, held in a Budget.
type Body struct {
	segments [][]byte
	size     int
	hold     *Hold
}

// Segments returns the content in order. It must not be changed.
func (b *Body) Segments() [][]byte { return b.segments }

// Len returns the size in bytes.
func (b *Body) Len() int { return b.size }

// Hold returns the hold that has the bytes.
func (b *Body) Hold() *Hold { return b.hold }

// Bytes returns the content as one slice.
func (b *Body) Bytes() []byte {
	if len(b.segments) == 1 {
		return b.segments[0]
	}
	all := make([]byte, 0, b.size)
	for _, s := range b.segments {
		all = append(all, s...)
	}
	return all
}

// Read reads the body of a request of at most limit bytes until a time. Its errors are refusals: the body is too
// large, has not come in time, or there is no room for it. After an error the connection must not be used again.
//
// On success the read deadline of the connection is removed, because it would otherwise expire while the request is
// served, and cancel it. After a failure it stays, so that the server does not wait for the rest of the body.
func (b *Budget) Read(w http.ResponseWriter, r *http.Request, limit int64, until time.Time) (*Body, error) {
	conn := http.NewResponseController(w)
	// Not every writer has deadlines; those that do not need none.
	_ = conn.SetReadDeadline(until)
	body := &Body{hold: b.NewHold(func() { _ = conn.SetReadDeadline(pastDeadline) })}
	defer connOf(r.Context()).beginBody()()
	if err := body.readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, until); err != nil {
		body.hold.Release()
		return nil, refusalOf(err, limit)
	}
	_ = conn.SetReadDeadline(time.Time{})
	if err := body.hold.Settle(int64(body.size)); err != nil {
		body.hold.Release()
		return nil, err
	}
	return body, nil
}

// refusalOf returns the refusal for a body that could not be read.
func refusalOf(err error, limit int64) error {
	var refusal *verdict.Error
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &refusal):
		return err
	case errors.As(err, &tooLarge):
		return verdict.New(verdict.NotRun, verdict.TooLarge, "the body is over %d bytes", limit)
	}
	return verdict.Wrap(err, verdict.NotRun, verdict.BodyTimeout, "the body could not be read in time")
}

// readAll reads a body to its end. length is its size, or -1 if that is not known.
func (b *Body) readAll(r io.Reader, length int64, until time.Time) error {
	for {
		size := nextSegment(length, int64(b.size))
		if err := b.hold.Grow(size, until); err != nil {
			return err
		}
		segment, err := fill(r, make([]byte, size))
		if err == io.EOF {
			b.add(trim(segment))
			return nil
		}
		b.add(segment)
		if err != nil {
			return b.cause(err)
		}
	}
}

// maxUnused is how many bytes of the last segment of a body may be unused.
const maxUnused = 512

// trim returns a segment that keeps no more memory than it needs.
func trim(segment []byte) []byte {
	if cap(segment)-len(segment) <= maxUnused {
		return segment
	}
	return append(make([]byte, 0, len(segment)), segment...)
}

// cause returns why a read failed: if the hold was told to end, that is the reason.
func (b *Body) cause(err error) error {
	if refusal := b.hold.Settle(int64(b.size)); refusal != nil {
		return refusal
	}
	return err
}

func (b *Body) add(segment []byte) {
	if len(segment) > 0 {
		b.segments = append(b.segments, segment)
		b.size += len(segment)
	}
}

// nextSegment returns the size of the segment that follows the first size bytes of a body. One that is full does not
// show that the body has ended, so the last one has a byte more than is left.
func nextSegment(length, size int64) int64 {
	if length < 0 {
		return min(max(size, firstSegment), segmentBytes)
	}
	return min(max(length-size, 0)+1, segmentBytes)
}

// fill reads until a segment is full or the reader fails, and returns what was read.
func fill(r io.Reader, segment []byte) ([]byte, error) {
	n := 0
	for n < len(segment) {
		k, err := r.Read(segment[n:])
		n += k
		if err != nil {
			return segment[:n], err
		}
	}
	return segment, nil
}

// ReadAnswer reads the beginning of an answer, up to most bytes, as far as there is room for it in the budget, but at
// least smallestAnswer. It reports whether that is the whole answer. length is its size, or -1 if that is not known.
func (h *Hold) ReadAnswer(r io.Reader, length, most int64) (segments [][]byte, complete bool, err error) {
	for size := int64(0); size < most; {
		next := min(nextSegment(length, size), most-size)
		if !h.TryGrow(next) {
			if size > 0 {
				return segments, false, nil
			}
			next = min(next, smallestAnswer)
		}
		segment, err := fill(r, make([]byte, next))
		size += int64(len(segment))
		if len(segment) > 0 {
			segments = append(segments, segment)
		}
		switch {
		case err == io.EOF:
			return segments, true, nil
		case err != nil:
			return nil, false, err
		}
	}
	return segments, false, nil
}
