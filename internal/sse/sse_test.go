package sse

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

// anyRoom has room for everything.
func anyRoom(int64) bool { return true }

func TestEventsKeepTheirBytes(t *testing.T) {
	c := qt.New(t)
	raw := "id: 1\ndata: a\ndata: b\n\n: comment\r\nid:2\r\ndata: c\r\n\r\n" + "data: " + strings.Repeat("x", 3*bufferSize) + "\n\n"
	r := NewReader(iotest.OneByteReader(strings.NewReader(raw)), anyRoom)
	var got, ids []string
	for {
		ev, err := r.Next()
		if err == io.EOF {
			break
		}
		c.Assert(err, qt.IsNil)
		got, ids = append(got, string(ev.Raw)), append(ids, ev.ID)
	}
	c.Assert(strings.Join(got, ""), qt.Equals, raw)
	c.Assert(ids, qt.DeepEquals, []string{"1", "2", ""})
}

func TestTruncatedEventIsReported(t *testing.T) {
	for _, raw := range []string{"id: 1", "id: 1\n", "id: 1\ndata: a\n", "id: 1\ndata: a\n\nid"} {
		r := NewReader(strings.NewReader(raw), anyRoom)
		var err error
		for err == nil {
			_, err = r.Next()
		}
		if !errors.Is(err, ErrTruncated) {
			t.Errorf("%q ends with %v", raw, err)
		}
	}
}

// repeated is a reader of a text without end. It counts what was read.
type repeated struct {
	text string
	read int
}

func (r *repeated) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.text[(r.read+i)%len(r.text)]
	}
	r.read += len(p)
	return len(p), nil
}

func TestEventWithoutEndIsAnError(t *testing.T) {
	for _, text := range []string{"x", "data: x\n", ": x\n", "data: " + strings.Repeat("x", 2*bufferSize) + "\n"} {
		source := &repeated{text: text}
		_, err := NewReader(source, anyRoom).Next()
		qt.Check(t, err, qt.Equals, ErrTooLong)
		qt.Check(t, source.read <= maxEvent+2*bufferSize, qt.IsTrue, qt.Commentf("%d bytes read", source.read))
	}
}

// Small events need no room. A large one keeps what it has reserved, for the next ones.
func TestLargeEventsReserveTheirRoom(t *testing.T) {
	event := func(size int) string { return strings.Repeat("x", size-2) + "\n\n" }
	var reserved int64
	r := NewReader(strings.NewReader(event(freeEvent)+event(5*freeEvent)+event(5*freeEvent)+event(maxEvent)), func(bytes int64) bool {
		reserved += bytes
		return reserved < 16*freeEvent
	})
	_, err := r.Next()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reserved, qt.Equals, int64(0))
	for range 2 {
		_, err = r.Next()
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, reserved+freeEvent >= int64(cap(r.raw)), qt.IsTrue, qt.Commentf("%d bytes reserved for %d", reserved, cap(r.raw)))
	}
	_, err = r.Next()
	qt.Assert(t, err, qt.Equals, ErrNoRoom)
}

func TestBlankLinesSayNothing(t *testing.T) {
	r := NewReader(strings.NewReader("\n\r\ndata: a\n\n"), anyRoom)
	for _, empty := range []bool{true, true, false} {
		ev, err := r.Next()
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, ev.Empty, qt.Equals, empty)
	}
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"))
	f.Add([]byte("\n\n\r\n:x\nid:"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := NewReader(bytes.NewReader(b), anyRoom)
		n := 0
		for {
			ev, err := r.Next()
			if err != nil {
				break
			}
			if !bytes.Equal(ev.Raw, b[n:n+len(ev.Raw)]) {
				t.Fatalf("bytes changed at %d", n)
			}
			n += len(ev.Raw)
		}
	})
}
