package intake

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/verdict"
)

// post returns a request with a body; its length is not told if chunked is set.
func post(body string, chunked bool) *http.Request {
	var from io.Reader = strings.NewReader(body)
	if chunked {
		from = iotest.OneByteReader(from)
	}
	return httptest.NewRequest(http.MethodPost, "/", from)
}

func TestBodiesAreReadWhole(t *testing.T) {
	for _, size := range []int{1, firstSegment - 1, firstSegment, segmentBytes, segmentBytes + 1, 5*segmentBytes + 7} {
		for _, chunked := range []bool{false, true} {
			c := qt.New(t)
			b := NewBudget(testLimit)
			want := strings.Repeat("abcdefg", size/7+1)[:size]
			body, err := b.Read(httptest.NewRecorder(), post(want, chunked), testLimit, soon())
			c.Assert(err, qt.IsNil)
			c.Assert(body.Len(), qt.Equals, size)
			c.Assert(string(body.Bytes()) == want, qt.IsTrue)
			c.Assert(b.Counts().Used, qt.Equals, int64(size))
			kept := 0
			for _, s := range body.Segments() {
				kept += cap(s)
			}
			c.Assert(kept <= size+maxUnused, qt.IsTrue, qt.Commentf("%d bytes kept of %d", kept, size))
			body.Hold().Release()
			c.Assert(b.Counts().Used, qt.Equals, int64(0))
		}
	}
}

func TestBodiesThatCannotBeReadAreRefused(t *testing.T) {
	c := qt.New(t)
	b := NewBudget(testLimit)
	_, err := b.Read(httptest.NewRecorder(), post("12345", true), 4, soon())
	c.Assert(verdict.CodeOf(err), qt.Equals, verdict.TooLarge)
	r := httptest.NewRequest(http.MethodPost, "/", io.MultiReader(strings.NewReader("1"), iotest.ErrReader(io.ErrUnexpectedEOF)))
	_, err = b.Read(httptest.NewRecorder(), r, 4, soon())
	c.Assert(verdict.CodeOf(err), qt.Equals, verdict.BodyTimeout)
	_, err = b.Read(httptest.NewRecorder(), post(strings.Repeat("x", testLimit), false), 2*testLimit, soon())
	c.Assert(verdict.CodeOf(err), qt.Equals, verdict.Overloaded)
	c.Assert(b.Counts().Used, qt.Equals, int64(0))
	c.Assert(b.BodyLimit(2*testLimit), qt.Equals, int64(testLimit-testLimit/reserveDivisor))
	c.Assert(NewBudget(0).BodyLimit(5), qt.Equals, int64(5))
}

// Answers are delivered whatever room there is; without room they are read in parts.
func TestAnswersAreReadAsFarAsThereIsRoom(t *testing.T) {
	c := qt.New(t)
	b := NewBudget(testLimit)
	answer := bytes.Repeat([]byte("a"), large)
	read := func() (int, bool) {
		h := b.NewHold(nil)
		segments, complete, err := h.ReadAnswer(bytes.NewReader(answer), large, 2*large)
		c.Assert(err, qt.IsNil)
		n := 0
		for _, s := range segments {
			n += len(s)
		}
		return n, complete
	}
	for range 2 {
		n, complete := read()
		c.Assert(n, qt.Equals, large)
		c.Assert(complete, qt.IsTrue)
	}
	n, complete := read()
	c.Assert(n < large, qt.IsTrue)
	c.Assert(complete, qt.IsFalse)
	c.Assert(b.NewHold(nil).TryGrow(b.limit-b.used), qt.Equals, b.limit-b.used <= SmallBytes)
	for b.NewHold(nil).TryGrow(1 << 10) {
	}
	n, complete = read()
	c.Assert(n, qt.Equals, smallestAnswer)
	c.Assert(complete, qt.IsFalse)
	_, _, err := b.NewHold(nil).ReadAnswer(iotest.ErrReader(io.ErrUnexpectedEOF), -1, large)
	c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
}
