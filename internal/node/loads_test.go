package node

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/httpanswer"
	"topazmoor/internal/standin/cutconn"
)

// TestBrokenLoadReportIsNone guards against an answer that is no report and counts as one of a target without load.
func TestBrokenLoadReportIsNone(t *testing.T) {
	const body = `{"running":1,"waiting":2}`
	for name, tc := range map[string]struct {
		answer string
		whole  bool
	}{
		"whole":               {"HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\n" + body, true},
		"a failure":           {"HTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\n{}", false},
		"not found":           {"HTTP/1.1 404 X\r\nContent-Length: 2\r\n\r\n{}", false},
		"status 000":          {"HTTP/1.1 000 \r\nContent-Length: 25\r\n\r\n" + body, false},
		"blank in a name":     {"HTTP/1.1 200 OK\r\nX y: z\r\nContent-Length: 25\r\n\r\n" + body, false},
		"cut within its body": {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n" + body, false},
		"and something else":  {"HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n" + body + "{}", false},
	} {
		t.Run(name, func(t *testing.T) {
			client := &http.Client{Transport: httpanswer.NewTransport(httpanswer.Options{Dial: cutconn.Dial(tc.answer, cutconn.Ends[0]), NoKeepAlive: true})}
			calls, err := fetchLoad(t.Context(), client, "10.0.0.1:80")
			qt.Check(t, err == nil, qt.Equals, tc.whole, qt.Commentf("%v", err))
			if tc.whole {
				qt.Check(t, calls, qt.Equals, 3)
			}
		})
	}
}
