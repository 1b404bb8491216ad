package httpconn

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/standin/cutconn"
)

// TestAnswerCutAtAnyByteIsNotWhole guards against a target that stops within the head or the body of its answer, and a caller
// that gets a success with an empty or short body. An answer without length or chunks ends with an orderly close.
func TestAnswerCutAtAnyByteIsNotWhole(t *testing.T) {
	const (
		body   = "0123456789abcdef"
		status = "HTTP/1.1 200 OK\r\n"
		named  = idHeader + ": 1\r\nX-Signature: s\r\n"
	)
	for name, tc := range map[string]struct{ head, body string }{
		"with a length":             {status + named + "Content-Length: 16\r\n\r\n", body},
		"the length comes first":    {status + "Content-Length: 16\r\n" + named + "\r\n", body},
		"in chunks":                 {status + named + "Transfer-Encoding: chunked\r\n\r\n", "8\r\n01234567\r\n8\r\n89abcdef\r\n0\r\n\r\n"},
		"in chunks, with a trailer": {status + named + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n", "10\r\n" + body + "\r\n0\r\nX-Sum: 7\r\n\r\n"},
		"after a 100":               {"HTTP/1.1 100 Continue\r\n\r\n" + status + named + "Content-Length: 16\r\n\r\n", body},
		"and closes":                {status + named + "Connection: close\r\nContent-Length: 16\r\n\r\n", body},
		"without length or chunks":  {status + named + "\r\n", body},
		"of HTTP/1.0":               {"HTTP/1.0 200 OK\r\n" + named + "\r\n", body},
		"short line ends":           {strings.ReplaceAll(status+named+"Content-Length: 16\r\n\r\n", "\r\n", "\n"), body},
	} {
		for _, end := range cutconn.Ends {
			t.Run(name+", "+end.Name, func(t *testing.T) {
				framed := strings.Contains(tc.head, "Content-Length") || strings.Contains(tc.head, "chunked")
				whole := tc.head + tc.body
				for n := range len(whole) + 1 {
					p := New(Config{Dial: Dial(cutconn.Dial(whole[:n], end)), AnswerID: answerID, IdleTimeout: time.Minute, MaxIdle: 4})
					a, err := p.Do(t.Context(), "target", get("1"))
					var got []byte
					if err == nil {
						got, err = io.ReadAll(a.Body)
					}
					mayLookWhole := n == len(whole) && (framed || end.Orderly()) || n >= len(tc.head) && !framed && end.Orderly()
					if mayLookWhole {
						qt.Check(t, err, qt.IsNil)
						continue
					}
					qt.Check(t, err, qt.IsNotNil, qt.Commentf("cut after %d of %d bytes: %q", n, len(whole), got))
				}
			})
		}
	}
}

// TestAnswerThatIsNoHTTPIsNoAnswer guards against bytes of another protocol, and heads whose lines are cut but go on.
func TestAnswerThatIsNoHTTPIsNoAnswer(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Len\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: \r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 1x\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chun\r\n\r\n",
		"HTTP/1.1 20\r\n" + idHeader + ": 1\r\n\r\n",
		"HTTP/1.1\r\n\r\n",
		"\r\n\r\n",
		"200 OK\r\n\r\nbody",
	} {
		p := New(Config{Dial: Dial(cutconn.Dial(answer, cutconn.Ends[0])), AnswerID: answerID, IdleTimeout: time.Minute, MaxIdle: 4})
		a, err := p.Do(t.Context(), "target", get("1"))
		var got []byte
		if err == nil {
			got, err = io.ReadAll(a.Body)
		}
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q gave %d %q", answer, status(a), got))
	}
}

func status(a *Answer) int {
	if a == nil {
		return http.StatusOK
	}
	return a.Status
}
