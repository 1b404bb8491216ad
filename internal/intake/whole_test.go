package intake

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestWholeAnswersAreRead(t *testing.T) {
	for _, size := range []int{0, 1, smallestAnswer, smallestAnswer + 1, freeWhole, freeWhole + 1, 1 << 20} {
		for name, r := range map[string]func(io.Reader) io.Reader{"at once": func(r io.Reader) io.Reader { return r }, "in halves": iotest.HalfReader, "with its end": iotest.DataErrReader} {
			b := NewBudget(4 << 20)
			want := bytes.Repeat([]byte("x"), size)
			got, err := b.ReadWhole(io.NopCloser(r(bytes.NewReader(want))), 1<<20)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, bytes.Equal(got, want), qt.IsTrue, qt.Commentf("%d bytes, %s", size, name))
			qt.Check(t, b.Counts().Used, qt.Equals, int64(0))
		}
	}
}

func TestAnswerOverTheLimitIsNone(t *testing.T) {
	_, err := NewBudget(0).ReadWhole(io.NopCloser(strings.NewReader(strings.Repeat("x", 101))), 100)
	qt.Check(t, err, qt.Equals, ErrLongAnswer)
	cut := errors.New("cut")
	_, err = NewBudget(0).ReadWhole(io.NopCloser(io.MultiReader(strings.NewReader("x"), iotest.ErrReader(cut))), 100)
	qt.Check(t, err, qt.Equals, cut)
}

// An answer that stands at most of the budget gives way to another one.
func TestAnswersThatStallGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(1 << 20)
		stalled, w := io.Pipe()
		go func() { _, _ = w.Write(make([]byte, 500<<10)) }()
		ended := make(chan error, 1)
		go func() {
			_, err := b.ReadWhole(stalled, 1<<20)
			ended <- err
		}()
		time.Sleep(time.Minute)
		_, err := b.ReadWhole(io.NopCloser(bytes.NewReader(make([]byte, 400<<10))), 1<<20)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, <-ended, qt.IsNotNil)
		qt.Check(t, b.Counts().Used, qt.Equals, int64(0))
	})
}
