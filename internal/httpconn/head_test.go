package httpconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/httpanswer"
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
