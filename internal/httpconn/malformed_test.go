package httpconn

import (
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/standin/cutconn"
)

// TestMalformedHeadIsNoAnswer guards against answers of a server in trouble that net/http reads as answers, or as informational ones.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	const named = idHeader + ": 1\r\n"
	whole := "HTTP/1.1 200 OK\r\n" + named + "Content-Length: 2\r\n\r\nok"
	for name, answer := range map[string]string{
		"status 000":                         "HTTP/1.1 000 \r\n" + named + "Content-Length: 2\r\n\r\nno",
		"status 000, then another answer":    "HTTP/1.1 000 \r\n" + named + "Content-Length: 0\r\n\r\n" + whole,
		"status 000 without a reason":        "HTTP/1.1 000\r\n" + named + "\r\n" + whole,
		"status 099":                         "HTTP/1.1 099 X\r\n" + named + "\r\n" + whole,
		"status +10":                         "HTTP/1.1 +10 X\r\n" + named + "\r\n" + whole,
		"status 600":                         "HTTP/1.1 600 X\r\n" + named + "Content-Length: 2\r\n\r\nno",
		"status 999":                         "HTTP/1.1 999 X\r\n" + named + "Content-Length: 2\r\n\r\nno",
		"another protocol":                   "HTTP/1.1 101 Switching Protocols\r\n" + named + "\r\n" + whole,
		"another version":                    "HTTP/2.0 200 OK\r\n" + named + "Content-Length: 2\r\n\r\nno",
		"control byte in the reason":         "HTTP/1.1 200 O\x01K\r\n" + named + "Content-Length: 2\r\n\r\nno",
		"blank in a name":                    "HTTP/1.1 200 OK\r\n" + named + "X y: z\r\nContent-Length: 2\r\n\r\nno",
		"blank after the name of the length": "HTTP/1.1 200 OK\r\n" + named + "Content-Length : 2\r\n\r\nno, and more",
		"blank after the name of the coding": "HTTP/1.1 200 OK\r\n" + named + "Transfer-Encoding : chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"blank in the name of the coding":    "HTTP/1.1 200 OK\r\n" + named + "Transfer Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"blank before the first name":        "HTTP/1.1 200 OK\r\n X: y\r\n" + named + "Content-Length: 2\r\n\r\nno",
		"tab after a name":                   "HTTP/1.1 200 OK\r\n" + named + "X\t: z\r\nContent-Length: 2\r\n\r\nno",
		"NUL in a name":                      "HTTP/1.1 200 OK\r\n" + named + "X\x00y: z\r\nContent-Length: 2\r\n\r\nno",
		"control byte in a name":             "HTTP/1.1 200 OK\r\n" + named + "X\x01y: z\r\nContent-Length: 2\r\n\r\nno",
		"DEL in a name":                      "HTTP/1.1 200 OK\r\n" + named + "X\x7fy: z\r\nContent-Length: 2\r\n\r\nno",
		"carriage return in a name":          "HTTP/1.1 200 OK\r\n" + named + "X\ry: z\r\nContent-Length: 2\r\n\r\nno",
		"empty name":                         "HTTP/1.1 200 OK\r\n" + named + ": z\r\nContent-Length: 2\r\n\r\nno",
		"control byte in a value":            "HTTP/1.1 200 OK\r\n" + named + "X: y\x01z\r\nContent-Length: 2\r\n\r\nno",
		"a 103 with a blank in a name":       "HTTP/1.1 103 Early Hints\r\nX y: z\r\n\r\n" + whole,
		"blank in a name of the trailer":     "HTTP/1.1 200 OK\r\n" + named + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\nX y: z\r\n\r\n",
		"chunks of HTTP/1.0":                 "HTTP/1.0 200 OK\r\n" + named + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"length and chunks of HTTP/1.0":      "HTTP/1.0 200 OK\r\n" + named + "Content-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"two lengths":                        "HTTP/1.1 200 OK\r\n" + named + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nnon",
	} {
		t.Run(name, func(t *testing.T) {
			p := New(Config{Dial: Dial(cutconn.Dial(answer, cutconn.Ends[0])), AnswerID: answerID, IdleTimeout: time.Minute, MaxIdle: 4})
			a, err := p.Do(t.Context(), "target", get("1"))
			var got []byte
			if err == nil {
				got, err = io.ReadAll(a.Body)
			}
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q gave %d %q", answer, status(a), got))
		})
	}
}

// TestWellFormedHeadsAreRead is about heads that are unusual, but well-formed.
func TestWellFormedHeadsAreRead(t *testing.T) {
	const named = idHeader + ": 1\r\n"
	for name, tc := range map[string]struct{ answer, body string }{
		"no reason":               {"HTTP/1.1 200\r\n" + named + "Content-Length: 2\r\n\r\nok", "ok"},
		"an empty reason":         {"HTTP/1.1 200 \r\n" + named + "Content-Length: 2\r\n\r\nok", "ok"},
		"status 599":              {"HTTP/1.1 599 X\r\n" + named + "Content-Length: 2\r\n\r\nok", "ok"},
		"characters of tokens":    {"HTTP/1.1 200 OK\r\n" + named + "a!#$%&'*+-.^_`|~9: z\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"a value on two lines":    {"HTTP/1.1 200 OK\r\n" + named + "X: y\r\n z\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"an empty value":          {"HTTP/1.1 200 OK\r\n" + named + "X:\r\nContent-Length:2\r\n\r\nok", "ok"},
		"HTTP/1.0":                {"HTTP/1.0 200 OK\r\n" + named + "X: y\r\n\r\nok", "ok"},
		"HTTP/1.0, with a length": {"HTTP/1.0 200 OK\r\n" + named + "Content-Length: 2\r\n\r\nok", "ok"},
		"HTTP/1.0, a long head":   {"HTTP/1.0 200 OK\r\n" + named + "X: " + strings.Repeat("y", 3*bufferSize) + "\r\n\r\nok", "ok"},
		"HTTP/1.0, no field":      {"HTTP/1.0 200 OK\r\n\r\nok", "ok"},
		"a trailer":               {"HTTP/1.1 200 OK\r\n" + named + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", "ok"},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(Config{Dial: Dial(cutconn.Dial(tc.answer, cutconn.Ends[0])), AnswerID: answerID, IdleTimeout: time.Minute, MaxIdle: 4})
			a, err := p.Do(t.Context(), "target", get("1"))
			qt.Check(t, bodyOf(t, a, err), qt.Equals, tc.body)
		})
	}
}
