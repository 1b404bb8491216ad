package httpconn

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/httpanswer"
	"topazmoor/internal/standin/cutconn"
)

// endless returns a Dial whose connections carry start and then text without end, and a function that returns how
// many bytes of it were read.
func endless(start, text string) (Dial, func() int) {
	sent := 0
	done := make(chan struct{})
	dial := func(context.Context, string, string) (net.Conn, error) {
		here, there := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, there) }()
		go func() {
			defer close(done)
			chunk := start
			for {
				n, err := io.WriteString(there, chunk)
				sent += n
				if err != nil {
					return
				}
				chunk = strings.Repeat(text, 100)
			}
		}()
		return here, nil
	}
	return dial, func() int {
		<-done
		return sent
	}
}

func TestHeadWithoutEndIsNoAnswer(t *testing.T) {
	for name, tc := range map[string]struct{ start, text string }{
		"status line":       {"HTTP/1.1 200 ", "x"},
		"no answer at all":  {"", "x"},
		"line of a header":  {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"headers":           {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"informational":     {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		"of other requests": {"", "HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\nContent-Length: 0\r\n\r\n"},
		"blank lines":       {"", "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dial, sent := endless(tc.start, tc.text)
				p := New(Config{Dial: dial, AnswerID: answerID, IdleTimeout: time.Minute, MaxIdle: 4})
				_, err := p.Do(t.Context(), "target", get("1"))
				qt.Assert(t, err, qt.ErrorMatches, ".*(the heads of the answer are over|belongs to another|malformed).*")
				qt.Check(t, sent() <= httpanswer.MaxHeadBytes+bufferSize, qt.IsTrue, qt.Commentf("%d bytes read", sent()))
			})
		})
	}
}

// A body of any length is not a head.
func TestLongBodyAfterAHeadIsRead(t *testing.T) {
	long := strings.Repeat("b", 4*httpanswer.MaxHeadBytes)
	addr := target(t, func(conn net.Conn, r *http.Request) bool {
		answer(conn, "other", strings.Repeat("s", maxStrayBytes))
		answer(conn, r.Header.Get(idHeader), long)
		return true
	})
	p := newPool(t)
	for _, id := range []string{"1", "2"} {
		a, err := p.Do(t.Context(), addr, get(id))
		qt.Check(t, bodyOf(t, a, err), qt.Equals, long)
	}
}

// headOf returns an answer whose head has some lines before its empty one, each of some bytes.
func headOf(lines, size int) string {
	fields := idHeader + ": 1\r\nContent-Length: 2\r\n"
	for i := range lines - 3 {
		name := fmt.Sprintf("F%d: ", i)
		fields += name + strings.Repeat("v", size-len(name)) + "\r\n"
	}
	// The lines of the body do not count.
	return "HTTP/1.1 200 OK\r\n" + fields + "\r\n\n\n"
}

func TestLinesOfAHeadAreBounded(t *testing.T) {
	early := "HTTP/1.1 103 Early Hints\r\n" + strings.Repeat("X: y\r\n", httpanswer.MaxHeadLines-10) + "\r\n"
	for name, tc := range map[string]struct {
		answer string
		whole  bool
	}{
		"as many as may be":         {headOf(httpanswer.MaxHeadLines-1, 10), true},
		"more":                      {headOf(httpanswer.MaxHeadLines+1, 10), false},
		"more, in several reads":    {headOf(httpanswer.MaxHeadLines+1, 100), false},
		"after informational ones":  {early + early + headOf(httpanswer.MaxHeadLines-1, 10), true},
		"more in informational one": {"HTTP/1.1 103 Early Hints\r\n" + strings.Repeat("X: y\r\n", httpanswer.MaxHeadLines) + "\r\n" + headOf(10, 10), false},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(Config{Dial: Dial(cutconn.Dial(tc.answer, cutconn.Ends[0])), AnswerID: answerID, IdleTimeout: time.Minute, MaxIdle: 4})
			a, err := p.Do(t.Context(), "target", get("1"))
			if tc.whole {
				qt.Check(t, bodyOf(t, a, err), qt.Equals, "\n\n")
				return
			}
			qt.Check(t, err, qt.ErrorMatches, ".* lines")
		})
	}
}

// A head that fits the read buffer needs no room.
func TestLargeHeadsReserveTheirRoom(t *testing.T) {
	for name, tc := range map[string]struct {
		size  int
		room  int64
		whole bool
	}{
		"small":               {10, 0, true},
		"large":               {200, httpanswer.HeadCost * 20 << 10, true},
		"large, without room": {200, httpanswer.HeadCost * 10 << 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			var reserved int64
			r := get("1")
			r.Room = func(bytes int64) bool {
				reserved += bytes
				return reserved <= tc.room
			}
			p := New(Config{Dial: Dial(cutconn.Dial(headOf(100, tc.size), cutconn.Ends[0])), AnswerID: answerID, IdleTimeout: time.Minute, MaxIdle: 4})
			a, err := p.Do(t.Context(), "target", r)
			if tc.whole {
				qt.Check(t, bodyOf(t, a, err), qt.Equals, "\n\n")
				return
			}
			qt.Check(t, err, qt.ErrorIs, httpanswer.ErrNoRoom)
		})
	}
}
